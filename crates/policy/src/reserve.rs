//! Slots kept free for the next urgent job.

const HALF_LIFE_MS: f64 = 10_000.0;

/// Follows the size of recent urgent jobs.
///
/// A fixed reserve costs goodput one to one, so the reserve follows what urgent
/// work has lately asked for and vanishes when there is none.
#[derive(Clone, Debug, Default)]
pub(crate) struct UrgentReserve {
    recent_size: f64,
    updated_ms: u64,
}

impl UrgentReserve {
    /// Records an urgent job of `count` tasks.
    pub(crate) fn record(&mut self, count: u16, now_ms: u64) {
        self.recent_size = self.decayed(now_ms).max(f64::from(count));
        self.updated_ms = now_ms;
    }

    /// Returns how many of `total_slots` to keep, at most the share `most`.
    pub(crate) fn slots(&self, total_slots: u32, most: f64, now_ms: u64) -> u32 {
        let most = f64::from(total_slots) * most;
        self.decayed(now_ms).min(most) as u32
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.recent_size * 0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }
}
