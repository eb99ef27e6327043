//! Results of a run.

use hdrhistogram::Histogram;

/// Longest time that the histograms record; longer times are recorded as this value.
const MAX_RECORDED_US: u64 = 600_000_000;

const SIGNIFICANT_DIGITS: u8 = 3;

/// Results of the jobs of one class that were due in one phase.
#[derive(Clone, Debug)]
pub struct ClassResults {
    /// Name of the class.
    pub class: &'static str,
    /// Name of the phase.
    pub phase: &'static str,
    /// Response times of complete jobs minus [`Job::ideal_ms`](crate::Job::ideal_ms).
    pub overhead_us: Histogram<u64>,
    /// Number of jobs by outcome, in order of first occurrence.
    pub outcomes: Vec<(String, u64)>,
    /// Total run time of the tasks of complete jobs.
    pub work_ms: u64,
}

impl ClassResults {
    pub(crate) fn new(class: &'static str, phase: &'static str) -> Self {
        let overhead_us = Histogram::new_with_max(MAX_RECORDED_US, SIGNIFICANT_DIGITS)
            .expect("the maximum is at least 2 and there are at most 5 digits");
        ClassResults { class, phase, overhead_us, outcomes: Vec::new(), work_ms: 0 }
    }

    /// Counts a job with this outcome.
    pub(crate) fn count_outcome(&mut self, outcome: &str) {
        match self.outcomes.iter_mut().find(|(other, _)| other == outcome) {
            Some((_, count)) => *count += 1,
            None => self.outcomes.push((outcome.to_owned(), 1)),
        }
    }

    /// Returns a quantile of `overhead_us`, in milliseconds.
    pub fn overhead_ms(&self, quantile: f64) -> f64 {
        self.overhead_us.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Load of the deployment at one time during a run.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time since the start of the run.
    pub elapsed_s: f64,
    /// Occupied slots, as a share of all slots.
    pub occupied_share: f64,
    /// Tasks that wait at dispatchers.
    pub queued_tasks: u64,
    /// Jobs submitted and without an outcome.
    pub jobs_in_flight: u64,
}

/// Results of running one workload against one deployment.
#[derive(Clone, Debug)]
pub struct Results {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the workload.
    pub workload: &'static str,
    /// Seed of the workload's jobs.
    pub seed: u64,
    /// Results for each phase and class.
    pub classes: Vec<ClassResults>,
    /// Samples of the load during the run, in order of time.
    pub samples: Vec<Sample>,
    /// Mean share of occupied slots by phase.
    pub occupied_share: Vec<(&'static str, f64)>,
    /// Run time of the complete jobs due in each phase, as a share of slots x phase duration.
    pub goodput: Vec<(&'static str, f64)>,
    /// Tasks started, as counted by the entry processes.
    pub started_tasks: f64,
    /// Messages sent and received, as counted by the entry processes.
    pub messages: f64,
    /// Messages that led to no task start, no answer and no freed slot, by kind.
    pub wasted_messages: Vec<(String, f64)>,
    /// CPU time by role.
    pub cpu_seconds: Vec<(String, f64)>,
    /// Resident memory of the largest process by role.
    pub memory_mib: Vec<(String, f64)>,
    /// Time from the end of the phase with the highest demand until no task waits at
    /// dispatchers; absent if this isn't reached or no phase follows.
    pub recovery_s: Option<f64>,
    /// 99th percentile of the delay between a job's scheduled time and its submission.
    pub send_lag_p99_us: u64,
}

impl Results {
    /// Returns the number of wasted messages of all kinds.
    pub fn total_wasted_messages(&self) -> f64 {
        self.wasted_messages.iter().map(|(_, count)| count).sum()
    }

    /// Returns the CPU time of all entry processes and dispatchers.
    pub fn service_cpu_seconds(&self) -> f64 {
        let is_service = |role: &str| matches!(role, "entry" | "dispatch");
        self.cpu_seconds
            .iter()
            .filter(|(role, _)| is_service(role))
            .map(|(_, seconds)| seconds)
            .sum()
    }
}
