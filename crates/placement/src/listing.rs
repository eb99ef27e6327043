//! Listings, in which targets report their runs.

use crate::{Run, RunEnd};

/// A target's report of its active runs and of the ends that are not yet acknowledged.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Start of this incarnation of the target, in ms since 1970.
    pub started_unix_ms: u64,
    /// Target clock at the time of the report, in ms.
    pub clock_ms: u64,
    /// Active runs.
    pub running: Vec<ListedRun>,
    /// Ended runs that the dispatcher has not acknowledged.
    pub finished: Vec<ListedEnd>,
}

/// An active run in a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// Task and number of the run.
    pub run: Run,
    /// Progress of the run.
    pub progress_percent: u8,
    /// CPU time that the run uses, in thousandths of a core; 0 if the target does not report it.
    pub used_cpu_milli: u64,
}

/// An ended run in a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// Sequence number of the end within this incarnation of the target.
    pub number: u64,
    /// Task and number of the run.
    pub run: Run,
    /// Reason for the end.
    pub end: RunEnd,
}
