//! Runs the verbs of the scenario language and checks the invariants at the end.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use async_std::task;
use ggb_standin::{LogKind, LogLine, read_log};
use http_types::Method;
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::{
    caller::{ObservedOutcome, PendingRequest, Submission, TaskSpec},
    checker::{ChangeDelay, Evidence, GenerationSample, check},
    cluster::{Cluster, ProcessKind},
    language::{Scenario, Step},
    naive,
};

const GENERATION_SAMPLE_INTERVAL_MS: u64 = 50;

/// Runs the steps of one scenario and collects the evidence for the checker.
pub struct ScenarioRunner {
    pub(super) cluster: Cluster,
    pub(super) sessions: Vec<(String, String)>,
    pub(super) submissions: Vec<Submission>,
    pub(super) pending: Vec<PendingRequest>,
    pub(super) observed: Vec<ObservedOutcome>,
    pub(super) leaving_targets: Vec<(String, u64)>,
    pub(super) change_delays: Vec<ChangeDelay>,
    pub(super) requests_during_drain: Vec<(String, String)>,
    pub(super) generation_samples: Arc<Mutex<Vec<GenerationSample>>>,
}

impl ScenarioRunner {
    /// Starts the cluster of a scenario.
    pub async fn start(name: String, scenario: &Scenario) -> Result<Self, String> {
        let cluster = Cluster::start(&name, &scenario.size).await?;
        Ok(ScenarioRunner {
            cluster,
            sessions: Vec::new(),
            submissions: Vec::new(),
            pending: Vec::new(),
            observed: Vec::new(),
            leaving_targets: Vec::new(),
            change_delays: Vec::new(),
            requests_during_drain: Vec::new(),
            generation_samples: Arc::default(),
        })
    }

    /// Runs all steps, then checks the invariants.
    pub async fn run(&mut self, scenario: &Scenario) -> Result<(), String> {
        self.sample_generations();
        for step in &scenario.steps {
            self.run_step(step).await.map_err(|error| step.error(&error))?;
        }
        let violations = check(&self.evidence());
        let mut kinds: Vec<_> = violations.iter().map(|v| v.kind.to_owned()).collect();
        kinds.sort();
        kinds.dedup();
        let mut expected = scenario.expected_violations.clone();
        expected.sort();
        match kinds == expected {
            true => Ok(()),
            false => Err(format!("expected violations {expected:?}, found {violations:#?}")),
        }
    }

    async fn run_step(&mut self, step: &Step) -> Result<(), String> {
        match step.verb.as_str() {
            "profile" => self.create_profile(step).await,
            "change" | "retire" => self.change_profile(step).await,
            "race" => self.race(step).await,
            "in-force" => self.wait_until_applied(step).await,
            "session" => self.open_session(step).await,
            "submit" => self.submit(step),
            "resubmit" => self.send(step, Method::Post),
            "ask" => self.send(step, Method::Get),
            "cancel" => self.send(step, Method::Delete),
            "naive" => self.dispatch_naively(step).await,
            "await" => self.await_answer(step).await,
            "poll" => self.poll(step).await,
            "await-starts" => self.await_starts(step).await,
            "starts-at" => self.check_start_count(step),
            "await-status" => self.await_status(step).await,
            "kill" => self.kill(step),
            "freeze" => self.cluster.member(step.arg(0)?)?.process.signal(Signal::SIGSTOP),
            "thaw" => self.cluster.member(step.arg(0)?)?.process.signal(Signal::SIGCONT),
            "restart" => self.cluster.member_mut(step.arg(0)?)?.process.restart(),
            "drain" => self.drain(step),
            "await-exit" => self.await_exit(step).await,
            "cut" | "heal" => self.edit_link(step),
            "table" => self.set_table_mode(step),
            "list" => self.set_vm_list_mode(step),
            "unlist" | "relist" => self.edit_vm_list(step),
            "leave" => self.leave(step).await,
            "mode" => self.set_target_mode(step).await,
            "add" => self.add(step).await,
            "plant" => self.plant(step),
            "raw" => self.send_raw_request(step).await,
            _ => Err("no such verb".to_owned()),
        }
    }

