//! Admission control.
//!
//! Under overload, when more work arrives than the targets can do, a job that would miss its
//! objective is refused at once, so that its caller can turn elsewhere without losing time.

use ggb_telemetry::{log_event, log_job_event};

use crate::{
    Action, Capacity, Dispatcher, EarlierRuns, JobAnswer, JobId, RefusalReason, RequestId,
    StepSpec, Submission, Target,
    dispatcher::{
        job_state::{JobPhase, JobState},
        overload::{Plan, ShedJob},
    },
};

/// Share of the targets' CPU time that tasks can use, in percent. The rest is lost to
/// fragmentation.
pub(super) const USABLE_CPU_PERCENT: u64 = 85;

/// Time after a takeover or a pause of the process during which jobs are queued even if no target
/// has sent a listing. Reading the target list and requesting a listing from each target takes this
/// long on a slow platform.
const WARM_UP_MS: u64 = 1_000;

/// Number of steps that the moving average of task demand covers.
const DEMAND_AVERAGE_WEIGHT: u64 = 32;

/// Minimum `retry_after_ms` of a refusal after which a retry may succeed; also used if the queueing
/// time is unknown.
pub(super) const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Why a job is not admitted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    reason: RefusalReason,
    /// Time after which a retry may succeed; 0 if no retry is suggested.
    retry_after_ms: u64,
    /// The inputs of the decision, if the job was weighed against others.
    shed: Option<ShedJob>,
}

impl Refusal {
    pub(super) const fn new(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Refusal { reason, retry_after_ms, shed: None }
    }
}

