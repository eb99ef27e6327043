//! Selection of the jobs to shed while more work waits than can start in time.
//!
//! The plan follows the rule of Moore and Hodgson with weights, see `docs/design/overload.md`.

use std::{cmp::Ordering, collections::BinaryHeap, sync::Arc};

use ggb_telemetry::log_event;

use crate::{
    Dispatcher, JobAnswer, JobId, LEASE_EXPIRY_MS, RefusalReason, Target,
    dispatcher::{
        MAX_QUEUE_TIME_PERCENT,
        admission::{MIN_RETRY_AFTER_MS, USABLE_CPU_PERCENT},
        job_state::{JobPhase, JobState},
        queue_entry::Lateness,
    },
};

/// Smallest share of recent work with which a cost is computed. Without it, the first jobs of a queue
/// that has started nothing would cost so much that they displace any number of others.
const MIN_SHARE: f64 = 0.05;

/// Factor of the cost of a job that can only be late; to its caller such an answer is worth a fifth.
const LATE_FACTOR: f64 = 0.2;

/// Smallest share of the rate at which capacity is freed that is expected to be left for a job by more
/// urgent ones, in percent.
const MIN_RATE_PERCENT: u64 = 10;

/// Minimum actual run time of a task as a share of its expected run time, in percent. Callers'
/// estimates are off by up to 40%, and run times spread as much.
pub(super) const MIN_RUN_PERCENT: u64 = 50;

/// A job that is shed, with the inputs of the decision.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShedJob {
    pub(super) job: JobId,
    /// Cost per thousandth of a core and ms of the job's remaining work, times 1,000.
    pub(super) cost: f64,
    /// Remaining work, in thousandths of a core times ms.
    pub(super) work: u64,
    /// The job that starts in time or is admitted instead; the same one if the job could not start in
    /// time anyway.
    pub(super) shed_for: JobId,
    /// Cost of that job in the unit of `cost`.
    pub(super) shed_for_cost: f64,
    /// The job that would have started too late; it is `shed_for` or `job`.
    pub(super) late: JobId,
    /// Time from now at which that job was expected to start.
    pub(super) start_in_ms: u64,
    /// Work ahead of that job beyond what lets it start in time.
    pub(super) excess_work: u64,
}

impl ShedJob {
    pub(super) fn reason(&self) -> RefusalReason {
        match self.shed_for == self.job {
            true => RefusalReason::Overloaded,
            false => RefusalReason::Displaced,
        }
    }
}

/// The jobs to shed so that the others start in time.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    pub(super) shed: Vec<ShedJob>,
    /// Expected queueing time of the last task of the arriving job.
    pub(super) arrival_wait_ms: u64,
    /// Time after which all waiting work has started.
    pub(super) backlog_ms: u64,
    /// Free CPU time on healthy targets, in thousandths of a core.
    pub(super) free_cpu_milli: u64,
}

/// A job in the plan.
struct PlannedJob<'a> {
    job: &'a JobState,
    work: u64,
    /// Index of its queue among those of the plan.
    queue: usize,
    /// Cost of shedding the job, per unit of its remaining work.
    cost: f64,
    is_late: bool,
    may_be_shed: bool,
}

/// A job that can be shed; the cheapest one is the greatest, and of equal ones the last in the
/// plan's order of arrival.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    cost: f64,
    received_at_ms: u64,
    id: JobId,
    index: usize,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = other.cost.total_cmp(&self.cost);
        by_cost.then_with(|| (self.received_at_ms, self.id).cmp(&(other.received_at_ms, other.id)))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

/// Capacity of the targets of one service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceCapacity {
    /// CPU time that is freed per ms while all targets are busy, in thousandths of a core.
    rate: u64,
    free_cpu_milli: u64,
    /// Free CPU time without the remainders that are too small for a task of average demand.
    usable_cpu_milli: u64,
}

/// Returns the rate at which work was started recently that would start before a job's.
fn rate_ahead_of(job: &JobState, rates: &[(u8, f64)]) -> u64 {
    let priority = job.submission().queue.priority;
    let is_late = job.lateness() != Lateness::InTime;
    let ahead = rates.iter().filter(|(other, _)| is_late || *other < priority);
    ahead.map(|(_, rate)| rate).sum::<f64>() as u64
}

