//! Dispatchers of several zones with model targets, in virtual time and with faults.

mod check;
mod links;

use std::{cmp::Reverse, collections::BinaryHeap, ops::Range, sync::Arc};

use ggb_model::Zone;
use ggb_placement::{
    BatchJob, Capacity, Dispatcher, EarlierRuns, JobAnswer, JobId, LENT_GONE_MS, QueueRules,
    RunTimes, StepSpec, Submission, TargetInfo, Ticket,
};
use ggb_standin::{ModelTarget, ModelWork};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub use links::Faults;

/// How long a caller waits, from the users' sheets.
const DEADLINE_MS: u64 = 1_500;

/// One way between a dispatcher and a target of its zone, and between zones.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 2;

/// The interval of [`Dispatcher::tick`].
const TICK_MS: u64 = 5;

/// How long after an owner is gone its zone has another.
const TAKEOVER_MS: u64 = 500;

/// After how long a caller sends a job again that got no answer.
const RESEND_MS: u64 = 1_300;

type Step = Box<dyn FnOnce(&mut World)>;

struct Scheduled {
    at_ms: u64,
    number: u64,
    step: Step,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

/// Who waits for an answer of a dispatcher.
#[derive(Clone, Copy)]
enum Waiter {
    Caller(usize),
    Lender { owner: usize, part: u64 },
}

/// One life of a dispatcher.
struct Owner {
    zone: usize,
    token: u64,
    dispatcher: Dispatcher,
    waiters: Vec<(Ticket, Waiter)>,
    /// Parts that other owners have: the part, the owner and, once it has it, the ticket.
    lent: Vec<(u64, usize, Option<Ticket>)>,
    next_ticket: u64,
    is_alive: bool,
    frozen_until_ms: u64,
}

/// A target and the zone that it is in.
struct Placed {
    zone: usize,
    info: TargetInfo,
    model: ModelTarget,
}

/// A job and what its caller got.
pub struct Caller {
    /// The job as the caller sends it.
    pub submission: Submission,
    /// How its tasks go.
    pub work: ModelWork,
    /// When it was sent first.
    pub sent_at_ms: u64,
    /// When its entry process received it last.
    pub received_at_ms: u64,
    /// What the caller got in the end, and when.
    pub answer: Option<(u64, JobAnswer)>,
    /// Whether the caller left and does not want an answer.
    pub gave_up: bool,
    /// The number of the connection; what belongs to an earlier one is void.
    connection: u32,
    /// Whether any try ended without a truthful refusal.
    pub broke_off: bool,
}

impl Caller {
    fn waits_on(&self, connection: u32) -> bool {
        self.answer.is_none() && !self.gave_up && self.connection == connection
    }
}

/// Zones, targets and callers.
pub struct World {
    pub now_ms: u64,
    pub rng: ChaCha8Rng,
    pub faults: Faults,
    pub callers: Vec<Caller>,
    steps: BinaryHeap<Reverse<Scheduled>>,
    next_step: u64,
    owners: Vec<Owner>,
    /// The current owner of each zone.
    current: Vec<Option<usize>>,
    targets: Vec<Placed>,
    cut_zone: Option<usize>,
}

/// Returns the seeds to play: all, or the one that the environment names, with logs.
pub fn seeds(all: Range<u64>) -> Range<u64> {
    match std::env::var("GGB_SEED").ok().and_then(|text| text.parse().ok()) {
        Some(seed) => {
            let logs = tracing_subscriber::fmt().without_time().with_target(false);
            logs.with_max_level(tracing_subscriber::filter::LevelFilter::DEBUG).try_init().ok();
            seed..seed + 1
        }
        None => all,
    }
}

fn zone_name(zone: usize) -> Zone {
    format!("zone-{zone}").parse().expect("the name is valid")
}

impl World {
    /// Returns `zones` zones with `targets` targets each: two in three of 32 cores, the
    /// others of 48.
    pub fn new(seed: u64, zones: usize, targets: usize) -> Self {
        let mut world = World {
            now_ms: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Faults::default(),
            callers: Vec::new(),
            steps: BinaryHeap::new(),
            next_step: 0,
            owners: Vec::new(),
            current: vec![None; zones],
            targets: Vec::new(),
            cut_zone: None,
        };
        for zone in 0..zones {
            for number in 0..targets {
                let cores = if number % 3 == 2 { 48 } else { 32 };
                let capacity = Capacity { cpu_milli: cores * 1_000, memory_mb: 131_072, gpus: 0 };
                let model = ModelTarget::new(capacity, 0);
                let info = TargetInfo {
                    id: format!("t-{zone}-{number:03}").into(),
                    born_unix_ms: model.born_unix_ms(),
                    service: "work".into(),
                    addr: ([10, zone as u8, 0, number as u8], 80).into(),
                    zone: zone_name(zone),
                    capacity,
                    labels: vec![format!("rack-{}", number / 8)],
                    draining: false,
                };
                world.targets.push(Placed { zone, info, model });
            }
        }
        for zone in 0..zones {
            world.take_over(zone);
        }
        world.tell_room();
        world
    }

