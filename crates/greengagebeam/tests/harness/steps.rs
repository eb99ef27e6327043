//! The verbs of the scenario language.

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
    caller::{Observed, Pending, Submission, TaskSpec},
    checker::{Evidence, InForce, Sample, check},
    language::{Script, Step},
    naive,
    world::{Kind, World},
};

const SAMPLE_MS: u64 = 50;

/// Runs the steps of one scenario.
pub struct Runner {
    pub(super) world: World,
    pub(super) sessions: Vec<(String, String)>,
    pub(super) submissions: Vec<Submission>,
    pub(super) pending: Vec<Pending>,
    pub(super) seen: Vec<Observed>,
    pub(super) leaving: Vec<(String, u64)>,
    pub(super) in_force: Vec<InForce>,
    pub(super) during_drain: Vec<(String, String)>,
    pub(super) samples: Arc<Mutex<Vec<Sample>>>,
}

impl Runner {
    /// Starts the world of a scenario.
    pub async fn start(name: String, script: &Script) -> Result<Self, String> {
        let world = World::start(&name, &script.size).await?;
        Ok(Runner {
            world,
            sessions: Vec::new(),
            submissions: Vec::new(),
            pending: Vec::new(),
            seen: Vec::new(),
            leaving: Vec::new(),
            in_force: Vec::new(),
            during_drain: Vec::new(),
            samples: Arc::default(),
        })
    }

    /// Runs all steps, and checks what must always hold.
    pub async fn run(&mut self, script: &Script) -> Result<(), String> {
        self.watch_generations();
        for step in &script.steps {
            self.step(step).await.map_err(|error| step.error(&error))?;
        }
        let violations = check(&self.evidence());
        let mut kinds: Vec<_> = violations.iter().map(|v| v.kind.to_owned()).collect();
        kinds.sort();
        kinds.dedup();
        let mut expected = script.violations.clone();
        expected.sort();
        match kinds == expected {
            true => Ok(()),
            false => Err(format!("expected violations {expected:?}, found {violations:#?}")),
        }
    }

    async fn step(&mut self, step: &Step) -> Result<(), String> {
        match step.verb.as_str() {
            "profile" => self.create_profile(step).await,
            "change" | "retire" => self.change_profile(step).await,
            "race" => self.race(step).await,
            "in-force" => self.await_in_force(step).await,
            "session" => self.open_session(step).await,
            "submit" => self.submit(step),
            "resubmit" => self.send(step, Method::Post),
            "ask" => self.send(step, Method::Get),
            "cancel" => self.send(step, Method::Delete),
            "naive" => self.naive(step).await,
            "await" => self.await_answer(step).await,
            "poll" => self.poll(step).await,
            "await-starts" => self.await_starts(step).await,
            "starts-at" => self.count_starts(step),
            "await-status" => self.await_status(step).await,
            "kill" => self.kill(step),
            "freeze" => self.world.member(step.word(0)?)?.process.signal(Signal::SIGSTOP),
            "thaw" => self.world.member(step.word(0)?)?.process.signal(Signal::SIGCONT),
            "restart" => self.world.member_mut(step.word(0)?)?.process.restart(),
            "drain" => self.drain(step),
            "await-exit" => self.await_exit(step).await,
            "cut" | "heal" => self.change_link(step),
            "table" => self.set_table(step),
            "list" => self.set_list(step),
            "unlist" | "relist" => self.change_list(step),
            "leave" => self.leave(step).await,
            "mode" => self.set_mode(step).await,
            "add" => self.add(step).await,
            "plant" => self.plant(step),
            "raw" => self.send_raw(step).await,
            _ => Err("no such verb".to_owned()),
        }
    }

    async fn open_session(&mut self, step: &Step) -> Result<(), String> {
        let addr = self.world.member(step.required("at")?)?.http_addr();
        let reply = self.world.client.post(addr, "/v1/sessions", Vec::new(), 5_000).await;
        let reply = reply.map_err(|error| format!("{error:?}"))?;
        let opened: Value =
            serde_json::from_slice(&reply.body).map_err(|error| error.to_string())?;
        let session = opened["session"].as_str().ok_or_else(|| format!("got {opened}"))?;
        self.sessions.push((step.word(0)?.to_owned(), session.to_owned()));
        Ok(())
    }

