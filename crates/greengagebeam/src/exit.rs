//! Exit codes.

use std::process;

/// How a program ends; documented in `docs/operate.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// It did what it was asked.
    Done = 0,
    /// It failed while running.
    Failed = 1,
    /// Its settings are wrong; nothing was started.
    BadSettings = 2,
    /// A change of configuration conflicts with what is stored; nothing was written.
    Conflict = 3,
    /// Whether a change of configuration took effect is not known.
    Unsettled = 4,
    /// Something did not come about in the time allowed.
    TimedOut = 5,
}

/// Prints `message` on standard error and ends the program.
pub fn exit_with(code: ExitCode, message: impl std::fmt::Display) -> ! {
    eprintln!("{message}");
    process::exit(code as i32)
}
