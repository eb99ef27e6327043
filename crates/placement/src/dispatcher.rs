//! Admission, queueing and placement for the targets of one zone.

mod action;
mod admission;
mod due;
mod evacuation;
mod held;
mod job_state;
mod lending;
mod listings;
mod load;
mod losses;
mod overload;
mod place;
mod queue_entry;
mod recent_work;
mod renewal;
mod selection;
mod speeds;

use std::sync::Arc;

use ggb_model::token_after_restarts;
use ggb_telemetry::log_event;

use crate::{
    Claim, JobAnswer, JobId, LossCause, RefusalReason, Run, RunPhase, RunTimes, Target, TargetInfo,
    TargetLosses,
    dispatcher::{
        evacuation::EvacuatedZones,
        job_state::{JobPhase, JobState},
        lending::{OffloadedPart, RemoteZone},
        queue_entry::QueueEntry,
        recent_work::RecentWork,
        speeds::SpeedComparison,
    },
};

pub use crate::dispatcher::{
    action::{Action, Load, RequestId, StartOutcome},
    lending::PartOutcome,
    renewal::ListingRequest,
    speeds::SpeedSummary,
};

/// Maximum number of cached answers.
const MAX_CACHED_ANSWERS: usize = 8_192;

/// Share of the response time objective after which a job that has not started is refused, in
/// percent. A job that starts later is unlikely to meet its objective.
const MAX_QUEUE_TIME_PERCENT: u64 = 35;

/// Minimum interval between two extra listing requests to the same target.
const MIN_LISTING_REQUEST_INTERVAL_MS: u64 = 100;

/// Value of [`MIN_LISTING_REQUEST_INTERVAL_MS`] for jobs that arrived after the last request. The jobs
/// of an owner that steps down arrive within a few ms and then wait for the same targets.
const MIN_AWAITED_LISTING_INTERVAL_MS: u64 = 5;

#[derive(Debug)]
struct CachedAnswer {
    job: JobId,
    part: Option<u64>,
    answer: JobAnswer,
    at_ms: u64,
}

/// Schedules jobs on the targets of one zone, of which it is the only owner.
#[derive(Debug)]
pub struct Dispatcher {
    /// The fencing token of the owner.
    token: u64,
    /// Time at which this dispatcher took over the targets.
    took_over_at_ms: u64,
    /// Time of the last method call that passed a time.
    last_event_at_ms: u64,
    /// Time at which a pause of the process was detected, while targets have not yet confirmed that
    /// they still belong to this dispatcher.
    resync_since_ms: Option<u64>,
    /// Sorted by id.
    targets: Vec<Target>,
    /// Targets of other zones, sorted by id; tasks run on them only by offloading.
    remote_targets: Vec<TargetInfo>,
    /// Sorted by job id.
    jobs: Vec<JobState>,
    /// Jobs with waiting tasks in scheduling order.
    queue: Vec<QueueEntry>,
    /// Answers of finished jobs for repeated submissions, sorted by job id.
    cached_answers: Vec<CachedAnswer>,
    run_times: RunTimes,
    speed_comparison: SpeedComparison,
    actions: Vec<Action>,
    /// Target id and time of the last extra listing request, sorted by id.
    listing_requests: Vec<(Arc<str>, u64)>,
    superseded: bool,
    /// Whether the targets were released.
    released: bool,
    /// Moving average of the CPU demand of a task.
    average_cpu_milli: u64,
    /// Capacity reported by other zones, sorted by zone.
    remote_zones: Vec<RemoteZone>,
    offloaded_parts: Vec<OffloadedPart>,
    next_part: u64,
    /// Number of runs that ended without a listed end since [`Dispatcher::take_lost_runs`].
    lost_runs: u64,
    target_losses: TargetLosses,
    evacuated_zones: EvacuatedZones,
    recent_work: RecentWork,
    /// Numbers of refused jobs by queue and reason since [`Dispatcher::take_turned_away`].
    turned_away: Vec<(Arc<str>, RefusalReason, u64)>,
}

