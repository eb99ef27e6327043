//! Order of the events of a simulation.

use super::Network;

type Event = Box<dyn FnOnce(&mut Network)>;

/// An event of the simulation; events are ordered by time, then by the order of scheduling.
pub(super) struct ScheduledEvent {
    pub(super) at_ms: u64,
    pub(super) number: u64,
    pub(super) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}
