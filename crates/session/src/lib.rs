//! Sessions with one home, and the progress of their jobs, as pure logic.
//!
//! # Overview
//!
//! At-most-once start holds by construction: a [`SessionId`](ggb_model::SessionId)
//! names the one process, its *home*, that may start work of the session.
//!
//! * [`SessionTable`] is what the home keeps. It decides whether a submission is
//!   new, running, finished, acknowledged or in conflict with an earlier one.
//! * [`SealedTable`] is what remains of a table after its home has drained. It can
//!   answer but it can't start anything, so that copies of it are harmless.
//! * [`JobProgress`] follows the tasks of one job and decides its outcome.
//!
//! Nothing here does I/O; time is an argument.
//!
//! # Example
//!
//! ```
//! use ggb_model::{HomeId, Incarnation, Sequence};
//! use ggb_session::{Limits, SessionTable, Verdict};
//!
//! let home = HomeId::new("127.0.0.1:7101".parse().unwrap(), Incarnation(1));
//! let mut table = SessionTable::new(home, Limits::default());
//! let session = table.open(42, 0).unwrap();
//! let body = b"{}";
//! assert!(matches!(table.submit(&session, Sequence(0), body, 1), Verdict::New));
//! assert!(matches!(table.submit(&session, Sequence(0), body, 2), Verdict::Running));
//! ```

mod asked;
mod entry;
mod progress;
mod sealed;
mod table;

pub use crate::{
    asked::Asked,
    entry::{Answer, Fingerprint},
    progress::{JobProgress, Placement},
    sealed::SealedTable,
    table::{CancelVerdict, Limits, Lookup, SessionTable, Verdict},
};
