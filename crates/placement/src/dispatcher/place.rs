//! Which waiting task starts where.
//!
//! Tasks start as room comes free, jobs in the order of priority and then of arrival.
//! Waiting until all tasks of a job fit at once starves wide jobs at a crest.

use std::sync::Arc;

use ggb_telemetry::log_job_event;

use crate::{
    Action, Capacity, Dispatcher, EarlierRuns, JobId, LEASE_GONE_MS, LENT_GONE_MS, Run, StepSpec,
    Target, TaskId,
    dispatcher::job_state::{JobPhase, JobState},
};

/// How long a dispatcher that has lost contact with the process that asks for a job keeps
/// it: it holds an answer back for 400 ms, and gives the job up 150 ms later.
const STILL_HELD_MS: u64 = 550;

impl Dispatcher {
    /// Starts waiting tasks where there is room.
    pub(super) fn place(&mut self, now_ms: u64) {
        if self.waiting.is_empty() || self.fenced || !self.is_verified(now_ms) {
            return;
        }
        let mut largest_free = self.largest_free(now_ms);
        let ids: Vec<JobId> = self.waiting.iter().map(|waiting| waiting.job).collect();
        for id in ids {
            let is_settled = self.job(id).is_some_and(|job| self.is_settled(job, now_ms));
            if !is_settled {
                continue;
            }
            let can_lend = self.lendable_tasks(now_ms) > 0;
            if largest_free.cpu_milli == 0 && !can_lend {
                break;
            }
            if self.place_job(id, largest_free, now_ms) {
                largest_free = self.largest_free(now_ms);
            }
            if can_lend {
                self.lend(id, now_ms);
            }
        }
    }

    /// Returns the most that any usable target has free, field by field.
    pub(super) fn largest_free(&self, now_ms: u64) -> Capacity {
        let usable = self.targets.iter().filter(|target| target.is_usable(now_ms));
        usable.map(Target::free).fold(Capacity::default(), |most, free| Capacity {
            cpu_milli: most.cpu_milli.max(free.cpu_milli),
            memory_mb: most.memory_mb.max(free.memory_mb),
            gpus: most.gpus.max(free.gpus),
        })
    }

    /// Starts what fits of one job. Returns whether anything was started.
    fn place_job(&mut self, id: JobId, largest_free: Capacity, now_ms: u64) -> bool {
        let Some(job) = self.job(id) else { return false };
        if job.phase() != JobPhase::Open || !job.steps().any(|step| largest_free.fits(&step.demand))
        {
            return false;
        }
        let mut started = false;
        for at in job.startable() {
            let Some(job) = self.job(id) else { return started };
            let task = &job.tasks[at];
            let Some(target_at) = self.choose(job, task.id, task.avoid.as_deref(), now_ms) else {
                continue;
            };
            self.start(id, at, target_at, now_ms);
            started = true;
        }
        if self.job(id).is_some_and(|job| job.waiting_tasks() == 0) {
            self.unqueue(id);
        }
        started
    }

    /// Returns whether every run of the job that an earlier dispatcher started is known.
    fn is_settled(&self, job: &JobState, now_ms: u64) -> bool {
        match job.submission().earlier_runs {
            EarlierRuns::None => true,
            // Dispatchers that are cut off from each other overlap, so that the one before may
            // have lent tasks until it gave the job up.
            EarlierRuns::AnyZone => now_ms >= job.arrived_at_ms() + LENT_GONE_MS,
            EarlierRuns::StillHeld => now_ms >= job.arrived_at_ms() + STILL_HELD_MS + LENT_GONE_MS,
            EarlierRuns::OwnZone => {
                let service = &job.submission().queue.service;
                let of_service = |target: &&Target| target.info().service == *service;
                let mut targets = self.targets.iter().filter(of_service).peekable();
                now_ms >= self.since_ms + LEASE_GONE_MS
                    || (targets.peek().is_some() && targets.all(Target::is_fenced))
            }
        }
    }

    /// Returns the target with the least room left over that fits the task, one on the rack
    /// of its data first, and one where it failed last.
    fn choose(
        &self,
        job: &JobState,
        task: TaskId,
        avoid: Option<&str>,
        now_ms: u64,
    ) -> Option<usize> {
        let step = job.step(task);
        let service = &job.submission().queue.service;
        let fits = |target: &Target| {
            target.info().service == *service
                && target.is_usable(now_ms)
                && target.free().fits(&step.demand)
                && target.info().has_label(step.required_label.as_deref())
                && has_turn(target, step, task)
        };
        let cost = |target: &Target| {
            let avoided = avoid == Some(target.info().id.as_ref());
            let far = !target.info().has_label(step.near_rack.as_deref());
            (avoided, far, target.free().minus(&step.demand).cpu_milli)
        };
        let candidates = self.targets.iter().enumerate().filter(|(_, target)| fits(target));
        candidates.min_by_key(|(_, target)| cost(target)).map(|(at, _)| at)
    }

    fn start(&mut self, id: JobId, task_at: usize, target_at: usize, now_ms: u64) {
        let Ok(job_at) = self.jobs.binary_search_by_key(&id, JobState::id) else { return };
        let job = &mut self.jobs[job_at];
        let task = &job.tasks[task_at];
        let run = Run { task: task.id, number: task.last_run + 1 };
        let demand = job.step(task.id).demand;
        let expected_ms = job.expected_ms[usize::from(task.id.step)];
        let target = &mut self.targets[target_at];
        let valid_until_clock_ms = target.reserve(run, demand, expected_ms, now_ms);
        let name = Arc::clone(&target.info().id);
        let waited_ms = now_ms.saturating_sub(job.sent_at_ms());
        log_job_event!(run.task.job.is_sampled(), TaskStarted, run = %run, target = %name,
            waited_ms, free_cpu_milli = target.free().cpu_milli
        );
        job.assign(task_at, Arc::clone(&name), run);
        self.actions.push(Action::Start {
            target: name,
            addr: target.info().addr,
            run,
            spec: Arc::clone(&job.submission().job.spec),
            valid_until_clock_ms,
            token_offset: target.token_offset(),
            waited_ms,
            expected_ms,
        });
    }
}

fn has_turn(target: &Target, step: &StepSpec, task: TaskId) -> bool {
    let Some(most) = step.per_target_max else { return true };
    let same_step = |run: &Run| run.task.job == task.job && run.task.step == task.step;
    let there = target.runs().iter().filter(|held| same_step(&held.run)).count();
    there < most as usize
}
