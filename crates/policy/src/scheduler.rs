//! Scheduler of one dispatcher.

use std::net::SocketAddr;

use ggb_model::{Priority, Refusal, RefusalReason, TaskShape};
use rand::Rng;

use crate::{
    Admission, Demand, Grant, LeaseEnd, LeaseId, PartKey, RunTimeEstimator, StreamId, TargetPool,
    TargetSpec, WorkClass, ZoneLoad,
    lease::{Lease, LeaseTable},
    queue::{PartPosition, Queue, QueuedPart},
    reserve::UrgentReserve,
    team::Teams,
};

/// Weight of the newest task in the moving average of run times.
const MEAN_RUN_EWMA_WEIGHT: f64 = 0.02;
/// Mean run time that is reported before the first task has finished.
const INITIAL_MEAN_RUN_MS: f64 = 200.0;
/// Minimum delay after which a refused caller is asked to retry.
const MIN_RETRY_AFTER_MS: u32 = 50;
/// Queueing time after which a target is reserved for a task that no target has enough free
/// capacity for.
const RESERVE_TARGET_AFTER_MS: u64 = 500;

/// Scheduling options of a dispatcher, set by the operator.
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// Expected run time from which work counts as long.
    pub long_task_threshold_ms: u32,
    /// Share of the slots that long work must leave free.
    pub min_short_share: f64,
    /// Maximum share of the slots that is reserved for urgent work.
    pub max_urgent_reserve_share: f64,
    /// Maximum number of queued tasks.
    pub max_queued_tasks: u32,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        SchedulerOptions {
            long_task_threshold_ms: 2_000,
            min_short_share: 0.02,
            max_urgent_reserve_share: 0.03,
            max_queued_tasks: 200_000,
        }
    }
}

/// A slot lease that an earlier dispatcher granted, or this one over an earlier connection of
/// the home, and whose task may still run.
#[derive(Clone, Copy, Debug)]
pub struct AdoptedLease {
    /// Target on which the task runs.
    pub target: SocketAddr,
    /// Resources that the task occupies.
    pub shape: TaskShape,
}

/// Counts for metrics and the status of the dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerStats {
    /// Slots on targets that are not leaving.
    pub total_slots: u32,
    /// Occupied slots.
    pub used_slots: u32,
    /// Free slots on usable targets.
    pub free_slots: u32,
    /// Queued tasks.
    pub queued_tasks: u32,
    /// Leases held by homes.
    pub leases: usize,
    /// Known targets.
    pub targets: usize,
    /// Targets that are ejected now.
    pub ejected_targets: usize,
    /// Ejections since the dispatcher started.
    pub ejections: u64,
}

/// Result of the release of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleaseOutcome {
    /// Target of the lease.
    pub target: SocketAddr,
    /// Whether the end of the task led to an ejection of the target.
    pub ejected: bool,
}

/// Assigns queued tasks to the free slots of targets.
#[derive(Debug)]
pub struct Scheduler {
    options: SchedulerOptions,
    pool: TargetPool,
    teams: Teams,
    queues: [Queue; 3],
    leases: LeaseTable,
    run_times: RunTimeEstimator,
    reserve: UrgentReserve,
    /// Slots that long work occupies.
    long_slots: u32,
    /// Exponentially weighted mean run time of all tasks.
    mean_run_ms: f64,
    /// Part for which a target is reserved.
    reserved_for: Option<PartKey>,
}

impl Scheduler {
    /// Returns a scheduler without targets.
    pub fn new(options: SchedulerOptions) -> Self {
        Scheduler {
            options,
            pool: TargetPool::default(),
            teams: Teams::default(),
            queues: Default::default(),
            leases: LeaseTable::default(),
            run_times: RunTimeEstimator::default(),
            reserve: UrgentReserve::default(),
            long_slots: 0,
            mean_run_ms: INITIAL_MEAN_RUN_MS,
            reserved_for: None,
        }
    }

    /// Adds or updates a target.
    pub fn insert_target(&mut self, spec: TargetSpec, now_ms: u64) {
        self.pool.insert(spec, now_ms);
    }

    /// Removes a target; its leases stay valid.
    pub fn remove_target(&mut self, addr: SocketAddr, now_ms: u64) {
        self.pool.remove(addr, now_ms);
    }

    /// Stops new leases on this incarnation of a target, permanently.
    pub fn mark_target_leaving(&mut self, addr: SocketAddr, now_ms: u64) {
        self.pool.mark_leaving(addr, now_ms);
    }

    /// Returns the targets without a successful task since `before_ms`.
    pub fn targets_without_success_since(&self, before_ms: u64) -> Vec<SocketAddr> {
        self.pool.without_success_since(before_ms).collect()
    }

