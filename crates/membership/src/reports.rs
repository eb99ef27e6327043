//! Owners that peers report, of which this process may have received no heartbeat itself.

use std::net::IpAddr;

use crate::{KnownClaim, Node, OWNER_TIMEOUT_MS, Ownership};

/// Owner of a zone that a live peer heard lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedOwner<'a> {
    /// The owner as this process knows it.
    pub node: &'a Node,
    /// Token of its claim.
    pub token: u64,
    /// Time since a peer received the owner's last heartbeat.
    pub age_ms: u64,
    /// Name of the peer that reports it.
    pub reported_by: &'a str,
}

impl Ownership {
    /// Returns the owner of this VM's zone with the highest token that live peers report, unless
    /// this VM hears an owner itself or has heard one with a higher token.
    ///
    /// A report is as old as the heartbeat on which it rests; peers never repeat the reports of
    /// others. An owner that has died is therefore reported no longer than it would count as alive
    /// if this VM heard it. What this VM has heard from the owner since takes precedence.
    pub fn reported_owner(&self, now_ms: u64) -> Option<ReportedOwner<'_>> {
        let local_node = self.local_node();
        let heard_owner = self.owner_of(&local_node.zone);
        if heard_owner.is_some_and(|owner| owner.is_alive(now_ms)) {
            return None;
        }
        let heard_token = heard_owner.and_then(|owner| owner.heartbeat.claim_token);
        let reports = self.recent_reports(now_ms).filter_map(|(claim, age_ms, reported_by)| {
            if Some(claim.token) <= heard_token {
                return None;
            }
            let member = self.members().find_named(&claim.owner)?;
            let node = member.node.as_ref().filter(|node| node.zone == local_node.zone)?;
            let is_outdated = self
                .find_peer(&claim.owner)
                .is_some_and(|peer| now_ms.saturating_sub(peer.last_heartbeat_ms) <= age_ms);
            let owner = ReportedOwner { node, token: claim.token, age_ms, reported_by };
            (!is_outdated).then_some(owner)
        });
        reports.max_by_key(|owner| (owner.token, std::cmp::Reverse(owner.age_ms)))
    }

    /// Returns the address of the owner of this VM's zone: of the claims that it has heard or that
    /// live peers report, the one with the highest token.
    pub fn zone_owner_ip(&self, now_ms: u64) -> Option<IpAddr> {
        match self.reported_owner(now_ms) {
            Some(owner) => Some(owner.node.ip),
            None => self.owner_of(&self.local_node().zone).map(|owner| owner.heartbeat.node.ip),
        }
    }

    /// Returns the names of the owners of all zones that live peers report, sorted.
    pub(crate) fn reported_owner_names(&self, now_ms: u64) -> Vec<&str> {
        let reports = self.recent_reports(now_ms);
        let mut names: Vec<&str> = reports.map(|(claim, ..)| claim.owner.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns the claims that live peers report, their ages, and the names of the peers.
    fn recent_reports(&self, now_ms: u64) -> impl Iterator<Item = (&KnownClaim, u64, &str)> {
        let alive = self.peers().iter().filter(move |peer| peer.is_alive(now_ms));
        alive.flat_map(move |peer| {
            let heartbeat_age_ms = now_ms.saturating_sub(peer.last_heartbeat_ms);
            let name = peer.heartbeat.node.name.as_str();
            peer.heartbeat.known_claims.iter().filter_map(move |claim| {
                let age_ms = heartbeat_age_ms.saturating_add(claim.age_ms);
                (age_ms < OWNER_TIMEOUT_MS).then_some((claim, age_ms, name))
            })
        })
    }
}
