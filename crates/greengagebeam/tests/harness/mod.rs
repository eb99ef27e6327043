//! Runs scenarios against real processes and injects faults from outside.

mod caller;
mod checker;
mod cluster;
mod faults;
mod language;
mod naive;
mod process;
mod profiles;
mod steps;

use std::{
    fs,
    path::Path,
    sync::{Condvar, Mutex, PoisonError},
};

use self::{language::Scenario, steps::ScenarioRunner};

/// Maximum number of scenarios that run concurrently.
const MAX_CONCURRENT_SCENARIOS: usize = 8;

static RUNNING_SCENARIOS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Runs one scenario and checks the invariants.
pub fn run_scenario(path: &Path) -> Result<(), String> {
    let text = fs::read_to_string(path).map_err(|error| error.to_string())?;
    let scenario = Scenario::parse(&text)?;
    let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned());
    let _permit = ScenarioPermit::acquire();
    async_std::task::block_on(async {
        let mut runner = ScenarioRunner::start(name.unwrap_or_default(), &scenario).await?;
        runner.run(&scenario).await
    })
}

/// Permit to run one scenario, released on drop.
struct ScenarioPermit;

impl ScenarioPermit {
    fn acquire() -> Self {
        let (running_count, count_changed) = &RUNNING_SCENARIOS;
        let mut count = running_count.lock().unwrap_or_else(PoisonError::into_inner);
        while *count >= MAX_CONCURRENT_SCENARIOS {
            count = count_changed.wait(count).unwrap_or_else(PoisonError::into_inner);
        }
        *count += 1;
        ScenarioPermit
    }
}

impl Drop for ScenarioPermit {
    fn drop(&mut self) {
        let (running_count, count_changed) = &RUNNING_SCENARIOS;
        *running_count.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        count_changed.notify_one();
    }
}
