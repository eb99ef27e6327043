//! Naive dispatcher that forwards submissions without the system's safeguards.
//!
//! The dispatcher violates the invariants, and the checker must report that. The `naive_*`
//! scenarios use it in place of the system.

use std::net::SocketAddr;

use ggb_http::HttpClient;
use serde_json::{Value, json};

use super::caller::{ObservedOutcome, Submission};

const TASK_TIMEOUT_MS: u64 = 30_000;
const LEASE_MS: u64 = 60_000;

/// Faulty behavior of the naive dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// Runs every submission it receives, including repeated ones.
    Forward,
    /// Omits the answers of failed tasks.
    SkipFailed,
    /// Reports `not_run` for tasks that it has started.
    RefuseAfterStart,
}

impl std::str::FromStr for Misbehavior {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        match word {
            "forward" => Ok(Misbehavior::Forward),
            "skip-failed" => Ok(Misbehavior::SkipFailed),
            "refuse-after-start" => Ok(Misbehavior::RefuseAfterStart),
            _ => Err(format!("unknown habit `{word}`")),
        }
    }
}

/// Runs the tasks of a submission on one target, one after the other.
pub async fn dispatch(
    client: &HttpClient,
    submission: &Submission,
    target: SocketAddr,
    misbehavior: Misbehavior,
) -> ObservedOutcome {
    let body: Value = serde_json::from_slice(&submission.body).unwrap_or_default();
    let mut answers = Vec::new();
    for (index, task) in body["tasks"].as_array().into_iter().flatten().enumerate() {
        let start = json!({
            "attempt": format!("naive-{}-{index}-{}", submission.name, rand::random::<u32>()),
            "idempotent": false,
            "lease_ms": LEASE_MS,
            "payload": task["payload"],
        });
        let request =
            client.post(target, "/v1/tasks", start.to_string().into_bytes(), TASK_TIMEOUT_MS);
        let reply = request.await.ok().map(|reply| reply.body).unwrap_or_default();
        let reply: Value = serde_json::from_slice(&reply).unwrap_or_default();
        if reply["status"] == "done" {
            answers.push(json!({ "task": index, "answer": reply["answer"] }));
        }
    }
    let outcome = match misbehavior {
        Misbehavior::Forward | Misbehavior::SkipFailed => {
            json!({ "outcome": "complete", "answers": answers })
        }
        Misbehavior::RefuseAfterStart => json!({ "outcome": "not_run", "reason": "overloaded" }),
    };
    ObservedOutcome {
        submission: submission.name.clone(),
        via: "naive".to_owned(),
        kind: outcome["outcome"].as_str().unwrap_or_default().to_owned(),
        outcome,
    }
}
