//! Election of the VM that controls the targets of an availability zone.
//!
//! One VM of each zone owns the zone's targets. Its claim carries a fencing token, and targets
//! reject requests with a lower token than the highest that they have seen. Two owners that
//! overlap for a moment therefore do no harm, and a claim needs neither a store nor consensus:
//! a VM claims when the owner is silent or leaves, and the highest token wins.

use std::net::IpAddr;

use ggb_model::{Zone, advance_token, claim_token};

use crate::{
    Heartbeat, KnownClaim, Members, MessageSender, Node, PeerClock, members::MEMBER_RETENTION_MS,
    rejections::Rejections,
};

/// Interval between the heartbeats of the VMs of one zone.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// Time without a heartbeat after which another VM claims the targets of an owner.
///
/// The time covers four heartbeats, of which one may be lost and one late.
pub const OWNER_TIMEOUT_MS: u64 = 450;

/// Delay between the claims of successive candidates, so that the next one sees the first claim.
const CANDIDATE_STAGGER_MS: u64 = 120;

/// Additional delay before a VM claims while it receives no heartbeats.
///
/// Such a VM is more likely to be cut off from its peers than to be the last one alive, and its
/// claim would disrupt an owner that it cannot reach.
const ISOLATED_CLAIM_DELAY_MS: u64 = 1_500;

/// Time for which a VM does not claim again after a target rejected its token while it received
/// no heartbeats.
const ISOLATED_BACKOFF_MS: u64 = 5_000;

/// Time for which a VM waits for an owner's heartbeat after its start: one interval and the
/// network delay.
const STARTUP_WAIT_MS: u64 = 130;

/// Time for which a VM without any heartbeat waits for the list of VMs before it claims.
const VM_LIST_WAIT_MS: u64 = 700;

/// Additional time for which a VM waits after its start for listed VMs of its zone with a much
/// larger CPU share, and for the list if it was not read yet.
///
/// After a start of the whole deployment the VMs come up within 300 ms of each other. A weak VM
/// that claims first serves its callers late until a stronger one supersedes it.
const STRONGER_VM_WAIT_MS: u64 = 300;

/// Minimum CPU share, in percent of the owner's, of a VM that supersedes the owner.
const SUPERSEDE_OWNER_CPU_PERCENT: u64 = 150;

/// Minimum uptime of a VM that supersedes an owner with a smaller CPU share.
const SUPERSEDE_OWNER_MIN_UPTIME_MS: u64 = 1_500;

/// State of a peer from its last heartbeat.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Last heartbeat of the peer.
    pub heartbeat: Heartbeat,
    /// Local time at which the last heartbeat arrived.
    pub last_heartbeat_ms: u64,
    /// Local time at which the first heartbeat of the peer's current incarnation arrived.
    pub incarnation_since_ms: u64,
    clock: PeerClock,
    /// Whether the first heartbeat of the current incarnation, or of `unproven`, was not answered
    /// yet.
    awaits_answer: bool,
    /// The last other incarnation of which a heartbeat arrived that may have been held up.
    unproven: Option<u64>,
}

impl PeerState {
    /// Returns whether the last heartbeat is recent enough for the peer to count as alive.
    pub const fn is_alive(&self, now_ms: u64) -> bool {
        now_ms < self.last_heartbeat_ms + OWNER_TIMEOUT_MS
    }

    pub(crate) const fn clock(&self) -> &PeerClock {
        &self.clock
    }

    pub(crate) const fn set_clock(&mut self, clock: PeerClock) {
        self.clock = clock;
    }

    /// Returns whether a heartbeat shows a later state of the peer than the last one, to the
    /// process with the incarnation `recipient`.
    ///
    /// While a process is alive, a heartbeat of another incarnation may come from one that it has
    /// replaced, unless it was sent after the last heartbeat arrived.
    fn is_superseded_by(&self, heartbeat: &Heartbeat, recipient: u64, now_ms: u64) -> bool {
        match heartbeat.recipient_clock {
            _ if heartbeat.incarnation == self.heartbeat.incarnation => {
                heartbeat.clock_ms >= self.heartbeat.clock_ms
            }
            _ if !self.is_alive(now_ms) => true,
            Some(sent_after) if sent_after.incarnation == recipient => {
                sent_after.clock_ms > self.last_heartbeat_ms
            }
            Some(_) | None => false,
        }
    }

