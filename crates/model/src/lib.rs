//! Identifiers, profiles, jobs and outcomes of the greengagebeam dispatcher.
//!
//! # Overview
//!
//! This crate depends on no other crate of the workspace. It defines the types that
//! all processes share:
//!
//! * [`SessionId`], [`SubmissionId`] and [`HomeId`] identify a submission and the only
//!   process that may start its tasks.
//! * [`Profile`] sets the priority, quotas and time limits of a class of jobs.
//! * [`JobSpec`] is a job as a caller submits it, and [`Outcome`] is the result it receives.
//! * [`claim_token`] derives the fencing token under which a VM controls the targets of its zone.
//! * [`Peer`] and [`Step`] say with which process and in which step an error occurred.
//!
//! # Example
//!
//! ```
//! use ggb_model::{Incarnation, HomeId, SessionId};
//!
//! let home = HomeId::new("127.0.0.1:7101".parse().unwrap(), Incarnation(7));
//! let session = SessionId { home, number: 1, secret: 99 };
//! assert_eq!(session.to_string().parse::<SessionId>().unwrap(), session);
//! ```

mod error;
mod fencing;
mod id;
mod job;
mod outcome;
mod profile;

pub use crate::{
    error::{Peer, Step, ValidationError},
    fencing::{advance_token, claim_token, token_after_restarts},
    id::{AttemptId, HomeId, Incarnation, Sequence, SessionId, SubmissionId, TaskIndex, Zone},
    job::{JobSpec, MAX_TASKS_PER_JOB, Payload, TaskShape, TaskSpec},
    outcome::{
        Outcome, OutcomeKind, Refusal, RefusalReason, TaskAnswer, TaskFailure, TaskFault,
        UnknownReason,
    },
    profile::{Priority, Profile, ProfileName, Settings, TeamName},
};
