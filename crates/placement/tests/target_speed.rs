//! Targets of different and changing speed, and data on other racks.

#[allow(dead_code, unused_macros, unused_imports, reason = "other tests use the rest")]
#[macro_use]
mod harness;
#[allow(dead_code, unused_imports, reason = "other tests of this crate use the rest")]
mod simulation;

use harness::{
    Capacity, Dispatcher, Harness, JobAnswer, ListedEnd, ListedRun, Listing, Run, RunEnd,
    StartOutcome, StepSpec, Submission, job, step, target_id,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use simulation::{
    Caller, RunTimeSpread, Simulation,
    shapes::{CONFIRM, QUOTE, SLOT_CHECK},
};

/// Time of load before a test measures, in which the speeds are learned.
const WARM_UP_MS: u64 = 4_000;

/// Run time of a task of [`step`] on a target of median speed.
const RUN_MS: u64 = 100;

/// Submits jobs of all three queues for `duration_ms`, which together take `cpu_percent` of 30 targets
/// of speed 1. Returns the index of the first.
fn submit_mix(sim: &mut Simulation, cpu_percent: u64, duration_ms: u64) -> usize {
    let first = sim.callers.len();
    // The three kinds take 30%, 35% and 35% of the 70 tasks of 14 cores that run at a time.
    let rates = [
        (SLOT_CHECK, 70_000 * 30 / (8 * 51)),
        (CONFIRM, 70_000 * 35 / (2 * 170)),
        (QUOTE, 70_000 * 35 / (4 * 760)),
    ];
    let end_ms = sim.now_ms + duration_ms;
    while sim.now_ms < end_ms {
        for (shape, jobs_per_100_s) in rates {
            let probability = jobs_per_100_s * cpu_percent / 100;
            if sim.random_below(100_000) < probability {
                sim.submit(0, &shape);
            }
        }
        sim.run_until(sim.now_ms + 1);
    }
    first
}

/// Returns the share of the callers from `first` on that got their answer within their objective, of
/// the queue for which it is lowest.
fn lowest_share_in_time(sim: &Simulation, first: usize) -> f64 {
    let is_in_time = |caller: &Caller| {
        let until_ms = caller.sent_at_ms + caller.work.work_ms * 16 / 10 + 60;
        matches!(caller.answer, Some((at_ms, JobAnswer::Completed)) if at_ms <= until_ms)
    };
    let shares = [SLOT_CHECK, CONFIRM, QUOTE].map(|shape| {
        let callers = sim.callers[first..].iter();
        let of_queue: Vec<&Caller> =
            callers.filter(|caller| *caller.submission.queue.name == *shape.queue).collect();
        let in_time = of_queue.iter().filter(|caller| is_in_time(caller)).count();
        in_time as f64 / of_queue.len() as f64
    });
    shares.into_iter().fold(1.0, f64::min)
}

/// Returns the lowest share of jobs in time of a queue, on 30 targets of the speeds 0.6, 1.0 and 1.6,
/// averaged over seeds.
fn share_in_time_on_uneven_targets(cpu_percent: u64) -> f64 {
    let shares = (0..4).map(|seed| {
        let mut sim = Simulation::new(seed, 1, 30);
        sim.run_time_spread = RunTimeSpread { spread_percent: 20, long_percent: 0 };
        sim.set_uneven_speeds();
        sim.run_until(1_100);
        submit_mix(&mut sim, cpu_percent, WARM_UP_MS);
        let first = submit_mix(&mut sim, cpu_percent, 8_000);
        sim.run_until(sim.now_ms + 5_000);
        sim.check_invariants();
        lowest_share_in_time(&sim, first)
    });
    shares.sum::<f64>() / 4.0
}

// Wide and long jobs with a task on a slow target missed their objective though faster ones were free.
#[test]
fn jobs_are_in_time_on_uneven_targets_under_moderate_load() {
    let share = share_in_time_on_uneven_targets(40);
    println!("moderate load, share in time: {share}");
    assert!(share >= 0.97, "share of jobs in time: {share}");
}

#[test]
fn jobs_are_in_time_on_uneven_targets_under_heavy_load() {
    let share = share_in_time_on_uneven_targets(75);
    println!("heavy load, share in time: {share}");
    assert!(share >= 0.90, "share of jobs in time: {share}");
}

// Two long tasks at the same time on a target must not cost it much work.
#[test]
fn long_tasks_do_not_mark_targets_as_slow() {
    let mut sim = Simulation::new(7, 1, 30);
    sim.run_time_spread = RunTimeSpread { spread_percent: 40, long_percent: 3 };
    sim.run_until(1_100);
    submit_mix(&mut sim, 60, WARM_UP_MS);
    let mut slow_targets = 0;
    for _ in 0..400 {
        submit_mix(&mut sim, 60, 20);
        slow_targets += sim.speed_summary(0).slow_targets;
    }
    let share = slow_targets as f64 / 400.0 / 30.0;
    let summary = sim.speed_summary(0);
    println!("share slow: {share}, {summary:?}");
    assert!(share <= 0.03, "share of targets in a slow phase: {share}");
    let spread = summary.slowest_percent as f64 / summary.fastest_percent as f64;
    assert!(spread <= 1.6, "equal targets: {summary:?}");
}

/// Submits wide, short jobs for `duration_ms`, which take about 70% of 30 targets.
fn submit_short(sim: &mut Simulation, duration_ms: u64) {
    let end_ms = sim.now_ms + duration_ms;
    while sim.now_ms < end_ms {
        if sim.random_below(100) < 12 {
            sim.submit(0, &SLOT_CHECK);
        }
        sim.run_until(sim.now_ms + 1);
    }
}

// A target that became slow kept getting tasks, which all were late.
#[test]
fn target_that_becomes_slow_gets_little_work_until_it_recovers() {
    for seed in 0..5 {
        let mut sim = Simulation::new(seed, 1, 30);
        sim.run_time_spread = RunTimeSpread { spread_percent: 20, long_percent: 3 };
        sim.run_until(1_100);
        submit_short(&mut sim, WARM_UP_MS);
        let before = sim.runs_started(0, sim.now_ms - 4_000, sim.now_ms);
        let slow_from_ms = sim.now_ms;
        sim.set_run_time_percent(0, 800);
        submit_short(&mut sim, 4_000);
        let slow = sim.runs_started(0, slow_from_ms, sim.now_ms);
        sim.set_run_time_percent(0, 100);
        submit_short(&mut sim, 3_000);
        let recovered_from_ms = sim.now_ms;
        submit_short(&mut sim, 4_000);
        let after = sim.runs_started(0, recovered_from_ms, sim.now_ms);
        println!("seed {seed}: {before} runs before, {slow} while slow, {after} after");
        assert!(slow <= 9, "seed {seed}: {slow} runs in 4 s on a slow target, {before} before");
        assert!(after * 2 >= before, "seed {seed}: {after} runs in 4 s after it, {before} before");
    }
}

/// Runs tasks on chosen targets of a harness and lists their ends as soon as they come.
struct Runner {
    harness: Harness,
    /// Time at which the last listing of each target arrived, and the number of its last end.
    listed: Vec<(u64, u64)>,
    next_job: u64,
}

impl Runner {
    fn new(cores: &[u64]) -> Self {
        let harness = Harness::new(cores);
        let listed = cores.iter().map(|_| (harness.now_ms, 0)).collect();
        Runner { harness, listed, next_job: 1 }
    }

    /// Submits a job and returns the index of the target and the run of each task that starts.
    fn submit(
        &mut self,
        steps: Vec<StepSpec>,
        adjust: impl Fn(&mut Submission),
    ) -> Vec<(usize, Run)> {
        let mut submission = job(&format!("{:016x}", self.next_job << 4), steps);
        self.next_job += 1;
        submission.deadline_ms = 60_000;
        adjust(&mut submission);
        self.harness.submit(submission);
        let starts: Vec<(String, Run)> = self.harness.take_starts();
        let started: Vec<(usize, Run)> = starts
            .into_iter()
            .map(|(id, run)| (id["t-".len()..].parse().expect("ids are `t-N`"), run))
            .collect();
        for (index, run) in &started {
            self.harness.apply_start_outcome(*index, *run, StartOutcome::Accepted);
        }
        started
    }

    /// Applies a listing that was requested when the last one arrived.
    fn list(&mut self, index: usize, running: &[Run], ended: &[Run]) {
        let (requested_at_ms, mut number) = self.listed[index];
        let finished = ended.iter().map(|run| {
            number += 1;
            ListedEnd { number, run: *run, end: RunEnd::Done }
        });
        let finished = finished.collect();
        let running = running.iter().map(|run| ListedRun {
            run: *run,
            progress_percent: (self.harness.now_ms / 100 % 100) as u8,
            used_cpu_milli: 14_000,
        });
        let listing = Listing {
            started_unix_ms: 1,
            clock_ms: self.harness.now_ms,
            running: running.collect(),
            finished,
        };
        let now_ms = self.harness.now_ms;
        let id = target_id(index);
        self.harness.dispatcher.apply_listing(&id, &listing, requested_at_ms, now_ms);
        self.listed[index] = (now_ms, number);
    }

    /// Runs `rounds` tasks one after the other on each target, which take the given times.
    fn measure(&mut self, run_ms: &[u64], rounds: usize) {
        for _ in 0..rounds {
            for (index, ms) in run_ms.iter().enumerate() {
                let on_target = StepSpec {
                    required_label: Some(format!("rack-{index}")),
                    estimate_ms: RUN_MS,
                    ..step(1)
                };
                let started = self.submit(vec![on_target], |_| {});
                self.harness.advance(*ms);
                let runs: Vec<Run> = started.iter().map(|(_, run)| *run).collect();
                assert_eq!(runs.len(), 1, "the task fits its target");
                self.list(index, &[], &runs);
            }
        }
    }

    fn slowness(&self, index: usize) -> f64 {
        self.harness.dispatcher.targets()[index].speed().slowness()
    }

    /// Returns the target that a task of a job with the given stretch is started on, and ends its run.
    fn chosen(&mut self, step: StepSpec, stretch: f64) -> usize {
        let started = self.submit(vec![step], |submission| submission.queue.stretch = stretch);
        let (index, run) = started[0];
        self.harness.dispatcher.target_mut(&target_id(index)).expect("known").release(run);
        index
    }
}

fn uneven() -> Runner {
    let mut runner = Runner::new(&[32, 48, 64]);
    runner.measure(&[160, 100, 60], 12);
    runner
}

#[test]
fn speeds_are_relative_to_the_median() {
    let runner = uneven();
    let speeds: Vec<f64> = (0..3).map(|index| runner.slowness(index)).collect();
    assert!((1.4..1.8).contains(&speeds[0]), "{speeds:?}");
    assert!((speeds[1] - 1.0).abs() < 1e-9, "{speeds:?}");
    assert!((0.5..0.7).contains(&speeds[2]), "{speeds:?}");
}

// The best fit has the lowest speed, and the job would miss its objective there.
#[test]
fn task_with_little_slack_goes_to_a_faster_target() {
    let mut runner = uneven();
    assert_eq!(runner.chosen(step(1), 1.0), 1, "the fit decides among those that are in time");
    assert_eq!(runner.chosen(step(1), 4.0), 0, "the slow target is in time");
    assert_eq!(runner.chosen(step(1), 0.0), 2, "no target is in time");
}

// The averages of a queue depended on which targets ran its tasks.
#[test]
fn average_of_a_queue_does_not_depend_on_the_targets() {
    let mut runner = uneven();
    runner.measure(&[160, 100, 60], 10);
    let before = runner.harness.dispatcher.run_times().expected_ms("queue", RUN_MS);
    runner.measure(&[160], 60);
    let after = runner.harness.dispatcher.run_times().expected_ms("queue", RUN_MS);
    assert!(after.abs_diff(before) <= 8, "expected {before} ms, then {after} ms");
}

// Without a common scale, speeds and averages could drift apart together.
#[test]
fn speeds_stay_bounded_when_all_targets_become_slower() {
    let mut runner = uneven();
    runner.measure(&[320, 200, 120], 60);
    let speeds: Vec<f64> = (0..3).map(|index| runner.slowness(index)).collect();
    assert!((1.4..1.8).contains(&speeds[0]), "{speeds:?}");
    assert!((0.5..0.7).contains(&speeds[2]), "{speeds:?}");
    let expected_ms = runner.harness.dispatcher.run_times().expected_ms("queue", 200);
    assert!((170..=230).contains(&expected_ms), "{expected_ms}");
}

#[test]
fn silent_restart_forgets_the_speed() {
    let mut runner = uneven();
    assert_eq!(runner.chosen(step(1), 1.0), 1);
    runner.harness.apply_listing_of_incarnation(2, 0, &[], &[]);
    assert!((runner.slowness(0) - 1.0).abs() < 1e-9);
    assert_eq!(runner.chosen(step(1), 1.0), 0, "the new incarnation counts as equal to the median");
}

#[test]
fn next_dispatcher_of_the_process_knows_the_speeds() {
    let mut runner = uneven();
    let dispatcher = &mut runner.harness.dispatcher;
    dispatcher.step_down();
    let run_times = dispatcher.run_times();
    let infos: Vec<_> = dispatcher.targets().iter().map(|target| target.info().clone()).collect();
    let claim = harness::Claim { id: harness::ClaimId(1), token: harness::TOKEN + 1 };
    *dispatcher = Dispatcher::new(run_times, claim, runner.harness.now_ms);
    infos.into_iter().for_each(|info| runner.harness.dispatcher.upsert_target(info));
    (0..3).for_each(|index| runner.harness.apply_listing(index, &[], &[]));
    assert_eq!(runner.chosen(step(1), 1.0), 1);
}

// A run that is listed late seems to have taken longer than it did.
#[test]
fn ends_that_are_listed_late_do_not_count() {
    let mut runner = Runner::new(&[32, 32, 32]);
    runner.measure(&[100, 100, 100], 12);
    for _ in 0..6 {
        let (index, run) = runner.submit(vec![step(1)], |_| {})[0];
        assert_eq!(index, 0, "no target is taken for slow");
        runner.harness.advance(600);
        // The listing that the last request was for is lost, and the next one is requested now.
        runner.listed[index].0 = runner.harness.now_ms;
        runner.list(index, &[], &[run]);
    }
}

// The runs in progress show that a target is slow before any of them ends.
#[test]
fn two_overdue_runs_keep_further_tasks_off_a_target() {
    let mut runner = Runner::new(&[48, 128, 128]);
    let wide = vec![StepSpec { max_per_target: None, ..step(2) }];
    let runs: Vec<Run> = runner
        .submit(wide, |_| {})
        .iter()
        .map(|(index, run)| {
            assert_eq!(*index, 0);
            *run
        })
        .collect();
    for _ in 0..5 {
        runner.harness.advance(100);
        runner.list(0, &runs, &[]);
    }
    assert!(runner.harness.dispatcher.targets()[0].speed().is_slow());
    let next = runner.submit(vec![step(1)], |_| {});
    assert_eq!(next[0].0, 1, "the slow target would have the least CPU left over");
}

#[test]
fn one_overdue_run_does_not_mark_a_target() {
    let mut runner = Runner::new(&[48, 128, 128]);
    let (_, long) = runner.submit(vec![step(1)], |_| {})[0];
    for _ in 0..5 {
        let (index, run) = runner.submit(vec![step(1)], |_| {})[0];
        assert_eq!(index, 0, "the target still gets work");
        runner.harness.advance(100);
        runner.list(0, &[long], &[run]);
    }
    let targets = runner.harness.dispatcher.targets();
    assert!(!targets[0].speed().is_slow());
}

// A delay of the process makes the runs of all targets seem slow.
#[test]
fn targets_that_all_seem_slow_still_get_work() {
    let mut runner = Runner::new(&[16; 6]);
    runner.measure(&[100; 6], 12);
    for _ in 0..6 {
        let started: Vec<(usize, Run)> =
            (0..6).flat_map(|_| runner.submit(vec![step(1)], |_| {})).collect();
        assert!(started.len() >= 4, "{} of 6 targets get work", started.len());
        runner.harness.advance(600);
        started.iter().for_each(|(index, run)| runner.list(*index, &[], &[*run]));
        runner.harness.take_actions();
    }
}

fn with_data_on_rack(index: usize) -> StepSpec {
    StepSpec { near_rack: Some(format!("rack-{index}")), ..step(1) }
}

// The rack of the data came first, whatever the cost.
#[test]
fn task_leaves_the_rack_of_its_data_if_it_ends_earlier_elsewhere() {
    let mut runner = Runner::new(&[32, 48, 64]);
    runner.measure(&[250, 100, 100], 12);
    runner.harness.dispatcher.set_far_factor(2.0);
    assert_eq!(runner.chosen(with_data_on_rack(0), 1.0), 1);
    assert_eq!(runner.chosen(with_data_on_rack(0), 6.0), 0, "it is in time in the rack");
    assert_eq!(runner.chosen(with_data_on_rack(1), 1.0), 1, "the rack is as fast");
}

#[test]
fn rack_of_the_data_comes_first_while_the_factor_is_unknown() {
    let mut runner = Runner::new(&[32, 48, 64]);
    runner.measure(&[250, 100, 100], 12);
    assert_eq!(runner.chosen(with_data_on_rack(0), 1.0), 0);
}

/// Returns the target that was chosen before speeds were measured: the one with the least CPU left over.
fn best_fit(dispatcher: &Dispatcher, demand: &Capacity) -> Option<usize> {
    let fits =
        dispatcher.targets().iter().enumerate().filter(|(_, target)| target.free().fits(demand));
    fits.min_by_key(|(_, target)| target.free().saturating_sub(demand).cpu_milli)
        .map(|(index, _)| index)
}

// Deployments of equal targets without racks must be served as before.
#[test]
fn choice_among_equal_targets_is_the_best_fit() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let cores: Vec<u64> = (0..10).map(|_| rng.random_range(24..64)).collect();
    let mut runner = Runner::new(&cores);
    let mut running: Vec<(usize, Run, u64)> = Vec::new();
    let mut choices = 0;
    for number in 0..600 {
        let cpu_milli = rng.random_range(12_000..24_000);
        let demand = Capacity { cpu_milli, memory_mb: 1, gpus: 0 };
        if let Some(expected) = best_fit(&runner.harness.dispatcher, &demand) {
            let stretch = [0.5, 1.6, 4.0][number % 3];
            let spec = StepSpec { demand, ..step(1) };
            let started =
                runner.submit(vec![spec], |submission| submission.queue.stretch = stretch);
            let (index, run) = started[0];
            assert_eq!((started.len(), index), (1, expected), "task {number}");
            running.push((index, run, runner.harness.now_ms + rng.random_range(70..130)));
            choices += 1;
        }
        let next_ms = runner.harness.now_ms + rng.random_range(1..4) * 5;
        while runner.harness.now_ms < next_ms {
            runner.harness.advance(5);
            let now_ms = runner.harness.now_ms;
            let ended: Vec<_> = running.extract_if(.., |(.., at_ms)| *at_ms <= now_ms).collect();
            for (index, run, _) in ended {
                let left = running.iter().filter(|(other, ..)| *other == index);
                let left: Vec<Run> = left.map(|(_, run, _)| *run).collect();
                runner.list(index, &left, &[run]);
            }
        }
    }
    assert!(choices > 300, "only {choices} tasks fitted a target");
}
