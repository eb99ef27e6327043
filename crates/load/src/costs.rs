//! Measures the cost of a session and of a task start, for capacity planning.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::task;
use ggb_http::{ClientOptions, HttpClient};
use ggb_model::{Incarnation, Priority, TaskShape};
use ggb_policy::{
    Demand, Grant, LeaseEnd, PartKey, Scheduler, SchedulerOptions, StreamId, TargetSpec, WorkClass,
    WorkloadKey,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{Deployment, LoadError, caller::Session, collect::resident_bytes};

/// Delay before memory is read, for pending work of the entry process to end.
const SETTLE_DELAY_MS: u64 = 500;

const HOMES: u32 = 20;
/// Tasks in each demand, and maximum number of leases released in each simulated millisecond.
const TASKS_PER_DEMAND: u16 = 20;
const SLOTS_PER_TARGET: u16 = 32;

/// Memory that idle sessions take at their home.
#[derive(Clone, Copy, Debug)]
pub struct SessionCost {
    /// Number of sessions opened.
    pub sessions: usize,
    /// Growth of resident memory per session.
    pub bytes_per_session: f64,
}

/// Opens `count` sessions at the first entry process and returns the memory that each takes.
///
/// # Errors
///
/// Fails if the deployment has no entry process or a session can't be opened.
pub async fn measure_sessions(
    deployment: &Deployment,
    count: usize,
) -> Result<SessionCost, LoadError> {
    let client = HttpClient::new(ClientOptions::default());
    let entry = deployment
        .entries
        .first()
        .ok_or_else(|| LoadError::new("the deployment has no entry process"))?;
    let process = deployment.processes.iter().find(|process| process.role == "entry");
    let pid = process
        .ok_or_else(|| LoadError::new("the deployment lists no process with the role `entry`"))?
        .pid;
    Session::open(&client, entry.http).await?;
    task::sleep(Duration::from_millis(SETTLE_DELAY_MS)).await;
    let before = resident_bytes(pid);
    for _ in 0..count {
        Session::open(&client, entry.http).await?;
    }
    task::sleep(Duration::from_millis(SETTLE_DELAY_MS)).await;
    let grown = resident_bytes(pid).saturating_sub(before);
    Ok(SessionCost { sessions: count, bytes_per_session: grown as f64 / count.max(1) as f64 })
}

/// Time that a dispatcher's scheduler takes per task start, without network I/O.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerCost {
    /// Number of targets, each with 32 slots.
    pub targets: u32,
    /// Number of leases granted.
    pub starts: u64,
    /// Mean time to queue, grant and release a lease, in microseconds.
    pub us_per_start: f64,
    /// Duration of one refresh, which a dispatcher runs 50 times per second.
    pub refresh_us: f64,
}

/// Measures a scheduler whose targets are kept fully occupied until it has granted `starts`
/// leases.
///
/// The same `seed` yields the same demands and run times.
pub fn measure_scheduler(targets: u32, starts: u64, seed: u64) -> SchedulerCost {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut scheduler = Scheduler::new(SchedulerOptions::default());
    for index in 0..targets {
        let addr = SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 9_000));
        let capacity = TaskShape { slots: SLOTS_PER_TARGET, memory_mib: 131_072, accelerators: 0 };
        scheduler.insert_target(TargetSpec { addr, incarnation: Incarnation(1), capacity }, 0);
    }
    let mut leases: Vec<Grant> = Vec::new();
    let mut grants = Vec::new();
    let (mut granted, mut job, mut now_ms) = (0, 0, 0);
    let start = Instant::now();
    while granted < starts {
        while scheduler.stats().queued_tasks < u32::from(TASKS_PER_DEMAND) {
            job += 1;
            scheduler.admit(random_demand(job, &mut rng), now_ms);
        }
        scheduler.assign(now_ms, &mut rng, &mut grants);
        let is_full = grants.is_empty();
        granted += grants.len() as u64;
        leases.append(&mut grants);
        if is_full {
            now_ms += 1;
            for _ in 0..TASKS_PER_DEMAND.min(leases.len() as u16) {
                let index = rng.random_range(0..leases.len());
                let grant = leases.swap_remove(index);
                let end = LeaseEnd::Done { run_ms: rng.random_range(50..1_000) };
                scheduler.release(grant.key.stream, grant.lease, end, now_ms);
            }
        }
    }
    let us_per_start = start.elapsed().as_secs_f64() * 1e6 / granted as f64;
    let start = Instant::now();
    scheduler.refresh(now_ms);
    let refresh_us = start.elapsed().as_secs_f64() * 1e6;
    SchedulerCost { targets, starts: granted, us_per_start, refresh_us }
}

/// Returns a demand with random priority and run time.
fn random_demand(job: u64, rng: &mut ChaCha8Rng) -> Demand {
    let team = job % 100;
    Demand {
        key: PartKey { stream: StreamId(job as u32 % HOMES), job },
        class: WorkClass {
            priority: Priority::ALL[rng.random_range(0..3)],
            team: format!("team-{team}").parse().expect("`team-N` is a valid team name"),
            team_weight: 1,
            quota_slots: u32::MAX,
            quota_queued_tasks: u32::MAX,
            workload: WorkloadKey(job % 1_000),
            declared_run_ms: Some(rng.random_range(50..1_000)),
        },
        shape: TaskShape::default(),
        count: TASKS_PER_DEMAND,
        start_within_ms: u32::MAX,
    }
}
