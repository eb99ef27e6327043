//! Stand-in for a target of `ggb-node`: starts, stops and lists runs of tasks over HTTP.

use std::{
    future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::task;
use error_stack::Report;
use ggb_http::{HttpError, HttpServer, ServerLimits, json_response, read_body};
use ggb_placement::{Capacity, Listing, Run, RunEnd, StartOutcome};
use http_types::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    RunRecord, SimulatedTarget, SimulatedTargetMode, SimulatedWork, target_log::unix_time_ms,
};

const MAX_BODY_BYTES: usize = 1 << 20;

/// Interval at which a request for a listing checks for finished runs while it waits.
const HOLD_POLL_MS: u64 = 2;

/// Specification of a run on the stand-in, sent as the `spec` of a start request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunSpec {
    /// Capacity that the run takes.
    pub demand: Capacity,
    /// Run time on a healthy target.
    pub work_ms: u64,
    /// Whether the run fails at its end.
    pub fails: bool,
    /// Whether the run crashes every target that starts it.
    #[serde(default)]
    pub crashes: bool,
}

/// Stand-in for a target of the platform: a [`SimulatedTarget`] that is reached over HTTP.
pub struct RunTargetStandin {
    id: String,
    served: Arc<ServedTarget>,
    capacity: Capacity,
    server: HttpServer,
}

/// A simulated target and how it is reached.
struct ServedTarget {
    target: Mutex<SimulatedTarget>,
    /// Whether requests get no answer.
    is_down: AtomicBool,
    /// Whether requests for listings that an earlier incarnation received get no answer.
    crashed_silently: AtomicBool,
    /// Time by which a listing is sent later than it is made, in ms.
    listing_delay_ms: AtomicU64,
}

/// Body of a start, stop or listing request; fields that a kind of request lacks are empty.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RunRequest {
    #[serde(default)]
    task: String,
    #[serde(default)]
    run: u32,
    #[serde(default)]
    spec: String,
    #[serde(default)]
    deadline_ms: Option<u64>,
    fencing_token: u64,
    #[serde(default)]
    ack_cursor: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl RunTargetStandin {
    /// Starts a target with the given capacity that listens on `addr`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        id: &str,
        addr: SocketAddr,
        capacity: Capacity,
    ) -> Result<Self, Report<HttpError>> {
        let served = Arc::new(ServedTarget {
            target: Mutex::new(SimulatedTarget::new(capacity, unix_time_ms())),
            is_down: AtomicBool::new(false),
            crashed_silently: AtomicBool::new(false),
            listing_delay_ms: AtomicU64::new(0),
        });
        let shared = Arc::clone(&served);
        let handler = move |request: Request| {
            let served = Arc::clone(&shared);
            async move { handle(&served, request).await }
        };
        let server = HttpServer::bind(addr, ServerLimits::default(), handler).await?;
        Ok(RunTargetStandin { id: id.to_owned(), served, capacity, server })
    }

    /// Returns the name of the target.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the address that the target listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns the target's row in the platform's list of targets, with `addr` as its address.
    pub fn registry_entry(
        &self,
        addr: SocketAddr,
        service: &str,
        zone: &str,
        state: &str,
    ) -> Value {
        json!({
            "service": service,
            "address": addr,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "capacity": {
                "cpu": self.capacity.cpu_milli,
                "memMb": self.capacity.memory_mb,
                "gpu": self.capacity.gpus,
            },
            "labels": ["a", "r-1"],
            "born": self.served.target.lock().started_unix_ms(),
            "seqNo": 1,
        })
    }

    /// Sets how runs that start from now on behave.
    pub fn set_mode(&self, mode: SimulatedTargetMode) {
        self.served.target.lock().mode = mode;
    }

    /// Sends listings `delay_ms` later than they are made, so that answers to other requests may
    /// overtake them.
    pub fn set_listing_delay(&self, delay_ms: u64) {
        self.served.listing_delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Ends all runs and answers nothing more until [`RunTargetStandin::start_again`].
    pub fn crash_silently(&self) {
        self.served.is_down.store(true, Ordering::Relaxed);
        self.served.crashed_silently.store(true, Ordering::Relaxed);
        self.crash();
    }

    /// Starts a new incarnation, which answers requests.
    pub fn start_again(&self) {
        self.crash();
        self.served.is_down.store(false, Ordering::Relaxed);
    }

    /// Ends all runs and starts a new incarnation, like a crash and restart.
    pub fn crash(&self) {
        self.served.target.lock().crash(unix_time_ms());
    }

    /// Returns all runs so far, with those in progress as ending now.
    pub fn records(&self) -> Vec<RunRecord> {
        let mut target = self.served.target.lock();
        let now_ms = unix_time_ms();
        target.advance(now_ms);
        target.records(now_ms)
    }
}

