//! What a run showed.

use hdrhistogram::Histogram;

const HIGHEST_US: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// What happened to the jobs of one class in one phase.
#[derive(Clone, Debug)]
pub struct ClassResults {
    /// The class.
    pub class: &'static str,
    /// The phase.
    pub phase: &'static str,
    /// Response time less the ideal, in microseconds.
    pub over_ideal_us: Histogram<u64>,
    /// Jobs by outcome, in the order of first appearance.
    pub outcomes: Vec<(String, u64)>,
    /// Slot milliseconds of complete jobs.
    pub work_ms: u64,
}

impl ClassResults {
    pub(crate) fn new(class: &'static str, phase: &'static str) -> Self {
        let over_ideal_us =
            Histogram::new_with_max(HIGHEST_US, DIGITS).expect("the bounds are valid");
        ClassResults { class, phase, over_ideal_us, outcomes: Vec::new(), work_ms: 0 }
    }

    pub(crate) fn count(&mut self, outcome: &str) {
        match self.outcomes.iter_mut().find(|(own, _)| own == outcome) {
            Some((_, count)) => *count += 1,
            None => self.outcomes.push((outcome.to_owned(), 1)),
        }
    }

    /// Returns a quantile of the response time over the ideal, in milliseconds.
    pub fn over_ideal_ms(&self, quantile: f64) -> f64 {
        self.over_ideal_us.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// What was seen in one sampled instant.
#[derive(Clone, Copy, Debug)]
pub struct Second {
    /// When, in seconds since the start.
    pub at: f64,
    /// Occupied slots, as a share of all.
    pub busy: f64,
    /// Tasks that wait at dispatchers.
    pub queued: u64,
    /// Jobs in flight.
    pub in_flight: u64,
}

/// What a run showed.
#[derive(Clone, Debug)]
pub struct Results {
    /// The deployment's name.
    pub deployment: String,
    /// The workload's name.
    pub workload: &'static str,
    /// The seed.
    pub seed: u64,
    /// By class and phase.
    pub classes: Vec<ClassResults>,
    /// Samples over time.
    pub seconds: Vec<Second>,
    /// Mean share of occupied slots by phase.
    pub busy: Vec<(&'static str, f64)>,
    /// Work of complete jobs that were due in a phase, as a share of all slots.
    pub goodput: Vec<(&'static str, f64)>,
    /// Tasks started, by the entry processes' own count.
    pub starts: f64,
    /// Messages of ours.
    pub messages: f64,
    /// Messages that led to no start, no answer and no freed slot, by kind.
    pub wasted: Vec<(String, f64)>,
    /// Processor seconds by role.
    pub cpu_seconds: Vec<(String, f64)>,
    /// Resident memory by role, in MiB, the largest of each role.
    pub memory_mib: Vec<(String, f64)>,
    /// Time from the end of the busiest phase until nothing waits at dispatchers.
    pub recovery_s: Option<f64>,
    /// How late the tool itself sent jobs, in microseconds, the 99th percentile.
    pub send_lag_us: u64,
}

impl Results {
    /// Returns all wasted messages.
    pub fn wasted_total(&self) -> f64 {
        self.wasted.iter().map(|(_, count)| count).sum()
    }

    /// Returns the processor seconds of the entry processes and dispatchers.
    pub fn own_cpu_seconds(&self) -> f64 {
        let own = |role: &str| matches!(role, "entry" | "dispatch");
        self.cpu_seconds.iter().filter(|(role, _)| own(role)).map(|(_, seconds)| seconds).sum()
    }
}
