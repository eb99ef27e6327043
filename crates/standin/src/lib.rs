//! Stand-ins for the platform and for targets, and a relay that injects network faults.
//!
//! # Overview
//!
//! None of this is part of the system; it takes the place of what the system talks
//! to, in tests, in the load tool and for a first try.
//!
//! * [`FleetStore`] and [`FleetTarget`] speak what the users' platform speaks;
//!   [`FleetStoreMode`] is how the store misbehaves.
//! * [`ModelTarget`] does what a target of the users' platform does, without I/O.
//! * [`TargetStandin`] runs tasks by waiting, and logs what it starts.
//! * [`Relay`] stands in front of processes and cuts or delays traffic by [`LinkRule`]s.

mod fleet_store;
mod fleet_target;
mod model_target;
mod relay;
mod target;
mod target_log;
mod vm_list;

pub use crate::{
    fleet_store::{FleetStore, FleetStoreMode},
    fleet_target::{FleetTarget, FleetWork},
    model_target::{ModelMode, ModelTarget, ModelWork, RunRecord},
    relay::{Endpoints, LinkEffect, LinkRule, Relay},
    target::{TargetMode, TargetOptions, TargetStandin, TaskPayload},
    target_log::{LogKind, LogLine, read_log},
    vm_list::vm_row,
};
