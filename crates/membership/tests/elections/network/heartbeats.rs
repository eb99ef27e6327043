//! Exchange of heartbeats, as the node does it.

use ggb_membership::{Heartbeat, Recipient, Recipients};

use super::{Network, ProcessId};

/// Interval, in rounds, at which a heartbeat goes to [`Recipients::All`].
const ALL_RECIPIENTS_INTERVAL_ROUNDS: u64 = 3;

impl Network {
    /// Sends the heartbeats of a round.
    pub(super) fn send_round(&mut self, sender: ProcessId, round: u64) {
        let recipients = match round.is_multiple_of(ALL_RECIPIENTS_INTERVAL_ROUNDS) {
            true => Recipients::All,
            false => Recipients::Zone,
        };
        self.send_heartbeats(sender, recipients, Some(round));
    }

    fn send_heartbeats(&mut self, sender: ProcessId, recipients: Recipients, round: Option<u64>) {
        let now_ms = self.now_ms;
        let Some(process) = self.process_mut(sender) else { return };
        process.ownership.prune(now_ms);
        for recipient in process.ownership.recipients(recipients, round, now_ms) {
            self.send_heartbeat(sender, recipient);
        }
    }

    fn send_heartbeat(&mut self, sender: ProcessId, recipient: Recipient) {
        let now_ms = self.now_ms;
        let Some(process) = self.process_mut(sender) else { return };
        let heartbeat = recipient.heartbeat(process.ownership.heartbeat(now_ms));
        let Some(vm) = self.vms.iter().position(|vm| vm.node.ip == recipient.ip) else { return };
        if self.cut_links.contains(&(sender.vm, vm)) || self.is_lost() {
            return;
        }
        let at_ms = self.now_ms + self.random_latency_ms();
        self.at(at_ms, move |network| network.receive_heartbeat(vm, heartbeat));
    }

    /// Records a heartbeat, and acts on its claim.
    fn receive_heartbeat(&mut self, vm: usize, heartbeat: Heartbeat) {
        let now_ms = self.now_ms;
        let id = self.process_id(vm);
        let sender = heartbeat.node.name.clone();
        let Some(process) = self.process_mut(id) else { return };
        let may_change_owner = heartbeat.node.zone == process.ownership.local_node().zone
            && (heartbeat.claim_token.is_some() || heartbeat.leaving);
        let answer = self.update_members(id, |ownership| {
            ownership.record_heartbeat(heartbeat, now_ms);
            ownership.take_answer(&sender, now_ms)
        });
        if let Some(recipient) = answer.flatten() {
            self.send_heartbeat(id, recipient);
        }
        if may_change_owner && self.update_ownership(id) {
            self.send_heartbeats(id, Recipients::All, None);
        }
    }
}
