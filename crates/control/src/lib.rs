//! Background tracking of cluster members and configuration, and channels to peers.
//!
//! # Overview
//!
//! * [`ChannelPool`] is a pool of gRPC channels to other processes, with connect and
//!   keep-alive timeouts.
//! * [`Members`] polls the platform's list of VMs and merges it with what this process learned
//!   itself: VMs that responded or reported that they are leaving.
//! * [`Configuration`] polls the platform's store and installs newer generations from peers.
//! * [`fetch_newer_state`] asks a peer for the state that is newer than this process's own.
//! * [`RpcListener`] binds the address at which peers reach this process.
//!
//! Members and configuration are updated in the background. A request reads an
//! immutable copy, which each update replaces as a whole.

mod channels;
mod clock;
mod configuration;
mod exchange;
mod listener;
mod members;

pub use crate::{
    channels::ChannelPool,
    clock::{MonotonicClock, unix_time_ms},
    configuration::{Configuration, ConfigurationSource},
    exchange::{LocalState, PeerUpdate, fetch_newer_state},
    listener::{ListenError, RpcListener},
    members::Members,
};