    async fn open_session(&mut self, step: &Step) -> Result<(), String> {
        let addr = self.cluster.member(step.required("at")?)?.http_addr();
        let reply = self.cluster.client.post(addr, "/v1/sessions", Vec::new(), 5_000).await;
        let reply = reply.map_err(|error| format!("{error:?}"))?;
        let opened: Value =
            serde_json::from_slice(&reply.body).map_err(|error| error.to_string())?;
        let session = opened["session"].as_str().ok_or_else(|| format!("got {opened}"))?;
        self.sessions.push((step.arg(0)?.to_owned(), session.to_owned()));
        Ok(())
    }

    fn submit(&mut self, step: &Step) -> Result<(), String> {
        let name = step.arg(0)?;
        let path = match step.option("session") {
            Some(session_name) => {
                let found = self.sessions.iter().find(|(name, _)| name == session_name);
                let (_, session) = found.ok_or("no such session")?;
                format!("/v1/sessions/{session}/jobs/{}", step.number("seq", 0_u64)?)
            }
            None => "/v1/jobs".to_owned(),
        };
        let spec = TaskSpec {
            profile: step.option("profile").unwrap_or("p").to_owned(),
            tasks: step.number("tasks", 1)?,
            run_ms: step.number("run_ms", 100)?,
            answer_bytes: step.number("answer_bytes", 0)?,
            fail: step.number("fail", false)?,
            slots: step.number("slots", 1)?,
            business_key: step.option("key").map(str::to_owned),
            start_within_ms: match step.option("start_within_ms") {
                Some(_) => Some(step.number("start_within_ms", 0)?),
                None => None,
            },
        };
        let path = format!("{path}?wait_ms={}", step.number("wait_ms", 30_000_u32)?);
        self.submissions.push(Submission::new(name, path, &spec));
        match step.option("via") {
            Some(_) => self.send(step, Method::Post),
            None => Ok(()),
        }
    }

    fn send(&mut self, step: &Step, method: Method) -> Result<(), String> {
        let via = step.required("via")?;
        let addr = self.cluster.member(via)?.http_addr();
        let submission = self.submission(step.arg(0)?)?;
        let pending = PendingRequest::send(&self.cluster.client, submission, method, addr, via);
        self.pending.push(pending);
        Ok(())
    }

    async fn dispatch_naively(&mut self, step: &Step) -> Result<(), String> {
        let misbehavior = step.option("habit").unwrap_or("forward").parse()?;
        let target = self.cluster.member(step.required("target")?)?.direct_addr();
        let submission = self.submission(step.arg(0)?)?;
        let observed = naive::dispatch(&self.cluster.client, submission, target, misbehavior).await;
        self.observed.push(observed);
        Ok(())
    }

    /// Waits for the outcome of the latest request; fails unless it is of one of the given kinds.
    async fn await_answer(&mut self, step: &Step) -> Result<(), String> {
        let name = step.arg(0)?;
        let latest = self.pending.iter().rev().find(|pending| pending.submission == name);
        let pending = latest.ok_or("no request was sent")?.clone();
        let description = format!("{name} is answered");
        self.cluster.wait_until(&description, async || pending.observed().is_some()).await?;
        let observed = pending.observed().ok_or("no answer")?;
        let expected = step.arg(1)?;
        if !expected.split('|').any(|kind| kind == observed.kind) {
            return Err(format!("expected {expected}, got {}", observed.outcome));
        }
        match step.option("reason") {
            Some(reason) if observed.outcome["reason"] != reason => {
                Err(format!("expected reason {reason}, got {}", observed.outcome))
            }
            _ => Ok(()),
        }
    }

