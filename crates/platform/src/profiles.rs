//! Reads profiles and commits changes to them.

use std::{fmt, sync::Arc, time::Duration};

use async_std::task;
use error_stack::Report;
use ggb_config::{
    AUDIT_PREFIX, AuditEntry, CONFIG_PREFIX, Change, ChangeContext, Generation, HEAD_KEY,
    PlanError, Row, Snapshot, SnapshotError, audit_key, plan_change,
};

use crate::{Commit, PlatformError, Table};

/// Maximum number of attempts to commit a change.
const MAX_ATTEMPTS: u32 = 20;

/// Delay after a failed attempt to commit a change.
const RETRY_DELAY_MS: u64 = 100;

/// Error of a change to the profiles.
#[derive(Debug)]
pub enum ChangeError {
    /// The change conflicts with the stored profiles and was not applied.
    Conflict(PlanError),
    /// All attempts conflicted with other changes or got no answer; the outcome is unknown.
    OutcomeUnknown(Report<PlatformError>),
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::Conflict(conflict) => conflict.fmt(f),
            ChangeError::OutcomeUnknown(error) => {
                write!(
                    f,
                    "no definite answer from the platform's store; the outcome is unknown: {error}"
                )
            }
        }
    }
}

impl std::error::Error for ChangeError {}

/// Store of the profiles and their audit trail, in the platform's table.
#[derive(Clone)]
pub struct ProfileStore {
    table: Arc<dyn Table>,
}

impl ProfileStore {
    /// Creates a store that keeps its rows in `table`.
    pub fn new(table: Arc<dyn Table>) -> Self {
        ProfileStore { table }
    }

    /// Returns a consistent snapshot of all profiles.
    ///
    /// # Errors
    ///
    /// Returns the outer error if the table can't be read, and the inner one if a row is not a
    /// valid profile.
    pub async fn snapshot(&self) -> Result<Result<Snapshot, SnapshotError>, Report<PlatformError>> {
        Ok(Snapshot::from_rows(&self.table.read(CONFIG_PREFIX).await?))
    }

    /// Returns the latest generation, or `None` if none is stored or it can't be decoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the table can't be read.
    pub async fn head_generation(&self) -> Result<Option<Generation>, Report<PlatformError>> {
        let rows = self.table.read(HEAD_KEY).await?;
        Ok(Snapshot::from_rows(&rows)
            .ok()
            .filter(|_| !rows.is_empty())
            .map(|snapshot| snapshot.generation()))
    }

    /// Returns the entries of the audit trail, oldest first, without those that can't be decoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the table can't be read.
    pub async fn history(&self) -> Result<Vec<AuditEntry>, Report<PlatformError>> {
        Ok(decode_audit_entries(&self.table.read(AUDIT_PREFIX).await?))
    }

    /// Commits a change and returns the generation that it created.
    ///
    /// After an attempt with unknown outcome, the change id in the audit trail shows whether it was
    /// applied, so that a change is applied at most once.
    ///
    /// # Errors
    ///
    /// Returns the conflict with the stored profiles, or [`ChangeError::OutcomeUnknown`] if the
    /// outcome is unknown.
    pub async fn change(
        &self,
        change: Change,
        context: &ChangeContext,
    ) -> Result<Generation, ChangeError> {
        let mut unconfirmed_generation = None;
        let mut last_error = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.try_change(&change, context, unconfirmed_generation).await {
                Ok(CommitAttempt::Committed(generation)) => return Ok(generation),
                Ok(CommitAttempt::Unconfirmed(generation)) => {
                    unconfirmed_generation = Some(generation)
                }
                Err(ChangeError::OutcomeUnknown(error)) => last_error = Some(error),
                Err(conflict) => return Err(conflict),
            }
            task::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
        let error = last_error.unwrap_or_else(|| Report::new(PlatformError::contention()));
        Err(ChangeError::OutcomeUnknown(error))
    }

    async fn try_change(
        &self,
        change: &Change,
        context: &ChangeContext,
        unconfirmed_generation: Option<Generation>,
    ) -> Result<CommitAttempt, ChangeError> {
        if let Some(generation) = self.find_committed(context, unconfirmed_generation).await? {
            return Ok(CommitAttempt::Committed(generation));
        }
        let rows = self.table.read(CONFIG_PREFIX).await.map_err(ChangeError::OutcomeUnknown)?;
        let planned = plan_change(&rows, change.clone(), context).map_err(ChangeError::Conflict)?;
        match self.table.commit(&planned.transaction).await {
            Ok(Commit::Done) => Ok(CommitAttempt::Committed(planned.generation)),
            Ok(Commit::Conflict) | Err(_) => Ok(CommitAttempt::Unconfirmed(planned.generation)),
        }
    }

    /// Returns the generation of the change if the previous attempt was applied.
    async fn find_committed(
        &self,
        context: &ChangeContext,
        unconfirmed_generation: Option<Generation>,
    ) -> Result<Option<Generation>, ChangeError> {
        let Some(generation) = unconfirmed_generation else { return Ok(None) };
        let key = audit_key(generation);
        let rows = self.table.read(&key).await.map_err(ChangeError::OutcomeUnknown)?;
        let is_committed =
            decode_audit_entries(&rows).iter().any(|entry| entry.change_id == context.change_id());
        Ok(is_committed.then_some(generation))
    }
}

/// Result of one attempt to commit a change.
enum CommitAttempt {
    /// The change was applied and created this generation.
    Committed(Generation),
    /// The commit conflicted with another change or got no answer. The audit entry of the planned
    /// generation shows which change created it.
    Unconfirmed(Generation),
}

fn decode_audit_entries(rows: &[Row]) -> Vec<AuditEntry> {
    rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok()).collect()
}
