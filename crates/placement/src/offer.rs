//! A job on its way to the dispatchers that take it one after the other.

use crate::{EarlierRuns, Submission};

/// What the process that holds a caller's connection knows of where its job may run.
///
/// A job that was left with one owner and then goes to another says so, whatever the reason:
/// the second must not start what the first one may have started.
#[derive(Clone, Debug)]
pub struct Offer {
    submission: Submission,
}

impl Offer {
    /// Returns the offer of a job that no dispatcher has seen.
    pub const fn new(submission: Submission) -> Self {
        Offer { submission }
    }

    /// Returns the job.
    pub const fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Returns the job as it is to be sent `waited_ms` after its caller sent it.
    pub const fn to_send(&mut self, waited_ms: u64) -> &Submission {
        self.submission.waited_ms = waited_ms;
        &self.submission
    }

    /// Notes that the owner with `token` has the job and has not finished it.
    pub const fn pending(&mut self, token: u64) {
        self.submission.held_under = Some(token);
    }

    /// Notes that the owner gave the job up, and what it said of it.
    pub fn moved(&mut self, done: Vec<(u16, u16)>, earlier_runs: EarlierRuns) {
        self.submission.held_under = None;
        self.submission.done.extend(done);
        self.submission.earlier_runs = self.submission.earlier_runs.max(earlier_runs);
    }

    /// Notes that the owner may or may not have taken the job.
    pub fn lost(&mut self) {
        self.submission.held_under = None;
        self.submission.earlier_runs = EarlierRuns::StillHeld;
    }

    /// Returns whether no task of the job can have been started.
    pub fn is_untouched(&self) -> bool {
        self.submission.held_under.is_none() && self.submission.earlier_runs == EarlierRuns::None
    }
}
