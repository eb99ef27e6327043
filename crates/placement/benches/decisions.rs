//! Time of the decisions of a dispatcher under overload, by the number of its targets.
//!
//! All targets are busy, with fragments of capacity that hold no task, and 2,000 tasks wait. This is
//! the state in which an owner makes most decisions, so that it must not spend its share of a core on
//! them.

use std::{hint::black_box, sync::Arc};

use criterion::{BenchmarkId, Criterion};
use ggb_placement::{
    Action, BatchJob, Capacity, Claim, ClaimId, Dispatcher, EarlierRuns, JobId, LEASE_EXPIRY_MS,
    ListedEnd, ListedRun, Listing, QueueRules, RequestId, Run, RunEnd, RunTimes, StepSpec,
    Submission, TargetInfo,
};

/// Numbers of targets: a zone of a small deployment, a whole one, and a zone at the size to design for.
const TARGET_COUNTS: [usize; 3] = [48, 350, 1_455];

const TASKS_PER_JOB: u16 = 4;

const WAITING_TASKS: usize = 2_000;

struct Overload {
    dispatcher: Dispatcher,
    running: Vec<(Arc<str>, Run)>,
    now_ms: u64,
    next_job: u64,
    next_end: u64,
}

impl Overload {
    fn new(target_count: usize) -> Self {
        let claim = Claim { id: ClaimId(1), token: 1 };
        let mut dispatcher = Dispatcher::new(RunTimes::default(), claim, 0);
        for index in 0..target_count {
            dispatcher.upsert_target(target(index));
        }
        let mut now_ms = 0;
        while now_ms <= LEASE_EXPIRY_MS {
            now_ms += 100;
            dispatcher.tick(now_ms);
        }
        for index in 0..target_count {
            let listing = listing(Vec::new(), Vec::new(), now_ms);
            dispatcher.apply_listing(&target_id(index), &listing, now_ms, now_ms);
        }
        dispatcher.take_actions();
        let mut overload =
            Overload { dispatcher, running: Vec::new(), now_ms, next_job: 0, next_end: 0 };
        let is_full =
            |overload: &Overload| overload.dispatcher.load().queued_tasks >= WAITING_TASKS as u64;
        while !is_full(&overload) {
            overload.submit();
        }
        overload
    }

    fn submit(&mut self) {
        self.next_job += 1;
        let request = RequestId(self.next_job);
        self.dispatcher.submit(submission(self.next_job), request, self.now_ms);
        self.record_starts();
    }

    /// Ends the run that started first, which makes room for one waiting task.
    fn end_run(&mut self) {
        let (target, run) = self.running.remove(0);
        self.next_end += 1;
        let others = self.running.iter().filter(|(other, _)| *other == target);
        let running = others.map(|(_, run)| ListedRun {
            run: *run,
            progress_percent: 50,
            used_cpu_milli: 16_000,
        });
        let end = ListedEnd { number: self.next_end, run, end: RunEnd::Done };
        let listing = listing(running.collect(), vec![end], self.now_ms);
        self.dispatcher.apply_listing(&target, &listing, self.now_ms, self.now_ms);
        self.record_starts();
    }

    fn record_starts(&mut self) {
        let starts = self.dispatcher.take_actions().into_iter().filter_map(|action| match action {
            Action::Start { target, run, .. } => Some((target, run)),
            _ => None,
        });
        self.running.extend(starts);
    }
}

fn target_id(index: usize) -> String {
    format!("target-{index:04}")
}

fn target(index: usize) -> TargetInfo {
    let cores = if index % 3 == 2 { 48 } else { 32 };
    TargetInfo {
        id: target_id(index).into(),
        started_unix_ms: 1,
        service: "work".into(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        zone: "a".parse().expect("`a` is a valid zone name"),
        capacity: Capacity { cpu_milli: cores * 1_000, memory_mb: 65_536, gpus: 0 },
        labels: vec![format!("rack-{}", index / 20)],
        draining: false,
    }
}

fn listing(running: Vec<ListedRun>, finished: Vec<ListedEnd>, clock_ms: u64) -> Listing {
    Listing { started_unix_ms: 1, clock_ms, running, finished }
}

fn submission(number: u64) -> Submission {
    let id: JobId = format!("{number:016x}").parse().expect("the id has 16 hexadecimal digits");
    // Tasks take 13 to 19 cores.
    let cpu_milli = 13_000 + number * 1_700 % 6_000;
    let step = StepSpec {
        count: TASKS_PER_JOB,
        demand: Capacity { cpu_milli, memory_mb: 64, gpus: 0 },
        estimate_ms: 200,
        after: Vec::new(),
        required_label: None,
        near_rack: None,
        max_per_target: None,
    };
    let priority = (number % 3) as u8;
    Submission {
        job: BatchJob { id, spec: "work".into(), steps: vec![step] },
        queue: QueueRules {
            name: format!("queue-{priority}").into(),
            service: "work".into(),
            priority,
            max_attempts: 3,
            // Long objectives, so that the jobs wait rather than being refused.
            stretch: 1_000.0,
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
        deadline_ms: 1_000_000,
        caller_check_age_ms: 0,
    }
}

fn measure(criterion: &mut Criterion) {
    for count in TARGET_COUNTS {
        let mut overload = Overload::new(count);
        // Each iteration takes one task out of the queue, and a submission now and then puts some in.
        criterion.bench_with_input(BenchmarkId::new("run_ends", count), &count, |bench, _| {
            bench.iter(|| {
                overload.end_run();
                if overload.next_end.is_multiple_of(u64::from(TASKS_PER_JOB)) {
                    overload.submit();
                }
            });
        });
        criterion.bench_with_input(BenchmarkId::new("tick", count), &count, |bench, _| {
            bench.iter(|| overload.dispatcher.tick(black_box(overload.now_ms)));
        });
        criterion.bench_with_input(BenchmarkId::new("load", count), &count, |bench, _| {
            bench.iter(|| black_box(overload.dispatcher.load()));
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().sample_size(20).configure_from_args();
    measure(&mut criterion);
    criterion.final_summary();
}
