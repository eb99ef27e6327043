//! Errors of the HTTP client and server.

use std::{fmt, net::SocketAddr};

use ggb_model::{Peer, Step};

/// Whether the peer may have received a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// The request was not sent.
    No,
    /// Part or all of the request may have been sent, so the peer may have acted on it.
    Maybe,
}

/// Failure of a request or of the server, with the step that failed and the peer.
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

    /// Returns an error in reading a body.
    pub(crate) fn body(peer: Option<SocketAddr>, message: impl ToString) -> Self {
        HttpError::new(Step::Receive, peer.map_or(Peer::Local, Peer::Addr), Sent::Maybe, message)
    }

    /// Returns the step that failed.
    pub const fn step(&self) -> Step {
        self.step
    }

    /// Returns whether the peer may have received the request.
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
