//! Running a workload against a deployment.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use ggb_config::{Change, ChangeContext};
use ggb_control::unix_ms;
use ggb_http::{ClientLimits, HttpClient};
use ggb_model::Profile;
use ggb_platform::{ProfileStore, StoreTable};
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::{
    ClassResults, Deployment, Job, LoadError, Phase, Results, Second, Workload,
    caller::{Reply, Session},
    collect::{read_counters, read_load, read_status, read_usage},
};

const SESSIONS_PER_ENTRY: usize = 16;
const SAMPLE_MS: u64 = 100;
const READY_MS: u64 = 100;
const READY_TRIES: usize = 200;
const IDLE_CONNECTIONS: usize = 2_048;

struct Shared {
    client: HttpClient,
    workload: Workload,
    deployment: Deployment,
    sessions: Vec<Session>,
    classes: Mutex<Vec<ClassResults>>,
    send_lag_us: Mutex<Histogram<u64>>,
    in_flight: AtomicU64,
    sampling: AtomicBool,
}

/// Submits a workload open-loop and returns what it showed.
///
/// # Errors
///
/// Fails if the deployment can't be reached or its profiles can't be set.
pub async fn run(
    deployment: &Deployment,
    workload: &Workload,
    seed: u64,
) -> Result<Results, LoadError> {
    let limits = ClientLimits { idle_per_peer: IDLE_CONNECTIONS, ..ClientLimits::default() };
    let client = HttpClient::new(limits);
    set_profiles(deployment, workload).await?;
    await_ready(&client, deployment, workload).await?;
    let mut sessions = Vec::new();
    for _ in 0..SESSIONS_PER_ENTRY {
        for entry in &deployment.entries {
            sessions.push(Session::open(&client, entry.http).await?);
        }
    }
    let shared = Arc::new(Shared {
        client,
        workload: workload.clone(),
        deployment: deployment.clone(),
        sessions,
        classes: Mutex::new(fresh_classes(workload)),
        send_lag_us: Mutex::new(Histogram::new(3).map_err(LoadError::new)?),
        in_flight: AtomicU64::new(0),
        sampling: AtomicBool::new(true),
    });
    let jobs = workload.jobs(deployment.slots, seed);
    let before = read_counters(&shared.client, deployment).await;
    let usage_before = read_usage(&deployment.processes);
    let start = Instant::now();
    let sampler = task::spawn(sample(Arc::clone(&shared), start));
    submit_all(&shared, jobs, start, seed).await;
    shared.sampling.store(false, Ordering::SeqCst);
    let seconds = sampler.await;
    let counters = read_counters(&shared.client, deployment).await.since(&before);
    let usage = read_usage(&deployment.processes);
    let cpu_before = |role: &str| {
        usage_before.iter().find(|u| u.role == role).map_or(0.0, |usage| usage.cpu_seconds)
    };
    let classes = shared.classes.lock().clone();
    let goodput = goodput_by_phase(workload, &classes, deployment.slots);
    let send_lag_us = shared.send_lag_us.lock().value_at_quantile(0.99);
    Ok(Results {
        deployment: deployment.name.clone(),
        workload: workload.name,
        seed,
        classes,
        goodput,
        busy: busy_by_phase(workload, &seconds),
        recovery_s: recovery(workload, &seconds),
        seconds,
        starts: counters.starts,
        messages: counters.messages,
        wasted: counters.wasted,
        cpu_seconds: usage
            .iter()
            .map(|usage| (usage.role.clone(), usage.cpu_seconds - cpu_before(&usage.role)))
            .collect(),
        memory_mib: usage.iter().map(|u| (u.role.clone(), u.memory_mib)).collect(),
        send_lag_us,
    })
}

async fn submit_all(shared: &Arc<Shared>, jobs: Vec<Job>, start: Instant, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 1);
    let mut running = Vec::new();
    for job in jobs {
        let early = job.due.saturating_sub(start.elapsed());
        if !early.is_zero() {
            task::sleep(early).await;
        }
        let session = rng.random_range(0..shared.sessions.len());
        let entry = rng.random_range(0..shared.deployment.entries.len());
        let shared = Arc::clone(shared);
        running.push(task::spawn(submit_one(shared, job, session, entry, start)));
    }
    for job in running {
        job.await;
    }
}

async fn submit_one(shared: Arc<Shared>, job: Job, session: usize, entry: usize, start: Instant) {
    let lag = start.elapsed().saturating_sub(job.due);
    shared.send_lag_us.lock().record(lag.as_micros() as u64).ok();
    shared.in_flight.fetch_add(1, Ordering::Relaxed);
    let http = shared.deployment.entries[entry].http;
    let session = &shared.sessions[session];
    let reply = session.submit(&shared.client, http, &shared.workload, &job).await;
    shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    let response = start.elapsed().saturating_sub(job.due);
    record(&shared, &job, &reply, response);
}

