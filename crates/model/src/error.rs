//! Validation errors, and the steps and peers that other errors refer to.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// Step of an operation in which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Parsing or validating a value.
    Validate,
    /// Binding a listening socket.
    Bind,
    /// Opening a connection.
    Connect,
    /// Sending a request.
    Send,
    /// Receiving a response.
    Receive,
    /// Decoding a message.
    Decode,
    /// Committing a transaction to the platform's store.
    Commit,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Step::Validate => "validate",
            Step::Bind => "bind",
            Step::Connect => "connect",
            Step::Send => "send",
            Step::Receive => "receive",
            Step::Decode => "decode",
            Step::Commit => "commit",
        };
        f.write_str(name)
    }
}

/// Remote side of the operation in which an error occurred.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Peer {
    /// No other process was involved.
    Local,
    /// A process, by its address.
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

/// Value that fails validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    field: &'static str,
    given: String,
    expected: &'static str,
}

impl ValidationError {
    /// Returns an error for `field` with the given value and a description of valid values.
    pub fn new(field: &'static str, given: impl ToString, expected: &'static str) -> Self {
        ValidationError { field, given: given.to_string(), expected }
    }

    /// Returns the name of the invalid field.
    pub const fn field(&self) -> &'static str {
        self.field
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: got `{}`, expected {}", self.field, self.given, self.expected)
    }
}

impl std::error::Error for ValidationError {}
