//! Queueing, admission, fair shares, placement and ejection as pure logic.
//!
//! # Overview
//!
//! A dispatcher owns the targets of its availability zone and grants *slot leases*
//! on them to homes. [`Scheduler`] makes every decision of that process:
//!
//! * [`Scheduler::offer`] admits a part of a job to the queue or refuses it.
//! * [`Scheduler::assign`] matches waiting tasks to free slots: urgent work first,
//!   teams by weighted fair share, short work before long work.
//! * [`Scheduler::release`] takes back a slot and learns from how the task ended.
//! * [`split`] divides a job among availability zones at its home.
//!
//! Nothing here does I/O; time and randomness are arguments.
//!
//! # Example
//!
//! ```
//! use ggb_policy::{split, ZoneLoad};
//!
//! let idle = ZoneLoad { slots: 32, free: 32, queued_tasks: 0, mean_run_ms: 100, latency_us: 0 };
//! let busy = ZoneLoad { free: 0, latency_us: 3_000, ..idle };
//! assert_eq!(split(10, &[idle, busy]), vec![10, 0]);
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
mod spill;
mod team;

pub use crate::{
    demand::{Admission, Demand, JobKey, StreamId, WorkClass, WorkKey},
    estimate::RunTimes,
    lease::{Grant, LeaseEnd, LeaseId},
    pool::{TargetPool, TargetSpec},
    retry::RetryBudget,
    scheduler::{HeldLease, Options, Released, Scheduler, SchedulerStats},
    spill::{ZoneLoad, split},
};