    /// Returns the addresses of all targets.
    pub fn target_addrs(&self) -> Vec<SocketAddr> {
        self.pool.addrs().collect()
    }

    /// Admits a part of a job to the queue, or refuses it with a reason.
    pub fn admit(&mut self, demand: Demand, now_ms: u64) -> Admission {
        if let Err(refusal) = self.check_admission(&demand) {
            return Admission::Refused(refusal);
        }
        let team = self.teams.update_or_insert(&demand.class);
        let class = &demand.class;
        if class.priority == Priority::Urgent {
            self.reserve.record(demand.count, now_ms);
        }
        let typical_run_ms = self.run_times.typical_run_ms(class.workload, class.declared_run_ms);
        let part = QueuedPart {
            key: demand.key,
            team,
            shape: demand.shape,
            workload: class.workload,
            remaining_tasks: demand.count,
            typical_run_ms,
            mean_run_ms: self.run_times.mean_run_ms(class.workload, class.declared_run_ms),
            is_long: typical_run_ms >= self.options.long_task_threshold_ms,
            arrived_ms: now_ms,
        };
        self.teams.enqueue(team, demand.count);
        self.queues[class.priority as usize].push(part);
        Admission::Accepted
    }

    /// Assigns queued tasks to free slots and appends the grants to `grants`.
    pub fn assign(&mut self, now_ms: u64, rng: &mut impl Rng, grants: &mut Vec<Grant>) {
        let reserved = self.reserve.reserved_slots(
            self.pool.total_slots(),
            self.options.max_urgent_reserve_share,
            now_ms,
        );
        for priority in Priority::ALL {
            let reserved_slots = match priority {
                Priority::Urgent => 0,
                Priority::Standard | Priority::Background => reserved,
            };
            self.assign_priority(priority, reserved_slots, now_ms, rng, grants);
        }
    }

    /// Releases a lease and records its end for run times and target health.
    ///
    /// Returns `None` if `stream` holds no lease with this id, for example because it was
    /// released before.
    pub fn release(
        &mut self,
        stream: StreamId,
        id: LeaseId,
        end: LeaseEnd,
        now_ms: u64,
    ) -> Option<ReleaseOutcome> {
        let lease = self.leases.remove(id, stream)?;
        let target = lease.target;
        self.release_resources(&lease, end, now_ms);
        Some(ReleaseOutcome { target, ejected: self.record_end(&lease, end, now_ms) })
    }

    /// Records the end of a lease and returns whether its target was ejected.
    fn record_end(&mut self, lease: &Lease, end: LeaseEnd, now_ms: u64) -> bool {
        let target = lease.target;
        match end {
            LeaseEnd::Done { run_ms } => {
                self.run_times.record(lease.workload, run_ms);
                self.mean_run_ms += (f64::from(run_ms) - self.mean_run_ms) * MEAN_RUN_EWMA_WEIGHT;
                self.pool.record_success(target, now_ms);
                false
            }
            LeaseEnd::Failed | LeaseEnd::Lost => self.pool.record_failure(target, now_ms),
            LeaseEnd::Unreachable => {
                self.pool.back_off_unreachable(target, now_ms);
                self.pool.record_failure(target, now_ms)
            }
            LeaseEnd::DeniedFull => {
                self.pool.back_off_full(target, now_ms);
                false
            }
            LeaseEnd::DeniedLeaving => {
                self.pool.mark_leaving(target, now_ms);
                false
            }
            LeaseEnd::Unused => false,
        }
    }

    /// Registers a lease that an earlier dispatcher granted, and occupies its slots.
    ///
    /// Capacity and quotas are not checked, since the task may already run.
    pub fn adopt_lease(
        &mut self,
        key: PartKey,
        class: &WorkClass,
        lease: &AdoptedLease,
        now_ms: u64,
    ) -> LeaseId {
        let team = self.teams.update_or_insert(class);
        self.teams.occupy(team, lease.shape.slots);
        self.pool.allocate_on(lease.target, &lease.shape, now_ms);
        self.leases.insert(Lease {
            key,
            target: lease.target,
            shape: lease.shape,
            team,
            workload: class.workload,
            is_long: false,
            granted_ms: now_ms,
            charged_run_ms: 0,
        })
    }

    /// Removes the queued tasks of a job; its leases stay.
    pub fn remove_queued(&mut self, key: PartKey) {
        self.remove_parts(|other| *other == key);
    }