    fn submit(&mut self, step: &Step) -> Result<(), String> {
        let name = step.word(0)?;
        let path = match step.option("session") {
            Some(wanted) => {
                let found = self.sessions.iter().find(|(name, _)| name == wanted);
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
        let addr = self.world.member(via)?.http_addr();
        let submission = self.submission(step.word(0)?)?;
        let pending = Pending::send(&self.world.client, submission, method, addr, via);
        self.pending.push(pending);
        Ok(())
    }

    async fn naive(&mut self, step: &Step) -> Result<(), String> {
        let habit = step.option("habit").unwrap_or("forward").parse()?;
        let target = self.world.member(step.required("target")?)?.private_addr();
        let submission = self.submission(step.word(0)?)?;
        let observed = naive::dispatch(&self.world.client, submission, target, habit).await;
        self.seen.push(observed);
        Ok(())
    }

    /// Waits for the answer of the latest request, which must be of one of the given kinds.
    async fn await_answer(&mut self, step: &Step) -> Result<(), String> {
        let name = step.word(0)?;
        let latest = self.pending.iter().rev().find(|pending| pending.submission == name);
        let pending = latest.ok_or("nothing was sent")?.clone();
        let what = format!("{name} is answered");
        self.world.until(&what, async || pending.seen().is_some()).await?;
        let observed = pending.seen().ok_or("no answer")?;
        let wanted = step.word(1)?;
        if !wanted.split('|').any(|kind| kind == observed.kind) {
            return Err(format!("expected {wanted}, got {}", observed.outcome));
        }
        match step.option("reason") {
            Some(reason) if observed.outcome["reason"] != reason => {
                Err(format!("expected reason {reason}, got {}", observed.outcome))
            }
            _ => Ok(()),
        }
    }

    /// Asks over and over until the answer is of one of the given kinds.
    async fn poll(&mut self, step: &Step) -> Result<(), String> {
        let (name, wanted, via) = (step.word(0)?, step.word(1)?, step.required("via")?);
        let addr = self.world.member(via)?.http_addr();
        let submission = self.submission(name)?.clone();
        let seen = Mutex::new(Vec::new());
        let world = &self.world;
        let what = format!("{name} is {wanted}");
        let polled = world
            .until(&what, async || {
                let asked = Pending::send(&world.client, &submission, Method::Get, addr, via);
                if world.until("an answer", async || asked.seen().is_some()).await.is_err() {
                    return false;
                }
                let Some(observed) = asked.seen() else { return false };
                let done = wanted.split('|').any(|kind| kind == observed.kind);
                seen.lock().push(observed);
                done
            })
            .await;
        let seen = seen.into_inner();
        let last = seen.last().map(|observed| observed.outcome.to_string());
        self.seen.extend(seen);
        polled.map_err(|error| format!("{error}; last: {last:?}"))
    }

    async fn await_starts(&mut self, step: &Step) -> Result<(), String> {
        let submission = self.submission(step.word(0)?)?;
        let wanted: usize = step.number("tasks", 1)?;
        let world = &self.world;
        let what = format!("{wanted} tasks have started");
        world
            .until(&what, async || {
                let log = read_log(&world.target_log()).unwrap_or_default();
                let own = |line: &&LogLine| submission.tags.contains(&line.tag);
                let starts = log.iter().filter(|line| line.kind == LogKind::Start).filter(own);
                starts.count() >= wanted
            })
            .await
    }

    /// Checks that a target was given at most so many tasks.
    fn count_starts(&self, step: &Step) -> Result<(), String> {
        let target = self.world.member(step.word(0)?)?.private_addr().to_string();
        let log = read_log(&self.world.target_log()).map_err(|error| error.to_string())?;
        let own = |line: &&LogLine| line.kind == LogKind::Start && line.target == target;
        let starts = log.iter().filter(own).count();
        let most: usize = step.number("most", 0)?;
        match starts <= most {
            true => Ok(()),
            false => Err(format!("expected at most {most} starts, got {starts}")),
        }
    }

    /// Waits until a detail of a process's status has a value.
    async fn await_status(&mut self, step: &Step) -> Result<(), String> {
        let name = step.word(0)?;
        let world = &self.world;
        let matches = |status: &Value| {
            step.options().all(|(name, wanted)| {
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
                match (field == name, text.parse::<u64>(), wanted.parse::<u64>()) {
                    (false, Ok(seen), Ok(least)) => seen >= least,
                    _ => text == wanted,
                }
            })
        };
        let what = format!("{name} has {:?}", step.options().collect::<Vec<_>>());
        world.until(&what, async || world.status(name).await.is_ok_and(|s| matches(&s))).await
    }

    /// Adds made-up evidence, to show that the checker sees it.
    fn plant(&mut self, step: &Step) -> Result<(), String> {
        match step.word(0)? {
            "swapped" => {
                let (one, two) = (step.word(1)?, step.word(2)?);
                let other = self.seen_last(two).ok_or("nothing was seen")?;
                self.seen.push(Observed { submission: one.to_owned(), ..other });
            }
            "generation" => {
                let mut samples = self.samples.lock();
                let last = samples.last().cloned().ok_or("no samples")?;
                samples.push(Sample { generation: last.generation.saturating_sub(1), ..last });
            }
            "late" => self.in_force.push(InForce { process: "naive".into(), after_ms: 9_000 }),
            other => return Err(format!("can't plant `{other}`")),
        }
        Ok(())
    }

    /// Sends bytes as they are and checks how the response begins.
    async fn send_raw(&mut self, step: &Step) -> Result<(), String> {
        let addr = self.world.member(step.required("via")?)?.http_addr();
        let path = match step.option("session") {
            Some(wanted) => {
                let found = self.sessions.iter().find(|(name, _)| name == wanted);
                format!("/v1/sessions/{}/jobs/0", found.ok_or("no such session")?.1)
            }
            None => "/v1/jobs".to_owned(),
        };
        let body = match step.word(0)? {
            "cut-short" => "{\"profile\"".to_owned(),
            "not-json" => "florists".to_owned(),
            "oversized" => "x".repeat((16 << 20) + 1),
            "no-tasks" => json!({ "profile": "p", "tasks": [] }).to_string(),
            "unknown-field" => json!({ "profile": "p", "tasks": [], "colour": 1 }).to_string(),
            other => return Err(format!("no body `{other}`")),
        };
        let declared = body.len() + usize::from(step.word(0)? == "cut-short");
        let text = raw_exchange(addr, &path, declared, &body).await?;
        let wanted = step.required("expect")?;
        match text.contains(wanted) {
            true => Ok(()),
            false => Err(format!("expected `{wanted}` in {text}")),
        }
    }

    fn submission(&self, name: &str) -> Result<&Submission, String> {
        let found = self.submissions.iter().find(|submission| submission.name == name);
        found.ok_or_else(|| format!("no submission `{name}`"))
    }

    fn seen_last(&self, name: &str) -> Option<Observed> {
        let pending = self.pending.iter().rev().filter(|pending| pending.submission == name);
        pending.filter_map(Pending::seen).next()
    }

    fn evidence(&self) -> Evidence {
        let mut observed = self.seen.clone();
        observed.extend(self.pending.iter().filter_map(Pending::seen));
        Evidence {
            submissions: self.submissions.clone(),
            observed,
            log: read_log(&self.world.target_log()).unwrap_or_default(),
            leaving: self.leaving.clone(),
            samples: self.samples.lock().clone(),
            in_force: self.in_force.clone(),
            during_drain: self.during_drain.clone(),
        }
    }

    /// Samples the generations in force until the scenario ends.
    fn watch_generations(&self) {
        let entries = self.world.of_kind(Kind::Entry);
        let addrs: Vec<_> = entries.map(|m| (m.name.clone(), m.operator_addr())).collect();
        let (client, samples) = (Arc::clone(&self.world.client), Arc::downgrade(&self.samples));
        task::spawn(async move {
            while let Some(samples) = samples.upgrade() {
                for (name, addr) in &addrs {
                    let Ok(reply) = client.fetch(*addr, "/status", 200).await else { continue };
                    let status: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
                    let home = status["details"]["home"].as_str().unwrap_or_default();
                    if let Some(generation) = status["details"]["generation"].as_u64() {
                        let process = format!("{name}/{home}");
                        samples.lock().push(Sample { process, generation });
                    }
                }
                drop(samples);
                task::sleep(std::time::Duration::from_millis(SAMPLE_MS)).await;
            }
        });
    }
}

/// Sends a request by hand, closes the sending side and reads the response.
async fn raw_exchange(
    addr: std::net::SocketAddr,
    path: &str,
    declared: usize,
    body: &str,
) -> Result<String, String> {
    use async_std::{
        io::{ReadExt as _, WriteExt as _},
        net::{Shutdown, TcpStream},
    };
    let fail = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(addr).await.map_err(fail)?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: {declared}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.map_err(fail)?;
    // The other side may answer and close before it has read all of a large body.
    stream.write_all(body.as_bytes()).await.ok();
    stream.shutdown(Shutdown::Write).ok();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok();
    Ok(String::from_utf8_lossy(&response).into_owned())
}

pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
