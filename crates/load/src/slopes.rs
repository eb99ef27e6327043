//! Slopes for the capacity page.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::task;
use ggb_http::{ClientLimits, HttpClient};
use ggb_model::{Incarnation, Priority, TaskShape};
use ggb_policy::{
    Demand, Grant, JobKey, LeaseEnd, Options, Scheduler, StreamId, TargetSpec, WorkClass, WorkKey,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{Deployment, LoadError, caller::Session, collect::memory_bytes};

const SETTLE_MS: u64 = 500;
const HOMES: u32 = 20;
const PART_TASKS: u16 = 20;
const SLOTS_PER_TARGET: u16 = 32;

/// What idle sessions cost their home.
#[derive(Clone, Copy, Debug)]
pub struct SessionCost {
    /// Sessions opened.
    pub sessions: usize,
    /// Growth of resident memory, by session.
    pub bytes_each: f64,
}

/// Opens sessions at the first entry process and returns what each costs.
///
/// # Errors
///
/// Fails if a session can't be opened.
pub async fn measure_sessions(
    deployment: &Deployment,
    count: usize,
) -> Result<SessionCost, LoadError> {
    let client = HttpClient::new(ClientLimits::default());
    let entry = deployment.entries.first().ok_or_else(|| LoadError::new("no entry process"))?;
    let process = deployment.processes.iter().find(|process| process.role == "entry");
    let pid = process.ok_or_else(|| LoadError::new("no process of an entry"))?.pid;
    Session::open(&client, entry.http).await?;
    task::sleep(Duration::from_millis(SETTLE_MS)).await;
    let before = memory_bytes(pid);
    for _ in 0..count {
        Session::open(&client, entry.http).await?;
    }
    task::sleep(Duration::from_millis(SETTLE_MS)).await;
    let grown = memory_bytes(pid).saturating_sub(before);
    Ok(SessionCost { sessions: count, bytes_each: grown as f64 / count.max(1) as f64 })
}

/// What a start costs the scheduler of a dispatcher, without any network.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerCost {
    /// Targets of 32 slots.
    pub targets: u32,
    /// Starts that were granted and released.
    pub starts: u64,
    /// Processor time for each.
    pub us_each: f64,
    /// Time of one refresh, which comes 50 times a second.
    pub refresh_us: f64,
}

/// Keeps a scheduler with `targets` targets full for `starts` starts.
pub fn measure_scheduler(targets: u32, starts: u64, seed: u64) -> SchedulerCost {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut scheduler = Scheduler::new(Options::default());
    for at in 0..targets {
        let addr = SocketAddr::from(([10, 0, (at >> 8) as u8, at as u8], 9_000));
        let capacity = TaskShape { slots: SLOTS_PER_TARGET, memory_mib: 131_072, accelerators: 0 };
        scheduler.insert_target(TargetSpec { addr, incarnation: Incarnation(1), capacity }, 0);
    }
    let mut held: Vec<Grant> = Vec::new();
    let mut grants = Vec::new();
    let (mut granted, mut job, mut now_ms) = (0, 0, 0);
    let begun = Instant::now();
    while granted < starts {
        while scheduler.stats().queued_tasks < u32::from(PART_TASKS) {
            job += 1;
            scheduler.offer(demand(job, &mut rng), now_ms);
        }
        scheduler.assign(now_ms, &mut rng, &mut grants);
        let full = grants.is_empty();
        granted += grants.len() as u64;
        held.append(&mut grants);
        if full {
            now_ms += 1;
            for _ in 0..PART_TASKS.min(held.len() as u16) {
                let at = rng.random_range(0..held.len());
                let grant = held.swap_remove(at);
                let end = LeaseEnd::Done { run_ms: rng.random_range(50..1_000) };
                scheduler.release(grant.key.stream, grant.lease, end, now_ms);
            }
        }
    }
    let us_each = begun.elapsed().as_secs_f64() * 1e6 / granted as f64;
    let begun = Instant::now();
    scheduler.refresh(now_ms);
    let refresh_us = begun.elapsed().as_secs_f64() * 1e6;
    SchedulerCost { targets, starts: granted, us_each, refresh_us }
}

fn demand(job: u64, rng: &mut ChaCha8Rng) -> Demand {
    let team = job % 100;
    Demand {
        key: JobKey { stream: StreamId(job as u32 % HOMES), job },
        class: WorkClass {
            priority: Priority::ALL[rng.random_range(0..3)],
            team: format!("team-{team}").parse().expect("the name is valid"),
            team_weight: 1,
            quota_slots: u32::MAX,
            quota_queued_tasks: u32::MAX,
            work: WorkKey(job % 1_000),
            declared_ms: Some(rng.random_range(50..1_000)),
        },
        shape: TaskShape::default(),
        count: PART_TASKS,
        start_within_ms: u32::MAX,
    }
}