    /// Runs what is due until `until_ms`.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse(next)) = self.steps.peek() {
            if next.at_ms > until_ms {
                break;
            }
            let Some(Reverse(scheduled)) = self.steps.pop() else { break };
            self.now_ms = scheduled.at_ms;
            (scheduled.step)(self);
        }
        self.now_ms = until_ms;
        let now_ms = self.now_ms;
        self.targets.iter_mut().for_each(|target| target.model.advance(now_ms));
    }

    /// Runs `step` after `delay_ms`.
    pub fn after(&mut self, delay_ms: u64, step: impl FnOnce(&mut World) + 'static) {
        self.next_step += 1;
        let (at_ms, number) = (self.now_ms + delay_ms, self.next_step);
        self.steps.push(Reverse(Scheduled { at_ms, number, step: Box::new(step) }));
    }

    fn take_over(&mut self, zone: usize) {
        let id = self.owners.len();
        let mut dispatcher = Dispatcher::new(RunTimes::default(), id as u64 * 10_000, self.now_ms);
        let targets: Vec<usize> =
            (0..self.targets.len()).filter(|at| self.targets[*at].zone == zone).collect();
        for at in &targets {
            dispatcher.upsert_target(self.targets[*at].info.clone());
        }
        self.owners.push(Owner {
            zone,
            token: (id as u64 + 1) * 1_000,
            dispatcher,
            waiters: Vec::new(),
            lent: Vec::new(),
            next_ticket: 0,
            is_alive: true,
            frozen_until_ms: 0,
        });
        self.current[zone] = Some(id);
        for at in targets {
            self.follow(id, at, 0);
        }
        self.tick(id);
    }

    fn tick(&mut self, id: usize) {
        self.tell_owner(id, TICK_MS, move |world| {
            let now_ms = world.now_ms;
            world.owners[id].dispatcher.tick(now_ms);
            world.act(id);
            world.tick(id);
        });
    }

    /// Runs `step` for an owner that lives, after it has thawed.
    fn tell_owner(&mut self, id: usize, delay_ms: u64, step: impl FnOnce(&mut World) + 'static) {
        self.after(delay_ms, move |world| {
            let owner = &world.owners[id];
            if !owner.is_alive {
                return;
            }
            match owner.frozen_until_ms.checked_sub(world.now_ms) {
                Some(left_ms @ 1..) => world.tell_owner(id, left_ms, step),
                _ => step(world),
            }
        });
    }

    fn tell_room(&mut self) {
        let rooms: Vec<(usize, usize, u64)> = self
            .current
            .iter()
            .enumerate()
            .filter_map(|(zone, owner)| {
                let owner = (*owner)?;
                let is_frozen = self.owners[owner].frozen_until_ms > self.now_ms;
                let room = self.owners[owner].dispatcher.load().free_tasks;
                (!is_frozen).then_some((zone, owner, room))
            })
            .collect();
        for (zone, _, room) in &rooms {
            for (other, owner, _) in &rooms {
                if zone != other && !self.is_cut(*zone, *other) {
                    let (zone, owner, room) = (*zone, *owner, *room);
                    self.tell_owner(owner, FAR_MS, move |world| {
                        let now_ms = world.now_ms;
                        let dispatcher = &mut world.owners[owner].dispatcher;
                        dispatcher.room_heard(&zone_name(zone), room, now_ms);
                        world.act(owner);
                    });
                }
            }
        }
        self.after(25, World::tell_room);
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        one != other && self.cut_zone.is_some_and(|cut| cut == one || cut == other)
    }

    /// Cuts a zone off from the others for a while.
    pub fn cut_zone(&mut self, zone: usize, for_ms: u64) {
        self.cut_zone = Some(zone);
        self.after(for_ms, |world| world.cut_zone = None);
    }

    /// Kills the owner of a zone; its callers turn to the next one.
    pub fn kill_owner(&mut self, zone: usize) {
        let Some(id) = self.current[zone].take() else { return };
        self.owners[id].is_alive = false;
        self.drop_connections(id);
        self.after(TAKEOVER_MS, move |world| world.take_over(zone));
    }

    /// Freezes the owner of a zone; another one takes over meanwhile.
    pub fn freeze_owner(&mut self, zone: usize, for_ms: u64) {
        let Some(id) = self.current[zone].take() else { return };
        self.owners[id].frozen_until_ms = self.now_ms + for_ms;
        self.drop_connections(id);
        self.after(TAKEOVER_MS, move |world| world.take_over(zone));
    }

    /// Has the owner of a zone hand its targets over.
    pub fn release_owner(&mut self, zone: usize) {
        let Some(id) = self.current[zone].take() else { return };
        self.take_over(zone);
        self.fenced_off(id);
    }

    /// Lets a target crash and boot again.
    pub fn crash_target(&mut self, at: usize) {
        let now_ms = self.now_ms;
        self.targets[at].model.crash(now_ms);
    }

    /// Sets how a target treats new runs, for a while.
    pub fn set_mode(&mut self, at: usize, mode: ggb_standin::ModelMode, for_ms: u64) {
        self.targets[at].model.mode = mode;
        self.after(for_ms, move |world| {
            world.targets[at].model.mode = ggb_standin::ModelMode::Sound;
        });
    }

    /// Returns the number of targets.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Sends everybody who waits for an owner elsewhere: callers learn at once, and owners
    /// that lent it parts lose them.
    fn drop_connections(&mut self, id: usize) {
        for (_, waiter) in std::mem::take(&mut self.owners[id].waiters) {
            match waiter {
                Waiter::Caller(caller) => {
                    self.callers[caller].submission.earlier_runs = EarlierRuns::StillHeld;
                    self.offer(caller, self.owners[id].zone);
                }
                Waiter::Lender { owner, part } => {
                    self.tell_owner(owner, FAR_MS + LENT_GONE_MS, move |world| {
                        world.part_settled(owner, part, ggb_placement::LentOutcome::Lost);
                    });
                }
            }
        }
        for (_, lender, ticket) in std::mem::take(&mut self.owners[id].lent) {
            if let Some(ticket) = ticket {
                self.withdraw(lender, ticket, FAR_MS);
            }
        }
    }

    fn withdraw(&mut self, id: usize, ticket: Ticket, delay_ms: u64) {
        self.tell_owner(id, delay_ms, move |world| {
            let now_ms = world.now_ms;
            world.owners[id].waiters.retain(|(waiting, _)| *waiting != ticket);
            world.owners[id].dispatcher.withdraw(ticket, now_ms);
            world.act(id);
        });
    }

    /// Sends a job from a caller in a zone; returns the number of the caller.
    pub fn submit(&mut self, zone: usize, shape: &JobShape) -> usize {
        let caller = self.callers.len();
        let id: JobId = format!("{caller:016x}").parse().expect("the name is valid");
        let demand = Capacity { cpu_milli: shape.cpu_milli, memory_mb: 64, gpus: 0 };
        let step = StepSpec {
            count: shape.count,
            demand,
            estimate_ms: shape.work_ms,
            after: Vec::new(),
            required_label: None,
            near_rack: None,
            per_target_max: None,
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
            },
            earlier_runs: EarlierRuns::None,
            part: None,
            done: Vec::new(),
            held_under: None,
            waited_ms: 0,
            deadline_ms: DEADLINE_MS,
        };
        self.callers.push(Caller {
            submission,
            work: ModelWork { demand, work_ms: shape.work_ms, fails: shape.fails },
            sent_at_ms: self.now_ms,
            received_at_ms: self.now_ms,
            answer: None,
            gave_up: false,
            connection: 0,
            broke_off: false,
        });
        self.offer(caller, zone);
        caller
    }

    /// Lets a caller lose its connection, and send the job again to another zone.
    pub fn break_off(&mut self, caller: usize, zone: usize) {
        if self.callers[caller].answer.is_some() {
            return;
        }
        self.leave(caller);
        self.resend(caller, zone);
    }

    /// Lets a caller leave for good.
    pub fn give_up(&mut self, caller: usize) {
        if self.callers[caller].answer.is_none() {
            self.callers[caller].gave_up = true;
            self.leave(caller);
        }
    }

    fn leave(&mut self, caller: usize) {
        self.callers[caller].broke_off = true;
        self.callers[caller].connection += 1;
        for id in 0..self.owners.len() {
            let is_own = |waiter: &Waiter| matches!(waiter, Waiter::Caller(own) if *own == caller);
            let tickets: Vec<Ticket> = self.owners[id]
                .waiters
                .iter()
                .filter(|(_, waiter)| is_own(waiter))
                .map(|(ticket, _)| *ticket)
                .collect();
            self.owners[id].waiters.retain(|(_, waiter)| !is_own(waiter));
            for ticket in tickets {
                self.withdraw(id, ticket, NEAR_MS);
            }
        }
    }

    fn resend(&mut self, caller: usize, zone: usize) {
        self.callers[caller].connection += 1;
        self.after(RESEND_MS, move |world| {
            world.callers[caller].received_at_ms = world.now_ms;
            world.callers[caller].submission.earlier_runs = EarlierRuns::None;
            world.callers[caller].submission.done.clear();
            world.offer(caller, zone);
        });
    }

    /// Passes a job to the owner of a zone as soon as there is one.
    fn offer(&mut self, caller: usize, zone: usize) {
        let connection = self.callers[caller].connection;
        let Some(id) = self.current[zone] else {
            self.after(20, move |world| {
                if world.callers[caller].waits_on(connection) {
                    world.offer(caller, zone);
                }
            });
            return;
        };
        self.after(NEAR_MS, move |world| {
            if !world.callers[caller].waits_on(connection) {
                return;
            }
            if !world.owners[id].is_alive {
                world.offer(caller, zone);
                return;
            }
            let now_ms = world.now_ms;
            let state = &world.callers[caller];
            let waited_ms = now_ms - state.received_at_ms;
            let submission = Submission { waited_ms, ..state.submission.clone() };
            world.submit_to(id, submission, Waiter::Caller(caller));
        });
    }

    fn submit_to(&mut self, id: usize, submission: Submission, waiter: Waiter) -> Ticket {
        let owner = &mut self.owners[id];
        let ticket = Ticket(owner.next_ticket);
        owner.next_ticket += 1;
        owner.waiters.push((ticket, waiter));
        owner.dispatcher.submit(submission, ticket, self.now_ms);
        self.act(id);
        ticket
    }

    fn answered(&mut self, id: usize, ticket: Ticket, answer: JobAnswer) {
        let owner = &mut self.owners[id];
        let Some(at) = owner.waiters.iter().position(|(waiting, _)| *waiting == ticket) else {
            return;
        };
        let (_, waiter) = owner.waiters.remove(at);
        let zone = owner.zone;
        match (waiter, answer) {
            (Waiter::Lender { owner, part }, answer) => self.lender_answered(owner, part, answer),
            (Waiter::Caller(caller), JobAnswer::Moved { done, earlier_runs }) => {
                let submission = &mut self.callers[caller].submission;
                submission.done.extend(done);
                submission.earlier_runs = submission.earlier_runs.max(earlier_runs);
                self.offer(caller, zone);
            }
            (Waiter::Caller(caller), JobAnswer::Unknown | JobAnswer::GivenUp) => {
                self.callers[caller].broke_off = true;
                self.resend(caller, zone);
            }
            (Waiter::Caller(caller), answer) => {
                let now_ms = self.now_ms;
                let state = &mut self.callers[caller];
                state.answer = state.answer.take().or(Some((now_ms, answer)));
            }
        }
    }

    /// Returns a number below `below`.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }
}

/// What a caller sends.
#[derive(Clone, Copy)]
pub struct JobShape {
    pub queue: &'static str,
    pub priority: u8,
    pub count: u16,
    pub cpu_milli: u64,
    pub work_ms: u64,
    pub fails: bool,
}

/// Wide, short and urgent.
pub const SLOT_CHECK: JobShape = JobShape {
    queue: "slot-check",
    priority: 0,
    count: 8,
    cpu_milli: 14_000,
    work_ms: 51,
    fails: false,
};

/// Narrow and of middle length.
pub const CONFIRM: JobShape = JobShape {
    queue: "confirm",
    priority: 1,
    count: 2,
    cpu_milli: 14_000,
    work_ms: 170,
    fails: false,
};

/// Long and least urgent.
pub const QUOTE: JobShape = JobShape {
    queue: "quote",
    priority: 2,
    count: 4,
    cpu_milli: 14_000,
    work_ms: 760,
    fails: false,
};
