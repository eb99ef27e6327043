//! Measured speeds of the targets.

use std::sync::Arc;

use ggb_telemetry::log_event;

use crate::{
    Dispatcher, RunPhase, RunTimes, Target, TargetInfo, TargetRun, TaskId, target::scale_ms,
    target_speed::MeasuredRun,
};

/// Interval at which the speeds of the targets are compared.
const COMPARISON_INTERVAL_MS: u64 = 100;

/// Number of measured targets from which on their median is meaningful.
const MIN_MEASURED_TARGETS: usize = 3;

/// Share of the healthy targets that may be in a slow phase, as a divisor. If more of them seem to be,
/// the cause lies elsewhere: the process is delayed, or estimates are wrong.
const MAX_SLOW_DIVISOR: usize = 3;

/// Speeds of all targets, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedSummary {
    /// Run time relative to the expected one on the fastest target, in percent; 0 while too few runs
    /// have ended.
    pub fastest_percent: u64,
    /// The same for the target of median speed.
    pub median_percent: u64,
    /// The same for the slowest target.
    pub slowest_percent: u64,
    /// Number of targets in a slow phase.
    pub slow_targets: usize,
}

/// How the run times on different targets compare.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpeedComparison {
    /// Factor by which a run off the rack of its data takes longer; 1 if it is not known.
    far_factor: f64,
    /// Time at which the speeds of the targets were last compared.
    compared_at_ms: u64,
}

impl SpeedComparison {
    pub(super) const fn new() -> Self {
        SpeedComparison { far_factor: 1.0, compared_at_ms: 0 }
    }
}

impl Dispatcher {
    /// Sets the factor by which a run off the rack of its data takes longer; 1 if it is not known.
    pub const fn set_far_factor(&mut self, far_factor: f64) {
        self.speed_comparison.far_factor = far_factor;
    }

    pub(super) const fn far_factor(&self) -> f64 {
        self.speed_comparison.far_factor
    }

    pub(super) fn is_far_factor_known(&self) -> bool {
        self.far_factor() > 1.0
    }

    /// Returns a target with the speed that the last dispatcher of this process measured.
    pub(super) fn new_target(&self, info: TargetInfo) -> Target {
        let mut target = Target::new(info);
        if let Some(speed) = self.run_times.target_speed(&target.info().id) {
            target.set_speed(speed);
        }
        target
    }

    /// Returns the run time estimates and the speeds of the targets, for use by the next dispatcher of
    /// this process.
    pub fn run_times(&self) -> RunTimes {
        let speeds = self.targets.iter();
        let speeds = speeds.map(|target| (Arc::clone(&target.info().id), *target.speed()));
        self.run_times.with_target_speeds(speeds)
    }

    /// Returns the speeds of the targets.
    pub fn speed_summary(&self) -> SpeedSummary {
        let logs = self.sorted_logs();
        let percent = |log: Option<&f64>| log.map_or(0, |log| (100.0 * log.exp()).round() as u64);
        let slow = self.targets.iter().filter(|target| target.speed().is_slow());
        SpeedSummary {
            fastest_percent: percent(logs.first()),
            median_percent: percent(logs.get(logs.len() / 2)),
            slowest_percent: percent(logs.last()),
            slow_targets: slow.count(),
        }
    }

    fn sorted_logs(&self) -> Vec<f64> {
        let logs = self.targets.iter().filter_map(|target| target.speed().measured_log());
        let mut logs: Vec<f64> = logs.collect();
        logs.sort_unstable_by(f64::total_cmp);
        logs
    }

    /// Returns the expected time of a run on a target of median speed in the rack or outside the rack
    /// where this target is, or `None` if it is not known how much longer it takes there.
    fn reference_ms(&self, target: &Target, task: TaskId) -> Option<u64> {
        let job = self.job(task.job)?;
        let expected_ms = job.expected_ms[usize::from(task.step)];
        let is_near = target.info().has_label(job.step(task).near_rack.as_deref());
        match is_near {
            true => Some(expected_ms),
            false if self.is_far_factor_known() => {
                Some(scale_ms(expected_ms, self.speed_comparison.far_factor))
            }
            false => None,
        }
    }

