//! Stand-in for a target that serves the task API and runs tasks by waiting.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU16, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_std::{future::timeout, task};
use error_stack::{Report, ResultExt as _};
use ggb_http::{HttpError, HttpServer, ServerLimits, json_response, read_body};
use ggb_platform::{AttemptOutcome, CancelRequest, Denial, StartReply, TargetStatus};
use http_types::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{json, value::to_raw_value};

use crate::{
    LogKind,
    target_log::{TargetLog, unix_time_ms},
};

const MAX_BODY_BYTES: usize = 16 << 20;

/// Behaviour of a target stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetMode {
    /// Runs tasks, and denies a task if no slot is free.
    #[default]
    Normal,
    /// Fails every task immediately.
    FailAll,
    /// Accepts tasks and doesn't end them before their lease expires.
    Hang,
    /// Queues tasks while no slot is free instead of denying them.
    Queue,
}

impl std::str::FromStr for TargetMode {
    type Err = ggb_model::ValidationError;

    fn from_str(word: &str) -> Result<Self, Self::Err> {
        match word {
            "normal" => Ok(TargetMode::Normal),
            "fail-all" => Ok(TargetMode::FailAll),
            "hang" => Ok(TargetMode::Hang),
            "queue" => Ok(TargetMode::Queue),
            _ => Err(ggb_model::ValidationError::new(
                "mode",
                word,
                "`normal`, `fail-all`, `hang` or `queue`",
            )),
        }
    }
}

/// Payload of a task for the stand-in, which determines its run time and result.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskPayload {
    /// Run time of the task.
    pub run_ms: u64,
    /// Number of padding bytes in the answer.
    pub answer_bytes: usize,
    /// Whether the task fails at its end.
    pub fail: bool,
    /// Text that is returned in the answer.
    pub tag: String,
}

/// Options of a target stand-in.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Address to listen on, which is also the target's name in its log.
    pub addr: SocketAddr,
    /// Maximum number of tasks that run at the same time.
    pub slots: u16,
    /// Initial behaviour.
    pub mode: TargetMode,
    /// File that the log is appended to; no log is written if it is absent.
    pub log: Option<PathBuf>,
}

#[derive(Debug)]
struct RunningTask {
    attempt: String,
    /// A message stops the task.
    stop: Sender<()>,
}

struct Shared {
    name: String,
    slots: u16,
    mode: Mutex<TargetMode>,
    is_leaving: AtomicBool,
    used_slots: AtomicU16,
    /// Channel that holds one message for each free slot.
    free_slots: (Sender<()>, Receiver<()>),
    running: Mutex<Vec<RunningTask>>,
    log: TargetLog,
}

/// Stand-in for a target, which serves the task API over HTTP.
pub struct TargetStandin {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl TargetStandin {
    /// Starts a target stand-in with the given options.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    ///
    /// # Panics
    ///
    /// Panics if the log can't be opened.
    pub async fn bind(options: TargetOptions) -> Result<Self, Report<HttpError>> {
        let log = TargetLog::open(options.log.as_deref()).map_err(std::io::Error::other);
        let free_slots = async_channel::bounded(options.slots.into());
        for _ in 0..options.slots {
            free_slots.0.try_send(()).ok();
        }
        let shared = Arc::new(Shared {
            name: options.addr.to_string(),
            slots: options.slots,
            mode: Mutex::new(options.mode),
            is_leaving: AtomicBool::new(false),
            used_slots: AtomicU16::new(0),
            free_slots,
            running: Mutex::new(Vec::new()),
            log: log.expect("opening the log of a target stand-in"),
        });
        let handler = {
            let shared = Arc::clone(&shared);
            move |request| handle(Arc::clone(&shared), request)
        };
        let limits = ServerLimits { max_connections: 20_000 };
        let server = HttpServer::bind(options.addr, limits, handler).await;
        let server = server.attach_with(|| "target stand-in")?;
        Ok(TargetStandin { server, shared })
    }

    /// Returns the address that the target listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Sets the behaviour for tasks that arrive from now on.
    pub fn set_mode(&self, mode: TargetMode) {
        *self.shared.mode.lock() = mode;
    }

    /// Makes the target report that it is leaving and deny new tasks.
    pub fn leave(&self) {
        self.shared.leave();
    }
}

impl Shared {
    fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.log.write(&self.name, LogKind::Leave, "", "");
    }

