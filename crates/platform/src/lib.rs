//! Clients for what the platform gives: the table service, the list of VMs and targets.
//!
//! # Overview
//!
//! Each outside system stands behind one narrow trait with one implementation over
//! HTTP; `docs/assumed-protocols.md` writes down what is assumed of it. To meet a
//! different protocol, this library is the only one to change.
//!
//! * [`Table`] reads rows and commits transactions; [`HttpTable`] implements it.
//! * [`VmList`] reads the list of VMs; [`HttpVmList`] implements it.
//! * [`Targets`] starts and cancels tasks; [`HttpTargets`] implements it.
//! * [`ProfileStore`] commits changes of profiles, and settles lost answers.
//! * [`ClaimStore`] claims business keys, and settles lost answers.

mod claims;
mod error;
mod profiles;
mod table;
mod targets;
mod vms;

pub use crate::{
    claims::{ClaimStore, Claimed},
    error::PlatformError,
    profiles::{ChangeError, ProfileStore},
    table::{Commit, HttpTable, ReadRequest, Table},
    targets::{
        CancelRequest, Denial, HttpTargets, StartEnd, StartError, StartReply, StartRequest,
        TargetStatus, Targets,
    },
    vms::{HttpVmList, ListRequest, VmFilter, VmList, VmListing},
};
