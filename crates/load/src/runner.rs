//! Runs a workload against a deployment and collects its results.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use ggb_config::{Change, ChangeContext};
use ggb_control::unix_time_ms;
use ggb_http::{ClientOptions, HttpClient};
use ggb_model::Profile;
use ggb_platform::{ProfileStore, StoreTable};
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::{
    ClassResults, Deployment, Job, LoadError, Phase, Results, Sample, Workload,
    caller::{Session, SubmissionResult},
    collect::{read_counters, read_load, read_status, read_usage},
};

const SESSIONS_PER_ENTRY: usize = 16;
const SAMPLE_INTERVAL_MS: u64 = 100;
const READY_POLL_MS: u64 = 100;
const MAX_READY_POLLS: usize = 200;
const MAX_IDLE_CONNECTIONS_PER_ENTRY: usize = 2_048;

/// State shared by the async tasks of a run.
struct RunState {
    client: HttpClient,
    workload: Workload,
    deployment: Deployment,
    sessions: Vec<Session>,
    /// Results for each phase and class, ordered by phase and then class.
    classes: Mutex<Vec<ClassResults>>,
    /// Delays between the scheduled time and the submission of jobs.
    send_lag_us: Mutex<Histogram<u64>>,
    /// Number of jobs submitted and without an outcome.
    jobs_in_flight: AtomicU64,
    /// Whether the sampler continues.
    is_sampling: AtomicBool,
}

/// Submits the jobs of a workload at their scheduled times and returns the results.
///
/// Sets the profiles that the workload uses first.
///
/// # Errors
///
/// Fails if the deployment can't be reached or its profiles can't be set.
pub async fn run(
    deployment: &Deployment,
    workload: &Workload,
    seed: u64,
) -> Result<Results, LoadError> {
    let options = ClientOptions {
        max_idle_per_peer: MAX_IDLE_CONNECTIONS_PER_ENTRY,
        ..ClientOptions::default()
    };
    let client = HttpClient::new(options);
    set_profiles(deployment, workload).await?;
    await_ready(&client, deployment, workload).await?;
    let mut sessions = Vec::new();
    for _ in 0..SESSIONS_PER_ENTRY {
        for entry in &deployment.entries {
            sessions.push(Session::open(&client, entry.http).await?);
        }
    }
    let run = Arc::new(RunState {
        client,
        workload: workload.clone(),
        deployment: deployment.clone(),
        sessions,
        classes: Mutex::new(empty_class_results(workload)),
        send_lag_us: Mutex::new(Histogram::new(3).map_err(LoadError::new)?),
        jobs_in_flight: AtomicU64::new(0),
        is_sampling: AtomicBool::new(true),
    });
    let jobs = workload.jobs(deployment.slots, seed);
    let counters_before = read_counters(&run.client, deployment).await;
    let usage_before = read_usage(&deployment.processes);
    let start = Instant::now();
    let sampler = task::spawn(sample_load(Arc::clone(&run), start));
    submit_all(&run, jobs, start, seed).await;
    run.is_sampling.store(false, Ordering::SeqCst);
    let samples = sampler.await;
    let counters = read_counters(&run.client, deployment).await.since(&counters_before);
    let usage = read_usage(&deployment.processes);
    let cpu_before = |role: &str| {
        usage_before.iter().find(|u| u.role == role).map_or(0.0, |usage| usage.cpu_seconds)
    };
    let classes = run.classes.lock().clone();
    let goodput = goodput_by_phase(workload, &classes, deployment.slots);
    let send_lag_p99_us = run.send_lag_us.lock().value_at_quantile(0.99);
    Ok(Results {
        deployment: deployment.name.clone(),
        workload: workload.name,
        seed,
        classes,
        goodput,
        occupied_share: occupied_share_by_phase(workload, &samples),
        recovery_s: recovery_s(workload, &samples),
        samples,
        started_tasks: counters.started_tasks,
        messages: counters.messages,
        wasted_messages: counters.wasted_messages,
        cpu_seconds: usage
            .iter()
            .map(|usage| (usage.role.clone(), usage.cpu_seconds - cpu_before(&usage.role)))
            .collect(),
        memory_mib: usage.iter().map(|u| (u.role.clone(), u.memory_mib)).collect(),
        send_lag_p99_us,
    })
}

