//! Measured speed of a target.
//!
//! Two things are told apart: the speed that a target has throughout its incarnation, which is averaged
//! over many runs, and a slow phase, in which it suddenly becomes several times slower.

/// Number of runs that the average covers.
const AVERAGED_RUNS: u32 = 40;

/// Number of runs before the average counts.
const MIN_RUNS: u32 = 5;

/// Maximum difference of the logarithm of one run's ratio from the average when it is added, a factor
/// of 2. Of the tasks 3% run 7 times longer than the rest.
const MAX_LOG_OFFSET: f64 = std::f64::consts::LN_2;

/// Difference of the logarithms within which a target counts as equal to the median one; it grows with
/// the uncertainty of the average. Run times spread by about 40% around the estimate, so that the
/// average of 40 equal targets stays within it.
const MIN_LOG_DIFFERENCE: f64 = 0.15;
const LOG_UNCERTAINTY: f64 = 0.8;

/// Bound of the factor by which a target may count as slower or faster than the median one.
const MAX_SLOWNESS: f64 = 4.0;

/// Multiple of its expected time after which a run is far over it. In a slow phase runs take 5 to 8
/// times longer; estimates are off by a factor of up to 1.4.
const FAR_OVER_FACTOR: u64 = 3;

/// Added to the multiple, since messages that are delayed in the process count as run time.
const FAR_OVER_MARGIN_MS: u64 = 40;

/// Number of consecutive runs that are far over their expected time with which a slow phase begins.
const SLOW_RUNS: usize = 3;

/// Number of these runs if all of them are still in progress. A target runs two to three tasks at the
/// same time, and would get more work before three have ended.
const SLOW_RUNS_IN_PROGRESS: usize = 2;

/// Time from the begin of a slow phase to the first probe; doubles with each probe that is far over its
/// expected time. Slow phases last some seconds.
const MIN_PROBE_INTERVAL_MS: u64 = 250;
const MAX_PROBE_INTERVAL_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug)]
struct SlowPhase {
    /// Time at which the phase began, or at which the last probe ended.
    since_ms: u64,
    probe_interval_ms: u64,
}

/// A completed run whose start and end are known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeasuredRun {
    pub(crate) started_at_ms: u64,
    pub(crate) ran_ms: u64,
    /// Expected run time on the target.
    pub(crate) expected_ms: u64,
    /// Expected run time on a target of median speed.
    pub(crate) reference_ms: u64,
}

/// Speed of one incarnation of a target, measured by its completed runs.
#[derive(Clone, Copy, Debug)]
pub struct TargetSpeed {
    /// Start of the incarnation, in ms since 1970.
    started_unix_ms: u64,
    /// Number of runs in the average, at most [`AVERAGED_RUNS`].
    run_count: u32,
    /// Moving average of the natural logarithm of (run time / expected run time on a target of median
    /// speed).
    log_mean: f64,
    slowness: f64,
    /// Number of runs that were far over their expected time since the last one that was not.
    far_over_runs: usize,
    /// Time of the last end of a run that was not far over its expected time.
    last_in_time_at_ms: u64,
    slow_phase: Option<SlowPhase>,
}

impl TargetSpeed {
    /// Returns the speed of an incarnation of which no run has ended.
    pub const fn new(started_unix_ms: u64) -> Self {
        TargetSpeed {
            started_unix_ms,
            run_count: 0,
            log_mean: 0.0,
            slowness: 1.0,
            far_over_runs: 0,
            last_in_time_at_ms: 0,
            slow_phase: None,
        }
    }

