//! Election of the owner of a zone's targets.

use std::net::IpAddr;

use ggb_membership::{Heartbeat, KnownClaim, Node, Ownership, OwnershipChange};
use ggb_model::token_after_restarts;

/// Returns a VM of `zone`; `number` determines its name and address.
fn node(zone: &str, number: u8, cpu_milli: u64) -> Node {
    Node {
        name: format!("{zone}-{number}"),
        ip: IpAddr::from([10, 0, 0, number]),
        zone: zone.parse().expect("the zone name is valid"),
        cpu_milli,
    }
}

fn heartbeat(node: &Node, claim: Option<u64>) -> Heartbeat {
    Ownership::new(node.clone(), 1, 0).heartbeat(0).with_claim(claim)
}

trait WithClaim {
    fn with_claim(self, claim: Option<u64>) -> Self;
}

impl WithClaim for Heartbeat {
    fn with_claim(mut self, claim: Option<u64>) -> Self {
        self.claim_token = claim;
        self
    }
}

/// Returns the token of a VM at `ip` that knows `known_token` from a VM of another zone and then claims its
/// zone at the Unix time `unix_ms`.
fn token_claimed_at(ip: [u8; 4], known_token: Option<u64>, unix_ms: u64) -> u64 {
    let vm = Node { ip: IpAddr::from(ip), ..node("a", 2, 250) };
    let mut ownership = Ownership::new(vm, 1, 0);
    ownership.set_vm_list([]);
    ownership.record_heartbeat(heartbeat(&node("b", 9, 250), known_token), 130);
    match ownership.tick(unix_ms, 130) {
        Some(OwnershipChange::Claimed { token, .. }) => token,
        change => panic!("the VM claims its zone after the startup wait: {change:?}"),
    }
}

/// Guards against two owners of a zone that are both obeyed by its targets.
#[test]
fn vms_that_know_the_same_token_claim_different_tokens() {
    let known_token = Some(1_784_377_963_718_782);
    for unix_ms in [1_784_377_960_000, 1_784_377_968_000] {
        let first = token_claimed_at([10, 2, 64, 20], known_token, unix_ms);
        let second = token_claimed_at([10, 2, 64, 22], known_token, unix_ms);
        assert_ne!(first, second);
    }
}

/// Guards against addresses that select the same token among those of one moment.
#[test]
fn vms_whose_addresses_differ_by_a_thousand_claim_different_tokens() {
    let unix_ms = 1_784_377_963_000;
    let first = token_claimed_at([10, 2, 0, 1], None, unix_ms);
    assert_ne!(first, token_claimed_at([10, 2, 3, 233], None, unix_ms));
}

/// Guards against an owner that has seen restarts of a target and takes the token of another owner.
#[test]
fn tokens_after_restarts_differ_from_those_of_other_vms() {
    let unix_ms = 1_784_377_963_000;
    let first = token_claimed_at([10, 2, 64, 20], None, unix_ms);
    let second = token_claimed_at([10, 2, 64, 21], None, unix_ms);
    for (restarts, other) in (0..20).flat_map(|first| (0..20).map(move |other| (first, other))) {
        assert_ne!(token_after_restarts(first, restarts), token_after_restarts(second, other));
    }
}

#[test]
fn token_exceeds_those_of_former_builds() {
    let unix_ms = 1_784_377_963_718;
    assert!(token_claimed_at([10, 2, 64, 20], None, unix_ms) > unix_ms * 1_000 + 10_000_000);
}

/// Targets of a zone that obey the highest token, and the VMs that claim them without hearing of each
/// other.
struct Duel {
    vms: Vec<Ownership>,
    obeyed_token: u64,
}

impl Duel {
    /// Interval at which an owner requests listings.
    const LISTING_INTERVAL_MS: u64 = 50;

    fn new(vm_count: u8, obeyed_token: u64) -> Self {
        let vms = (1..=vm_count).map(|number| Ownership::new(node("a", number, 250), 1, 0));
        Duel { vms: vms.collect(), obeyed_token }
    }

    /// Runs until `until_ms`; returns the times at which the targets obeyed a new owner.
    fn hand_overs_ms(&mut self, until_ms: u64) -> Vec<u64> {
        let mut hand_overs_ms = Vec::new();
        for now_ms in (0..until_ms).step_by(Self::LISTING_INTERVAL_MS as usize) {
            for vm in &mut self.vms {
                vm.tick(1_784_377_963_000 + now_ms, now_ms);
                match vm.claim_token() {
                    Some(token) if token > self.obeyed_token => {
                        self.obeyed_token = token;
                        hand_overs_ms.push(now_ms);
                    }
                    Some(token) if token < self.obeyed_token => vm.record_fenced(now_ms),
                    _ => {}
                }
            }
        }
        hand_overs_ms
    }
}

