//! Simulation of dispatchers and targets in several zones, in virtual time and with faults.

mod check;
mod disruptions;
mod links;
mod schedule;
pub mod shapes;

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use ggb_model::Zone;
use ggb_placement::{
    BatchJob, CALLER_EXPIRY_MS, Capacity, Claim, ClaimId, Dispatcher, EarlierRuns, JobAnswer,
    JobId, QueueRules, RequestId, RoutedJob, RunTimes, StepSpec, Submission, TargetInfo,
};
use ggb_standin::{SimulatedTarget, SimulatedWork};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub use links::Faults;
use links::ListingCall;
use schedule::ScheduledEvent;
use shapes::JobShape;

/// Time after which a caller stops waiting.
const DEADLINE_MS: u64 = 1_500;

/// One-way latency between a dispatcher and a target of its zone.
const INTRA_ZONE_LATENCY_MS: u64 = 1;

/// One-way latency between zones.
const INTER_ZONE_LATENCY_MS: u64 = 2;

/// Interval of [`Dispatcher::tick`].
const TICK_MS: u64 = 5;

/// Time from the loss of an owner to the takeover by another.
const TAKEOVER_DELAY_MS: u64 = 500;

/// Time after which an owner replies to an entry process that a job has no answer yet. The entry
/// process then checks that its caller is connected and sends the job again.
const MAX_REPLY_DELAY_MS: u64 = 400;

/// Time after which a caller resubmits a job without an answer.
const RESEND_DELAY_MS: u64 = 1_300;

/// Receiver of an answer from a dispatcher.
#[derive(Clone, Copy)]
enum Waiter {
    Caller(usize),
    Offloader { owner: usize, part: u64 },
}

/// A process that owns, or owned, the targets of a zone.
struct Owner {
    zone: usize,
    claim: Claim,
    dispatcher: Dispatcher,
    waiters: Vec<(RequestId, Waiter)>,
    /// Parts submitted to other owners.
    offloaded: Vec<Offloaded>,
    next_request: u64,
    is_alive: bool,
    frozen_until_ms: u64,
    /// Delay of everything that the process does, while it has too little CPU time.
    lag_ms: u64,
    /// Number of times that polling of a target was restarted, by target; absent if it never was.
    poll_restarts: Vec<(usize, u32)>,
}

/// A part of a job that an owner submitted to another one.
struct Offloaded {
    part: u64,
    job: JobId,
    owner: usize,
    /// The request at that owner, once submitted.
    request: Option<RequestId>,
}

/// A simulated target and its zone.
struct ZoneTarget {
    zone: usize,
    info: TargetInfo,
    simulated: SimulatedTarget,
    /// Time until which the target answers nothing.
    down_until_ms: u64,
    /// Whether requests that an earlier incarnation received get no answer.
    crashed_silently: bool,
    /// Requests for listings that wait for the end of a run: a number, the request, and the time until
    /// which it may wait.
    waiting: Vec<(u64, ListingCall, u64)>,
}

impl ZoneTarget {
    const fn new(zone: usize, info: TargetInfo, simulated: SimulatedTarget) -> Self {
        ZoneTarget {
            zone,
            info,
            simulated,
            down_until_ms: 0,
            crashed_silently: false,
            waiting: Vec::new(),
        }
    }

    const fn is_down(&self, now_ms: u64) -> bool {
        now_ms < self.down_until_ms
    }
}

/// A caller with its job and answer.
pub struct Caller {
    /// The job as the caller submits it.
    pub submission: Submission,
    /// Behaviour of the tasks on targets.
    pub work: SimulatedWork,
    /// Time of the first submission.
    pub sent_at_ms: u64,
    /// Time at which an entry process last received the job.
    pub received_at_ms: u64,
    /// Time of the answer, and the answer.
    pub answer: Option<(u64, JobAnswer)>,
    /// `true` if the caller disconnected and expects no answer.
    pub abandoned: bool,
    /// Number of the current connection; events of earlier connections are ignored.
    connection: u32,
    /// `true` if a submission ended without a final answer, so that tasks may have run before a
    /// later refusal.
    pub was_interrupted: bool,
}

