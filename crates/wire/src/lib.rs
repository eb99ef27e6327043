//! Messages between the processes of greengagebeam.
//!
//! # Overview
//!
//! [`v1`] holds what `ggb-wire-gen` generates from `proto/greengagebeam.proto`; it
//! is committed, so that a build needs no generator. The conversions here lead
//! from and to the types of [`ggb_model`]; what a peer sends is checked on the way.

mod convert;

/// Generated from `proto/greengagebeam.proto`.
#[allow(missing_docs, clippy::all, unused_qualifications)]
#[rustfmt::skip]
pub mod v1 {
    include!("generated/greengagebeam.v1.rs");
}

pub use crate::convert::{WireError, addr_from, addrs_from, home_from, priority_from};
