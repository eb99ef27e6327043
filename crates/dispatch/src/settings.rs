//! Settings of a dispatcher.

use std::net::{IpAddr, SocketAddr};

use ggb_model::Zone;
use ggb_policy::Options;

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Its availability zone.
    pub zone: Zone,
    /// Where homes connect.
    pub rpc_listen: SocketAddr,
    /// Where operators read metrics and status.
    pub operator_listen: SocketAddr,
    /// The platform's table service and list of VMs.
    pub platform: SocketAddr,
    /// Entry processes to ask for the list of VMs while the platform can't be reached.
    pub seeds: Vec<SocketAddr>,
    /// The address that connections come from, if not left to the system.
    pub source_ip: Option<IpAddr>,
    /// How slots are shared.
    pub options: Options,
}
