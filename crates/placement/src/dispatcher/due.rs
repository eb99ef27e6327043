//! Timeouts and other time-dependent state changes.

use std::sync::Arc;

use ggb_telemetry::log_event;

use crate::{
    Dispatcher, JobAnswer, JobId, LEASE_EXPIRY_MS, LossCause, RefusalReason, RunEnd, RunPhase,
    TargetRun,
    dispatcher::{
        MAX_QUEUE_TIME_PERCENT,
        job_state::{JobPhase, JobState},
        overload::MIN_RUN_PERCENT,
        queue_entry::Lateness,
    },
};

/// Time after which a job without a caller is closed and its runs are stopped. An entry process
/// that lost its connection resubmits the job within this time.
const ABANDONED_GRACE_MS: u64 = 150;

/// Time for which an orphaned run may continue while its job is not yet resubmitted; then the run
/// is stopped. A new owner announces itself at once, and requests that wait for an owner that does
/// not answer fail within 150 ms of the announcement.
const ORPHAN_GRACE_MS: u64 = 200;

/// Time without progress between two listings after which a run is stopped and started elsewhere.
/// The longest tasks take 8 s and progress by one percent every 80 ms.
const STALL_TIMEOUT_MS: u64 = 300;

/// Minimum time after its expected end at which a run causes a listing request. A target reports an
/// end at once, so that silence may mean that the report was lost.
const MIN_OVERDUE_MARGIN_MS: u64 = 40;

/// Value of [`MIN_OVERDUE_MARGIN_MS`] as a share of the expected run time, in percent. Run times spread
/// by 40% around the estimate; with the minimum alone, a run of 900 ms that takes 40% longer causes three
/// requests.
const OVERDUE_MARGIN_PERCENT: u64 = 50;

/// Pause of the process after which other processes may have considered it dead: another VM claims
/// the targets of an owner that has sent nothing for 450 ms.
const PAUSE_THRESHOLD_MS: u64 = 400;

/// Interval at which a stop request is repeated.
const STOP_RETRY_INTERVAL_MS: u64 = 100;

/// Time before its caller's deadline at which a job that has not started is refused, so that the answer
/// reaches the caller: a tick and an exchange between processes usually take 10 ms.
const ANSWER_MARGIN_MS: u64 = 50;

/// Time for which the answer of a finished job is cached for repeated submissions.
const ANSWER_RETENTION_MS: u64 = 15_000;

/// Returns the time by which a run should have ended and been listed.
fn overdue_at_ms(target_run: &TargetRun) -> u64 {
    let margin_ms = target_run.expected_ms * OVERDUE_MARGIN_PERCENT / 100;
    target_run.overdue_at_ms(margin_ms.max(MIN_OVERDUE_MARGIN_MS))
}

impl Dispatcher {
    /// Performs all time-dependent state changes: expires leases, stops stalled and orphaned runs,
    /// closes abandoned jobs, refuses jobs that waited too long, and places tasks.
    pub fn tick(&mut self, now_ms: u64) {
        self.advance_time(now_ms);
        self.expire_leases(now_ms);
        self.stop_overdue_runs(now_ms);
        self.close_abandoned(now_ms);
        self.refuse_queued_too_long(now_ms);
        self.refuse_before_deadline(now_ms);
        self.give_up_unreachable_deadlines(now_ms);
        self.defer_late(now_ms);
        self.request_awaited_listings(now_ms);
        self.place_tasks(now_ms);
        self.hand_back_evacuated(now_ms);
        self.shed_overload(now_ms);
        for target in &mut self.targets {
            target.prune_recent_ends(now_ms);
        }
        self.target_losses.prune(now_ms);
        self.cached_answers.retain(|cached| now_ms < cached.at_ms + ANSWER_RETENTION_MS);
    }

