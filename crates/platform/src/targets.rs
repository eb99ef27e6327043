//! Targets: starting and cancelling tasks.

use std::{net::SocketAddr, sync::Arc};

use futures::{FutureExt as _, future::BoxFuture};
use ggb_http::{HttpClient, Reply, Sent};
use ggb_model::Payload;
use http_types::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

const CONTROL_TIMEOUT_MS: u64 = 1_000;

/// A request to start one task.
#[derive(Clone, Debug, Serialize)]
pub struct StartRequest<'a> {
    /// Names the attempt; never used twice.
    pub attempt: &'a str,
    /// Whether running the task twice would be harmless.
    pub idempotent: bool,
    /// How long the target may run the task before it has to stop it.
    pub lease_ms: u32,
    /// What to run.
    pub payload: &'a RawValue,
}

/// A target's answer to a [`StartRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct StartReply {
    /// How the attempt ended.
    #[serde(flatten)]
    pub end: StartEnd,
    /// Whether the target is about to leave.
    pub leaving: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum StartEnd {
    /// The task ran.
    Done {
        /// What it returned.
        answer: Payload,
        /// How long it ran.
        run_ms: u32,
    },
    /// The task ran and failed.
    Failed {
        /// The target's own words.
        message: String,
    },
    /// The task was stopped because it was cancelled; this says nothing about the target.
    Stopped,
    /// The task was not started and never will be under this attempt.
    NotStarted {
        /// Why.
        denial: Denial,
    },
}

/// Why a target did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Denial {
    /// All slots are taken.
    Full,
    /// The target is about to leave.
    Leaving,
}

/// An attempt without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// No connection could be opened: the task was certainly not started.
    Unreachable,
    /// The request may have arrived: the task counts as started.
    Lost,
}

/// A request to stop attempts; those that are over or unknown are ignored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempts.
    pub attempts: Vec<String>,
}

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Occupied slots.
    pub used_slots: u16,
}

/// Targets that run tasks.
pub trait Targets: Send + Sync + 'static {
    /// Starts a task and waits for its end.
    fn start<'a>(
        &'a self,
        target: SocketAddr,
        request: &'a StartRequest<'a>,
        timeout_ms: u64,
    ) -> BoxFuture<'a, Result<StartReply, StartError>>;

    /// Asks a target to stop attempts; nothing is promised.
    fn cancel(&self, target: SocketAddr, request: CancelRequest) -> BoxFuture<'_, ()>;

    /// Asks a target for its status.
    fn status(&self, target: SocketAddr) -> BoxFuture<'_, Option<TargetStatus>>;
}

/// Targets over HTTP.
#[derive(Debug)]
pub struct HttpTargets {
    client: Arc<HttpClient>,
}

impl HttpTargets {
    /// Returns a client of targets.
    pub const fn new(client: Arc<HttpClient>) -> Self {
        HttpTargets { client }
    }

    async fn start_task(
        &self,
        target: SocketAddr,
        request: &StartRequest<'_>,
        timeout_ms: u64,
    ) -> Result<StartReply, StartError> {
        let sent = self.client.post(target, "/v1/tasks", encode(request), timeout_ms).await;
        match sent {
            Ok(reply) => read_reply(&reply).ok_or(StartError::Lost),
            Err(error) => match error.current_context().sent() {
                Sent::No => Err(StartError::Unreachable),
                Sent::Maybe => Err(StartError::Lost),
            },
        }
    }

    async fn cancel_attempts(&self, target: SocketAddr, request: CancelRequest) {
        let sent = self.client.post(target, "/v1/cancel", encode(&request), CONTROL_TIMEOUT_MS);
        sent.await.ok();
    }

    async fn fetch_status(&self, target: SocketAddr) -> Option<TargetStatus> {
        let reply = self.client.fetch(target, "/v1/status", CONTROL_TIMEOUT_MS).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }
}

impl Targets for HttpTargets {
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

fn read_reply(reply: &Reply) -> Option<StartReply> {
    match reply.status {
        StatusCode::Ok | StatusCode::ServiceUnavailable => {
            // Raw JSON can't be read through a tagged enum, so the tag is a plain field here.
            let head: ReplyHead = serde_json::from_slice(&reply.body).ok()?;
            head.into_reply()
        }
        _ => None,
    }
}

#[derive(Deserialize)]
struct ReplyHead {
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

impl ReplyHead {
    fn into_reply(self) -> Option<StartReply> {
        let end = match self.status.as_str() {
            "done" => StartEnd::Done { answer: self.answer?, run_ms: self.run_ms },
            "failed" => StartEnd::Failed { message: self.message },
            "stopped" => StartEnd::Stopped,
            "not_started" => StartEnd::NotStarted { denial: self.denial? },
            _ => return None,
        };
        Some(StartReply { end, leaving: self.leaving })
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("messages to targets have only string keys")
}
