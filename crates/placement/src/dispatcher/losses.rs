//! Tasks under which targets were lost.
//!
//! A target that crashes takes all of its runs with it, and which of them is to blame is not known.
//! Each of their tasks counts the loss, and starts again only on a target that runs nothing else, so
//! that another crash harms no other task and shows which task is to blame. Its job then fails.

use std::sync::Arc;

use ggb_telemetry::log_event;

use crate::{
    Dispatcher, EndedRun, JobAnswer, JobId, Listing, LossCause, RunEnd, RunPhase, StartRule,
    Target, TargetInfo, TargetLoss, TargetLosses, TargetRun, TaskId,
    dispatcher::job_state::{JobPhase, JobState},
};

impl Dispatcher {
    /// Counts and logs a run that ended without a listed end, as a listing that was requested at
    /// `listing_requested_at_ms` shows.
    pub(super) fn record_lost_run(
        &mut self,
        target_run: &TargetRun,
        target_id: &str,
        end: RunEnd,
        listing_requested_at_ms: Option<u64>,
        now_ms: u64,
    ) {
        self.lost_runs += 1;
        log_event!(
            warn, RunLost, run = %target_run.run, target = target_id, end = ?end,
            phase = ?target_run.phase, is_confirmed = target_run.is_confirmed(),
            ran_ms = now_ms - target_run.start_sent_at_ms,
            in_phase_ms = now_ms - target_run.phase_since_ms,
            listing_age_ms = listing_requested_at_ms.map(|requested_at_ms| now_ms - requested_at_ms)
        );
    }

    /// Returns the known losses of targets, for the other processes.
    pub const fn target_losses(&self) -> &TargetLosses {
        &self.target_losses
    }

    /// Returns the losses of the dispatcher's own targets that were updated at `since_ms` or later.
    pub fn own_target_losses(&self, since_ms: u64) -> Vec<&TargetLoss> {
        let recent = self.target_losses.updated_since(since_ms);
        recent.filter(|loss| self.target_index(&loss.target).is_some()).collect()
    }

