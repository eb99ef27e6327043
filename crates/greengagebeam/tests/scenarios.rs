//! Runs the scenarios under `tests/scenarios`, one in each file.
//!
//! `docs/scenarios.md` describes the scenario language.

mod harness;

use std::path::Path;

datatest_stable::harness! {
    { test = run, root = "tests/scenarios", pattern = r".*\.scn$" },
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    harness::run_scenario(path).map_err(Into::into)
}