/// Submits each job when it is due, through a random session and entry process, and waits for
/// all outcomes.
async fn submit_all(run: &Arc<RunState>, jobs: Vec<Job>, start: Instant, seed: u64) {
    // Another sequence than that of `Workload::jobs`, which uses `seed`.
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 1);
    let mut submissions = Vec::new();
    for job in jobs {
        let remaining = job.due.saturating_sub(start.elapsed());
        if !remaining.is_zero() {
            task::sleep(remaining).await;
        }
        let session = rng.random_range(0..run.sessions.len());
        let entry = rng.random_range(0..run.deployment.entries.len());
        let run = Arc::clone(run);
        submissions.push(task::spawn(submit_job(run, job, session, entry, start)));
    }
    for submission in submissions {
        submission.await;
    }
}

/// Submits a job and records its result; `session` and `entry` are indices.
async fn submit_job(run: Arc<RunState>, job: Job, session: usize, entry: usize, start: Instant) {
    let lag = start.elapsed().saturating_sub(job.due);
    run.send_lag_us.lock().record(lag.as_micros() as u64).ok();
    run.jobs_in_flight.fetch_add(1, Ordering::Relaxed);
    let http = run.deployment.entries[entry].http;
    let session = &run.sessions[session];
    let result = session.submit(&run.client, http, &run.workload, &job).await;
    run.jobs_in_flight.fetch_sub(1, Ordering::Relaxed);
    let response_time = start.elapsed().saturating_sub(job.due);
    record_result(&run, &job, &result, response_time);
}

/// Adds the result of a job to those of its phase and class.
///
/// A complete job that lacks an answer counts as `partial`.
fn record_result(run: &RunState, job: &Job, result: &SubmissionResult, response_time: Duration) {
    let mut classes = run.classes.lock();
    let class = &mut classes[job.phase * run.workload.classes.len() + job.class];
    match result.outcome.as_str() {
        "complete" if result.has_all_answers => {
            let ideal = Duration::from_millis(job.ideal_ms().into());
            let overhead = response_time.saturating_sub(ideal);
            class.overhead_us.saturating_record(overhead.as_micros() as u64);
            class.work_ms += job.tasks.iter().map(|task| u64::from(task.run_ms)).sum::<u64>();
            class.count_outcome("complete");
        }
        "complete" => class.count_outcome("partial"),
        other => class.count_outcome(other),
    }
}

/// Samples the load of the deployment until the run ends.
async fn sample_load(run: Arc<RunState>, start: Instant) -> Vec<Sample> {
    let mut samples = Vec::new();
    while run.is_sampling.load(Ordering::SeqCst) {
        let (used_slots, queued_tasks) = read_load(&run.client, &run.deployment).await;
        samples.push(Sample {
            elapsed_s: start.elapsed().as_secs_f64(),
            occupied_share: used_slots as f64 / f64::from(run.deployment.slots.max(1)),
            queued_tasks,
            jobs_in_flight: run.jobs_in_flight.load(Ordering::Relaxed),
        });
        task::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
    }
    samples
}

/// Returns empty results for each phase and class, ordered by phase and then class.
fn empty_class_results(workload: &Workload) -> Vec<ClassResults> {
    let phases = workload.phases.iter();
    phases
        .flat_map(|phase| {
            workload.classes.iter().map(|class| ClassResults::new(class.name, phase.name))
        })
        .collect()
}

