//! Sessions at their home, and the progress of their jobs, without I/O.
//!
//! # Overview
//!
//! Tasks start at most once because each [`SessionId`](ggb_model::SessionId) names the only
//! process, its *home*, that may start work of the session.
//!
//! * [`SessionTable`] is the state of the home. It decides whether a submission is
//!   new, running, finished, acknowledged or in conflict with an earlier one.
//! * [`SealedTable`] holds the answers of a home that has drained. It cannot start work,
//!   so it may be copied freely.
//! * [`JobProgress`] tracks the tasks of one job and decides its outcome.
//! * [`PlacementDemands`] tracks the demands of one job at the dispatchers.
//!
//! This crate performs no I/O: the time is an argument.
//!
//! # Example
//!
//! ```
//! use ggb_model::{HomeId, Incarnation, Sequence};
//! use ggb_session::{SessionLimits, SessionTable, SubmitDecision};
//!
//! let home = HomeId::new("127.0.0.1:7101".parse().unwrap(), Incarnation(1));
//! let mut table = SessionTable::new(home, SessionLimits::default());
//! let session = table.open(42, 0).unwrap();
//! let body = b"{}";
//! assert!(matches!(table.submit(&session, Sequence(0), body, 1), SubmitDecision::New));
//! assert!(matches!(table.submit(&session, Sequence(0), body, 2), SubmitDecision::Running));
//! ```

mod demands;
mod progress;
mod sealed;
mod session;
mod table;

pub use crate::{
    demands::PlacementDemands,
    progress::{JobProgress, TaskAttempt},
    sealed::SealedTable,
    session::{EncodedOutcome, Fingerprint},
    table::{CancelDecision, SessionLimits, SessionTable, SubmissionStatus, SubmitDecision},
};
