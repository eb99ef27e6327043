//! Estimation of message delays between the unsynchronized clocks of peers.

use crate::ClockReading;

/// The drift between two monotonic clocks is assumed to be at most the elapsed time divided by
/// this number, which is 2%.
const DRIFT_DIVISOR: u64 = 50;

/// Largest error of the difference of two clock readings, which are whole milliseconds.
const ROUNDING_MS: u64 = 2;

/// Estimate of the offset between a peer's monotonic clock and the local one.
///
/// The smallest offset among the messages of the peer, adjusted for drift, is that of the
/// fastest message; a slower message shows a larger offset. A message that the network delayed
/// by seconds can thus be distinguished from one just sent, without synchronized clocks.
#[derive(Clone, Copy, Debug)]
pub struct PeerClock {
    /// Incarnation of the peer; each incarnation starts its clock anew.
    incarnation: u64,
    /// Local arrival time minus the peer's time of sending, for the fastest message.
    offset_ms: i64,
    last_message_ms: u64,
}

impl PeerClock {
    /// Returns the estimate from the first message of a peer.
    pub const fn new(incarnation: u64, sent_clock_ms: u64, now_ms: u64) -> Self {
        let offset_ms = now_ms.cast_signed() - sent_clock_ms.cast_signed();
        PeerClock { incarnation, offset_ms, last_message_ms: now_ms }
    }

    /// Records a message that the peer sent at `sent_clock_ms` by its clock.
    pub fn record_message(&mut self, incarnation: u64, sent_clock_ms: u64, now_ms: u64) {
        let sample = PeerClock::new(incarnation, sent_clock_ms, now_ms);
        if incarnation == self.incarnation {
            let offset_ms = sample.offset_ms.min(self.max_offset_ms(now_ms));
            *self = PeerClock { offset_ms, ..sample };
        } else {
            *self = sample;
        }
    }

    /// Returns a time that the peer's clock has reached at `now_ms`, by the clocks' offset and
    /// drift.
    pub fn reading(&self, now_ms: u64) -> ClockReading {
        let clock_ms = now_ms.cast_signed().saturating_sub(self.max_offset_ms(now_ms));
        let clock_ms = u64::try_from(clock_ms).unwrap_or(0).saturating_sub(ROUNDING_MS);
        ClockReading { incarnation: self.incarnation, clock_ms }
    }

    /// Returns the offset to which the clocks may have drifted since the last message.
    const fn max_offset_ms(&self, now_ms: u64) -> i64 {
        let drift_ms = now_ms.saturating_sub(self.last_message_ms).div_ceil(DRIFT_DIVISOR);
        self.offset_ms.saturating_add_unsigned(drift_ms)
    }

    /// Returns the additional delay of a message over the fastest one.
    ///
    /// Returns `None` if the message is from another incarnation of the peer.
    pub fn delay_ms(&self, incarnation: u64, sent_clock_ms: u64, now_ms: u64) -> Option<u64> {
        let offset_ms = PeerClock::new(incarnation, sent_clock_ms, now_ms).offset_ms;
        let delay_ms = offset_ms.saturating_sub(self.offset_ms);
        (incarnation == self.incarnation).then_some(u64::try_from(delay_ms).unwrap_or(0))
    }
}
