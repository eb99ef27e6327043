//! Placement of waiting tasks on targets.
//!
//! Tasks start individually as capacity becomes free, in the order of job priority and arrival.
//! Waiting until all tasks of a job fit at the same time would starve wide jobs under load.

use std::sync::Arc;

use ggb_telemetry::log_job_event;

use crate::{
    Action, CALLER_EXPIRY_MS, Capacity, Dispatcher, EarlierRuns, JobId, LEASE_EXPIRY_MS, Run,
    Target,
    dispatcher::job_state::{JobPhase, JobState},
};

/// Maximum time for which a former holder of a job may continue to start its tasks after it lost
/// contact with the process that sent it the job: it keeps a request open for up to 400 ms, and
/// closes the job 150 ms later.
const FORMER_HOLDER_GRACE_MS: u64 = 550;

impl Dispatcher {
    /// Starts waiting tasks where capacity is free, and offloads tasks to zones with free capacity.
    pub(super) fn place_tasks(&mut self, now_ms: u64) {
        if self.queue.is_empty() || self.superseded || !self.is_resynced(now_ms) {
            return;
        }
        let mut largest_free = self.largest_free(now_ms);
        let entries = self.queue.clone();
        for entry in entries {
            let can_offload = self.offloadable_tasks(now_ms) > 0;
            if largest_free.cpu_milli == 0 && !can_offload {
                break;
            }
            if largest_free.cpu_milli < entry.min_cpu_milli && !can_offload {
                continue;
            }
            let id = entry.job();
            let are_earlier_runs_known =
                self.job(id).is_some_and(|job| self.are_earlier_runs_known(job, now_ms));
            if !are_earlier_runs_known {
                continue;
            }
            if self.place_job(id, largest_free, now_ms) {
                largest_free = self.largest_free(now_ms);
            }
            if can_offload {
                self.offload_tasks(id, now_ms);
            }
        }
    }

    /// Returns the component-wise maximum of the free capacity of usable targets.
    pub(super) fn largest_free(&self, now_ms: u64) -> Capacity {
        let may_start = self.evacuated_zones.may_start(now_ms);
        let usable = self.targets.iter().filter(|target| may_start && target.is_usable(now_ms));
        usable.map(Target::free).fold(Capacity::default(), |max, free| Capacity {
            cpu_milli: max.cpu_milli.max(free.cpu_milli),
            memory_mb: max.memory_mb.max(free.memory_mb),
            gpus: max.gpus.max(free.gpus),
        })
    }

    /// Starts the waiting tasks of one job that fit. Returns whether any was started.
    fn place_job(&mut self, id: JobId, largest_free: Capacity, now_ms: u64) -> bool {
        let Some(job) = self.job(id) else { return false };
        if job.phase() != JobPhase::Open || !job.steps().any(|step| largest_free.fits(&step.demand))
        {
            return false;
        }
        let mut started = false;
        let mut full_step = None;
        for task_index in job.startable_tasks() {
            let Some(job) = self.job(id) else { return started };
            let task = &job.tasks[task_index];
            if full_step == Some(task.id.step) {
                continue;
            }
            let Some(target_index) =
                self.choose_target(job, task.id, task.avoided_target.as_deref(), now_ms)
            else {
                // Tasks of a step have the same demands, unless one needs a target of its own.
                if !self.is_suspect(task.id) {
                    full_step = Some(task.id.step);
                }
                continue;
            };
            self.start_task(id, task_index, target_index, now_ms);
            started = true;
        }
        if self.job(id).is_some_and(|job| job.waiting_tasks() == 0) {
            self.dequeue(id);
        }
        started
    }

    /// Returns whether every run of the job that an earlier dispatcher may have started is known or
    /// has ended.
    fn are_earlier_runs_known(&self, job: &JobState, now_ms: u64) -> bool {
        match job.submission().earlier_runs {
            // The caller may have sent the job before, to the earlier owner of this zone, which may
            // be too slow to notice that the caller disconnected.
            EarlierRuns::None => self.are_zone_runs_known(&job.submission().queue.service, now_ms),
            // The earlier owner started tasks and renewed leases until it released the job, whatever
            // this dispatcher knew by then, so that neither its term nor the targets that it knows
            // matter, nor what they listed before.
            EarlierRuns::OwnZone => {
                let has_listing = |id: &Arc<str>| {
                    let index = self.target_index(id);
                    index.is_some_and(|index| {
                        self.targets[index].has_listing_since(job.arrived_at_ms())
                    })
                };
                let targets = job.submission().run_targets.as_deref();
                targets.is_some_and(|targets| targets.iter().all(has_listing))
                    || now_ms >= job.arrived_at_ms() + LEASE_EXPIRY_MS
            }
            EarlierRuns::AnyZone | EarlierRuns::StillHeld => now_ms >= remote_runs_end_ms(job),
        }
    }

