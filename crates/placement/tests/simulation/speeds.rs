//! Speeds of targets and run times of tasks.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use ggb_placement::{SpeedSummary, TaskId};

use super::Simulation;

/// Factor by which a long task runs longer than the others of its queue.
const LONG_TASK_FACTOR: u64 = 7;

/// How the run times of tasks differ from the one that their caller declares.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimeSpread {
    /// Maximum difference, in percent.
    pub spread_percent: u64,
    /// Share of the tasks that run [`LONG_TASK_FACTOR`] times longer, in percent.
    pub long_percent: u64,
}

impl RunTimeSpread {
    /// Returns the run time of a task on a target of speed 1, which is the same for all of its runs.
    pub(super) fn work_ms(&self, declared_ms: u64, task: TaskId) -> u64 {
        let mut hasher = DefaultHasher::new();
        task.hash(&mut hasher);
        let drawn = hasher.finish();
        let factor = if drawn % 100 < self.long_percent { LONG_TASK_FACTOR } else { 1 };
        let percent = 100 - self.spread_percent + drawn / 100 % (2 * self.spread_percent + 1);
        declared_ms * factor * percent / 100
    }
}

impl Simulation {
    /// Sets the run time on a target relative to that of a target of speed 1, in percent.
    pub fn set_run_time_percent(&mut self, target_index: usize, percent: u64) {
        let now_ms = self.now_ms;
        self.targets[target_index].simulated.set_run_time_percent(percent, now_ms);
        self.schedule_end(target_index);
    }

    /// Gives the targets the speeds 0.6, 1.0 and 1.6 in turn, in blocks of three so that each size has
    /// all speeds.
    pub fn set_uneven_speeds(&mut self) {
        for target_index in 0..self.targets.len() {
            self.set_run_time_percent(target_index, [60, 100, 160][target_index / 3 % 3]);
        }
    }

    /// Returns the number of runs that started on a target from `from_ms` until `until_ms`.
    pub fn runs_started(&self, target_index: usize, from_ms: u64, until_ms: u64) -> usize {
        let records = self.targets[target_index].simulated.records(self.now_ms);
        let started = records.iter().map(|record| record.started_at_ms);
        started.filter(|at_ms| (from_ms..until_ms).contains(at_ms)).count()
    }

    /// Returns the speeds that the owner of a zone has measured.
    pub fn speed_summary(&self, zone: usize) -> SpeedSummary {
        let owner = self.current_owners[zone].expect("the zone has an owner");
        self.owners[owner].dispatcher.speed_summary()
    }
}
