//! Conversions between messages and the types of [`ggb_model`].

use std::{fmt, net::SocketAddr};

use ggb_model::{HomeId, Priority, TaskShape};

use crate::v1;

/// Error for a message field without a valid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    field: &'static str,
    value: String,
}

impl WireError {
    /// Returns an error for `field` that states the received `value`.
    pub fn new(field: &'static str, value: impl ToString) -> Self {
        WireError { field, value: value.to_string() }
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "decode: field {}: got `{}`, expected a valid value", self.field, self.value)
    }
}

impl std::error::Error for WireError {}

impl From<TaskShape> for v1::Shape {
    fn from(shape: TaskShape) -> Self {
        v1::Shape {
            slots: shape.slots.into(),
            memory_mib: shape.memory_mib,
            accelerators: shape.accelerators.into(),
        }
    }
}

impl TryFrom<v1::Shape> for TaskShape {
    type Error = WireError;

    fn try_from(shape: v1::Shape) -> Result<Self, WireError> {
        let to_u16 =
            |field, value: u32| u16::try_from(value).map_err(|_| WireError::new(field, value));
        Ok(TaskShape {
            slots: to_u16("slots", shape.slots)?,
            memory_mib: shape.memory_mib,
            accelerators: to_u16("accelerators", shape.accelerators)?,
        })
    }
}

impl From<Priority> for v1::Priority {
    fn from(priority: Priority) -> Self {
        match priority {
            Priority::Urgent => v1::Priority::Urgent,
            Priority::Standard => v1::Priority::Standard,
            Priority::Background => v1::Priority::Background,
        }
    }
}

/// Converts the priority of a message.
///
/// # Errors
///
/// Fails if the priority is unspecified.
pub fn decode_priority(priority: v1::Priority) -> Result<Priority, WireError> {
    match priority {
        v1::Priority::Urgent => Ok(Priority::Urgent),
        v1::Priority::Standard => Ok(Priority::Standard),
        v1::Priority::Background => Ok(Priority::Background),
        v1::Priority::Unspecified => Err(WireError::new("priority", "unspecified")),
    }
}

/// Parses a socket address of a message.
///
/// # Errors
///
/// Fails if the text is not an address with a port.
pub fn parse_addr(text: &str) -> Result<SocketAddr, WireError> {
    text.parse().map_err(|_| WireError::new("address", text))
}

/// Parses the socket addresses of a message.
///
/// # Errors
///
/// Fails at the first text that is not an address with a port.
pub fn parse_addrs(texts: &[String]) -> Result<Vec<SocketAddr>, WireError> {
    texts.iter().map(|text| parse_addr(text)).collect()
}

/// Parses the identity of a home in a message.
///
/// # Errors
///
/// Fails if the text is not a valid [`HomeId`].
pub fn parse_home(text: &str) -> Result<HomeId, WireError> {
    text.parse().map_err(|_| WireError::new("home", text))
}
