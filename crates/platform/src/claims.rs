//! Claims business keys, so that at most one submission of a job runs.

use std::{sync::Arc, time::Duration};

use async_std::task;
use error_stack::Report;
use ggb_config::{Claim, Row, Version};

use crate::{Commit, PlatformError, Table};

/// Maximum number of attempts to commit a claim.
const MAX_ATTEMPTS: u32 = 5;

/// Delay after a failed attempt to commit a claim.
const RETRY_DELAY_MS: u64 = 50;

/// Result of an attempt to claim a business key.
#[derive(Clone, Debug)]
pub enum ClaimResult {
    /// The key was not claimed before; the claim of this call is now stored.
    Acquired,
    /// The key was already claimed by another submission; contains its claim.
    AlreadyClaimed(Claim),
}

/// Store of the claims of business keys, in the platform's table.
#[derive(Clone)]
pub struct ClaimStore {
    table: Arc<dyn Table>,
}

impl ClaimStore {
    /// Creates a store that keeps its claims in `table`.
    pub fn new(table: Arc<dyn Table>) -> Self {
        ClaimStore { table }
    }

    /// Claims `key` if it is free.
    ///
    /// After a commit with unknown outcome, the nonce of the stored claim shows whose claim it is.
    ///
    /// # Errors
    ///
    /// Returns an error if all attempts fail. The key may then stay claimed by `claim` forever, but
    /// the job must not be started.
    pub async fn claim(
        &self,
        key: &str,
        claim: &Claim,
    ) -> Result<ClaimResult, Report<PlatformError>> {
        let mut last_error = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.table.commit(&claim.insert_transaction(key)).await {
                Ok(Commit::Done) => return Ok(ClaimResult::Acquired),
                Ok(Commit::Conflict) => match self.read_claim(key).await {
                    Ok(Some((stored, _))) if stored.nonce == claim.nonce => {
                        return Ok(ClaimResult::Acquired);
                    }
                    Ok(Some((stored, _))) => return Ok(ClaimResult::AlreadyClaimed(stored)),
                    Ok(None) => {}
                    Err(error) => last_error = Some(error),
                },
                Err(error) => last_error = Some(error),
            }
            task::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
        Err(last_error.unwrap_or_else(|| Report::new(PlatformError::contention())))
    }

    /// Replaces the stored claim by `claim`, which contains the outcome of its job.
    ///
    /// # Errors
    ///
    /// Returns an error if the table can't be read or written, or if the stored claim has another
    /// nonce or changes concurrently.
    pub async fn record_outcome(
        &self,
        key: &str,
        claim: &Claim,
    ) -> Result<(), Report<PlatformError>> {
        let stored = self.read_claim(key).await?;
        let own_claim = stored.filter(|(stored, _)| stored.nonce == claim.nonce);
        let Some((_, version)) = own_claim else {
            return Err(Report::new(PlatformError::contention()));
        };
        match self.table.commit(&claim.replace_transaction(key, version)).await? {
            Commit::Done => Ok(()),
            Commit::Conflict => Err(Report::new(PlatformError::contention())),
        }
    }

    /// Returns the stored claim of `key` and its version.
    async fn read_claim(
        &self,
        key: &str,
    ) -> Result<Option<(Claim, Version)>, Report<PlatformError>> {
        let rows = self.table.read(key).await?;
        let row: Option<&Row> = rows.iter().find(|row| row.key == key);
        Ok(row.and_then(|row| Some((serde_json::from_str(&row.value).ok()?, row.version))))
    }
}
