//! Metrics of the processes.

use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

const LATENCY_BUCKETS_MS: [f64; 14] =
    [0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 5_000.0, 30_000.0];

/// A set of metrics that can be written as text.
pub trait Gauges: Send + Sync + 'static {
    /// Returns the registry that holds the metrics.
    fn registry(&self) -> &Registry;

    /// Returns all metrics in the text format of Prometheus.
    fn render(&self) -> String {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry().gather(), &mut buffer).ok();
        String::from_utf8(buffer).unwrap_or_default()
    }
}

/// The metrics of an entry process.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    /// Response time less the longest run time of a task, by priority.
    pub over_ideal_ms: HistogramVec,
    /// Time from submission to the start of a task, by priority and `short` or `long`.
    pub task_wait_ms: HistogramVec,
    /// Final outcomes by kind.
    pub outcomes: IntCounterVec,
    /// Refusals by reason and priority.
    pub refusals: IntCounterVec,
    /// Messages of ours by kind.
    pub messages: IntCounterVec,
    /// Messages that led to no start, no answer and no freed slot, by kind.
    pub wasted_messages: IntCounterVec,
    /// Tasks sent to targets and not denied.
    pub starts: IntCounter,
    /// The generation in force.
    pub generation: IntGauge,
    /// Open sessions.
    pub sessions: IntGauge,
    /// Jobs in progress.
    pub running_jobs: IntGauge,
    /// Bytes of answers that are not acknowledged.
    pub retained_bytes: IntGauge,
}

impl EntryMetrics {
    /// Returns fresh metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        EntryMetrics {
            over_ideal_ms: histogram(
                &registry,
                "ggb_over_ideal_ms",
                "Response time less the longest run time of a task of the job",
                &["priority"],
            ),
            task_wait_ms: histogram(
                &registry,
                "ggb_task_wait_ms",
                "Time from submission to the start of a task",
                &["priority", "size"],
            ),
            outcomes: counters(&registry, "ggb_outcomes_total", "Final outcomes", &["outcome"]),
            refusals: counters(
                &registry,
                "ggb_refusals_total",
                "Refusals by reason",
                &["reason", "priority"],
            ),
            messages: counters(&registry, "ggb_messages_total", "Messages sent", &["kind"]),
            wasted_messages: counters(
                &registry,
                "ggb_messages_wasted_total",
                "Messages that led to no start, no answer and no freed slot",
                &["kind"],
            ),
            starts: counter(&registry, "ggb_starts_total", "Tasks started"),
            generation: gauge(&registry, "ggb_generation", "Generation in force"),
            sessions: gauge(&registry, "ggb_sessions", "Open sessions"),
            running_jobs: gauge(&registry, "ggb_running_jobs", "Jobs in progress"),
            retained_bytes: gauge(&registry, "ggb_retained_bytes", "Bytes of kept answers"),
            registry,
        }
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        EntryMetrics::new()
    }
}

impl Gauges for EntryMetrics {
    fn registry(&self) -> &Registry {
        &self.registry
    }
}

/// The metrics of a dispatcher process.
#[derive(Debug)]
pub struct DispatchMetrics {
    registry: Registry,
    /// Leases granted.
    pub grants: IntCounter,
    /// Leases that ended, by how.
    pub releases: IntCounterVec,
    /// Parts of jobs that were refused, by reason.
    pub refusals: IntCounterVec,
    /// Batches sent to and received from homes.
    pub batches: IntCounterVec,
    /// Slots by state: total, used, free.
    pub slots: IntGaugeVec,
    /// Waiting tasks.
    pub queued_tasks: IntGauge,
    /// Targets by state: all, ejected.
    pub targets: IntGaugeVec,
    /// Connected homes.
    pub homes: IntGauge,
}

impl DispatchMetrics {
    /// Returns fresh metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        DispatchMetrics {
            grants: counter(&registry, "ggb_grants_total", "Leases granted"),
            releases: counters(&registry, "ggb_releases_total", "Leases that ended", &["end"]),
            refusals: counters(&registry, "ggb_part_refusals_total", "Refused parts", &["reason"]),
            batches: counters(&registry, "ggb_batches_total", "Batches", &["direction"]),
            slots: gauges(&registry, "ggb_slots", "Slots by state", &["state"]),
            queued_tasks: gauge(&registry, "ggb_queued_tasks", "Waiting tasks"),
            targets: gauges(&registry, "ggb_targets", "Targets by state", &["state"]),
            homes: gauge(&registry, "ggb_homes", "Connected homes"),
            registry,
        }
    }
}

impl Default for DispatchMetrics {
    fn default() -> Self {
        DispatchMetrics::new()
    }
}

impl Gauges for DispatchMetrics {
    fn registry(&self) -> &Registry {
        &self.registry
    }
}

const VALID: &str = "names and labels of metrics are constants";

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect(VALID);
    registry.register(Box::new(metric.clone())).expect(VALID);
    metric
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels).expect(VALID);
    registry.register(Box::new(metric.clone())).expect(VALID);
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect(VALID);
    registry.register(Box::new(metric.clone())).expect(VALID);
    metric
}

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect(VALID);
    registry.register(Box::new(metric.clone())).expect(VALID);
    metric
}

fn histogram(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_MS.to_vec());
    let metric = HistogramVec::new(options, labels).expect(VALID);
    registry.register(Box::new(metric.clone())).expect(VALID);
    metric
}
