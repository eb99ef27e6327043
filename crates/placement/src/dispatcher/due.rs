//! What becomes due as time passes.

use std::sync::Arc;

use ggb_telemetry::log_event;

use crate::{
    Dispatcher, JobAnswer, JobId, LEASE_GONE_MS, RefusalReason, RunPhase,
    dispatcher::{
        QUEUE_SHARE_PERCENT,
        job_state::{JobPhase, JobState},
    },
};

/// How long a job without a caller is kept before its tasks are stopped. A caller's entry
/// process that lost the connection asks again within this time.
const ABANDONED_GRACE_MS: u64 = 150;

/// How long a run of an earlier dispatcher may go on before somebody asks for its job. A new
/// owner says at once that it is there, and what waits for one that is silent gives up
/// within 150 ms of that.
const ORPHAN_GRACE_MS: u64 = 200;

/// How long a run may show no progress from one listing to a later one before it is stopped
/// and started elsewhere. The longest tasks, of 8 s, move by a percent each 80 ms.
const STALLED_MS: u64 = 300;

/// How long after its expected end a run is asked about: a target answers at once when a
/// run ends, and silence may mean that the answer was lost.
const OVERDUE_MS: u64 = 40;

/// A pause of the process after which it may have been taken for dead. Another VM claims the
/// targets of an owner that is silent for 450 ms.
const PAUSED_MS: u64 = 400;

/// The pause before an order to stop a run is sent again.
const STOP_RETRY_MS: u64 = 100;

/// The least share of its expected time that a task runs, in percent. Callers' estimates are
/// off by up to 40%, and run times spread as much.
const SHORTEST_RUN_PERCENT: u64 = 50;

/// How long the answer of a finished job is kept for a repeated request.
const ANSWER_KEPT_MS: u64 = 15_000;

impl Dispatcher {
    /// Does what has become due: lapsed leases, stalled and orphaned runs, abandoned jobs,
    /// refusals of jobs that waited long enough.
    pub fn tick(&mut self, now_ms: u64) {
        self.note_time(now_ms);
        self.lapse_leases(now_ms);
        self.stop_overdue_runs(now_ms);
        self.close_abandoned(now_ms);
        self.refuse_overdue(now_ms);
        self.give_up_hopeless(now_ms);
        self.defer_late(now_ms);
        self.place(now_ms);
        for target in &mut self.targets {
            target.forget_old_ends(now_ms);
        }
        self.answers.retain(|kept| now_ms < kept.at_ms + ANSWER_KEPT_MS);
    }

    /// Notes that time has passed. After a pause of the process another one may own the
    /// targets: each is then asked again before anything is started, since a target that
    /// crashed meanwhile would obey any token.
    pub(super) fn note_time(&mut self, now_ms: u64) {
        let paused_ms = now_ms.saturating_sub(self.told_at_ms);
        self.told_at_ms = now_ms;
        if paused_ms > PAUSED_MS {
            log_event!(warn, ProcessPaused, paused_ms);
            self.verifies_since_ms = Some(now_ms);
            self.targets.iter_mut().for_each(|target| target.forget_listing(now_ms));
            (0..self.targets.len()).for_each(|at| self.look(at, now_ms));
        }
    }

    /// Returns whether every target has answered since the last pause of the process.
    pub(super) fn is_verified(&mut self, now_ms: u64) -> bool {
        let Some(since_ms) = self.verifies_since_ms else { return true };
        let is_verified = now_ms >= since_ms + LEASE_GONE_MS
            || self.targets.iter().all(|target| target.is_fenced() || target.is_gone());
        if is_verified {
            self.verifies_since_ms = None;
        }
        is_verified
    }

    fn lapse_leases(&mut self, now_ms: u64) {
        let mut lapsed = Vec::new();
        for target in &mut self.targets {
            let silent = target.is_unreachable() || target.is_gone();
            if silent && !target.runs().is_empty() && target.is_lease_gone(now_ms) {
                log_event!(warn, LeaseLapsed, target = %target.info().id, runs = target.runs().len());
                let name = Arc::clone(&target.info().id);
                let ended = target.lapse().into_iter();
                lapsed.extend(ended.map(|ended| (Arc::clone(&name), ended.run)));
            }
        }
        for (target, run) in lapsed {
            self.task_freed(run, &target, false, now_ms);
        }
    }