impl ServiceCapacity {
    /// Returns the rate at which capacity becomes free for a job, where `rates` are those at which work
    /// was started recently: work of more urgent jobs that arrive later starts before it.
    fn rate_for(&self, job: &JobState, rates: &[(u8, f64)]) -> u64 {
        let least = self.rate * MIN_RATE_PERCENT / 100;
        self.rate.saturating_sub(rate_ahead_of(job, rates)).max(least).max(1)
    }

    /// Returns the highest rate at which capacity can become free for a job, all else aside.
    fn highest_rate(&self) -> u64 {
        (self.rate * 100 / USABLE_CPU_PERCENT).max(1)
    }
}

impl Dispatcher {
    /// Sheds waiting jobs that would prevent others from starting in time, or that cannot.
    pub(super) fn shed_overload(&mut self, now_ms: u64) {
        if self.queue.is_empty()
            || !self.evacuated_zones.may_start(now_ms)
            || !self.is_capacity_known(now_ms)
        {
            return;
        }
        let waiting = self.queue.iter().filter_map(|entry| self.job(entry.job()));
        let mut services: Vec<Arc<str>> = Vec::new();
        for job in waiting {
            let service = &job.submission().queue.service;
            if let Err(index) = services.binary_search(service) {
                services.insert(index, Arc::clone(service));
            }
        }
        for service in services {
            let plan = self.plan(&service, None, now_ms);
            self.shed_jobs(&plan, now_ms);
        }
    }

    /// Refuses the jobs that a plan sheds.
    pub(super) fn shed_jobs(&mut self, plan: &Plan, now_ms: u64) {
        let retry_after_ms = plan.backlog_ms.max(MIN_RETRY_AFTER_MS);
        for shed in &plan.shed {
            let Some(job) = self.job(shed.job) else { continue };
            let reason = shed.reason();
            let queue = Arc::clone(&job.submission().queue.name);
            let shed_for = self.job(shed.shed_for);
            log_event!(
                info, JobDisplaced, job = %shed.job, queue = %queue, reason = ?reason,
                priority = job.submission().queue.priority, cost = shed.cost,
                work_cpu_ms = shed.work / 1_000, waited_ms = now_ms - job.received_at_ms(),
                shed_for = %shed.shed_for,
                shed_for_queue = shed_for.map(|job| job.submission().queue.name.as_ref()),
                shed_for_cost = shed.shed_for_cost, late = %shed.late,
                start_in_ms = shed.start_in_ms, excess_cpu_ms = shed.excess_work / 1_000,
                retry_after_ms,
                free_cpu_milli = plan.free_cpu_milli
            );
            self.count_turned_away(&queue, reason);
            self.answer_callers(shed.job, &JobAnswer::Refused { reason, retry_after_ms });
            self.close_job(shed.job, JobPhase::Abandoned, now_ms);
        }
    }

    /// Counts a job that was refused, for metrics.
    pub(super) fn count_turned_away(&mut self, queue: &Arc<str>, reason: RefusalReason) {
        let is_same = |(name, other, _): &&mut (Arc<str>, RefusalReason, u64)| {
            *name == *queue && *other == reason
        };
        match self.turned_away.iter_mut().find(is_same) {
            Some((_, _, jobs)) => *jobs += 1,
            None => self.turned_away.push((Arc::clone(queue), reason, 1)),
        }
    }

    /// Removes and returns the numbers of refused jobs by queue and reason, for metrics.
    pub fn take_turned_away(&mut self) -> Vec<(Arc<str>, RefusalReason, u64)> {
        std::mem::take(&mut self.turned_away)
    }

    /// Returns the share of each queue in the work that was started recently.
    pub fn work_shares(&self) -> Vec<(Arc<str>, f64)> {
        self.recent_work.shares().map(|(queue, share)| (Arc::clone(queue), share)).collect()
    }

