//! Signals that stop or reload a process.

use std::{io, thread};

use async_channel::Receiver;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

/// Request that a signal makes to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// Finish the work in progress and exit (SIGTERM, SIGINT).
    Stop,
    /// Read the settings file again (SIGHUP).
    Reload,
}

/// Returns a receiver of the requests made by SIGTERM, SIGINT and SIGHUP.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub fn signal_requests() -> io::Result<Receiver<SignalRequest>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (sender, receiver) = async_channel::unbounded();
    thread::spawn(move || {
        for signal in signals.forever() {
            let request = match signal {
                SIGHUP => SignalRequest::Reload,
                _ => SignalRequest::Stop,
            };
            if sender.send_blocking(request).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

/// Returns a channel that is closed when SIGTERM or SIGINT arrives.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub fn termination_signal() -> io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, receiver) = async_channel::bounded(1);
    thread::spawn(move || {
        signals.forever().next();
        sender.close();
    });
    Ok(receiver)
}