impl Dispatcher {
    /// Returns a dispatcher that takes over at `now_ms` and has no targets yet.
    ///
    /// Parts offloaded to other zones are numbered from the identifier of the claim. No two
    /// dispatchers may use the same numbers, since other zones cache answers under them.
    pub const fn new(run_times: RunTimes, claim: Claim, now_ms: u64) -> Self {
        Dispatcher {
            token: claim.token,
            took_over_at_ms: now_ms,
            last_event_at_ms: now_ms,
            resync_since_ms: None,
            targets: Vec::new(),
            remote_targets: Vec::new(),
            jobs: Vec::new(),
            queue: Vec::new(),
            cached_answers: Vec::new(),
            run_times,
            speed_comparison: SpeedComparison::new(),
            actions: Vec::new(),
            listing_requests: Vec::new(),
            superseded: false,
            released: false,
            average_cpu_milli: 0,
            remote_zones: Vec::new(),
            offloaded_parts: Vec::new(),
            next_part: claim.id.0,
            lost_runs: 0,
            target_losses: TargetLosses::new(),
            evacuated_zones: EvacuatedZones::new(),
            recent_work: RecentWork::new(now_ms),
            turned_away: Vec::new(),
        }
    }

    /// Removes and returns the pending actions, oldest first.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of runs that ended without a listed end since the last call, for metrics.
    pub const fn take_lost_runs(&mut self) -> u64 {
        std::mem::replace(&mut self.lost_runs, 0)
    }

    /// Returns whether a target rejected a start request because another dispatcher has taken it
    /// over.
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the targets, sorted by id.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Returns a target, to record observations that trigger no scheduling decision by themselves.
    pub fn target_mut(&mut self, id: &str) -> Option<&mut Target> {
        let index = self.target_index(id)?;
        Some(&mut self.targets[index])
    }

    /// Returns the number of queued jobs per priority, most urgent first.
    pub fn queued_jobs(&self) -> Vec<(u8, usize)> {
        let mut queued: Vec<(u8, usize)> = Vec::new();
        for entry in &self.queue {
            let priority = entry.position.priority;
            match queued.binary_search_by_key(&priority, |(other, _)| *other) {
                Ok(index) => queued[index].1 += 1,
                Err(index) => queued.insert(index, (priority, 1)),
            }
        }
        queued
    }

    /// Adds or updates a target of this zone.
    pub fn upsert_target(&mut self, info: TargetInfo) {
        self.record_target_restart(&info);
        match self.targets.binary_search_by(|target| target.info().id.cmp(&info.id)) {
            Ok(index) => self.targets[index].update_info(info),
            Err(index) => self.targets.insert(index, self.new_target(info)),
        }
    }

    /// Adds or updates a target of another zone.
    pub fn upsert_remote_target(&mut self, info: TargetInfo) {
        self.record_target_restart(&info);
        match self.remote_targets.binary_search_by(|target| target.id.cmp(&info.id)) {
            Ok(index) => self.remote_targets[index] = info,
            Err(index) => self.remote_targets.insert(index, info),
        }
    }

    /// Records that a target left the target list. Its runs continue until they end or its lease
    /// expires.
    pub fn mark_target_removed(&mut self, id: &str) {
        self.record_target_gone(id);
        self.remote_targets.retain(|target| *target.id != *id);
        if let Some(target) = self.target_mut(id) {
            target.mark_removed();
        }
    }

    /// Drops removed targets without runs. Returns their ids.
    pub fn prune_removed_targets(&mut self) -> Vec<Arc<str>> {
        let is_unused = |target: &Target| target.is_removed() && target.runs().is_empty();
        let unused = self.targets.iter().filter(|target| is_unused(target));
        let ids: Vec<Arc<str>> = unused.map(|target| Arc::clone(&target.info().id)).collect();
        self.targets.retain(|target| !is_unused(target));
        self.listing_requests.retain(|(requested, _)| !ids.contains(requested));
        ids
    }