    /// Adds losses that another process knows of.
    pub fn merge_target_losses<'a>(
        &mut self,
        losses: impl IntoIterator<Item = &'a TargetLoss>,
        now_ms: u64,
    ) {
        let mut is_changed = false;
        for loss in losses {
            if self.target_losses.merge(loss, now_ms) {
                is_changed = true;
                if let Some(target) = self.target_mut(&loss.target) {
                    target.set_loss_recorded(now_ms);
                }
            }
        }
        if is_changed {
            self.fail_deadly_jobs(now_ms);
        }
    }

    /// Returns whether a target may have crashed because of the task.
    pub(super) fn is_suspect(&self, task: TaskId) -> bool {
        !self.target_losses.is_empty() && self.target_losses.count(task).is_suspect()
    }

    /// Returns whether a task may start on a target, as far as lost targets matter.
    pub(super) fn may_share_target(&self, task: TaskId, target: &Target) -> bool {
        if self.target_losses.is_empty() {
            return true;
        }
        match self.target_losses.count(task).start_rule() {
            StartRule::Anywhere => !target.runs().iter().any(|run| self.is_suspect(run.run.task)),
            StartRule::Alone => target.runs().is_empty(),
            StartRule::Never => false,
        }
    }

    /// Records that a target was lost with all of its runs.
    ///
    /// A draining target may have left, which ends its runs as well.
    pub(super) fn record_target_loss(
        &mut self,
        target_index: usize,
        cause: LossCause,
        now_ms: u64,
    ) {
        let target = &mut self.targets[target_index];
        if target.info().draining || target.runs().is_empty() {
            return;
        }
        target.set_loss_recorded(now_ms);
        let target = &self.targets[target_index];
        for target_run in target.runs() {
            let loss = loss_of_run(target, target_run, cause);
            let was_alone = loss.was_alone && target.runs().len() == 1;
            self.target_losses.record(TargetLoss { was_alone, ..loss }, now_ms);
        }
    }

    /// Updates the losses of a target from a listing, which ended the runs `ended`. The incarnation
    /// that was known before it started at `earlier_unix_ms`.
    ///
    /// A run that was sent to an earlier incarnation was lost with it if it is not a run of the
    /// current one. While that is not known, the loss stays unsettled.
    pub(super) fn settle_target_losses(
        &mut self,
        target_index: usize,
        earlier_unix_ms: u64,
        listing: &Listing,
        ended: &[EndedRun],
        requested_at_ms: u64,
        now_ms: u64,
    ) {
        let has_restarted = listing.started_unix_ms > earlier_unix_ms;
        let target = &mut self.targets[target_index];
        if listing.started_unix_ms < earlier_unix_ms
            || (!target.take_settled_loss(requested_at_ms) && !has_restarted)
        {
            return;
        }
        let undecided: Vec<TargetRun> = target.undecided_runs().copied().collect();
        if !undecided.is_empty() {
            target.set_loss_recorded(requested_at_ms);
        }
        let id = Arc::clone(&target.info().id);
        let is_undecided = |task| undecided.iter().any(|target_run| target_run.run.task == task);
        self.target_losses.record_alive(&id, listing.started_unix_ms, is_undecided, now_ms);

        let is_earlier =
            |target_run: &TargetRun| target_run.sent_to_unix_ms < listing.started_unix_ms;
        let ended_as_lost = ended.iter().filter(|ended| ended.end == RunEnd::Lost);
        let lost: Vec<TargetRun> =
            ended_as_lost.filter_map(|ended| ended.target_run).filter(is_earlier).collect();
        let losses = lost.iter().map(|target_run| (target_run, LossCause::Crashed));
        let losses = losses.chain(undecided.iter().map(|run| (run, LossCause::Unknown)));
        let target = &self.targets[target_index];
        // A later listing can't show any more what ran beside the runs that the first one left open.
        let was_alone = !has_restarted || lost.len() + undecided.len() == 1;
        for (target_run, cause) in losses.filter(|_| !target.info().draining) {
            let loss = loss_of_run(target, target_run, cause);
            let was_alone = was_alone && loss.was_alone;
            self.target_losses.record(TargetLoss { was_alone, ..loss }, now_ms);
        }

        let running = listing.running.iter().map(|listed| listed.run);
        let finished = listing.finished.iter().map(|listed| listed.run);
        for run in running.chain(finished) {
            let tracked = target.runs().iter().chain(ended_runs(ended));
            let sent_to = tracked.filter(|known| known.run == run);
            let sent_to = sent_to.map(|known| known.sent_to_unix_ms);
            let lost_unix_ms = sent_to.fold(earlier_unix_ms, u64::min);
            self.target_losses.record_survival(run.task, &id, lost_unix_ms, now_ms);
        }
        self.fail_deadly_jobs(now_ms);
    }

    /// Updates the losses of a target from its entry in the target list.
    pub(super) fn record_target_restart(&mut self, info: &TargetInfo) {
        let now_ms = self.last_event_at_ms;
        self.target_losses.record_restart(&info.id, info.started_unix_ms, now_ms);
        self.fail_deadly_jobs(now_ms);
    }

    /// Updates the losses of a target that left the target list.
    pub(super) fn record_target_gone(&mut self, id: &str) {
        let has_drained = self.target_mut(id).is_some_and(|target| target.info().draining);
        if !has_drained {
            self.target_losses.record_gone(id, self.last_event_at_ms);
            self.fail_deadly_jobs(self.last_event_at_ms);
        }
    }

    /// Returns whether a job fails since targets crash under one of its tasks, and logs which one.
    pub(super) fn has_deadly_task(&self, id: JobId) -> bool {
        let Some(task) = self.target_losses.deadly_task(id) else { return false };
        log_event!(info, JobFailed, job = %id, task = %task, reason = "the task crashes targets");
        true
    }

    /// Fails the jobs with a task that crashes targets.
    fn fail_deadly_jobs(&mut self, now_ms: u64) {
        if self.target_losses.is_empty() {
            return;
        }
        let open = self.jobs.iter().filter(|job| job.phase() == JobPhase::Open);
        let deadly = open.map(JobState::id).filter(|id| self.has_deadly_task(*id));
        let deadly: Vec<JobId> = deadly.collect();
        for id in deadly {
            self.finish_job(id, JobAnswer::Failed, now_ms);
        }
    }
}

/// Returns the loss of a run with its target, as far as the run alone shows it.
fn loss_of_run(target: &Target, target_run: &TargetRun, cause: LossCause) -> TargetLoss {
    TargetLoss {
        task: target_run.run.task,
        target: Arc::clone(&target.info().id),
        started_unix_ms: target_run.started_unix_ms(),
        revision: 0,
        cause,
        has_started: target_run.is_confirmed(),
        // A run that was being stopped may have ended before the target was lost.
        was_alone: target_run.phase != RunPhase::Stopping,
    }
}

fn ended_runs(ended: &[EndedRun]) -> impl Iterator<Item = &TargetRun> {
    ended.iter().filter_map(|ended| ended.target_run.as_ref())
}
