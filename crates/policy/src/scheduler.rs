//! The decisions of one dispatcher.

use std::net::SocketAddr;

use ggb_model::{Priority, Refusal, RefusalReason, TaskShape};
use rand::Rng;

use crate::{
    Admission, Demand, Grant, JobKey, LeaseEnd, LeaseId, RunTimes, StreamId, TargetPool,
    TargetSpec, WorkClass, ZoneLoad,
    lease::{Lease, LeaseTable},
    queue::{Part, Place, Queue},
    reserve::UrgentReserve,
    team::Teams,
};

const MEAN_RUN_WEIGHT: f64 = 0.02;
const FIRST_MEAN_RUN_MS: f64 = 200.0;
const LEAST_RETRY_AFTER_MS: u32 = 50;
/// How long a wide task waits for room before a target is held back for it.
const HOLD_BACK_AFTER_MS: u64 = 500;

/// What an operator may tune in a dispatcher.
#[derive(Clone, Debug)]
pub struct Options {
    /// Work expected to run at least this long is long work.
    pub long_ms: u32,
    /// The share of slots that long work can't take.
    pub short_share: f64,
    /// The largest share of slots kept free for urgent work.
    pub urgent_share: f64,
    /// The most tasks that may wait.
    pub queued_tasks: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options { long_ms: 2_000, short_share: 0.02, urgent_share: 0.03, queued_tasks: 200_000 }
    }
}

/// A slot lease that a home holds from an earlier dispatcher or connection.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    /// The target.
    pub target: SocketAddr,
    /// What the task occupies.
    pub shape: TaskShape,
}

/// Counts for metrics and load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerStats {
    /// Slots on targets that aren't leaving.
    pub total_slots: u32,
    /// Occupied slots.
    pub used_slots: u32,
    /// Free slots on usable targets.
    pub free_slots: u32,
    /// Waiting tasks.
    pub queued_tasks: u32,
    /// Leases held by homes.
    pub leases: usize,
    /// Targets.
    pub targets: usize,
    /// Ejected targets.
    pub ejected: usize,
    /// Ejections so far.
    pub ejections: u64,
}

/// What came of the release of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Released {
    /// The target.
    pub target: SocketAddr,
    /// Whether it was ejected because of how the task ended.
    pub ejected: bool,
}

/// Decides which waiting task gets which free slot.
#[derive(Debug)]
pub struct Scheduler {
    options: Options,
    pool: TargetPool,
    teams: Teams,
    queues: [Queue; 3],
    leases: LeaseTable,
    run_times: RunTimes,
    reserve: UrgentReserve,
    long_slots: u32,
    mean_run_ms: f64,
    /// The part for which a target is held back.
    held_back_for: Option<JobKey>,
}

impl Scheduler {
    /// Returns a scheduler without targets.
    pub fn new(options: Options) -> Self {
        Scheduler {
            options,
            pool: TargetPool::default(),
            teams: Teams::default(),
            queues: Default::default(),
            leases: LeaseTable::default(),
            run_times: RunTimes::default(),
            reserve: UrgentReserve::default(),
            long_slots: 0,
            mean_run_ms: FIRST_MEAN_RUN_MS,
            held_back_for: None,
        }
    }

    /// Adds or updates a target.
    pub fn insert_target(&mut self, spec: TargetSpec, now_ms: u64) {
        self.pool.insert(spec, now_ms);
    }

    /// Forgets a target.
    pub fn remove_target(&mut self, addr: SocketAddr, now_ms: u64) {
        self.pool.remove(addr, now_ms);
    }

    /// Grants no more leases on a target.
    pub fn target_leaving(&mut self, addr: SocketAddr, now_ms: u64) {
        self.pool.mark_leaving(addr, now_ms);
    }

    /// Returns the targets of which nothing was heard since `before_ms`.
    pub fn targets_quiet_since(&self, before_ms: u64) -> Vec<SocketAddr> {
        self.pool.quiet_since(before_ms).collect()
    }

