//! Division of a job among availability zones.

/// What a home knows of the dispatcher of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneLoad {
    /// All slots of the zone.
    pub slots: u32,
    /// Free slots that work of this priority may take.
    pub free: u32,
    /// Tasks of the same or a higher priority that wait.
    pub queued_tasks: u32,
    /// The mean run time of a task.
    pub mean_run_ms: u32,
    /// The additional latency of using the zone, both ways.
    pub latency_us: u32,
}

impl ZoneLoad {
    /// Returns the time until the zone can start one more task after `taken` others.
    fn start_us(&self, taken: u32) -> u64 {
        let waiting = u64::from(self.queued_tasks + (taken + 1).saturating_sub(self.free));
        let slot_us = u64::from(self.mean_run_ms) * 1_000 / u64::from(self.slots.max(1));
        u64::from(self.latency_us) + waiting * slot_us
    }
}

/// Divides `count` tasks among `zones` so that each starts as early as it can.
///
/// Each task goes to the zone that can start it first, given the tasks placed
/// before it. A zone without slots gets none; if no zone has slots, nothing is
/// placed and all counts are zero.
pub fn split(count: u16, zones: &[ZoneLoad]) -> Vec<u16> {
    let mut parts = vec![0u16; zones.len()];
    for _ in 0..count {
        let candidates = zones.iter().enumerate().filter(|(_, zone)| zone.slots > 0);
        let best = candidates.min_by_key(|(at, zone)| zone.start_us(parts[*at].into()));
        let Some((at, _)) = best else { break };
        parts[at] += 1;
    }
    parts
}