/// Guards against two owners that take a zone from each other several times a second.
#[test]
fn owners_that_never_hear_each_other_supersede_each_other_ever_more_rarely() {
    let hand_overs_ms = Duel::new(2, 0).hand_overs_ms(60_000);
    assert!(hand_overs_ms.len() <= 20, "{hand_overs_ms:?}");
}

/// Guards against a zone that nobody serves since a lost owner's token was far ahead of all clocks.
#[test]
fn token_far_ahead_of_the_clock_is_exceeded_soon_after_the_first_claim() {
    for (ahead_s, until_ms) in [(60, 1_000), (3_600, 4_000)] {
        let mut ahead = Duel::new(1, 0);
        ahead.hand_overs_ms(2_000);
        let mut duel = Duel::new(1, ahead.obeyed_token + (ahead_s << 24));
        let hand_overs_ms = duel.hand_overs_ms(20_000);
        let is_in_time = |at_ms: u64| at_ms <= 1_130 + until_ms;
        assert!(matches!(hand_overs_ms[..], [at_ms] if is_in_time(at_ms)), "{hand_overs_ms:?}");
    }
}

/// Guards against a zone that nobody serves once its two owners, which never heard each other, are lost.
#[test]
fn zone_is_served_soon_after_a_long_duel() {
    let mut duel = Duel::new(2, 0);
    duel.hand_overs_ms(60_000);
    let mut successor = Duel::new(1, duel.obeyed_token - (60 << 24));
    let hand_overs_ms = successor.hand_overs_ms(20_000);
    assert!(matches!(hand_overs_ms[..], [at_ms] if at_ms <= 1_130 + 2_000), "{hand_overs_ms:?}");
}

#[test]
fn token_at_the_limit_is_not_followed_by_a_low_one() {
    assert!(token_claimed_at([10, 2, 64, 20], Some(u64::MAX - 5), 0) > u64::MAX >> 1);
}

#[test]
fn vm_without_vm_list_delays_its_claim() {
    let mut ownership = Ownership::new(node("a", 2, 250), 1, 0);
    assert_eq!(first_claim_ms(&mut ownership, 0, 3_000), Some(1_130));
}

/// Advances the time from `from_ms` in steps of 10 ms and returns the time of the first claim.
fn first_claim_ms(ownership: &mut Ownership, from_ms: u64, until_ms: u64) -> Option<u64> {
    (from_ms..until_ms).step_by(10).find(|now_ms| {
        matches!(ownership.tick(1_000 + now_ms, *now_ms), Some(OwnershipChange::Claimed { .. }))
    })
}

macro_rules! cases {
    ($($name:ident($ownership:ident) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $ownership = Ownership::new(node("a", 2, 250), 1, 0);
                $ownership.add_seed(IpAddr::from([10, 0, 1, 1]), 0);
                $ownership.set_vm_list([]);
                $body
            }
        )+
    };
}