    /// Returns whether the capacity of the targets is known: all that answer have sent a listing.
    /// Until then more work waits than has to.
    fn is_capacity_known(&self, now_ms: u64) -> bool {
        let is_known = |target: &Target| {
            target.has_current_listing() || target.is_silent() || target.is_removed()
        };
        self.resync_since_ms.is_none()
            && (now_ms >= self.took_over_at_ms + LEASE_EXPIRY_MS
                || self.targets.iter().all(is_known))
    }

    /// Returns the free CPU time on healthy targets, in thousandths of a core.
    pub(super) fn free_cpu_milli(&self) -> u64 {
        let healthy = self.targets.iter().filter(|target| target.is_healthy());
        healthy.map(|target| target.free().cpu_milli).sum()
    }

    fn capacity_of(&self, service: &str) -> ServiceCapacity {
        let mut capacity = ServiceCapacity::default();
        let task_cpu_milli = self.average_cpu_milli.max(1);
        for target in self.targets_of(service).filter(|target| target.is_healthy()) {
            let free_cpu_milli = target.free().cpu_milli;
            capacity.rate += target.info().capacity.cpu_milli;
            capacity.free_cpu_milli += free_cpu_milli;
            capacity.usable_cpu_milli += free_cpu_milli / task_cpu_milli * task_cpu_milli;
        }
        capacity.rate = capacity.rate * USABLE_CPU_PERCENT / 100;
        capacity
    }

