//! What processes tell each other of themselves.

use std::net::IpAddr;

use ggb_model::Zone;
use serde::{Deserialize, Serialize};

use crate::ClockReading;

/// An entry VM as it describes itself to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Node {
    /// Name of the VM, set by the platform; it identifies the VM among its peers.
    pub name: String,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// CPU share of the VM, in thousandths of a core.
    pub cpu_milli: u64,
}

/// Periodic message of a VM to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Heartbeat {
    /// Sender of the heartbeat.
    pub node: Node,
    /// Incarnation of the sending process, which differs from that of earlier processes of the VM.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Monotonic clock of the sender when it sent the heartbeat.
    pub clock_ms: u64,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Token of the sender's claim to the targets of its zone, if it is the owner.
    #[serde(rename = "claim")]
    pub claim_token: Option<u64>,
    /// Claims of other VMs from which the sender recently received a heartbeat.
    #[serde(rename = "heard")]
    pub known_claims: Vec<KnownClaim>,
    /// Version of the sender's active configuration, or 0 for none.
    pub configuration_version: u64,
    /// Number of tasks with the average CPU demand for which the sender's targets have free CPU
    /// now, if it is an owner.
    pub free_tasks: u64,
    /// Number of tasks that wait for capacity on the sender's targets.
    pub queued_tasks: u64,
    /// Whether the sender has not read the list of VMs since its start, so that it depends on its
    /// peers to learn of the others.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub lacks_vm_list: bool,
    /// Whether the sender neither owns its zone nor receives heartbeats of an owner, so that it
    /// depends on the reports of its peers.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub lacks_owner: bool,
    /// Processes of the recipient's zone that the sender itself has heard.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone_members: Vec<Node>,
    /// Highest token that the sender knows, for a recipient that may have made a claim before it
    /// started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_token: Option<u64>,
    /// Time that the recipient's clock had reached when this heartbeat was sent, in answers to
    /// first heartbeats.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recipient_clock: Option<ClockReading>,
}

/// Sender of a message to a peer, and the time of sending.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MessageSender {
    /// Name of the sending VM.
    pub name: String,
    /// Incarnation of the sending process, which differs from that of earlier processes of the VM.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Monotonic clock of the sender when it sent the message.
    pub clock_ms: u64,
}

/// Claim of another VM, as reported in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct KnownClaim {
    /// Name of the owner.
    pub owner: String,
    /// Token of the claim.
    pub token: u64,
    /// Time since the last heartbeat of the owner.
    pub age_ms: u64,
}
