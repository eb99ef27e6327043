//! The programs of greengagebeam, and what they share.
//!
//! # Overview
//!
//! * `ggb-entry` is the caller side and home of sessions.
//! * `ggb-dispatch` grants slot leases on the targets of one availability zone.
//! * `ggb` is the operators' tool.
//! * `ggb-node` does both on the users' platform, and `ggb-fleet` explains what it did.
//! * `ggb-load` measures, `ggb-standin` takes the platform's place, and `ggb-demo`
//!   runs everything in one process for a first try.
//!
//! This library holds [`Checked`], which names every bad setting at once,
//! [`ExitCode`], and [`termination`].

mod checked;
mod dispatch_args;
mod entry_args;
mod exit;
mod log_args;
mod log_story;
mod signals;

pub use crate::{
    checked::{Checked, SettingsError},
    dispatch_args::{DispatchArgs, dispatch_args},
    entry_args::{EntryArgs, entry_args},
    exit::{ExitCode, exit_with},
    log_args::{LogArgs, log_args},
    log_story::LogStory,
    signals::{SignalRequest, signal_requests, termination},
};
