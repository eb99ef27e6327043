//! Time as the processes use it.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since the process started; never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Returns the milliseconds since 1970 by the system's clock.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
