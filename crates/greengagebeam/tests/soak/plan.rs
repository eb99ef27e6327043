//! Schedule of the faults of a soak, generated from a seed.

use ggb_standin::{LinkEffect, SimulatedTargetMode, StoreMode};
use rand::{Rng, SeedableRng, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;

use crate::fleet::FleetSize;

/// Time for which callers send jobs.
pub const TRAFFIC_MS: u64 = 9_000;

/// Maximum time at which the last fault ends.
const MAX_FAULT_END_MS: u64 = 8_000;

/// First seed of which some jobs crash the targets that start them. Earlier seeds stay as they were
/// when they failed.
const FIRST_SEED_WITH_CRASHES: u64 = 1_000;

/// Share of the jobs that crash targets, from [`FIRST_SEED_WITH_CRASHES`] on.
const CRASH_PERCENT: u32 = 3;

/// First seed of which open connections go silent. Earlier seeds stay as they were when they failed.
const FIRST_SEED_WITH_SILENCE: u64 = 2_000;

/// Maximum number of times at which open connections go silent, from [`FIRST_SEED_WITH_SILENCE`] on.
const MAX_SILENCES: usize = 3;

/// First seed of which targets restart silently and send their listings late. Earlier seeds stay as
/// they were when they failed.
const FIRST_SEED_WITH_SILENT_RESTARTS: u64 = 3_000;

/// Maximum number of silent restarts, from [`FIRST_SEED_WITH_SILENT_RESTARTS`] on.
const MAX_SILENT_RESTARTS: usize = 5;

/// First seed with bursts of one kind of job and with targets that are slow for a while. Earlier seeds stay
/// as they were when they failed.
const FIRST_SEED_WITH_BURSTS: u64 = 4_000;

/// Maximum number of bursts, from [`FIRST_SEED_WITH_BURSTS`] on.
const MAX_BURSTS: usize = 2;

/// Maximum number of slow targets, from [`FIRST_SEED_WITH_BURSTS`] on.
const MAX_SLOW_TARGETS: usize = 3;

/// Endpoint of the traffic that a link fault affects.
#[derive(Clone, Copy, Debug)]
pub enum LinkEndpoint {
    /// All addresses of a zone.
    Zone(u8),
    /// Node at this index.
    Node(usize),
    /// Store of the platform.
    Store,
    /// Target at this index.
    Target(usize),
}

/// Fault of a node, or planned operation on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeFault {
    /// The node is killed, and restarted when the fault ends.
    Kill,
    /// The node is suspended (SIGSTOP) until the fault ends.
    Freeze,
    /// The node is asked to stop, and restarted once it has exited.
    Stop,
    /// The node reads its settings again.
    Reload,
}

/// Fault or planned operation.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Node(usize, NodeFault),
    /// All nodes are killed, and restarted when the fault ends.
    PowerLoss,
    /// An effect on traffic from one endpoint to another, or to everything else; with `both_ways`
    /// also on traffic in the opposite direction.
    Link {
        from: LinkEndpoint,
        to: Option<LinkEndpoint>,
        effect: LinkEffect,
        both_ways: bool,
    },
    /// The open connections to an endpoint, or all, deliver nothing more; new ones work.
    Silence(Option<LinkEndpoint>),
    Store(StoreMode),
    /// The store discards its history of changes.
    Compact,
    /// A new version of the configuration is written.
    Configure,
    /// A target loses all its runs and starts a new incarnation.
    Crash(usize),
    /// A target crashes, answers nothing, and starts a new incarnation when the fault ends.
    RestartSilently(usize),
    /// A target fails, stalls or slows down the runs that it starts.
    Target(usize, SimulatedTargetMode),
    /// A target is removed from the list, and put back when the fault ends.
    Unlist(usize),
    /// A target is listed as draining until the fault ends.
    DrainTarget(usize),
}

/// Fault with its start and duration.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    pub start_ms: u64,
    pub duration_ms: u64,
    pub fault: Fault,
}

/// A time in which more callers send jobs of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub start_ms: u64,
    pub end_ms: u64,
    pub callers: usize,
    /// Number of tasks of a job, which has one step.
    pub tasks: u16,
    /// Run time of a task.
    pub work_ms: u64,
}

/// Cluster size, faults and callers of a soak.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    pub size: FleetSize,
    /// True if all faults are planned operations: stops, reloads and configuration changes.
    pub planned_only: bool,
    /// Faults, sorted by start.
    pub faults: Vec<ScheduledFault>,
    pub callers: usize,
    pub bursts: Vec<Burst>,
    /// Share of the jobs that crash each target that starts them.
    pub crash_percent: u32,
    /// Time by which targets send a listing later than they make it.
    pub listing_delay_ms: u64,
}

