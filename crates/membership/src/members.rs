//! Processes that are known to exist.

use std::net::IpAddr;

use ggb_model::Zone;

use crate::Node;

/// Time for which an address that is in neither the platform's list nor the settings is kept after
/// its last heartbeat. Longer than an outage of the store usually lasts, since only its list
/// brings a forgotten process back.
pub(crate) const MEMBER_RETENTION_MS: u64 = 120_000;

/// Maximum number of heartbeats by which a process introduces itself to one of another zone that
/// it has never heard. Introductions may be lost.
const MAX_INTRODUCTIONS: u8 = 3;

/// A process that is known to exist, at its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Address of the process.
    pub ip: IpAddr,
    /// The process as it describes itself, or as the platform's list or a peer describes it; `None`
    /// if only the address is known.
    pub node: Option<Node>,
    /// Whether a heartbeat from the address has arrived.
    pub was_heard: bool,
    is_seed: bool,
    is_listed: bool,
    /// Time of the last heartbeat, of the addition, or at which the member was last known to be
    /// listed.
    last_seen_ms: u64,
    introductions: u8,
}

impl Member {
    const fn new(ip: IpAddr, node: Option<Node>, now_ms: u64) -> Self {
        Member {
            ip,
            node,
            was_heard: false,
            is_seed: false,
            is_listed: false,
            last_seen_ms: now_ms,
            introductions: 0,
        }
    }

    /// Returns whether the process is in `zone`, as far as its zone is known.
    pub fn is_in_zone(&self, zone: &Zone) -> bool {
        self.node.as_ref().is_some_and(|node| node.zone == *zone)
    }
}

/// The other processes that a process knows of: from the settings, from the platform's list of VMs,
/// from their heartbeats, and from peers that heard them.
///
/// Membership means that heartbeats go to the address. It makes nobody alive and nobody an owner.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Sorted by address.
    members: Vec<Member>,
}

impl Members {
    /// Returns an empty list.
    pub const fn new() -> Self {
        Members { members: Vec::new() }
    }

    /// Returns the members, sorted by address.
    pub fn as_slice(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member at an address.
    pub fn find(&self, ip: IpAddr) -> Option<&Member> {
        Some(&self.members[self.position(ip).ok()?])
    }

    /// Returns the member that the name belongs to. While a VM changes its address, the one that
    /// was heard last counts.
    pub fn find_named(&self, name: &str) -> Option<&Member> {
        let is_named = |member: &&Member| member.node.as_ref().is_some_and(|n| n.name == name);
        let named = self.members.iter().filter(is_named);
        named.max_by_key(|member| (member.was_heard, member.last_seen_ms, member.is_listed))
    }

    /// Adds an address of the settings, which is kept for good. Returns whether it is new.
    pub fn add_seed(&mut self, ip: IpAddr, now_ms: u64) -> bool {
        let position = self.position(ip);
        let index = position.unwrap_or_else(|index| {
            self.members.insert(index, Member::new(ip, None, now_ms));
            index
        });
        self.members[index].is_seed = true;
        position.is_err()
    }

    /// Records the heartbeat of a process. What it says of itself replaces what others said of its
    /// address.
    pub fn record_heartbeat(&mut self, node: &Node, now_ms: u64) {
        let index = self.position(node.ip).unwrap_or_else(|index| {
            self.members.insert(index, Member::new(node.ip, None, now_ms));
            index
        });
        let member = &mut self.members[index];
        member.was_heard = true;
        member.last_seen_ms = now_ms;
        if member.node.as_ref() != Some(node) {
            member.node = Some(node.clone());
        }
    }

    /// Records the platform's list of VMs, which replaces the former list.
    pub fn set_list<'a>(&mut self, listed: impl IntoIterator<Item = &'a Node>) {
        self.members.iter_mut().for_each(|member| member.is_listed = false);
        for node in listed {
            let index = self.position(node.ip).unwrap_or_else(|index| {
                // The next pruning sets the time.
                self.members.insert(index, Member::new(node.ip, None, 0));
                index
            });
            let member = &mut self.members[index];
            member.is_listed = true;
            if !member.was_heard {
                member.node = Some(node.clone());
            }
        }
    }

    /// Adds a process that a peer has heard. Returns whether it is new.
    ///
    /// What this process knows of the address, or where it has heard the name, takes precedence. A
    /// repeated report does not keep a member longer.
    pub fn add_reported(&mut self, node: &Node, now_ms: u64) -> bool {
        if self.find_named(&node.name).is_some_and(|member| member.was_heard) {
            return false;
        }
        match self.position(node.ip) {
            Ok(index) => {
                self.members[index].node.get_or_insert_with(|| node.clone());
                false
            }
            Err(index) => {
                self.members.insert(index, Member::new(node.ip, Some(node.clone()), now_ms));
                true
            }
        }
    }

    /// Removes the members outside the list and the settings of which no heartbeat arrived for
    /// [`MEMBER_RETENTION_MS`].
    pub fn prune(&mut self, now_ms: u64) {
        self.members.retain_mut(|member| {
            if member.is_seed || member.is_listed {
                member.last_seen_ms = now_ms;
            }
            now_ms < member.last_seen_ms + MEMBER_RETENTION_MS
        });
    }

    /// Returns up to `count` processes of zones other than `own_zone` to which this one introduces
    /// itself now, and counts the introductions.
    pub(crate) fn take_introductions(&mut self, count: usize, own_zone: &Zone) -> Vec<IpAddr> {
        let due = self.members.iter_mut().filter(|member| {
            !member.was_heard
                && member.introductions < MAX_INTRODUCTIONS
                && member.node.as_ref().is_some_and(|node| node.zone != *own_zone)
        });
        let mut due: Vec<&mut Member> = due.collect();
        due.sort_by_key(|member| member.introductions);
        due.truncate(count);
        let introduce = |member: &mut Member| {
            member.introductions += 1;
            member.ip
        };
        due.into_iter().map(introduce).collect()
    }

    fn position(&self, ip: IpAddr) -> Result<usize, usize> {
        self.members.binary_search_by_key(&ip, |member| member.ip)
    }
}
