//! Which VM gives orders to the targets of an availability zone.
//!
//! One VM of each zone is the owner of the zone's targets. Its claim carries a token;
//! targets obey only the highest token that they have seen. So two owners that overlap for
//! a moment do no harm, and a claim needs no store and no agreement: it is made when the
//! owner is silent or leaves, and the VM with the highest token stays.

use std::net::IpAddr;

use ggb_model::Zone;
use serde::{Deserialize, Serialize};

use crate::PeerClock;

/// The interval at which VMs of one zone tell each other that they live.
pub const HEARTBEAT_MS: u64 = 100;

/// How long an owner may be silent before another VM claims its targets; four heartbeats,
/// of which one may be lost and one late.
pub const OWNER_SILENT_MS: u64 = 450;

/// The head start of each candidate over the next one.
const CANDIDATE_STEP_MS: u64 = 120;

/// How long a VM that hears nobody waits besides: it is more likely cut off itself than
/// the last one alive, and its claim would disturb an owner that it can't hear.
const ISOLATED_WAIT_MS: u64 = 1_500;

/// How long a VM that lost its claim while it hears nobody does not claim again.
const ISOLATED_REST_MS: u64 = 5_000;

/// How long a VM listens for a higher claim after a target told it that there is one.
const FENCED_WAIT_MS: u64 = 250;

/// How long a new VM listens for an owner before it claims: one heartbeat and its way.
const BOOT_WAIT_MS: u64 = 130;

/// How far a VM raises its token when a target obeys a higher one that it has not heard
/// of; clocks may differ by seconds.
const TOKEN_LEAP: u64 = 10_000 * TOKEN_STEP;

/// How long a VM that could not read the list of VMs yet, and has heard no other, waits for
/// it before it claims.
const UNLISTED_WAIT_MS: u64 = 1_000;

/// How many times the processor time of the owner a VM must have to replace it, in percent.
const STRONGER_PERCENT: u64 = 150;

/// How long a stronger VM must have been up before it replaces a weaker owner.
const STRONGER_WAIT_MS: u64 = 1_500;

/// The part of a token that tells claims of the same millisecond apart.
const TOKEN_STEP: u64 = 1_000;

/// A VM that runs the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its share of a processor, in thousandths of a core.
    pub cpu_milli: u64,
}

/// What a VM tells its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Heartbeat {
    /// The sender.
    pub node: Node,
    /// Tells lives of the sender apart.
    pub life: u64,
    /// The sender's steady clock.
    pub clock_ms: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The token of its claim to the targets of its zone, if it has one.
    pub claim: Option<u64>,
    /// The claims that it has heard of lately.
    pub heard: Vec<HeardClaim>,
    /// The version of the configuration that it has in force, 0 for none.
    pub configuration_version: u64,
    /// How many tasks of the usual size its targets have room for, if it is an owner.
    pub free_tasks: u64,
    /// How many tasks wait for room on its targets.
    pub queued_tasks: u64,
}

/// Who sent a message, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Sender {
    /// The name of the VM.
    pub name: String,
    /// Tells its lives apart.
    pub life: u64,
    /// Its steady clock.
    pub clock_ms: u64,
}

/// A claim of another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HeardClaim {
    /// The name of the owner.
    pub owner: String,
    /// The token.
    pub token: u64,
    /// How long ago the owner was heard.
    pub age_ms: u64,
}

/// A peer, as last heard.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// What it said last.
    pub heartbeat: Heartbeat,
    /// When it was heard.
    pub heard_at_ms: u64,
    clock: PeerClock,
}

impl PeerState {
    /// Returns whether it was heard so lately that it counts as alive.
    pub const fn is_alive(&self, now_ms: u64) -> bool {
        now_ms < self.heard_at_ms + OWNER_SILENT_MS
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    Owner {
        token: u64,
    },
    /// Lost its claim to a token that it has not heard of.
    Fenced {
        since_ms: u64,
    },
}

/// What changed for this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// It owns the targets of its zone from now on, under the token.
    Claimed {
        /// The token.
        token: u64,
    },
    /// It owns them no longer.
    Released,
}

/// Decides when this VM claims the targets of its zone.
#[derive(Debug)]
pub struct Ownership {
    own: Node,
    life: u64,
    role: Role,
    leaving: bool,
    started_at_ms: u64,
    rest_until_ms: u64,
    highest_token: u64,
    /// Sorted by name.
    peers: Vec<PeerState>,
    /// How many VMs besides this one are said to exist.
    known_peers: usize,
    is_listed: bool,
}

