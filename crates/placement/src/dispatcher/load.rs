//! Load of a dispatcher and its targets.

use crate::{Dispatcher, Load};

impl Dispatcher {
    /// Returns the current load of the targets.
    pub fn load(&self) -> Load {
        let mut load =
            Load { jobs: self.jobs.len(), targets: self.targets.len(), ..Load::default() };
        for target in self.targets.iter().filter(|target| target.is_healthy()) {
            load.healthy_targets += 1;
            load.total_cpu_milli += target.info().capacity.cpu_milli;
            load.free_cpu_milli += target.free().cpu_milli;
            load.free_tasks += target.free().cpu_milli / self.average_cpu_milli.max(1);
        }
        if !self.evacuated_zones.may_start(self.last_event_at_ms) {
            load.free_tasks = 0;
        }
        // Sequential access to the jobs is several times faster than a lookup for each queue entry.
        for job in self.jobs.iter().filter(|job| job.is_queued()) {
            load.queued_tasks += job.waiting_tasks() as u64;
            load.queued_cpu_milli += job.waiting_cpu_milli();
        }
        load
    }
}