    /// Returns the incarnation, by its start in ms since 1970.
    pub(crate) const fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }

    /// Returns the factor by which runs take longer than on the target of median speed; 1 unless the
    /// difference is significant. A slow phase is not included.
    pub const fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the number of runs that ended far over their expected time since the last one that did
    /// not.
    pub(crate) const fn far_over_runs(&self) -> usize {
        self.far_over_runs
    }

    /// Returns whether the target is in a slow phase.
    pub const fn is_slow(&self) -> bool {
        self.slow_phase.is_some()
    }

    /// Returns the average of the logarithm of the runs' ratios, once there are enough of them.
    pub(crate) fn measured_log(&self) -> Option<f64> {
        (self.run_count >= MIN_RUNS).then_some(self.log_mean)
    }

    /// Returns whether a target in a slow phase gets no task now, given the start of its latest run. One
    /// task at a time probes it.
    pub(crate) fn awaits_probe(&self, latest_start_ms: Option<u64>, now_ms: u64) -> bool {
        self.slow_phase.is_some_and(|phase| {
            now_ms < phase.since_ms + phase.probe_interval_ms
                || latest_start_ms.is_some_and(|start_ms| start_ms >= phase.since_ms)
        })
    }

    /// Updates the slowness from the median of [`TargetSpeed::measured_log`] of all targets.
    pub(crate) fn compare_with_median(&mut self, median_log: f64) {
        let offset = self.log_mean - median_log;
        let min_difference =
            MIN_LOG_DIFFERENCE + LOG_UNCERTAINTY / f64::from(self.run_count).sqrt();
        self.slowness = match self.run_count >= MIN_RUNS && offset.abs() > min_difference {
            true => offset.exp().clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS),
            false => 1.0,
        };
    }

    /// Returns whether a run of the given time is far over its expected time.
    pub(crate) const fn is_far_over(ran_ms: u64, expected_ms: u64) -> bool {
        ran_ms >= FAR_OVER_FACTOR * expected_ms + FAR_OVER_MARGIN_MS
    }

    /// Returns whether no run that ended in time shows that a run in progress, which is far over its
    /// expected time, is an outlier.
    pub(crate) const fn is_uncontradicted(&self, started_at_ms: u64, expected_ms: u64) -> bool {
        self.last_in_time_at_ms <= started_at_ms + 2 * expected_ms
    }

    /// Adds a completed run. Returns whether this ended a slow phase.
    pub(crate) fn observe(&mut self, run: MeasuredRun, now_ms: u64) -> bool {
        let is_far_over = TargetSpeed::is_far_over(run.ran_ms, run.expected_ms);
        match is_far_over {
            true => self.far_over_runs += 1,
            false => {
                self.far_over_runs = 0;
                self.last_in_time_at_ms = now_ms;
            }
        }
        let Some(phase) = &mut self.slow_phase else {
            self.add_to_average(run);
            return false;
        };
        // Only a run that began within the phase shows how the target is now.
        if run.started_at_ms < phase.since_ms {
            return false;
        }
        if is_far_over {
            phase.since_ms = now_ms;
            phase.probe_interval_ms = (2 * phase.probe_interval_ms).min(MAX_PROBE_INTERVAL_MS);
            return false;
        }
        self.slow_phase = None;
        true
    }

    fn add_to_average(&mut self, run: MeasuredRun) {
        let ratio = run.ran_ms.max(1) as f64 / run.reference_ms.max(1) as f64;
        let offset = (ratio.ln() - self.log_mean).clamp(-MAX_LOG_OFFSET, MAX_LOG_OFFSET);
        self.run_count = (self.run_count + 1).min(AVERAGED_RUNS);
        self.log_mean += offset / f64::from(self.run_count);
    }

    /// Returns whether a slow phase has begun, where `in_progress` runs are far over their expected
    /// time.
    pub(crate) const fn shows_slow_phase(&self, in_progress: usize) -> bool {
        self.slow_phase.is_none()
            && (in_progress >= SLOW_RUNS_IN_PROGRESS
                || self.far_over_runs + in_progress >= SLOW_RUNS)
    }

    /// Begins a slow phase.
    pub(crate) const fn begin_slow_phase(&mut self, now_ms: u64) {
        let probe_interval_ms = MIN_PROBE_INTERVAL_MS;
        self.slow_phase = Some(SlowPhase { since_ms: now_ms, probe_interval_ms });
    }

    /// Drops the evidence for a slow phase. Returns whether the target was in one.
    pub(crate) const fn clear_slow_phase(&mut self, now_ms: u64) -> bool {
        self.far_over_runs = 0;
        self.last_in_time_at_ms = now_ms;
        self.slow_phase.take().is_some()
    }
}
