//! How long messages of a peer were under way.

/// By how much two steady clocks may drift apart, as a fraction of the time that passes:
/// 1 in 50, or 2%.
const DRIFT_FRACTION: u64 = 50;

/// A steady clock of a peer, seen through messages that carry its time.
///
/// The message that was fastest, as far as one can tell, sets the difference between the two
/// clocks; a message that took longer shows a larger one. So a message that a network held
/// back for seconds can be told from one that was just sent, without any agreement on the
/// time of day.
#[derive(Clone, Copy, Debug)]
pub struct PeerClock {
    /// Tells lives of the peer apart; each begins its clock anew.
    life: u64,
    /// What to add to the peer's time to get the time of the arrival here.
    offset_ms: i64,
    heard_at_ms: u64,
}

impl PeerClock {
    /// Returns what the first message of a peer tells.
    pub const fn new(life: u64, sent_clock_ms: u64, now_ms: u64) -> Self {
        let offset_ms = now_ms.cast_signed() - sent_clock_ms.cast_signed();
        PeerClock { life, offset_ms, heard_at_ms: now_ms }
    }

    /// Takes in a message that the peer sent at `sent_clock_ms` by its clock.
    pub fn heard(&mut self, life: u64, sent_clock_ms: u64, now_ms: u64) {
        let sample = PeerClock::new(life, sent_clock_ms, now_ms);
        if life == self.life {
            let drift_ms = now_ms.saturating_sub(self.heard_at_ms).div_ceil(DRIFT_FRACTION);
            let known_ms = self.offset_ms.saturating_add_unsigned(drift_ms);
            let offset_ms = sample.offset_ms.min(known_ms);
            *self = PeerClock { offset_ms, ..sample };
        } else {
            *self = sample;
        }
    }

    /// Returns how much longer a message took than the fastest ones; nothing if it comes from
    /// a life of the peer that is not known.
    pub fn delay_ms(&self, life: u64, sent_clock_ms: u64, now_ms: u64) -> Option<u64> {
        let offset_ms = PeerClock::new(life, sent_clock_ms, now_ms).offset_ms;
        let delay_ms = offset_ms.saturating_sub(self.offset_ms);
        (life == self.life).then_some(u64::try_from(delay_ms).unwrap_or(0))
    }
}
