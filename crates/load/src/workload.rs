//! Named workloads and the jobs that a seed generates from them.

use std::time::Duration;

use ggb_model::{MAX_TASKS_PER_JOB, Priority, Settings};
use rand::{Rng, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const DEFAULT_MIN_RUN_MS: f64 = 50.0;
const DEFAULT_MAX_RUN_MS: f64 = 1_000.0;
const MIN_STRETCH_FACTOR: f64 = 20.0;
const MAX_STRETCH_FACTOR: f64 = 100.0;

/// Names of all workloads.
pub const WORKLOADS: &[&str] =
    &["half-load", "overload", "blocking", "saturday-rush", "before-the-bell"];

/// A class of jobs with a profile of its own.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class and of its profile.
    pub name: &'static str,
    /// Settings of the profile.
    pub settings: Settings,
    /// Share of the workload's jobs that are of this class.
    pub job_share: f64,
    /// Mean number of tasks per job, before rounding up and the limit on tasks per job.
    pub mean_tasks: f64,
    /// Minimum and maximum run time of a task; run times are log-uniform in between.
    pub run_ms: (f64, f64),
    /// Share of tasks that run 20 to 100 times longer.
    pub stretched_share: f64,
}

/// A period in which demand changes linearly.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Name used in reports.
    pub name: &'static str,
    /// Duration of the phase.
    pub duration_s: f64,
    /// Demand at the start, as a share of all slots.
    pub start_demand: f64,
    /// Demand at the end, as a share of all slots.
    pub end_demand: f64,
}

/// A task of a generated job.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Run time of the task.
    pub run_ms: u32,
    /// Run time that the caller declares for it.
    pub declared_ms: u32,
}

/// A job generated from a workload.
#[derive(Clone, Debug)]
pub struct Job {
    /// Scheduled time of its submission, since the start of the run.
    pub due: Duration,
    /// Index of its class in [`Workload::classes`].
    pub class: usize,
    /// Index of its phase in [`Workload::phases`].
    pub phase: usize,
    /// Tasks of the job.
    pub tasks: Vec<Task>,
}

impl Job {
    /// Returns the response time if all tasks start immediately: the longest run time.
    pub fn ideal_ms(&self) -> u32 {
        self.tasks.iter().map(|task| task.run_ms).max().unwrap_or(0)
    }
}

/// A named workload: classes of jobs, and phases of demand.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name of the workload.
    pub name: &'static str,
    /// Classes that jobs are drawn from.
    pub classes: Vec<Class>,
    /// Phases in order.
    pub phases: Vec<Phase>,
}

impl Workload {
    /// Returns the workload with this name, one of [`WORKLOADS`].
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "half-load" => Some(half_load()),
            "overload" => Some(overload()),
            "blocking" => Some(blocking()),
            "saturday-rush" => Some(saturday_rush()),
            "before-the-bell" => Some(before_the_bell()),
            _ => None,
        }
    }

    /// Generates the jobs for a deployment with `slots` slots, in order of their due time.
    ///
    /// Arrivals are a Poisson process at the rate that yields each phase's demand. The same
    /// seed yields the same jobs.
    pub fn jobs(&self, slots: u32, seed: u64) -> Vec<Job> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mean_work_ms: f64 =
            self.classes.iter().map(|class| class.job_share * class.mean_job_work_ms()).sum();
        let mut jobs = Vec::new();
        let mut begin_s = 0.0;
        for (index, phase) in self.phases.iter().enumerate() {
            let mut offset_s = 0.0;
            loop {
                let demand = phase.start_demand
                    + (phase.end_demand - phase.start_demand) * offset_s / phase.duration_s;
                let jobs_per_second = (demand * f64::from(slots) * 1e3 / mean_work_ms).max(1e-3);
                offset_s += -(1.0 - rng.random::<f64>()).ln() / jobs_per_second;
                if offset_s >= phase.duration_s {
                    break;
                }
                let due = Duration::from_secs_f64(begin_s + offset_s);
                jobs.push(self.draw_job(due, index, &mut rng));
            }
            begin_s += phase.duration_s;
        }
        jobs
    }

    /// Returns the total duration of all phases.
    pub fn duration_s(&self) -> f64 {
        self.phases.iter().map(|phase| phase.duration_s).sum()
    }

    fn draw_job(&self, due: Duration, phase: usize, rng: &mut impl Rng) -> Job {
        let class = self.draw_class(rng);
        let job_class = &self.classes[class];
        let drawn_tasks = -(1.0 - rng.random::<f64>()).ln() * job_class.mean_tasks;
        let count = (drawn_tasks.ceil() as usize).clamp(1, MAX_TASKS_PER_JOB);
        let tasks = (0..count).map(|_| job_class.draw_task(rng)).collect();
        Job { due, class, phase, tasks }
    }

    /// Draws the index of a class by the classes' shares.
    fn draw_class(&self, rng: &mut impl Rng) -> usize {
        let mut remaining = rng.random::<f64>();
        for (index, class) in self.classes.iter().enumerate() {
            remaining -= class.job_share;
            if remaining < 0.0 {
                return index;
            }
        }
        self.classes.len() - 1
    }
}

