//! The process that runs on each entry VM of a deployment on the platform.
//!
//! # Overview
//!
//! Every process accepts jobs from callers. In each availability zone one process is the owner of
//! the zone's targets and dispatches the jobs of all processes there:
//!
//! * [`NodeProcess`] is the running process.
//! * `callers` serves callers and routes their jobs to the owner.
//! * `owner` drives a [`ggb_placement::Dispatcher`]: it sends start and stop requests to targets
//!   and polls their listings.
//! * `lending` offloads parts of jobs to the owners of other zones.
//! * `peers` exchanges heartbeats with the other processes and updates the ownership.
//! * `peer_api` is the HTTP interface between the processes.
//! * `directory` and `configuration` follow two tables of the platform's store (`watched_table`).

mod callers;
mod configuration;
mod directory;
mod evacuation;
mod lending;
mod listing_polls;
mod metrics;
mod open_requests;
mod owner;
mod peer_api;
mod peers;
mod process;
mod settings_file;
mod shared;
mod watched_table;
mod zone_route;

pub use crate::{
    metrics::NodeMetrics,
    process::{BindError, NodeListeners, NodeProcess},
    settings_file::{UnusableSettings, read_settings},
};
