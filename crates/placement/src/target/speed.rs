//! Speed of a target and the expected time of its runs.

use super::Target;
use crate::{Run, RunPhase, TargetSpeed, target_speed::MeasuredRun};

/// Time between the arrival of a listing and the request for the next one up to which the times of the
/// runs that the next one ends are exact. After a lost listing an end is learned late.
const MAX_LISTING_GAP_MS: u64 = 20;

impl Target {
    /// Returns the measured speed.
    pub const fn speed(&self) -> &TargetSpeed {
        &self.speed
    }

    pub(crate) const fn speed_mut(&mut self) -> &mut TargetSpeed {
        &mut self.speed
    }

    /// Takes over the speed that an earlier dispatcher measured; the first listing shows whether it is
    /// that of the current incarnation.
    pub(crate) const fn set_speed(&mut self, speed: TargetSpeed) {
        self.speed = speed;
    }

    /// Returns the expected time of a run that takes `reference_ms` on a target of median speed.
    pub fn expected_ms(&self, reference_ms: u64) -> u64 {
        scale_ms(reference_ms, self.speed.slowness())
    }

    /// Returns whether the target is in a slow phase and gets no task now.
    pub(super) fn awaits_probe(&self, now_ms: u64) -> bool {
        self.speed.is_slow() && {
            let latest_start_ms = self.runs.iter().map(|run| run.start_sent_at_ms).max();
            self.speed.awaits_probe(latest_start_ms, now_ms)
        }
    }

    /// Forgets the speed if it was measured on another incarnation than the one that sent a listing.
    pub(super) fn check_speed_incarnation(&mut self, started_unix_ms: u64) {
        if self.speed.started_unix_ms() != started_unix_ms {
            self.speed = TargetSpeed::new(started_unix_ms);
        }
    }

    /// Adds a completed run to the measured speed, unless its end may have been learned late. Returns
    /// whether this ended a slow phase.
    pub(crate) fn observe_speed(&mut self, run: MeasuredRun, now_ms: u64) -> bool {
        let is_exact = self.listing_gap_ms <= MAX_LISTING_GAP_MS.max(run.ran_ms / 4);
        is_exact && self.speed.observe(run, now_ms)
    }

    /// Returns the number of runs in progress that are far over their expected time, as a listing
    /// shows that was requested at `requested_at_ms`.
    pub(crate) fn far_over_runs(&self, requested_at_ms: u64) -> usize {
        let is_far_over = |run: &&crate::TargetRun| {
            let ran_ms = requested_at_ms.saturating_sub(run.start_sent_at_ms);
            run.phase == RunPhase::Running
                && run.reference_ms.is_some()
                && TargetSpeed::is_far_over(ran_ms, run.expected_ms)
                && self.speed.is_uncontradicted(run.start_sent_at_ms, run.expected_ms)
        };
        self.runs.iter().filter(is_far_over).count()
    }

    /// Sets the expected run time on a target of median speed, for a run whose start is known.
    pub(crate) fn set_reference_ms(&mut self, run: Run, reference_ms: Option<u64>) {
        if let Some(target_run) = self.runs.iter_mut().find(|target_run| target_run.run == run) {
            target_run.reference_ms = reference_ms;
        }
    }
}

/// Returns `ms` times `factor`.
pub(crate) fn scale_ms(ms: u64, factor: f64) -> u64 {
    match factor == 1.0 {
        true => ms,
        false => (ms as f64 * factor).round() as u64,
    }
}
