//! Numbered events, logging, metrics and the operator interface.
//!
//! # Overview
//!
//! * [`Event`] is the catalogue of the events that are logged; [`log_event!`] logs one.
//! * [`init_logs`] starts logging to standard error, and [`init_stdout_logs`] non-blocking logging
//!   to standard output.
//! * [`EntryMetrics`] holds the metrics of an entry process, [`DispatchMetrics`] those of a
//!   dispatcher.
//! * [`OperatorServer`] serves `/metrics`, `/health`, `/ready` and `/status`.

mod event;
mod log;
mod metrics;
mod operator;

pub use tracing;

pub use crate::{
    event::Event,
    log::{LogFormat, LogWriter, init_logs, init_stdout_logs},
    metrics::{DispatchMetrics, EntryMetrics, MetricSet},
    operator::{OperatorServer, Phase, StatusSource},
};
