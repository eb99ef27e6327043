//! Named, seeded schedules of jobs.

use std::time::Duration;

use ggb_model::{MAX_TASKS_PER_JOB, Priority, Settings};
use rand::{Rng, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const SHORTEST_RUN_MS: f64 = 50.0;
const LONGEST_RUN_MS: f64 = 1_000.0;
const LEAST_STRETCH: f64 = 20.0;
const MOST_STRETCH: f64 = 100.0;

/// The names of all workloads.
pub const WORKLOADS: &[&str] =
    &["half-load", "overload", "blocking", "saturday-rush", "before-the-bell"];

/// A class of work, with its own profile.
#[derive(Clone, Debug)]
pub struct Class {
    /// The name of the class and of its profile.
    pub name: &'static str,
    /// The profile's settings.
    pub settings: Settings,
    /// The share of jobs that are of this class.
    pub share: f64,
    /// The mean number of tasks of a job.
    pub mean_tasks: f64,
    /// The run time of a task, log-uniform between these.
    pub run_ms: (f64, f64),
    /// The share of tasks that run 20 to 100 times longer.
    pub stretched: f64,
}

/// A stretch of time with a demand that changes linearly.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Its name in reports.
    pub name: &'static str,
    /// How long it lasts.
    pub seconds: f64,
    /// Demand at its beginning, in shares of all slots.
    pub from: f64,
    /// Demand at its end.
    pub to: f64,
}

/// One task.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// How long it runs.
    pub run_ms: u32,
    /// How long its caller declares that it runs.
    pub declared_ms: u32,
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// When it is due.
    pub due: Duration,
    /// Its class.
    pub class: usize,
    /// Its phase.
    pub phase: usize,
    /// Its tasks.
    pub tasks: Vec<Task>,
}

impl Job {
    /// Returns the response time if every task starts at once.
    pub fn ideal_ms(&self) -> u32 {
        self.tasks.iter().map(|task| task.run_ms).max().unwrap_or(0)
    }
}

/// A named schedule of jobs.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Its name.
    pub name: &'static str,
    /// Its classes.
    pub classes: Vec<Class>,
    /// Its phases.
    pub phases: Vec<Phase>,
}

impl Workload {
    /// Returns the workload of this name, see [`WORKLOADS`].
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "half-load" => Some(half_load()),
            "overload" => Some(overload()),
            "blocking" => Some(blocking()),
            "saturday-rush" => Some(saturday_rush()),
            "before-the-bell" => Some(before_the_bell()),
            _ => None,
        }
    }

    /// Returns all jobs for `slots` slots, the same for the same seed.
    pub fn jobs(&self, slots: u32, seed: u64) -> Vec<Job> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let work_ms: f64 = self.classes.iter().map(|class| class.share * class.work_ms()).sum();
        let mut jobs = Vec::new();
        let mut begin = 0.0;
        for (at, phase) in self.phases.iter().enumerate() {
            let mut offset = 0.0;
            loop {
                let demand = phase.from + (phase.to - phase.from) * offset / phase.seconds;
                let jobs_per_second = (demand * f64::from(slots) * 1e3 / work_ms).max(1e-3);
                offset += -(1.0 - rng.random::<f64>()).ln() / jobs_per_second;
                if offset >= phase.seconds {
                    break;
                }
                let due = Duration::from_secs_f64(begin + offset);
                jobs.push(self.draw_job(due, at, &mut rng));
            }
            begin += phase.seconds;
        }
        jobs
    }

    /// Returns the whole duration.
    pub fn seconds(&self) -> f64 {
        self.phases.iter().map(|phase| phase.seconds).sum()
    }

    fn draw_job(&self, due: Duration, phase: usize, rng: &mut impl Rng) -> Job {
        let class = self.draw_class(rng);
        let own = &self.classes[class];
        let drawn = -(1.0 - rng.random::<f64>()).ln() * own.mean_tasks;
        let count = (drawn.ceil() as usize).clamp(1, MAX_TASKS_PER_JOB);
        let tasks = (0..count).map(|_| own.draw_task(rng)).collect();
        Job { due, class, phase, tasks }
    }

    fn draw_class(&self, rng: &mut impl Rng) -> usize {
        let mut left = rng.random::<f64>();
        for (at, class) in self.classes.iter().enumerate() {
            left -= class.share;
            if left < 0.0 {
                return at;
            }
        }
        self.classes.len() - 1
    }
}

impl Class {
    /// Returns the mean work of a job, in slot milliseconds.
    fn work_ms(&self) -> f64 {
        let (least, most) = self.run_ms;
        let mean_run = if most > least { (most - least) / (most / least).ln() } else { least };
        let stretch = 1.0 + self.stretched * ((LEAST_STRETCH + MOST_STRETCH) / 2.0 - 1.0);
        // Rounding up adds half a task, and the cap takes a little off large jobs.
        (self.mean_tasks + 0.5) * mean_run * stretch
    }

