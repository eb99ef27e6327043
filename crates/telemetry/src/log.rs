//! Logs on standard error.

use std::{
    io,
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use ggb_model::ModelError;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The most lines that wait for a slow reader; about 1 MB.
const BUFFERED_LINES: usize = 4_096;

/// The most lines of one second; a line costs some 10 us of processor time, and a VM has a
/// quarter of a core.
const LINES_PER_S: usize = 400;

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
    budget: LineBudget,
}

impl LogWriter {
    /// Returns how many lines were left out, because their reader was too slow or because
    /// there were more than the budget of their second.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines() + self.budget.over.load(Ordering::Relaxed)
    }
}

/// Lets through a bounded number of lines each second.
#[derive(Clone, Debug)]
struct LineBudget {
    writer: NonBlocking,
    started: Instant,
    /// The second that is counted, and the lines of it.
    second: Arc<AtomicU64>,
    lines: Arc<AtomicUsize>,
    over: Arc<AtomicUsize>,
}

impl LineBudget {
    fn new(writer: NonBlocking) -> Self {
        LineBudget {
            writer,
            started: Instant::now(),
            second: Arc::default(),
            lines: Arc::default(),
            over: Arc::default(),
        }
    }

    fn takes_line(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let takes = self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_S;
        if !takes {
            self.over.fetch_add(1, Ordering::Relaxed);
        }
        takes
    }
}

impl io::Write for LineBudget {
    /// Writes one line, or leaves it out and counts it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.takes_line() {
            true => self.writer.write(line),
            false => Ok(line.len()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
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
    let budget = LineBudget::new(writer);
    let lines = budget.clone();
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_target(false);
    let subscriber = subscriber.with_writer(move || lines.clone());
    subscriber.json().flatten_event(true).try_init().ok();
    Ok(LogWriter { _guard: guard, dropped, budget })
}
