//! Scenario steps that inject faults into processes, links, the platform and targets.

use std::time::{Duration, Instant};

use async_std::task;
use ggb_platform::{STATE_TABLE, VMS_TABLE};
use ggb_standin::{LinkEffect, LinkRule, StoreMode};
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::{
    cluster::ProcessKind,
    language::Step,
    steps::{ScenarioRunner, unix_time_ms},
};

const CONTROL_TIMEOUT_MS: u64 = 2_000;
const EXIT_POLL_INTERVAL_MS: u64 = 20;
const EXIT_TIMEOUT_SECS: u64 = 60;

impl ScenarioRunner {
    pub(super) fn kill(&mut self, step: &Step) -> Result<(), String> {
        self.cluster.member_mut(step.arg(0)?)?.process.kill();
        Ok(())
    }

    pub(super) fn set_vm_list_mode(&mut self, step: &Step) -> Result<(), String> {
        let mode = match step.arg(0)? {
            "down" => StoreMode::Down,
            _ => StoreMode::Up,
        };
        self.cluster.platform.set_table_mode(VMS_TABLE, mode);
        Ok(())
    }

    pub(super) fn edit_vm_list(&mut self, step: &Step) -> Result<(), String> {
        let member = self.cluster.member(step.arg(0)?)?;
        match step.verb.as_str() {
            "unlist" => self.cluster.platform.unlist_vm(member.addr()),
            _ => self.cluster.platform.list_vm(self.cluster.vm(member)),
        }
        Ok(())
    }

    pub(super) fn drain(&mut self, step: &Step) -> Result<(), String> {
        let name = step.arg(0)?;
        let unanswered = self.pending.iter().filter(|pending| pending.via == name);
        let unanswered = unanswered.filter(|pending| pending.observed().is_none());
        let unanswered: Vec<_> =
            unanswered.map(|p| (p.via.clone(), p.submission.clone())).collect();
        self.requests_during_drain.extend(unanswered);
        match step.option("naive") {
            Some(_) => self.kill(step),
            None => self.cluster.member(name)?.process.signal(Signal::SIGTERM),
        }
    }

    pub(super) async fn await_exit(&mut self, step: &Step) -> Result<(), String> {
        let member = Mutex::new(self.cluster.member_mut(step.arg(0)?)?);
        let waiting_since = Instant::now();
        loop {
            if let Some(code) = member.lock().process.exit_code() {
                return match code {
                    0 => Ok(()),
                    _ => Err(format!("exit code {code}")),
                };
            }
            if waiting_since.elapsed().as_secs() > EXIT_TIMEOUT_SECS {
                return Err("the process did not exit in time".to_owned());
            }
            task::sleep(Duration::from_millis(EXIT_POLL_INTERVAL_MS)).await;
        }
    }

    /// Cuts or heals a link in both directions, or in one with `oneway`.
    pub(super) fn edit_link(&mut self, step: &Step) -> Result<(), String> {
        let (from_name, to_name) = (step.arg(0)?, step.arg(1)?);
        let from = self.cluster.endpoints(from_name)?;
        let to = self.cluster.endpoints(to_name)?;
        let one_way = step.args.get(2).is_some_and(|arg| arg == "oneway");
        let forward = LinkRule { from: from.clone(), to: to.clone(), effect: LinkEffect::Cut };
        let backward = LinkRule { from: to, to: from, effect: LinkEffect::Cut };
        for rule in [forward, backward].into_iter().take(if one_way { 1 } else { 2 }) {
            match step.verb.as_str() {
                "cut" => self.cluster.relay.add(rule),
                _ => self.cluster.relay.remove(&rule),
            }
        }
        Ok(())
    }

    pub(super) fn set_table_mode(&mut self, step: &Step) -> Result<(), String> {
        let mode = match step.arg(0)? {
            "up" => StoreMode::Up,
            "down" => StoreMode::Down,
            "slow" => StoreMode::Slow { delay_ms: step.number("delay_ms", 500)? },
            "lose-answers" => StoreMode::DropsResponses { count: step.number("count", 1)? },
            other => return Err(format!("unknown table mode `{other}`")),
        };
        self.cluster.platform.set_table_mode(STATE_TABLE, mode);
        Ok(())
    }

    /// Marks a target as leaving: by its own report, or in the list of VMs with `by=list`.
    pub(super) async fn leave(&mut self, step: &Step) -> Result<(), String> {
        let target = self.cluster.member(step.arg(0)?)?;
        self.leaving_targets.push((target.direct_addr().to_string(), unix_time_ms()));
        match step.option("by") {
            Some("list") => self.cluster.platform.mark_leaving(target.addr()),
            // Recorded for the checker only; neither the target nor the list of VMs reports it.
            Some("record") => {}
            _ => self.control(target.direct_addr(), &json!({ "do": "leave" })).await?,
        }
        Ok(())
    }

    pub(super) async fn set_target_mode(&mut self, step: &Step) -> Result<(), String> {
        let target = self.cluster.member(step.arg(0)?)?.direct_addr();
        let mode = step.arg(1)?.replace('-', "_");
        self.control(target, &json!({ "do": "mode", "mode": mode })).await
    }

    pub(super) async fn add(&mut self, step: &Step) -> Result<(), String> {
        let kind = match step.arg(0)? {
            "entry" => ProcessKind::Entry,
            "dispatch" => ProcessKind::Dispatch,
            "target" => ProcessKind::Target,
            other => return Err(format!("unknown kind of process `{other}`")),
        };
        self.cluster.add(kind, step.number("zone", 1)?, step.number("at", 9)?).await
    }

    pub(super) async fn control(
        &self,
        addr: std::net::SocketAddr,
        body: &Value,
    ) -> Result<(), String> {
        let body = body.to_string().into_bytes();
        let result = self.cluster.client.post(addr, "/control", body, CONTROL_TIMEOUT_MS).await;
        match result {
            Ok(reply) if reply.status.is_success() => Ok(()),
            Ok(reply) => Err(format!("status {}", reply.status)),
            Err(error) => Err(error.to_string()),
        }
    }
}
