//! What a target stand-in writes down for the checker.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write as _},
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// The kind of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogKind {
    /// A task was started.
    Start,
    /// A task ended by itself.
    End,
    /// A task was stopped before its end.
    Stop,
    /// A start was denied.
    Deny,
    /// The target is leaving from now on.
    Leave,
}

/// One line of a target's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLine {
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// Which target.
    pub target: String,
    /// What happened.
    pub kind: LogKind,
    /// The attempt, if it is about one.
    pub attempt: String,
    /// The tag in the payload of the task.
    pub tag: String,
}

/// Appends lines to a file, each in one write, so that a kill loses none.
#[derive(Debug)]
pub(crate) struct TargetLog {
    file: Option<Mutex<File>>,
}

impl TargetLog {
    pub(crate) fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = path.map(open).transpose()?;
        Ok(TargetLog { file: file.map(Mutex::new) })
    }

    pub(crate) fn write(&self, target: &str, kind: LogKind, attempt: &str, tag: &str) {
        let Some(file) = &self.file else { return };
        let line = LogLine {
            at_ms: unix_ms(),
            target: target.to_owned(),
            kind,
            attempt: attempt.to_owned(),
            tag: tag.to_owned(),
        };
        let mut text = serde_json::to_string(&line).expect("log lines have only string keys");
        text.push('\n');
        file.lock().write_all(text.as_bytes()).expect("the log of a stand-in can be written");
    }
}

/// Reads the lines of a log.
///
/// # Errors
///
/// Fails if the file can't be read or holds anything else.
pub fn read_log(path: &Path) -> io::Result<Vec<LogLine>> {
    let text = std::fs::read_to_string(path)?;
    text.lines().map(|line| serde_json::from_str(line).map_err(io::Error::other)).collect()
}

pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
