//! One dispatcher with targets that a case drives by hand.

pub use std::sync::Arc;

pub use ggb_placement::{
    Action, BatchJob, Capacity, Dispatcher, EarlierRuns, JobAnswer, LENT_GONE_MS, LentOutcome,
    ListedEnd, ListedRun, Listing, QueueRules, RefusalReason, Run, RunEnd, RunTimes, StartOutcome,
    StepSpec, Submission, TargetInfo, Ticket,
};

/// How long a caller waits.
pub const DEADLINE_MS: u64 = 1_500;

pub const JOB: &str = "00000000000000aa";

/// A dispatcher with targets that a case drives by hand.
pub struct Bench {
    pub dispatcher: Dispatcher,
    pub now_ms: u64,
    pub next_ticket: u64,
}

impl Bench {
    /// Returns a dispatcher whose targets have all given their first listing.
    pub fn new(cores: &[u64]) -> Self {
        let mut bench = Bench::taking_over(cores);
        for number in 0..cores.len() {
            bench.list(number, &[], &[]);
        }
        bench
    }

    /// Returns a dispatcher that has just taken over and has heard of no target yet.
    pub fn taking_over(cores: &[u64]) -> Self {
        let now_ms = 1_000;
        let mut dispatcher = Dispatcher::new(RunTimes::default(), 0, now_ms);
        for (number, cores) in cores.iter().enumerate() {
            dispatcher.upsert_target(target(number, *cores));
        }
        Bench { dispatcher, now_ms, next_ticket: 0 }
    }

    pub fn submit(&mut self, submission: Submission) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.dispatcher.submit(submission, ticket, self.now_ms);
        ticket
    }

    /// Advances time by `ms`, with the ticks in between.
    pub fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.now_ms += 5;
            self.dispatcher.tick(self.now_ms);
        }
    }

    pub fn list(&mut self, number: usize, running: &[(Run, u8)], ends: &[(u64, Run, RunEnd)]) {
        self.list_life(1, number, running, ends);
    }

    pub fn list_life(
        &mut self,
        born_unix_ms: u64,
        number: usize,
        running: &[(Run, u8)],
        ends: &[(u64, Run, RunEnd)],
    ) {
        let asked_at_ms = self.now_ms;
        self.now_ms += 1;
        let running = running.iter().map(|(run, percent)| ListedRun {
            run: *run,
            percent: *percent,
            used_cpu_milli: 14_000,
        });
        let finished = ends.iter().map(|(number, run, end)| ListedEnd {
            number: *number,
            run: *run,
            end: *end,
        });
        let listing = Listing {
            born_unix_ms,
            clock_ms: self.now_ms,
            running: running.collect(),
            finished: finished.collect(),
        };
        self.dispatcher.listed(&name(number), &listing, asked_at_ms, self.now_ms);
    }

    /// Hands over a listing without runs and ends that was asked for at `asked_at_ms`.
    pub fn list_asked(&mut self, asked_at_ms: u64, number: usize) {
        let listing = Listing {
            born_unix_ms: 1,
            clock_ms: self.now_ms,
            running: Vec::new(),
            finished: Vec::new(),
        };
        self.dispatcher.listed(&name(number), &listing, asked_at_ms, self.now_ms);
    }

    pub fn settle(&mut self, number: usize, run: Run, outcome: StartOutcome) {
        self.dispatcher.start_settled(&name(number), run, 0, outcome, None, self.now_ms);
    }

    pub fn actions(&mut self) -> Vec<Action> {
        self.dispatcher.take_actions()
    }

    pub fn starts(&mut self) -> Vec<(String, Run)> {
        let starts = self.actions().into_iter().filter_map(|action| match action {
            Action::Start { target, run, .. } => Some((target.to_string(), run)),
            _ => None,
        });
        starts.collect()
    }

    pub fn stops(&mut self) -> Vec<Run> {
        let stops = self.actions().into_iter().filter_map(|action| match action {
            Action::Stop { run, .. } => Some(run),
            _ => None,
        });
        stops.collect()
    }

    /// Fills the only slot, queues a late job of 12 tasks of which `done` are done and one
    /// that is in time, and returns which of the two starts when the slot is free.
    pub fn first_of_late_and_timely(&mut self, done: u16) -> String {
        let first = "00000000000000cc";
        self.submit(job(first, vec![step(1)]));
        let held = self.starts()[0].1;
        self.submit(Submission {
            done: (0..done).map(|index| (0, index)).collect(),
            earlier_runs: EarlierRuns::OwnZone,
            waited_ms: 400,
            ..job(JOB, vec![step(12)])
        });
        let mut timely = job("00000000000000bb", vec![step(1)]);
        timely.queue.stretch = 20.0;
        self.submit(timely);
        self.pass(50);
        self.list(0, &[], &[(1, held, RunEnd::Done)]);
        self.starts()[0].1.task.job.as_str().to_owned()
    }

    pub fn hear_room(&mut self, zone: &str, free_tasks: u64) {
        let zone = zone.parse().expect("the case is set up right");
        self.dispatcher.room_heard(&zone, free_tasks, self.now_ms);
    }

    /// Returns the zone and the number of tasks of each part that is lent.
    pub fn lent(&mut self) -> Vec<(String, usize)> {
        let lent = self.actions().into_iter().filter_map(|action| match action {
            Action::Lend { zone, submission, .. } => {
                let tasks = submission.job.task_count() - submission.done.len();
                Some((zone.as_str().to_owned(), tasks))
            }
            _ => None,
        });
        lent.collect()
    }

    pub fn answers(&mut self) -> Vec<JobAnswer> {
        let answers = self.actions().into_iter().filter_map(|action| match action {
            Action::Answer { answer, .. } => Some(answer),
            _ => None,
        });
        answers.collect()
    }
}

pub fn name(number: usize) -> String {
    format!("t-{number}")
}

pub fn target(number: usize, cores: u64) -> TargetInfo {
    TargetInfo {
        id: name(number).into(),
        born_unix_ms: 1,
        service: "work".into(),
        addr: ([127, 0, 0, 1], 9_000 + number as u16).into(),
        zone: "a".parse().expect("the case is set up right"),
        capacity: Capacity { cpu_milli: cores * 1_000, memory_mb: 1_024, gpus: 0 },
        labels: vec![format!("rack-{number}")],
        draining: false,
    }
}

pub fn far_target(zone: &str, cores: u64) -> TargetInfo {
    let id = format!("far-{zone}").into();
    let zone = zone.parse().expect("the case is set up right");
    TargetInfo { id, zone, ..target(0, cores) }
}

pub fn step(count: u16) -> StepSpec {
    StepSpec {
        count,
        demand: Capacity { cpu_milli: 14_000, memory_mb: 64, gpus: 0 },
        estimate_ms: 100,
        after: Vec::new(),
        required_label: None,
        near_rack: None,
        per_target_max: None,
    }
}

pub fn job(id: &str, steps: Vec<StepSpec>) -> Submission {
    Submission {
        job: BatchJob {
            id: id.parse().expect("the case is set up right"),
            spec: Arc::from("work"),
            steps,
        },
        queue: QueueRules {
            name: "queue".into(),
            service: "work".into(),
            priority: 1,
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
    }
}

pub fn run(index: u16, number: u32) -> Run {
    Run { task: format!("{JOB}.0.0.{index}").parse().expect("the case is set up right"), number }
}

macro_rules! cases {
    ($($name:ident($bench:ident: $cores:expr) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $bench = Bench::new(&$cores);
                $body
            }
        )+
    };
}
