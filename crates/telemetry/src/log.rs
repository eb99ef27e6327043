//! Logging to standard error or standard output.

use std::{
    io,
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use ggb_model::ValidationError;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of lines that are buffered for a slow reader; about 1 MB.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Maximum number of lines per second. A line costs about 10 us of CPU time, and a VM has a quarter
/// of a core.
const MAX_LINES_PER_SECOND: usize = 400;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text for human readers.
    Human,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = ValidationError;

    fn from_str(text: &str) -> Result<Self, ValidationError> {
        match text {
            "human" => Ok(LogFormat::Human),
            "json" => Ok(LogFormat::Json),
            _ => Err(ValidationError::new("log-format", text, "`human` or `json`")),
        }
    }
}

/// Starts logging to standard error.
///
/// `filter` has the syntax of `tracing_subscriber::EnvFilter`, such as `info` or
/// `ggb_entry=debug`. A second call has no effect.
///
/// # Errors
///
/// Returns an error if `filter` is invalid.
pub fn init_logs(format: LogFormat, filter: &str) -> Result<(), ValidationError> {
    let filter = EnvFilter::try_new(filter)
        .map_err(|_| ValidationError::new("log-filter", filter, "a filter such as `info`"))?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    match format {
        LogFormat::Human => builder.with_ansi(false).try_init().ok(),
        LogFormat::Json => builder.json().flatten_event(true).try_init().ok(),
    };
    Ok(())
}

/// Owner of the thread that writes log lines; dropping it ends the thread.
#[derive(Debug)]
pub struct LogWriter {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
    rate_limiter: LineRateLimiter,
}

impl LogWriter {
    /// Returns the number of lines that were dropped, because the reader was too slow or the limit
    /// of lines per second was reached.
    pub fn dropped_line_count(&self) -> usize {
        self.dropped.dropped_lines() + self.rate_limiter.dropped_lines.load(Ordering::Relaxed)
    }
}

/// Limits the number of lines written per second.
#[derive(Clone, Debug)]
struct LineRateLimiter {
    writer: NonBlocking,
    started: Instant,
    /// Current second since `started`.
    current_second: Arc<AtomicU64>,
    /// Number of lines in the current second, including dropped ones.
    lines: Arc<AtomicUsize>,
    /// Number of lines dropped so far.
    dropped_lines: Arc<AtomicUsize>,
}

impl LineRateLimiter {
    fn new(writer: NonBlocking) -> Self {
        LineRateLimiter {
            writer,
            started: Instant::now(),
            current_second: Arc::default(),
            lines: Arc::default(),
            dropped_lines: Arc::default(),
        }
    }

    /// Counts a line. Returns whether it is within the limit.
    fn count_line(&self) -> bool {
        let current_second = self.started.elapsed().as_secs();
        if self.current_second.swap(current_second, Ordering::Relaxed) != current_second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let is_within_limit = self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND;
        if !is_within_limit {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        is_within_limit
    }
}

impl io::Write for LineRateLimiter {
    /// Writes a line, or drops it if the limit for the current second is reached.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.count_line() {
            true => self.writer.write(line),
            false => Ok(line.len()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }
}

/// Starts logging to standard output, with one JSON object per line.
///
/// Logging never blocks: lines are dropped and counted if the reader is too slow or the limit of
/// lines per second is reached. A second call has no effect on the logging.
///
/// # Errors
///
/// Returns an error if `filter` is invalid.
pub fn init_stdout_logs(filter: &str) -> Result<LogWriter, ValidationError> {
    let filter = EnvFilter::try_new(filter)
        .map_err(|_| ValidationError::new("log-filter", filter, "a filter such as `info`"))?;
    let builder =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LINES);
    let (writer, guard) = builder.finish(io::stdout());
    let dropped = writer.error_counter();
    let rate_limiter = LineRateLimiter::new(writer);
    let lines = rate_limiter.clone();
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_target(false);
    let subscriber = subscriber.with_writer(move || lines.clone());
    subscriber.json().flatten_event(true).try_init().ok();
    Ok(LogWriter { _guard: guard, dropped, rate_limiter })
}
