//! Load generator: submits open-loop workloads to a deployment and reports response times.
//!
//! # Overview
//!
//! * [`Deployment`] describes the processes to measure; `bench/up` writes it.
//! * [`Workload`] is a named schedule of jobs that a seed determines, see
//!   [`Workload::by_name`].
//! * [`run`] submits the jobs of a workload at their scheduled times, independently of
//!   earlier responses (open loop), and returns [`Results`]. A job's response time counts
//!   from its scheduled time, so that a stall of the load generator is included.
//! * [`render_report`] formats results as Markdown, [`draw_timeline`] plots them as SVG.
//! * [`measure_sessions`] and [`measure_scheduler`] measure the memory of a session and the
//!   CPU time of a task start, for capacity planning.

mod caller;
mod collect;
mod costs;
mod deployment;
mod error;
mod plot;
mod report;
mod results;
mod runner;
mod workload;

pub use crate::{
    costs::{SchedulerCost, SessionCost, measure_scheduler, measure_sessions},
    deployment::{Deployment, DispatcherAddrs, EntryAddrs, ProcessInfo},
    error::LoadError,
    plot::draw_timeline,
    report::render_report,
    results::{ClassResults, Results, Sample},
    runner::run,
    workload::{Class, Job, Phase, Task, WORKLOADS, Workload},
};