    /// Returns the expected time of a run on a target, and on one of median speed, if known.
    pub(super) fn expected_run_ms(&self, target_index: usize, task: TaskId) -> (u64, Option<u64>) {
        let target = &self.targets[target_index];
        let near_ms = self.job(task.job).map_or(0, |job| job.expected_ms[usize::from(task.step)]);
        let reference_ms = self.reference_ms(target, task);
        (target.expected_ms(reference_ms.unwrap_or(near_ms)), reference_ms)
    }

    /// Adds the time of a completed run to the average of its queue and to the speed of its target.
    ///
    /// The queue's average is that of a target of median speed with the data in its rack, so that it does
    /// not depend on which targets ran the tasks.
    pub(super) fn observe_run_time(
        &mut self,
        target_index: usize,
        target_run: &TargetRun,
        ran_ms: u64,
        now_ms: u64,
    ) {
        if target_run.phase != RunPhase::Running {
            return;
        }
        let task = target_run.run.task;
        let target = &self.targets[target_index];
        if let Some(job) = self.job(task.job)
            && !target.speed().is_slow()
        {
            let queue = Arc::clone(&job.submission().queue.name);
            let is_near = target.info().has_label(job.step(task).near_rack.as_deref());
            let far_factor = if is_near { 1.0 } else { self.speed_comparison.far_factor };
            let factor = target.speed().slowness() * far_factor;
            self.run_times.observe(&queue, scale_ms(ran_ms, factor.recip()));
        }
        let Some(reference_ms) = target_run.reference_ms else { return };
        let measured = MeasuredRun {
            started_at_ms: target_run.start_sent_at_ms,
            ran_ms,
            expected_ms: target_run.expected_ms,
            reference_ms,
        };
        if self.targets[target_index].observe_speed(measured, now_ms) {
            self.log_speed_change(target_index, false, 0);
        }
        self.compare_speeds(now_ms);
    }

    /// Begins a slow phase of a target if a listing that was requested at `requested_at_ms` shows one.
    pub(super) fn check_slow_phase(
        &mut self,
        target_index: usize,
        requested_at_ms: u64,
        now_ms: u64,
    ) {
        let target = &self.targets[target_index];
        let in_progress = target.far_over_runs(requested_at_ms);
        if !target.speed().shows_slow_phase(in_progress) {
            return;
        }
        let healthy = self.targets.iter().filter(|target| target.is_healthy());
        let (slow_count, healthy_count) = healthy.fold((1, 0), |(slow, healthy), target| {
            (slow + usize::from(target.speed().is_slow()), healthy + 1)
        });
        if slow_count * MAX_SLOW_DIVISOR <= healthy_count {
            self.targets[target_index].speed_mut().begin_slow_phase(now_ms);
            self.log_speed_change(target_index, true, in_progress);
            return;
        }
        for index in 0..self.targets.len() {
            if self.targets[index].speed_mut().clear_slow_phase(now_ms) {
                self.log_speed_change(index, false, 0);
            }
        }
    }

    fn log_speed_change(&self, target_index: usize, is_slow: bool, in_progress: usize) {
        let target = &self.targets[target_index];
        log_event!(
            info, TargetSpeedChanged, target = %target.info().id, is_slow, in_progress,
            ended = target.speed().far_over_runs(), slowness = target.speed().slowness(),
            running = target.runs().len()
        );
    }

    /// Compares the speeds of the targets with their median.
    fn compare_speeds(&mut self, now_ms: u64) {
        if now_ms < self.speed_comparison.compared_at_ms + COMPARISON_INTERVAL_MS {
            return;
        }
        self.speed_comparison.compared_at_ms = now_ms;
        let logs = self.sorted_logs();
        if logs.len() < MIN_MEASURED_TARGETS {
            return;
        }
        let median_log = logs[logs.len() / 2];
        for target in &mut self.targets {
            target.speed_mut().compare_with_median(median_log);
        }
    }
}
