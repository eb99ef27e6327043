//! Ejection of targets that fail what they start.

const FAILURE_WEIGHT: f64 = 0.25;
const EJECT_ABOVE: f64 = 0.5;
const PEER_FACTOR: f64 = 2.0;
const FIRST_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 60_000;

/// How far a target may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trust {
    /// Up to its capacity.
    Full,
    /// At most this many tasks at once, doubled by every success.
    Probing(u32),
    /// Not before this time.
    Ejected { until_ms: u64 },
}

/// The evidence about one target.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    /// Recent share of failed tasks.
    pub(crate) failure_share: f64,
    pub(crate) trust: Trust,
    ejection_ms: u64,
}

impl Default for Health {
    fn default() -> Self {
        Health { failure_share: 0.0, trust: Trust::Full, ejection_ms: FIRST_EJECTION_MS }
    }
}

impl Health {
    /// Records a task that ended well.
    pub(crate) fn succeeded(&mut self, slots: u32) {
        self.failure_share -= self.failure_share * FAILURE_WEIGHT;
        match self.trust {
            Trust::Probing(allowed) if allowed >= slots => {
                self.trust = Trust::Full;
                self.ejection_ms = FIRST_EJECTION_MS;
            }
            Trust::Probing(allowed) => self.trust = Trust::Probing(allowed * 2),
            Trust::Full | Trust::Ejected { .. } => {}
        }
    }

    /// Records a failed task; returns whether the target ought to be ejected.
    ///
    /// The target has to be worse than its peers: a caller whose tasks fail
    /// everywhere must not take all targets out.
    pub(crate) fn failed(&mut self, peers_share: f64) -> bool {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        match self.trust {
            Trust::Probing(_) => true,
            Trust::Ejected { .. } => false,
            Trust::Full => {
                self.failure_share > EJECT_ABOVE && self.failure_share > PEER_FACTOR * peers_share
            }
        }
    }

    /// Takes the target out for a period that doubles from one time to the next.
    pub(crate) fn eject(&mut self, now_ms: u64) {
        self.trust = Trust::Ejected { until_ms: now_ms + self.ejection_ms };
        self.ejection_ms = (self.ejection_ms * 2).min(MAX_EJECTION_MS);
    }

    /// Lets an ejected target be probed once its period is over.
    pub(crate) fn refresh(&mut self, now_ms: u64) {
        if let Trust::Ejected { until_ms } = self.trust
            && until_ms <= now_ms
        {
            self.trust = Trust::Probing(1);
        }
    }
}
