//! Submissions of callers and the outcomes that they receive.

use std::{net::SocketAddr, sync::Arc};

use async_std::task;
use ggb_http::HttpClient;
use http_types::Method;
use parking_lot::Mutex;
use serde_json::{Value, json};

const REQUEST_TIMEOUT_MS: u64 = 90_000;

/// Submission of a caller.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Name in the scenario.
    pub name: String,
    /// Path of the job in requests.
    pub path: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Tag of each task, which the target logs and returns.
    pub tags: Vec<String>,
    /// Number of padding bytes expected in each answer.
    pub answer_bytes: usize,
}

impl Submission {
    /// Returns a submission of `spec.tasks` equal tasks.
    pub fn new(name: &str, path: String, spec: &TaskSpec) -> Self {
        let tags: Vec<_> = (0..spec.tasks).map(|index| format!("{name}#{index}")).collect();
        let task = |tag: &String| {
            json!({
                "payload": {
                    "run_ms": spec.run_ms,
                    "answer_bytes": spec.answer_bytes,
                    "fail": spec.fail,
                    "tag": tag,
                },
                "shape": { "slots": spec.slots },
            })
        };
        let mut body = json!({
            "profile": spec.profile,
            "tasks": tags.iter().map(task).collect::<Vec<_>>(),
        });
        if let Some(key) = &spec.business_key {
            body["business_key"] = json!(key);
        }
        if let Some(start_within_ms) = spec.start_within_ms {
            body["start_within_ms"] = json!(start_within_ms);
        }
        Submission {
            name: name.to_owned(),
            path,
            body: body.to_string().into_bytes(),
            tags,
            answer_bytes: spec.answer_bytes,
        }
    }
}

/// Parameters of a submission and of its tasks.
#[derive(Clone, Debug)]
pub struct TaskSpec {
    pub profile: String,
    pub tasks: usize,
    pub run_ms: u64,
    pub answer_bytes: usize,
    pub fail: bool,
    pub slots: u16,
    pub business_key: Option<String>,
    pub start_within_ms: Option<u32>,
}

/// Outcome that a caller received for one request.
#[derive(Clone, Debug)]
pub struct ObservedOutcome {
    /// Name of the submission.
    pub submission: String,
    /// Name of the process that received the request.
    pub via: String,
    /// Kind of the outcome, or `error` if there was no response with an outcome.
    pub kind: String,
    /// Response body.
    pub outcome: Value,
}

/// Request that runs in the background.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// Name of the submission.
    pub submission: String,
    /// Name of the process that received the request.
    pub via: String,
    observed: Arc<Mutex<Option<ObservedOutcome>>>,
}

impl PendingRequest {
    /// Sends a request in the background.
    pub fn send(
        client: &Arc<HttpClient>,
        submission: &Submission,
        method: Method,
        addr: SocketAddr,
        via: &str,
    ) -> Self {
        let pending = PendingRequest {
            submission: submission.name.clone(),
            via: via.to_owned(),
            observed: Arc::default(),
        };
        let body = match method {
            Method::Post => submission.body.clone(),
            _ => Vec::new(),
        };
        let (client, path) = (Arc::clone(client), submission.path.clone());
        let request = pending.clone();
        task::spawn(async move {
            let reply = client.send(addr, method, &path, body, REQUEST_TIMEOUT_MS).await;
            let outcome = match reply {
                Ok(reply) => serde_json::from_slice(&reply.body).unwrap_or_default(),
                Err(error) => json!({ "outcome": "error", "message": error.to_string() }),
            };
            *request.observed.lock() = Some(ObservedOutcome {
                submission: request.submission.clone(),
                via: request.via.clone(),
                kind: outcome["outcome"].as_str().unwrap_or("error").to_owned(),
                outcome,
            });
        });
        pending
    }

    /// Returns the outcome if the request has ended.
    pub fn observed(&self) -> Option<ObservedOutcome> {
        self.observed.lock().clone()
    }
}
