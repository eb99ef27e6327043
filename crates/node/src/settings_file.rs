//! Reloads the settings file while the process runs.

use std::{fs, path::PathBuf, sync::Arc, time::Duration};

use async_std::task;
use ggb_adapter::NodeSettings;
use ggb_telemetry::log_event;
use parking_lot::Mutex;

use crate::shared::Shared;

/// Interval at which the file is checked for changes, since it may change without a signal.
const POLL_INTERVAL_MS: u64 = 2_000;

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
        match NodeSettings::read(&self.path) {
            Ok(settings) => {
                let changed = settings != *self.shared.live_settings();
                log_event!(info, SettingsReloaded, changed, grace_ms = settings.grace_ms);
                self.shared.set_live_settings(settings);
            }
            Err(error) => log_event!(error, SettingsInvalid, error = ?error),
        }
    }
}
