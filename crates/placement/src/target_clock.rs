//! Clocks of targets, which start anew with each incarnation and thereby tell them apart.

/// Rate of the slowest clock of a target, in percent of the true rate.
const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// Error of the difference between two times that were rounded to whole ms.
const ROUNDING_MS: u64 = 2;

/// A target's clock as the answer to a request shows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    /// Time of the target's clock, in ms.
    pub(crate) clock_ms: u64,
    /// Time at which the request was sent.
    pub(crate) requested_at_ms: u64,
    /// Time at which the answer arrived.
    pub(crate) read_at_ms: u64,
}

impl ClockReading {
    /// Returns the estimated time of the clock at `now_ms`, as if the answer had taken no time.
    pub(crate) const fn estimate_ms(&self, now_ms: u64) -> u64 {
        self.clock_ms + now_ms.saturating_sub(self.read_at_ms)
    }

    /// Returns whether `other` must come from a later incarnation: the clock that this reading shows
    /// had passed it when the request was sent.
    pub(crate) const fn precedes_restart(&self, other: &ClockReading) -> bool {
        match other.requested_at_ms.checked_sub(self.read_at_ms) {
            Some(passed_ms) => {
                let min_passed_ms = passed_ms * MIN_CLOCK_RATE_PERCENT / 100;
                other.clock_ms < self.clock_ms + min_passed_ms.saturating_sub(ROUNDING_MS)
            }
            // The answer may have been overtaken by the one that this reading is from.
            None => false,
        }
    }

    /// Returns whether `other` must come from an earlier incarnation: the clock that this reading
    /// shows can't have reached it.
    pub(crate) const fn follows_restart(&self, other: &ClockReading) -> bool {
        let max_passed_ms = other.read_at_ms.saturating_sub(self.requested_at_ms);
        other.clock_ms > self.clock_ms + max_passed_ms + ROUNDING_MS
    }

    /// Replaces this reading by a later one of the same clock; the clock never falls.
    pub(crate) const fn advance(&mut self, later: ClockReading) {
        if later.clock_ms >= self.clock_ms {
            *self = later;
        }
    }
}
