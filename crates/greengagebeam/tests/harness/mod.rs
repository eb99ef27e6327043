//! Runs scenarios against real processes, with faults injected from outside.

mod caller;
mod checker;
mod faults;
mod language;
mod naive;
mod process;
mod profiles;
mod steps;
mod world;

use std::{
    fs,
    path::Path,
    sync::{Condvar, Mutex, PoisonError},
};

use self::{language::Script, steps::Runner};

/// How many scenarios run at once.
const WORLDS_AT_ONCE: usize = 8;

static WORLDS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Runs one scenario and checks what must always hold.
pub fn run_scenario(path: &Path) -> Result<(), String> {
    let text = fs::read_to_string(path).map_err(|error| error.to_string())?;
    let script = Script::parse(&text)?;
    let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned());
    let _turn = Turn::take();
    async_std::task::block_on(async {
        let mut runner = Runner::start(name.unwrap_or_default(), &script).await?;
        runner.run(&script).await
    })
}

/// The right to run one world.
struct Turn;

impl Turn {
    fn take() -> Self {
        let (running, changed) = &WORLDS;
        let mut count = running.lock().unwrap_or_else(PoisonError::into_inner);
        while *count >= WORLDS_AT_ONCE {
            count = changed.wait(count).unwrap_or_else(PoisonError::into_inner);
        }
        *count += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let (running, changed) = &WORLDS;
        *running.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        changed.notify_one();
    }
}
