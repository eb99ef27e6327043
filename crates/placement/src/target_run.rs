//! A run on a target, from its start request to its end.

use crate::{Capacity, Run, RunEnd};

/// Phase of a run, from its start request to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The start request is in flight.
    Ordered,
    /// The start request was not answered; the target starts the run before the request expires, or
    /// never.
    Unanswered,
    /// The target has started the run.
    Running,
    /// The run is being stopped.
    Stopping,
    /// The run was started by an earlier dispatcher, and no job that this dispatcher knows needs
    /// it.
    Orphaned,
}

/// What shows that a target has started a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// Nothing does; the start request may still be in flight.
    None,
    /// The answer to the start request, which does not say which incarnation of the target sent it.
    Answered {
        /// Time at which the answer arrived.
        at_ms: u64,
    },
    /// A listing, which also shows the incarnation of the run.
    Listed {
        /// Time at which the first message that showed the run arrived.
        at_ms: u64,
        /// Start of the incarnation, in ms since 1970.
        started_unix_ms: u64,
    },
}

/// A run that ended: its end was listed, the target no longer lists it, or the lease of the target
/// expired.
#[derive(Clone, Copy, Debug)]
pub struct EndedRun {
    /// Task and number of the run.
    pub run: Run,
    /// Reason for the end.
    pub end: RunEnd,
    /// State of the run before it ended; `None` if the run was not tracked on this target.
    pub target_run: Option<TargetRun>,
}

impl EndedRun {
    pub(crate) const fn tracked(target_run: TargetRun, end: RunEnd) -> Self {
        EndedRun { run: target_run.run, end, target_run: Some(target_run) }
    }
}

/// A run that occupies capacity on a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetRun {
    /// Task and number of the run.
    pub run: Run,
    /// Capacity that is reserved for the run.
    pub demand: Capacity,
    /// Whether `demand` comes from the job of the run. While no job needs the run, the target's
    /// report of the CPU time that the run uses takes its place.
    pub is_demand_known: bool,
    /// Phase of the run; it began at `phase_since_ms`.
    pub phase: RunPhase,
    /// Time at which the phase began.
    pub phase_since_ms: u64,
    /// What shows that the target has started the run.
    pub confirmation: Confirmation,
    /// Time at which the last stop request was sent; 0 if there was none.
    pub last_stop_sent_at_ms: u64,
    /// Time at which the start request was sent, or at which an orphaned run was first listed.
    pub start_sent_at_ms: u64,
    /// Target clock time after which the target rejects the start request.
    pub valid_until_clock_ms: u64,
    /// Start of the incarnation that had last sent a listing when the start request was sent, in ms
    /// since 1970. The request carried the owner's token for it, but may have reached a later one.
    pub sent_to_unix_ms: u64,
    /// Expected run time on this target, in ms.
    pub expected_ms: u64,
    /// Expected run time on a target of median speed, in ms; `None` if it is not known, or if an
    /// earlier dispatcher started the run.
    pub reference_ms: Option<u64>,
    /// Progress as last listed.
    pub progress_percent: u8,
    /// Time of the first listing with this progress.
    pub last_progress_at_ms: u64,
    /// Time of the last listing that contained the run.
    pub last_listed_at_ms: u64,
}

impl TargetRun {
    /// Returns whether the target has confirmed that it started the run.
    pub const fn is_confirmed(&self) -> bool {
        !matches!(self.confirmation, Confirmation::None)
    }

    /// Records that an answer to the start request arrived.
    pub(crate) const fn record_answer(&mut self, now_ms: u64) {
        if let Confirmation::None = self.confirmation {
            self.confirmation = Confirmation::Answered { at_ms: now_ms };
        }
    }

    /// Records that a listing of the incarnation `started_unix_ms` arrived that contains the run.
    pub(crate) const fn record_listing(&mut self, started_unix_ms: u64, now_ms: u64) {
        self.last_listed_at_ms = now_ms;
        let at_ms = match self.confirmation {
            Confirmation::None => now_ms,
            Confirmation::Answered { at_ms } | Confirmation::Listed { at_ms, .. } => at_ms,
        };
        self.confirmation = Confirmation::Listed { at_ms, started_unix_ms };
    }

    /// Returns the incarnation of the run, by its start in ms since 1970: the one that listed it, or
    /// else the one that its start request was sent to.
    pub(crate) const fn started_unix_ms(&self) -> u64 {
        match self.confirmation {
            Confirmation::Listed { started_unix_ms, .. } => started_unix_ms,
            Confirmation::None | Confirmation::Answered { .. } => self.sent_to_unix_ms,
        }
    }

    /// Returns the time by which the run should have ended and been listed, including `margin_ms`.
    pub const fn overdue_at_ms(&self, margin_ms: u64) -> u64 {
        self.start_sent_at_ms + self.expected_ms + margin_ms
    }
}