impl Ownership {
    /// Returns the state of a VM that has just started; no two lives of a VM have the same
    /// number.
    pub const fn new(own: Node, life: u64, now_ms: u64) -> Self {
        Ownership {
            own,
            life,
            role: Role::Follower,
            leaving: false,
            started_at_ms: now_ms,
            rest_until_ms: 0,
            highest_token: 0,
            peers: Vec::new(),
            known_peers: 0,
            is_listed: false,
        }
    }

    /// Returns this VM.
    pub const fn own(&self) -> &Node {
        &self.own
    }

    /// Returns the peers, sorted by name.
    pub fn peers(&self) -> &[PeerState] {
        &self.peers
    }

    /// Returns the token of this VM's claim.
    pub const fn claim(&self) -> Option<u64> {
        match self.role {
            Role::Owner { token } => Some(token),
            Role::Follower | Role::Fenced { .. } => None,
        }
    }

    /// Sets how many other VMs are said to exist.
    pub const fn set_known_peers(&mut self, count: usize) {
        self.known_peers = count;
    }

    /// Notes that the list of VMs was read, so that the known ones are all there are.
    pub const fn set_listed(&mut self) {
        self.is_listed = true;
    }

    /// Notes that this VM is about to stop; it claims nothing from now on.
    pub const fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Gives up the claim, so that a peer takes over. Returns whether there was one.
    pub fn release(&mut self) -> bool {
        std::mem::replace(&mut self.role, Role::Follower) != Role::Follower
    }

    /// Takes in what a peer says.
    pub fn heard(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        if heartbeat.node.name == self.own.name {
            return;
        }
        let tokens = heartbeat.heard.iter().map(|heard| heard.token).chain(heartbeat.claim);
        self.highest_token = tokens.fold(self.highest_token, u64::max);
        let name = &heartbeat.node.name;
        match self.peers.binary_search_by(|peer| peer.heartbeat.node.name.cmp(name)) {
            Ok(at) => {
                let mut clock = self.peers[at].clock;
                clock.heard(heartbeat.life, heartbeat.clock_ms, now_ms);
                self.peers[at] = PeerState { heartbeat, heard_at_ms: now_ms, clock };
            }
            Err(at) => {
                let clock = PeerClock::new(heartbeat.life, heartbeat.clock_ms, now_ms);
                self.peers.insert(at, PeerState { heartbeat, heard_at_ms: now_ms, clock });
            }
        }
    }

    /// Returns how much longer a message of a peer took than its fastest heartbeat; nothing if
    /// that life of the peer was not heard yet.
    pub fn delay_ms(&self, sender: &Sender, now_ms: u64) -> Option<u64> {
        let name = |peer: &PeerState| peer.heartbeat.node.name.cmp(&sender.name);
        let at = self.peers.binary_search_by(name).ok()?;
        self.peers[at].clock.delay_ms(sender.life, sender.clock_ms, now_ms)
    }

    /// Returns what a message of this VM says of its sender.
    pub fn sender(&self, now_ms: u64) -> Sender {
        Sender { name: self.own.name.clone(), life: self.life, clock_ms: now_ms }
    }

    /// Returns the peer with the highest claim to the targets of `zone`.
    pub fn owner_of(&self, zone: &Zone) -> Option<&PeerState> {
        let of_zone = self.peers.iter().filter(|peer| peer.heartbeat.node.zone == *zone);
        let claims = of_zone.filter(|peer| peer.heartbeat.claim.is_some());
        claims.max_by_key(|peer| peer.heartbeat.claim)
    }

    /// Returns whether tasks wait in another zone.
    pub fn is_room_wanted(&self, now_ms: u64) -> bool {
        self.peers.iter().any(|peer| {
            peer.heartbeat.queued_tasks > 0
                && peer.heartbeat.node.zone != self.own.zone
                && peer.is_alive(now_ms)
        })
    }

    /// Returns what this VM tells its peers, without load and configuration.
    pub fn heartbeat(&self, now_ms: u64) -> Heartbeat {
        let heard = self.peers.iter().filter(|peer| peer.is_alive(now_ms));
        let heard = heard.filter_map(|peer| {
            Some(HeardClaim {
                owner: peer.heartbeat.node.name.clone(),
                token: peer.heartbeat.claim?,
                age_ms: now_ms - peer.heard_at_ms,
            })
        });
        Heartbeat {
            node: self.own.clone(),
            life: self.life,
            clock_ms: now_ms,
            leaving: self.leaving,
            claim: self.claim(),
            heard: heard.collect(),
            configuration_version: 0,
            free_tasks: 0,
            queued_tasks: 0,
        }
    }

    /// Notes that a target obeys a higher token.
    pub fn fenced_off(&mut self, now_ms: u64) {
        if let Role::Owner { token } = self.role {
            self.highest_token = self.highest_token.max(token) + TOKEN_LEAP;
            self.role = Role::Fenced { since_ms: now_ms };
        }
    }

