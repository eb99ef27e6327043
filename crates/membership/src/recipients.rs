//! Choice of the processes to which a heartbeat goes, and of what it tells them of their zone.

use std::net::IpAddr;

use crate::{ClockReading, Heartbeat, Node, Ownership, PeerState};

/// Interval, in rounds, at which heartbeats go to [`Recipients::All`] instead of
/// [`Recipients::Zone`].
const ALL_RECIPIENTS_INTERVAL_ROUNDS: u64 = 3;

/// Interval, in rounds, at which the heartbeat to a silent process lists the members of its zone; a
/// multiple of [`ALL_RECIPIENTS_INTERVAL_ROUNDS`]. Such a process may hear this one, unheard itself.
const SILENT_LIST_INTERVAL_ROUNDS: u64 = 12;

/// Time without a heartbeat after which a process counts as silent.
const SILENT_AFTER_MS: u64 = 1_000;

/// Time after the first heartbeat of a process without a list of VMs for which heartbeats to it
/// list the members of its zone. Each lists a part of them, and some are lost.
const NEWCOMER_LIST_MS: u64 = 2_000;

/// Time after its last heartbeat for which a process is listed. Processes that restart are silent
/// for seconds.
const REPORTED_MEMBER_MS: u64 = 30_000;

/// Maximum size of a heartbeat, well within the limit of a datagram.
pub const MAX_HEARTBEAT_BYTES: usize = 8_192;

/// Maximum number of members in a heartbeat, each of some 80 bytes, so that it stays well below the
/// limit of a datagram.
pub const MAX_ZONE_MEMBERS: usize = 16;

/// Maximum number of processes of other zones to which a process introduces itself in a round.
const MAX_INTRODUCTIONS_PER_ROUND: usize = 16;

/// Recipients of a heartbeat. A process whose zone is not known yet counts as one of the sender's
/// zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// Only the owners of other zones.
    RemoteOwners,
    /// The processes of the sender's zone; if the sender is an owner, also the owners of other
    /// zones, and the processes there that hear no owner of their own.
    Zone,
    /// The processes of the sender's zone and the owners of other zones; if the sender is an owner,
    /// every process.
    All,
}

impl Recipients {
    /// Returns the recipients of the heartbeat of a periodic round.
    pub const fn of_round(round: u64) -> Self {
        match round.is_multiple_of(ALL_RECIPIENTS_INTERVAL_ROUNDS) {
            true => Recipients::All,
            false => Recipients::Zone,
        }
    }
}

/// A recipient of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// Address of the recipient.
    pub ip: IpAddr,
    /// Processes of the recipient's zone that the heartbeat lists; usually none.
    pub zone_members: Vec<Node>,
    /// Highest token that this process knows, for a process that may have made a claim before it
    /// started; usually `None`.
    pub known_token: Option<u64>,
    /// Time that the recipient's clock has reached, in an answer.
    pub clock: Option<ClockReading>,
}

impl Recipient {
    const fn new(ip: IpAddr) -> Self {
        Recipient { ip, zone_members: Vec::new(), known_token: None, clock: None }
    }

    /// Returns whether the recipient gets the same heartbeat as all others.
    pub const fn is_plain(&self) -> bool {
        self.zone_members.is_empty() && self.known_token.is_none() && self.clock.is_none()
    }

    /// Returns the heartbeat for this recipient.
    pub fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        let Recipient { zone_members, known_token, clock, .. } = self;
        let zone_members = zone_members.clone();
        Heartbeat { zone_members, known_token: *known_token, recipient_clock: *clock, ..heartbeat }
    }
}

