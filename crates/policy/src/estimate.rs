//! Run times learned from finished tasks.

use crate::WorkKey;

const MAX_KEYS: usize = 20_000;
const DEFAULT_RUN_MS: f64 = 200.0;
const PRIOR_SAMPLES: f64 = 3.0;
const MAX_SAMPLES: f64 = 32.0;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    work: WorkKey,
    samples: f64,
    /// Mean of the logarithms, which a few stragglers hardly move.
    log_ms: f64,
    mean_ms: f64,
}

/// Learns how long work takes, by [`WorkKey`].
///
/// A declared run time is only the prior: it loses its weight with every task seen.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    /// Sorted by work key.
    estimates: Vec<Estimate>,
}

impl RunTimes {
    /// Returns the typical run time in milliseconds, for ordering.
    pub fn typical_ms(&self, work: WorkKey, declared_ms: Option<u32>) -> u32 {
        let prior = declared_ms.map_or(DEFAULT_RUN_MS, |ms| f64::from(ms.max(1)));
        let log_ms = match self.find(work) {
            Some(own) => blend(prior.ln(), own.log_ms, own.samples),
            None => prior.ln(),
        };
        log_ms.exp().round().max(1.0) as u32
    }

    /// Returns the mean run time in milliseconds, for the sum of work that waits.
    pub fn mean_ms(&self, work: WorkKey, declared_ms: Option<u32>) -> u32 {
        let prior = declared_ms.map_or(DEFAULT_RUN_MS, |ms| f64::from(ms.max(1)));
        let mean = match self.find(work) {
            Some(own) => blend(prior, own.mean_ms, own.samples),
            None => prior,
        };
        mean.round().max(1.0) as u32
    }

    /// Learns from a task that ran for `run_ms`.
    pub fn learn(&mut self, work: WorkKey, run_ms: u32) {
        let run = f64::from(run_ms.max(1));
        let at = match self.estimates.binary_search_by_key(&work, |e| e.work) {
            Ok(at) => at,
            Err(_) if self.estimates.len() >= MAX_KEYS => return,
            Err(at) => {
                let fresh = Estimate { work, samples: 0.0, log_ms: 0.0, mean_ms: 0.0 };
                self.estimates.insert(at, fresh);
                at
            }
        };
        let own = &mut self.estimates[at];
        own.samples = (own.samples + 1.0).min(MAX_SAMPLES);
        own.log_ms += (run.ln() - own.log_ms) / own.samples;
        own.mean_ms += (run - own.mean_ms) / own.samples;
    }

    /// Returns the number of kinds of work known.
    pub const fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Returns whether nothing was learned so far.
    pub const fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }

    fn find(&self, work: WorkKey) -> Option<&Estimate> {
        let at = self.estimates.binary_search_by_key(&work, |e| e.work).ok()?;
        Some(&self.estimates[at])
    }
}

fn blend(prior: f64, learned: f64, samples: f64) -> f64 {
    (prior * PRIOR_SAMPLES + learned * samples) / (PRIOR_SAMPLES + samples)
}
