//! Tokens and hand-overs of owners, over a simulated network with faults.
//!
//! `GGB_SEED=7 cargo test -p ggb-membership --test elections NAME -- --nocapture` runs a single
//! seed and prints the claims and faults.

mod network;

use std::net::IpAddr;

use ggb_membership::{Heartbeat, Node, Ownership, OwnershipChange};
use network::wire_token;

/// Unix time at which the VMs of the regression tests claim.
const CLAIMED_AT_UNIX_MS: u64 = 1_800_000_000_000;

/// Token of a VM whose clock is 60 s ahead of `unix_ms`.
fn token_far_ahead(unix_ms: u64) -> u64 {
    let mut ownership = Ownership::new(node("c", 9, [10, 2, 9, 9]), 1, 0);
    claim(&mut ownership, unix_ms + 60_000)
}

fn node(zone: &str, number: usize, ip: [u8; 4]) -> Node {
    Node {
        name: format!("{zone}-{number}"),
        ip: IpAddr::from(ip),
        zone: zone.parse().expect("the zone name is valid"),
        cpu_milli: 250,
    }
}

/// Lets a process that has been up for 10 s claim its zone at `unix_ms`, and returns the token.
fn claim(ownership: &mut Ownership, unix_ms: u64) -> u64 {
    let change = ownership.tick(unix_ms, 10_000);
    let Some(OwnershipChange::Claimed { token, .. }) = change else { panic!("{change:?}") };
    token
}

/// Returns a heartbeat of the owner of zone c with `token`.
fn owner_heartbeat(token: u64) -> Heartbeat {
    let sender = Ownership::new(node("c", 9, [10, 2, 9, 9]), 1, 0);
    Heartbeat { claim_token: Some(token), ..sender.heartbeat(0) }
}

/// Returns a heartbeat of a process of zone d that has heard the owner of zone c with `token`.
fn report(token: u64) -> Heartbeat {
    let mut sender = Ownership::new(node("d", 8, [10, 2, 8, 8]), 1, 0);
    sender.record_heartbeat(owner_heartbeat(token), 0);
    sender.heartbeat(0)
}

/// Lets a process at `node` claim at [`CLAIMED_AT_UNIX_MS`], after it heard `heartbeat`.
fn claim_after(node: Node, heartbeat: Option<Heartbeat>) -> u64 {
    let mut ownership = Ownership::new(node, 1, 0);
    heartbeat.into_iter().for_each(|heartbeat| ownership.record_heartbeat(heartbeat, 0));
    claim(&mut ownership, CLAIMED_AT_UNIX_MS)
}

#[test]
fn two_vms_that_know_the_same_token_claim_different_tokens() {
    let known = owner_heartbeat(token_far_ahead(CLAIMED_AT_UNIX_MS));
    let first = claim_after(node("b", 1, [10, 2, 0, 1]), Some(known.clone()));
    let second = claim_after(node("b", 2, [10, 2, 0, 2]), Some(known));
    assert_ne!(first, second);
}

#[test]
fn vms_whose_addresses_differ_by_a_thousand_claim_different_tokens() {
    let first = claim_after(node("b", 1, [10, 2, 0, 1]), None);
    let second = claim_after(node("b", 2, [10, 2, 3, 233]), None);
    assert_ne!(first, second);
}

#[test]
fn claims_above_a_token_of_another_zone_differ() {
    let known = token_far_ahead(CLAIMED_AT_UNIX_MS);
    let mut claims = vec![
        claim_after(node("b", 1, [10, 2, 0, 1]), Some(owner_heartbeat(known))),
        claim_after(node("b", 2, [10, 2, 0, 2]), Some(report(known))),
        claim_after(node("a", 1, [10, 1, 0, 1]), Some(owner_heartbeat(known))),
    ];
    assert!(claims.iter().all(|token| *token > known), "{claims:?} above {known}");
    claims.sort_unstable();
    assert!(claims.is_sorted_by(|a, b| a < b), "two claims of {claims:?} are equal");
}

#[test]
fn tokens_of_two_vms_differ_with_restarts_of_targets_added() {
    let first = claim_after(node("b", 1, [10, 2, 0, 1]), None);
    let second = claim_after(node("b", 2, [10, 2, 0, 2]), None);
    for (restarts, other_restarts) in (0..8).flat_map(|n| (0..8).map(move |m| (n, m))) {
        assert_ne!(
            wire_token(first, restarts),
            wire_token(second, other_restarts),
            "after {restarts} and {other_restarts} restarts"
        );
    }
}
