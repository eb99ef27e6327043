//! Programs of greengagebeam and the code that they share.
//!
//! # Overview
//!
//! * `ggb-entry` serves callers and owns their sessions.
//! * `ggb-dispatch` grants slot leases on the targets of one availability zone.
//! * `ggb` manages profiles and shows the status of processes, for operators.
//! * `ggb-node` combines the roles of `ggb-entry` and `ggb-dispatch` on the users' platform;
//!   `ggb-fleet` merges the logs of `ggb-node` processes and shows which of them own zones.
//! * `ggb-load` measures deployments, `ggb-standin` runs stand-ins for the platform and for
//!   targets, and `ggb-demo` runs the whole system in one process.
//!
//! This library holds the arguments of the programs, [`SettingsChecker`], which reports all
//! invalid settings in one error, [`ExitCode`], [`LogTimeline`], and the receivers of signals.

mod dispatch_args;
mod entry_args;
mod exit;
mod log_args;
mod log_timeline;
mod settings_checker;
mod signals;

pub use crate::{
    dispatch_args::{DispatchArgs, dispatch_args},
    entry_args::{EntryArgs, entry_args},
    exit::{ExitCode, exit_with},
    log_args::{LogArgs, log_args},
    log_timeline::LogTimeline,
    settings_checker::{SettingsChecker, SettingsError},
    signals::{SignalRequest, signal_requests, termination_signal},
};
