//! A target that runs tasks by waiting.

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
use ggb_platform::{CancelRequest, Denial, StartEnd, StartReply, TargetStatus};
use http_types::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{json, value::to_raw_value};

use crate::{
    LogKind,
    target_log::{TargetLog, unix_ms},
};

const BODY_BYTES: usize = 16 << 20;

/// How a target behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetMode {
    /// It runs what it is given and denies what it has no slot for.
    #[default]
    Normal,
    /// It fails every task at once.
    FailAll,
    /// It accepts every task and never answers.
    Hang,
    /// It keeps tasks in a queue of its own instead of denying them.
    Queue,
}

impl std::str::FromStr for TargetMode {
    type Err = ggb_model::ModelError;

    fn from_str(word: &str) -> Result<Self, Self::Err> {
        match word {
            "normal" => Ok(TargetMode::Normal),
            "fail-all" => Ok(TargetMode::FailAll),
            "hang" => Ok(TargetMode::Hang),
            "queue" => Ok(TargetMode::Queue),
            _ => Err(ggb_model::ModelError::new(
                "mode",
                word,
                "`normal`, `fail-all`, `hang` or `queue`",
            )),
        }
    }
}

/// What a task of a stand-in is to do.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskPayload {
    /// How long it runs.
    pub run_ms: u64,
    /// How many bytes its answer has besides the tag.
    pub answer_bytes: usize,
    /// Whether it fails at its end.
    pub fail: bool,
    /// Comes back in the answer.
    pub tag: String,
}

/// How to set up a target stand-in.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Where to listen.
    pub addr: SocketAddr,
    /// How many tasks it runs at once.
    pub slots: u16,
    /// How it behaves at first.
    pub mode: TargetMode,
    /// Where to write what it starts.
    pub log: Option<PathBuf>,
}

#[derive(Debug)]
struct RunningTask {
    attempt: String,
    /// Closed to stop the task.
    stop: Sender<()>,
}

struct Shared {
    name: String,
    slots: u16,
    mode: Mutex<TargetMode>,
    leaving: AtomicBool,
    used: AtomicU16,
    /// A token for each free slot.
    free: (Sender<()>, Receiver<()>),
    running: Mutex<Vec<RunningTask>>,
    log: TargetLog,
}

/// A running target stand-in.
pub struct TargetStandin {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl TargetStandin {
    /// Binds a target.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the log can't be opened.
    pub async fn bind(options: TargetOptions) -> Result<Self, Report<HttpError>> {
        let log = TargetLog::open(options.log.as_deref()).map_err(std::io::Error::other);
        let free = async_channel::bounded(options.slots.into());
        for _ in 0..options.slots {
            free.0.try_send(()).ok();
        }
        let shared = Arc::new(Shared {
            name: options.addr.to_string(),
            slots: options.slots,
            mode: Mutex::new(options.mode),
            leaving: AtomicBool::new(false),
            used: AtomicU16::new(0),
            free,
            running: Mutex::new(Vec::new()),
            log: log.expect("the log of a stand-in can be opened"),
        });
        let handler = {
            let shared = Arc::clone(&shared);
            move |request| respond(Arc::clone(&shared), request)
        };
        let limits = ServerLimits { connections: 20_000 };
        let server = HttpServer::bind(options.addr, limits, handler).await;
        let server = server.attach_with(|| "target stand-in")?;
        Ok(TargetStandin { server, shared })
    }

    /// Returns the address that the target listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Changes how the target behaves.
    pub fn set_mode(&self, mode: TargetMode) {
        *self.shared.mode.lock() = mode;
    }

    /// Denies new tasks from now on.
    pub fn leave(&self) {
        self.shared.leave();
    }
}

impl Shared {
    fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.log.write(&self.name, LogKind::Leave, "", "");
    }

