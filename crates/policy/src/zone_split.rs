//! Split of a job across availability zones.

/// Load of one zone for work of one priority, as a home last received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneLoad {
    /// Slots of the zone in total.
    pub total_slots: u32,
    /// Free slots that work of this priority may take.
    pub free_slots: u32,
    /// Queued tasks of the same or a higher priority.
    pub queued_tasks: u32,
    /// Mean run time of a task.
    pub mean_run_ms: u32,
    /// Additional round-trip latency of the zone.
    pub latency_us: u32,
}

impl ZoneLoad {
    /// Returns the estimated delay until the zone starts one more task after `assigned` others.
    fn estimated_start_us(&self, assigned: u32) -> u64 {
        let tasks_ahead =
            u64::from(self.queued_tasks + (assigned + 1).saturating_sub(self.free_slots));
        let us_per_task = u64::from(self.mean_run_ms) * 1_000 / u64::from(self.total_slots.max(1));
        u64::from(self.latency_us) + tasks_ahead * us_per_task
    }
}

/// Splits `count` tasks across `zones` and returns the number for each zone.
///
/// Each task goes to the zone with the earliest estimated start, given the tasks assigned
/// before it. A zone without slots gets none; if no zone has slots, all counts are zero.
pub fn split_across_zones(count: u16, zones: &[ZoneLoad]) -> Vec<u16> {
    let mut counts = vec![0u16; zones.len()];
    for _ in 0..count {
        let candidates = zones.iter().enumerate().filter(|(_, zone)| zone.total_slots > 0);
        let earliest =
            candidates.min_by_key(|(index, zone)| zone.estimated_start_us(counts[*index].into()));
        let Some((index, _)) = earliest else { break };
        counts[index] += 1;
    }
    counts
}
