//! Availability zones that operators have asked to evacuate.
//!
//! On the targets of an evacuated zone no task starts; tasks that run there end, and their ends are
//! acknowledged. Its dispatcher offers waiting tasks to other zones, and refuses jobs of which no task
//! has started, so that their entry processes submit them to another zone.

use ggb_model::Zone;
use ggb_telemetry::log_event;

use crate::{
    Dispatcher, JobAnswer, JobId, PartOutcome, RefusalReason, Target,
    dispatcher::{
        admission::{MIN_RETRY_AFTER_MS, Refusal},
        job_state::{JobPhase, JobState},
        overload::Plan,
    },
};

/// What a dispatcher knows of the operators' requests to evacuate zones.
#[derive(Debug)]
pub(super) struct EvacuatedZones {
    is_own_evacuated: bool,
    /// Evacuated zones of other dispatchers, sorted.
    remote: Vec<Zone>,
    /// Time until which this knowledge allows tasks to start.
    known_until_ms: u64,
}

impl EvacuatedZones {
    /// Returns a state without evacuated zones that stays known.
    pub(super) const fn new() -> Self {
        EvacuatedZones { is_own_evacuated: false, remote: Vec::new(), known_until_ms: u64::MAX }
    }

    /// Returns whether tasks may start on the dispatcher's own targets.
    pub(super) const fn may_start(&self, now_ms: u64) -> bool {
        !self.is_own_evacuated && now_ms < self.known_until_ms
    }

    /// Returns whether parts may be offloaded to a zone.
    pub(super) fn may_offload_to(&self, zone: &Zone) -> bool {
        self.remote.binary_search(zone).is_err()
    }

    pub(super) const fn is_own_evacuated(&self) -> bool {
        self.is_own_evacuated
    }
}

impl Dispatcher {
    /// Sets whether the dispatcher's own zone is evacuated, and which other zones are.
    pub fn set_evacuated_zones(&mut self, own: bool, remote: &[Zone], now_ms: u64) {
        self.advance_time(now_ms);
        let mut remote = remote.to_vec();
        remote.sort_unstable();
        let is_changed =
            own != self.evacuated_zones.is_own_evacuated || remote != self.evacuated_zones.remote;
        if !is_changed {
            return;
        }
        self.evacuated_zones.is_own_evacuated = own;
        self.evacuated_zones.remote = remote;
        self.withdraw_evacuated_capacity();
        self.place_tasks(now_ms);
        self.hand_back_evacuated(now_ms);
    }

    /// Sets the time until which the last report of the evacuated zones allows tasks to start. A process
    /// that was paused, or that has just started, may have missed a request.
    pub const fn set_evacuation_known_until(&mut self, known_until_ms: u64) {
        self.evacuated_zones.known_until_ms = known_until_ms;
    }

    /// Returns the number of runs on the targets, or `None` while a target may have runs that it has not
    /// listed yet.
    pub fn known_runs(&self) -> Option<usize> {
        let is_unknown = |target: &Target| {
            !target.is_removed() && !target.is_silent() && !target.has_current_listing()
        };
        match self.targets.iter().any(is_unknown) {
            true => None,
            false => Some(self.targets.iter().map(|target| target.runs().len()).sum()),
        }
    }

    /// Returns how an evacuated zone admits a job of which no task has started: if zones in service have
    /// capacity for all of its tasks, which are offloaded, or else with a refusal.
    pub(super) fn check_evacuated_admission(
        &self,
        job: &JobState,
        now_ms: u64,
    ) -> Result<Plan, Refusal> {
        match job.submission().part {
            None if self.has_remote_capacity_for(job, now_ms) => Ok(Plan::default()),
            _ => Err(Refusal::new(RefusalReason::Evacuated, MIN_RETRY_AFTER_MS)),
        }
    }

    fn has_remote_capacity_for(&self, job: &JobState, now_ms: u64) -> bool {
        let startable = job.startable_tasks().len() as u64;
        self.may_offload(job) && startable <= self.offloadable_tasks_of(job, now_ms)
    }

    /// If the own zone is evacuated, refuses the waiting jobs of which no task has started and that no
    /// other zone has capacity for, and returns the parts whose waiting tasks can't start here.
    pub(super) fn hand_back_evacuated(&mut self, now_ms: u64) {
        if !self.evacuated_zones.is_own_evacuated {
            return;
        }
        let queued = self.queue.iter().filter_map(|entry| self.job(entry.job()));
        // A job between two submissions of its sender gets the answer after the second one.
        let is_answerable =
            |job: &&JobState| job.phase() == JobPhase::Open && !job.requests().is_empty();
        let open: Vec<&JobState> = queued.filter(is_answerable).collect();
        let is_unserved = |job: &&&JobState| {
            job.submission().part.is_none()
                && !job.has_started()
                && !job.has_offloaded()
                && !self.has_remote_capacity_for(job, now_ms)
        };
        let is_stuck_part =
            |job: &&&JobState| job.submission().part.is_some() && job.assigned().next().is_none();
        let unserved: Vec<JobId> = open.iter().filter(is_unserved).map(|job| job.id()).collect();
        let parts: Vec<JobId> = open.iter().filter(is_stuck_part).map(|job| job.id()).collect();
        for id in unserved {
            self.refuse_job(id, RefusalReason::Evacuated, MIN_RETRY_AFTER_MS, now_ms);
        }
        for id in parts {
            self.return_part(id, now_ms);
        }
    }

    fn return_part(&mut self, id: JobId, now_ms: u64) {
        let Some(job) = self.job(id) else { return };
        let done = job.done_tasks();
        let answer = match job.has_started() {
            true => JobAnswer::Returned { done },
            false => JobAnswer::Refused {
                reason: RefusalReason::Evacuated,
                retry_after_ms: MIN_RETRY_AFTER_MS,
            },
        };
        log_event!(
            info, PartSettled, job = %id, part = job.submission().part, outcome = ?answer,
            tasks = job.waiting_tasks()
        );
        self.answer_callers(id, &answer);
        self.close_job(id, JobPhase::Abandoned, now_ms);
    }

    /// Applies the answer [`JobAnswer::Returned`] to a part: its tasks in `done` are done, and the other
    /// ones wait again. None of them has an active run.
    pub fn apply_returned_part(&mut self, part: u64, done: &[(u16, u16)], now_ms: u64) {
        self.advance_time(now_ms);
        let Some(offloaded) = self.offloaded_parts.iter().find(|offloaded| offloaded.part == part)
        else {
            return;
        };
        let id = offloaded.job;
        if let Some(job) = self.job_mut(id) {
            job.finish_part_tasks(part, done);
            job.set_started();
        }
        self.apply_part_outcome(part, PartOutcome::Refused, now_ms);
    }

    /// Discards the capacity that evacuated zones reported.
    fn withdraw_evacuated_capacity(&mut self) {
        let evacuated_zones = &self.evacuated_zones;
        let evacuated = self
            .remote_zones
            .iter_mut()
            .filter(|remote| !evacuated_zones.may_offload_to(remote.zone()));
        evacuated.for_each(|remote| remote.set_full());
    }
}
