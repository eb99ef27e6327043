//! Settings of an entry process.

use std::{
    net::{IpAddr, SocketAddr},
    str::FromStr,
};

use ggb_model::{ValidationError, Zone};
use ggb_session::SessionLimits;

/// Policy by which a home chooses the target of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum PlacementPolicy {
    /// The target of a slot lease that a dispatcher granted.
    #[default]
    Leases,
    /// A random target; a baseline for measurements.
    Random,
    /// The less loaded of two random targets according to polled, possibly stale reports; a
    /// baseline for measurements.
    TwoChoices,
}

impl FromStr for PlacementPolicy {
    type Err = ValidationError;

    fn from_str(word: &str) -> Result<Self, ValidationError> {
        match word {
            "leases" => Ok(PlacementPolicy::Leases),
            "random" => Ok(PlacementPolicy::Random),
            "two-choices" => Ok(PlacementPolicy::TwoChoices),
            _ => Err(ValidationError::new("placer", word, "`leases`, `random` or `two-choices`")),
        }
    }
}

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Availability zone of the process.
    pub zone: Zone,
    /// Zones besides its own whose dispatchers the process may use; empty for all zones.
    pub remote_zones: Vec<Zone>,
    /// Listening address for callers, by HTTP.
    pub http_listen: SocketAddr,
    /// Listening address for the other entry processes, by gRPC.
    pub rpc_listen: SocketAddr,
    /// Address at which the other entry processes reach this one, if it is not the address
    /// bound for `rpc_listen`; becomes part of session ids.
    pub rpc_advertise: Option<SocketAddr>,
    /// Listening address for metrics and status, for operators.
    pub operator_listen: SocketAddr,
    /// Address of the platform's store and list of VMs.
    pub platform_addr: SocketAddr,
    /// Entry processes to ask for the list of VMs until a list was received, and for other
    /// state while no other entry process is known.
    pub seeds: Vec<SocketAddr>,
    /// Source address of outgoing connections; chosen by the system if absent.
    pub source_ip: Option<IpAddr>,
    /// Maximum size of the body of a submission.
    pub max_body_bytes: usize,
    /// Maximum size of the answer of one task.
    pub max_answer_bytes: usize,
    /// Maximum number of connections from callers.
    pub max_connections: usize,
    /// Limits on sessions, running jobs and retained answers.
    pub limits: SessionLimits,
    /// Policy by which targets are chosen.
    pub placement: PlacementPolicy,
}