    /// Returns the waiting jobs of a service in scheduling order, with `arrival` among them.
    fn planned_jobs<'a>(
        &'a self,
        service: &str,
        arrival: Option<&'a JobState>,
        now_ms: u64,
    ) -> Vec<PlannedJob<'a>> {
        let mut planned: Vec<PlannedJob> = Vec::with_capacity(self.queue.len() + 1);
        // Queue and its waiting work, later its share of all work; sorted by queue.
        let mut queues: Vec<(&str, f64)> = Vec::new();
        let arrival_index = arrival
            .map(JobState::queue_entry)
            .map(|entry| self.queue.partition_point(|other| other.position < entry.position));
        let (before, after) = self.queue.split_at(arrival_index.unwrap_or(0));
        let before = before.iter().filter_map(|entry| self.job(entry.job()));
        let after = after.iter().filter_map(|entry| self.job(entry.job()));
        let jobs = before.chain(arrival).chain(after);
        for job in jobs.filter(|job| *job.submission().queue.service == *service) {
            let work = job.waiting_work();
            let name = job.submission().queue.name.as_ref();
            let queue = match planned.last().map(|last| last.queue) {
                Some(last) if queues[last].0 == name => last,
                _ => queues.binary_search_by(|(other, _)| (*other).cmp(name)).unwrap_or_else(
                    |index| {
                        queues.insert(index, (name, 0.0));
                        let moved = planned.iter_mut().filter(|other| other.queue >= index);
                        moved.for_each(|other| other.queue += 1);
                        index
                    },
                ),
            };
            queues[queue].1 += work as f64;
            planned.push(PlannedJob {
                job,
                work,
                queue,
                cost: 0.0,
                is_late: job.lateness() != Lateness::InTime,
                may_be_shed: job.may_be_shed(),
            });
        }
        let waiting: f64 = queues.iter().map(|(_, work)| work).sum();
        let total = (self.recent_work.total(now_ms) + waiting).max(1.0);
        for (queue, work) in &mut queues {
            *work = ((self.recent_work.of_queue(queue, now_ms) + *work) / total).max(MIN_SHARE);
        }
        for planned_job in &mut planned {
            let (_, share) = queues[planned_job.queue];
            let priority = planned_job.job.submission().queue.priority;
            let late_factor = if planned_job.is_late { LATE_FACTOR } else { 1.0 };
            planned_job.cost = late_factor / (1.0 + f64::from(priority)) / share;
        }
        planned
    }

    /// Returns the started jobs whose waiting tasks cannot end before the deadlines of their callers, with
    /// the wait for the work ahead of each.
    pub(super) fn unreachable_deadlines(&self, now_ms: u64) -> Vec<(JobId, u64)> {
        // Service, its capacity and the work ahead, sorted by service.
        let mut services: Vec<(&str, ServiceCapacity, u64)> = Vec::new();
        let mut unreachable: Vec<(JobId, u64)> = Vec::new();
        for job in self.queue.iter().filter_map(|entry| self.job(entry.job())) {
            let service = job.submission().queue.service.as_ref();
            let index = services.binary_search_by(|(name, ..)| (*name).cmp(service));
            let index = index.unwrap_or_else(|index| {
                services.insert(index, (service, self.capacity_of(service), 0));
                index
            });
            let (_, capacity, ahead_work) = &mut services[index];
            let free_work = capacity.usable_cpu_milli.saturating_mul(job.longest_ms());
            let wait_ahead_ms = match capacity.rate {
                0 => 0,
                // Work that arrives later is not counted: it made the wait seem so long that jobs were
                // given up which would have ended in time.
                _ => ahead_work.saturating_sub(free_work) / capacity.highest_rate(),
            };
            let may_give_up = job.phase() == JobPhase::Open
                && job.submission().part.is_none()
                && (job.has_started() || job.has_offloaded());
            if may_give_up && self.misses_deadline(job, wait_ahead_ms, now_ms) {
                unreachable.push((job.id(), wait_ahead_ms));
                continue;
            }
            *ahead_work = ahead_work.saturating_add(job.waiting_work());
        }
        unreachable
    }

    /// Returns whether the waiting tasks of a job cannot end before the deadline of its callers.
    fn misses_deadline(&self, job: &JobState, wait_ahead_ms: u64, now_ms: u64) -> bool {
        let start_ms = self.earliest_start_ms(job, now_ms);
        let ends_late = |start_ms: u64, remaining_ms: u64| {
            start_ms + remaining_ms * MIN_RUN_PERCENT / 100 > job.caller_deadline_ms()
        };
        let queued_start_ms = start_ms.max(now_ms + wait_ahead_ms);
        // The sum over all steps is an upper bound of the critical path that needs no search.
        if !ends_late(queued_start_ms, job.all_steps_ms()) {
            return false;
        }
        let remaining_ms = job.waiting_critical_path_ms();
        let targets = self.targets_of(&job.submission().queue.service);
        ends_late(start_ms, remaining_ms)
            || (ends_late(queued_start_ms, remaining_ms)
                && !self.has_capacity_for(job, &targets.collect::<Vec<_>>(), now_ms))
    }

    /// Returns the expected queueing time of the last task of a queued job.
    pub(super) fn expected_wait_ms(&self, job: &JobState) -> u64 {
        let entry = job.queue_entry();
        let service = &job.submission().queue.service;
        let capacity = self.capacity_of(service);
        let up_to = self.queue.iter().take_while(|other| other.position <= entry.position);
        let up_to = up_to.filter_map(|other| self.job(other.job()));
        let of_service = up_to.filter(|other| other.submission().queue.service == *service);
        let work = of_service.map(JobState::waiting_work).fold(0, u64::saturating_add);
        let free_work = capacity.usable_cpu_milli.saturating_mul(job.longest_ms());
        work.saturating_sub(free_work) / capacity.rate.max(1)
    }

    /// Returns the jobs of a service to shed, where `arrival` has just arrived and is not queued yet.
    ///
    /// For each job that would start too late, either the cheapest jobs among those ahead of it are
    /// shed until it starts in time, or the job itself, whichever costs less.
    pub(super) fn plan(&self, service: &str, arrival: Option<&JobState>, now_ms: u64) -> Plan {
        let capacity = self.capacity_of(service);
        // Without any healthy target the wait is not known; most such losses of contact are short.
        if capacity.rate == 0 && arrival.is_none() {
            return Plan::default();
        }
        let rates = self.recent_work.rates_by_priority(now_ms);
        let targets: Vec<&Target> = self.targets_of(service).collect();
        let planned = self.planned_jobs(service, arrival, now_ms);
        let arrival_id = arrival.map(JobState::id);
        let mut plan = Plan { free_cpu_milli: capacity.free_cpu_milli, ..Plan::default() };
        let mut candidates: BinaryHeap<Candidate> = BinaryHeap::new();
        let mut arrival_candidate: Option<Candidate> = None;
        let mut ahead_work: u64 = 0;
        for index in 0..planned.len() {
            let PlannedJob { job, work, cost, may_be_shed, .. } = planned[index];
            let is_arrival = arrival_id == Some(job.id());
            let free_work = capacity.usable_cpu_milli.saturating_mul(job.longest_ms());
            let rate = capacity.rate_for(job, &rates);
            let start_in_ms = ahead_work.saturating_sub(free_work) / rate;
            if is_arrival {
                plan.arrival_wait_ms = (ahead_work + work).saturating_sub(free_work) / rate;
            }
            let candidate =
                Candidate { cost, received_at_ms: job.received_at_ms(), id: job.id(), index };
            if is_arrival {
                arrival_candidate = Some(candidate);
            }
            let work_until = |until_ms: u64| {
                let until_in_ms = until_ms.saturating_sub(now_ms);
                free_work.saturating_add(until_in_ms.saturating_mul(rate))
            };
            let max_work = work_until(job.queue_deadline_ms(MAX_QUEUE_TIME_PERCENT));
            // A job that has been admitted is not refused for ending late.
            let max_ahead_work = match is_arrival {
                true => {
                    max_work_before_last(job, work_until, now_ms).map(|last| max_work.min(last))
                }
                false => Some(max_work),
            };
            let excess_work = match max_ahead_work {
                Some(max_work) => ahead_work.saturating_sub(max_work),
                None => ahead_work.saturating_add(work).max(1),
            };
            if !may_be_shed || excess_work == 0 {
                if may_be_shed {
                    candidates.push(candidate);
                }
                ahead_work += work;
                continue;
            }
            if !is_arrival && self.has_capacity_for(job, &targets, now_ms) {
                ahead_work += work;
                continue;
            }
            let is_cheaper = |other: &Candidate| *other > candidate;
            let mut freed_work = 0;
            let mut victims: Vec<Candidate> = Vec::new();
            let mut victims_cost = 0.0;
            let mut is_itself_shed = max_ahead_work.is_none();
            while freed_work < excess_work && !is_itself_shed {
                let max_cost = cost * work as f64;
                match candidates.pop() {
                    Some(other) if !is_cheaper(&other) => {
                        candidates.push(other);
                        is_itself_shed = true;
                    }
                    Some(other)
                        if self.has_capacity_for(planned[other.index].job, &targets, now_ms) => {}
                    Some(other) => {
                        let other_work = planned[other.index].work;
                        freed_work += other_work;
                        victims_cost += other.cost * other_work as f64;
                        victims.push(other);
                        is_itself_shed = victims_cost > max_cost;
                    }
                    None => is_itself_shed = true,
                }
            }
            let shed_for = |other: &Candidate, instead: &Candidate| ShedJob {
                job: other.id,
                cost: other.cost,
                work: planned[other.index].work,
                shed_for: instead.id,
                shed_for_cost: instead.cost,
                late: job.id(),
                start_in_ms,
                excess_work,
            };
            if is_itself_shed {
                candidates.extend(victims);
                // A queued job was expected to start in time before the arrival came ahead of it.
                plan.shed.push(shed_for(&candidate, &arrival_candidate.unwrap_or(candidate)));
                continue;
            }
            plan.shed.extend(victims.iter().map(|victim| shed_for(victim, &candidate)));
            ahead_work = ahead_work - freed_work + work;
            candidates.push(candidate);
        }
        plan.backlog_ms = ahead_work / capacity.rate.max(1);
        // What the arriving job would displace stays if the job is not admitted.
        if let Some(index) = plan.shed.iter().position(|shed| Some(shed.job) == arrival_id) {
            plan.shed = vec![plan.shed[index]];
        }
        plan
    }
}

/// Returns the most work that can start before an arriving job with which the last of its tasks
/// starts in time to meet its objective; `None` if it would be late without any.
fn max_work_before_last(
    job: &JobState,
    work_until: impl Fn(u64) -> u64,
    now_ms: u64,
) -> Option<u64> {
    let latest_start_ms = job.latest_start_ms();
    match now_ms <= latest_start_ms {
        true => work_until(latest_start_ms).checked_sub(job.waiting_work()),
        false => None,
    }
}