impl Dispatcher {
    /// Admits, queues or refuses a job whose caller waits under `request`.
    ///
    /// A repeated submission of a known job is attached to it, and gets the same answer as the
    /// first one.
    pub fn submit(&mut self, mut submission: Submission, request: RequestId, now_ms: u64) {
        self.advance_time(now_ms);
        if self.released {
            self.actions.push(Action::Answer { request, answer: JobAnswer::NotTaken });
            return;
        }
        let id = submission.job.id;
        self.update_average_demand(&submission);
        if let Ok(index) = self.cached_answers.binary_search_by_key(&id, |cached| cached.job)
            && self.cached_answers[index].part == submission.part
        {
            let answer = self.cached_answers[index].answer.clone();
            log_event!(info, AnswerRepeated, job = %id, answer = ?answer);
            self.actions.push(Action::Answer { request, answer });
            return;
        }
        if self.has_deadly_task(id) {
            self.actions.push(Action::Answer { request, answer: JobAnswer::Failed });
            return;
        }
        if let Some(job) = self.job(id)
            && job.submission().part != submission.part
        {
            self.answer_conflicting_part(&submission, request);
            return;
        }
        if let Some(job) = self.job_mut(id) {
            let was_abandoned = job.phase() == JobPhase::Abandoned;
            job.record_caller_check(submission.caller_checked_at_ms(now_ms));
            // An owner that this one did not know of has released the job. A submission that this owner
            // holds already only repeats what is known.
            let was_released = submission.holder.is_none()
                && matches!(submission.earlier_runs, EarlierRuns::OwnZone | EarlierRuns::AnyZone);
            if was_released {
                job.add_earlier_runs(&submission, now_ms);
            }
            job.add_request(request, submission.caller_deadline_ms(now_ms));
            if was_abandoned && job.waiting_tasks() > 0 {
                self.enqueue(id);
            }
            if was_released {
                self.exclude_tasks(&submission, now_ms);
            }
            self.request_awaited_listings(now_ms);
            self.place_tasks(now_ms);
            return;
        }
        // An owner held the job, but the job is no longer known here: its tasks ran and were
        // stopped when the entry process stopped asking for it.
        if submission.holder.is_some() {
            if submission.part.is_some() {
                self.actions.push(Action::Answer { request, answer: JobAnswer::Unknown });
                return;
            }
            submission.add_run_targets(self.targets_with_runs(id));
        }
        let run_times = &self.run_times;
        let steps = submission.job.steps.iter();
        let expected_ms: Vec<u64> = steps
            .map(|step| run_times.expected_ms(&submission.queue.name, step.estimate_ms))
            .collect();
        let critical_path_ms = submission.job.critical_path_ms(&expected_ms);
        let objective_ms = (submission.queue.stretch * critical_path_ms as f64) as u64
            + submission.queue.target_latency_ms;
        let job = JobState::new(submission, request, expected_ms, objective_ms, now_ms);
        let admission = match self.check_admission(&job, now_ms) {
            // Its caller has returned; a refusal would say that no task has run.
            Err(_) if job.submission().part.is_none() && self.has_listed_runs(&job) => {
                Ok(Plan::default())
            }
            admission => admission,
        };
        match admission {
            Ok(plan) => {
                log_job_event!(
                    id.is_sampled(), JobAdmitted, job = %id, queue = %job.submission().queue.name,
                    objective_ms, wait_ms = plan.arrival_wait_ms, tasks = job.tasks.len(), resumed = job.has_started()
                );
                let index = self.jobs.partition_point(|other| other.id() < id);
                self.jobs.insert(index, job);
                self.enqueue(id);
                self.shed_jobs(&plan, now_ms);
                if self.job(id).is_some_and(JobState::is_completed) {
                    self.finish_job(id, JobAnswer::Completed, now_ms);
                    return;
                }
                self.adopt_listed_runs(id, now_ms);
                self.request_awaited_listings(now_ms);
                self.place_tasks(now_ms);
            }
            Err(Refusal { reason, retry_after_ms, shed }) => {
                let queue = &job.submission().queue;
                log_event!(
                    info, JobRefused, job = %id, queue = %queue.name, reason = ?reason,
                    objective_ms, retry_after_ms, priority = queue.priority,
                    cost = shed.map(|shed| shed.cost),
                    work_cpu_ms = shed.map(|shed| shed.work / 1_000),
                    shed_for = shed.map(|shed| shed.shed_for.to_string()),
                    shed_for_cost = shed.map(|shed| shed.shed_for_cost),
                    late = shed.map(|shed| shed.late.to_string()),
                    start_in_ms = shed.map(|shed| shed.start_in_ms),
                    excess_cpu_ms = shed.map(|shed| shed.excess_work / 1_000),
                    free_cpu_milli = self.free_cpu_milli()
                );
                self.count_turned_away(&queue.name, reason);
                let answer = JobAnswer::Refused { reason, retry_after_ms };
                self.actions.push(Action::Answer { request, answer });
            }
        }
    }

    /// Returns the end of the warm-up that follows a takeover or a pause of the process. Until then
    /// jobs are queued even if no target has sent a listing.
    fn warm_up_until_ms(&self) -> u64 {
        self.resync_since_ms.unwrap_or(self.took_over_at_ms) + WARM_UP_MS
    }

    /// Answers a submission that conflicts with a different part of the same job in this zone.
    fn answer_conflicting_part(&mut self, submission: &Submission, request: RequestId) {
        let answer = match submission.part {
            Some(_) => JobAnswer::Refused { reason: RefusalReason::Overloaded, retry_after_ms: 0 },
            None => JobAnswer::Unknown,
        };
        log_event!(info, RivalPart, job = %submission.job.id, part = ?submission.part);
        self.actions.push(Action::Answer { request, answer });
    }