    /// Queries a submission until its outcome is of one of the given kinds.
    async fn poll(&mut self, step: &Step) -> Result<(), String> {
        let (name, expected, via) = (step.arg(0)?, step.arg(1)?, step.required("via")?);
        let addr = self.cluster.member(via)?.http_addr();
        let submission = self.submission(name)?.clone();
        let outcomes = Mutex::new(Vec::new());
        let cluster = &self.cluster;
        let description = format!("{name} is {expected}");
        let polled = cluster
            .wait_until(&description, async || {
                let request =
                    PendingRequest::send(&cluster.client, &submission, Method::Get, addr, via);
                if cluster
                    .wait_until("an answer", async || request.observed().is_some())
                    .await
                    .is_err()
                {
                    return false;
                }
                let Some(observed) = request.observed() else { return false };
                let done = expected.split('|').any(|kind| kind == observed.kind);
                outcomes.lock().push(observed);
                done
            })
            .await;
        let outcomes = outcomes.into_inner();
        let last = outcomes.last().map(|observed| observed.outcome.to_string());
        self.observed.extend(outcomes);
        polled.map_err(|error| format!("{error}; last: {last:?}"))
    }

    async fn await_starts(&mut self, step: &Step) -> Result<(), String> {
        let submission = self.submission(step.arg(0)?)?;
        let expected: usize = step.number("tasks", 1)?;
        let cluster = &self.cluster;
        let description = format!("{expected} tasks have started");
        cluster
            .wait_until(&description, async || {
                let log = read_log(&cluster.target_log()).unwrap_or_default();
                let is_of_submission = |line: &&LogLine| submission.tags.contains(&line.tag);
                let starts =
                    log.iter().filter(|line| line.kind == LogKind::Start).filter(is_of_submission);
                starts.count() >= expected
            })
            .await
    }

    /// Checks that a target started at most `most` tasks.
    fn check_start_count(&self, step: &Step) -> Result<(), String> {
        let target = self.cluster.member(step.arg(0)?)?.direct_addr().to_string();
        let log = read_log(&self.cluster.target_log()).map_err(|error| error.to_string())?;
        let is_start = |line: &&LogLine| line.kind == LogKind::Start && line.target == target;
        let starts = log.iter().filter(is_start).count();
        let max_starts: usize = step.number("most", 0)?;
        match starts <= max_starts {
            true => Ok(()),
            false => Err(format!("expected at most {max_starts} starts, got {starts}")),
        }
    }

    /// Waits until fields of a process's status have the given values.
    ///
    /// `field>=n` waits for at least `n`. The value of a list is its length.
    async fn await_status(&mut self, step: &Step) -> Result<(), String> {
        let name = step.arg(0)?;
        let cluster = &self.cluster;
        let matches = |status: &Value| {
            step.options().all(|(name, expected)| {
                let field = name.trim_end_matches('>');
                let value = match field {
                    "phase" => &status["phase"],
                    _ => &status["details"][field],
                };
                let text = match value {
                    Value::String(text) => text.clone(),
                    Value::Array(items) => items.len().to_string(),
                    other => other.to_string(),
                };
                match (field == name, text.parse::<u64>(), expected.parse::<u64>()) {
                    (false, Ok(actual), Ok(min)) => actual >= min,
                    _ => text == expected,
                }
            })
        };
        let description = format!("{name} has {:?}", step.options().collect::<Vec<_>>());
        cluster
            .wait_until(&description, async || {
                cluster.status(name).await.is_ok_and(|s| matches(&s))
            })
            .await
    }

    /// Adds false evidence that the checker must report.
    fn plant(&mut self, step: &Step) -> Result<(), String> {
        match step.arg(0)? {
            "swapped" => {
                let (name, other_name) = (step.arg(1)?, step.arg(2)?);
                let other = self.latest_outcome(other_name).ok_or("no outcome was observed")?;
                self.observed.push(ObservedOutcome { submission: name.to_owned(), ..other });
            }
            "generation" => {
                let mut generation_samples = self.generation_samples.lock();
                let last = generation_samples.last().cloned().ok_or("no samples")?;
                generation_samples.push(GenerationSample {
                    generation: last.generation.saturating_sub(1),
                    ..last
                });
            }
            "late" => {
                self.change_delays.push(ChangeDelay { process: "naive".into(), delay_ms: 9_000 })
            }
            other => return Err(format!("can't plant `{other}`")),
        }
        Ok(())
    }

