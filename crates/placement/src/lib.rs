//! Places tasks of jobs on targets with capacity vectors, as logic without I/O.
//!
//! # Overview
//!
//! A [`Dispatcher`] has the targets of one availability zone to itself. It is told what
//! happens by its methods, each with the time as an argument, and says what to do by
//! [`Action`]s. It decides
//!
//! * whether a job is admitted, queued or refused, see [`Dispatcher::submit`];
//! * on which target each task runs, and in which order waiting tasks start;
//! * when a run counts as ended: only a listing of its target, or the end of its lease,
//!   says so, see [`Target`];
//! * which targets to keep work away from.
//!
//! [`Offer`] says what the next dispatcher of a job is told of the one before.
//! [`RunTimes`] learns how long tasks of each queue run.

mod capacity;
mod dispatcher;
mod estimate;
mod job;
mod listing;
mod offer;
mod target;
mod target_info;

pub use crate::{
    capacity::Capacity,
    dispatcher::{Action, Dispatcher, LENT_GONE_MS, LentOutcome, Load, StartOutcome, Ticket},
    estimate::RunTimes,
    job::{
        BatchJob, EarlierRuns, JobAnswer, JobId, MAX_TASKS_PER_JOB, QueueRules, RefusalReason, Run,
        RunEnd, StepSpec, Submission, TaskId,
    },
    listing::{ListedEnd, ListedRun, Listing},
    offer::Offer,
    target::{EndedRun, LEASE_GONE_MS, LEASE_MS, RunPhase, START_VALID_MS, Target, TargetRun},
    target_info::TargetInfo,
};
