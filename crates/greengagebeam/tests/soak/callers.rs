//! Callers that submit jobs over kept-alive connections.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use ggb_control::unix_time_ms;
use ggb_http::{ClientOptions, HttpClient, Sent};
use ggb_standin::RunSpec;
use http_types::{Method, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    fleet::{HOST, PATH_PREFIX, job_body, job_state, run_spec},
    plan::Burst,
};

/// Deadline that callers give their jobs, as the users state it.
const DEADLINE_MS: u64 = 1_500;

/// Time after which a caller no longer waits for a response.
const ANSWER_TIMEOUT_MS: u64 = 4_000;

const MAX_REQUESTS_PER_JOB: u32 = 3;

/// Delay before a job is sent again after a refusal, which guarantees that no task was run.
const REFUSED_RETRY_DELAY_MS: u64 = 60;

/// Delay before a job that may have run is sent again; `resendMs` in the users' statement.
const RESEND_DELAY_MS: u64 = 1_300;

/// End of a request that submits a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// No byte of the request was sent.
    NotConnected,
    /// The request may have been sent, but no response arrived.
    ConnectionLost,
    /// A response arrived; `state` is the job state in it.
    Answered { status: u16, state: Option<String> },
}

impl RequestEnd {
    const fn is_refusal(&self) -> bool {
        match self {
            RequestEnd::NotConnected => true,
            RequestEnd::ConnectionLost => false,
            RequestEnd::Answered { status, .. } => matches!(status, 400 | 404 | 429 | 503),
        }
    }

    /// Returns the delay before the job is sent again, or `None` if it succeeded.
    fn retry_delay_ms(&self) -> Option<u64> {
        match self {
            RequestEnd::Answered { status: 200..=299, .. } => None,
            _ if self.is_refusal() => Some(REFUSED_RETRY_DELAY_MS),
            _ => Some(RESEND_DELAY_MS),
        }
    }
}

/// Request that submits a job.
#[derive(Clone, Debug)]
#[allow(dead_code, reason = "all fields are printed with a failure")]
pub struct JobRequest {
    pub node: usize,
    /// Time since the soak started.
    pub sent_at_ms: u64,
    /// Time of sending in the records of runs, in ms since 1970.
    pub sent_unix_ms: u64,
    pub took_ms: u64,
    pub end: RequestEnd,
}

/// Job of a caller, with the requests that submitted it.
#[derive(Clone, Debug)]
pub struct CallerJob {
    pub id: String,
    /// Number of tasks of each step; each step depends on the one before.
    pub steps: Vec<u16>,
    pub run_spec: RunSpec,
    pub requests: Vec<JobRequest>,
}

impl CallerJob {
    /// Returns the step and index of each task.
    pub fn tasks(&self) -> Vec<(u16, u16)> {
        let steps = self.steps.iter().enumerate();
        steps.flat_map(|(step, count)| (0..*count).map(move |index| (step as u16, index))).collect()
    }

    /// Returns whether any response reported this job state.
    pub fn was_reported(&self, expected: &str) -> bool {
        self.requests.iter().any(|request| {
            matches!(&request.end, RequestEnd::Answered { state: Some(state), .. } if state == expected)
        })
    }

    /// Returns whether every request was refused or not sent.
    pub fn was_refused(&self) -> bool {
        self.requests.iter().all(|request| request.end.is_refusal())
    }
}

/// Sends jobs of one kind, one after the other, while a burst lasts; returns all jobs.
pub async fn send_jobs_in_burst(
    seed: u64,
    burst: Burst,
    nodes: Arc<[SocketAddr]>,
    started_at: Instant,
) -> Vec<CallerJob> {
    let start = Duration::from_millis(burst.start_ms);
    task::sleep(start.saturating_sub(started_at.elapsed())).await;
    let next_job = |rng: &mut ChaCha8Rng| CallerJob {
        id: format!("{:016x}", rng.random::<u64>()),
        steps: vec![burst.tasks],
        run_spec: run_spec(burst.work_ms),
        requests: Vec::new(),
    };
    send_each(ChaCha8Rng::seed_from_u64(seed), next_job, nodes, started_at, burst.end_ms).await
}

