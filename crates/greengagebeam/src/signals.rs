//! Requests to stop.

use std::{io, thread};

use async_channel::Receiver;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

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
