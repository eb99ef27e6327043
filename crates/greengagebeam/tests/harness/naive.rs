//! A naive dispatcher: what a simple forwarder with retries would do.
//!
//! It breaks the promises, and the checker must see it. Every promise has a
//! scenario in which this stands in the place of the system.

use std::net::SocketAddr;

use ggb_http::HttpClient;
use serde_json::{Value, json};

use super::caller::{Observed, Submission};

const TIMEOUT_MS: u64 = 30_000;
const LEASE_MS: u64 = 60_000;

/// How the naive dispatcher treats a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Runs what it is given, also when it is given it again.
    Forward,
    /// Leaves out the answers of tasks that failed.
    SkipFailed,
    /// Refuses as "not run" after a timeout, though it has started.
    RefuseAfterStart,
}

impl std::str::FromStr for Habit {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        match word {
            "forward" => Ok(Habit::Forward),
            "skip-failed" => Ok(Habit::SkipFailed),
            "refuse-after-start" => Ok(Habit::RefuseAfterStart),
            _ => Err(format!("no habit `{word}`")),
        }
    }
}

/// Treats a submission naively, at one target.
pub async fn dispatch(
    client: &HttpClient,
    submission: &Submission,
    target: SocketAddr,
    habit: Habit,
) -> Observed {
    let body: Value = serde_json::from_slice(&submission.body).unwrap_or_default();
    let mut answers = Vec::new();
    for (at, task) in body["tasks"].as_array().into_iter().flatten().enumerate() {
        let start = json!({
            "attempt": format!("naive-{}-{at}-{}", submission.name, rand::random::<u32>()),
            "idempotent": false,
            "lease_ms": LEASE_MS,
            "payload": task["payload"],
        });
        let sent = client.post(target, "/v1/tasks", start.to_string().into_bytes(), TIMEOUT_MS);
        let reply = sent.await.ok().map(|reply| reply.body).unwrap_or_default();
        let reply: Value = serde_json::from_slice(&reply).unwrap_or_default();
        if reply["status"] == "done" {
            answers.push(json!({ "task": at, "answer": reply["answer"] }));
        }
    }
    let outcome = match habit {
        Habit::Forward | Habit::SkipFailed => json!({ "outcome": "complete", "answers": answers }),
        Habit::RefuseAfterStart => json!({ "outcome": "not_run", "reason": "overloaded" }),
    };
    Observed {
        submission: submission.name.clone(),
        via: "naive".to_owned(),
        kind: outcome["outcome"].as_str().unwrap_or_default().to_owned(),
        outcome,
    }
}