    /// Records that a heartbeat of another incarnation arrived that may have been held up. The
    /// answer gives the sender the time that proves the next one.
    fn record_unproven(&mut self, incarnation: u64) {
        if self.unproven.replace(incarnation) != Some(incarnation) {
            self.awaits_answer = true;
        }
    }
}

/// State of this VM's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimState {
    Follower,
    Owner {
        token: u64,
        since_ms: u64,
    },
    /// A target rejected the token of the claim as too low.
    Fenced {
        since_ms: u64,
    },
}

/// Change of this VM's ownership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// This VM now owns the targets of its zone.
    Claimed {
        /// Token of the claim.
        token: u64,
        /// Highest token that this VM knew of before; 0 if none.
        known_token: u64,
    },
    /// This VM no longer owns the targets of its zone.
    Released {
        /// Token of the released claim.
        token: u64,
        /// The claim to which this VM yields.
        rival: KnownClaim,
    },
}

/// Decides when this VM claims or gives up the targets of its zone.
#[derive(Debug)]
pub struct Ownership {
    local_node: Node,
    incarnation: u64,
    claim_state: ClaimState,
    leaving: bool,
    started_at_ms: u64,
    no_claim_before_ms: u64,
    rejections: Rejections,
    /// Highest token that this VM knows of.
    highest_token: u64,
    /// Sorted by name.
    peers: Vec<PeerState>,
    /// Whether the list of VMs was read.
    vm_list_loaded: bool,
    /// Names of the listed VMs of this zone that would supersede this one, sorted.
    stronger_vms: Vec<String>,
    members: Members,
    /// Selects the part of a zone's members that the next list contains.
    list_turn: usize,
}

impl Ownership {
    /// Returns the state of a VM that has just started.
    ///
    /// `incarnation` must differ from that of every earlier process of this VM.
    pub fn new(local_node: Node, incarnation: u64, now_ms: u64) -> Self {
        // Processes that list the members of the same zone begin with different parts.
        let list_turn = incarnation as usize;
        Ownership {
            local_node,
            incarnation,
            claim_state: ClaimState::Follower,
            leaving: false,
            started_at_ms: now_ms,
            no_claim_before_ms: 0,
            rejections: Rejections::default(),
            highest_token: 0,
            peers: Vec::new(),
            vm_list_loaded: false,
            stronger_vms: Vec::new(),
            members: Members::new(),
            list_turn,
        }
    }

    /// Returns this VM.
    pub const fn local_node(&self) -> &Node {
        &self.local_node
    }

    /// Returns the peers, sorted by name.
    pub fn peers(&self) -> &[PeerState] {
        &self.peers
    }

    pub(crate) fn peers_mut(&mut self) -> &mut [PeerState] {
        &mut self.peers
    }

    /// Returns the other processes that are known to exist.
    pub const fn members(&self) -> &Members {
        &self.members
    }

    pub(crate) const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(crate) const fn highest_token(&self) -> u64 {
        self.highest_token
    }

    pub(crate) const fn members_mut(&mut self) -> &mut Members {
        &mut self.members
    }

    pub(crate) const fn next_list_turn(&mut self) -> usize {
        self.list_turn = self.list_turn.wrapping_add(1);
        self.list_turn
    }

    /// Adds the address of a VM in the settings. Returns whether it is new.
    pub fn add_seed(&mut self, ip: IpAddr, now_ms: u64) -> bool {
        ip != self.local_node.ip && self.members.add_seed(ip, now_ms)
    }

