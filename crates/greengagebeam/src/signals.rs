//! Requests of the operating system to a process.

use std::{io, thread};

use async_channel::Receiver;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

/// What a process is asked to do by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// To finish what is in progress and end.
    Stop,
    /// To read its settings again.
    Reload,
}

/// Returns a receiver of the requests that come by signal.
///
/// # Errors
///
/// Fails if the signals can't be caught.
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

/// Returns a receiver that ends when the process is asked to stop.
///
/// # Errors
///
/// Fails if the signals can't be caught.
pub fn termination() -> io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, receiver) = async_channel::bounded(1);
    thread::spawn(move || {
        signals.forever().next();
        sender.close();
    });
    Ok(receiver)
}
