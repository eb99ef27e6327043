//! Messages and bytes that one process sends, over the real encoding and choice of recipients.
//!
//! `cargo test -p ggb-membership --test traffic -- --nocapture --test-threads 1` prints the rows of
//! `docs/CAPACITY.md`.

use std::{net::IpAddr, ops::Range};

use ggb_membership::{
    HEARTBEAT_INTERVAL_MS, Heartbeat, KnownClaim, MAX_HEARTBEAT_BYTES, MAX_ZONE_MEMBERS, Node,
    Ownership, OwnershipChange, Recipient, Recipients,
};

/// Rounds of a second.
const ROUNDS: u64 = 1_000 / HEARTBEAT_INTERVAL_MS;

/// Part of a heartbeat that losses of targets may take.
const MAX_LOSS_BYTES: usize = 16 * 170;

/// A deployment with as many processes in each zone as possible; the first of each zone owns it.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    processes: usize,
    zones: usize,
}

impl Deployment {
    fn node(self, index: usize) -> Node {
        let zone = index % self.zones;
        Node {
            name: format!("qc-east-{zone}-n{}", index / self.zones + 1),
            ip: IpAddr::from([10, zone as u8, (index >> 8) as u8, index as u8]),
            zone: format!("qc-east-{zone}").parse().expect("the zone name is valid"),
            cpu_milli: 250,
        }
    }

    fn nodes(self) -> Vec<Node> {
        (0..self.processes).map(|index| self.node(index)).collect()
    }

    fn zone_size(self, zone: usize) -> usize {
        (self.processes - zone).div_ceil(self.zones)
    }

    /// Returns the heartbeat of a process in a calm deployment.
    fn heartbeat(self, index: usize, clock_ms: u64) -> Heartbeat {
        let token = |zone: usize| 1_796_480_442_336_025 + zone as u64;
        let known_claims = (0..self.zones).filter(|zone| *zone != index).map(|zone| KnownClaim {
            owner: self.node(zone).name,
            token: token(zone),
            age_ms: 50,
        });
        let mut sender = Ownership::new(self.node(index), u64::MAX / 3, 0);
        sender.set_vm_list(&[]);
        Heartbeat {
            claim_token: (index < self.zones).then(|| token(index)),
            known_claims: known_claims.collect(),
            lacks_owner: false,
            ..sender.heartbeat(clock_ms)
        }
    }

    /// Returns whether a process sends a heartbeat to another one in a calm deployment.
    fn sends(self, sender: usize, recipient: usize) -> bool {
        sender < self.zones
            || recipient < self.zones
            || sender % self.zones == recipient % self.zones
    }

    /// Returns a process that has heard from all others, of other zones by introductions.
    fn process(self, index: usize) -> Ownership {
        let mut ownership = Ownership::new(self.node(index), 1, 0);
        ownership.set_vm_list(&self.nodes());
        if index < self.zones {
            let change = (0..10_000).step_by(10).find_map(|ms| ownership.tick(1_000 + ms, ms));
            assert!(matches!(change, Some(OwnershipChange::Claimed { .. })), "{change:?}");
        }
        for peer in (0..self.processes).filter(|peer| *peer != index) {
            ownership.record_heartbeat(self.heartbeat(peer, 9_000), 9_000);
        }
        self.hear(&mut ownership, index, 0..self.processes, 10_000);
        ownership
    }

    /// Records heartbeats of those of `peers` that send to the process `index`.
    fn hear(self, ownership: &mut Ownership, index: usize, peers: Range<usize>, now_ms: u64) {
        for peer in peers.filter(|peer| *peer != index && self.sends(*peer, index)) {
            ownership.record_heartbeat(self.heartbeat(peer, now_ms), now_ms);
        }
    }
}

/// Messages and bytes that a process has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Traffic {
    messages: usize,
    bytes: usize,
    list_bytes: usize,
}

impl Traffic {
    fn add(&mut self, ownership: &Ownership, now_ms: u64, recipients: &[Recipient]) {
        let heartbeat = ownership.heartbeat(now_ms);
        let bare = serde_json::to_vec(&heartbeat).expect("a heartbeat serializes").len();
        for recipient in recipients {
            let heartbeat = recipient.heartbeat(heartbeat.clone());
            let bytes = serde_json::to_vec(&heartbeat).expect("a heartbeat serializes").len();
            assert!(bytes + MAX_LOSS_BYTES <= MAX_HEARTBEAT_BYTES, "{bytes}");
            self.messages += 1;
            self.bytes += bytes;
            if !recipient.zone_members.is_empty() {
                self.list_bytes += bytes - bare;
            }
        }
    }
}