    /// Records that the caller of `request` no longer waits.
    pub fn remove_request(&mut self, request: RequestId, now_ms: u64) {
        for job in &mut self.jobs {
            job.remove_request(request, now_ms);
        }
    }

    /// Records that an entry process found a caller of a job connected at `checked_at_ms`.
    pub fn record_caller_check(&mut self, id: JobId, checked_at_ms: u64) {
        if let Some(job) = self.job_mut(id) {
            job.record_caller_check(checked_at_ms);
        }
    }

    /// Returns the time at which an entry process last found a caller of a job connected, or `None` if
    /// the job is not known.
    pub fn caller_checked_at_ms(&self, id: JobId) -> Option<u64> {
        self.job(id).map(JobState::caller_checked_at_ms)
    }

    /// Releases all targets and answers every caller that the next dispatcher continues its job. The
    /// dispatcher takes no jobs from then on.
    pub fn step_down(&mut self) {
        self.released = true;
        let mut runs: Vec<(JobId, &Arc<str>)> = Vec::new();
        for target in &self.targets {
            let target_id = &target.info().id;
            runs.extend(target.runs().iter().map(|run| (run.run.task.job, target_id)));
        }
        runs.sort_unstable();
        let token = self.highest_request_token();
        for job in self.jobs.drain(..) {
            let first = runs.partition_point(|(other, _)| *other < job.id());
            let of_job = runs[first..].iter().take_while(|(other, _)| *other == job.id());
            let run_targets = of_job.map(|(_, target)| Arc::clone(target));
            let run_targets = job.submission().run_targets_with(run_targets);
            let moved = job.requests().iter().map(|request| Action::Answer {
                request: *request,
                answer: JobAnswer::Moved {
                    done: job.done_tasks(),
                    earlier_runs: job.earlier_runs(),
                    run_targets: run_targets.clone(),
                    token: Some(token),
                },
            });
            self.actions.extend(moved);
        }
        self.queue.clear();
        self.offloaded_parts.clear();
    }

    /// Returns the highest token that requests to targets carried.
    fn highest_request_token(&self) -> u64 {
        let restarts = self.targets.iter().map(Target::seen_restarts).max();
        token_after_restarts(self.token, restarts.unwrap_or(0))
    }

    /// Returns the targets that have runs of a job.
    fn targets_with_runs(&self, job: JobId) -> impl Iterator<Item = Arc<str>> {
        let has_run =
            move |target: &&Target| target.runs().iter().any(|run| run.run.task.job == job);
        self.targets.iter().filter(has_run).map(|target| Arc::clone(&target.info().id))
    }

