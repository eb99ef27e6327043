//! Tasks that run on the targets of other zones.
//!
//! Answers the load of zones whose crests differ by moments: tasks that would wait here are
//! offered to a zone that has room for them, which starts them at once or refuses them. So
//! all zones together are one pool while they reach each other, and each has its own owner
//! and queue when they don't.

use ggb_model::Zone;
use ggb_telemetry::log_job_event;

use crate::{
    Action, Dispatcher, EarlierRuns, JobAnswer, JobId, LEASE_GONE_MS,
    dispatcher::job_state::{JobPhase, JobState},
};

/// How long after the last message to another zone's dispatcher nothing that it was lent
/// can run any more: it stops what nobody asks for, and what it can't stop lapses.
pub const LENT_GONE_MS: u64 = LEASE_GONE_MS + 150;

/// How long a zone that refused a part is offered no other one: what it has room for is
/// smaller than the usual task.
const REFUSED_PAUSE_MS: u64 = 20;

/// How long what a zone said of its room holds; a few times the interval at which owners
/// tell each other.
const ROOM_VALID_MS: u64 = 200;

/// What another zone said of its room.
#[derive(Clone, Debug)]
pub(super) struct Lender {
    zone: Zone,
    free_tasks: u64,
    heard_at_ms: u64,
    refused_until_ms: u64,
}

/// Tasks of a job that another zone has.
#[derive(Clone, Debug)]
pub(super) struct LentPart {
    pub(super) part: u64,
    pub(super) job: JobId,
    zone: Zone,
}

/// What became of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LentOutcome {
    /// Its tasks are done.
    Completed,
    /// One of its tasks failed as often as the queue allows.
    Failed,
    /// It was not started.
    Refused,
    /// Contact was lost for so long, or the part was recalled so long ago, that nothing of
    /// it runs any more.
    Lost,
}

impl Dispatcher {
    /// Takes in how many tasks of the usual size another zone has room for.
    pub fn room_heard(&mut self, zone: &Zone, free_tasks: u64, now_ms: u64) {
        self.note_time(now_ms);
        match self.lenders.binary_search_by(|lender| lender.zone.cmp(zone)) {
            Ok(at) => {
                self.lenders[at].free_tasks = free_tasks;
                self.lenders[at].heard_at_ms = now_ms;
            }
            Err(at) => {
                let zone = zone.clone();
                let lender = Lender { zone, free_tasks, heard_at_ms: now_ms, refused_until_ms: 0 };
                self.lenders.insert(at, lender);
            }
        }
        if free_tasks > 0 {
            self.place(now_ms);
        }
    }

    /// Returns how many tasks the other zones have room for.
    pub(super) fn lendable_tasks(&self, now_ms: u64) -> u64 {
        let lenders = self.lenders.iter().filter(|lender| lender.is_current(now_ms));
        lenders.map(|lender| lender.free_tasks).sum()
    }

    /// Returns how many tasks there is room for in the zones that can hold one of a job.
    pub(super) fn lendable_tasks_of(&self, job: &JobState, now_ms: u64) -> u64 {
        let startable = job.startable();
        let lenders = self.lenders.iter().filter(|lender| lender.is_current(now_ms));
        let able = lenders.filter(|lender| self.may_hold_any(&lender.zone, job, &startable));
        able.map(|lender| lender.free_tasks).sum()
    }

    fn may_hold_any(&self, zone: &Zone, job: &JobState, tasks: &[usize]) -> bool {
        tasks.iter().any(|at| self.may_hold(zone, job, *at))
    }

    /// Returns whether a zone has a target that can hold a task, or none that is known.
    fn may_hold(&self, zone: &Zone, job: &JobState, at: usize) -> bool {
        let (service, step) = (&job.submission().queue.service, job.step(job.tasks[at].id));
        let mut known = self.far_targets.iter().filter(|target| target.zone == *zone).peekable();
        known.peek().is_none()
            || known.any(|target| !target.draining && target.can_hold(service, step))
    }

    /// Offers waiting tasks of a job to the zone with the most room of those that can hold
    /// them.
    pub(super) fn lend(&mut self, id: JobId, now_ms: u64) {
        let Some(job) = self.job(id) else { return };
        let submission = job.submission();
        let may_lend = job.phase() == JobPhase::Open
            && submission.part.is_none()
            && submission.earlier_runs < EarlierRuns::AnyZone;
        if !may_lend {
            return;
        }
        let mut tasks = job.startable();
        let is_free = |lender: &&Lender| {
            let has_part = |lent: &LentPart| lent.job == id && lent.zone == lender.zone;
            lender.free_tasks > 0
                && lender.is_current(now_ms)
                && !self.lent_parts.iter().any(has_part)
                && self.may_hold_any(&lender.zone, job, &tasks)
        };
        let lenders = self.lenders.iter().filter(is_free);
        let Some(lender) = lenders.max_by_key(|lender| lender.free_tasks) else { return };
        let (zone, free_tasks) = (lender.zone.clone(), lender.free_tasks);
        tasks.retain(|at| self.may_hold(&zone, job, *at));
        tasks.truncate(free_tasks as usize);
        if let Ok(at) = self.lenders.binary_search_by(|lender| lender.zone.cmp(&zone)) {
            self.lenders[at].free_tasks -= tasks.len() as u64;
        }
        let part = self.next_part;
        self.next_part = self.next_part.wrapping_add(1);
        let Some(job) = self.job_mut(id) else { return };
        let submission = job.lend(part, &tasks, now_ms);
        let is_placed = job.waiting_tasks() == 0;
        log_job_event!(id.is_sampled(), JobLent, job = %id, zone = %zone, part, tasks = tasks.len());
        if is_placed {
            self.unqueue(id);
        }
        self.lent_parts.push(LentPart { part, job: id, zone: zone.clone() });
        self.actions.push(Action::Lend { part, zone, submission });
    }

    /// Takes in what became of a part.
    pub fn lent_settled(&mut self, part: u64, outcome: LentOutcome, now_ms: u64) {
        self.note_time(now_ms);
        let Some(at) = self.lent_parts.iter().position(|lent| lent.part == part) else { return };
        let lent = self.lent_parts.swap_remove(at);
        log_job_event!(lent.job.is_sampled(), PartSettled, job = %lent.job, zone = %lent.zone, part, outcome = ?outcome);
        if outcome == LentOutcome::Refused {
            let refused = self.lenders.iter_mut().filter(|lender| lender.zone == lent.zone);
            refused.for_each(|lender| lender.refused_until_ms = now_ms + REFUSED_PAUSE_MS);
        }
        let Some(job) = self.job_mut(lent.job) else { return };
        job.settle_part(part, outcome == LentOutcome::Completed);
        if outcome != LentOutcome::Refused {
            job.set_started();
        }
        match job.phase() {
            JobPhase::Open if outcome == LentOutcome::Failed => {
                self.finish(lent.job, JobAnswer::Failed, now_ms);
            }
            JobPhase::Open => self.part_returned(lent.job, now_ms),
            JobPhase::Abandoned | JobPhase::Finished => self.remove_if_over(lent.job),
        }
    }

    fn part_returned(&mut self, id: JobId, now_ms: u64) {
        if self.job(id).is_some_and(JobState::is_completed) {
            self.complete(id, now_ms);
            return;
        }
        if self.job(id).is_some_and(|job| job.waiting_tasks() > 0) {
            self.enqueue(id);
        }
        self.place(now_ms);
    }
}

impl Lender {
    const fn is_current(&self, now_ms: u64) -> bool {
        now_ms < self.heard_at_ms + ROOM_VALID_MS && now_ms >= self.refused_until_ms
    }
}