/// Returns what a process sends in a second of rounds.
///
/// `hear` adds heartbeats that arrive before each round.
fn second(
    ownership: &mut Ownership,
    mut hear: impl FnMut(&mut Ownership, u64, &mut Traffic),
) -> Traffic {
    let mut traffic = Traffic::default();
    for round in 0..ROUNDS {
        let now_ms = 10_000 + round * HEARTBEAT_INTERVAL_MS;
        hear(ownership, now_ms, &mut traffic);
        let recipients = ownership.recipients(Recipients::of_round(round), Some(round), now_ms);
        traffic.add(ownership, now_ms, &recipients);
    }
    traffic
}

/// Returns the traffic of an established process in a calm second.
fn calm(deployment: Deployment, index: usize) -> Traffic {
    let mut ownership = deployment.process(index);
    second(&mut ownership, |ownership, now_ms, _| {
        deployment.hear(ownership, index, 0..deployment.processes, now_ms);
    })
}

/// Returns the traffic of an established process in the second after the last process of the
/// deployment starts anew.
fn after_newcomer(deployment: Deployment, index: usize, has_list: bool) -> Traffic {
    let newcomer = deployment.processes - 1;
    let mut ownership = deployment.process(index);
    second(&mut ownership, |ownership, now_ms, traffic| {
        deployment.hear(ownership, index, 0..newcomer, now_ms);
        if deployment.sends(newcomer, index) {
            let heartbeat = deployment.heartbeat(newcomer, now_ms);
            let lacks_vm_list = !has_list;
            ownership.record_heartbeat(
                Heartbeat { incarnation: 77, lacks_vm_list, ..heartbeat },
                now_ms,
            );
            let answer = ownership.take_answer(&deployment.node(newcomer).name, now_ms);
            traffic.add(ownership, now_ms, answer.as_slice());
        }
    })
}

/// Returns the traffic of a process in its first second.
fn newcomer(deployment: Deployment, has_list: bool) -> Traffic {
    let index = deployment.processes - 1;
    let mut ownership = Ownership::new(deployment.node(index), 77, 10_000);
    if has_list {
        ownership.set_vm_list(&deployment.nodes());
    }
    second(&mut ownership, |ownership, now_ms, traffic| {
        if now_ms > 10_000 {
            deployment.hear(ownership, index, 0..index, now_ms);
        }
        for peer in 0..deployment.processes {
            let answer = ownership.take_answer(&deployment.node(peer).name, now_ms);
            traffic.add(ownership, now_ms, answer.as_slice());
        }
    })
}

macro_rules! sizes {
    ($($name:ident($processes:literal, $zones:literal))+) => {
        $(
            #[test]
            fn $name() {
                check(Deployment { processes: $processes, zones: $zones });
            }
        )+
    };
}

sizes! {
    traffic_of_7_processes_is_bounded(7, 3)
    traffic_of_50_processes_is_bounded(50, 5)
    traffic_of_300_processes_is_bounded(300, 11)
    traffic_of_1000_processes_is_bounded(1_000, 11)
}

fn check(deployment: Deployment) {
    let Deployment { processes, zones } = deployment;
    let follower = processes - 1;
    let owner = (follower + 1) % zones;
    let rows = [
        ("follower, calm", calm(deployment, follower)),
        ("owner, calm", calm(deployment, owner)),
        (
            "follower of the zone, newcomer without the list",
            after_newcomer(deployment, follower - zones, false),
        ),
        ("owner elsewhere, newcomer without the list", after_newcomer(deployment, owner, false)),
        ("owner elsewhere, newcomer with the list", after_newcomer(deployment, owner, true)),
        ("newcomer without the list", newcomer(deployment, false)),
        ("newcomer with the list", newcomer(deployment, true)),
    ];
    for (name, traffic) in rows {
        println!(
            "{processes} | {name} | {} | {} | {}",
            traffic.messages, traffic.bytes, traffic.list_bytes
        );
    }
    let [follower_calm, owner_calm, zone_peer, remote_owner, with_list, without, with] =
        rows.map(|(_, traffic)| traffic);
    // A second has four rounds with all recipients.
    let zone_messages = |index: usize| 10 * (deployment.zone_size(index % zones) - 1);
    assert_eq!(follower_calm.messages, zone_messages(follower) + 4 * (zones - 1));
    let remote = processes - deployment.zone_size(owner) - (zones - 1);
    assert_eq!(owner_calm.messages, zone_messages(owner) + 10 * (zones - 1) + 4 * remote);
    assert_eq!([follower_calm.list_bytes, owner_calm.list_bytes, with_list.list_bytes], [0; 3]);
    // An answer and four rounds.
    let max_list_bytes = 5 * MAX_ZONE_MEMBERS * 100;
    assert!(zone_peer.list_bytes <= max_list_bytes && remote_owner.list_bytes <= max_list_bytes);
    let calm_messages = follower_calm.messages;
    let answers = deployment.zone_size(follower % zones) + zones;
    assert!(without.messages <= calm_messages + answers, "{without:?}");
    assert!(with.messages <= calm_messages + answers + 10 * 16, "{with:?}");
}
