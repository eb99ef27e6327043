//! Settings of an entry process.

use std::{
    net::{IpAddr, SocketAddr},
    str::FromStr,
};

use ggb_model::{ModelError, Zone};
use ggb_session::Limits;

/// How targets are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Placer {
    /// By slot leases that dispatchers grant.
    #[default]
    Leases,
    /// A random target for each task; a baseline for measurements.
    Random,
    /// The less loaded of two random targets by stale reports; a baseline for measurements.
    TwoChoices,
}

impl FromStr for Placer {
    type Err = ModelError;

    fn from_str(word: &str) -> Result<Self, ModelError> {
        match word {
            "leases" => Ok(Placer::Leases),
            "random" => Ok(Placer::Random),
            "two-choices" => Ok(Placer::TwoChoices),
            _ => Err(ModelError::new("placer", word, "`leases`, `random` or `two-choices`")),
        }
    }
}

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Its availability zone.
    pub zone: Zone,
    /// The zones that work may spill to; all zones if none is named.
    pub spill_zones: Vec<Zone>,
    /// Where callers connect.
    pub http_listen: SocketAddr,
    /// Where the other entry processes connect.
    pub rpc_listen: SocketAddr,
    /// The address at which they reach it, if it differs.
    pub rpc_advertise: Option<SocketAddr>,
    /// Where operators read metrics and status.
    pub operator_listen: SocketAddr,
    /// The platform's table service and list of VMs.
    pub platform: SocketAddr,
    /// Entry processes to ask for news while the platform can't be reached.
    pub seeds: Vec<SocketAddr>,
    /// The address that connections come from, if not left to the system.
    pub source_ip: Option<IpAddr>,
    /// The most bytes of a submission.
    pub body_bytes: usize,
    /// The most bytes of the answer of one task.
    pub answer_bytes: usize,
    /// The most connections of callers.
    pub connections: usize,
    /// Bounds on sessions and answers.
    pub limits: Limits,
    /// How targets are chosen.
    pub placer: Placer,
}
