//! Keeps members and configuration current, from the platform and from peers.
//!
//! # Overview
//!
//! * [`Channels`] keeps a channel to each peer, with deadlines.
//! * [`Members`] polls the platform's list of VMs and merges what is seen at first hand.
//! * [`Configuration`] polls the platform's table and takes newer generations from peers.
//! * [`RpcListener`] binds the address on which peers reach this process.
//!
//! Nothing here is on the path of a request: readers see an immutable copy that is
//! replaced as a whole.

mod channels;
mod clock;
mod configuration;
mod exchange;
mod listener;
mod members;

pub use crate::{
    channels::Channels,
    clock::{Clock, unix_ms},
    configuration::{Configuration, ConfigurationSource},
    exchange::{LocalState, PeerUpdate, exchange_state},
    listener::{ListenError, RpcListener},
    members::Members,
};
