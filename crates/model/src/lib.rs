//! Identifiers, profiles, jobs and outcomes of the greengagebeam dispatcher.
//!
//! # Overview
//!
//! Every other crate of the workspace depends on this one; it depends on none of
//! them. It holds the words that all processes share:
//!
//! * [`SessionId`], [`SubmissionId`] and [`HomeId`] name who may start work.
//! * [`Profile`] describes how a class of work is treated.
//! * [`JobSpec`] is what a caller submits, and [`Outcome`] is what it gets back.
//! * [`Peer`] and [`Step`] locate an error.
//!
//! # Example
//!
//! ```
//! use ggb_model::{Incarnation, HomeId, SessionId};
//!
//! let home = HomeId::new("127.0.0.1:7101".parse().unwrap(), Incarnation(7));
//! let session = SessionId { home, number: 1, key: 99 };
//! assert_eq!(session.to_string().parse::<SessionId>().unwrap(), session);
//! ```

mod error;
mod id;
mod job;
mod outcome;
mod profile;

pub use crate::{
    error::{ModelError, Peer, Step},
    id::{AttemptId, HomeId, Incarnation, Sequence, SessionId, SubmissionId, TaskIndex, Zone},
    job::{JobSpec, MAX_TASKS_PER_JOB, Payload, TaskShape, TaskSpec},
    outcome::{
        Outcome, OutcomeKind, Refusal, RefusalReason, TaskAnswer, TaskFailure, TaskFault,
        UnknownReason,
    },
    profile::{Priority, Profile, ProfileName, Settings, TeamName},
};
