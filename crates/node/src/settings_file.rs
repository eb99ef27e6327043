//! Reads the settings file, at the start and while the process runs.

use std::{
    fmt, fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use async_std::task;
use error_stack::{Report, ResultExt as _, ensure};
use ggb_adapter::NodeSettings;
use ggb_placement::CALLER_EXPIRY_MS;
use ggb_telemetry::log_event;
use parking_lot::Mutex;

use crate::shared::Shared;

/// Interval at which the file is checked for changes, since it may change without a signal.
const POLL_INTERVAL_MS: u64 = 2_000;

/// Time that the request of a caller may take to reach a process: the caller counts from when it gave
/// the request up, the process from when it last found the caller connected.
const CALLER_TRANSIT_MS: u64 = 50;

/// Error of a process that can't read its settings or can't keep its promises with them.
#[derive(Debug)]
pub struct UnusableSettings(String);

impl fmt::Display for UnusableSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for UnusableSettings {}

/// Reads the settings file at `path`.
///
/// # Errors
///
/// Returns an error if the file can't be read or parsed, or if callers send their jobs again so early
/// that runs of the first submission may still be in progress.
pub fn read_settings(path: &Path) -> Result<NodeSettings, Report<UnusableSettings>> {
    let unreadable = || UnusableSettings("cannot use the settings file".to_owned());
    let settings = NodeSettings::read(path).change_context_lazy(unreadable)?;
    let min_resend_ms = CALLER_EXPIRY_MS + CALLER_TRANSIT_MS;
    ensure!(
        settings.resend_ms >= min_resend_ms,
        UnusableSettings(format!(
            "cannot use the settings file {}: callers send jobs again after {} ms: expected at least \
             {min_resend_ms} ms, by which the runs of the first submission have ended",
            path.display(),
            settings.resend_ms
        ))
    );
    Ok(settings)
}

/// The settings file and its content when it was last read.
pub(crate) struct SettingsFile {
    path: PathBuf,
    shared: Arc<Shared>,
    last_text: Mutex<Option<String>>,
}

impl SettingsFile {
    /// Reads the current content of the file at `path`, without applying it.
    pub(crate) fn load(path: PathBuf, shared: Arc<Shared>) -> Self {
        let last_text = Mutex::new(fs::read_to_string(&path).ok());
        SettingsFile { path, shared, last_text }
    }

    /// Reloads the settings whenever the file has changed, until the process ends.
    pub(crate) async fn watch(self: Arc<Self>) {
        loop {
            task::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            let text = fs::read_to_string(&self.path).ok();
            if text.is_some() && *self.last_text.lock() != text {
                self.reload();
            }
        }
    }

    /// Reads the file and applies the settings, unless they are invalid.
    pub(crate) fn reload(&self) {
        *self.last_text.lock() = fs::read_to_string(&self.path).ok();
        match read_settings(&self.path) {
            Ok(settings) => {
                let changed = settings != *self.shared.live_settings();
                log_event!(info, SettingsReloaded, changed, grace_ms = settings.grace_ms);
                self.shared.set_live_settings(settings);
            }
            Err(error) => log_event!(error, SettingsInvalid, error = ?error),
        }
    }
}