/// Sends jobs one after the other until `until_ms` after `started_at`; returns all jobs.
///
/// Of the jobs, `crash_percent` crash each target that starts one of their tasks.
pub async fn send_jobs_until(
    seed: u64,
    crash_percent: u32,
    nodes: Arc<[SocketAddr]>,
    started_at: Instant,
    until_ms: u64,
) -> Vec<CallerJob> {
    let next_job = |rng: &mut ChaCha8Rng| {
        let mut job = random_job(rng);
        job.run_spec.crashes = crash_percent > 0 && rng.random_range(0..100) < crash_percent;
        job
    };
    send_each(ChaCha8Rng::seed_from_u64(seed), next_job, nodes, started_at, until_ms).await
}

async fn send_each(
    mut rng: ChaCha8Rng,
    next_job: impl Fn(&mut ChaCha8Rng) -> CallerJob,
    nodes: Arc<[SocketAddr]>,
    started_at: Instant,
    until_ms: u64,
) -> Vec<CallerJob> {
    let client =
        HttpClient::new(ClientOptions { max_idle_per_peer: 1, ..ClientOptions::default() });
    let mut jobs = Vec::new();
    while elapsed_ms(started_at) < until_ms {
        let mut job = next_job(&mut rng);
        for _ in 0..MAX_REQUESTS_PER_JOB {
            let node = rng.random_range(0..nodes.len());
            let request = send_job(&client, nodes[node], node, &job, started_at).await;
            let retry_delay_ms = request.end.retry_delay_ms();
            job.requests.push(request);
            let Some(retry_delay_ms) = retry_delay_ms else { break };
            task::sleep(Duration::from_millis(retry_delay_ms)).await;
        }
        jobs.push(job);
        task::sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
    jobs
}

fn elapsed_ms(started_at: Instant) -> u64 {
    started_at.elapsed().as_millis() as u64
}

fn random_job(rng: &mut impl Rng) -> CallerJob {
    let work_ms = match rng.random_range(0..10) {
        0 => rng.random_range(500..1_200),
        _ => rng.random_range(5..200),
    };
    CallerJob {
        id: format!("{:016x}", rng.random::<u64>()),
        steps: match rng.random_bool(0.2) {
            true => vec![rng.random_range(1..=3), rng.random_range(1..=3)],
            false => vec![rng.random_range(1..=6)],
        },
        run_spec: RunSpec { fails: rng.random_bool(0.03), ..run_spec(work_ms) },
        requests: Vec::new(),
    }
}

async fn send_job(
    client: &HttpClient,
    addr: SocketAddr,
    node: usize,
    job: &CallerJob,
    started_at: Instant,
) -> JobRequest {
    let (sent_at_ms, sent_unix_ms) = (elapsed_ms(started_at), unix_time_ms());
    let path = format!("{PATH_PREFIX}{}", job.id);
    let deadline_ms = DEADLINE_MS.to_string();
    let headers = [("Host", HOST), ("Greengagebeam-Deadline-Ms", deadline_ms.as_str())];
    let body = job_body(&job.steps, job.run_spec);
    let result = client
        .send_with_headers(addr, Method::Post, &path, &headers, body, ANSWER_TIMEOUT_MS)
        .await;
    let end = match result {
        Ok(reply) => RequestEnd::Answered { status: reply.status.into(), state: job_state(&reply) },
        Err(error) => match error.current_context().sent() {
            Sent::No => RequestEnd::NotConnected,
            Sent::Maybe => RequestEnd::ConnectionLost,
        },
    };
    let took_ms = elapsed_ms(started_at) - sent_at_ms;
    JobRequest { node, sent_at_ms, sent_unix_ms, took_ms, end }
}

/// Submits a small job to a node; returns whether the node completed it.
pub async fn completes_probe_job(addr: SocketAddr) -> bool {
    let client =
        HttpClient::new(ClientOptions { max_idle_per_peer: 0, ..ClientOptions::default() });
    let job = CallerJob {
        id: format!("{:016x}", rand::random::<u64>()),
        steps: vec![1],
        run_spec: run_spec(10),
        requests: Vec::new(),
    };
    let request = send_job(&client, addr, 0, &job, Instant::now()).await;
    request.end
        == RequestEnd::Answered {
            status: StatusCode::Ok.into(),
            state: Some("completed".to_owned()),
        }
}
