//! Protobuf messages between the processes of greengagebeam, and their conversions.
//!
//! # Overview
//!
//! [`v1`] holds the types that `ggb-wire-gen` generates from `proto/greengagebeam.proto`.
//! The generated code is committed, so that a build doesn't run the generator. The
//! functions here convert between these types and those of [`ggb_model`], and fail for a
//! message with an invalid field.

mod convert;

/// Types and services generated from `proto/greengagebeam.proto`.
#[allow(missing_docs, clippy::all, unused_qualifications)]
#[rustfmt::skip]
pub mod v1 {
    include!("generated/greengagebeam.v1.rs");
}

pub use crate::convert::{WireError, decode_priority, parse_addr, parse_addrs, parse_home};
