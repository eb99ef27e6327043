//! Versioned configuration of profiles, its audit trail, and claims of business keys.
//!
//! This crate does no I/O: it plans transactions, which `ggb-platform` commits.
//!
//! # Overview
//!
//! The platform's transactional table holds one *head* row with the current
//! generation, one row for each profile, and one audit row for each change. A change
//! writes all three in one transaction and increments the generation.
//!
//! * [`Change`] is a request of an operator. [`plan_change`] returns a [`PlannedChange`] with its
//!   [`Transaction`], or a [`PlanError`] that says why it can't be applied.
//! * [`Snapshot`] is all profiles at one [`Generation`]. A process never replaces its
//!   snapshot by one of a lower generation.
//! * [`AuditEntry`] records the operator, the time, and the profile before and after a change.
//! * [`Claim`] reserves a business key for one submission.
//!
//! # Example
//!
//! ```
//! use ggb_config::{Change, ChangeContext, Snapshot, plan_change};
//! use ggb_model::{Profile, Settings};
//!
//! let profile = Profile::try_new("bookings".parse().unwrap(), Settings::default()).unwrap();
//! let context = ChangeContext::new("ines", "change-1", 0);
//! let planned = plan_change(&[], Change::Create(profile), &context).unwrap();
//! assert_eq!(planned.generation.0, 1);
//! assert_eq!(planned.transaction.writes.len(), 3);
//! ```

mod audit;
mod change;
mod claim;
mod snapshot;
mod table;

pub use crate::{
    audit::{AUDIT_PREFIX, AuditEntry, ChangeKind, audit_key},
    change::{Change, ChangeContext, PlanError, PlannedChange, plan_change},
    claim::{Claim, ClaimOutcome, claim_key},
    snapshot::{CONFIG_PREFIX, Generation, HEAD_KEY, Snapshot, SnapshotError},
    table::{Condition, Row, Transaction, Version, Write},
};
