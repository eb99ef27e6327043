//! Monotonic and wall-clock time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that counts the milliseconds since it was started.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Returns a clock that starts now, at 0.
    pub fn start() -> Self {
        MonotonicClock { start: Instant::now() }
    }

    /// Returns the number of milliseconds since the clock was started.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 if the system clock is
/// before the epoch.
pub fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
