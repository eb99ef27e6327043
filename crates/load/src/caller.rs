//! Sessions, and the submissions of the workload within them.

use std::net::SocketAddr;

use ggb_http::HttpClient;
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::{Job, LoadError, Workload};

const TIMEOUT_MS: u64 = 120_000;
const WAIT_MS: u32 = 60_000;

/// A session of the tool.
#[derive(Debug)]
pub(crate) struct Session {
    id: String,
    state: Mutex<Sequences>,
}

/// The sequences of a session that are in use.
#[derive(Debug, Default)]
struct Sequences {
    next: u64,
    /// Sorted.
    outstanding: Vec<u64>,
}

/// What became of one submission.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) outcome: String,
    pub(crate) whole: bool,
}

impl Session {
    /// Opens a session at an entry process.
    pub(crate) async fn open(client: &HttpClient, entry: SocketAddr) -> Result<Self, LoadError> {
        let reply = client.post(entry, "/v1/sessions", Vec::new(), TIMEOUT_MS).await;
        let reply = reply.map_err(|error| LoadError::new(format!("session: {error}")))?;
        let opened: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        match opened["session"].as_str() {
            Some(id) => Ok(Session { id: id.to_owned(), state: Mutex::default() }),
            None => Err(LoadError::new(format!("session: got {opened}"))),
        }
    }

    /// Submits a job through an entry process and waits for what becomes of it.
    pub(crate) async fn submit(
        &self,
        client: &HttpClient,
        entry: SocketAddr,
        workload: &Workload,
        job: &Job,
    ) -> Reply {
        let (sequence, acknowledged) = self.begin();
        let body = write_body(workload, job, sequence, acknowledged);
        let mut path = format!("/v1/sessions/{}/jobs/{sequence}?wait_ms={WAIT_MS}", self.id);
        let mut reply = client.post(entry, &path, body, TIMEOUT_MS).await;
        while let Ok(running) = &reply {
            if running.status != 202 {
                break;
            }
            path = format!("/v1/sessions/{}/jobs/{sequence}?wait_ms={WAIT_MS}", self.id);
            reply = client.fetch(entry, &path, TIMEOUT_MS).await;
        }
        self.end(sequence);
        match reply {
            Ok(reply) => read_reply(&reply.body, job, sequence),
            Err(_) => Reply { outcome: "error".to_owned(), whole: false },
        }
    }

    /// Takes a sequence; returns it with the lowest one that is still needed.
    fn begin(&self) -> (u64, u64) {
        let mut state = self.state.lock();
        let sequence = state.next;
        state.next += 1;
        state.outstanding.push(sequence);
        (sequence, state.outstanding[0])
    }

    fn end(&self, sequence: u64) {
        let mut state = self.state.lock();
        if let Ok(at) = state.outstanding.binary_search(&sequence) {
            state.outstanding.remove(at);
        }
    }
}

fn write_body(workload: &Workload, job: &Job, sequence: u64, acknowledged: u64) -> Vec<u8> {
    let task = |(at, task): (usize, &crate::Task)| {
        json!({
            "payload": { "run_ms": task.run_ms, "tag": format!("{sequence}.{at}") },
            "expected_ms": task.declared_ms,
        })
    };
    let tasks: Vec<Value> = job.tasks.iter().enumerate().map(task).collect();
    let body = json!({
        "profile": workload.classes[job.class].name,
        "acknowledge_below": acknowledged,
        "tasks": tasks,
    });
    body.to_string().into_bytes()
}

/// Reads the outcome, and whether every answer is there and belongs to its task.
fn read_reply(body: &[u8], job: &Job, sequence: u64) -> Reply {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let kind = value["outcome"].as_str().unwrap_or("error");
    let outcome = match value["reason"].as_str() {
        Some(reason) => format!("{kind}:{reason}"),
        None => kind.to_owned(),
    };
    let answers = value["answers"].as_array().map(Vec::as_slice).unwrap_or_default();
    let own = |(at, answer): (usize, &Value)| {
        answer["answer"]["tag"].as_str() == Some(format!("{sequence}.{at}").as_str())
    };
    let whole = answers.len() == job.tasks.len() && answers.iter().enumerate().all(own);
    Reply { outcome, whole }
}