    /// Applies the outcome of a request to start `run`.
    pub fn apply_start_outcome(
        &mut self,
        id: &str,
        run: Run,
        seen_restarts: u64,
        outcome: StartOutcome,
        clock_ms: Option<u64>,
        now_ms: u64,
    ) {
        self.advance_time(now_ms);
        let Some(target_index) = self.target_index(id) else { return };
        let target = &mut self.targets[target_index];
        // A lower offset means that the request was addressed to an earlier incarnation of the
        // target.
        let is_to_current = seen_restarts == target.seen_restarts();
        self.superseded |= outcome == StartOutcome::Fenced && is_to_current;
        let target_run = target.runs().iter().find(|target_run| target_run.run == run).copied();
        if let Some((target_run, clock_ms)) = target_run.zip(clock_ms)
            && is_to_current
            && target.update_clock(clock_ms, target_run.start_sent_at_ms, now_ms)
        {
            log_event!(warn, TargetRestartSeen, target = id, run = %run, clock_ms);
            self.request_listing(target_index, now_ms);
            self.restart_polling(target_index);
        }
        let Some(target_run) = target_run else { return };
        let target = &mut self.targets[target_index];
        match outcome {
            StartOutcome::Accepted if target_run.phase == RunPhase::Ordered => {
                target.set_phase(run, RunPhase::Running, now_ms);
                return;
            }
            StartOutcome::Unanswered if target_run.phase == RunPhase::Ordered => {
                target.set_phase(run, RunPhase::Unanswered, now_ms);
                log_event!(warn, StartUnanswered, run = %run, target = id);
                return;
            }
            StartOutcome::Accepted | StartOutcome::Unanswered => return,
            // A listing has shown the run since the request was sent; only a later listing can end
            // it.
            _ if target_run.is_confirmed() => return,
            StartOutcome::NoRoom => target.pause_after_no_capacity(now_ms),
            StartOutcome::Unhealthy | StartOutcome::Invalid => target.eject(now_ms),
            StartOutcome::OtherLife => target.mark_removed(),
            StartOutcome::NotSent
            | StartOutcome::OldRun
            | StartOutcome::TooLate
            | StartOutcome::Fenced => {}
        }
        target.release(run);
        log_event!(warn, StartRefused, run = %run, target = id, outcome = ?outcome);
        if outcome == StartOutcome::NotSent {
            self.set_target_reachable(id, false, now_ms);
        }
        self.request_listing(target_index, now_ms);
        // A target answers so if it has seen the run before.
        if outcome != StartOutcome::OldRun
            && let Some(job) = self.job_mut(run.task.job)
        {
            job.record_unbegun_run(run, id);
        }
        self.requeue_task(run, id, false, now_ms);
        self.place_tasks(now_ms);
    }

    /// Records whether a target answered its last listing request.
    pub fn set_target_reachable(&mut self, id: &str, reachable: bool, now_ms: u64) {
        let Some(target_index) = self.target_index(id) else { return };
        match (self.targets[target_index].set_unreachable(!reachable), reachable) {
            (true, true) => {
                log_event!(info, TargetReachable, target = id);
                // The lease was not renewed meanwhile, and the periodic request may still wait for an
                // earlier incarnation.
                self.push_listing_request(target_index, now_ms);
                self.restart_polling(target_index);
            }
            (true, false) => {
                log_event!(warn, TargetUnreachable, target = id);
                self.record_target_loss(target_index, LossCause::Unknown, now_ms);
            }
            (false, _) => return,
        }
        if reachable {
            self.place_tasks(now_ms);
        }
    }

    /// Records that a target did not answer a listing request, which failed after `took_ms` of at
    /// most `timeout_ms`.
    ///
    /// The failure shows nothing about a target that has answered a later request: it may have restarted
    /// and left the earlier request without an answer.
    pub fn record_listing_failure(&mut self, id: &str, took_ms: u64, timeout_ms: u64, now_ms: u64) {
        let requested_at_ms = now_ms.saturating_sub(took_ms);
        let Some(target) = self.target_mut(id) else { return };
        if target.has_listing_since(requested_at_ms + 1) {
            log_event!(info, ListingFailureIgnored, target = id, took_ms);
            return;
        }
        target.record_listing_failure(took_ms, timeout_ms);
        self.set_target_reachable(id, false, now_ms);
        self.place_tasks(now_ms);
    }

    /// Returns whether any job is left, so that ticks must continue at a short interval.
    pub fn has_jobs(&self) -> bool {
        !self.jobs.is_empty()
    }

    fn refuse_job(&mut self, id: JobId, reason: RefusalReason, retry_after_ms: u64, now_ms: u64) {
        if let Some(job) = self.job(id) {
            let waited_ms = now_ms - job.received_at_ms();
            let queue = Arc::clone(&job.submission().queue.name);
            log_event!(
                info, JobRefused, job = %id, queue = %queue, reason = ?reason, objective_ms = job.objective_ms(), waited_ms, retry_after_ms,
                free_cpu_milli = self.free_cpu_milli(),
                largest_free_cpu_milli = self.largest_free(now_ms).cpu_milli
            );
            self.count_turned_away(&queue, reason);
        }
        self.answer_callers(id, &JobAnswer::Refused { reason, retry_after_ms });
        self.close_job(id, JobPhase::Abandoned, now_ms);
    }