cases! {
    first_candidate_claims_after_the_startup_wait(ownership) {
        ownership.record_heartbeat(heartbeat(&node("a", 3, 250), None), 10);
        assert_eq!(first_claim_ms(&mut ownership, 20, 1_000), Some(130));
    }

    vm_with_larger_cpu_share_claims_first(ownership) {
        ownership.record_heartbeat(heartbeat(&node("a", 3, 500), None), 10);
        assert_eq!(first_claim_ms(&mut ownership, 20, 1_000), Some(250));
    }

    vm_with_much_larger_cpu_share_supersedes_the_owner(ownership) {
        let weak_owner = heartbeat(&node("a", 3, 120), Some(7));
        for now_ms in (0..1_500).step_by(100) {
            ownership.record_heartbeat(weak_owner.clone(), now_ms);
            assert_eq!(ownership.tick(now_ms, now_ms), None);
        }
        ownership.record_heartbeat(weak_owner, 1_500);
        assert_eq!(first_claim_ms(&mut ownership, 1_500, 1_600), Some(1_500));
    }

    vm_waits_at_start_for_a_listed_vm_with_much_larger_cpu_share(ownership) {
        ownership.set_vm_list(&[node("a", 3, 500), node("a", 4, 250), node("b", 5, 500)]);
        ownership.record_heartbeat(heartbeat(&node("a", 4, 250), None), 10);
        assert_eq!(first_claim_ms(&mut ownership, 20, 1_000), Some(430));
    }

    vm_does_not_wait_for_a_stronger_vm_that_is_alive(ownership) {
        ownership.set_vm_list(&[node("a", 3, 500), node("a", 4, 500)]);
        ownership.record_heartbeat(heartbeat(&node("a", 3, 500), None), 10);
        assert_eq!(first_claim_ms(&mut ownership, 20, 1_000), Some(250));
    }

    listed_stronger_vm_does_not_delay_a_claim_after_the_start(ownership) {
        ownership.set_vm_list(&[node("a", 3, 500)]);
        ownership.record_heartbeat(heartbeat(&node("a", 1, 250), Some(7)), 1_000);
        ownership.record_heartbeat(heartbeat(&node("b", 9, 250), None), 1_400);
        assert_eq!(first_claim_ms(&mut ownership, 1_400, 3_000), Some(1_450));
    }

    one_of_two_owners_with_equal_tokens_yields(ownership) {
        ownership.record_heartbeat(heartbeat(&node("a", 3, 250), None), 100);
        assert!(first_claim_ms(&mut ownership, 130, 200).is_some());
        let token = ownership.claim_token();
        ownership.record_heartbeat(heartbeat(&node("a", 3, 250), token), 200);
        assert_eq!(ownership.tick(200, 200), None);
        ownership.record_heartbeat(heartbeat(&node("a", 1, 250), token), 210);
        let change = ownership.tick(210, 210);
        assert!(matches!(change, Some(OwnershipChange::Released { .. })), "{change:?}");
    }

    live_owner_prevents_a_claim(ownership) {
        for now_ms in (0..3_000).step_by(100) {
            ownership.record_heartbeat(heartbeat(&node("a", 1, 250), Some(7)), now_ms);
            assert_eq!(ownership.tick(now_ms, now_ms), None);
        }
    }

    silent_owner_is_replaced_after_the_timeout(ownership) {
        ownership.record_heartbeat(heartbeat(&node("a", 1, 250), Some(7)), 1_000);
        ownership.record_heartbeat(heartbeat(&node("b", 9, 250), None), 1_400);
        assert_eq!(first_claim_ms(&mut ownership, 1_400, 3_000), Some(1_450));
    }

    leaving_owner_is_replaced_at_once(ownership) {
        let mut leaving = heartbeat(&node("a", 1, 250), Some(7));
        leaving.leaving = true;
        ownership.record_heartbeat(leaving, 1_000);
        assert_eq!(first_claim_ms(&mut ownership, 1_000, 3_000), Some(1_000));
    }

    new_token_exceeds_known_tokens_despite_a_slow_clock(ownership) {
        ownership.record_heartbeat(heartbeat(&node("a", 1, 250), Some(1 << 52)), 1_000);
        ownership.record_heartbeat(heartbeat(&node("b", 9, 250), None), 1_400);
        let change = ownership.tick(5, 1_450);
        let Some(OwnershipChange::Claimed { token, .. }) = change else { panic!("{change:?}") };
        assert!(token > 1 << 52);
    }

    owner_reported_alive_by_a_peer_is_not_replaced(ownership) {
        ownership.record_heartbeat(heartbeat(&node("a", 1, 250), Some(7)), 1_000);
        let mut peer = Ownership::new(node("b", 9, 250), 1, 0);
        for now_ms in (1_000..3_000).step_by(100) {
            peer.record_heartbeat(heartbeat(&node("a", 1, 250), Some(7)), now_ms);
            ownership.record_heartbeat(peer.heartbeat(now_ms), now_ms);
            assert_eq!(ownership.tick(now_ms, now_ms), None);
        }
    }

    isolated_vm_delays_its_claim(ownership) {
        ownership.record_heartbeat(heartbeat(&node("a", 1, 250), Some(7)), 1_000);
        assert_eq!(first_claim_ms(&mut ownership, 1_000, 5_000), Some(2_950));
    }

    owner_releases_to_a_higher_claim(ownership) {
        ownership.record_heartbeat(heartbeat(&node("a", 3, 250), None), 100);
        assert!(first_claim_ms(&mut ownership, 130, 200).is_some());
        let token = ownership.claim_token().expect("the VM has claimed its zone");
        ownership.record_heartbeat(heartbeat(&node("a", 3, 250), Some(u64::MAX / 2)), 300);
        let rival = KnownClaim { owner: "a-3".to_owned(), token: u64::MAX / 2, age_ms: 0 };
        assert_eq!(ownership.tick(300, 300), Some(OwnershipChange::Released { token, rival }));
        assert_eq!(ownership.claim_token(), None);
    }

    fenced_owner_with_live_peers_claims_again_with_a_higher_token(ownership) {
        ownership.record_heartbeat(heartbeat(&node("a", 3, 250), None), 100);
        assert!(first_claim_ms(&mut ownership, 130, 200).is_some());
        let before = ownership.claim_token().unwrap();
        ownership.record_fenced(300);
        assert_eq!(ownership.claim_token(), None);
        ownership.record_heartbeat(heartbeat(&node("a", 3, 250), None), 500);
        assert!(first_claim_ms(&mut ownership, 300, 700).is_some());
        assert!(ownership.claim_token().unwrap() >= before + (10 << 24));
    }

    isolated_fenced_owner_backs_off(ownership) {
        ownership.record_heartbeat(heartbeat(&node("a", 3, 250), None), 100);
        assert!(first_claim_ms(&mut ownership, 130, 200).is_some());
        ownership.record_fenced(2_000);
        assert_eq!(first_claim_ms(&mut ownership, 2_000, 7_000), None);
    }

    leaving_vm_does_not_claim(ownership) {
        ownership.set_leaving();
        assert_eq!(first_claim_ms(&mut ownership, 0, 5_000), None);
    }

    restarted_owner_without_a_claim_is_replaced_at_once(ownership) {
        ownership.record_heartbeat(heartbeat(&node("a", 1, 250), Some(7)), 1_000);
        ownership.record_heartbeat(heartbeat(&node("a", 1, 250), None), 1_100);
        assert_eq!(first_claim_ms(&mut ownership, 1_100, 2_000), Some(1_100));
    }

    overtaken_heartbeat_does_not_restore_a_released_claim(ownership) {
        let owner = node("a", 1, 250);
        let sent_at = |clock_ms, claim| Heartbeat { clock_ms, ..heartbeat(&owner, claim) };
        ownership.record_heartbeat(sent_at(50, Some(7)), 1_000);
        ownership.record_heartbeat(sent_at(100, None), 1_050);
        ownership.record_heartbeat(sent_at(60, Some(7)), 1_060);
        assert!(ownership.owner_of(&owner.zone).is_none());
    }

    // Also once its owner, of which this VM never heard, is lost.
    reported_owner_ends_the_wait_after_rejections(ownership) {
        ownership.set_vm_list(&[node("a", 1, 250)]);
        let mut now_ms = reject_claims(&mut ownership, 9);
        let claim = KnownClaim { owner: "a-1".to_owned(), token: 1 << 52, age_ms: 0 };
        for _ in 0..10 {
            now_ms += 100;
            let known_claims = vec![claim.clone()];
            let report = Heartbeat { known_claims, ..heartbeat(&node("b", 9, 250), None) };
            ownership.record_heartbeat(report, now_ms);
            assert_eq!(ownership.tick(now_ms, now_ms), None);
        }
        let claimed_at_ms = first_claim_beside_peer_ms(&mut ownership, now_ms, now_ms + 20_000);
        assert!(claimed_at_ms.is_some_and(|at_ms| at_ms <= now_ms + 1_000), "{claimed_at_ms:?}");
    }

    wait_after_a_rejection_is_short_again_after_an_hour(ownership) {
        let now_ms = reject_claims(&mut ownership, 9) + 3_600_000;
        let claimed_at_ms = first_claim_beside_peer_ms(&mut ownership, now_ms, now_ms + 1_000);
        let rejected_at_ms = claimed_at_ms.expect("the wait has passed") + 10;
        ownership.record_fenced(rejected_at_ms);
        let claimed_at_ms =
            first_claim_beside_peer_ms(&mut ownership, rejected_at_ms, rejected_at_ms + 1_000);
        assert!(claimed_at_ms.is_some_and(|at_ms| at_ms <= rejected_at_ms + 300));
    }
}

/// Rejects each claim of a VM that hears a process of another zone 10 ms after it was made, `count` times.
/// Returns the time of the last rejection.
fn reject_claims(ownership: &mut Ownership, count: u32) -> u64 {
    (0..count).fold(0, |from_ms, _| {
        let claimed_at_ms = first_claim_beside_peer_ms(ownership, from_ms, from_ms + 60_000);
        let rejected_at_ms = claimed_at_ms.expect("the VM claims its zone") + 10;
        ownership.record_fenced(rejected_at_ms);
        rejected_at_ms
    })
}

/// Returns the time of the first claim of a VM that hears a process of another zone.
fn first_claim_beside_peer_ms(
    ownership: &mut Ownership,
    from_ms: u64,
    until_ms: u64,
) -> Option<u64> {
    (from_ms..until_ms).step_by(10).find(|now_ms| {
        ownership.record_heartbeat(heartbeat(&node("b", 9, 250), None), *now_ms);
        let change = ownership.tick(1_000 + now_ms, *now_ms);
        matches!(change, Some(OwnershipChange::Claimed { .. }))
    })
}