    /// Forgets the processes that gave no heartbeat for a long time and are not listed.
    pub fn prune(&mut self, now_ms: u64) {
        self.members.prune(now_ms);
        let members = &self.members;
        self.peers.retain(|peer| {
            let node = &peer.heartbeat.node;
            let is_member = |member: &crate::Member| member.node.as_ref() == Some(node);
            now_ms < peer.last_heartbeat_ms + MEMBER_RETENTION_MS
                || members.find(node.ip).is_some_and(is_member)
        });
    }

    /// Returns the token of this VM's claim, or `None` if it is not the owner.
    pub const fn claim_token(&self) -> Option<u64> {
        match self.claim_state {
            ClaimState::Owner { token, .. } => Some(token),
            ClaimState::Follower | ClaimState::Fenced { .. } => None,
        }
    }

    /// Records that the list of VMs was read and contains `listed`.
    pub fn set_vm_list<'a>(&mut self, listed: impl IntoIterator<Item = &'a Node>) {
        self.vm_list_loaded = true;
        let local_node = &self.local_node;
        let is_other = |node: &&Node| node.name != local_node.name && node.ip != local_node.ip;
        let listed: Vec<&Node> = listed.into_iter().filter(is_other).collect();
        self.members.set_list(listed.iter().copied());
        let stronger = listed
            .into_iter()
            .filter(|node| node.zone == local_node.zone && supersedes(node, local_node));
        self.stronger_vms = stronger.map(|node| node.name.clone()).collect();
        self.stronger_vms.sort_unstable();
    }

    /// Records that this VM is about to stop; it makes no claims from now on.
    pub const fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Gives up the claim, so that a peer takes over.
    ///
    /// Returns whether this VM was the owner, including one whose token a target has rejected.
    pub fn release(&mut self) -> bool {
        std::mem::replace(&mut self.claim_state, ClaimState::Follower) != ClaimState::Follower
    }

    /// Records the heartbeat of a peer; heartbeats of this VM are ignored. Returns whether it shows
    /// a later state of the peer than the last one.
    pub fn record_heartbeat(&mut self, mut heartbeat: Heartbeat, now_ms: u64) -> bool {
        if heartbeat.node.name == self.local_node.name {
            return false;
        }
        let claims = heartbeat.known_claims.iter().map(|claim| claim.token);
        let tokens = claims.chain(heartbeat.claim_token).chain(heartbeat.known_token);
        self.highest_token = tokens.fold(self.highest_token, u64::max);
        let name = &heartbeat.node.name;
        let position = self.peers.binary_search_by(|peer| peer.heartbeat.node.name.cmp(name));
        let known = position.ok().map(|index| &mut self.peers[index]);
        let is_later = match known {
            None => true,
            Some(peer) if peer.is_superseded_by(&heartbeat, self.incarnation, now_ms) => true,
            Some(peer) if peer.heartbeat.incarnation != heartbeat.incarnation => {
                peer.record_unproven(heartbeat.incarnation);
                return false;
            }
            Some(_) => false,
        };
        if heartbeat.node.ip != self.local_node.ip {
            self.members.record_heartbeat(&heartbeat.node, now_ms);
        }
        for node in std::mem::take(&mut heartbeat.zone_members) {
            let is_other = node.name != self.local_node.name && node.ip != self.local_node.ip;
            if is_other && node.zone == self.local_node.zone {
                self.members.add_reported(&node, now_ms);
            }
        }
        match position {
            // A later heartbeat has overtaken this one, which may contain a released claim.
            Ok(_) if !is_later => return false,
            Ok(index) => {
                let peer = &mut self.peers[index];
                if peer.heartbeat.incarnation != heartbeat.incarnation {
                    peer.incarnation_since_ms = now_ms;
                    peer.awaits_answer = true;
                    peer.unproven = None;
                }
                peer.clock.record_message(heartbeat.incarnation, heartbeat.clock_ms, now_ms);
                peer.heartbeat = heartbeat;
                peer.last_heartbeat_ms = now_ms;
            }
            Err(index) => {
                let clock = PeerClock::new(heartbeat.incarnation, heartbeat.clock_ms, now_ms);
                let peer = PeerState {
                    heartbeat,
                    last_heartbeat_ms: now_ms,
                    incarnation_since_ms: now_ms,
                    clock,
                    awaits_answer: true,
                    unproven: None,
                };
                self.peers.insert(index, peer);
            }
        }
        true
    }

    /// Returns the additional delay of a peer's message over its fastest heartbeat.
    ///
    /// Returns `None` if no heartbeat of that incarnation of the peer has arrived.
    pub fn delay_ms(&self, sender: &MessageSender, now_ms: u64) -> Option<u64> {
        let peer = self.find_peer(&sender.name)?;
        peer.clock.delay_ms(sender.incarnation, sender.clock_ms, now_ms)
    }

    /// Returns the address of the peer on the VM `name`, if a heartbeat of it has arrived.
    pub fn ip_of(&self, name: &str) -> Option<IpAddr> {
        self.find_peer(name).map(|peer| peer.heartbeat.node.ip)
    }

    /// Returns whether this is the first call since the first heartbeat of the current incarnation
    /// of the peer `name`.
    pub(crate) fn take_awaits_answer(&mut self, name: &str) -> bool {
        let compare_name = |peer: &PeerState| peer.heartbeat.node.name.as_str().cmp(name);
        let index = self.peers.binary_search_by(compare_name);
        index.is_ok_and(|index| std::mem::take(&mut self.peers[index].awaits_answer))
    }

    /// Returns the peer on the VM `name`, if a heartbeat of it has arrived.
    pub fn find_peer(&self, name: &str) -> Option<&PeerState> {
        let compare_name = |peer: &PeerState| peer.heartbeat.node.name.as_str().cmp(name);
        let index = self.peers.binary_search_by(compare_name).ok()?;
        Some(&self.peers[index])
    }

    /// Returns the name, incarnation and clock that this VM puts into a message that it sends at
    /// `now_ms`.
    pub fn message_sender(&self, now_ms: u64) -> MessageSender {
        MessageSender {
            name: self.local_node.name.clone(),
            incarnation: self.incarnation,
            clock_ms: now_ms,
        }
    }

    /// Returns the number of peers from which a recent heartbeat has arrived.
    pub fn live_peer_count(&self, now_ms: u64) -> usize {
        self.peers.iter().filter(|peer| peer.is_alive(now_ms)).count()
    }

    /// Returns the peer whose claim to the targets of `zone` has the highest token, even if it is
    /// no longer alive. Of equal tokens, that of the VM whose name sorts first counts.
    pub fn owner_of(&self, zone: &Zone) -> Option<&PeerState> {
        let zone_peers = self.peers.iter().filter(|peer| peer.heartbeat.node.zone == *zone);
        let claimants = zone_peers.filter(|peer| peer.heartbeat.claim_token.is_some());
        let rank_key = |peer: &&PeerState| {
            (peer.heartbeat.claim_token, std::cmp::Reverse(peer.heartbeat.node.name.clone()))
        };
        claimants.max_by_key(rank_key)
    }

    /// Returns whether a live peer in another zone has queued tasks.
    pub fn has_queued_tasks_in_remote_zones(&self, now_ms: u64) -> bool {
        self.peers.iter().any(|peer| {
            peer.heartbeat.queued_tasks > 0
                && peer.heartbeat.node.zone != self.local_node.zone
                && peer.is_alive(now_ms)
        })
    }

    /// Returns a heartbeat of this VM, with load and configuration version left at 0.
    pub fn heartbeat(&self, now_ms: u64) -> Heartbeat {
        let alive_peers = self.peers.iter().filter(|peer| peer.is_alive(now_ms));
        let known_claims = alive_peers.filter_map(|peer| {
            Some(KnownClaim {
                owner: peer.heartbeat.node.name.clone(),
                token: peer.heartbeat.claim_token?,
                age_ms: now_ms.saturating_sub(peer.last_heartbeat_ms),
            })
        });
        Heartbeat {
            node: self.local_node.clone(),
            incarnation: self.incarnation,
            clock_ms: now_ms,
            leaving: self.leaving,
            claim_token: self.claim_token(),
            known_claims: known_claims.collect(),
            configuration_version: 0,
            free_tasks: 0,
            queued_tasks: 0,
            lacks_vm_list: !self.vm_list_loaded,
            lacks_owner: self.claim_token().is_none() && !self.hears_zone_owner(now_ms),
            zone_members: Vec::new(),
            known_token: None,
            recipient_clock: None,
        }
    }

    /// Returns whether recent heartbeats of an owner of this VM's zone have arrived.
    fn hears_zone_owner(&self, now_ms: u64) -> bool {
        self.owner_of(&self.local_node.zone).is_some_and(|owner| owner.is_alive(now_ms))
    }

    /// Records that a target rejected this VM's token in favor of a higher one.
    pub fn record_fenced(&mut self, now_ms: u64) {
        if let ClaimState::Owner { token, since_ms } = self.claim_state {
            let lead_ms = self.rejections.record(since_ms, now_ms);
            self.highest_token = advance_token(self.highest_token.max(token), lead_ms);
            self.claim_state = ClaimState::Fenced { since_ms: now_ms };
        }
    }

    /// Claims or gives up ownership if it is due.
    ///
    /// Tokens derive from `unix_ms`, the Unix time; all delays are measured with `now_ms`.
    pub fn tick(&mut self, unix_ms: u64, now_ms: u64) -> Option<OwnershipChange> {
        match self.claim_state {
            ClaimState::Owner { token, .. } => {
                let peer = self.owner_of(&self.local_node.zone)?;
                let claimant = &peer.heartbeat;
                // Targets don't tell apart owners with equal tokens, so that one has to yield.
                let yields_tie = claimant.claim_token == Some(token)
                    && claimant.node.name < self.local_node.name;
                let rival_token = claimant.claim_token?;
                if rival_token <= token && !yields_tie {
                    return None;
                }
                let rival = KnownClaim {
                    owner: claimant.node.name.clone(),
                    token: rival_token,
                    age_ms: now_ms.saturating_sub(peer.last_heartbeat_ms),
                };
                self.claim_state = ClaimState::Follower;
                Some(OwnershipChange::Released { token, rival })
            }
            ClaimState::Fenced { since_ms } => {
                let is_owner_known =
                    self.has_live_owner(now_ms) || self.reported_owner(now_ms).is_some();
                if !is_owner_known && now_ms < since_ms + self.rejections.backoff_ms() {
                    return None;
                }
                self.claim_state = ClaimState::Follower;
                if self.is_isolated(now_ms) {
                    self.no_claim_before_ms = now_ms + ISOLATED_BACKOFF_MS;
                }
                None
            }
            ClaimState::Follower if self.should_claim(now_ms) => {
                let known_token = self.highest_token;
                let token = claim_token(unix_ms, known_token, self.local_node.ip);
                self.highest_token = token;
                self.claim_state = ClaimState::Owner { token, since_ms: now_ms };
                Some(OwnershipChange::Claimed { token, known_token })
            }
            ClaimState::Follower => None,
        }
    }

    /// Returns whether a live owner of this VM's zone is known.
    fn has_live_owner(&self, now_ms: u64) -> bool {
        let owner = self.owner_of(&self.local_node.zone);
        owner.is_some_and(|owner| owner.is_alive(now_ms))
    }

    /// Returns whether this VM should claim the targets of its zone now.
    fn should_claim(&self, now_ms: u64) -> bool {
        if self.leaving || now_ms < self.no_claim_before_ms {
            return false;
        }
        if self.reported_owner(now_ms).is_some() {
            return false;
        }
        let stagger_ms = CANDIDATE_STAGGER_MS * self.candidate_rank(now_ms) as u64;
        let isolation_delay_ms = match self.is_isolated(now_ms) {
            true => ISOLATED_CLAIM_DELAY_MS,
            false => 0,
        };
        let knows_others = self.vm_list_loaded || !self.peers.is_empty();
        let vm_list_wait_ms = if knows_others { 0 } else { VM_LIST_WAIT_MS };
        let may_get_stronger_peer = !self.vm_list_loaded || self.has_silent_stronger_vm(now_ms);
        let stronger_vm_wait_ms = if may_get_stronger_peer { STRONGER_VM_WAIT_MS } else { 0 };
        let startup_end_ms =
            self.started_at_ms + STARTUP_WAIT_MS + vm_list_wait_ms + stronger_vm_wait_ms;
        let claimable_since_ms = match self.owner_of(&self.local_node.zone) {
            None => startup_end_ms,
            Some(owner) if owner.heartbeat.leaving => owner.last_heartbeat_ms,
            Some(owner) if owner.is_alive(now_ms) => {
                return self.should_supersede_owner(owner, now_ms);
            }
            Some(owner) if self.is_reported_alive(owner, now_ms) => return false,
            Some(owner) => owner.last_heartbeat_ms + OWNER_TIMEOUT_MS,
        };
        now_ms >= claimable_since_ms.max(startup_end_ms) + stagger_ms + isolation_delay_ms
    }

    /// Returns whether this VM is the first candidate, has been up long enough, and has a CPU
    /// share of at least [`SUPERSEDE_OWNER_CPU_PERCENT`] of the live owner's.
    ///
    /// A smaller gain is not worth the cost of superseding a live owner.
    fn should_supersede_owner(&self, owner: &PeerState, now_ms: u64) -> bool {
        supersedes(&self.local_node, &owner.heartbeat.node)
            && now_ms >= self.started_at_ms + SUPERSEDE_OWNER_MIN_UPTIME_MS
            && self.candidate_rank(now_ms) == 0
    }

    /// Returns whether no heartbeat of a listed VM that would supersede this one has arrived.
    fn has_silent_stronger_vm(&self, now_ms: u64) -> bool {
        let is_alive = |name: &String| {
            let index = self.peers.binary_search_by(|peer| peer.heartbeat.node.name.cmp(name));
            index.is_ok_and(|index| self.peers[index].is_alive(now_ms))
        };
        !self.stronger_vms.is_empty() && !self.stronger_vms.iter().any(is_alive)
    }

    /// Returns whether a live peer reports a recent heartbeat of the owner.
    fn is_reported_alive(&self, owner: &PeerState, now_ms: u64) -> bool {
        let name = &owner.heartbeat.node.name;
        self.peers.iter().any(|peer| {
            let heartbeat_age_ms = now_ms.saturating_sub(peer.last_heartbeat_ms);
            peer.heartbeat.known_claims.iter().any(|claim| {
                claim.owner == *name
                    && Some(claim.token) >= owner.heartbeat.claim_token
                    && heartbeat_age_ms + claim.age_ms < OWNER_TIMEOUT_MS
            })
        })
    }

    /// Returns whether peers are known to exist but this VM receives heartbeats from none of them.
    fn is_isolated(&self, now_ms: u64) -> bool {
        !self.members.as_slice().is_empty() && !self.peers.iter().any(|peer| peer.is_alive(now_ms))
    }

    /// Returns the number of live VMs of the zone that should claim before this one: those with
    /// a larger CPU share and, at the same share, those whose names sort first.
    fn candidate_rank(&self, now_ms: u64) -> usize {
        let rank_key = |node: &Node| (std::cmp::Reverse(node.cpu_milli), node.name.clone());
        let own_key = rank_key(&self.local_node);
        let candidates = self.peers.iter().filter(|peer| {
            let node = &peer.heartbeat.node;
            peer.is_alive(now_ms) && !peer.heartbeat.leaving && node.zone == self.local_node.zone
        });
        candidates.filter(|peer| rank_key(&peer.heartbeat.node) < own_key).count()
    }
}

/// Returns whether the CPU share of `candidate` is at least [`SUPERSEDE_OWNER_CPU_PERCENT`] of the
/// owner's.
const fn supersedes(candidate: &Node, owner: &Node) -> bool {
    candidate.cpu_milli >= owner.cpu_milli * SUPERSEDE_OWNER_CPU_PERCENT / 100
}
