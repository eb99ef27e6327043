//! Verbs that change profiles and wait until changes are applied.

use std::time::Instant;

use ggb_config::{Change, ChangeContext, Generation};
use ggb_model::{Profile, Settings};
use ggb_platform::ChangeError;
use serde_json::json;

use super::{
    checker::ChangeDelay,
    cluster::ProcessKind,
    language::Step,
    steps::{ScenarioRunner, unix_time_ms},
};

impl ScenarioRunner {
    pub(super) async fn create_profile(&mut self, step: &Step) -> Result<(), String> {
        let settings = with_options(Settings::default(), step)?;
        let name = step.arg(0)?.parse().map_err(|error| format!("{error}"))?;
        let profile = Profile::try_new(name, settings).map_err(|error| error.to_string())?;
        let generation = self.commit(Change::Create(profile)).await?;
        self.wait_until_applied_everywhere(generation).await
    }

    pub(super) async fn change_profile(&mut self, step: &Step) -> Result<(), String> {
        let snapshot = self.cluster.store.snapshot().await.map_err(|error| error.to_string())?;
        let snapshot = snapshot.map_err(|error| error.to_string())?;
        let name = step.arg(0)?.parse().map_err(|error| format!("{error}"))?;
        let stored = snapshot.find(&name).ok_or("no such profile")?;
        let base = snapshot.changed_in(&name).unwrap_or_default();
        let change = match step.verb.as_str() {
            "retire" => Change::Retire { name, base_generation: base },
            _ => Change::Replace {
                settings: with_options(stored.settings().clone(), step)?,
                name,
                base_generation: base,
            },
        };
        self.commit(change).await.map(drop)
    }

    /// Makes operators change one profile concurrently; exactly one must succeed and the others
    /// must get a conflict.
    pub(super) async fn race(&mut self, step: &Step) -> Result<(), String> {
        let snapshot = self.cluster.store.snapshot().await.map_err(|error| error.to_string())?;
        let snapshot = snapshot.map_err(|error| error.to_string())?;
        let name: ggb_model::ProfileName =
            step.arg(0)?.parse().map_err(|error| format!("{error}"))?;
        let stored = snapshot.find(&name).ok_or("no such profile")?;
        let base = snapshot.changed_in(&name).unwrap_or_default();
        let operators: u32 = step.number("operators", 2)?;
        let changes = (0..operators).map(|index| {
            let settings = Settings { start_within_ms: 1_000 + index, ..stored.settings().clone() };
            let change = Change::Replace { name: name.clone(), settings, base_generation: base };
            let store = self.cluster.store.clone();
            async move { store.change(change, &change_context()).await }
        });
        let results = futures::future::join_all(changes).await;
        let success_count = results.iter().filter(|result| result.is_ok()).count();
        let is_conflict = |result: &&Result<Generation, ChangeError>| {
            matches!(result, Err(ChangeError::Conflict(_)))
        };
        let conflict_count = results.iter().filter(is_conflict).count();
        match (success_count, conflict_count) == (1, operators as usize - 1) {
            true => Ok(()),
            false => Err(format!("expected one success and otherwise conflicts, got {results:?}")),
        }
    }

    pub(super) async fn commit(&self, change: Change) -> Result<Generation, String> {
        self.cluster
            .store
            .change(change, &change_context())
            .await
            .map_err(|error| error.to_string())
    }

    /// Waits until the named processes, or all entry processes if none is named, have applied
    /// the newest generation.
    pub(super) async fn wait_until_applied(&mut self, step: &Step) -> Result<(), String> {
        let head = self.cluster.store.head_generation().await.map_err(|error| error.to_string())?;
        let generation = head.unwrap_or_default();
        match step.args.as_slice() {
            [] => self.wait_until_applied_everywhere(generation).await,
            names => self.wait_until_applied_at(generation, names).await,
        }
    }

    pub(super) async fn wait_until_applied_everywhere(
        &mut self,
        generation: Generation,
    ) -> Result<(), String> {
        let names: Vec<_> =
            self.cluster.members_of_kind(ProcessKind::Entry).map(|m| m.name.clone()).collect();
        self.wait_until_applied_at(generation, &names).await
    }

    pub(super) async fn wait_until_applied_at(
        &mut self,
        generation: Generation,
        names: &[String],
    ) -> Result<(), String> {
        let committed_at = Instant::now();
        for name in names {
            let description = format!("{name} has applied generation {generation}");
            let cluster = &self.cluster;
            cluster
                .wait_until(&description, async || {
                    let status = cluster.status(name).await.unwrap_or_default();
                    status["details"]["generation"].as_u64() >= Some(generation.0)
                })
                .await?;
            let delay_ms = committed_at.elapsed().as_millis() as u64;
            self.change_delays.push(ChangeDelay { process: name.clone(), delay_ms });
        }
        Ok(())
    }
}

fn change_context() -> ChangeContext {
    ChangeContext::new("scenario", format!("{:032x}", rand::random::<u128>()), unix_time_ms())
}

fn with_options(settings: Settings, step: &Step) -> Result<Settings, String> {
    let mut value = serde_json::to_value(settings).map_err(|error| error.to_string())?;
    for (field, text) in step.options() {
        value[field] = serde_json::from_str(text).unwrap_or_else(|_| json!(text));
    }
    serde_json::from_value(value).map_err(|error| error.to_string())
}