    /// Returns the earliest time at which waiting tasks of a job may start. Runs in other zones are waited
    /// for, but never listed here; runs in this zone are known once each target has sent a listing.
    pub(super) fn earliest_start_ms(&self, job: &JobState, now_ms: u64) -> u64 {
        let runs_end_ms = remote_runs_end_ms(job);
        let mut targets = self.targets_of(&job.submission().queue.service);
        let is_listed =
            |target: &Target| target.has_listing_since(job.arrived_at_ms()) || target.is_silent();
        match runs_end_ms > now_ms && targets.all(is_listed) {
            true => runs_end_ms,
            false => now_ms,
        }
    }

    /// Returns whether the runs of a service that earlier owners of this zone started are known:
    /// all targets that answer have sent a listing, or their leases must have expired.
    ///
    /// A silent target doesn't count, since most such targets have crashed. Waiting for their
    /// leases after each change of the owner would delay all new jobs by a second. Runs that such
    /// a target still has, and runs in other zones, end before their caller sends the job again, see
    /// [`CALLER_EXPIRY_MS`].
    pub(super) fn are_zone_runs_known(&self, service: &str, now_ms: u64) -> bool {
        let mut targets = self.targets_of(service).peekable();
        now_ms >= self.took_over_at_ms + LEASE_EXPIRY_MS
            || (targets.peek().is_some()
                && targets.all(|target| target.has_current_listing() || target.is_silent()))
    }

    pub(super) fn targets_of(&self, service: &str) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(move |target| *target.info().service == *service)
    }

    /// Returns whether tasks of a job may start on a target now, as far as its free capacity allows.
    ///
    /// A target that does not enforce its capacity relies on its owner to know what runs on it.
    pub(super) fn may_start_on(&self, target: &Target, job: &JobState, now_ms: u64) -> bool {
        let queue = &job.submission().queue;
        self.evacuated_zones.may_start(now_ms)
            && target.info().service == queue.service
            && target.is_usable(now_ms)
            && (queue.targets_enforce_capacity || target.is_free_capacity_known())
            && target.lease_ends_before_return(job.caller_checked_at_ms(), now_ms)
    }

    fn start_task(&mut self, id: JobId, task_index: usize, target_index: usize, now_ms: u64) {
        let Ok(job_index) = self.jobs.binary_search_by_key(&id, JobState::id) else { return };
        let task_id = self.jobs[job_index].tasks[task_index].id;
        let (run_ms, reference_ms) = self.expected_run_ms(target_index, task_id);
        let job = &mut self.jobs[job_index];
        let task = &job.tasks[task_index];
        let run = Run { task: task.id, number: task.last_run_number + 1 };
        let demand = job.step(task.id).demand;
        let expected_ms = job.expected_ms[usize::from(task.id.step)];
        let work = demand.cpu_milli.saturating_mul(expected_ms);
        self.recent_work.add(&job.submission().queue, work, now_ms);
        let target = &mut self.targets[target_index];
        let valid_until_clock_ms = target.reserve(run, demand, run_ms, now_ms);
        target.set_reference_ms(run, reference_ms);
        let target_id = Arc::clone(&target.info().id);
        let waited_ms = now_ms.saturating_sub(job.received_at_ms());
        log_job_event!(run.task.job.is_sampled(), TaskStarted, run = %run, target = %target_id,
            waited_ms, free_cpu_milli = target.free().cpu_milli
        );
        job.assign(task_index, Arc::clone(&target_id), run);
        self.actions.push(Action::Start {
            target: target_id,
            addr: target.info().addr,
            run,
            spec: Arc::clone(&job.submission().job.spec),
            valid_until_clock_ms,
            seen_restarts: target.seen_restarts(),
            waited_ms,
            expected_ms,
        });
    }
}

/// Returns the time by which runs of a job that an earlier dispatcher started in any zone have ended; 0
/// if there are none.
///
/// Dispatchers that cannot reach each other may be active at the same time, so that the earlier one may
/// have offloaded tasks until it released the job.
const fn remote_runs_end_ms(job: &JobState) -> u64 {
    match job.submission().earlier_runs {
        EarlierRuns::None | EarlierRuns::OwnZone => 0,
        EarlierRuns::AnyZone => job.arrived_at_ms() + CALLER_EXPIRY_MS,
        EarlierRuns::StillHeld => job.arrived_at_ms() + FORMER_HOLDER_GRACE_MS + CALLER_EXPIRY_MS,
    }
}
