//! Errors of exchanges over HTTP.

use std::{fmt, net::SocketAddr};

use ggb_model::{Peer, Step};

/// Whether the other side may have seen a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// No byte left this process.
    No,
    /// Bytes may have left, so the other side may have acted on them.
    Maybe,
}

/// An exchange that failed, with the step and the peer at which it did.
#[derive(Debug)]
pub struct HttpError {
    step: Step,
    peer: Peer,
    sent: Sent,
    message: String,
}

impl HttpError {
    pub(crate) fn new(
        step: Step,
        peer: impl Into<Peer>,
        sent: Sent,
        message: impl ToString,
    ) -> Self {
        HttpError { step, peer: peer.into(), sent, message: message.to_string() }
    }

    pub(crate) fn body(peer: Option<SocketAddr>, message: impl ToString) -> Self {
        HttpError::new(Step::Receive, peer.map_or(Peer::Local, Peer::Addr), Sent::Maybe, message)
    }

    /// Returns the step.
    pub const fn step(&self) -> Step {
        self.step
    }

    /// Returns whether the other side may have seen the request.
    pub const fn sent(&self) -> Sent {
        self.sent
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} with {}: {}", self.step, self.peer, self.message)
    }
}

impl std::error::Error for HttpError {}
