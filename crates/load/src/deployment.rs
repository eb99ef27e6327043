//! The processes to be measured.

use std::{net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};

use crate::LoadError;

/// An entry process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryPlace {
    /// Where callers connect.
    pub http: SocketAddr,
    /// Where operators read metrics.
    pub operator: SocketAddr,
}

/// A dispatcher.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DispatchPlace {
    /// Where operators read metrics.
    pub operator: SocketAddr,
}

/// A process whose processor time is counted.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessPlace {
    /// Its role.
    pub role: String,
    /// Its process id.
    pub pid: u32,
}

/// A running deployment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its name in reports.
    pub name: String,
    /// The platform's table service.
    pub platform: SocketAddr,
    /// All slots of its targets.
    pub slots: u32,
    /// Its entry processes.
    pub entries: Vec<EntryPlace>,
    /// Its dispatchers.
    pub dispatchers: Vec<DispatchPlace>,
    /// Its processes.
    pub processes: Vec<ProcessPlace>,
}

impl Deployment {
    /// Reads a deployment from a JSON file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is not a deployment.
    pub fn read(path: &Path) -> Result<Self, LoadError> {
        let named = |error: &dyn std::fmt::Display| {
            LoadError::new(format!("deployment {}: {error}", path.display()))
        };
        let text = std::fs::read_to_string(path).map_err(|error| named(&error))?;
        serde_json::from_str(&text).map_err(|error| named(&error))
    }
}