    /// Removes the queued tasks and the leases of a home's stream.
    pub fn remove_stream(&mut self, stream: StreamId, now_ms: u64) {
        self.remove_parts(|key| key.stream == stream);
        for id in self.leases.ids_of_stream(stream) {
            if let Some(lease) = self.leases.remove(id, stream) {
                self.release_resources(&lease, LeaseEnd::Unused, now_ms);
            }
        }
    }

    /// Ends expired backoffs and ejections, and counts tasks as long once they have run for
    /// [`SchedulerOptions::long_task_threshold_ms`].
    pub fn refresh(&mut self, now_ms: u64) {
        self.pool.refresh(now_ms);
        if self.reserved_for.is_some() && !self.pool.reservation_is_valid(now_ms) {
            self.clear_reservation();
        }
        let long_task_threshold_ms = u64::from(self.options.long_task_threshold_ms);
        for lease in self.leases.iter_mut() {
            if !lease.is_long && now_ms.saturating_sub(lease.granted_ms) >= long_task_threshold_ms {
                lease.is_long = true;
                self.long_slots += u32::from(lease.shape.slots);
            }
        }
    }

    /// Returns the load for each priority, by which homes split jobs across zones.
    pub fn loads(&self, now_ms: u64) -> [ZoneLoad; 3] {
        let total = self.pool.total_slots();
        let reserved =
            self.reserve.reserved_slots(total, self.options.max_urgent_reserve_share, now_ms);
        let free_slots = self.pool.free_slots();
        let mut queued_tasks = 0;
        Priority::ALL.map(|priority| {
            queued_tasks += self.queues[priority as usize].tasks();
            let reserved_slots = if priority == Priority::Urgent { 0 } else { reserved };
            ZoneLoad {
                total_slots: total,
                free_slots: free_slots.saturating_sub(reserved_slots),
                queued_tasks,
                mean_run_ms: self.mean_run_ms.max(1.0) as u32,
                latency_us: 0,
            }
        })
    }

    /// Returns the counts for metrics and status.
    pub fn stats(&self) -> SchedulerStats {
        SchedulerStats {
            total_slots: self.pool.total_slots(),
            used_slots: self.pool.used_slots(),
            free_slots: self.pool.free_slots(),
            queued_tasks: self.queues.iter().map(Queue::tasks).sum(),
            leases: self.leases.len(),
            targets: self.pool.len(),
            ejected_targets: self.pool.ejected_count(),
            ejections: self.pool.ejection_count(),
        }
    }

    /// Checks whether a demand may be queued, and returns the refusal as an error if not.
    ///
    /// Also updates the weight and the slot quota of the team.
    fn check_admission(&mut self, demand: &Demand) -> Result<(), Refusal> {
        let refuse = |reason, retry_after_ms| Err(Refusal { reason, retry_after_ms });
        if self.pool.is_empty() {
            return refuse(RefusalReason::NoTargets, Some(MIN_RETRY_AFTER_MS));
        }
        if !self.pool.could_fit(&demand.shape) {
            return refuse(RefusalReason::NeverFits, None);
        }
        let wait_ms = self.expected_wait_ms(demand.class.priority);
        let team = self.teams.update_or_insert(&demand.class);
        let team_queued = self.teams.queued_tasks(team) + u32::from(demand.count);
        if team_queued > demand.class.quota_queued_tasks {
            return refuse(RefusalReason::QuotaExceeded, Some(retry_after_ms_for(wait_ms)));
        }
        if wait_ms > demand.start_within_ms {
            return refuse(
                RefusalReason::DeadlineUnreachable,
                Some(retry_after_ms_for(wait_ms - demand.start_within_ms)),
            );
        }
        let queued: u32 = self.queues.iter().map(Queue::tasks).sum();
        if queued + u32::from(demand.count) > self.options.max_queued_tasks {
            return refuse(RefusalReason::Overloaded, Some(retry_after_ms_for(wait_ms)));
        }
        Ok(())
    }

    /// Returns the expected wait of a new part of `priority`: the expected run times of the
    /// queued tasks of the same and higher priorities, each multiplied by the slots that the task
    /// occupies, divided by the number of slots.
    fn expected_wait_ms(&self, priority: Priority) -> u32 {
        let queues_ahead = &self.queues[..=priority as usize];
        let slot_ms: u64 = queues_ahead.iter().map(Queue::slot_ms).sum();
        let slots = u64::from(self.pool.total_slots().max(1));
        u32::try_from(slot_ms / slots).unwrap_or(u32::MAX)
    }

