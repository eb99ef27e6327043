//! Exchange of heartbeats, as the node does it.

use std::net::IpAddr;

use ggb_membership::Heartbeat;

use super::{Network, ProcessId};

/// Interval, in rounds, at which a heartbeat goes to [`Recipients::All`].
const ALL_RECIPIENTS_INTERVAL_ROUNDS: u64 = 3;

/// Recipients of a heartbeat. A peer whose zone is not known yet counts as one of the sender's
/// zone.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Recipients {
    /// The processes of the sender's zone; if the sender is an owner, also the owners of other
    /// zones.
    Zone,
    /// The processes of the sender's zone and the owners of other zones; if the sender is an owner,
    /// every process.
    All,
}

/// Returns the addresses that a heartbeat teaches its recipient.
// An exchange of addresses belongs here, and into `heartbeat_to` for the sender.
fn taught_ips(heartbeat: &Heartbeat) -> Vec<IpAddr> {
    vec![heartbeat.node.ip]
}

impl Network {
    /// Returns the heartbeat that a process sends to `recipient`.
    fn heartbeat_to(&self, sender: ProcessId, _recipient: IpAddr) -> Option<Heartbeat> {
        let process = self.vms[sender.vm].process.as_ref()?;
        Some(process.ownership.heartbeat(self.now_ms))
    }

    /// Sends the heartbeats of a round.
    pub(super) fn send_round(&mut self, sender: ProcessId, round: u64) {
        let recipients = match round.is_multiple_of(ALL_RECIPIENTS_INTERVAL_ROUNDS) {
            true => Recipients::All,
            false => Recipients::Zone,
        };
        self.send_heartbeats(sender, recipients);
    }

    fn send_heartbeats(&mut self, sender: ProcessId, recipients: Recipients) {
        for ip in self.recipient_ips(sender, recipients) {
            let Some(heartbeat) = self.heartbeat_to(sender, ip) else { return };
            let Some(vm) = self.vms.iter().position(|vm| vm.node.ip == ip) else { continue };
            if self.cut_links.contains(&(sender.vm, vm)) || self.is_lost() {
                continue;
            }
            let at_ms = self.now_ms + self.random_latency_ms();
            self.at(at_ms, move |network| network.receive_heartbeat(vm, heartbeat));
        }
    }

    /// Returns the addresses to which a process sends a heartbeat for `recipients`.
    fn recipient_ips(&self, sender: ProcessId, recipients: Recipients) -> Vec<IpAddr> {
        let Some(process) = &self.vms[sender.vm].process else { return Vec::new() };
        let ownership = &process.ownership;
        let is_owner = ownership.claim_token().is_some();
        let is_recipient = |ip: &IpAddr| {
            let mut peers = ownership.peers().iter().map(|peer| &peer.heartbeat);
            let known = peers.find(|heartbeat| heartbeat.node.ip == *ip);
            known.is_none_or(|peer| {
                let is_to_owner = peer.claim_token.is_some();
                peer.node.zone == ownership.local_node().zone
                    || match recipients {
                        Recipients::Zone => is_owner && is_to_owner,
                        Recipients::All => is_owner || is_to_owner,
                    }
            })
        };
        process.known_ips.iter().copied().filter(is_recipient).collect()
    }

    /// Records a heartbeat, and acts on its claim.
    fn receive_heartbeat(&mut self, vm: usize, heartbeat: Heartbeat) {
        let now_ms = self.now_ms;
        let id = self.process_id(vm);
        for ip in taught_ips(&heartbeat) {
            self.add_known_ip(id, ip);
        }
        let Some(process) = self.process_mut(id) else { return };
        let may_change_owner = heartbeat.node.zone == process.ownership.local_node().zone
            && (heartbeat.claim_token.is_some() || heartbeat.leaving);
        process.ownership.record_heartbeat(heartbeat, now_ms);
        if may_change_owner && self.update_ownership(id) {
            self.send_heartbeats(id, Recipients::All);
        }
    }
}
