//! Stand-ins (test doubles) for the platform and its targets, and a relay that injects network
//! faults.
//!
//! # Overview
//!
//! They replace the systems that greengagebeam depends on in tests, in measurements with
//! `ggb-load` and in the demo.
//!
//! * [`StoreStandin`] serves the HTTP API of the platform's store; [`StoreMode`] selects
//!   the faults that it injects.
//! * [`RunTargetStandin`] serves the run API of the platform's targets (`/v1/run-start`,
//!   `/v1/run-stop`, `/v1/hold`) on a [`SimulatedTarget`], which simulates a target without I/O.
//! * [`TargetStandin`] serves the task API of targets (`/v1/tasks`), waits for the run time
//!   of each task and logs what it starts.
//! * [`Relay`] forwards traffic to processes, and cuts, delays or resets it
//!   according to [`LinkRule`]s.

mod relay;
mod run_target;
mod simulated_target;
mod store;
mod target;
mod target_log;
mod vm_list;

pub use crate::{
    relay::{Endpoints, LinkEffect, LinkRule, Relay},
    run_target::{RunSpec, RunTargetStandin},
    simulated_target::{RunRecord, SimulatedTarget, SimulatedTargetMode, SimulatedWork},
    store::{StoreMode, StoreStandin},
    target::{TargetMode, TargetOptions, TargetStandin, TaskPayload},
    target_log::{LogKind, LogLine, read_log},
    vm_list::vm_row,
};
