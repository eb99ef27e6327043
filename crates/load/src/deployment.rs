//! Description of the deployment to measure.

use std::{net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};

use crate::LoadError;

/// Addresses of an entry process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryAddrs {
    /// Address of the caller API.
    pub http: SocketAddr,
    /// Address of the operator API, which serves metrics and status.
    pub operator: SocketAddr,
}

/// Address of a dispatcher.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DispatcherAddrs {
    /// Address of the operator API, which serves metrics and status.
    pub operator: SocketAddr,
}

/// A process whose CPU time and memory are measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessInfo {
    /// Role under which its usage is reported.
    pub role: String,
    /// Process ID.
    pub pid: u32,
}

/// A running deployment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name used in reports.
    pub name: String,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Total number of slots of all targets.
    pub slots: u32,
    /// Addresses of the entry processes.
    pub entries: Vec<EntryAddrs>,
    /// Addresses of the dispatchers.
    pub dispatchers: Vec<DispatcherAddrs>,
    /// Processes whose CPU time and memory are measured.
    pub processes: Vec<ProcessInfo>,
}

impl Deployment {
    /// Reads a deployment from a JSON file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or doesn't describe a deployment.
    pub fn read(path: &Path) -> Result<Self, LoadError> {
        let read_error = |error: &dyn std::fmt::Display| {
            LoadError::new(format!("deployment {}: {error}", path.display()))
        };
        let text = std::fs::read_to_string(path).map_err(|error| read_error(&error))?;
        serde_json::from_str(&text).map_err(|error| read_error(&error))
    }
}
