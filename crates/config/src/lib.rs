//! Profile store, generations and audit trail as pure logic.
//!
//! # Overview
//!
//! The platform's transactional table holds one *head* row with a generation that
//! only grows, one row for each profile, and one audit row for each change. All
//! three are written in one transaction.
//!
//! * [`Change`] is what an operator asks for; [`plan`] turns it into a
//!   [`Transaction`] or a [`Conflict`] that shows both sides.
//! * [`Snapshot`] is the configuration that a process has in force; it never goes
//!   back to a lower [`Generation`].
//! * [`AuditEntry`] says who changed what, when, from what and to what.
//!
//! # Example
//!
//! ```
//! use ggb_config::{Change, ChangeContext, Snapshot, plan};
//! use ggb_model::{Profile, Settings};
//!
//! let profile = Profile::try_new("bookings".parse().unwrap(), Settings::default()).unwrap();
//! let context = ChangeContext::new("ines", "change-1", 0);
//! let planned = plan(&[], Change::Create(profile), &context).unwrap();
//! assert_eq!(planned.generation.0, 1);
//! assert_eq!(planned.transaction.writes.len(), 3);
//! ```

mod audit;
mod change;
mod claim;
mod snapshot;
mod table;

pub use crate::{
    audit::{AUDIT_PREFIX, Action, AuditEntry, audit_key},
    change::{Change, ChangeContext, Conflict, Planned, plan},
    claim::{Claim, ClaimOutcome, claim_key},
    snapshot::{CONFIG_PREFIX, Generation, HEAD_KEY, Snapshot, SnapshotError},
    table::{Condition, Row, Transaction, Version, Write},
};
