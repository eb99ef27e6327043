//! Schedules the tasks of jobs on targets with capacity vectors, as logic without I/O.
//!
//! # Overview
//!
//! A [`Dispatcher`] is the only owner of the targets of one availability zone. Its process
//! reports events through its methods, passing the current time to each, and executes the
//! [`Action`]s that it requests. The dispatcher decides
//!
//! * whether a job is admitted, queued or refused, see [`Dispatcher::submit`];
//! * on which target each task runs, and in which order waiting tasks start;
//! * when a run has ended, which only a listing of its target or the end of the target's lease
//!   can show, see [`Target`];
//! * which targets get no work because they are unhealthy;
//! * which tasks are not started again since targets crashed under them, see [`TargetLosses`].
//!
//! [`RoutedJob`] tracks what each dispatcher of a job must be told about the dispatchers before it.
//! [`RunTimes`] estimates the run times of tasks per queue, and [`TargetSpeed`] measures by which factor
//! they differ between targets.

mod capacity;
mod dispatcher;
mod estimate;
mod job;
mod lease;
mod listing;
mod routed_job;
mod target;
mod target_clock;
mod target_info;
mod target_loss;
mod target_run;
mod target_speed;

pub use crate::{
    capacity::Capacity,
    dispatcher::{
        Action, Dispatcher, ListingRequest, Load, PartOutcome, RequestId, SpeedSummary,
        StartOutcome,
    },
    estimate::RunTimes,
    job::{
        BatchJob, Claim, ClaimId, EarlierRuns, JobAnswer, JobId, MAX_TASKS_PER_JOB, QueueRules,
        RefusalReason, Run, RunEnd, StepSpec, Submission, TaskId,
    },
    lease::{CALLER_EXPIRY_MS, LEASE_EXPIRY_MS, MAX_LEASE_MS},
    listing::{ListedEnd, ListedRun, Listing},
    routed_job::RoutedJob,
    target::{START_REQUEST_VALIDITY_MS, Target},
    target_info::TargetInfo,
    target_loss::{LossCause, LossCount, StartRule, TargetLoss, TargetLosses},
    target_run::{Confirmation, EndedRun, RunPhase, TargetRun},
    target_speed::TargetSpeed,
};
