//! Run times learned by queue.

use std::sync::Arc;

/// The weight of a new run time; about the last 30 runs count.
const LEARNING_RATE: f64 = 1.0 / 30.0;

/// How far one run time moves the average: 3% of tasks run 7 times longer than the rest.
const OUTLIER_RATIO: f64 = 3.0;

#[derive(Clone, Debug)]
struct QueueTimes {
    queue: Arc<str>,
    /// The mean of the logarithm of run times in ms.
    log_mean: f64,
}

/// Predicts run times from what callers declare and what was seen.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    /// Sorted by queue.
    queues: Vec<QueueTimes>,
}

impl RunTimes {
    /// Returns the time that a task is expected to run, in ms.
    ///
    /// Declarations and the spread of real run times are both off by a similar factor,
    /// so the prediction is the geometric mean of the declared and the usual time.
    pub fn expected_ms(&self, queue: &str, declared_ms: u64) -> u64 {
        let declared_log = (declared_ms.max(1) as f64).ln();
        let found = self.queues.binary_search_by(|times| times.queue.as_ref().cmp(queue));
        let log = match found {
            Ok(at) => 0.5 * (declared_log + self.queues[at].log_mean),
            Err(_) => declared_log,
        };
        log.exp().round() as u64
    }

    /// Takes in the time that a task ran until it was done.
    pub fn observe(&mut self, queue: &Arc<str>, ran_ms: u64) {
        let log = (ran_ms.max(1) as f64).ln();
        match self.queues.binary_search_by(|times| times.queue.cmp(queue)) {
            Ok(at) => {
                let times = &mut self.queues[at];
                let bound = OUTLIER_RATIO.ln();
                let offset = (log - times.log_mean).clamp(-bound, bound);
                times.log_mean += LEARNING_RATE * offset;
            }
            Err(at) => {
                self.queues.insert(at, QueueTimes { queue: Arc::clone(queue), log_mean: log });
            }
        }
    }
}