    fn draw_task(&self, rng: &mut impl Rng) -> Task {
        let (least, most) = self.run_ms;
        let mut run_ms = least * (most / least).powf(rng.random());
        if rng.random::<f64>() < self.stretched {
            run_ms *= rng.random_range(LEAST_STRETCH..MOST_STRETCH);
        }
        // Declared run times are off by up to ten times either way.
        let declared_ms = run_ms * 10_f64.powf(rng.random_range(-1.0..1.0));
        Task { run_ms: run_ms.round() as u32, declared_ms: declared_ms.round().max(1.0) as u32 }
    }
}

fn class(name: &'static str, priority: Priority, share: f64) -> Class {
    let settings = Settings { priority, team: name.to_owned(), ..Settings::default() };
    Class {
        name,
        settings,
        share,
        mean_tasks: 20.0,
        run_ms: (SHORTEST_RUN_MS, LONGEST_RUN_MS),
        stretched: 0.0,
    }
}

const fn phase(name: &'static str, seconds: f64, from: f64, to: f64) -> Phase {
    Phase { name, seconds, from, to }
}

fn half_load() -> Workload {
    Workload {
        name: "half-load",
        classes: vec![
            class("urgent", Priority::Urgent, 0.1),
            class("standard", Priority::Standard, 0.9),
        ],
        phases: vec![phase("warm-up", 3.0, 0.5, 0.5), phase("steady", 15.0, 0.5, 0.5)],
    }
}

/// Demand goes to three times the slots within 2 s, stays there and falls back.
fn overload() -> Workload {
    let mut standard = class("standard", Priority::Standard, 0.9);
    standard.settings.start_within_ms = 1_000;
    Workload {
        name: "overload",
        classes: vec![class("urgent", Priority::Urgent, 0.1), standard],
        phases: vec![
            phase("warm-up", 4.0, 0.8, 0.8),
            phase("base", 6.0, 0.8, 0.8),
            phase("ramp", 2.0, 0.8, 3.0),
            phase("overload", 10.0, 3.0, 3.0),
            phase("after", 8.0, 0.5, 0.5),
        ],
    }
}

/// Short tasks beside work of which a part runs 20 to 100 times longer.
fn blocking() -> Workload {
    let short =
        Class { run_ms: (50.0, 50.0), mean_tasks: 4.0, ..class("short", Priority::Standard, 0.5) };
    let mut mixed =
        Class { stretched: 0.05, run_ms: (50.0, 200.0), ..class("mixed", Priority::Standard, 0.5) };
    mixed.settings.task_timeout_ms = 120_000;
    Workload {
        name: "blocking",
        classes: vec![short, mixed],
        phases: vec![phase("warm-up", 20.0, 0.8, 0.8), phase("steady", 25.0, 0.8, 0.8)],
    }
}

/// Laurentiens: quotes and bookings swell with party orders on a Saturday.
fn saturday_rush() -> Workload {
    let mut quotes = class("route-quotes", Priority::Standard, 0.6);
    quotes.settings.start_within_ms = 1_500;
    let mut confirmations = class("confirmations", Priority::Background, 0.2);
    confirmations.settings.start_within_ms = 5_000;
    confirmations.stretched = 0.005;
    let bookings = Class { mean_tasks: 6.0, ..class("bookings", Priority::Urgent, 0.2) };
    Workload {
        name: "saturday-rush",
        classes: vec![bookings, quotes, confirmations],
        phases: vec![
            phase("warm-up", 3.0, 0.6, 0.6),
            phase("base", 5.0, 0.6, 0.6),
            phase("peak", 8.0, 1.8, 1.8),
            phase("after", 6.0, 0.5, 0.5),
        ],
    }
}

/// Sarapan Sihat: check-ins in the minutes before the bell, beside tallies that drag.
fn before_the_bell() -> Workload {
    let check_ins = Class {
        mean_tasks: 3.0,
        run_ms: (50.0, 120.0),
        ..class("check-ins", Priority::Urgent, 0.5)
    };
    let flags = Class {
        mean_tasks: 2.0,
        run_ms: (50.0, 200.0),
        ..class("allergy-flags", Priority::Urgent, 0.2)
    };
    let mut tallies = Class { stretched: 0.03, ..class("tallies", Priority::Background, 0.3) };
    tallies.settings.start_within_ms = 10_000;
    Workload {
        name: "before-the-bell",
        classes: vec![check_ins, flags, tallies],
        phases: vec![
            phase("warm-up", 5.0, 0.5, 0.5),
            phase("ramp", 6.0, 0.5, 1.5),
            phase("peak", 6.0, 1.5, 1.5),
            phase("after", 6.0, 0.4, 0.4),
        ],
    }
}
