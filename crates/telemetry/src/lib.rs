//! Numbered events, logs, metrics and the operators' address.
//!
//! # Overview
//!
//! * [`Event`] is the catalogue of everything that is logged; [`log_event!`] logs one.
//! * [`init_logs`] sets up human or JSON logs on standard error.
//! * [`EntryMetrics`] and [`DispatchMetrics`] hold the metrics of each process.
//! * [`OperatorServer`] serves `/metrics`, `/health`, `/ready` and `/status`.

mod event;
mod log;
mod metrics;
mod operator;

pub use tracing;

pub use crate::{
    event::Event,
    log::{LogFormat, LogWriter, init_logs, init_stdout_logs},
    metrics::{DispatchMetrics, EntryMetrics, Gauges},
    operator::{OperatorServer, Phase, StatusSource},
};
