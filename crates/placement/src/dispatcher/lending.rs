//! Offloading of tasks to targets of other zones.
//!
//! Load peaks of different zones occur at slightly different times. A dispatcher offers tasks that
//! would wait in its own queue to a zone with free capacity, which starts them at once or refuses
//! them. Zones that can reach each other thus share their capacity, and each zone continues with
//! its own owner and queue when it is cut off.

use ggb_model::Zone;
use ggb_telemetry::log_job_event;

use crate::{
    Action, Dispatcher, EarlierRuns, JobAnswer, JobId,
    dispatcher::job_state::{JobPhase, JobState},
};

/// Time for which a zone that refused a part is offered no other. A refusal usually means that the
/// zone has less free capacity than it reported, too little for a task of average demand.
const REFUSED_PART_BACKOFF_MS: u64 = 20;

/// Time for which a capacity report of another zone is used; a few times the interval at which
/// owners send such reports.
const REMOTE_CAPACITY_VALIDITY_MS: u64 = 200;

/// Capacity that another zone reported.
#[derive(Clone, Debug)]
pub(super) struct RemoteZone {
    zone: Zone,
    free_tasks: u64,
    reported_at_ms: u64,
    refused_until_ms: u64,
}

/// Tasks of a job that were submitted to another zone.
#[derive(Clone, Debug)]
pub(super) struct OffloadedPart {
    pub(super) part: u64,
    pub(super) job: JobId,
    zone: Zone,
}

/// Outcome of an offloaded part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// All tasks of the part completed.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The part was refused; none of its tasks started.
    Refused,
    /// Contact was lost or the part was cancelled, long enough ago that none of its tasks can be
    /// running.
    Lost,
}

impl Dispatcher {
    /// Records the number of tasks of average demand that another zone has capacity for.
    pub fn update_remote_capacity(&mut self, zone: &Zone, free_tasks: u64, now_ms: u64) {
        self.advance_time(now_ms);
        let free_tasks = if self.evacuated_zones.may_offload_to(zone) { free_tasks } else { 0 };
        match self.remote_zones.binary_search_by(|remote| remote.zone.cmp(zone)) {
            Ok(index) => {
                self.remote_zones[index].free_tasks = free_tasks;
                self.remote_zones[index].reported_at_ms = now_ms;
            }
            Err(index) => {
                let zone = zone.clone();
                let remote =
                    RemoteZone { zone, free_tasks, reported_at_ms: now_ms, refused_until_ms: 0 };
                self.remote_zones.insert(index, remote);
            }
        }
        if free_tasks > 0 {
            self.place_tasks(now_ms);
        }
    }

    /// Returns the number of tasks that the other zones have capacity for.
    pub(super) fn offloadable_tasks(&self, now_ms: u64) -> u64 {
        let remote_zones = self.remote_zones.iter().filter(|remote| remote.is_current(now_ms));
        remote_zones.map(|remote| remote.free_tasks).sum()
    }

    /// Returns the number of tasks that zones with a suitable target for the job have capacity for.
    pub(super) fn offloadable_tasks_of(&self, job: &JobState, now_ms: u64) -> u64 {
        let startable_tasks = job.startable_tasks();
        let remote_zones = self.remote_zones.iter().filter(|remote| remote.is_current(now_ms));
        let capable =
            remote_zones.filter(|remote| self.may_fit_any(&remote.zone, job, &startable_tasks));
        capable.map(|remote| remote.free_tasks).sum()
    }

    fn may_fit_any(&self, zone: &Zone, job: &JobState, tasks: &[usize]) -> bool {
        tasks.iter().any(|task_index| self.may_fit(zone, job, *task_index))
    }

    /// Returns whether a zone has a target that can run the task, or no target of the zone is
    /// known.
    fn may_fit(&self, zone: &Zone, job: &JobState, task_index: usize) -> bool {
        let (service, step) = (&job.submission().queue.service, job.step(job.tasks[task_index].id));
        let mut zone_targets =
            self.remote_targets.iter().filter(|target| target.zone == *zone).peekable();
        zone_targets.peek().is_none()
            || zone_targets.any(|target| !target.draining && target.can_run(service, step))
    }

    /// Returns whether waiting tasks of a job whose earlier runs are known may be offloaded.
    ///
    /// A job that may have runs in any zone stays with this one, unless the zone is evacuated: once all
    /// of these runs must have ended, its tasks start there as safely as here.
    pub(super) fn may_offload(&self, job: &JobState) -> bool {
        let submission = job.submission();
        job.phase() == JobPhase::Open
            && submission.part.is_none()
            && (submission.earlier_runs < EarlierRuns::AnyZone
                || self.evacuated_zones.is_own_evacuated())
    }