    /// Claims or gives up ownership if it is due; `unix_ms` is the time of day.
    pub fn tick(&mut self, unix_ms: u64, now_ms: u64) -> Option<OwnershipChange> {
        match self.role {
            Role::Owner { token } => {
                let rival = self.owner_of(&self.own.zone)?;
                if rival.heartbeat.claim <= Some(token) {
                    return None;
                }
                self.role = Role::Follower;
                Some(OwnershipChange::Released)
            }
            Role::Fenced { since_ms } => {
                if now_ms < since_ms + FENCED_WAIT_MS {
                    return None;
                }
                self.role = Role::Follower;
                if self.is_isolated(now_ms) {
                    self.rest_until_ms = now_ms + ISOLATED_REST_MS;
                }
                None
            }
            Role::Follower if self.may_claim(now_ms) => {
                let tie_break = u64::from(ip_hash(self.own.ip)) % TOKEN_STEP;
                let timed = unix_ms.saturating_mul(TOKEN_STEP) + tie_break;
                let token = timed.max(self.highest_token + TOKEN_STEP);
                self.highest_token = token;
                self.role = Role::Owner { token };
                Some(OwnershipChange::Claimed { token })
            }
            Role::Follower => None,
        }
    }

    fn may_claim(&self, now_ms: u64) -> bool {
        if self.leaving || now_ms < self.rest_until_ms {
            return false;
        }
        let head_start_ms = CANDIDATE_STEP_MS * self.candidate_rank(now_ms) as u64;
        let isolated_ms = match self.is_isolated(now_ms) {
            true => ISOLATED_WAIT_MS,
            false => 0,
        };
        let knows_others = self.is_listed || !self.peers.is_empty();
        let listing_ms = if knows_others { 0 } else { UNLISTED_WAIT_MS };
        let boot_ms = self.started_at_ms + BOOT_WAIT_MS + listing_ms;
        let free_since_ms = match self.owner_of(&self.own.zone) {
            None => boot_ms,
            Some(owner) if owner.heartbeat.leaving => owner.heard_at_ms,
            Some(owner) if owner.is_alive(now_ms) => return self.is_much_stronger(owner, now_ms),
            Some(owner) if self.is_vouched_for(owner, now_ms) => return false,
            Some(owner) => owner.heard_at_ms + OWNER_SILENT_MS,
        };
        now_ms >= free_since_ms.max(boot_ms) + head_start_ms + isolated_ms
    }

    /// Returns whether this VM is the first candidate and has so much more processor time
    /// than the owner that a hand-over pays.
    fn is_much_stronger(&self, owner: &PeerState, now_ms: u64) -> bool {
        let needed = owner.heartbeat.node.cpu_milli * STRONGER_PERCENT / 100;
        self.own.cpu_milli >= needed
            && now_ms >= self.started_at_ms + STRONGER_WAIT_MS
            && self.candidate_rank(now_ms) == 0
    }

    /// Returns whether a peer that is alive has heard the owner lately.
    fn is_vouched_for(&self, owner: &PeerState, now_ms: u64) -> bool {
        let name = &owner.heartbeat.node.name;
        self.peers.iter().any(|peer| {
            let since_ms = now_ms - peer.heard_at_ms;
            peer.heartbeat.heard.iter().any(|heard| {
                heard.owner == *name
                    && Some(heard.token) >= owner.heartbeat.claim
                    && since_ms + heard.age_ms < OWNER_SILENT_MS
            })
        })
    }

    /// Returns whether this VM hears none of the peers that are said to exist.
    fn is_isolated(&self, now_ms: u64) -> bool {
        self.known_peers > 0 && !self.peers.iter().any(|peer| peer.is_alive(now_ms))
    }

    /// Returns how many VMs of the zone should claim before this one: those with more
    /// processor time, then those whose names come first.
    fn candidate_rank(&self, now_ms: u64) -> usize {
        let key = |node: &Node| (std::cmp::Reverse(node.cpu_milli), node.name.clone());
        let own_key = key(&self.own);
        let candidates = self.peers.iter().filter(|peer| {
            let node = &peer.heartbeat.node;
            peer.is_alive(now_ms) && !peer.heartbeat.leaving && node.zone == self.own.zone
        });
        candidates.filter(|peer| key(&peer.heartbeat.node) < own_key).count()
    }
}

fn ip_hash(ip: IpAddr) -> u32 {
    match ip {
        IpAddr::V4(ip) => u32::from(ip),
        IpAddr::V6(ip) => u128::from(ip) as u32,
    }
}