impl FaultPlan {
    /// Generates the plan of a seed.
    pub fn generate(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = FleetSize {
            zones: rng.random_range(1..=3),
            nodes_per_zone: rng.random_range(2..=3),
            targets_per_zone: rng.random_range(2..=4),
        };
        let planned_only = rng.random_bool(0.3);
        let count = rng.random_range(1..=8);
        let mut faults: Vec<ScheduledFault> = (0..count)
            .map(|_| {
                let start_ms = rng.random_range(500..MAX_FAULT_END_MS - 1_000);
                let max_duration_ms = (MAX_FAULT_END_MS - start_ms).min(4_000);
                ScheduledFault {
                    start_ms,
                    duration_ms: rng.random_range(100..=max_duration_ms),
                    fault: if planned_only {
                        planned_fault(&mut rng, size)
                    } else {
                        unplanned_fault(&mut rng, size)
                    },
                }
            })
            .collect();
        if seed >= FIRST_SEED_WITH_SILENCE && !planned_only {
            let silences = rng.random_range(1..=MAX_SILENCES);
            faults.extend((0..silences).map(|_| ScheduledFault {
                start_ms: rng.random_range(500..MAX_FAULT_END_MS),
                duration_ms: 0,
                fault: Fault::Silence(
                    rng.random_bool(0.7).then(|| random_endpoint(&mut rng, size)),
                ),
            }));
        }
        let mut listing_delay_ms = 0;
        if seed >= FIRST_SEED_WITH_SILENT_RESTARTS && !planned_only {
            let restarts = rng.random_range(1..=MAX_SILENT_RESTARTS);
            faults.extend((0..restarts).map(|_| ScheduledFault {
                start_ms: rng.random_range(500..MAX_FAULT_END_MS),
                duration_ms: rng.random_range(10..=150),
                fault: Fault::RestartSilently(random_target(&mut rng, size)),
            }));
            listing_delay_ms = rng.random_range(0..=40);
        }
        let mut bursts = Vec::new();
        if seed >= FIRST_SEED_WITH_BURSTS {
            bursts.extend((0..rng.random_range(1..=MAX_BURSTS)).map(|_| random_burst(&mut rng)));
        }
        if seed >= FIRST_SEED_WITH_BURSTS && !planned_only {
            let slow_targets = rng.random_range(1..=MAX_SLOW_TARGETS);
            faults.extend((0..slow_targets).map(|_| ScheduledFault {
                start_ms: rng.random_range(500..MAX_FAULT_END_MS - 3_000),
                duration_ms: rng.random_range(500..=3_000),
                fault: Fault::Target(
                    random_target(&mut rng, size),
                    SimulatedTargetMode::Slow { factor: rng.random_range(3..=8) },
                ),
            }));
        }
        faults.sort_by_key(|scheduled| scheduled.start_ms);
        let callers = rng.random_range(4..=24);
        let crash_percent = if seed < FIRST_SEED_WITH_CRASHES { 0 } else { CRASH_PERCENT };
        FaultPlan { size, planned_only, faults, callers, bursts, crash_percent, listing_delay_ms }
    }
}

fn random_burst(rng: &mut impl Rng) -> Burst {
    let start_ms = rng.random_range(500..MAX_FAULT_END_MS - 1_000);
    Burst {
        start_ms,
        end_ms: start_ms + rng.random_range(500..=2_000),
        callers: rng.random_range(10..=60),
        tasks: rng.random_range(1..=8),
        work_ms: rng.random_range(20..=900),
    }
}

fn random_node(rng: &mut impl Rng, size: FleetSize) -> usize {
    rng.random_range(0..usize::from(size.zones * size.nodes_per_zone))
}

fn random_target(rng: &mut impl Rng, size: FleetSize) -> usize {
    rng.random_range(0..usize::from(size.zones * size.targets_per_zone))
}

fn random_endpoint(rng: &mut impl Rng, size: FleetSize) -> LinkEndpoint {
    match rng.random_range(0..4) {
        0 => LinkEndpoint::Zone(rng.random_range(0..size.zones)),
        1 => LinkEndpoint::Store,
        2 => LinkEndpoint::Target(random_target(rng, size)),
        _ => LinkEndpoint::Node(random_node(rng, size)),
    }
}

fn planned_fault(rng: &mut impl Rng, size: FleetSize) -> Fault {
    match rng.random_range(0..4) {
        0 | 1 => Fault::Node(random_node(rng, size), NodeFault::Stop),
        2 => Fault::Node(random_node(rng, size), NodeFault::Reload),
        _ => Fault::Configure,
    }
}

fn unplanned_fault(rng: &mut impl Rng, size: FleetSize) -> Fault {
    match rng.random_range(0..16) {
        0 | 1 => Fault::Node(random_node(rng, size), NodeFault::Kill),
        2 | 3 => Fault::Node(random_node(rng, size), NodeFault::Freeze),
        4 => Fault::PowerLoss,
        5..=8 => link_fault(rng, size),
        9 => {
            let delay_ms = rng.random_range(20..800);
            let modes = [
                StoreMode::Down,
                StoreMode::Slow { delay_ms },
                StoreMode::DropsResponses { count: u32::MAX },
            ];
            Fault::Store(*modes.choose(rng).expect("the list of modes is not empty"))
        }
        10 => Fault::Compact,
        11 => Fault::Crash(random_target(rng, size)),
        12 => {
            let modes = [SimulatedTargetMode::Stalled, SimulatedTargetMode::Failing];
            Fault::Target(
                random_target(rng, size),
                *modes.choose(rng).expect("the list of modes is not empty"),
            )
        }
        13 => Fault::Unlist(random_target(rng, size)),
        14 => Fault::DrainTarget(random_target(rng, size)),
        _ => planned_fault(rng, size),
    }
}

fn link_fault(rng: &mut impl Rng, size: FleetSize) -> Fault {
    let mut endpoint_rng = ChaCha8Rng::seed_from_u64(rng.random());
    let delay_us = rng.random_range(1_000..150_000);
    let effects = [LinkEffect::Cut, LinkEffect::Delay { delay_us }, LinkEffect::Reset];
    Fault::Link {
        from: random_endpoint(&mut endpoint_rng, size),
        to: rng.random_bool(0.6).then(|| random_endpoint(&mut endpoint_rng, size)),
        effect: *effects.choose(rng).expect("the list of effects is not empty"),
        both_ways: rng.random_bool(0.6),
    }
}
