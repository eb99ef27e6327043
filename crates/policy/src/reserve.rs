//! Slots reserved for the next urgent job.

/// Half-life of the reserve after the last urgent job.
const RESERVE_HALF_LIFE_MS: f64 = 10_000.0;

/// Reserve that follows the size of recent urgent jobs.
///
/// Every slot of a fixed reserve is lost to goodput, so the reserve decays to nothing while
/// no urgent work arrives.
#[derive(Clone, Debug, Default)]
pub(crate) struct UrgentReserve {
    recent_tasks: f64,
    updated_ms: u64,
}

impl UrgentReserve {
    /// Records an urgent job of `tasks` tasks.
    pub(crate) fn record(&mut self, tasks: u16, now_ms: u64) {
        self.recent_tasks = self.decayed_tasks(now_ms).max(f64::from(tasks));
        self.updated_ms = now_ms;
    }

    /// Returns the number of slots to reserve, at most the share `max_share` of `total_slots`.
    pub(crate) fn reserved_slots(&self, total_slots: u32, max_share: f64, now_ms: u64) -> u32 {
        let max_slots = f64::from(total_slots) * max_share;
        self.decayed_tasks(now_ms).min(max_slots) as u32
    }

    /// Returns the recorded number of tasks, decayed to `now_ms`.
    fn decayed_tasks(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.recent_tasks * 0.5_f64.powf(age_ms / RESERVE_HALF_LIFE_MS)
    }
}