    /// Takes a slot, or returns why the task is denied; waits for a slot in `Queue` mode.
    async fn take_slot(&self, mode: TargetMode) -> Result<(), Denial> {
        if self.is_leaving.load(Ordering::SeqCst) {
            return Err(Denial::Leaving);
        }
        match mode {
            TargetMode::Queue => self.free_slots.1.recv().await.map_err(|_| Denial::Full)?,
            _ => self.free_slots.1.try_recv().map_err(|_| Denial::Full)?,
        }
        self.used_slots.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    fn release_slot(&self) {
        self.used_slots.fetch_sub(1, Ordering::SeqCst);
        self.free_slots.0.try_send(()).ok();
    }
}

/// Body of a request to start a task.
#[derive(Deserialize)]
struct StartMessage {
    attempt: String,
    lease_ms: u64,
    payload: TaskPayload,
}

/// Body of a request that changes the stand-in's behaviour during a test.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
enum ControlMessage {
    Mode { mode: TargetMode },
    Leave,
}

async fn handle(shared: Arc<Shared>, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    let body = match read_body(&mut request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return bad_request(&error.to_string()),
    };
    match path.as_str() {
        "/v1/tasks" => match serde_json::from_slice(&body) {
            // In its own async task, so that the run continues if the connection breaks, as on
            // a real target.
            Ok(start) => task::spawn(run_task(shared, start)).await,
            Err(error) => bad_request(&error.to_string()),
        },
        "/v1/cancel" => match serde_json::from_slice(&body) {
            Ok(request) => cancel(&shared, &request),
            Err(error) => bad_request(&error.to_string()),
        },
        "/v1/status" => json_response(
            StatusCode::Ok,
            &TargetStatus {
                leaving: shared.is_leaving.load(Ordering::SeqCst),
                used_slots: shared.used_slots.load(Ordering::SeqCst).min(shared.slots),
            },
        ),
        "/control" => match serde_json::from_slice(&body) {
            Ok(control) => apply_control(&shared, control),
            Err(error) => bad_request(&error.to_string()),
        },
        _ => bad_request("expected a path of a target"),
    }
}

fn apply_control(shared: &Shared, control: ControlMessage) -> Response {
    match control {
        ControlMessage::Mode { mode } => *shared.mode.lock() = mode,
        ControlMessage::Leave => shared.leave(),
    }
    json_response(StatusCode::Ok, &json!({ "done": true }))
}

/// Runs a task in a free slot, or denies it, and returns the response.
async fn run_task(shared: Arc<Shared>, start: StartMessage) -> Response {
    let mode = *shared.mode.lock();
    let (attempt, tag) = (start.attempt.as_str(), start.payload.tag.as_str());
    if let Err(denial) = shared.take_slot(mode).await {
        shared.log.write(&shared.name, LogKind::Deny, attempt, tag);
        return start_response(
            &shared,
            StatusCode::ServiceUnavailable,
            AttemptOutcome::NotStarted { denial },
        );
    }
    shared.log.write(&shared.name, LogKind::Start, attempt, tag);
    let outcome = execute_task(&shared, mode, &start).await;
    shared.release_slot();
    start_response(&shared, StatusCode::Ok, outcome)
}

/// Waits until the task's run time has passed, its lease expires or it is cancelled; returns the
/// result.
async fn execute_task(shared: &Shared, mode: TargetMode, start: &StartMessage) -> AttemptOutcome {
    let (stop, stopped) = async_channel::bounded(1);
    let started_ms = unix_time_ms();
    shared.running.lock().push(RunningTask { attempt: start.attempt.clone(), stop });
    let payload = &start.payload;
    let planned_ms = match mode {
        TargetMode::FailAll => 0,
        TargetMode::Hang => u64::MAX >> 20,
        TargetMode::Normal | TargetMode::Queue => payload.run_ms,
    };
    let wait = Duration::from_millis(planned_ms.min(start.lease_ms));
    let was_stopped = timeout(wait, stopped.recv()).await.is_ok();
    shared.running.lock().retain(|task| task.attempt != start.attempt);
    let kind = if was_stopped { LogKind::Stop } else { LogKind::End };
    shared.log.write(&shared.name, kind, &start.attempt, &payload.tag);
    match mode {
        _ if was_stopped => AttemptOutcome::Stopped,
        _ if planned_ms > start.lease_ms => {
            AttemptOutcome::Failed { message: "lease lapsed".to_owned() }
        }
        TargetMode::FailAll => AttemptOutcome::Failed { message: "broken target".to_owned() },
        _ if payload.fail => AttemptOutcome::Failed { message: "asked to fail".to_owned() },
        _ => AttemptOutcome::Done {
            answer: to_raw_value(&json!({
                "tag": payload.tag,
                "pad": "x".repeat(payload.answer_bytes),
            }))
            .expect("a JSON object serializes"),
            run_ms: (unix_time_ms() - started_ms) as u32,
        },
    }
}

/// Stops the running tasks whose attempts the request names.
fn cancel(shared: &Shared, request: &CancelRequest) -> Response {
    let running = shared.running.lock();
    let named = running.iter().filter(|task| request.attempts.contains(&task.attempt));
    named.for_each(|task| {
        task.stop.try_send(()).ok();
    });
    json_response(StatusCode::Ok, &json!({ "done": true }))
}

fn start_response(shared: &Shared, status: StatusCode, outcome: AttemptOutcome) -> Response {
    json_response(
        status,
        &StartReply { outcome, leaving: shared.is_leaving.load(Ordering::SeqCst) },
    )
}

fn bad_request(message: &str) -> Response {
    json_response(StatusCode::BadRequest, &json!({ "error": message }))
}
