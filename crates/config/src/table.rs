//! Rows and transactions of the platform's table service.

use serde::{Deserialize, Serialize};

/// The version of a row; it changes with every write of the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version of a row that does not exist.
    pub const ABSENT: Version = Version(0);
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's name.
    pub key: String,
    /// The row's content.
    pub value: String,
    /// The row's version.
    pub version: Version,
}

/// What must hold for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row.
    pub key: String,
    /// The version that it must have.
    pub version: Version,
}

/// A row to be written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's name.
    pub key: String,
    /// The new content.
    pub value: String,
}

/// Writes that are committed together, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}
