//! Order of the jobs with waiting tasks.

use crate::JobId;

/// Whether a job can still meet its objective; in scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    /// The job can meet its objective, or needs so little more work that it keeps its place.
    InTime,
    /// The job can only be late. Tasks of it have run, and that work is lost if the job never ends.
    LateStarted,
    /// The job can only be late, and none of its tasks has started.
    LateUnstarted,
}

/// Position of a job in the queue, with what shows cheaply that none of its tasks can start.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueEntry {
    pub(super) position: QueuePosition,
    /// Smallest CPU demand of a task of the job.
    pub(super) min_cpu_milli: u64,
}

impl QueueEntry {
    pub(super) const fn job(&self) -> JobId {
        self.position.job
    }
}

/// Queue position of a job; the order of the fields is the scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) lateness: Lateness,
    pub(super) priority: u8,
    pub(super) received_at_ms: u64,
    pub(super) job: JobId,
}