    /// Returns the jobs that give way to an arriving job, or why to refuse it.
    fn check_admission(&self, job: &JobState, now_ms: u64) -> Result<Plan, Refusal> {
        if job.has_started() {
            return Ok(Plan::default());
        }
        if self.evacuated_zones.is_own_evacuated() {
            return self.check_evacuated_admission(job, now_ms);
        }
        let is_part = job.submission().part.is_some();
        let service = &job.submission().queue.service;
        let runs_service =
            |target: &&Target| target.info().service == *service && !target.is_removed();
        let targets: Vec<&Target> = self.targets.iter().filter(runs_service).collect();
        let has_listing = targets.iter().any(|target| target.has_current_listing());
        if !has_listing && now_ms < self.warm_up_until_ms() && !is_part {
            return Ok(Plan::default());
        }
        let fits_local_target =
            |step: &StepSpec| targets.iter().any(|t| t.info().can_run(service, step));
        let fits_remote_target = |step: &StepSpec| {
            let mut remote_targets = self.remote_targets.iter().filter(|target| !target.draining);
            !is_part && remote_targets.any(|target| target.can_run(service, step))
        };
        if !job.steps().all(|step| fits_local_target(step) || fits_remote_target(step)) {
            let is_served = !targets.is_empty()
                || self.remote_targets.iter().any(|target| target.service == *service);
            return Err(match is_served {
                true => Refusal::new(RefusalReason::TooLarge, 0),
                false => Refusal::new(RefusalReason::NoTargets, MIN_RETRY_AFTER_MS),
            });
        }
        // A part does not wait, and an earlier owner may have started its tasks.
        let overloaded = Refusal::new(RefusalReason::Overloaded, MIN_RETRY_AFTER_MS);
        if is_part && !self.are_zone_runs_known(service, now_ms) {
            return Err(overloaded);
        }
        if self.has_capacity_for(job, &targets, now_ms) {
            return Ok(Plan::default());
        }
        // The queueing time in other zones is not known here.
        if is_part || !job.steps().all(fits_local_target) {
            return Err(overloaded);
        }
        let plan = self.plan(service, Some(job), now_ms);
        match plan.shed.iter().find(|shed| shed.job == job.id()) {
            None => Ok(plan),
            Some(shed) => {
                let retry_after_ms = plan.arrival_wait_ms.max(MIN_RETRY_AFTER_MS);
                Err(Refusal { retry_after_ms, shed: Some(*shed), ..overloaded })
            }
        }
    }

    /// Returns whether all tasks whose dependencies are done could start now, in this zone or
    /// others.
    ///
    /// Queued jobs are not considered, since capacity that is free now does not fit their tasks.
    pub(super) fn has_capacity_for(
        &self,
        job: &JobState,
        targets: &[&Target],
        now_ms: u64,
    ) -> bool {
        let usable = targets.iter().filter(|target| self.may_start_on(target, job, now_ms));
        let mut free: Vec<(&Target, Capacity)> =
            usable.map(|target| (*target, target.free())).collect();
        let mut unplaced = 0;
        for task_index in job.startable_tasks() {
            let step = job.step(job.tasks[task_index].id);
            let label = step.required_label.as_deref();
            let fits = |(target, capacity): &&mut (&Target, Capacity)| {
                capacity.fits(&step.demand) && target.has_label(label)
            };
            match free.iter_mut().find(fits) {
                Some((_, capacity)) => *capacity = capacity.saturating_sub(&step.demand),
                None => unplaced += 1,
            }
        }
        match job.submission().part {
            Some(_) => unplaced == 0,
            None => unplaced <= self.offloadable_tasks_of(job, now_ms),
        }
    }

    fn update_average_demand(&mut self, submission: &Submission) {
        for step in &submission.job.steps {
            let cpu_milli = step.demand.cpu_milli;
            self.average_cpu_milli = match self.average_cpu_milli {
                0 => cpu_milli,
                average => {
                    (average * (DEMAND_AVERAGE_WEIGHT - 1) + cpu_milli) / DEMAND_AVERAGE_WEIGHT
                }
            };
        }
    }

    /// Returns the time after which a retry of a queued job may succeed: the work up to its last task
    /// has started by then.
    pub(super) fn retry_after_ms(&self, id: JobId) -> u64 {
        let wait_ms = self.job(id).map_or(0, |job| self.expected_wait_ms(job));
        wait_ms.max(MIN_RETRY_AFTER_MS)
    }
}
