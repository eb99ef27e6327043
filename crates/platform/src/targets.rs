//! Client of targets: starts and cancels tasks.

use std::{net::SocketAddr, sync::Arc};

use futures::{FutureExt as _, future::BoxFuture};
use ggb_http::{HttpClient, Reply, Sent};
use ggb_model::Payload;
use http_types::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Timeout of cancel and status requests.
const CONTROL_TIMEOUT_MS: u64 = 1_000;

/// A request to start one task.
#[derive(Clone, Debug, Serialize)]
pub struct StartRequest<'a> {
    /// Unique id of the attempt, set by the home.
    pub attempt: &'a str,
    /// `true` if the task may run more than once without harm.
    pub idempotent: bool,
    /// Time after which the target has to stop the task.
    pub lease_ms: u32,
    /// Payload of the task, passed on unchanged.
    pub payload: &'a RawValue,
}

/// Reply of a target to a [`StartRequest`], sent when the attempt has ended.
#[derive(Clone, Debug, Serialize)]
pub struct StartReply {
    /// Outcome of the attempt.
    #[serde(flatten)]
    pub outcome: AttemptOutcome,
    /// `true` if the target is about to stop.
    pub leaving: bool,
}

/// Outcome of an attempt to run a task.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The task completed.
    Done {
        /// Result of the task.
        answer: Payload,
        /// Run time of the task, as reported by the target.
        run_ms: u32,
    },
    /// The task ran and failed.
    Failed {
        /// Error message from the target.
        message: String,
    },
    /// The task was cancelled and stopped. This is no sign of a faulty target.
    Stopped,
    /// The target denied the attempt: the task was not started, and this attempt will not start it.
    NotStarted {
        /// Reason for the denial.
        denial: Denial,
    },
}

/// Reason why a target did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Denial {
    /// All slots are taken.
    Full,
    /// The target is about to stop.
    Leaving,
}

/// Reason why an attempt has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The request was not sent, so the task was not started.
    Unreachable,
    /// The request may have been received, so the task has to be treated as started.
    NoReply,
}

/// A request to stop attempts. Targets ignore attempts that have ended or are unknown.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Ids of the attempts to stop.
    pub attempts: Vec<String>,
}

/// Status that a target reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// `true` if the target is about to stop.
    pub leaving: bool,
    /// Number of occupied slots.
    pub used_slots: u16,
}

/// Requests to targets: starts and cancels tasks and reads the status.
pub trait TargetApi: Send + Sync + 'static {
    /// Starts a task and waits at most `timeout_ms` for its end.
    fn start<'a>(
        &'a self,
        target: SocketAddr,
        request: &'a StartRequest<'a>,
        timeout_ms: u64,
    ) -> BoxFuture<'a, Result<StartReply, StartError>>;

    /// Asks a target to stop attempts, on a best-effort basis.
    fn cancel(&self, target: SocketAddr, request: CancelRequest) -> BoxFuture<'_, ()>;

    /// Returns the status of a target, or `None` without a valid reply.
    fn status(&self, target: SocketAddr) -> BoxFuture<'_, Option<TargetStatus>>;
}

/// Implementation of [`TargetApi`] over HTTP.
#[derive(Debug)]
pub struct HttpTargetApi {
    client: Arc<HttpClient>,
}

impl HttpTargetApi {
    /// Creates a client that sends its requests through `client`.
    pub const fn new(client: Arc<HttpClient>) -> Self {
        HttpTargetApi { client }
    }

    async fn start_task(
        &self,
        target: SocketAddr,
        request: &StartRequest<'_>,
        timeout_ms: u64,
    ) -> Result<StartReply, StartError> {
        let result = self.client.post(target, "/v1/tasks", to_json(request), timeout_ms).await;
        match result {
            Ok(reply) => decode_start_reply(&reply).ok_or(StartError::NoReply),
            Err(error) => match error.current_context().sent() {
                Sent::No => Err(StartError::Unreachable),
                Sent::Maybe => Err(StartError::NoReply),
            },
        }
    }

    async fn cancel_attempts(&self, target: SocketAddr, request: CancelRequest) {
        let reply = self.client.post(target, "/v1/cancel", to_json(&request), CONTROL_TIMEOUT_MS);
        reply.await.ok();
    }

    async fn fetch_status(&self, target: SocketAddr) -> Option<TargetStatus> {
        let reply = self.client.get(target, "/v1/status", CONTROL_TIMEOUT_MS).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }
}

impl TargetApi for HttpTargetApi {
    fn start<'a>(
        &'a self,
        target: SocketAddr,
        request: &'a StartRequest<'a>,
        timeout_ms: u64,
    ) -> BoxFuture<'a, Result<StartReply, StartError>> {
        self.start_task(target, request, timeout_ms).boxed()
    }

    fn cancel(&self, target: SocketAddr, request: CancelRequest) -> BoxFuture<'_, ()> {
        self.cancel_attempts(target, request).boxed()
    }

    fn status(&self, target: SocketAddr) -> BoxFuture<'_, Option<TargetStatus>> {
        self.fetch_status(target).boxed()
    }
}

fn decode_start_reply(reply: &Reply) -> Option<StartReply> {
    match reply.status {
        StatusCode::Ok | StatusCode::ServiceUnavailable => {
            // Serde can't deserialize raw JSON inside an internally tagged enum, so the tag is
            // decoded as a plain field.
            let message: StartReplyMessage = serde_json::from_slice(&reply.body).ok()?;
            message.into_reply()
        }
        _ => None,
    }
}

#[derive(Deserialize)]
struct StartReplyMessage {
    status: String,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    answer: Option<Payload>,
    #[serde(default)]
    run_ms: u32,
    #[serde(default)]
    message: String,
    #[serde(default)]
    denial: Option<Denial>,
}

impl StartReplyMessage {
    fn into_reply(self) -> Option<StartReply> {
        let outcome = match self.status.as_str() {
            "done" => AttemptOutcome::Done { answer: self.answer?, run_ms: self.run_ms },
            "failed" => AttemptOutcome::Failed { message: self.message },
            "stopped" => AttemptOutcome::Stopped,
            "not_started" => AttemptOutcome::NotStarted { denial: self.denial? },
            _ => return None,
        };
        Some(StartReply { outcome, leaving: self.leaving })
    }
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value)
        .expect("a message serializes to JSON because its map keys are strings")
}
