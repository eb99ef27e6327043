//! Verbs of operators: profiles, races and what is in force.

use std::time::Instant;

use ggb_config::{Change, ChangeContext, Generation};
use ggb_model::{Profile, Settings};
use ggb_platform::ChangeError;
use serde_json::json;

use super::{
    checker::InForce,
    language::Step,
    steps::{Runner, unix_ms},
    world::Kind,
};

impl Runner {
    pub(super) async fn create_profile(&mut self, step: &Step) -> Result<(), String> {
        let settings = edited(Settings::default(), step)?;
        let name = step.word(0)?.parse().map_err(|error| format!("{error}"))?;
        let profile = Profile::try_new(name, settings).map_err(|error| error.to_string())?;
        let generation = self.commit(Change::Create(profile)).await?;
        self.in_force_everywhere(generation).await
    }

    pub(super) async fn change_profile(&mut self, step: &Step) -> Result<(), String> {
        let snapshot = self.world.store.snapshot().await.map_err(|error| error.to_string())?;
        let snapshot = snapshot.map_err(|error| error.to_string())?;
        let name = step.word(0)?.parse().map_err(|error| format!("{error}"))?;
        let stored = snapshot.find(&name).ok_or("no such profile")?;
        let base = snapshot.changed_in(&name).unwrap_or_default();
        let change = match step.verb.as_str() {
            "retire" => Change::Retire { name, base },
            _ => Change::Replace { settings: edited(stored.settings().clone(), step)?, name, base },
        };
        self.commit(change).await.map(drop)
    }

    /// Lets operators change the same profile at once: one must win, the others must conflict.
    pub(super) async fn race(&mut self, step: &Step) -> Result<(), String> {
        let snapshot = self.world.store.snapshot().await.map_err(|error| error.to_string())?;
        let snapshot = snapshot.map_err(|error| error.to_string())?;
        let name: ggb_model::ProfileName =
            step.word(0)?.parse().map_err(|error| format!("{error}"))?;
        let stored = snapshot.find(&name).ok_or("no such profile")?;
        let base = snapshot.changed_in(&name).unwrap_or_default();
        let racers: u32 = step.number("operators", 2)?;
        let changes = (0..racers).map(|at| {
            let settings = Settings { start_within_ms: 1_000 + at, ..stored.settings().clone() };
            let change = Change::Replace { name: name.clone(), settings, base };
            let store = self.world.store.clone();
            async move { store.change(change, &context()).await }
        });
        let results = futures::future::join_all(changes).await;
        let won = results.iter().filter(|result| result.is_ok()).count();
        let lost = |result: &&Result<Generation, ChangeError>| {
            matches!(result, Err(ChangeError::Conflict(_)))
        };
        let conflicts = results.iter().filter(lost).count();
        match (won, conflicts) == (1, racers as usize - 1) {
            true => Ok(()),
            false => Err(format!("expected one winner, got {results:?}")),
        }
    }

    pub(super) async fn commit(&self, change: Change) -> Result<Generation, String> {
        self.world.store.change(change, &context()).await.map_err(|error| error.to_string())
    }

    /// Waits until the newest generation is in force at the named processes.
    pub(super) async fn await_in_force(&mut self, step: &Step) -> Result<(), String> {
        let head = self.world.store.head_generation().await.map_err(|error| error.to_string())?;
        let generation = head.unwrap_or_default();
        match step.words.as_slice() {
            [] => self.in_force_everywhere(generation).await,
            names => self.in_force_at(generation, names).await,
        }
    }

    pub(super) async fn in_force_everywhere(
        &mut self,
        generation: Generation,
    ) -> Result<(), String> {
        let names: Vec<_> = self.world.of_kind(Kind::Entry).map(|m| m.name.clone()).collect();
        self.in_force_at(generation, &names).await
    }

    pub(super) async fn in_force_at(
        &mut self,
        generation: Generation,
        names: &[String],
    ) -> Result<(), String> {
        let committed = Instant::now();
        for name in names {
            let what = format!("generation {generation} is in force at {name}");
            let world = &self.world;
            world
                .until(&what, async || {
                    let status = world.status(name).await.unwrap_or_default();
                    status["details"]["generation"].as_u64() >= Some(generation.0)
                })
                .await?;
            let after_ms = committed.elapsed().as_millis() as u64;
            self.in_force.push(InForce { process: name.clone(), after_ms });
        }
        Ok(())
    }
}

fn context() -> ChangeContext {
    ChangeContext::new("scenario", format!("{:032x}", rand::random::<u128>()), unix_ms())
}

fn edited(settings: Settings, step: &Step) -> Result<Settings, String> {
    let mut value = serde_json::to_value(settings).map_err(|error| error.to_string())?;
    for (field, text) in step.options() {
        value[field] = serde_json::from_str(text).unwrap_or_else(|_| json!(text));
    }
    serde_json::from_value(value).map_err(|error| error.to_string())
}