impl Caller {
    fn is_waiting_on(&self, connection: u32) -> bool {
        self.answer.is_none() && !self.abandoned && self.connection == connection
    }
}

/// A second owner of a zone, which does not know of the current one.
#[derive(Clone, Copy)]
struct Rivalry {
    zone: usize,
    rival: usize,
    /// Whether each of the two reaches only every other target.
    is_split: bool,
}

/// State of the simulation.
pub struct Simulation {
    pub now_ms: u64,
    pub rng: ChaCha8Rng,
    pub faults: Faults,
    pub callers: Vec<Caller>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    next_event_number: u64,
    owners: Vec<Owner>,
    /// The current owner of each zone.
    current_owners: Vec<Option<usize>>,
    rivalry: Option<Rivalry>,
    targets: Vec<ZoneTarget>,
    partitioned_zone: Option<usize>,
    /// Zone of which every other target is unreachable for owners from an index on, and that index.
    cut_off_targets: Option<(usize, usize)>,
}

/// Returns the seeds to run: all, or only the one in `GGB_SEED`, which is then logged.
pub fn seeds(all: impl IntoIterator<Item = u64>) -> Vec<u64> {
    match std::env::var("GGB_SEED").ok().and_then(|text| text.parse().ok()) {
        Some(seed) => {
            let logs = tracing_subscriber::fmt().without_time().with_target(false);
            logs.with_max_level(tracing_subscriber::filter::LevelFilter::DEBUG).try_init().ok();
            vec![seed]
        }
        None => all.into_iter().collect(),
    }
}

fn zone_name(zone: usize) -> Zone {
    format!("zone-{zone}").parse().expect("`zone-N` is a valid zone name")
}

impl Simulation {
    /// Returns a simulation of `zones` zones with `targets` targets each. Two in three targets have
    /// 32 cores, the others 48.
    pub fn new(seed: u64, zones: usize, targets: usize) -> Self {
        let mut sim = Simulation {
            now_ms: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Faults::default(),
            callers: Vec::new(),
            events: BinaryHeap::new(),
            next_event_number: 0,
            owners: Vec::new(),
            current_owners: vec![None; zones],
            rivalry: None,
            targets: Vec::new(),
            partitioned_zone: None,
            cut_off_targets: None,
        };
        for zone in 0..zones {
            for number in 0..targets {
                let cores = if number % 3 == 2 { 48 } else { 32 };
                let capacity = Capacity { cpu_milli: cores * 1_000, memory_mb: 131_072, gpus: 0 };
                let simulated = SimulatedTarget::new(capacity, 0);
                let info = TargetInfo {
                    id: format!("t-{zone}-{number:03}").into(),
                    started_unix_ms: simulated.started_unix_ms(),
                    service: "work".into(),
                    addr: ([10, zone as u8, 0, number as u8], 80).into(),
                    zone: zone_name(zone),
                    capacity,
                    labels: vec![format!("rack-{}", number / 8)],
                    draining: false,
                };
                sim.targets.push(ZoneTarget::new(zone, info, simulated));
            }
        }
        for zone in 0..zones {
            sim.take_over(zone);
        }
        sim.broadcast_free_tasks();
        sim.report_caller_checks();
        sim
    }

