//! Run time estimates per queue.

use std::sync::Arc;

use crate::TargetSpeed;

/// Weight of a new run time in the moving average; about the last 30 runs count.
const LEARNING_RATE: f64 = 1.0 / 30.0;

/// Maximum factor by which one run time may differ from the average when it is added. In callers'
/// workloads 3% of tasks run 7 times longer than the rest and would otherwise dominate the average.
const MAX_OUTLIER_RATIO: f64 = 3.0;

#[derive(Clone, Debug)]
struct QueueTimes {
    queue: Arc<str>,
    /// Moving average of the natural logarithm of run times in ms.
    log_mean: f64,
}

/// Predicts run times from the time a caller declares and the run times observed in its queue.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    /// Sorted by queue.
    queues: Vec<QueueTimes>,
    /// Speeds that the last dispatcher of this process measured, sorted by target id.
    target_speeds: Vec<(Arc<str>, TargetSpeed)>,
}

impl RunTimes {
    /// Returns the expected run time of a task, in ms.
    ///
    /// Declared times and observed run times deviate from the actual run time by a similar factor,
    /// so the prediction is the geometric mean of the declared time and the average of the queue.
    pub fn expected_ms(&self, queue: &str, declared_ms: u64) -> u64 {
        let declared_log = (declared_ms.max(1) as f64).ln();
        let found = self.queues.binary_search_by(|times| times.queue.as_ref().cmp(queue));
        let log = match found {
            Ok(index) => 0.5 * (declared_log + self.queues[index].log_mean),
            Err(_) => declared_log,
        };
        log.exp().round() as u64
    }

    /// Returns the number of queues with an average.
    pub(crate) const fn queue_count(&self) -> usize {
        self.queues.len()
    }

    /// Returns a copy with the given speeds of targets, which are sorted by target id.
    pub(crate) fn with_target_speeds(
        &self,
        target_speeds: impl Iterator<Item = (Arc<str>, TargetSpeed)>,
    ) -> Self {
        RunTimes { queues: self.queues.clone(), target_speeds: target_speeds.collect() }
    }

    /// Returns the speed that the last dispatcher of this process measured.
    pub(crate) fn target_speed(&self, target: &str) -> Option<TargetSpeed> {
        let found = self.target_speeds.binary_search_by(|(id, _)| id.as_ref().cmp(target));
        found.ok().map(|index| self.target_speeds[index].1)
    }

    /// Adds the run time of a completed task to the average of its queue.
    pub fn observe(&mut self, queue: &Arc<str>, ran_ms: u64) {
        let log = (ran_ms.max(1) as f64).ln();
        match self.queues.binary_search_by(|times| times.queue.cmp(queue)) {
            Ok(index) => {
                let times = &mut self.queues[index];
                let bound = MAX_OUTLIER_RATIO.ln();
                let offset = (log - times.log_mean).clamp(-bound, bound);
                times.log_mean += LEARNING_RATE * offset;
            }
            Err(index) => {
                self.queues.insert(index, QueueTimes { queue: Arc::clone(queue), log_mean: log });
            }
        }
    }
}