impl Class {
    /// Returns the mean of the total run time of a job's tasks.
    fn mean_job_work_ms(&self) -> f64 {
        let (min, max) = self.run_ms;
        let mean_run_ms = if max > min { (max - min) / (max / min).ln() } else { min };
        let mean_stretch =
            1.0 + self.stretched_share * ((MIN_STRETCH_FACTOR + MAX_STRETCH_FACTOR) / 2.0 - 1.0);
        // Rounding up the number of tasks adds about half a task. The limit on tasks per job
        // reduces the mean slightly, which is neglected.
        (self.mean_tasks + 0.5) * mean_run_ms * mean_stretch
    }

    fn draw_task(&self, rng: &mut impl Rng) -> Task {
        let (min, max) = self.run_ms;
        let mut run_ms = min * (max / min).powf(rng.random());
        if rng.random::<f64>() < self.stretched_share {
            run_ms *= rng.random_range(MIN_STRETCH_FACTOR..MAX_STRETCH_FACTOR);
        }
        // Declared run times are wrong by up to a factor of ten in either direction.
        let declared_ms = run_ms * 10_f64.powf(rng.random_range(-1.0..1.0));
        Task { run_ms: run_ms.round() as u32, declared_ms: declared_ms.round().max(1.0) as u32 }
    }
}

/// Returns a class with a mean of 20 tasks per job and run times of 50 ms to 1 s.
fn class(name: &'static str, priority: Priority, job_share: f64) -> Class {
    let settings = Settings { priority, team: name.to_owned(), ..Settings::default() };
    Class {
        name,
        settings,
        job_share,
        mean_tasks: 20.0,
        run_ms: (DEFAULT_MIN_RUN_MS, DEFAULT_MAX_RUN_MS),
        stretched_share: 0.0,
    }
}

const fn phase(name: &'static str, duration_s: f64, start_demand: f64, end_demand: f64) -> Phase {
    Phase { name, duration_s, start_demand, end_demand }
}

/// Constant demand of half the slots.
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

/// Demand rises to three times the slots within 2 s, stays there for 10 s and drops to half.
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

/// Tasks of 50 ms next to jobs of which 5% of the tasks run 20 to 100 times longer.
///
/// Measures whether long tasks delay short ones (head-of-line blocking).
fn blocking() -> Workload {
    let short =
        Class { run_ms: (50.0, 50.0), mean_tasks: 4.0, ..class("short", Priority::Standard, 0.5) };
    let mut mixed = Class {
        stretched_share: 0.05,
        run_ms: (50.0, 200.0),
        ..class("mixed", Priority::Standard, 0.5)
    };
    mixed.settings.task_timeout_ms = 120_000;
    Workload {
        name: "blocking",
        classes: vec![short, mixed],
        phases: vec![phase("warm-up", 20.0, 0.8, 0.8), phase("steady", 25.0, 0.8, 0.8)],
    }
}

/// Quotes, confirmations and bookings with a peak of 1.8 times the slots, modelled on the
/// Saturday orders of the customer Laurentiens.
fn saturday_rush() -> Workload {
    let mut quotes = class("route-quotes", Priority::Standard, 0.6);
    quotes.settings.start_within_ms = 1_500;
    let mut confirmations = class("confirmations", Priority::Background, 0.2);
    confirmations.settings.start_within_ms = 5_000;
    confirmations.stretched_share = 0.005;
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

/// Urgent check-ins that peak before a fixed time, alongside background tallies, 3% of whose
/// tasks run 20 to 100 times longer, modelled on the customer Sarapan Sihat.
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
    let mut tallies =
        Class { stretched_share: 0.03, ..class("tallies", Priority::Background, 0.3) };
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
