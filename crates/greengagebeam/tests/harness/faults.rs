//! Verbs that inject faults: signals, cuts, the platform and targets.

use std::time::{Duration, Instant};

use async_std::task;
use ggb_platform::{TABLE, VMS_TABLE};
use ggb_standin::{FleetStoreMode, LinkEffect, LinkRule};
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::{
    language::Step,
    steps::{Runner, unix_ms},
    world::Kind,
};

const CONTROL_TIMEOUT_MS: u64 = 2_000;
const EXIT_POLL_MS: u64 = 20;
const EXIT_LIMIT_SECS: u64 = 60;

impl Runner {
    pub(super) fn kill(&mut self, step: &Step) -> Result<(), String> {
        self.world.member_mut(step.word(0)?)?.process.kill();
        Ok(())
    }

    pub(super) fn set_list(&mut self, step: &Step) -> Result<(), String> {
        let mode = match step.word(0)? {
            "down" => FleetStoreMode::Down,
            _ => FleetStoreMode::Up,
        };
        self.world.platform.set_table_mode(VMS_TABLE, mode);
        Ok(())
    }

    pub(super) fn change_list(&mut self, step: &Step) -> Result<(), String> {
        let member = self.world.member(step.word(0)?)?;
        match step.verb.as_str() {
            "unlist" => self.world.platform.unlist_vm(member.addr()),
            _ => self.world.platform.list_vm(self.world.vm(member)),
        }
        Ok(())
    }

    pub(super) fn drain(&mut self, step: &Step) -> Result<(), String> {
        let name = step.word(0)?;
        let open = self.pending.iter().filter(|pending| pending.via == name);
        let open = open.filter(|pending| pending.seen().is_none());
        let open: Vec<_> = open.map(|p| (p.via.clone(), p.submission.clone())).collect();
        self.during_drain.extend(open);
        match step.option("naive") {
            Some(_) => self.kill(step),
            None => self.world.member(name)?.process.signal(Signal::SIGTERM),
        }
    }

    pub(super) async fn await_exit(&mut self, step: &Step) -> Result<(), String> {
        let member = Mutex::new(self.world.member_mut(step.word(0)?)?);
        let limit = Instant::now();
        loop {
            if let Some(code) = member.lock().process.exited() {
                return match code {
                    0 => Ok(()),
                    _ => Err(format!("exit code {code}")),
                };
            }
            if limit.elapsed().as_secs() > EXIT_LIMIT_SECS {
                return Err("it does not exit".to_owned());
            }
            task::sleep(Duration::from_millis(EXIT_POLL_MS)).await;
        }
    }

    /// Cuts or heals a link; `oneway` for one direction only.
    pub(super) fn change_link(&mut self, step: &Step) -> Result<(), String> {
        let (one, two) = (step.word(0)?, step.word(1)?);
        let from = self.world.endpoints(one)?;
        let to = self.world.endpoints(two)?;
        let oneway = step.words.get(2).is_some_and(|word| word == "oneway");
        let forth = LinkRule { from: from.clone(), to: to.clone(), effect: LinkEffect::Cut };
        let back = LinkRule { from: to, to: from, effect: LinkEffect::Cut };
        for rule in [forth, back].into_iter().take(if oneway { 1 } else { 2 }) {
            match step.verb.as_str() {
                "cut" => self.world.relay.add(rule),
                _ => self.world.relay.remove(&rule),
            }
        }
        Ok(())
    }

    pub(super) fn set_table(&mut self, step: &Step) -> Result<(), String> {
        let mode = match step.word(0)? {
            "up" => FleetStoreMode::Up,
            "down" => FleetStoreMode::Down,
            "slow" => FleetStoreMode::Slow { delay_ms: step.number("delay_ms", 500)? },
            "lose-answers" => FleetStoreMode::LosesAnswers { count: step.number("count", 1)? },
            other => return Err(format!("no table fault `{other}`")),
        };
        self.world.platform.set_table_mode(TABLE, mode);
        Ok(())
    }

    /// Lets a target leave: it says so itself, or only the list does.
    pub(super) async fn leave(&mut self, step: &Step) -> Result<(), String> {
        let target = self.world.member(step.word(0)?)?;
        self.leaving.push((target.private_addr().to_string(), unix_ms()));
        match step.option("by") {
            Some("list") => self.world.platform.mark_leaving(target.addr()),
            // Only the record says so; for scenarios in which nobody acts on it.
            Some("record") => {}
            _ => self.control(target.private_addr(), &json!({ "do": "leave" })).await?,
        }
        Ok(())
    }

    pub(super) async fn set_mode(&mut self, step: &Step) -> Result<(), String> {
        let target = self.world.member(step.word(0)?)?.private_addr();
        let mode = step.word(1)?.replace('-', "_");
        self.control(target, &json!({ "do": "mode", "mode": mode })).await
    }

    pub(super) async fn add(&mut self, step: &Step) -> Result<(), String> {
        let kind = match step.word(0)? {
            "entry" => Kind::Entry,
            "dispatch" => Kind::Dispatch,
            "target" => Kind::Target,
            other => return Err(format!("no kind `{other}`")),
        };
        self.world.add(kind, step.number("zone", 1)?, step.number("at", 9)?).await
    }

    pub(super) async fn control(
        &self,
        addr: std::net::SocketAddr,
        body: &Value,
    ) -> Result<(), String> {
        let body = body.to_string().into_bytes();
        let sent = self.world.client.post(addr, "/control", body, CONTROL_TIMEOUT_MS).await;
        match sent {
            Ok(reply) if reply.status.is_success() => Ok(()),
            Ok(reply) => Err(format!("status {}", reply.status)),
            Err(error) => Err(error.to_string()),
        }
    }
}
