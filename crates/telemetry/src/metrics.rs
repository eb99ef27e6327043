//! Prometheus metrics of the entry and dispatcher processes.

use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

const LATENCY_BUCKETS_MS: [f64; 14] =
    [0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 5_000.0, 30_000.0];

/// A set of metrics in one registry.
pub trait MetricSet: Send + Sync + 'static {
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
    /// Response time of a complete job minus the longest run time of its tasks, by priority.
    pub overhead_ms: HistogramVec,
    /// Time from submission until a task is sent to its target, for tasks that completed, by
    /// priority and size (`short` or `long`).
    pub task_wait_ms: HistogramVec,
    /// Number of final outcomes, by kind.
    pub outcomes: IntCounterVec,
    /// Number of refusals, by reason and priority.
    pub refusals: IntCounterVec,
    /// Number of messages by kind: starts, cancellations and forwarded requests sent, and batches
    /// received from dispatchers.
    pub messages: IntCounterVec,
    /// Number of messages without a useful effect (no start, no answer and no freed slot), by kind.
    pub wasted_messages: IntCounterVec,
    /// Number of tasks that completed.
    pub completed_tasks: IntCounter,
    /// Generation of the active configuration.
    pub generation: IntGauge,
    /// Number of open sessions.
    pub sessions: IntGauge,
    /// Number of jobs in progress.
    pub running_jobs: IntGauge,
    /// Size of the answers retained until they are acknowledged, in bytes.
    pub retained_bytes: IntGauge,
}

impl EntryMetrics {
    /// Creates the metrics in a registry of their own.
    pub fn new() -> Self {
        let registry = Registry::new();
        EntryMetrics {
            overhead_ms: histogram(
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
            completed_tasks: counter(&registry, "ggb_starts_total", "Tasks started"),
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

impl MetricSet for EntryMetrics {
    fn registry(&self) -> &Registry {
        &self.registry
    }
}

/// The metrics of a dispatcher process.
#[derive(Debug)]
pub struct DispatchMetrics {
    registry: Registry,
    /// Number of leases granted.
    pub grants: IntCounter,
    /// Number of leases that ended, by end.
    pub releases: IntCounterVec,
    /// Number of refused parts of jobs, by reason.
    pub refusals: IntCounterVec,
    /// Number of batches exchanged with homes, by direction: received from homes, sent to
    /// homes.
    pub batches: IntCounterVec,
    /// Number of slots, by state: total, used, free.
    pub slots: IntGaugeVec,
    /// Number of waiting tasks.
    pub queued_tasks: IntGauge,
    /// Number of targets, by state: all, ejected.
    pub targets: IntGaugeVec,
    /// Number of connected homes.
    pub homes: IntGauge,
}

impl DispatchMetrics {
    /// Creates the metrics in a registry of their own.
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

impl MetricSet for DispatchMetrics {
    fn registry(&self) -> &Registry {
        &self.registry
    }
}

/// Panic message if a metric can't be created or registered.
const VALID_METRIC: &str = "metric names and labels are valid and unique";

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect(VALID_METRIC);
    registry.register(Box::new(metric.clone())).expect(VALID_METRIC);
    metric
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels).expect(VALID_METRIC);
    registry.register(Box::new(metric.clone())).expect(VALID_METRIC);
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect(VALID_METRIC);
    registry.register(Box::new(metric.clone())).expect(VALID_METRIC);
    metric
}

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect(VALID_METRIC);
    registry.register(Box::new(metric.clone())).expect(VALID_METRIC);
    metric
}

fn histogram(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_MS.to_vec());
    let metric = HistogramVec::new(options, labels).expect(VALID_METRIC);
    registry.register(Box::new(metric.clone())).expect(VALID_METRIC);
    metric
}
