//! Where an error arose.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// The step of a protocol in which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading or checking a value.
    Validate,
    /// Binding a listening socket.
    Bind,
    /// Opening a connection.
    Connect,
    /// Sending a request.
    Send,
    /// Reading a response.
    Receive,
    /// Decoding a message.
    Decode,
    /// Committing to the table service.
    Commit,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self {
            Step::Validate => "validate",
            Step::Bind => "bind",
            Step::Connect => "connect",
            Step::Send => "send",
            Step::Receive => "receive",
            Step::Decode => "decode",
            Step::Commit => "commit",
        };
        f.write_str(word)
    }
}

/// The other side of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Peer {
    /// No other process took part.
    Local,
    /// A process known by its address.
    Addr(SocketAddr),
}

impl From<SocketAddr> for Peer {
    fn from(addr: SocketAddr) -> Self {
        Peer::Addr(addr)
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Peer::Local => f.write_str("this process"),
            Peer::Addr(addr) => addr.fmt(f),
        }
    }
}

/// A value that does not meet its rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelError {
    field: &'static str,
    given: String,
    expected: &'static str,
}

impl ModelError {
    /// Returns an error for `field`, saying what was given and what is accepted.
    pub fn new(field: &'static str, given: impl ToString, expected: &'static str) -> Self {
        ModelError { field, given: given.to_string(), expected }
    }

    /// Returns the name of the field at fault.
    pub const fn field(&self) -> &'static str {
        self.field
    }
}

impl fmt::Display for ModelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: got `{}`, expected {}", self.field, self.given, self.expected)
    }
}

impl std::error::Error for ModelError {}
