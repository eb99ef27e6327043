//! Load and experiment tool: open-loop workloads, histograms, reports.
//!
//! # Overview
//!
//! * [`Deployment`] names the processes to be measured; a script writes it.
//! * [`Workload`] is a named, seeded schedule of jobs; see [`Workload::named`].
//! * [`run`] submits a workload open-loop and returns [`Results`]. A job's response
//!   time counts from when it was due, so that a stall is not left out.
//! * [`render_report`] writes results as Markdown, [`draw_timeline`] as SVG.
//! * [`measure_sessions`] and [`measure_scheduler`] give slopes for the capacity page.

mod caller;
mod collect;
mod deployment;
mod error;
mod plot;
mod report;
mod results;
mod runner;
mod slopes;
mod workload;

pub use crate::{
    deployment::{Deployment, DispatchPlace, EntryPlace, ProcessPlace},
    error::LoadError,
    plot::draw_timeline,
    report::render_report,
    results::{ClassResults, Results, Second},
    runner::run,
    slopes::{SchedulerCost, SessionCost, measure_scheduler, measure_sessions},
    workload::{Class, Job, Phase, Task, WORKLOADS, Workload},
};