async fn handle(served: &ServedTarget, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    let body = read_body(&mut request, MAX_BODY_BYTES).await.unwrap_or_default();
    let Ok(message) = serde_json::from_slice::<RunRequest>(&body) else {
        return Response::new(StatusCode::BadRequest);
    };
    if served.is_down.load(Ordering::Relaxed) {
        return future::pending().await;
    }
    let target = &served.target;
    match path.as_str() {
        "/v1/run-start" => start_run(target, &message),
        "/v1/run-stop" => {
            let Some(run) = parse_run(&message) else {
                return Response::new(StatusCode::BadRequest);
            };
            let now_ms = unix_time_ms();
            let mut target = target.lock();
            let is_accepted = target.stop(message.fencing_token, run, now_ms);
            result_response(is_accepted, target.clock_ms(now_ms), "fence")
        }
        "/v1/hold" => hold(served, &message).await,
        _ => Response::new(StatusCode::NotFound),
    }
}

fn parse_run(message: &RunRequest) -> Option<Run> {
    Some(Run { task: message.task.parse().ok()?, number: message.run })
}

/// Returns a response with the time of the target clock, and with `reason` if the request was rejected.
fn result_response(is_accepted: bool, clock_ms: u64, reason: &str) -> Response {
    match is_accepted {
        true => json_response(StatusCode::Ok, &json!({ "clockMs": clock_ms })),
        false => {
            let body = json!({ "clockMs": clock_ms, "reason": reason });
            json_response(StatusCode::Conflict, &body)
        }
    }
}

fn start_run(target: &Mutex<SimulatedTarget>, message: &RunRequest) -> Response {
    let (Some(run), Ok(spec)) =
        (parse_run(message), serde_json::from_str::<RunSpec>(&message.spec))
    else {
        return Response::new(StatusCode::BadRequest);
    };
    let RunSpec { demand, work_ms, fails, crashes } = spec;
    let work = SimulatedWork { demand, work_ms, fails, crashes };
    let now_ms = unix_time_ms();
    let mut target = target.lock();
    let valid_until_clock_ms = message.deadline_ms.unwrap_or(0);
    let outcome = target.start(message.fencing_token, run, work, valid_until_clock_ms, now_ms);
    let reason = match outcome {
        StartOutcome::Fenced => "fence",
        StartOutcome::OldRun => "old",
        StartOutcome::TooLate => "late",
        _ => "room",
    };
    result_response(outcome == StartOutcome::Accepted, target.clock_ms(now_ms), reason)
}

/// Returns a listing as soon as it has a finished run, at the latest after `wait_ms`.
async fn hold(served: &ServedTarget, message: &RunRequest) -> Response {
    let until_ms = unix_time_ms() + message.wait_ms;
    let now_ms = unix_time_ms();
    let target = &served.target;
    let held =
        target.lock().hold(message.fencing_token, message.ack_cursor, message.deadline_ms, now_ms);
    let Some(held) = held else {
        return result_response(false, target.lock().clock_ms(now_ms), "fence");
    };
    let is_lost = || {
        served.crashed_silently.load(Ordering::Relaxed)
            && target.lock().started_unix_ms() != held.started_unix_ms
    };
    let listing = loop {
        let now_ms = unix_time_ms();
        {
            let mut target = target.lock();
            target.advance(now_ms);
            if target.has_finished_runs() || now_ms >= until_ms {
                break target.list(now_ms);
            }
        }
        task::sleep(Duration::from_millis(HOLD_POLL_MS)).await;
    };
    let delay_ms = served.listing_delay_ms.load(Ordering::Relaxed);
    if delay_ms > 0 {
        task::sleep(Duration::from_millis(delay_ms)).await;
    }
    match is_lost() {
        true => future::pending().await,
        false => json_response(StatusCode::Ok, &encode_listing(&listing)),
    }
}

fn encode_listing(listing: &Listing) -> Value {
    let running = listing.running.iter().map(|listed| {
        let Run { task, number } = listed.run;
        json!([task.to_string(), number, "", listed.progress_percent, listed.used_cpu_milli])
    });
    let finished = listing.finished.iter().map(|listed| {
        let Run { task, number } = listed.run;
        json!([listed.number, task.to_string(), number, end_name(listed.end), ""])
    });
    json!({
        "clockMs": listing.clock_ms,
        "born": listing.started_unix_ms,
        "running": running.collect::<Vec<_>>(),
        "finished": finished.collect::<Vec<_>>(),
    })
}

/// Returns the text by which a listing reports how a run ended.
const fn end_name(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
        RunEnd::Lapsed => "lapsed",
        RunEnd::Interrupted | RunEnd::Lost => "broken",
    }
}
