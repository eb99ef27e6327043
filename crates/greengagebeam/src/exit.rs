//! Exit codes of the programs.

use std::process;

/// Exit code of a program; documented in `docs/operate.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The program completed its task.
    Success = 0,
    /// The program failed while it was running.
    Failed = 1,
    /// The settings are invalid; nothing was started.
    InvalidSettings = 2,
    /// A change conflicts with the stored configuration; nothing was written.
    Conflict = 3,
    /// The outcome of a configuration change is unknown.
    OutcomeUnknown = 4,
    /// A condition was not met within the time allowed.
    TimedOut = 5,
}

/// Prints `message` on standard error and exits with `code`.
pub fn exit_with(code: ExitCode, message: impl std::fmt::Display) -> ! {
    eprintln!("{message}");
    process::exit(code as i32)
}