    /// Assigns queued tasks of one priority while more than `reserved_slots` slots are free.
    fn assign_priority(
        &mut self,
        priority: Priority,
        reserved_slots: u32,
        now_ms: u64,
        rng: &mut impl Rng,
        grants: &mut Vec<Grant>,
    ) {
        let mut free_slots = self.pool.free_slots();
        let mut unplaceable: Vec<PartKey> = Vec::new();
        while self.pool.has_usable_targets() && free_slots > reserved_slots {
            let Some(next) = self.next_part(priority, &unplaceable) else { return };
            let Candidate { position, key, shape, arrived_ms } = next;
            let Some(target) = self.allocate(key, &shape, now_ms, rng) else {
                unplaceable.push(key);
                let is_late = now_ms.saturating_sub(arrived_ms) >= RESERVE_TARGET_AFTER_MS;
                if is_late && self.reserved_for.is_none() {
                    self.pool.reserve_target(&shape);
                    self.reserved_for = Some(key);
                }
                continue;
            };
            if let Some(grant) = self.grant(priority, position, target, now_ms) {
                free_slots = free_slots.saturating_sub(shape.slots.into());
                grants.push(grant);
            }
        }
    }

    /// Allocates a target for a task, first of all the one reserved for its part.
    fn allocate(
        &mut self,
        key: PartKey,
        shape: &TaskShape,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        if self.reserved_for == Some(key)
            && let Some(target) = self.pool.allocate_on_reserved(shape, now_ms)
        {
            self.clear_reservation();
            return Some(target);
        }
        self.pool.allocate(shape, now_ms, rng)
    }

    const fn clear_reservation(&mut self) {
        self.reserved_for = None;
        self.pool.clear_reservation();
    }

    /// Returns the next part that is within the quota of its team and not in `unplaceable`, the
    /// parts that no target has enough free capacity for.
    fn next_part(&self, priority: Priority, unplaceable: &[PartKey]) -> Option<Candidate> {
        let min_short_slots = f64::from(self.pool.total_slots()) * self.options.min_short_share;
        let max_long_slots = self.pool.total_slots().saturating_sub(min_short_slots.ceil() as u32);
        let allow_long = self.long_slots < max_long_slots;
        let (position, part) = self.queues[priority as usize].next_part(
            allow_long,
            |team| self.teams.virtual_time_ms(team),
            |part| {
                !unplaceable.contains(&part.key)
                    && self.teams.has_quota_for(part.team, part.shape.slots)
            },
        )?;
        Some(Candidate { position, key: part.key, shape: part.shape, arrived_ms: part.arrived_ms })
    }

    /// Takes one task of the part at `position` from the queue and grants it a lease.
    fn grant(
        &mut self,
        priority: Priority,
        position: PartPosition,
        target: SocketAddr,
        now_ms: u64,
    ) -> Option<Grant> {
        let part = self.queues[priority as usize].take_task(position)?;
        self.teams.dequeue(part.team, 1);
        self.teams.charge(part.team, part.shape.slots, part.typical_run_ms);
        if part.is_long {
            self.long_slots += u32::from(part.shape.slots);
        }
        let lease = self.leases.insert(Lease {
            key: part.key,
            target,
            shape: part.shape,
            team: part.team,
            workload: part.workload,
            is_long: part.is_long,
            granted_ms: now_ms,
            charged_run_ms: part.typical_run_ms,
        });
        Some(Grant { key: part.key, lease, target })
    }

    /// Frees the slots of a lease and settles the charge to its team.
    fn release_resources(&mut self, lease: &Lease, end: LeaseEnd, now_ms: u64) {
        let lease_age_ms = now_ms.saturating_sub(lease.granted_ms);
        let run_ms = match end {
            LeaseEnd::Done { run_ms } => run_ms,
            LeaseEnd::Failed | LeaseEnd::Lost => u32::try_from(lease_age_ms).unwrap_or(u32::MAX),
            _ => 0,
        };
        self.teams.release(lease.team, lease.shape.slots, lease.charged_run_ms, run_ms);
        self.pool.deallocate(lease.target, &lease.shape, now_ms);
        if lease.is_long {
            self.long_slots = self.long_slots.saturating_sub(lease.shape.slots.into());
        }
    }

    fn remove_parts(&mut self, matches: impl Fn(&PartKey) -> bool) {
        if self.reserved_for.as_ref().is_some_and(&matches) {
            self.clear_reservation();
        }
        for queue in &mut self.queues {
            for part in queue.remove(&matches) {
                self.teams.dequeue(part.team, part.remaining_tasks);
            }
        }
    }
}

/// Next part to be served.
struct Candidate {
    position: PartPosition,
    key: PartKey,
    shape: TaskShape,
    arrived_ms: u64,
}

fn retry_after_ms_for(wait_ms: u32) -> u32 {
    wait_ms.max(MIN_RETRY_AFTER_MS)
}