fn occupied_share_by_phase(workload: &Workload, samples: &[Sample]) -> Vec<(&'static str, f64)> {
    let mut begin_s = 0.0;
    let mut means = Vec::new();
    for phase in &workload.phases {
        let end_s = begin_s + phase.duration_s;
        let shares: Vec<f64> = samples
            .iter()
            .filter(|s| (begin_s..end_s).contains(&s.elapsed_s))
            .map(|s| s.occupied_share)
            .collect();
        means.push((phase.name, shares.iter().sum::<f64>() / shares.len().max(1) as f64));
        begin_s = end_s;
    }
    means
}

fn goodput_by_phase(
    workload: &Workload,
    classes: &[ClassResults],
    slots: u32,
) -> Vec<(&'static str, f64)> {
    let share = |phase: &Phase| {
        let of_phase = classes.iter().filter(|class| class.phase == phase.name);
        let work_ms: u64 = of_phase.map(|class| class.work_ms).sum();
        (phase.name, work_ms as f64 / (f64::from(slots) * phase.duration_s * 1e3))
    };
    workload.phases.iter().map(share).collect()
}

/// Returns the time from the end of the phase with the highest demand until no task waits at
/// dispatchers, or `None` if no phase follows or tasks wait until the end.
fn recovery_s(workload: &Workload, samples: &[Sample]) -> Option<f64> {
    let peak_demand = workload.phases.iter().map(|phase| phase.end_demand).fold(0.0, f64::max);
    let last = workload.phases.iter().rposition(|phase| phase.end_demand == peak_demand)?;
    if last + 1 == workload.phases.len() {
        return None;
    }
    let end_s: f64 = workload.phases[..=last].iter().map(|phase| phase.duration_s).sum();
    let recovered =
        samples.iter().find(|sample| sample.elapsed_s >= end_s && sample.queued_tasks == 0)?;
    Some(recovered.elapsed_s - end_s)
}

/// Creates the workload's profiles, and replaces those whose settings differ.
async fn set_profiles(deployment: &Deployment, workload: &Workload) -> Result<(), LoadError> {
    let client = Arc::new(HttpClient::new(ClientOptions::default()));
    let store = ProfileStore::new(Arc::new(StoreTable::new(deployment.platform, client)));
    for class in &workload.classes {
        let snapshot = store.snapshot().await.map_err(LoadError::new)?;
        let snapshot = snapshot.map_err(LoadError::new)?;
        let name = class.name.parse().map_err(LoadError::new)?;
        let change = match (snapshot.find(&name), snapshot.changed_in(&name)) {
            (Some(stored), _) if *stored.settings() == class.settings => continue,
            (Some(_), Some(base)) => {
                Change::Replace { name, settings: class.settings.clone(), base_generation: base }
            }
            _ => {
                let profile = Profile::try_new(name, class.settings.clone());
                Change::Create(profile.map_err(LoadError::new)?)
            }
        };
        let change_id = format!("{:032x}", rand::random::<u128>());
        let context = ChangeContext::new("ggb-load", change_id, unix_time_ms());
        store.change(change, &context).await.map_err(LoadError::new)?;
    }
    Ok(())
}

/// Waits until every entry process has put the configuration with the profiles in force.
async fn await_ready(
    client: &HttpClient,
    deployment: &Deployment,
    workload: &Workload,
) -> Result<(), LoadError> {
    let store_client = Arc::new(HttpClient::new(ClientOptions::default()));
    let store = ProfileStore::new(Arc::new(StoreTable::new(deployment.platform, store_client)));
    let head = store.head_generation().await.map_err(LoadError::new)?;
    let required = head.unwrap_or_default().0;
    for entry in &deployment.entries {
        let mut status = Value::Null;
        for _ in 0..MAX_READY_POLLS {
            status = read_status(client, entry.operator).await.unwrap_or_default();
            if status["details"]["generation"].as_u64() >= Some(required) {
                break;
            }
            task::sleep(Duration::from_millis(READY_POLL_MS)).await;
        }
        if status["details"]["generation"].as_u64() < Some(required) {
            let message = format!(
                "entry process {} does not have the profiles of {} in force: {status}",
                entry.operator, workload.name
            );
            return Err(LoadError::new(message));
        }
    }
    Ok(())
}
