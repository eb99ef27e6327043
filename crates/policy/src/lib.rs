//! Queueing, admission, fair sharing, placement and outlier ejection, without I/O.
//!
//! # Overview
//!
//! A dispatcher owns the targets of its availability zone and grants *slot leases*
//! on them to homes. [`Scheduler`] makes all its scheduling decisions:
//!
//! * [`Scheduler::admit`] admits a part of a job to the queue or refuses it.
//! * [`Scheduler::assign`] assigns queued tasks to free slots: urgent work first,
//!   teams by weighted fair share, short work before long work.
//! * [`Scheduler::release`] frees a slot and records the end of the task.
//! * [`split_across_zones`] splits a job across availability zones at its home.
//!
//! This crate performs no I/O: the time and the random number generator are arguments.
//!
//! # Example
//!
//! ```
//! use ggb_policy::{ZoneLoad, split_across_zones};
//!
//! let idle = ZoneLoad {
//!     total_slots: 32,
//!     free_slots: 32,
//!     queued_tasks: 0,
//!     mean_run_ms: 100,
//!     latency_us: 0,
//! };
//! let busy = ZoneLoad { free_slots: 0, latency_us: 3_000, ..idle };
//! assert_eq!(split_across_zones(10, &[idle, busy]), vec![10, 0]);
//! ```

mod demand;
mod estimate;
mod health;
mod lease;
mod pool;
mod queue;
mod reserve;
mod retry;
mod scheduler;
mod team;
mod zone_split;

pub use crate::{
    demand::{Admission, Demand, PartKey, StreamId, WorkClass, WorkloadKey},
    estimate::RunTimeEstimator,
    lease::{Grant, LeaseEnd, LeaseId},
    pool::{TargetPool, TargetSpec},
    retry::RetryBudget,
    scheduler::{AdoptedLease, ReleaseOutcome, Scheduler, SchedulerOptions, SchedulerStats},
    zone_split::{ZoneLoad, split_across_zones},
};
