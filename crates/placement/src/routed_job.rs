//! A job that its entry process routes to successive dispatchers.

use std::sync::Arc;

use crate::{ClaimId, EarlierRuns, PartOutcome, Submission};

/// A job that its entry process sends to one dispatcher after another until it is answered, with
/// what the earlier dispatchers reported about it.
///
/// If one owner may have started tasks of the job, the submission to any other owner says so, since
/// a task must not be started twice.
#[derive(Clone, Debug)]
pub struct RoutedJob {
    submission: Submission,
    /// Whether the job was sent to a dispatcher that has not replied.
    awaits_reply: bool,
}

impl RoutedJob {
    /// Returns a job that has not been sent to any dispatcher.
    pub const fn new(submission: Submission) -> Self {
        RoutedJob { submission, awaits_reply: false }
    }

    /// Returns the submission in its current state.
    pub const fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Returns the submission to send now, `waited_ms` after it was received from the caller, who was last
    /// found connected `caller_check_age_ms` ago.
    pub const fn submission_after(
        &mut self,
        waited_ms: u64,
        caller_check_age_ms: u64,
    ) -> &Submission {
        self.submission.waited_ms = waited_ms;
        self.submission.caller_check_age_ms = caller_check_age_ms;
        self.awaits_reply = true;
        &self.submission
    }

    /// Records that the owner with `claim` holds the job and has not finished it.
    pub const fn mark_held_by(&mut self, claim: ClaimId) {
        self.awaits_reply = false;
        self.submission.holder = Some(claim);
    }

    /// Records that the owner released the job: `done` tasks are excluded from now on, and
    /// `earlier_runs` says where other tasks may still run, on `run_targets` of the zone if known. The
    /// requests of the owner carried tokens up to `token`.
    pub fn mark_moved(
        &mut self,
        done: Vec<(u16, u16)>,
        earlier_runs: EarlierRuns,
        run_targets: Option<Vec<Arc<str>>>,
        token: Option<u64>,
    ) {
        self.awaits_reply = false;
        self.submission.holder = None;
        self.submission.excluded_tasks.extend(done);
        // An owner that started nothing reports nothing; what earlier owners reported still holds.
        if earlier_runs != EarlierRuns::None {
            self.submission.run_targets = run_targets;
            self.submission.released_under = self.submission.released_under.max(token);
        }
        self.submission.earlier_runs = self.submission.earlier_runs.max(earlier_runs);
    }

    /// Records that it is unknown whether the owner accepted the job, for example because the
    /// connection failed.
    pub fn mark_possibly_taken(&mut self) {
        self.awaits_reply = false;
        self.submission.holder = None;
        self.submission.earlier_runs = EarlierRuns::StillHeld;
    }

    /// Records that the owner has not taken the job. What earlier owners reported still holds.
    pub const fn mark_not_taken(&mut self) {
        self.awaits_reply = false;
    }

    /// Records that the owner refused the job: it has started no task, and will start none.
    pub const fn mark_refused(&mut self) {
        self.awaits_reply = false;
        self.submission.holder = None;
    }

    /// Records that the next submission goes to the owner of another zone, whose targets' listings show
    /// no run of an earlier owner.
    pub fn mark_left_zone(&mut self) {
        self.submission.run_targets = None;
        self.submission.released_under = None;
        match self.submission.earlier_runs {
            _ if self.submission.holder.is_some() => self.mark_possibly_taken(),
            EarlierRuns::None => {}
            earlier_runs => {
                self.submission.earlier_runs = earlier_runs.max(EarlierRuns::AnyZone);
            }
        }
    }

    /// Returns the outcome of a part whose owner refuses connections: once an owner has reported that
    /// it holds the part, its tasks may run until their leases expire.
    pub fn outcome_of_refused_connection(&self) -> PartOutcome {
        match self.has_no_earlier_runs() {
            true => PartOutcome::Refused,
            false => PartOutcome::Lost,
        }
    }

    /// Returns whether it is certain that no task of the job has been started, and that none will be
    /// unless the job is sent again.
    pub fn is_unstarted(&self) -> bool {
        !self.awaits_reply && self.has_no_earlier_runs()
    }

    fn has_no_earlier_runs(&self) -> bool {
        self.submission.holder.is_none() && self.submission.earlier_runs == EarlierRuns::None
    }
}