    /// Updates the current time and detects pauses of the process.
    ///
    /// After a pause another process may own the targets. A new listing is then requested from each
    /// target before any task starts, since a target that crashed in the meantime would accept any
    /// token.
    pub(super) fn advance_time(&mut self, now_ms: u64) {
        let paused_ms = now_ms.saturating_sub(self.last_event_at_ms);
        self.last_event_at_ms = now_ms;
        if paused_ms > PAUSE_THRESHOLD_MS {
            log_event!(warn, ProcessPaused, paused_ms);
            self.resync_since_ms = Some(now_ms);
            self.targets.iter_mut().for_each(|target| target.require_new_listing(now_ms));
            (0..self.targets.len())
                .for_each(|target_index| self.request_listing(target_index, now_ms));
        }
    }

    /// Returns whether every target has sent a listing since the last pause of the process, or all
    /// leases have expired since then.
    pub(super) fn is_resynced(&mut self, now_ms: u64) -> bool {
        let Some(since_ms) = self.resync_since_ms else { return true };
        let is_resynced = now_ms >= since_ms + LEASE_EXPIRY_MS
            || self
                .targets
                .iter()
                .all(|target| target.has_current_listing() || target.is_removed());
        if is_resynced {
            self.resync_since_ms = None;
        }
        is_resynced
    }

    fn expire_leases(&mut self, now_ms: u64) {
        for target_index in 0..self.targets.len() {
            let target = &self.targets[target_index];
            let is_unresponsive = target.is_unreachable() || target.is_removed();
            if !is_unresponsive || !target.has_expired_runs(now_ms) {
                continue;
            }
            let id = Arc::clone(&target.info().id);
            let cause = if target.is_removed() { LossCause::Crashed } else { LossCause::Unknown };
            self.record_target_loss(target_index, cause, now_ms);
            let ended = self.targets[target_index].expire_runs(now_ms);
            log_event!(warn, LeaseLapsed, target = %id, runs = ended.len());
            for target_run in ended.into_iter().filter_map(|ended| ended.target_run) {
                self.record_lost_run(&target_run, &id, RunEnd::Lapsed, None, now_ms);
                self.requeue_task(target_run.run, &id, false, now_ms);
            }
        }
    }

    /// Stops runs that no job needs or that make no progress, and requests listings for runs that
    /// are overdue or whose unanswered start request has expired.
    fn stop_overdue_runs(&mut self, now_ms: u64) {
        let mut stops = Vec::new();
        let mut listing_requests = Vec::new();
        for (target_index, target) in self.targets.iter_mut().enumerate() {
            let clock_ms = target.estimated_clock_ms(now_ms).unwrap_or(0);
            let mut stalled = false;
            for target_run in target.runs() {
                match target_run.phase {
                    RunPhase::Orphaned if now_ms >= target_run.phase_since_ms + ORPHAN_GRACE_MS => {
                        stops.push((target_index, target_run.run, "no job needs it"));
                    }
                    RunPhase::Running
                        if target_run.last_listed_at_ms
                            >= target_run.last_progress_at_ms + STALL_TIMEOUT_MS =>
                    {
                        stalled = true;
                        stops.push((target_index, target_run.run, "no progress"));
                    }
                    RunPhase::Running if now_ms >= overdue_at_ms(target_run) => {
                        listing_requests.push(target_index)
                    }
                    RunPhase::Unanswered if clock_ms > target_run.valid_until_clock_ms => {
                        listing_requests.push(target_index)
                    }
                    RunPhase::Stopping
                        if now_ms >= target_run.last_stop_sent_at_ms + STOP_RETRY_INTERVAL_MS =>
                    {
                        stops.push((
                            target_index,
                            target_run.run,
                            "still running after a stop request",
                        ));
                        listing_requests.push(target_index);
                    }
                    _ => {}
                }
            }
            if stalled {
                target.record_stall(now_ms);
            }
        }
        for (target_index, run, reason) in stops {
            log_event!(
                warn, RunStopped, run = %run, target = %self.targets[target_index].info().id, reason
            );
            self.stop_run(target_index, run, now_ms);
        }
        listing_requests.dedup();
        for target_index in listing_requests {
            self.request_listing(target_index, now_ms);
        }
    }

