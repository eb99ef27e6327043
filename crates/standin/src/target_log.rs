//! Log of a target stand-in, which the checks of a test read.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write as _},
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Kind of event that a line of the log records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogKind {
    /// A task started.
    Start,
    /// A task ended by itself or its lease expired.
    End,
    /// A request stopped a running task.
    Stop,
    /// A task was denied.
    Deny,
    /// The target began to leave.
    Leave,
}

/// One line of a target's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLine {
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the target.
    pub target: String,
    /// Kind of event.
    pub kind: LogKind,
    /// Attempt that the event is about; empty for `Leave`.
    pub attempt: String,
    /// Tag in the payload of the task; empty for `Leave`.
    pub tag: String,
}

/// Appends lines to a file, each in one write without a buffer, so that killing the process
/// loses no line.
#[derive(Debug)]
pub(crate) struct TargetLog {
    file: Option<Mutex<File>>,
}

impl TargetLog {
    /// Opens the log for appending, or returns one that writes nothing if `path` is absent.
    pub(crate) fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = path.map(open).transpose()?;
        Ok(TargetLog { file: file.map(Mutex::new) })
    }

    pub(crate) fn write(&self, target: &str, kind: LogKind, attempt: &str, tag: &str) {
        let Some(file) = &self.file else { return };
        let line = LogLine {
            at_ms: unix_time_ms(),
            target: target.to_owned(),
            kind,
            attempt: attempt.to_owned(),
            tag: tag.to_owned(),
        };
        let mut text = serde_json::to_string(&line)
            .expect("a log line serializes without error: all map keys are strings");
        text.push('\n');
        file.lock().write_all(text.as_bytes()).expect("writing the log of a target stand-in");
    }
}

/// Reads the lines of a log.
///
/// # Errors
///
/// Fails if the file can't be read or a line is not a [`LogLine`].
pub fn read_log(path: &Path) -> io::Result<Vec<LogLine>> {
    let text = std::fs::read_to_string(path)?;
    text.lines().map(|line| serde_json::from_str(line).map_err(io::Error::other)).collect()
}

/// Returns the current time in milliseconds since the Unix epoch.
pub(crate) fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
