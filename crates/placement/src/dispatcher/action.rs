//! Inputs and outputs of a dispatcher.

use std::{net::SocketAddr, sync::Arc};

use ggb_model::Zone;

use crate::{JobAnswer, Run, Submission};

/// Identifies a caller that waits for an answer; assigned by the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Outcome of a start request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The target started the run.
    Accepted,
    /// The target has too little free capacity.
    NoRoom,
    /// The target has already seen a run of the task with the same or a higher number.
    OldRun,
    /// The request arrived after its validity had expired.
    TooLate,
    /// The target obeys the higher token of another dispatcher.
    Fenced,
    /// The target reported that it is unhealthy.
    Unhealthy,
    /// The target could not interpret the request.
    Invalid,
    /// A different incarnation of the target answered.
    OtherLife,
    /// The request was not sent, so that the target cannot have started the run.
    NotSent,
    /// No answer arrived; the target may have started the run.
    Unanswered,
}

/// An operation that a dispatcher requests from its process.
#[derive(Clone, Debug)]
pub enum Action {
    /// Request a target to start a run.
    Start {
        /// Id of the target.
        target: Arc<str>,
        /// Address of the target's request API.
        addr: SocketAddr,
        /// Task and number of the run.
        run: Run,
        /// Description of the work from the job, passed to the target unchanged.
        spec: Arc<str>,
        /// Target clock time after which the target must reject the request.
        valid_until_clock_ms: u64,
        /// Number of restarts of the target that this process has seen; raises the owner's token.
        seen_restarts: u64,
        /// Time from the receipt of the job by an entry process to this request, in ms; for
        /// metrics.
        waited_ms: u64,
        /// Expected run time, in ms.
        expected_ms: u64,
    },
    /// Request a target to stop a run.
    Stop {
        /// Id of the target.
        target: Arc<str>,
        /// Address of the target's request API.
        addr: SocketAddr,
        /// Task and number of the run.
        run: Run,
        /// Number of restarts of the target that this process has seen; raises the owner's token.
        seen_restarts: u64,
    },
    /// Request a listing from a target immediately.
    RequestListing {
        /// Id of the target.
        target: Arc<str>,
    },
    /// Abandon the periodic listing request to a target, which may wait for its former incarnation, and
    /// send the next one immediately.
    RestartPolling {
        /// Id of the target.
        target: Arc<str>,
    },
    /// Submit part of a job to the dispatcher of another zone.
    OffloadPart {
        /// Number of the part.
        part: u64,
        /// Zone that the part is submitted to.
        zone: Zone,
        /// The job; tasks outside the part are among its `excluded_tasks`.
        submission: Submission,
    },
    /// Cancel a part that was submitted to another zone.
    CancelPart {
        /// Number of the part.
        part: u64,
    },
    /// Send an answer to a caller.
    Answer {
        /// Request that is answered.
        request: RequestId,
        /// The answer.
        answer: JobAnswer,
    },
}

/// Load of a dispatcher and its targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// CPU time of all healthy targets, in thousandths of a core.
    pub total_cpu_milli: u64,
    /// Free CPU time on healthy targets, in thousandths of a core.
    pub free_cpu_milli: u64,
    /// CPU demand of the waiting tasks, in thousandths of a core.
    pub queued_cpu_milli: u64,
    /// Number of waiting tasks.
    pub queued_tasks: u64,
    /// Number of tasks of average demand that fit into the free CPU time.
    pub free_tasks: u64,
    /// Number of jobs that have not ended.
    pub jobs: usize,
    /// Number of known targets.
    pub targets: usize,
    /// Number of healthy targets.
    pub healthy_targets: usize,
}
