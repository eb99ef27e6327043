//! Client of the caller API: opens sessions and submits jobs in them.

use std::net::SocketAddr;

use ggb_http::HttpClient;
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::{Job, LoadError, Workload};

const REQUEST_TIMEOUT_MS: u64 = 120_000;

/// Maximum time that an entry process holds a request open until the job has an outcome.
const MAX_WAIT_MS: u32 = 60_000;

/// A session that the load tool has opened.
#[derive(Debug)]
pub(crate) struct Session {
    id: String,
    sequences: Mutex<Sequences>,
}

/// Allocates the sequences of a session's jobs.
#[derive(Debug, Default)]
struct Sequences {
    next: u64,
    /// Sequences of jobs without an outcome yet, in ascending order.
    outstanding: Vec<u64>,
}

/// Result of one submitted job.
#[derive(Clone, Debug)]
pub(crate) struct SubmissionResult {
    /// Kind of the outcome, followed by its reason if it has one; `error` without a response.
    pub(crate) outcome: String,
    /// Whether each task has an answer that carries the task's tag.
    pub(crate) has_all_answers: bool,
}

impl Session {
    /// Opens a session at an entry process.
    pub(crate) async fn open(client: &HttpClient, entry: SocketAddr) -> Result<Self, LoadError> {
        let reply = client.post(entry, "/v1/sessions", Vec::new(), REQUEST_TIMEOUT_MS).await;
        let reply =
            reply.map_err(|error| LoadError::new(format!("could not open a session: {error}")))?;
        let opened: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        match opened["session"].as_str() {
            Some(id) => Ok(Session { id: id.to_owned(), sequences: Mutex::default() }),
            None => Err(LoadError::new(format!("could not open a session: got {opened}"))),
        }
    }

    /// Submits a job through an entry process and waits for its outcome.
    pub(crate) async fn submit(
        &self,
        client: &HttpClient,
        entry: SocketAddr,
        workload: &Workload,
        job: &Job,
    ) -> SubmissionResult {
        let (sequence, acknowledge_below) = self.allocate_sequence();
        let body = encode_job(workload, job, sequence, acknowledge_below);
        let path =
            |wait_ms: u32| format!("/v1/sessions/{}/jobs/{sequence}?wait_ms={wait_ms}", self.id);
        let mut reply = client.post(entry, &path(MAX_WAIT_MS), body, REQUEST_TIMEOUT_MS).await;
        while let Ok(pending) = &reply {
            if pending.status != 202 {
                break;
            }
            let paths = (path(MAX_WAIT_MS), path(0));
            let paths = (paths.0.as_str(), paths.1.as_str());
            let timeout_ms = REQUEST_TIMEOUT_MS - u64::from(MAX_WAIT_MS);
            reply = client.long_poll(entry, paths, MAX_WAIT_MS.into(), timeout_ms).await;
        }
        self.complete_sequence(sequence);
        match reply {
            Ok(reply) => decode_result(&reply.body, job, sequence),
            Err(_) => SubmissionResult { outcome: "error".to_owned(), has_all_answers: false },
        }
    }

    /// Returns the next sequence, and the lowest one whose job has no outcome yet.
    fn allocate_sequence(&self) -> (u64, u64) {
        let mut sequences = self.sequences.lock();
        let sequence = sequences.next;
        sequences.next += 1;
        sequences.outstanding.push(sequence);
        (sequence, sequences.outstanding[0])
    }

    /// Marks the outcome of a sequence as received.
    fn complete_sequence(&self, sequence: u64) {
        let mut sequences = self.sequences.lock();
        if let Ok(index) = sequences.outstanding.binary_search(&sequence) {
            sequences.outstanding.remove(index);
        }
    }
}

fn encode_job(workload: &Workload, job: &Job, sequence: u64, acknowledge_below: u64) -> Vec<u8> {
    let encode_task = |(index, task): (usize, &crate::Task)| {
        json!({
            "payload": { "run_ms": task.run_ms, "tag": format!("{sequence}.{index}") },
            "expected_ms": task.declared_ms,
        })
    };
    let tasks: Vec<Value> = job.tasks.iter().enumerate().map(encode_task).collect();
    let body = json!({
        "profile": workload.classes[job.class].name,
        "acknowledge_below": acknowledge_below,
        "tasks": tasks,
    });
    body.to_string().into_bytes()
}

/// Returns the outcome in a response, and whether each task has an answer with its own tag.
fn decode_result(body: &[u8], job: &Job, sequence: u64) -> SubmissionResult {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let kind = value["outcome"].as_str().unwrap_or("error");
    let outcome = match value["reason"].as_str() {
        Some(reason) => format!("{kind}:{reason}"),
        None => kind.to_owned(),
    };
    let answers = value["answers"].as_array().map(Vec::as_slice).unwrap_or_default();
    let has_own_tag = |(index, answer): (usize, &Value)| {
        answer["answer"]["tag"].as_str() == Some(format!("{sequence}.{index}").as_str())
    };
    let has_all_answers =
        answers.len() == job.tasks.len() && answers.iter().enumerate().all(has_own_tag);
    SubmissionResult { outcome, has_all_answers }
}
