//! Tables of the platform's store whose changes the process follows.

use error_stack::Report;
use ggb_adapter::{AdapterError, CONFIGURATION_TABLE, TARGETS_TABLE, VersionedRows};
use ggb_telemetry::log_event;

use crate::shared::{LastReadTime, Shared};

/// A table of the store whose changes the process follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchedTable {
    /// The operators' configuration.
    Configuration,
    /// The list of targets.
    Targets,
}

impl WatchedTable {
    const fn name(self) -> &'static str {
        match self {
            WatchedTable::Configuration => CONFIGURATION_TABLE,
            WatchedTable::Targets => TARGETS_TABLE,
        }
    }

    /// Returns the value for metric labels.
    const fn label(self) -> &'static str {
        match self {
            WatchedTable::Configuration => "configuration",
            WatchedTable::Targets => "targets",
        }
    }

    const fn last_read(self, shared: &Shared) -> &LastReadTime {
        match self {
            WatchedTable::Configuration => &shared.configuration_read,
            WatchedTable::Targets => &shared.targets_read,
        }
    }

    /// Reads the changes after `version`, or all rows if it is `None`, and records the outcome in
    /// logs and metrics.
    ///
    /// Waits at most `wait_ms` for the first change. Returns `None` if the store no longer has all
    /// changes after `version`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer, or not with rows.
    pub(crate) async fn changes_since(
        self,
        shared: &Shared,
        version: Option<u64>,
        wait_ms: u64,
    ) -> Result<Option<VersionedRows>, Report<AdapterError>> {
        let requested_at_ms = shared.now_ms();
        let last_read = self.last_read(shared);
        let read = shared.store().changes_since(self.name(), version, wait_ms).await;
        let result = if read.is_ok() { "answered" } else { "failed" };
        shared.metrics.store_calls.with_label_values(&[self.label(), result]).inc();
        let has_changed = shared.set_store_reachable(read.is_ok());
        match &read {
            Ok(Some(_)) => last_read.record(shared.now_ms()),
            Ok(None) => log_event!(warn, HistoryLost, table = self.name()),
            Err(error) => {
                let (error, now_ms) = (error.current_context(), shared.now_ms());
                let (took_ms, read_age_ms) = (now_ms - requested_at_ms, last_read.age_ms(now_ms));
                log_event!(
                    warn, StoreReadFailed, table = self.name(), took_ms, read_age_ms, error = %error
                );
                if has_changed {
                    log_event!(warn, StoreUnreachable, error = %error);
                }
            }
        }
        if has_changed && read.is_ok() {
            log_event!(info, StoreReachable);
        }
        read
    }
}
