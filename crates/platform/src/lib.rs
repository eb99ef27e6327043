//! What the system keeps on the platform, and its targets.
//!
//! # Overview
//!
//! Each outside system stands behind one narrow trait with one implementation. Rows are
//! read and written by the platform's client, `ggb_adapter::Store`.
//!
//! * [`Table`] reads rows and commits transactions; [`StoreTable`] implements it.
//! * [`VmList`] reads the list of VMs; [`StoreVmList`] implements it.
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
    table::{Commit, StoreTable, TABLE, Table},
    targets::{
        CancelRequest, Denial, HttpTargets, StartEnd, StartError, StartReply, StartRequest,
        TargetStatus, Targets,
    },
    vms::{StoreVmList, VMS_TABLE, VmFilter, VmList, VmListing},
};