impl Ownership {
    /// Returns the recipients of a heartbeat, sorted by address except for introductions.
    ///
    /// `round` is the number of the periodic round, or `None` for a heartbeat between rounds.
    pub fn recipients(
        &mut self,
        recipients: Recipients,
        round: Option<u64>,
        now_ms: u64,
    ) -> Vec<Recipient> {
        let turn = self.next_list_turn();
        let is_owner = self.claim_token().is_some();
        let own_zone = &self.local_node().zone;
        let reported_owners = self.reported_owner_names(now_ms);
        let mut selected = Vec::new();
        for member in self.members().as_slice() {
            let node = member.node.as_ref();
            let peer = node.and_then(|node| self.find_peer(&node.name));
            let peer = peer.filter(|peer| peer.heartbeat.node.ip == member.ip);
            let is_local = node.is_none_or(|node| node.zone == *own_zone);
            let is_to_owner = match peer {
                Some(peer) => peer.heartbeat.claim_token.is_some(),
                None => node.is_some_and(|n| reported_owners.binary_search(&&*n.name).is_ok()),
            };
            let needs_reports =
                peer.is_some_and(|peer| peer.heartbeat.lacks_owner && peer.is_alive(now_ms));
            let is_recipient = match recipients {
                Recipients::RemoteOwners => !is_local && is_to_owner,
                _ if is_local => true,
                Recipients::Zone => is_owner && (is_to_owner || needs_reports),
                Recipients::All => is_owner || is_to_owner,
            };
            if !is_recipient {
                continue;
            }
            let recipient = match node {
                Some(node) if lists_members(peer, round, now_ms) => Recipient {
                    ip: member.ip,
                    zone_members: self.zone_members(node, turn, now_ms),
                    known_token: Some(self.highest_token()),
                    clock: None,
                },
                _ => Recipient::new(member.ip),
            };
            selected.push(recipient);
        }
        if recipients != Recipients::RemoteOwners && round.is_some() && !is_owner {
            selected.extend(self.introductions());
        }
        selected
    }

    /// Returns the recipient of an answer to the process `name`, once after the first heartbeat of
    /// its incarnation. Both then know each other without waiting for a round.
    pub fn take_answer(&mut self, name: &str, now_ms: u64) -> Option<Recipient> {
        if !self.take_awaits_answer(name) {
            return None;
        }
        let turn = self.next_list_turn();
        let peer = self.find_peer(name)?;
        let node = &peer.heartbeat.node;
        let zone_members = match peer.heartbeat.lacks_vm_list {
            true => self.zone_members(node, turn, now_ms),
            false => Vec::new(),
        };
        let known_token = Some(self.highest_token());
        // Shows the recipient that this is not a late heartbeat of a process that was replaced.
        let clock = Some(peer.clock().reading(now_ms));
        Some(Recipient { ip: node.ip, zone_members, known_token, clock })
    }

    /// Returns addresses in other zones of which no heartbeat has arrived. The next owner of such a
    /// zone may not know of this process.
    fn introductions(&mut self) -> Vec<Recipient> {
        let own_zone = self.local_node().zone.clone();
        let ips = self.members_mut().take_introductions(MAX_INTRODUCTIONS_PER_ROUND, &own_zone);
        ips.into_iter().map(Recipient::new).collect()
    }

    /// Returns up to [`MAX_ZONE_MEMBERS`] processes of the recipient's zone that this one has heard
    /// itself; another `turn` returns the next ones.
    fn zone_members(&self, recipient: &Node, turn: usize, now_ms: u64) -> Vec<Node> {
        let heard: Vec<&Node> = self
            .peers()
            .iter()
            .filter(|peer| {
                !peer.heartbeat.leaving && now_ms < peer.last_heartbeat_ms + REPORTED_MEMBER_MS
            })
            .map(|peer| &peer.heartbeat.node)
            .filter(|node| {
                node.zone == recipient.zone
                    && node.name != recipient.name
                    && node.ip != recipient.ip
            })
            .collect();
        let first = turn.wrapping_mul(MAX_ZONE_MEMBERS) % heard.len().max(1);
        let listed = heard.iter().cycle().skip(first).take(heard.len().min(MAX_ZONE_MEMBERS));
        listed.map(|node| (*node).clone()).collect()
    }
}

/// Returns whether the heartbeat of a round to a process lists the members of its zone. `peer` is
/// its state if it was heard.
fn lists_members(peer: Option<&PeerState>, round: Option<u64>, now_ms: u64) -> bool {
    let Some(round) = round else { return false };
    match peer {
        Some(peer) if now_ms < peer.last_heartbeat_ms + SILENT_AFTER_MS => {
            peer.heartbeat.lacks_vm_list
                && now_ms < peer.incarnation_since_ms + NEWCOMER_LIST_MS
                && round.is_multiple_of(ALL_RECIPIENTS_INTERVAL_ROUNDS)
        }
        _ => round.is_multiple_of(SILENT_LIST_INTERVAL_ROUNDS),
    }
}