    /// Offers waiting tasks of a job to the zone with the most free capacity among those that can
    /// run them.
    pub(super) fn offload_tasks(&mut self, id: JobId, now_ms: u64) {
        let Some(job) = self.job(id) else { return };
        if !self.may_offload(job) {
            return;
        }
        let mut tasks = job.startable_tasks();
        // The other zone might not know of the losses yet.
        tasks.retain(|task_index| !self.is_suspect(job.tasks[*task_index].id));
        let accepts_part = |remote: &&RemoteZone| {
            let has_part =
                |offloaded: &OffloadedPart| offloaded.job == id && offloaded.zone == remote.zone;
            remote.free_tasks > 0
                && remote.is_current(now_ms)
                && !self.offloaded_parts.iter().any(has_part)
                && self.may_fit_any(&remote.zone, job, &tasks)
        };
        let remote_zones = self.remote_zones.iter().filter(accepts_part);
        let Some(remote) = remote_zones.max_by_key(|remote| remote.free_tasks) else {
            return;
        };
        let (zone, free_tasks) = (remote.zone.clone(), remote.free_tasks);
        tasks.retain(|task_index| self.may_fit(&zone, job, *task_index));
        tasks.truncate(free_tasks as usize);
        if let Ok(index) = self.remote_zones.binary_search_by(|remote| remote.zone.cmp(&zone)) {
            self.remote_zones[index].free_tasks -= tasks.len() as u64;
        }
        let part = self.next_part;
        self.next_part = self.next_part.wrapping_add(1);
        let Some(job) = self.job_mut(id) else { return };
        let submission = job.offload(part, &tasks, now_ms);
        let none_waiting = job.waiting_tasks() == 0;
        log_job_event!(
            id.is_sampled(), JobLent, job = %id, zone = %zone, part, tasks = tasks.len()
        );
        if none_waiting {
            self.dequeue(id);
        }
        self.offloaded_parts.push(OffloadedPart { part, job: id, zone: zone.clone() });
        self.actions.push(Action::OffloadPart { part, zone, submission });
    }

    /// Applies the outcome of an offloaded part.
    pub fn apply_part_outcome(&mut self, part: u64, outcome: PartOutcome, now_ms: u64) {
        self.advance_time(now_ms);
        let Some(index) = self.offloaded_parts.iter().position(|offloaded| offloaded.part == part)
        else {
            return;
        };
        let offloaded = self.offloaded_parts.swap_remove(index);
        log_job_event!(
            offloaded.job.is_sampled(), PartSettled, job = %offloaded.job, zone = %offloaded.zone,
            part, outcome = ?outcome
        );
        if outcome == PartOutcome::Refused {
            let refused =
                self.remote_zones.iter_mut().filter(|remote| remote.zone == offloaded.zone);
            refused.for_each(|remote| remote.refused_until_ms = now_ms + REFUSED_PART_BACKOFF_MS);
        }
        let Some(job) = self.job_mut(offloaded.job) else { return };
        job.finish_part(part, outcome == PartOutcome::Completed);
        if outcome != PartOutcome::Refused {
            job.set_started();
        }
        match job.phase() {
            JobPhase::Open if outcome == PartOutcome::Failed => {
                self.finish_job(offloaded.job, JobAnswer::Failed, now_ms);
            }
            JobPhase::Open => self.resume_after_part(offloaded.job, now_ms),
            JobPhase::Abandoned | JobPhase::Finished => self.remove_if_ended(offloaded.job),
        }
    }

    fn resume_after_part(&mut self, id: JobId, now_ms: u64) {
        if self.job(id).is_some_and(JobState::is_completed) {
            self.complete_job(id, now_ms);
            return;
        }
        if self.job(id).is_some_and(|job| job.waiting_tasks() > 0) {
            self.enqueue(id);
        }
        self.place_tasks(now_ms);
    }
}

impl RemoteZone {
    pub(super) const fn zone(&self) -> &Zone {
        &self.zone
    }

    /// Discards the reported capacity.
    pub(super) const fn set_full(&mut self) {
        self.free_tasks = 0;
    }

    const fn is_current(&self, now_ms: u64) -> bool {
        now_ms < self.reported_at_ms + REMOTE_CAPACITY_VALIDITY_MS
            && now_ms >= self.refused_until_ms
    }
}
