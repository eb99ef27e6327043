//! Work that the tasks of each queue have recently started.

use std::sync::Arc;

use crate::QueueRules;

/// Time constant of the exponential decay. It covers two of the longest tasks, and is short against
/// bursts, which last about 5 to 10 s.
const DECAY_MS: f64 = 2_000.0;

/// Time after which the sums are scaled down. The factor of new work, e to the power of 20 by then,
/// leaves the sums far from the limits of their type.
const RESCALE_INTERVAL_MS: u64 = 40_000;

/// Sum below which a queue is dropped, in thousandths of a core times ms.
const MIN_SUM: f64 = 1.0;

#[derive(Clone, Debug)]
struct QueueSum {
    queue: Arc<str>,
    /// Priority of the job whose task started last.
    priority: u8,
    scaled: f64,
}

/// Sums of started work by queue, in which older work counts exponentially less.
///
/// Instead of decaying all sums at each start, new work counts exponentially more.
#[derive(Clone, Debug)]
pub(super) struct RecentWork {
    /// Sorted by queue.
    sums: Vec<QueueSum>,
    /// Scaled sum over all queues.
    total: f64,
    /// Time at which the scale is 1.
    scaled_to_ms: u64,
}

impl RecentWork {
    pub(super) const fn new(now_ms: u64) -> Self {
        RecentWork { sums: Vec::new(), total: 0.0, scaled_to_ms: now_ms }
    }

    /// Adds the work of a task that starts, in thousandths of a core times ms.
    pub(super) fn add(&mut self, rules: &QueueRules, work: u64, now_ms: u64) {
        if now_ms >= self.scaled_to_ms + RESCALE_INTERVAL_MS {
            self.rescale(now_ms);
        }
        let scaled = work as f64 * self.scale(now_ms);
        self.total += scaled;
        match self.sums.binary_search_by(|sum| sum.queue.cmp(&rules.name)) {
            Ok(index) => {
                self.sums[index].priority = rules.priority;
                self.sums[index].scaled += scaled;
            }
            Err(index) => {
                let (queue, priority) = (Arc::clone(&rules.name), rules.priority);
                self.sums.insert(index, QueueSum { queue, priority, scaled });
            }
        }
    }

    /// Returns the decayed sum of a queue, in thousandths of a core times ms.
    pub(super) fn of_queue(&self, queue: &str, now_ms: u64) -> f64 {
        match self.sums.binary_search_by(|sum| sum.queue.as_ref().cmp(queue)) {
            Ok(index) => self.sums[index].scaled / self.scale(now_ms),
            Err(_) => 0.0,
        }
    }

    /// Returns the decayed sum over all queues, in thousandths of a core times ms.
    pub(super) fn total(&self, now_ms: u64) -> f64 {
        self.total / self.scale(now_ms)
    }

    /// Returns each queue with its share of the recent work.
    pub(super) fn shares(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let total = self.total.max(f64::MIN_POSITIVE);
        self.sums.iter().map(move |sum| (&sum.queue, sum.scaled / total))
    }

    /// Returns the rate at which work of each priority was started, most urgent first, in thousandths
    /// of a core.
    pub(super) fn rates_by_priority(&self, now_ms: u64) -> Vec<(u8, f64)> {
        let scale = self.scale(now_ms) * DECAY_MS;
        let mut rates: Vec<(u8, f64)> = Vec::new();
        for sum in &self.sums {
            let rate = sum.scaled / scale;
            match rates.binary_search_by_key(&sum.priority, |(priority, _)| *priority) {
                Ok(index) => rates[index].1 += rate,
                Err(index) => rates.insert(index, (sum.priority, rate)),
            }
        }
        rates
    }

    /// Returns the factor by which work that starts at `now_ms` is scaled.
    fn scale(&self, now_ms: u64) -> f64 {
        (now_ms.saturating_sub(self.scaled_to_ms) as f64 / DECAY_MS).exp()
    }

    fn rescale(&mut self, now_ms: u64) {
        let scale = self.scale(now_ms);
        self.sums.iter_mut().for_each(|sum| sum.scaled /= scale);
        self.sums.retain(|sum| sum.scaled >= MIN_SUM);
        self.total = self.sums.iter().map(|sum| sum.scaled).sum();
        self.scaled_to_ms = now_ms;
    }
}
