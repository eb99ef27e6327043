//! Rows and transactions of the platform's store.

use serde::{Deserialize, Serialize};

/// Version of a row, which changes with every write of the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Version that stands for a row that doesn't exist.
    pub const ABSENT: Version = Version(0);
}

/// Row as read from the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row, as JSON.
    pub value: String,
    /// Version at the time of the read.
    pub version: Version,
}

/// Version that a row must have for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Required version; [`Version::ABSENT`] if the row must not exist.
    pub version: Version,
}

/// Write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value of the row.
    pub value: String,
}

/// Writes that are committed atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub writes: Vec<Write>,
}
