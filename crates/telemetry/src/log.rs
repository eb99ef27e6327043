//! Logs on standard error.

use std::{io, str::FromStr};

use ggb_model::ModelError;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The most lines that wait for a slow reader; about 1 MB.
const BUFFERED_LINES: usize = 4_096;

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Human,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = ModelError;

    fn from_str(word: &str) -> Result<Self, ModelError> {
        match word {
            "human" => Ok(LogFormat::Human),
            "json" => Ok(LogFormat::Json),
            _ => Err(ModelError::new("log-format", word, "`human` or `json`")),
        }
    }
}

/// Sends log lines to standard error from now on.
///
/// `filter` has the form that `tracing-subscriber` reads, such as `info` or
/// `ggb_entry=debug`. A second call has no effect.
///
/// # Errors
///
/// Fails if the filter can't be read.
pub fn init_logs(format: LogFormat, filter: &str) -> Result<(), ModelError> {
    let filter = EnvFilter::try_new(filter)
        .map_err(|_| ModelError::new("log-filter", filter, "a filter such as `info`"))?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    match format {
        LogFormat::Human => builder.with_ansi(false).try_init().ok(),
        LogFormat::Json => builder.json().flatten_event(true).try_init().ok(),
    };
    Ok(())
}

/// Keeps the thread that writes log lines; lines are written while it lives.
#[derive(Debug)]
pub struct LogWriter {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogWriter {
    /// Returns how many lines were left out because their reader was too slow.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Sends log lines as JSON objects to standard output from now on, without ever waiting
/// for the reader: lines that it does not take in time are left out and counted.
///
/// # Errors
///
/// Fails if the filter can't be read.
pub fn init_stdout_logs(filter: &str) -> Result<LogWriter, ModelError> {
    let filter = EnvFilter::try_new(filter)
        .map_err(|_| ModelError::new("log-filter", filter, "a filter such as `info`"))?;
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(BUFFERED_LINES);
    let (writer, guard) = builder.finish(io::stdout());
    let dropped = writer.error_counter();
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    subscriber.json().flatten_event(true).try_init().ok();
    Ok(LogWriter { _guard: guard, dropped })
}