    /// Returns the addresses of all targets.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.pool.addrs().collect()
    }

    /// Admits a part of a job to the queue, or refuses it with the reason.
    pub fn offer(&mut self, demand: Demand, now_ms: u64) -> Admission {
        if let Err(refusal) = self.admit(&demand) {
            return Admission::Refused(refusal);
        }
        let team = self.teams.enroll(&demand.class);
        let class = &demand.class;
        if class.priority == Priority::Urgent {
            self.reserve.record(demand.count, now_ms);
        }
        let typical_ms = self.run_times.typical_ms(class.work, class.declared_ms);
        let part = Part {
            key: demand.key,
            team,
            shape: demand.shape,
            work: class.work,
            remaining: demand.count,
            typical_ms,
            mean_ms: self.run_times.mean_ms(class.work, class.declared_ms),
            long: typical_ms >= self.options.long_ms,
            arrived_ms: now_ms,
        };
        self.teams.enqueue(team, demand.count);
        self.queues[class.priority as usize].push(part);
        Admission::Accepted
    }

    /// Matches waiting tasks to free slots and appends the grants to `grants`.
    pub fn assign(&mut self, now_ms: u64, rng: &mut impl Rng, grants: &mut Vec<Grant>) {
        let reserved =
            self.reserve.slots(self.pool.total_slots(), self.options.urgent_share, now_ms);
        for priority in Priority::ALL {
            let kept = match priority {
                Priority::Urgent => 0,
                Priority::Standard | Priority::Background => reserved,
            };
            self.assign_priority(priority, kept, now_ms, rng, grants);
        }
    }

    /// Takes back a lease and learns from how it ended; unknown leases are ignored.
    ///
    /// Returns the target, and whether it was ejected on this evidence.
    pub fn release(
        &mut self,
        stream: StreamId,
        id: LeaseId,
        end: LeaseEnd,
        now_ms: u64,
    ) -> Option<Released> {
        let lease = self.leases.remove(id, stream)?;
        let target = lease.target;
        self.give_back(&lease, end, now_ms);
        Some(Released { target, ejected: self.learn(&lease, end, now_ms) })
    }

    /// Learns from how a task ended; returns whether its target was ejected.
    fn learn(&mut self, lease: &Lease, end: LeaseEnd, now_ms: u64) -> bool {
        let target = lease.target;
        match end {
            LeaseEnd::Done { run_ms } => {
                self.run_times.learn(lease.work, run_ms);
                self.mean_run_ms += (f64::from(run_ms) - self.mean_run_ms) * MEAN_RUN_WEIGHT;
                self.pool.succeeded(target, now_ms);
                false
            }
            LeaseEnd::Failed | LeaseEnd::Lost => self.pool.failed(target, now_ms),
            LeaseEnd::Unreachable => {
                self.pool.pause_unreachable(target, now_ms);
                self.pool.failed(target, now_ms)
            }
            LeaseEnd::DeniedFull => {
                self.pool.pause_full(target, now_ms);
                false
            }
            LeaseEnd::DeniedLeaving => {
                self.pool.mark_leaving(target, now_ms);
                false
            }
            LeaseEnd::Unused => false,
        }
    }

    /// Takes account of a task that a home already runs on a target.
    pub fn hold(
        &mut self,
        key: JobKey,
        class: &WorkClass,
        held: &HeldLease,
        now_ms: u64,
    ) -> LeaseId {
        let team = self.teams.enroll(class);
        self.teams.hold(team, held.shape.slots);
        self.pool.occupy_at(held.target, &held.shape, now_ms);
        self.leases.insert(Lease {
            key,
            target: held.target,
            shape: held.shape,
            team,
            work: class.work,
            long: false,
            granted_ms: now_ms,
            charged_ms: 0,
        })
    }

    /// Removes the waiting tasks of a job.
    pub fn withdraw(&mut self, key: JobKey) {
        self.remove_parts(|other| *other == key);
    }

    /// Removes all that a disconnected home waits for or holds.
    pub fn disconnect(&mut self, stream: StreamId, now_ms: u64) {
        self.remove_parts(|key| key.stream == stream);
        for id in self.leases.of_stream(stream) {
            if let Some(lease) = self.leases.remove(id, stream) {
                self.give_back(&lease, LeaseEnd::Unused, now_ms);
            }
        }
    }

    /// Ends pauses and ejections whose time is over, and reclassifies tasks that outran their class.
    pub fn refresh(&mut self, now_ms: u64) {
        self.pool.refresh(now_ms);
        if self.held_back_for.is_some() && !self.pool.held_back_is_usable(now_ms) {
            self.free_held_back();
        }
        let long_ms = u64::from(self.options.long_ms);
        for lease in self.leases.iter_mut() {
            if !lease.long && now_ms.saturating_sub(lease.granted_ms) >= long_ms {
                lease.long = true;
                self.long_slots += u32::from(lease.shape.slots);
            }
        }
    }

    /// Returns what homes need to know to choose between zones, for each priority.
    pub fn loads(&self, now_ms: u64) -> [ZoneLoad; 3] {
        let total = self.pool.total_slots();
        let reserved = self.reserve.slots(total, self.options.urgent_share, now_ms);
        let free = self.pool.free_slots();
        let mut queued_tasks = 0;
        Priority::ALL.map(|priority| {
            queued_tasks += self.queues[priority as usize].tasks();
            let kept = if priority == Priority::Urgent { 0 } else { reserved };
            ZoneLoad {
                slots: total,
                free: free.saturating_sub(kept),
                queued_tasks,
                mean_run_ms: self.mean_run_ms.max(1.0) as u32,
                latency_us: 0,
            }
        })
    }

    /// Returns counts for metrics.
    pub fn stats(&self) -> SchedulerStats {
        SchedulerStats {
            total_slots: self.pool.total_slots(),
            used_slots: self.pool.used_slots(),
            free_slots: self.pool.free_slots(),
            queued_tasks: self.queues.iter().map(Queue::tasks).sum(),
            leases: self.leases.len(),
            targets: self.pool.len(),
            ejected: self.pool.ejected(),
            ejections: self.pool.ejections(),
        }
    }

    fn admit(&mut self, demand: &Demand) -> Result<(), Refusal> {
        let refuse = |reason, retry_after_ms| Err(Refusal { reason, retry_after_ms });
        if self.pool.is_empty() {
            return refuse(RefusalReason::NoTargets, Some(LEAST_RETRY_AFTER_MS));
        }
        if !self.pool.could_fit(&demand.shape) {
            return refuse(RefusalReason::NeverFits, None);
        }
        let wait_ms = self.expected_wait_ms(demand.class.priority);
        let team = self.teams.enroll(&demand.class);
        let team_queued = self.teams.queued_tasks(team) + u32::from(demand.count);
        if team_queued > demand.class.quota_queued_tasks {
            return refuse(RefusalReason::QuotaExceeded, Some(retry_after(wait_ms)));
        }
        if wait_ms > demand.start_within_ms {
            return refuse(
                RefusalReason::DeadlineUnreachable,
                Some(retry_after(wait_ms - demand.start_within_ms)),
            );
        }
        let queued: u32 = self.queues.iter().map(Queue::tasks).sum();
        if queued + u32::from(demand.count) > self.options.queued_tasks {
            return refuse(RefusalReason::Overloaded, Some(retry_after(wait_ms)));
        }
        Ok(())
    }

    /// Returns the time that the work ahead of a new part of `priority` takes.
    fn expected_wait_ms(&self, priority: Priority) -> u32 {
        let ahead = &self.queues[..=priority as usize];
        let work_ms: u64 = ahead.iter().map(Queue::work_ms).sum();
        let slots = u64::from(self.pool.total_slots().max(1));
        u32::try_from(work_ms / slots).unwrap_or(u32::MAX)
    }

    fn assign_priority(
        &mut self,
        priority: Priority,
        kept: u32,
        now_ms: u64,
        rng: &mut impl Rng,
        grants: &mut Vec<Grant>,
    ) {
        let mut free = self.pool.free_slots();
        let mut blocked: Vec<JobKey> = Vec::new();
        while self.pool.has_room() && free > kept {
            let Some(next) = self.next_part(priority, &blocked) else { return };
            let Candidate { place, key, shape, arrived_ms } = next;
            let Some(target) = self.occupy(key, &shape, now_ms, rng) else {
                blocked.push(key);
                let is_late = now_ms.saturating_sub(arrived_ms) >= HOLD_BACK_AFTER_MS;
                if is_late && self.held_back_for.is_none() {
                    self.pool.hold_back(&shape);
                    self.held_back_for = Some(key);
                }
                continue;
            };
            if let Some(grant) = self.grant(priority, place, target, now_ms) {
                free = free.saturating_sub(shape.slots.into());
                grants.push(grant);
            }
        }
    }

    /// Occupies room for a task, also on the target that is held back for its part.
    fn occupy(
        &mut self,
        key: JobKey,
        shape: &TaskShape,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        if self.held_back_for == Some(key)
            && let Some(target) = self.pool.occupy_held_back(shape, now_ms)
        {
            self.free_held_back();
            return Some(target);
        }
        self.pool.occupy(shape, now_ms, rng)
    }

    const fn free_held_back(&mut self) {
        self.held_back_for = None;
        self.pool.free_held_back();
    }

    fn next_part(&self, priority: Priority, blocked: &[JobKey]) -> Option<Candidate> {
        let short_slots = f64::from(self.pool.total_slots()) * self.options.short_share;
        let long_most = self.pool.total_slots().saturating_sub(short_slots.ceil() as u32);
        let allow_long = self.long_slots < long_most;
        let (place, part) = self.queues[priority as usize].front(
            allow_long,
            |team| self.teams.virtual_ms(team),
            |part| !blocked.contains(&part.key) && self.teams.may_take(part.team, part.shape.slots),
        )?;
        Some(Candidate { place, key: part.key, shape: part.shape, arrived_ms: part.arrived_ms })
    }

    fn grant(
        &mut self,
        priority: Priority,
        place: Place,
        target: SocketAddr,
        now_ms: u64,
    ) -> Option<Grant> {
        let part = self.queues[priority as usize].take_one(place)?;
        self.teams.dequeue(part.team, 1);
        self.teams.charge(part.team, part.shape.slots, part.typical_ms);
        if part.long {
            self.long_slots += u32::from(part.shape.slots);
        }
        let lease = self.leases.insert(Lease {
            key: part.key,
            target,
            shape: part.shape,
            team: part.team,
            work: part.work,
            long: part.long,
            granted_ms: now_ms,
            charged_ms: part.typical_ms,
        });
        Some(Grant { key: part.key, lease, target })
    }

    fn give_back(&mut self, lease: &Lease, end: LeaseEnd, now_ms: u64) {
        let held_ms = now_ms.saturating_sub(lease.granted_ms);
        let run_ms = match end {
            LeaseEnd::Done { run_ms } => run_ms,
            LeaseEnd::Failed | LeaseEnd::Lost => u32::try_from(held_ms).unwrap_or(u32::MAX),
            _ => 0,
        };
        self.teams.settle(lease.team, lease.shape.slots, lease.charged_ms, run_ms);
        self.pool.vacate(lease.target, &lease.shape, now_ms);
        if lease.long {
            self.long_slots = self.long_slots.saturating_sub(lease.shape.slots.into());
        }
    }

    fn remove_parts(&mut self, gone: impl Fn(&JobKey) -> bool) {
        if self.held_back_for.as_ref().is_some_and(&gone) {
            self.free_held_back();
        }
        for queue in &mut self.queues {
            for part in queue.remove(&gone) {
                self.teams.dequeue(part.team, part.remaining);
            }
        }
    }
}

/// The part that is next in turn.
struct Candidate {
    place: Place,
    key: JobKey,
    shape: TaskShape,
    arrived_ms: u64,
}

fn retry_after(wait_ms: u32) -> u32 {
    wait_ms.max(LEAST_RETRY_AFTER_MS)
}
