//! Errors of calls to the platform's services.

use std::{fmt, net::SocketAddr};

use ggb_model::{Peer, Step};

/// A call to the platform without a usable answer.
///
/// A commit that fails with this error may have been applied.
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

    /// Creates the error for a commit that lost to concurrent changes of its rows.
    pub(crate) fn contention() -> Self {
        PlatformError {
            step: Step::Commit,
            peer: Peer::Local,
            message: "expected no conflicting change of the row within the allowed attempts"
                .to_owned(),
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} with {}: {}", self.step, self.peer, self.message)
    }
}

impl std::error::Error for PlatformError {}
