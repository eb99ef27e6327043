//! Committing changes of profiles.

use std::{fmt, sync::Arc, time::Duration};

use async_std::task;
use error_stack::Report;
use ggb_config::{
    AUDIT_PREFIX, AuditEntry, CONFIG_PREFIX, Change, ChangeContext, Conflict, Generation, HEAD_KEY,
    Row, Snapshot, SnapshotError, audit_key, plan,
};

use crate::{Commit, PlatformError, Table};

const MAX_TRIES: u32 = 20;
const RETRY_PAUSE_MS: u64 = 100;

/// A change that was not committed, or not known to be.
#[derive(Debug)]
pub enum ChangeError {
    /// The change does not apply; nothing was written.
    Conflict(Conflict),
    /// The table gave no answer for too long; whether the change took effect is not known.
    Unsettled(Report<PlatformError>),
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::Conflict(conflict) => conflict.fmt(f),
            ChangeError::Unsettled(error) => {
                write!(f, "the table service gives no answer, so the outcome is not known: {error}")
            }
        }
    }
}

impl std::error::Error for ChangeError {}

/// Reads and changes the profiles in the platform's table.
#[derive(Clone)]
pub struct ProfileStore {
    table: Arc<dyn Table>,
}

impl ProfileStore {
    /// Returns a store over `table`.
    pub fn new(table: Arc<dyn Table>) -> Self {
        ProfileStore { table }
    }

    /// Reads all profiles as of one instant.
    ///
    /// # Errors
    ///
    /// Fails if the table can't be read, or holds a row that is not a profile.
    pub async fn snapshot(&self) -> Result<Result<Snapshot, SnapshotError>, Report<PlatformError>> {
        Ok(Snapshot::from_rows(&self.table.read(CONFIG_PREFIX).await?))
    }

    /// Reads the newest generation; nothing is stored yet if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the table can't be read.
    pub async fn head_generation(&self) -> Result<Option<Generation>, Report<PlatformError>> {
        let rows = self.table.read(HEAD_KEY).await?;
        Ok(Snapshot::from_rows(&rows).ok().filter(|_| !rows.is_empty()).map(|s| s.generation()))
    }

    /// Reads the audit trail, oldest change first.
    ///
    /// # Errors
    ///
    /// Fails if the table can't be read.
    pub async fn history(&self) -> Result<Vec<AuditEntry>, Report<PlatformError>> {
        Ok(read_audit(&self.table.read(AUDIT_PREFIX).await?))
    }

    /// Commits a change and returns the generation that it made.
    ///
    /// A lost answer is settled by reading back the change's own id.
    ///
    /// # Errors
    ///
    /// Says with both sides why the change does not apply, or that its outcome is
    /// not known.
    pub async fn change(
        &self,
        change: Change,
        context: &ChangeContext,
    ) -> Result<Generation, ChangeError> {
        let mut planned_before = None;
        let mut last_error = None;
        for _ in 0..MAX_TRIES {
            match self.try_change(&change, context, planned_before).await {
                Ok(Attempt::Committed(generation)) => return Ok(generation),
                Ok(Attempt::Raced(generation)) => planned_before = Some(generation),
                Err(ChangeError::Unsettled(error)) => last_error = Some(error),
                Err(conflict) => return Err(conflict),
            }
            task::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
        let error = last_error.unwrap_or_else(|| Report::new(PlatformError::busy()));
        Err(ChangeError::Unsettled(error))
    }

    async fn try_change(
        &self,
        change: &Change,
        context: &ChangeContext,
        planned_before: Option<Generation>,
    ) -> Result<Attempt, ChangeError> {
        if let Some(generation) = self.committed_before(context, planned_before).await? {
            return Ok(Attempt::Committed(generation));
        }
        let rows = self.table.read(CONFIG_PREFIX).await.map_err(ChangeError::Unsettled)?;
        let planned = plan(&rows, change.clone(), context).map_err(ChangeError::Conflict)?;
        match self.table.commit(&planned.transaction).await {
            Ok(Commit::Done) => Ok(Attempt::Committed(planned.generation)),
            Ok(Commit::Conflict) | Err(_) => Ok(Attempt::Raced(planned.generation)),
        }
    }

    /// Returns the generation of this very change if an earlier try took effect.
    async fn committed_before(
        &self,
        context: &ChangeContext,
        planned_before: Option<Generation>,
    ) -> Result<Option<Generation>, ChangeError> {
        let Some(generation) = planned_before else { return Ok(None) };
        let key = audit_key(generation);
        let rows = self.table.read(&key).await.map_err(ChangeError::Unsettled)?;
        let own = read_audit(&rows).iter().any(|entry| entry.change_id == context.change_id());
        Ok(own.then_some(generation))
    }
}

enum Attempt {
    Committed(Generation),
    /// Somebody else was first, or the answer was lost; the planned generation tells which.
    Raced(Generation),
}

fn read_audit(rows: &[Row]) -> Vec<AuditEntry> {
    rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok()).collect()
}
