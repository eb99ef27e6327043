//! Stand-in for a target of `ggb-node`: starts, stops and lists runs of tasks over HTTP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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
    target: Arc<Mutex<SimulatedTarget>>,
    capacity: Capacity,
    server: HttpServer,
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
        let target = Arc::new(Mutex::new(SimulatedTarget::new(capacity, unix_time_ms())));
        let shared = Arc::clone(&target);
        let handler = move |request: Request| {
            let target = Arc::clone(&shared);
            async move { handle(&target, request).await }
        };
        let server = HttpServer::bind(addr, ServerLimits::default(), handler).await?;
        Ok(RunTargetStandin { id: id.to_owned(), target, capacity, server })
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
            "born": self.target.lock().started_unix_ms(),
            "seqNo": 1,
        })
    }

    /// Sets how runs that start from now on behave.
    pub fn set_mode(&self, mode: SimulatedTargetMode) {
        self.target.lock().mode = mode;
    }

    /// Ends all runs and starts a new incarnation, like a crash and restart.
    pub fn crash(&self) {
        self.target.lock().crash(unix_time_ms());
    }

    /// Returns all runs so far, with those in progress as ending now.
    pub fn records(&self) -> Vec<RunRecord> {
        let mut target = self.target.lock();
        let now_ms = unix_time_ms();
        target.advance(now_ms);
        target.records(now_ms)
    }
}

async fn handle(target: &Mutex<SimulatedTarget>, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    let body = read_body(&mut request, MAX_BODY_BYTES).await.unwrap_or_default();
    let Ok(message) = serde_json::from_slice::<RunRequest>(&body) else {
        return Response::new(StatusCode::BadRequest);
    };
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
        "/v1/hold" => hold(target, &message).await,
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
async fn hold(target: &Mutex<SimulatedTarget>, message: &RunRequest) -> Response {
    let until_ms = unix_time_ms() + message.wait_ms;
    let now_ms = unix_time_ms();
    let held =
        target.lock().hold(message.fencing_token, message.ack_cursor, message.deadline_ms, now_ms);
    if held.is_none() {
        return result_response(false, target.lock().clock_ms(now_ms), "fence");
    }
    loop {
        let now_ms = unix_time_ms();
        {
            let mut target = target.lock();
            target.advance(now_ms);
            if target.has_finished_runs() || now_ms >= until_ms {
                return json_response(StatusCode::Ok, &encode_listing(&target.list(now_ms)));
            }
        }
        task::sleep(Duration::from_millis(HOLD_POLL_MS)).await;
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