    /// Runs all events up to `until_ms`.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse(next)) = self.events.peek() {
            if next.at_ms > until_ms {
                break;
            }
            let Some(Reverse(scheduled)) = self.events.pop() else { break };
            self.now_ms = scheduled.at_ms;
            (scheduled.event)(self);
        }
        self.now_ms = until_ms;
        let now_ms = self.now_ms;
        self.targets.iter_mut().for_each(|target| target.simulated.advance(now_ms));
    }

    /// Schedules `event` after `delay_ms`.
    pub fn schedule_after(&mut self, delay_ms: u64, event: impl FnOnce(&mut Simulation) + 'static) {
        self.next_event_number += 1;
        let (at_ms, number) = (self.now_ms + delay_ms, self.next_event_number);
        self.events.push(Reverse(ScheduledEvent { at_ms, number, event: Box::new(event) }));
    }

    fn take_over(&mut self, zone: usize) {
        self.take_over_with_lag(zone, 0);
    }

    /// Starts an owner of a zone that lags by `lag_ms`. Returns its index.
    fn take_over_with_lag(&mut self, zone: usize, lag_ms: u64) -> usize {
        let token = (self.owners.len() as u64 + 1) << 24;
        let owner_index = self.add_owner(zone, token, lag_ms);
        self.current_owners[zone] = Some(owner_index);
        owner_index
    }

    /// Starts an owner of a zone under `token`. Returns its index.
    fn add_owner(&mut self, zone: usize, token: u64, lag_ms: u64) -> usize {
        let owner_index = self.owners.len();
        let claim = Claim { id: ClaimId(owner_index as u64 * 10_000), token };
        let mut dispatcher = Dispatcher::new(RunTimes::default(), claim, self.now_ms);
        let targets: Vec<usize> =
            (0..self.targets.len()).filter(|index| self.targets[*index].zone == zone).collect();
        for target_index in &targets {
            dispatcher.upsert_target(self.targets[*target_index].info.clone());
        }
        self.owners.push(Owner {
            zone,
            claim,
            dispatcher,
            waiters: Vec::new(),
            offloaded: Vec::new(),
            next_request: 0,
            is_alive: true,
            frozen_until_ms: 0,
            lag_ms,
            poll_restarts: Vec::new(),
        });
        for target_index in targets {
            self.poll_target(owner_index, target_index, 0);
        }
        self.tick(owner_index);
        owner_index
    }

    fn tick(&mut self, owner_index: usize) {
        self.schedule_on_owner(owner_index, TICK_MS, move |sim| {
            let now_ms = sim.now_ms;
            sim.owners[owner_index].dispatcher.tick(now_ms);
            sim.execute_actions(owner_index);
            sim.tick(owner_index);
        });
    }

    /// Schedules `event` for an owner. The event is dropped if the owner is no longer alive, and
    /// delayed while the owner is frozen or lags.
    fn schedule_on_owner(
        &mut self,
        owner_index: usize,
        delay_ms: u64,
        event: impl FnOnce(&mut Simulation) + 'static,
    ) {
        let lag_ms = self.owners[owner_index].lag_ms;
        self.schedule_undelayed_on_owner(owner_index, delay_ms + lag_ms, event);
    }

    fn schedule_undelayed_on_owner(
        &mut self,
        owner_index: usize,
        delay_ms: u64,
        event: impl FnOnce(&mut Simulation) + 'static,
    ) {
        self.schedule_after(delay_ms, move |sim| {
            let owner = &sim.owners[owner_index];
            if !owner.is_alive {
                return;
            }
            match owner.frozen_until_ms.checked_sub(sim.now_ms) {
                Some(left_ms @ 1..) => sim.schedule_undelayed_on_owner(owner_index, left_ms, event),
                _ => event(sim),
            }
        });
    }

    fn broadcast_free_tasks(&mut self) {
        let free_tasks_by_zone: Vec<(usize, usize, u64)> = self
            .current_owners
            .iter()
            .enumerate()
            .filter_map(|(zone, owner)| {
                let owner = (*owner)?;
                let is_frozen = self.owners[owner].frozen_until_ms > self.now_ms;
                let free_tasks = self.owners[owner].dispatcher.load().free_tasks;
                (!is_frozen).then_some((zone, owner, free_tasks))
            })
            .collect();
        for (zone, _, free_tasks) in &free_tasks_by_zone {
            for (remote_zone, owner, _) in &free_tasks_by_zone {
                if zone != remote_zone && !self.are_partitioned(*zone, *remote_zone) {
                    let (zone, owner, free_tasks) = (*zone, *owner, *free_tasks);
                    self.schedule_on_owner(owner, INTER_ZONE_LATENCY_MS, move |sim| {
                        let now_ms = sim.now_ms;
                        let dispatcher = &mut sim.owners[owner].dispatcher;
                        dispatcher.update_remote_capacity(&zone_name(zone), free_tasks, now_ms);
                        sim.execute_actions(owner);
                    });
                }
            }
        }
        self.schedule_after(25, Simulation::broadcast_free_tasks);
    }

    /// Reports to every owner that the callers of its jobs are connected, and to the owners of parts
    /// when the callers were last found connected, as far as the senders are alive and reach them.
    fn report_caller_checks(&mut self) {
        let now_ms = self.now_ms;
        let mut checks: Vec<(usize, JobId, u64, u64)> = Vec::new();
        for (owner_index, owner) in self.owners.iter().enumerate() {
            for (_, waiter) in &owner.waiters {
                match *waiter {
                    Waiter::Caller(caller_index) => {
                        let job = self.callers[caller_index].submission.job.id;
                        checks.push((owner_index, job, now_ms, INTRA_ZONE_LATENCY_MS));
                    }
                    Waiter::Offloader { owner: sender_index, part } => {
                        let sender = &self.owners[sender_index];
                        let is_running = sender.is_alive && sender.frozen_until_ms <= now_ms;
                        let reaches = !self.are_partitioned(sender.zone, owner.zone);
                        let job = sender.offloaded.iter().find(|offloaded| offloaded.part == part);
                        let job = job.map(|offloaded| offloaded.job);
                        let checked_at_ms =
                            job.and_then(|job| sender.dispatcher.caller_checked_at_ms(job));
                        if let (true, true, Some(job), Some(checked_at_ms)) =
                            (is_running, reaches, job, checked_at_ms)
                        {
                            checks.push((owner_index, job, checked_at_ms, INTER_ZONE_LATENCY_MS));
                        }
                    }
                }
            }
        }
        for (owner_index, job, checked_at_ms, latency_ms) in checks {
            self.schedule_on_owner(owner_index, latency_ms, move |sim| {
                sim.owners[owner_index].dispatcher.record_caller_check(job, checked_at_ms);
            });
        }
        self.schedule_after(MAX_REPLY_DELAY_MS, Simulation::report_caller_checks);
    }

    fn are_partitioned(&self, one: usize, other: usize) -> bool {
        one != other
            && self
                .partitioned_zone
                .is_some_and(|partitioned| partitioned == one || partitioned == other)
    }

    /// Returns the number of targets.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Closes the connections of an owner: its callers resubmit their jobs to the next owner, and
    /// owners that offloaded parts to it lose these parts.
    fn drop_connections(&mut self, owner_index: usize) {
        for (_, waiter) in std::mem::take(&mut self.owners[owner_index].waiters) {
            match waiter {
                Waiter::Caller(caller_index) => {
                    self.callers[caller_index].submission.earlier_runs = EarlierRuns::StillHeld;
                    self.send_to_owner(caller_index, self.owners[owner_index].zone);
                }
                Waiter::Offloader { owner, part } => {
                    self.schedule_on_owner(
                        owner,
                        INTER_ZONE_LATENCY_MS + CALLER_EXPIRY_MS,
                        move |sim| {
                            sim.apply_part_outcome(owner, part, ggb_placement::PartOutcome::Lost);
                        },
                    );
                }
            }
        }
        for offloaded in std::mem::take(&mut self.owners[owner_index].offloaded) {
            if let Some(request) = offloaded.request {
                self.remove_request(offloaded.owner, request, INTER_ZONE_LATENCY_MS);
            }
        }
    }

    fn remove_request(&mut self, owner_index: usize, request: RequestId, delay_ms: u64) {
        self.schedule_on_owner(owner_index, delay_ms, move |sim| {
            let now_ms = sim.now_ms;
            sim.owners[owner_index].waiters.retain(|(waiting, _)| *waiting != request);
            sim.owners[owner_index].dispatcher.remove_request(request, now_ms);
            sim.execute_actions(owner_index);
        });
    }

    /// Submits a job of a new caller in a zone. Returns the index of the caller.
    pub fn submit(&mut self, zone: usize, shape: &JobShape) -> usize {
        let caller_index = self.callers.len();
        let id: JobId =
            format!("{caller_index:016x}").parse().expect("the id has 16 hexadecimal digits");
        let demand = Capacity { cpu_milli: shape.cpu_milli, memory_mb: 64, gpus: 0 };
        let step = StepSpec {
            count: shape.count,
            demand,
            estimate_ms: shape.work_ms,
            after: Vec::new(),
            required_label: None,
            near_rack: None,
            max_per_target: None,
        };
        let submission = Submission {
            job: BatchJob { id, spec: Arc::from("work"), steps: vec![step] },
            queue: QueueRules {
                name: shape.queue.into(),
                service: "work".into(),
                priority: shape.priority,
                max_attempts: 3,
                stretch: 1.6,
                target_latency_ms: 60,
                targets_enforce_capacity: true,
            },
            earlier_runs: EarlierRuns::None,
            run_targets: None,
            released_under: None,
            part: None,
            excluded_tasks: Vec::new(),
            holder: None,
            waited_ms: 0,
            deadline_ms: DEADLINE_MS,
            caller_check_age_ms: INTRA_ZONE_LATENCY_MS,
        };
        self.callers.push(Caller {
            submission,
            work: SimulatedWork {
                demand,
                work_ms: shape.work_ms,
                fails: shape.fails,
                crashes: shape.crashes,
            },
            sent_at_ms: self.now_ms,
            received_at_ms: self.now_ms,
            answer: None,
            abandoned: false,
            connection: 0,
            was_interrupted: false,
        });
        self.send_to_owner(caller_index, zone);
        caller_index
    }

    /// Closes the connection of a caller and resubmits its job in `zone`.
    pub fn reconnect(&mut self, caller_index: usize, zone: usize) {
        if self.callers[caller_index].answer.is_some() {
            return;
        }
        self.disconnect(caller_index, INTRA_ZONE_LATENCY_MS);
        self.resend(caller_index, zone);
    }

    /// Loses the entry process of a caller, which resubmits its job in `zone`. The owner notices
    /// when the entry process does not repeat its request for the answer.
    pub fn lose_entry(&mut self, caller_index: usize, zone: usize) {
        if self.callers[caller_index].answer.is_none() {
            self.disconnect(caller_index, MAX_REPLY_DELAY_MS);
            self.resend(caller_index, zone);
        }
    }

    /// Disconnects a caller that does not return.
    pub fn abandon(&mut self, caller_index: usize) {
        if self.callers[caller_index].answer.is_none() {
            self.callers[caller_index].abandoned = true;
            self.disconnect(caller_index, INTRA_ZONE_LATENCY_MS);
        }
    }

    /// Closes the connection of a caller, which owners notice after `delay_ms`.
    fn disconnect(&mut self, caller_index: usize, delay_ms: u64) {
        self.callers[caller_index].was_interrupted = true;
        self.callers[caller_index].connection += 1;
        for owner_index in 0..self.owners.len() {
            let is_own =
                |waiter: &Waiter| matches!(waiter, Waiter::Caller(index) if *index == caller_index);
            let requests: Vec<RequestId> = self.owners[owner_index]
                .waiters
                .iter()
                .filter(|(_, waiter)| is_own(waiter))
                .map(|(request, _)| *request)
                .collect();
            self.owners[owner_index].waiters.retain(|(_, waiter)| !is_own(waiter));
            for request in requests {
                self.remove_request(owner_index, request, delay_ms);
            }
        }
    }

    fn resend(&mut self, caller_index: usize, zone: usize) {
        self.callers[caller_index].connection += 1;
        self.schedule_after(RESEND_DELAY_MS, move |sim| {
            sim.callers[caller_index].received_at_ms = sim.now_ms;
            sim.callers[caller_index].submission.earlier_runs = EarlierRuns::None;
            sim.callers[caller_index].submission.excluded_tasks.clear();
            sim.send_to_owner(caller_index, zone);
        });
    }

    /// Returns the owner that the entry process of a caller knows.
    fn owner_for(&self, caller_index: usize, zone: usize) -> Option<usize> {
        match self.rivalry {
            Some(rivalry) if rivalry.zone == zone && !caller_index.is_multiple_of(2) => {
                Some(rivalry.rival)
            }
            _ => self.current_owners[zone],
        }
    }

    /// Submits a job to the owner of a zone, once there is one.
    fn send_to_owner(&mut self, caller_index: usize, zone: usize) {
        let connection = self.callers[caller_index].connection;
        let Some(owner_index) = self.owner_for(caller_index, zone) else {
            self.schedule_after(20, move |sim| {
                if sim.callers[caller_index].is_waiting_on(connection) {
                    sim.send_to_owner(caller_index, zone);
                }
            });
            return;
        };
        self.schedule_after(INTRA_ZONE_LATENCY_MS, move |sim| {
            if !sim.callers[caller_index].is_waiting_on(connection) {
                return;
            }
            if !sim.owners[owner_index].is_alive {
                sim.send_to_owner(caller_index, zone);
                return;
            }
            let now_ms = sim.now_ms;
            let state = &sim.callers[caller_index];
            let waited_ms = now_ms - state.received_at_ms;
            let submission = Submission { waited_ms, ..state.submission.clone() };
            sim.submit_to(owner_index, submission, Waiter::Caller(caller_index));
        });
    }

    fn submit_to(
        &mut self,
        owner_index: usize,
        submission: Submission,
        waiter: Waiter,
    ) -> RequestId {
        let owner = &mut self.owners[owner_index];
        let request = RequestId(owner.next_request);
        owner.next_request += 1;
        owner.waiters.push((request, waiter));
        let submission = submission.received_by(owner.claim);
        owner.dispatcher.submit(submission, request, self.now_ms);
        self.execute_actions(owner_index);
        request
    }

    fn deliver_answer(&mut self, owner_index: usize, request: RequestId, answer: JobAnswer) {
        let owner = &mut self.owners[owner_index];
        let Some(index) = owner.waiters.iter().position(|(waiting, _)| *waiting == request) else {
            return;
        };
        let (_, waiter) = owner.waiters.remove(index);
        let zone = owner.zone;
        match (waiter, answer) {
            (Waiter::Offloader { owner, part }, answer) => {
                self.apply_part_answer(owner, part, answer)
            }
            (
                Waiter::Caller(caller_index),
                JobAnswer::Moved { done, earlier_runs, run_targets, token },
            ) => {
                let submission = &mut self.callers[caller_index].submission;
                let mut routed_job = RoutedJob::new(submission.clone());
                routed_job.mark_moved(done, earlier_runs, run_targets, token);
                *submission = routed_job.submission().clone();
                self.send_to_owner(caller_index, zone);
            }
            (Waiter::Caller(caller_index), JobAnswer::Unknown | JobAnswer::GivenUp) => {
                self.callers[caller_index].was_interrupted = true;
                self.resend(caller_index, zone);
            }
            (Waiter::Caller(caller_index), answer) => {
                let now_ms = self.now_ms;
                let state = &mut self.callers[caller_index];
                state.answer = state.answer.take().or(Some((now_ms, answer)));
            }
        }
    }

    /// Returns a random number below `bound`.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }
}