    /// Stops runs that nobody asks for or that make no progress, and asks for a listing
    /// where an unanswered order can no longer be carried out.
    fn stop_overdue_runs(&mut self, now_ms: u64) {
        let mut stops = Vec::new();
        let mut looks = Vec::new();
        for (at, target) in self.targets.iter_mut().enumerate() {
            let clock_ms = target.clock_at(now_ms).unwrap_or(0);
            let mut stalled = false;
            for held in target.runs() {
                match held.phase {
                    RunPhase::Orphaned if now_ms >= held.since_ms + ORPHAN_GRACE_MS => {
                        stops.push((at, held.run, "nobody asked for it"));
                    }
                    RunPhase::Running if held.listed_at_ms >= held.progress_at_ms + STALLED_MS => {
                        stalled = true;
                        stops.push((at, held.run, "no progress"));
                    }
                    RunPhase::Running if now_ms >= held.overdue_at_ms(OVERDUE_MS) => looks.push(at),
                    RunPhase::Unanswered if clock_ms > held.valid_until_clock_ms => looks.push(at),
                    RunPhase::Stopping if now_ms >= held.stop_sent_at_ms + STOP_RETRY_MS => {
                        stops.push((at, held.run, "still there"));
                        looks.push(at);
                    }
                    _ => {}
                }
            }
            if stalled {
                target.observe_stall(now_ms);
            }
        }
        for (at, run, reason) in stops {
            log_event!(warn, RunStopped, run = %run, target = %self.targets[at].info().id, reason);
            self.stop(at, run, now_ms);
        }
        looks.dedup();
        for at in looks {
            self.look(at, now_ms);
        }
    }

    fn close_abandoned(&mut self, now_ms: u64) {
        let is_abandoned = |job: &JobState| job.is_abandoned(now_ms, ABANDONED_GRACE_MS);
        let abandoned: Vec<JobId> =
            self.jobs.iter().filter(|job| is_abandoned(job)).map(JobState::id).collect();
        for id in abandoned {
            log_event!(info, JobAbandoned, job = %id);
            self.close(id, JobPhase::Abandoned, now_ms);
        }
    }

    fn refuse_overdue(&mut self, now_ms: u64) {
        let is_overdue = |job: &JobState| {
            !job.has_started()
                && !job.has_lent()
                && now_ms >= job.queue_until_ms(QUEUE_SHARE_PERCENT)
        };
        let waiting = self.waiting.iter().filter_map(|waiting| self.job(waiting.job));
        let overdue: Vec<JobId> = waiting.filter(|job| is_overdue(job)).map(JobState::id).collect();
        for id in overdue {
            let retry_after_ms = self.retry_after_ms(id);
            self.refuse(id, RefusalReason::StillQueued, retry_after_ms, now_ms);
        }
    }

    /// Answers jobs that have begun and whose waiting tasks can't end before their callers'
    /// deadlines, however soon there is room for them.
    fn give_up_hopeless(&mut self, now_ms: u64) {
        let is_hopeless = |job: &JobState| {
            let is_own = job.phase() == JobPhase::Open && job.submission().part.is_none();
            let least_ms = job.waiting_chain_ms() * SHORTEST_RUN_PERCENT / 100;
            is_own && job.has_started() && now_ms + least_ms > job.caller_deadline_ms()
        };
        let waiting = self.waiting.iter().filter_map(|waiting| self.job(waiting.job));
        let hopeless: Vec<JobId> =
            waiting.filter(|job| is_hopeless(job)).map(JobState::id).collect();
        for id in hopeless {
            if let Some(job) = self.job(id) {
                log_event!(
                    info, JobGivenUp, job = %id, waited_ms = now_ms - job.sent_at_ms(),
                    deadline_ms = job.submission().deadline_ms, tasks = job.waiting_tasks()
                );
            }
            self.answer(id, &JobAnswer::GivenUp);
            self.close(id, JobPhase::Abandoned, now_ms);
        }
    }

    /// Moves jobs that can't be in time any more behind those that can.
    fn defer_late(&mut self, now_ms: u64) {
        let on_time = self.waiting.iter().filter(|waiting| !waiting.is_late);
        let jobs = on_time.filter_map(|waiting| self.job(waiting.job));
        let late: Vec<JobId> =
            jobs.filter(|job| now_ms > job.latest_start_ms()).map(JobState::id).collect();
        for id in late {
            self.unqueue(id);
            if let Some(job) = self.job_mut(id) {
                job.set_late();
            }
            self.enqueue(id);
        }
    }
}
