//! What goes wrong in a soak, and when, drawn from a seed.

use ggb_standin::{FleetStoreMode, LinkEffect, ModelMode};
use rand::{Rng, SeedableRng, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;

use crate::fleet::FleetSize;

/// How long callers send jobs.
pub const TRAFFIC_MS: u64 = 9_000;

/// When the last trouble ends, at the latest.
const TROUBLE_END_MS: u64 = 8_000;

/// What a part of the network is.
#[derive(Clone, Copy, Debug)]
pub enum Part {
    /// Everything in a zone.
    Zone(u8),
    /// A node.
    Node(usize),
    /// The store.
    Store,
    /// A target.
    Target(usize),
}

/// What happens to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeFault {
    /// It is killed, and started again at the end.
    Kill,
    /// It stands still until the end.
    Freeze,
    /// It is asked to stop, and started again when it has ended.
    Stop,
    /// It reads its settings again.
    Reload,
}

/// What happens.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Node(usize, NodeFault),
    /// All nodes are killed, and started again at the end.
    PowerLoss,
    /// The traffic between two parts suffers.
    Link {
        from: Part,
        to: Option<Part>,
        effect: LinkEffect,
        both_ways: bool,
    },
    Store(FleetStoreMode),
    /// The store forgets the history of changes.
    Compact,
    /// The configuration changes.
    Configure,
    /// A target ends everything and begins another life.
    Crash(usize),
    /// A target fails or stalls what it starts.
    Target(usize, ModelMode),
    /// A target leaves the list and comes back.
    Unlist(usize),
    /// A target is listed as draining.
    DrainTarget(usize),
}

/// A fault that begins and ends.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    pub at_ms: u64,
    pub for_ms: u64,
    pub fault: Fault,
}

/// What a soak plays.
#[derive(Clone, Debug)]
pub struct Plan {
    pub size: FleetSize,
    /// Whether nothing but planned work happens.
    pub is_planned: bool,
    /// Sorted by time.
    pub troubles: Vec<Trouble>,
    pub callers: usize,
}

impl Plan {
    /// Draws a plan.
    pub fn of(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = FleetSize {
            zones: rng.random_range(1..=3),
            nodes_per_zone: rng.random_range(2..=3),
            targets_per_zone: rng.random_range(2..=4),
        };
        let is_planned = rng.random_bool(0.3);
        let count = rng.random_range(1..=8);
        let mut troubles: Vec<Trouble> = (0..count)
            .map(|_| {
                let at_ms = rng.random_range(500..TROUBLE_END_MS - 1_000);
                let longest_ms = (TROUBLE_END_MS - at_ms).min(4_000);
                Trouble {
                    at_ms,
                    for_ms: rng.random_range(100..=longest_ms),
                    fault: if is_planned {
                        planned(&mut rng, size)
                    } else {
                        unplanned(&mut rng, size)
                    },
                }
            })
            .collect();
        troubles.sort_by_key(|trouble| trouble.at_ms);
        Plan { size, is_planned, troubles, callers: rng.random_range(4..=24) }
    }
}

fn node(rng: &mut impl Rng, size: FleetSize) -> usize {
    rng.random_range(0..usize::from(size.zones * size.nodes_per_zone))
}

fn target(rng: &mut impl Rng, size: FleetSize) -> usize {
    rng.random_range(0..usize::from(size.zones * size.targets_per_zone))
}

fn planned(rng: &mut impl Rng, size: FleetSize) -> Fault {
    match rng.random_range(0..4) {
        0 | 1 => Fault::Node(node(rng, size), NodeFault::Stop),
        2 => Fault::Node(node(rng, size), NodeFault::Reload),
        _ => Fault::Configure,
    }
}

fn unplanned(rng: &mut impl Rng, size: FleetSize) -> Fault {
    match rng.random_range(0..16) {
        0 | 1 => Fault::Node(node(rng, size), NodeFault::Kill),
        2 | 3 => Fault::Node(node(rng, size), NodeFault::Freeze),
        4 => Fault::PowerLoss,
        5..=8 => link(rng, size),
        9 => {
            let delay_ms = rng.random_range(20..800);
            let modes = [
                FleetStoreMode::Down,
                FleetStoreMode::Slow { delay_ms },
                FleetStoreMode::LosesAnswers { count: u32::MAX },
            ];
            Fault::Store(*modes.choose(rng).expect("there are modes"))
        }
        10 => Fault::Compact,
        11 => Fault::Crash(target(rng, size)),
        12 => {
            let modes = [ModelMode::Stalled, ModelMode::Failing];
            Fault::Target(target(rng, size), *modes.choose(rng).expect("there are modes"))
        }
        13 => Fault::Unlist(target(rng, size)),
        14 => Fault::DrainTarget(target(rng, size)),
        _ => planned(rng, size),
    }
}

fn link(rng: &mut impl Rng, size: FleetSize) -> Fault {
    let part = |rng: &mut ChaCha8Rng| match rng.random_range(0..4) {
        0 => Part::Zone(rng.random_range(0..size.zones)),
        1 => Part::Store,
        2 => Part::Target(target(rng, size)),
        _ => Part::Node(node(rng, size)),
    };
    let mut parts = ChaCha8Rng::seed_from_u64(rng.random());
    let delay_us = rng.random_range(1_000..150_000);
    let effects = [LinkEffect::Cut, LinkEffect::Delay { delay_us }, LinkEffect::Reset];
    Fault::Link {
        from: part(&mut parts),
        to: rng.random_bool(0.6).then(|| part(&mut parts)),
        effect: *effects.choose(rng).expect("there are effects"),
        both_ways: rng.random_bool(0.6),
    }
}
