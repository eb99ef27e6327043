//! The dispatcher process: grants slot leases on targets to homes.
//!
//! # Overview
//!
//! One dispatcher is active for each availability zone; others stand by, in the rendezvous
//! order that every home derives independently
//! ([`rank_by_rendezvous`](ggb_membership::rank_by_rendezvous)). A dispatcher stores no state
//! that cannot be rebuilt: homes report the leases that they hold to a new dispatcher, and
//! targets deny starts beyond their capacity.
//!
//! [`Dispatcher::spawn`] returns a running dispatcher. [`ggb_policy::Scheduler`] makes the
//! scheduling decisions; this crate connects it to the network.

mod batch;
mod core;
mod homes;
mod process;
mod service;
mod settings;
mod targets;

pub use crate::{
    process::{Dispatcher, SpawnError},
    settings::DispatchSettings,
};
