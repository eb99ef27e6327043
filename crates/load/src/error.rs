//! Errors of the load tool.

use std::fmt;

/// Failure of a measurement, or of writing its results.
#[derive(Debug)]
pub struct LoadError {
    message: String,
}

impl LoadError {
    pub(crate) fn new(message: impl fmt::Display) -> Self {
        LoadError { message: message.to_string() }
    }
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for LoadError {}
