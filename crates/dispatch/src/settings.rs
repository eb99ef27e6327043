//! Settings of a dispatcher process.

use std::net::{IpAddr, SocketAddr};

use ggb_model::Zone;
use ggb_policy::SchedulerOptions;

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Availability zone whose targets the dispatcher manages.
    pub zone: Zone,
    /// Address at which homes connect.
    pub rpc_listen: SocketAddr,
    /// Address at which operators read metrics and status.
    pub operator_listen: SocketAddr,
    /// Address of the platform's store, which holds the list of VMs.
    pub platform_addr: SocketAddr,
    /// Entry processes that are asked for the list of VMs while the platform is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// Source address of outgoing connections; the system chooses one if it is `None`.
    pub source_ip: Option<IpAddr>,
    /// Options of the scheduler.
    pub options: SchedulerOptions,
}
