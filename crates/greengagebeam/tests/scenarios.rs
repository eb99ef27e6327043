//! Runs every scenario under `tests/scenarios`, one file a scenario.
//!
//! The language is described in `docs/scenarios.md`.

mod harness;

use std::path::Path;

datatest_stable::harness! {
    { test = run, root = "tests/scenarios", pattern = r".*\.scn$" },
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    harness::run_scenario(path).map_err(Into::into)
}