    /// Sends an answer to every caller that waits for the job.
    fn answer_callers(&mut self, id: JobId, answer: &JobAnswer) {
        let Some(job) = self.job_mut(id) else { return };
        let requests = job.take_requests().into_iter();
        let answers = requests.map(|request| Action::Answer { request, answer: answer.clone() });
        self.actions.extend(answers);
    }

    fn cache_answer(&mut self, job: JobId, answer: JobAnswer, at_ms: u64) {
        let part = self.job(job).and_then(|state| state.submission().part);
        let cached = CachedAnswer { job, part, answer, at_ms };
        match self.cached_answers.binary_search_by_key(&job, |cached| cached.job) {
            Ok(index) => self.cached_answers[index] = cached,
            Err(index) => self.cached_answers.insert(index, cached),
        }
        if self.cached_answers.len() > MAX_CACHED_ANSWERS {
            let oldest = (0..self.cached_answers.len())
                .min_by_key(|index| self.cached_answers[*index].at_ms);
            self.cached_answers.remove(oldest.unwrap_or(0));
        }
    }

    /// Closes a job: starts no more of its tasks and stops its runs.
    fn close_job(&mut self, id: JobId, phase: JobPhase, now_ms: u64) {
        self.dequeue(id);
        let Some(job) = self.job_mut(id) else { return };
        job.set_phase(phase);
        let assigned: Vec<(Arc<str>, Run)> = job.assigned().collect();
        let offloaded_parts = self.offloaded_parts.iter().filter(|offloaded| offloaded.job == id);
        self.actions
            .extend(offloaded_parts.map(|offloaded| Action::CancelPart { part: offloaded.part }));
        for (target, run) in assigned {
            if let Some(target_index) = self.target_index(&target) {
                self.stop_run(target_index, run, now_ms);
            }
        }
        self.remove_if_ended(id);
    }

    fn remove_if_ended(&mut self, id: JobId) {
        if let Ok(index) = self.jobs.binary_search_by_key(&id, JobState::id)
            && self.jobs[index].is_ended()
        {
            self.jobs.remove(index);
        }
    }

    fn stop_run(&mut self, target_index: usize, run: Run, now_ms: u64) {
        let target = &mut self.targets[target_index];
        if target.mark_stopping(run, now_ms) {
            let seen_restarts = target.seen_restarts();
            let (target, addr) = (Arc::clone(&target.info().id), target.info().addr);
            self.actions.push(Action::Stop { target, addr, run, seen_restarts });
        }
    }

    /// Requests a listing from a target, unless one was requested a short time ago.
    fn request_listing(&mut self, target_index: usize, now_ms: u64) {
        let last_ms = self.listing_requested_at_ms(&self.targets[target_index].info().id);
        if last_ms.is_none_or(|last_ms| now_ms >= last_ms + MIN_LISTING_REQUEST_INTERVAL_MS) {
            self.push_listing_request(target_index, now_ms);
        }
    }

    /// Returns the time of the last extra listing request to a target.
    fn listing_requested_at_ms(&self, id: &str) -> Option<u64> {
        let index = self.listing_requests.binary_search_by(|(requested, _)| (**requested).cmp(id));
        index.ok().map(|index| self.listing_requests[index].1)
    }

    fn push_listing_request(&mut self, target_index: usize, now_ms: u64) {
        let target = Arc::clone(&self.targets[target_index].info().id);
        match self.listing_requests.binary_search_by(|(requested, _)| requested.cmp(&target)) {
            Ok(position) => self.listing_requests[position].1 = now_ms,
            Err(position) => self.listing_requests.insert(position, (Arc::clone(&target), now_ms)),
        }
        self.actions.push(Action::RequestListing { target });
    }

