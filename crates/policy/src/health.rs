//! Outlier ejection of targets whose tasks fail.

/// Weight of the newest task in the moving average of failures.
const FAILURE_EWMA_WEIGHT: f64 = 0.25;
/// Share of failed tasks above which a target may be ejected.
const EJECTION_FAILURE_SHARE: f64 = 0.5;
/// Factor by which the failure share of a target must exceed the mean of the other targets
/// before it is ejected.
const PEER_FAILURE_FACTOR: f64 = 2.0;
/// Length of the first ejection; the length doubles until the target is healthy again.
const INITIAL_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 60_000;

/// Limit on the leases of a target that follows from its recent tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// Limited by its capacity only.
    Healthy,
    /// At most this many concurrent leases after an ejection; every success doubles the limit.
    Probing(u32),
    /// No leases before `until_ms`.
    Ejected { until_ms: u64 },
}

/// Recent failures and ejections of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetHealth {
    /// Exponentially weighted share of failed tasks.
    pub(crate) failure_share: f64,
    pub(crate) state: HealthState,
    /// Length of the next ejection.
    next_ejection_ms: u64,
}

impl Default for TargetHealth {
    fn default() -> Self {
        TargetHealth {
            failure_share: 0.0,
            state: HealthState::Healthy,
            next_ejection_ms: INITIAL_EJECTION_MS,
        }
    }
}

impl TargetHealth {
    /// Records a successful task and raises the limit of a probed target.
    pub(crate) fn record_success(&mut self, capacity_slots: u32) {
        self.failure_share -= self.failure_share * FAILURE_EWMA_WEIGHT;
        match self.state {
            HealthState::Probing(max_leases) if max_leases >= capacity_slots => {
                self.state = HealthState::Healthy;
                self.next_ejection_ms = INITIAL_EJECTION_MS;
            }
            HealthState::Probing(max_leases) => self.state = HealthState::Probing(max_leases * 2),
            HealthState::Healthy | HealthState::Ejected { .. } => {}
        }
    }

    /// Records a failed task and returns whether the target should be ejected.
    ///
    /// A healthy target should be ejected only if its failure share also exceeds
    /// [`PEER_FAILURE_FACTOR`] times the mean of the other targets, since tasks that fail on
    /// every target must not eject them all. A probed target should be ejected at its first
    /// failure.
    pub(crate) fn record_failure(&mut self, mean_peer_share: f64) -> bool {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_EWMA_WEIGHT;
        match self.state {
            HealthState::Probing(_) => true,
            HealthState::Ejected { .. } => false,
            HealthState::Healthy => {
                self.failure_share > EJECTION_FAILURE_SHARE
                    && self.failure_share > PEER_FAILURE_FACTOR * mean_peer_share
            }
        }
    }

    /// Ejects the target, each time for twice as long as the time before, up to a maximum.
    pub(crate) fn eject(&mut self, now_ms: u64) {
        self.state = HealthState::Ejected { until_ms: now_ms + self.next_ejection_ms };
        self.next_ejection_ms = (self.next_ejection_ms * 2).min(MAX_EJECTION_MS);
    }

    /// Starts to probe an ejected target once its ejection has expired.
    pub(crate) fn end_expired_ejection(&mut self, now_ms: u64) {
        if let HealthState::Ejected { until_ms } = self.state
            && until_ms <= now_ms
        {
            self.state = HealthState::Probing(1);
        }
    }
}