    /// Takes a slot, or says why there is none.
    async fn take_slot(&self, mode: TargetMode) -> Result<(), Denial> {
        if self.leaving.load(Ordering::SeqCst) {
            return Err(Denial::Leaving);
        }
        match mode {
            TargetMode::Queue => self.free.1.recv().await.map_err(|_| Denial::Full)?,
            _ => self.free.1.try_recv().map_err(|_| Denial::Full)?,
        }
        self.used.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    fn give_slot(&self) {
        self.used.fetch_sub(1, Ordering::SeqCst);
        self.free.0.try_send(()).ok();
    }
}

#[derive(Deserialize)]
struct Start {
    attempt: String,
    lease_ms: u64,
    payload: TaskPayload,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
enum Control {
    Mode { mode: TargetMode },
    Leave,
}

async fn respond(shared: Arc<Shared>, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    let body = match read_body(&mut request, BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return failure(&error.to_string()),
    };
    match path.as_str() {
        "/v1/tasks" => match serde_json::from_slice(&body) {
            // The task goes on when the connection breaks, as on a real target.
            Ok(start) => task::spawn(run(shared, start)).await,
            Err(error) => failure(&error.to_string()),
        },
        "/v1/cancel" => match serde_json::from_slice(&body) {
            Ok(request) => cancel(&shared, &request),
            Err(error) => failure(&error.to_string()),
        },
        "/v1/status" => json_response(
            StatusCode::Ok,
            &TargetStatus {
                leaving: shared.leaving.load(Ordering::SeqCst),
                used_slots: shared.used.load(Ordering::SeqCst).min(shared.slots),
            },
        ),
        "/control" => match serde_json::from_slice(&body) {
            Ok(control) => apply(&shared, control),
            Err(error) => failure(&error.to_string()),
        },
        _ => failure("expected a path of a target"),
    }
}

fn apply(shared: &Shared, control: Control) -> Response {
    match control {
        Control::Mode { mode } => *shared.mode.lock() = mode,
        Control::Leave => shared.leave(),
    }
    json_response(StatusCode::Ok, &json!({ "done": true }))
}

async fn run(shared: Arc<Shared>, start: Start) -> Response {
    let mode = *shared.mode.lock();
    let (attempt, tag) = (start.attempt.as_str(), start.payload.tag.as_str());
    if let Err(denial) = shared.take_slot(mode).await {
        shared.log.write(&shared.name, LogKind::Deny, attempt, tag);
        return reply(&shared, StatusCode::ServiceUnavailable, StartEnd::NotStarted { denial });
    }
    shared.log.write(&shared.name, LogKind::Start, attempt, tag);
    let end = execute(&shared, mode, &start).await;
    shared.give_slot();
    reply(&shared, StatusCode::Ok, end)
}

async fn execute(shared: &Shared, mode: TargetMode, start: &Start) -> StartEnd {
    let (stop, stopped) = async_channel::bounded(1);
    let began_ms = unix_ms();
    shared.running.lock().push(RunningTask { attempt: start.attempt.clone(), stop });
    let payload = &start.payload;
    let wanted_ms = match mode {
        TargetMode::FailAll => 0,
        TargetMode::Hang => u64::MAX >> 20,
        TargetMode::Normal | TargetMode::Queue => payload.run_ms,
    };
    let wait = Duration::from_millis(wanted_ms.min(start.lease_ms));
    let was_stopped = timeout(wait, stopped.recv()).await.is_ok();
    shared.running.lock().retain(|task| task.attempt != start.attempt);
    let kind = if was_stopped { LogKind::Stop } else { LogKind::End };
    shared.log.write(&shared.name, kind, &start.attempt, &payload.tag);
    match mode {
        _ if was_stopped => StartEnd::Stopped,
        _ if wanted_ms > start.lease_ms => StartEnd::Failed { message: "lease lapsed".to_owned() },
        TargetMode::FailAll => StartEnd::Failed { message: "broken target".to_owned() },
        _ if payload.fail => StartEnd::Failed { message: "asked to fail".to_owned() },
        _ => StartEnd::Done {
            answer: to_raw_value(&json!({
                "tag": payload.tag,
                "pad": "x".repeat(payload.answer_bytes),
            }))
            .expect("answers have only string keys"),
            run_ms: (unix_ms() - began_ms) as u32,
        },
    }
}

fn cancel(shared: &Shared, request: &CancelRequest) -> Response {
    let running = shared.running.lock();
    let named = running.iter().filter(|task| request.attempts.contains(&task.attempt));
    named.for_each(|task| {
        task.stop.try_send(()).ok();
    });
    json_response(StatusCode::Ok, &json!({ "done": true }))
}

fn reply(shared: &Shared, status: StatusCode, end: StartEnd) -> Response {
    json_response(status, &StartReply { end, leaving: shared.leaving.load(Ordering::SeqCst) })
}

fn failure(message: &str) -> Response {
    json_response(StatusCode::BadRequest, &json!({ "error": message }))
}