    /// Sends a malformed request and checks that the response contains the expected text.
    async fn send_raw_request(&mut self, step: &Step) -> Result<(), String> {
        let addr = self.cluster.member(step.required("via")?)?.http_addr();
        let path = match step.option("session") {
            Some(session_name) => {
                let found = self.sessions.iter().find(|(name, _)| name == session_name);
                format!("/v1/sessions/{}/jobs/0", found.ok_or("no such session")?.1)
            }
            None => "/v1/jobs".to_owned(),
        };
        let body = match step.arg(0)? {
            "cut-short" => "{\"profile\"".to_owned(),
            "not-json" => "florists".to_owned(),
            "oversized" => "x".repeat((16 << 20) + 1),
            "no-tasks" => json!({ "profile": "p", "tasks": [] }).to_string(),
            "unknown-field" => json!({ "profile": "p", "tasks": [], "colour": 1 }).to_string(),
            other => return Err(format!("unknown body `{other}`")),
        };
        let content_length = body.len() + usize::from(step.arg(0)? == "cut-short");
        let text = exchange_raw(addr, &path, content_length, &body).await?;
        let expected = step.required("expect")?;
        match text.contains(expected) {
            true => Ok(()),
            false => Err(format!("expected `{expected}` in {text}")),
        }
    }

    fn submission(&self, name: &str) -> Result<&Submission, String> {
        let found = self.submissions.iter().find(|submission| submission.name == name);
        found.ok_or_else(|| format!("no submission `{name}`"))
    }

    fn latest_outcome(&self, name: &str) -> Option<ObservedOutcome> {
        let pending = self.pending.iter().rev().filter(|pending| pending.submission == name);
        pending.filter_map(PendingRequest::observed).next()
    }

    fn evidence(&self) -> Evidence {
        let mut observed = self.observed.clone();
        observed.extend(self.pending.iter().filter_map(PendingRequest::observed));
        Evidence {
            submissions: self.submissions.clone(),
            observed,
            log: read_log(&self.cluster.target_log()).unwrap_or_default(),
            leaving_targets: self.leaving_targets.clone(),
            generation_samples: self.generation_samples.lock().clone(),
            change_delays: self.change_delays.clone(),
            requests_during_drain: self.requests_during_drain.clone(),
        }
    }

    /// Samples the generations that entry processes have applied until the scenario ends.
    fn sample_generations(&self) {
        let entries = self.cluster.members_of_kind(ProcessKind::Entry);
        let addrs: Vec<_> = entries.map(|m| (m.name.clone(), m.operator_addr())).collect();
        let (client, generation_samples) =
            (Arc::clone(&self.cluster.client), Arc::downgrade(&self.generation_samples));
        task::spawn(async move {
            while let Some(generation_samples) = generation_samples.upgrade() {
                for (name, addr) in &addrs {
                    let Ok(reply) = client.get(*addr, "/status", 200).await else { continue };
                    let status: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
                    let home = status["details"]["home"].as_str().unwrap_or_default();
                    if let Some(generation) = status["details"]["generation"].as_u64() {
                        let process = format!("{name}/{home}");
                        generation_samples.lock().push(GenerationSample { process, generation });
                    }
                }
                drop(generation_samples);
                task::sleep(std::time::Duration::from_millis(GENERATION_SAMPLE_INTERVAL_MS)).await;
            }
        });
    }
}

/// Sends a request over a plain TCP connection, shuts down the write side, reads the response.
async fn exchange_raw(
    addr: std::net::SocketAddr,
    path: &str,
    content_length: usize,
    body: &str,
) -> Result<String, String> {
    use async_std::{
        io::{ReadExt as _, WriteExt as _},
        net::{Shutdown, TcpStream},
    };
    let fail = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(addr).await.map_err(fail)?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: {content_length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.map_err(fail)?;
    // The server may respond and close the connection before it has read a large body.
    stream.write_all(body.as_bytes()).await.ok();
    stream.shutdown(Shutdown::Write).ok();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok();
    Ok(String::from_utf8_lossy(&response).into_owned())
}

pub(super) fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
