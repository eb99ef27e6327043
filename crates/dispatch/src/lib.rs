//! The dispatcher process: grants slot leases on targets to homes.
//!
//! # Overview
//!
//! One dispatcher is active for each availability zone; others stand by behind it
//! in an order that every home works out alone. It keeps nothing that can't be
//! rebuilt: homes tell a new dispatcher what they hold, and targets deny what
//! would be too much.
//!
//! [`Dispatcher::spawn`] returns a running dispatcher. All decisions are made by
//! [`ggb_policy::Scheduler`]; this crate carries them over the network.

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
