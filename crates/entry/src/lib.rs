//! The entry process: home of sessions and caller side.
//!
//! # Overview
//!
//! Callers open a session at any entry process, which becomes the session's
//! *home*: the only process that may ever start work of it. Every other entry
//! process forwards to the home, and says "unknown" where the home can't be asked.
//!
//! A home splits each job among the dispatchers of the availability zones, sends
//! a task to a target for each slot lease that it is granted, and keeps the answer
//! until the caller acknowledges it.
//!
//! [`Entry::spawn`] returns a running process. What may be started is decided by
//! [`ggb_session`]; this crate carries the decisions over the network.

mod api;
mod drain;
mod execution;
mod home;
mod job;
mod link;
mod links;
mod moved;
mod peers;
mod placement;
mod process;
mod reports;
mod router;
mod rpc;
mod settings;

pub use crate::{
    process::{Entry, SpawnError},
    settings::{EntrySettings, Placer},
};