    fn close_abandoned(&mut self, now_ms: u64) {
        let is_abandoned = |job: &JobState| job.is_abandoned(now_ms, ABANDONED_GRACE_MS);
        let abandoned: Vec<JobId> =
            self.jobs.iter().filter(|job| is_abandoned(job)).map(JobState::id).collect();
        for id in abandoned {
            log_event!(info, JobAbandoned, job = %id);
            self.close_job(id, JobPhase::Abandoned, now_ms);
        }
    }

    /// Refuses queued jobs of which no task was started or offloaded within the maximum queueing
    /// time.
    fn refuse_queued_too_long(&mut self, now_ms: u64) {
        self.refuse_unstarted(now_ms, |job| {
            now_ms >= job.queue_deadline_ms(MAX_QUEUE_TIME_PERCENT)
        });
    }

    /// Refuses jobs of which no task was started or offloaded, and that cannot end before the caller's
    /// deadline, even if they started now. From the deadline on, the caller could not be told any more
    /// that the job has not run.
    fn refuse_before_deadline(&mut self, now_ms: u64) {
        self.refuse_unstarted(now_ms, |job| {
            let misses_deadline = |remaining_ms: u64| {
                let min_remaining_ms = remaining_ms * MIN_RUN_PERCENT / 100;
                now_ms + min_remaining_ms.max(ANSWER_MARGIN_MS) > job.caller_deadline_ms()
            };
            job.submission().part.is_none()
                && misses_deadline(job.all_steps_ms())
                && misses_deadline(job.waiting_critical_path_ms())
        });
    }

    /// Refuses the queued jobs without started or offloaded tasks that `is_refused` selects.
    ///
    /// A job whose entry process is about to send it again would be gone by then, and could no longer be
    /// told from one whose tasks have run.
    fn refuse_unstarted(&mut self, now_ms: u64, is_refused: impl Fn(&JobState) -> bool) {
        let is_selected = |job: &&JobState| {
            job.is_queued()
                && !job.has_started()
                && !job.requests().is_empty()
                && is_refused(job)
                && !job.has_offloaded()
        };
        let refused: Vec<JobId> = self.jobs.iter().filter(is_selected).map(JobState::id).collect();
        for id in refused {
            let retry_after_ms = self.retry_after_ms(id);
            self.refuse_job(id, RefusalReason::StillQueued, retry_after_ms, now_ms);
        }
    }

    /// Gives up jobs that have started, here or in another zone, but whose waiting tasks cannot end
    /// before the caller's deadline, even if they took the least time after the wait for the work ahead
    /// of them and for earlier runs.
    fn give_up_unreachable_deadlines(&mut self, now_ms: u64) {
        for (id, wait_ahead_ms) in self.unreachable_deadlines(now_ms) {
            if let Some(job) = self.job(id) {
                log_event!(
                    info, JobGivenUp, job = %id, waited_ms = now_ms - job.received_at_ms(),
                    deadline_ms = job.submission().deadline_ms, tasks = job.waiting_tasks(),
                    wait_ahead_ms, lateness = ?job.lateness()
                );
            }
            self.answer_callers(id, &JobAnswer::GivenUp);
            self.close_job(id, JobPhase::Abandoned, now_ms);
        }
    }

    /// Moves jobs that can no longer meet their objective behind those that can, unless they need only
    /// little more work.
    fn defer_late(&mut self, now_ms: u64) {
        let queued = self.jobs.iter().filter(|job| job.is_queued());
        let lateness = queued.map(|job| (job, job.lateness_at(now_ms)));
        let changed = lateness.filter(|(job, lateness)| job.lateness() != *lateness);
        let changed: Vec<(JobId, Lateness)> =
            changed.map(|(job, lateness)| (job.id(), lateness)).collect();
        for (id, lateness) in changed {
            self.dequeue(id);
            if let Some(job) = self.job_mut(id) {
                job.set_lateness(lateness);
            }
            self.enqueue(id);
        }
    }
}
