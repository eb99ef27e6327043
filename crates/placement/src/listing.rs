//! What a target lists of its runs.

use crate::{Run, RunEnd};

/// What a target lists: what runs there and what has ended.
#[derive(Clone, Debug)]
pub struct Listing {
    /// When this life of the target began, in ms since 1970.
    pub born_unix_ms: u64,
    /// The target's clock when it answered.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What has ended and is not acknowledged.
    pub finished: Vec<ListedEnd>,
}

/// A run that a target lists as running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The run.
    pub run: Run,
    /// How much of its work is done.
    pub percent: u8,
    /// The processor time that it uses, in thousandths of a core, if the target says so.
    pub used_cpu_milli: u64,
}

/// A run that a target lists as ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// The number of the end in this life of the target.
    pub number: u64,
    /// The run.
    pub run: Run,
    /// How it ended.
    pub end: RunEnd,
}
