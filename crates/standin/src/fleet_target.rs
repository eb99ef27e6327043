//! A target of the users' platform behind its calls.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use error_stack::Report;
use ggb_http::{HttpError, HttpServer, ServerLimits, json_response, read_body};
use ggb_placement::{Capacity, Listing, Run, RunEnd, StartOutcome};
use http_types::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{ModelMode, ModelTarget, ModelWork, RunRecord, target_log::unix_ms};

const BODY_BYTES: usize = 1 << 20;

/// The pause between two looks for ends that a listing waits for.
const HOLD_POLL_MS: u64 = 2;

/// What a task of the stand-in does; sent as the text that a job carries for its target.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FleetWork {
    /// The room that each task takes.
    pub demand: Capacity,
    /// How long it runs.
    pub work_ms: u64,
    /// Whether it fails.
    pub fails: bool,
}

/// A running target.
pub struct FleetTarget {
    id: String,
    model: Arc<Mutex<ModelTarget>>,
    capacity: Capacity,
    server: HttpServer,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Order {
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

impl FleetTarget {
    /// Binds to `addr` with the given room.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        id: &str,
        addr: SocketAddr,
        capacity: Capacity,
    ) -> Result<Self, Report<HttpError>> {
        let model = Arc::new(Mutex::new(ModelTarget::new(capacity, unix_ms())));
        let shared = Arc::clone(&model);
        let handler = move |request: Request| {
            let model = Arc::clone(&shared);
            async move { handle(&model, request).await }
        };
        let server = HttpServer::bind(addr, ServerLimits::default(), handler).await?;
        Ok(FleetTarget { id: id.to_owned(), model, capacity, server })
    }

    /// Returns the name.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the address that the target listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns the entry in the list of targets, for callers that reach it at `addr`.
    pub fn entry(&self, addr: SocketAddr, service: &str, zone: &str, state: &str) -> Value {
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
            "born": self.model.lock().born_unix_ms(),
            "seqNo": 1,
        })
    }

    /// Sets how it treats what it is told to start.
    pub fn set_mode(&self, mode: ModelMode) {
        self.model.lock().mode = mode;
    }

    /// Ends everything that runs and begins another life.
    pub fn crash(&self) {
        self.model.lock().crash(unix_ms());
    }

    /// Returns what ran.
    pub fn records(&self) -> Vec<RunRecord> {
        let mut model = self.model.lock();
        let now_ms = unix_ms();
        model.advance(now_ms);
        model.records(now_ms)
    }
}

async fn handle(model: &Mutex<ModelTarget>, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    let body = read_body(&mut request, BODY_BYTES).await.unwrap_or_default();
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return Response::new(StatusCode::BadRequest);
    };
    match path.as_str() {
        "/v1/run-start" => start(model, &order),
        "/v1/run-stop" => {
            let Some(run) = run_of(&order) else { return Response::new(StatusCode::BadRequest) };
            let now_ms = unix_ms();
            let mut model = model.lock();
            let obeys = model.stop(order.fencing_token, run, now_ms);
            answer(obeys, model.clock_ms(now_ms), "fence")
        }
        "/v1/hold" => hold(model, &order).await,
        _ => Response::new(StatusCode::NotFound),
    }
}

fn run_of(order: &Order) -> Option<Run> {
    Some(Run { task: order.task.parse().ok()?, number: order.run })
}

fn answer(done: bool, clock_ms: u64, reason: &str) -> Response {
    match done {
        true => json_response(StatusCode::Ok, &json!({ "clockMs": clock_ms })),
        false => {
            let body = json!({ "clockMs": clock_ms, "reason": reason });
            json_response(StatusCode::Conflict, &body)
        }
    }
}

fn start(model: &Mutex<ModelTarget>, order: &Order) -> Response {
    let (Some(run), Ok(work)) = (run_of(order), serde_json::from_str::<FleetWork>(&order.spec))
    else {
        return Response::new(StatusCode::BadRequest);
    };
    let work = ModelWork { demand: work.demand, work_ms: work.work_ms, fails: work.fails };
    let now_ms = unix_ms();
    let mut model = model.lock();
    let valid_until_ms = order.deadline_ms.unwrap_or(0);
    let outcome = model.start(order.fencing_token, run, work, valid_until_ms, now_ms);
    let reason = match outcome {
        StartOutcome::Fenced => "fence",
        StartOutcome::OldRun => "old",
        StartOutcome::TooLate => "late",
        _ => "room",
    };
    answer(outcome == StartOutcome::Accepted, model.clock_ms(now_ms), reason)
}

async fn hold(model: &Mutex<ModelTarget>, order: &Order) -> Response {
    let until_ms = unix_ms() + order.wait_ms;
    let now_ms = unix_ms();
    let held = model.lock().hold(order.fencing_token, order.ack_cursor, order.deadline_ms, now_ms);
    if held.is_none() {
        return answer(false, model.lock().clock_ms(now_ms), "fence");
    }
    loop {
        let now_ms = unix_ms();
        {
            let mut model = model.lock();
            model.advance(now_ms);
            if model.has_ends() || now_ms >= until_ms {
                return json_response(StatusCode::Ok, &listing(&model.list(now_ms)));
            }
        }
        task::sleep(Duration::from_millis(HOLD_POLL_MS)).await;
    }
}

fn listing(listing: &Listing) -> Value {
    let running = listing.running.iter().map(|listed| {
        let Run { task, number } = listed.run;
        json!([task.to_string(), number, "", listed.percent, listed.used_cpu_milli])
    });
    let finished = listing.finished.iter().map(|listed| {
        let Run { task, number } = listed.run;
        json!([listed.number, task.to_string(), number, end_word(listed.end), ""])
    });
    json!({
        "clockMs": listing.clock_ms,
        "born": listing.born_unix_ms,
        "running": running.collect::<Vec<_>>(),
        "finished": finished.collect::<Vec<_>>(),
    })
}

const fn end_word(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
        RunEnd::Lapsed => "lapsed",
        RunEnd::Interrupted | RunEnd::Lost => "broken",
    }
}
