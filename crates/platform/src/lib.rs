//! Clients of the platform: profiles, claims, the list of VMs, and targets.
//!
//! # Overview
//!
//! Each external system is behind a trait with one implementation. Rows are read and written
//! through the platform's client, `ggb_adapter::Store`.
//!
//! * [`Table`] reads rows and commits transactions; [`StoreTable`] implements it.
//! * [`VmList`] reads the list of VMs; [`StoreVmList`] implements it.
//! * [`TargetApi`] starts and cancels tasks; [`HttpTargetApi`] implements it.
//! * [`ProfileStore`] commits changes of profiles, and finds out whether a commit without an answer
//!   was applied.
//! * [`ClaimStore`] claims business keys, and finds out whether a claim without an answer was
//!   committed.

mod claims;
mod error;
mod profiles;
mod table;
mod targets;
mod vms;

pub use crate::{
    claims::{ClaimResult, ClaimStore},
    error::PlatformError,
    profiles::{ChangeError, ProfileStore},
    table::{Commit, STATE_TABLE, StoreTable, Table},
    targets::{
        AttemptOutcome, CancelRequest, Denial, HttpTargetApi, StartError, StartReply, StartRequest,
        TargetApi, TargetStatus,
    },
    vms::{StoreVmList, VMS_TABLE, VmFilter, VmList, VmListing},
};
