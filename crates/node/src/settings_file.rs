//! The settings file while the process runs.

use std::{fs, path::PathBuf, sync::Arc, time::Duration};

use async_std::task;
use ggb_adapter::NodeSettings;
use ggb_telemetry::log_event;
use parking_lot::Mutex;

use crate::shared::Shared;

/// The pause between two looks at the file, which may change without a signal.
const POLL_MS: u64 = 2_000;

/// The settings file and what it held when it was last read.
pub(crate) struct SettingsFile {
    path: PathBuf,
    shared: Arc<Shared>,
    text: Mutex<Option<String>>,
}

impl SettingsFile {
    pub(crate) fn open(path: PathBuf, shared: Arc<Shared>) -> Self {
        let text = Mutex::new(fs::read_to_string(&path).ok());
        SettingsFile { path, shared, text }
    }

    /// Reads the file again whenever it has changed, until the process ends.
    pub(crate) async fn follow(self: Arc<Self>) {
        loop {
            task::sleep(Duration::from_millis(POLL_MS)).await;
            let text = fs::read_to_string(&self.path).ok();
            if text.is_some() && *self.text.lock() != text {
                self.reload();
            }
        }
    }

    /// Reads the file; settings that break a rule leave those in force as they are.
    pub(crate) fn reload(&self) {
        *self.text.lock() = fs::read_to_string(&self.path).ok();
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
