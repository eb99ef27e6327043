//! The process that runs on each entry VM of a deployment on the users' platform.
//!
//! # Overview
//!
//! Every process takes requests of callers. In each availability zone one of them is the
//! owner of the zone's targets and dispatches for all of them:
//!
//! * [`NodeProcess`] is the running process.
//! * `callers` answers callers and passes jobs on to the owner.
//! * `owner` drives a [`ggb_placement::Dispatcher`]: it sends orders to targets and asks
//!   them for listings.
//! * `lending` passes parts of jobs on to the owners of other zones.
//! * `peers` tells the other processes that this one lives, and hears them.
//! * `directory` and `configuration` follow the platform's store.

mod callers;
mod configuration;
mod directory;
mod lending;
mod metrics;
mod open_requests;
mod owner;
mod peer_api;
mod peers;
mod process;
mod settings_file;
mod shared;

pub use crate::{
    metrics::NodeMetrics,
    process::{NodeError, NodeListeners, NodeProcess},
};
