//! The entry process, which serves callers and is the home of their sessions.
//!
//! # Overview
//!
//! A caller may open a session at any entry process. That process becomes the
//! session's *home*: the only process that may ever start tasks of the session.
//! All other entry processes forward the session's requests to the home, and
//! answer with the outcome "unknown" while they can't reach it.
//!
//! A home splits each job among the dispatchers of the availability zones. For
//! each slot lease that a dispatcher grants, it sends one task to the target of the
//! lease. It keeps the answer of a job until the caller acknowledges it.
//!
//! [`EntryProcess::spawn`] returns a running process. [`ggb_session`] decides which tasks
//! may be started; this crate carries out these decisions over the network.

mod api;
mod dispatcher_links;
mod drain;
mod drained_homes;
mod execution;
mod home;
mod job;
mod link;
mod load_reports;
mod peers;
mod placement;
mod process;
mod router;
mod rpc;
mod settings;

pub use crate::{
    process::{EntryProcess, SpawnError},
    settings::{EntrySettings, PlacementPolicy},
};
