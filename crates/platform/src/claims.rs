//! Claiming business keys.

use std::{sync::Arc, time::Duration};

use async_std::task;
use error_stack::Report;
use ggb_config::{Claim, Row, Version};

use crate::{Commit, PlatformError, Table};

const MAX_TRIES: u32 = 5;
const RETRY_PAUSE_MS: u64 = 50;

/// Who holds a business key.
#[derive(Clone, Debug)]
pub enum Claimed {
    /// The claimant of this call; the key was free.
    Own,
    /// Another submission, earlier.
    Other(Claim),
}

/// Claims business keys in the platform's table.
#[derive(Clone)]
pub struct ClaimStore {
    table: Arc<dyn Table>,
}

impl ClaimStore {
    /// Returns a store over `table`.
    pub fn new(table: Arc<dyn Table>) -> Self {
        ClaimStore { table }
    }

    /// Claims `key` if it is free.
    ///
    /// A lost answer is settled by reading back the claim's nonce.
    ///
    /// # Errors
    ///
    /// Fails if the table gives no answer; the key may then be claimed, by this
    /// claim, for ever, but nothing may be started under it.
    pub async fn claim(&self, key: &str, claim: &Claim) -> Result<Claimed, Report<PlatformError>> {
        let mut failure = None;
        for _ in 0..MAX_TRIES {
            match self.table.commit(&claim.insertion(key)).await {
                Ok(Commit::Done) => return Ok(Claimed::Own),
                Ok(Commit::Conflict) => match self.stored(key).await {
                    Ok(Some((stored, _))) if stored.nonce == claim.nonce => {
                        return Ok(Claimed::Own);
                    }
                    Ok(Some((stored, _))) => return Ok(Claimed::Other(stored)),
                    Ok(None) => {}
                    Err(error) => failure = Some(error),
                },
                Err(error) => failure = Some(error),
            }
            task::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
        Err(failure.unwrap_or_else(|| Report::new(PlatformError::busy())))
    }

    /// Writes the outcome of a job to its claim.
    ///
    /// # Errors
    ///
    /// Fails if the table gives no answer, or the claim is not the stored one.
    pub async fn settle(&self, key: &str, claim: &Claim) -> Result<(), Report<PlatformError>> {
        let stored = self.stored(key).await?;
        let own = stored.filter(|(stored, _)| stored.nonce == claim.nonce);
        let Some((_, version)) = own else {
            return Err(Report::new(PlatformError::busy()));
        };
        match self.table.commit(&claim.replacement(key, version)).await? {
            Commit::Done => Ok(()),
            Commit::Conflict => Err(Report::new(PlatformError::busy())),
        }
    }

    async fn stored(&self, key: &str) -> Result<Option<(Claim, Version)>, Report<PlatformError>> {
        let rows = self.table.read(key).await?;
        let row: Option<&Row> = rows.iter().find(|row| row.key == key);
        Ok(row.and_then(|row| Some((serde_json::from_str(&row.value).ok()?, row.version))))
    }
}
