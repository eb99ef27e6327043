//! Errors of calls to the platform.

use std::{fmt, net::SocketAddr};

use ggb_model::{Peer, Step};

/// A call to the platform that gave no usable answer.
///
/// A commit that fails like this may have taken effect.
#[derive(Debug)]
pub struct PlatformError {
    step: Step,
    peer: Peer,
    message: String,
}

impl PlatformError {
    pub(crate) fn new(step: Step, addr: SocketAddr, message: impl ToString) -> Self {
        PlatformError { step, peer: addr.into(), message: message.to_string() }
    }

    pub(crate) fn busy() -> Self {
        PlatformError {
            step: Step::Commit,
            peer: Peer::Local,
            message: "expected to win a race for a row within the allowed tries".to_owned(),
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} with {}: {}", self.step, self.peer, self.message)
    }
}

impl std::error::Error for PlatformError {}
