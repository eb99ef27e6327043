//! Callers: what they submit, and what they saw.

use std::{net::SocketAddr, sync::Arc};

use async_std::task;
use ggb_http::HttpClient;
use http_types::Method;
use parking_lot::Mutex;
use serde_json::{Value, json};

const REQUEST_TIMEOUT_MS: u64 = 90_000;

/// A submission of a caller.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its name in the scenario.
    pub name: String,
    /// The path of the job.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// The tag of each task, which the target logs and returns.
    pub tags: Vec<String>,
    /// How many bytes each answer must have besides the tag.
    pub answer_bytes: usize,
}

impl Submission {
    /// Returns a submission of `tasks` equal tasks.
    pub fn new(name: &str, path: String, spec: &TaskSpec) -> Self {
        let tags: Vec<_> = (0..spec.tasks).map(|at| format!("{name}#{at}")).collect();
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
        if let Some(within_ms) = spec.start_within_ms {
            body["start_within_ms"] = json!(within_ms);
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

/// What the tasks of a submission are like.
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

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Observed {
    /// The submission's name.
    pub submission: String,
    /// The process that was asked.
    pub via: String,
    /// The outcome's kind, or `error` where no response came.
    pub kind: String,
    /// The response.
    pub outcome: Value,
}

/// A request in the background.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The submission's name.
    pub submission: String,
    /// The process that was asked.
    pub via: String,
    seen: Arc<Mutex<Option<Observed>>>,
}

impl Pending {
    /// Sends a request in the background.
    pub fn send(
        client: &Arc<HttpClient>,
        submission: &Submission,
        method: Method,
        addr: SocketAddr,
        via: &str,
    ) -> Self {
        let pending = Pending {
            submission: submission.name.clone(),
            via: via.to_owned(),
            seen: Arc::default(),
        };
        let body = match method {
            Method::Post => submission.body.clone(),
            _ => Vec::new(),
        };
        let (client, path) = (Arc::clone(client), submission.path.clone());
        let answer = pending.clone();
        task::spawn(async move {
            let reply = client.send(addr, method, &path, body, REQUEST_TIMEOUT_MS).await;
            let outcome = match reply {
                Ok(reply) => serde_json::from_slice(&reply.body).unwrap_or_default(),
                Err(error) => json!({ "outcome": "error", "message": error.to_string() }),
            };
            *answer.seen.lock() = Some(Observed {
                submission: answer.submission.clone(),
                via: answer.via.clone(),
                kind: outcome["outcome"].as_str().unwrap_or("error").to_owned(),
                outcome,
            });
        });
        pending
    }

    /// Returns what was seen, if the request is over.
    pub fn seen(&self) -> Option<Observed> {
        self.seen.lock().clone()
    }
}
