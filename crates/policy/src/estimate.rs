//! Estimates of task run times from finished tasks.

use crate::WorkloadKey;

/// Maximum number of workloads with an estimate; further ones use their prior.
const MAX_WORKLOADS: usize = 20_000;
/// Prior for work without a declared run time.
const DEFAULT_RUN_MS: f64 = 200.0;
/// Number of samples that the prior counts as.
const PRIOR_WEIGHT_SAMPLES: f64 = 3.0;
/// Cap on the sample count, so that recent run times keep a minimum weight.
const MAX_SAMPLES: f64 = 32.0;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    workload: WorkloadKey,
    samples: f64,
    /// Mean of the natural logarithms of the run times, which is robust against stragglers.
    mean_ln_ms: f64,
    mean_run_ms: f64,
}

/// Estimates the run time of each workload from its finished tasks.
///
/// A declared run time serves only as the prior, whose weight falls with every sample.
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimator {
    /// Sorted by workload key.
    estimates: Vec<Estimate>,
}

impl RunTimeEstimator {
    /// Returns the geometric mean of the run times in milliseconds, by which the queue is ordered.
    pub fn typical_run_ms(&self, workload: WorkloadKey, declared_run_ms: Option<u32>) -> u32 {
        let prior = declared_run_ms.map_or(DEFAULT_RUN_MS, |ms| f64::from(ms.max(1)));
        let ln_ms = match self.find(workload) {
            Some(estimate) => blend_with_prior(prior.ln(), estimate.mean_ln_ms, estimate.samples),
            None => prior.ln(),
        };
        ln_ms.exp().round().max(1.0) as u32
    }

    /// Returns the mean run time in milliseconds, from which the expected wait is computed.
    pub fn mean_run_ms(&self, workload: WorkloadKey, declared_run_ms: Option<u32>) -> u32 {
        let prior = declared_run_ms.map_or(DEFAULT_RUN_MS, |ms| f64::from(ms.max(1)));
        let mean = match self.find(workload) {
            Some(estimate) => blend_with_prior(prior, estimate.mean_run_ms, estimate.samples),
            None => prior,
        };
        mean.round().max(1.0) as u32
    }

    /// Records a finished task that ran for `run_ms`.
    pub fn record(&mut self, workload: WorkloadKey, run_ms: u32) {
        let run = f64::from(run_ms.max(1));
        let index =
            match self.estimates.binary_search_by_key(&workload, |estimate| estimate.workload) {
                Ok(index) => index,
                Err(_) if self.estimates.len() >= MAX_WORKLOADS => return,
                Err(index) => {
                    let new =
                        Estimate { workload, samples: 0.0, mean_ln_ms: 0.0, mean_run_ms: 0.0 };
                    self.estimates.insert(index, new);
                    index
                }
            };
        let estimate = &mut self.estimates[index];
        estimate.samples = (estimate.samples + 1.0).min(MAX_SAMPLES);
        estimate.mean_ln_ms += (run.ln() - estimate.mean_ln_ms) / estimate.samples;
        estimate.mean_run_ms += (run - estimate.mean_run_ms) / estimate.samples;
    }

    /// Returns the number of workloads with an estimate.
    pub const fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Returns whether no run time was recorded yet.
    pub const fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }

    fn find(&self, workload: WorkloadKey) -> Option<&Estimate> {
        let index =
            self.estimates.binary_search_by_key(&workload, |estimate| estimate.workload).ok()?;
        Some(&self.estimates[index])
    }
}

fn blend_with_prior(prior: f64, observed: f64, samples: f64) -> f64 {
    (prior * PRIOR_WEIGHT_SAMPLES + observed * samples) / (PRIOR_WEIGHT_SAMPLES + samples)
}