fn record(shared: &Shared, job: &Job, reply: &Reply, response: Duration) {
    let mut classes = shared.classes.lock();
    let own = &mut classes[job.phase * shared.workload.classes.len() + job.class];
    match reply.outcome.as_str() {
        "complete" if reply.whole => {
            let ideal = Duration::from_millis(job.ideal_ms().into());
            let over = response.saturating_sub(ideal);
            own.over_ideal_us.saturating_record(over.as_micros() as u64);
            own.work_ms += job.tasks.iter().map(|task| u64::from(task.run_ms)).sum::<u64>();
            own.count("complete");
        }
        "complete" => own.count("partial"),
        other => own.count(other),
    }
}

async fn sample(shared: Arc<Shared>, start: Instant) -> Vec<Second> {
    let mut seconds = Vec::new();
    while shared.sampling.load(Ordering::SeqCst) {
        let (used, queued) = read_load(&shared.client, &shared.deployment).await;
        seconds.push(Second {
            at: start.elapsed().as_secs_f64(),
            busy: used as f64 / f64::from(shared.deployment.slots.max(1)),
            queued,
            in_flight: shared.in_flight.load(Ordering::Relaxed),
        });
        task::sleep(Duration::from_millis(SAMPLE_MS)).await;
    }
    seconds
}

fn fresh_classes(workload: &Workload) -> Vec<ClassResults> {
    let phases = workload.phases.iter();
    phases
        .flat_map(|phase| {
            workload.classes.iter().map(|class| ClassResults::new(class.name, phase.name))
        })
        .collect()
}

fn busy_by_phase(workload: &Workload, seconds: &[Second]) -> Vec<(&'static str, f64)> {
    let mut begin = 0.0;
    let mut busy = Vec::new();
    for phase in &workload.phases {
        let end = begin + phase.seconds;
        let own: Vec<f64> =
            seconds.iter().filter(|s| (begin..end).contains(&s.at)).map(|s| s.busy).collect();
        busy.push((phase.name, own.iter().sum::<f64>() / own.len().max(1) as f64));
        begin = end;
    }
    busy
}

fn goodput_by_phase(
    workload: &Workload,
    classes: &[ClassResults],
    slots: u32,
) -> Vec<(&'static str, f64)> {
    let share = |phase: &Phase| {
        let own = classes.iter().filter(|class| class.phase == phase.name);
        let work_ms: u64 = own.map(|class| class.work_ms).sum();
        (phase.name, work_ms as f64 / (f64::from(slots) * phase.seconds * 1e3))
    };
    workload.phases.iter().map(share).collect()
}

/// Returns how long after the busiest phase something still waits at dispatchers.
fn recovery(workload: &Workload, seconds: &[Second]) -> Option<f64> {
    let busiest = workload.phases.iter().map(|phase| phase.to).fold(0.0, f64::max);
    let last = workload.phases.iter().rposition(|phase| phase.to == busiest)?;
    if last + 1 == workload.phases.len() {
        return None;
    }
    let end: f64 = workload.phases[..=last].iter().map(|phase| phase.seconds).sum();
    let calm = seconds.iter().find(|second| second.at >= end && second.queued == 0)?;
    Some(calm.at - end)
}

async fn set_profiles(deployment: &Deployment, workload: &Workload) -> Result<(), LoadError> {
    let client = Arc::new(HttpClient::new(ClientLimits::default()));
    let store = ProfileStore::new(Arc::new(StoreTable::new(deployment.platform, client)));
    for class in &workload.classes {
        let snapshot = store.snapshot().await.map_err(LoadError::new)?;
        let snapshot = snapshot.map_err(LoadError::new)?;
        let name = class.name.parse().map_err(LoadError::new)?;
        let change = match (snapshot.find(&name), snapshot.changed_in(&name)) {
            (Some(stored), _) if *stored.settings() == class.settings => continue,
            (Some(_), Some(base)) => {
                Change::Replace { name, settings: class.settings.clone(), base }
            }
            _ => {
                let profile = Profile::try_new(name, class.settings.clone());
                Change::Create(profile.map_err(LoadError::new)?)
            }
        };
        let change_id = format!("{:032x}", rand::random::<u128>());
        let context = ChangeContext::new("ggb-load", change_id, unix_ms());
        store.change(change, &context).await.map_err(LoadError::new)?;
    }
    Ok(())
}

/// Waits until every entry process has the profiles in force and sees a dispatcher.
async fn await_ready(
    client: &HttpClient,
    deployment: &Deployment,
    workload: &Workload,
) -> Result<(), LoadError> {
    let table = Arc::new(HttpClient::new(ClientLimits::default()));
    let store = ProfileStore::new(Arc::new(StoreTable::new(deployment.platform, table)));
    let head = store.head_generation().await.map_err(LoadError::new)?;
    let wanted = head.unwrap_or_default().0;
    for entry in &deployment.entries {
        let mut last = Value::Null;
        for _ in 0..READY_TRIES {
            last = read_status(client, entry.operator).await.unwrap_or_default();
            if last["details"]["generation"].as_u64() >= Some(wanted) {
                break;
            }
            task::sleep(Duration::from_millis(READY_MS)).await;
        }
        if last["details"]["generation"].as_u64() < Some(wanted) {
            let message = format!("{}: not ready for {}: {last}", entry.operator, workload.name);
            return Err(LoadError::new(message));
        }
    }
    Ok(())
}