    /// Requests the listings that released jobs wait for.
    fn request_awaited_listings(&mut self, now_ms: u64) {
        let mut awaited: Vec<usize> = Vec::new();
        for job in self.jobs.iter().filter(|job| job.is_queued()) {
            let since_ms = job.arrived_at_ms();
            let is_awaited = |index: &usize| {
                let target = &self.targets[*index];
                !target.is_removed()
                    && !target.has_listing_since(since_ms)
                    && self.may_request_awaited_listing(target, since_ms, now_ms)
            };
            let run_targets = job.awaited_targets(now_ms).iter();
            awaited.extend(run_targets.filter_map(|id| self.target_index(id)).filter(is_awaited));
        }
        awaited.sort_unstable();
        awaited.dedup();
        for target_index in awaited {
            self.push_listing_request(target_index, now_ms);
        }
    }

    /// Returns whether to request a listing for a job that arrived at `since_ms`. The last one that was
    /// requested does not count if it was requested before that, or if it may be lost.
    fn may_request_awaited_listing(&self, target: &Target, since_ms: u64, now_ms: u64) -> bool {
        let Some(last_ms) = self.listing_requested_at_ms(&target.info().id) else { return true };
        let interval_ms = match last_ms < since_ms {
            true => MIN_AWAITED_LISTING_INTERVAL_MS,
            false => MIN_LISTING_REQUEST_INTERVAL_MS,
        };
        now_ms >= last_ms + interval_ms
    }

    /// Returns the task of an ended run to the queue, unless its job is closed.
    fn requeue_task(&mut self, run: Run, target_id: &str, failed: bool, now_ms: u64) {
        let Some(job) = self.job_mut(run.task.job) else { return };
        if !job.unassign(run, target_id, failed) {
            return;
        }
        match job.phase() {
            JobPhase::Open if job.has_used_all_attempts(run.task) => {
                log_event!(info, JobFailed, job = %run.task.job, run = %run);
                self.finish_job(run.task.job, JobAnswer::Failed, now_ms);
            }
            JobPhase::Open => self.enqueue(run.task.job),
            JobPhase::Abandoned | JobPhase::Finished => self.remove_if_ended(run.task.job),
        }
    }

    fn finish_job(&mut self, id: JobId, answer: JobAnswer, now_ms: u64) {
        self.answer_callers(id, &answer);
        self.cache_answer(id, answer, now_ms);
        self.close_job(id, JobPhase::Finished, now_ms);
    }

    fn enqueue(&mut self, id: JobId) {
        let Some(entry) = self.job(id).map(JobState::queue_entry) else { return };
        if let Err(index) = self.queue_index(&entry) {
            self.queue.insert(index, entry);
        }
    }

    fn dequeue(&mut self, id: JobId) {
        let Some(entry) = self.job(id).map(JobState::queue_entry) else { return };
        if let Ok(index) = self.queue_index(&entry) {
            self.queue.remove(index);
        }
    }

    fn queue_index(&self, entry: &QueueEntry) -> Result<usize, usize> {
        self.queue.binary_search_by_key(&entry.position, |other| other.position)
    }

    fn job(&self, id: JobId) -> Option<&JobState> {
        let index = self.jobs.binary_search_by_key(&id, JobState::id).ok()?;
        Some(&self.jobs[index])
    }

    fn job_mut(&mut self, id: JobId) -> Option<&mut JobState> {
        let index = self.jobs.binary_search_by_key(&id, JobState::id).ok()?;
        Some(&mut self.jobs[index])
    }

    fn target_index(&self, id: &str) -> Option<usize> {
        self.targets.binary_search_by(|target| target.info().id.as_ref().cmp(id)).ok()
    }
}
