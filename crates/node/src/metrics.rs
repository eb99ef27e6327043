//! Prometheus metrics of the process.

use std::sync::Arc;

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

use ggb_placement::RefusalReason;
use ggb_telemetry::MetricSet;

/// Panic message if a metric can't be created or registered.
const VALID_METRIC: &str = "metric names and labels are valid and unique";

/// Expected run time below which a task has the size `short` in metrics.
const SHORT_TASK_THRESHOLD_MS: u64 = 100;

const LATENCY_BUCKETS_MS: [f64; 12] =
    [2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, 10_000.0];

/// The metrics of a process on an entry VM.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    /// Number of caller requests, by outcome.
    pub requests: IntCounterVec,
    /// Time from the arrival of a caller request to its answer, by queue.
    pub response_ms: HistogramVec,
    /// Time from the arrival of a request to its answer, minus the declared run time of the job's
    /// critical path, for completed jobs, by priority.
    pub overhead_ms: HistogramVec,
    /// Number of refused requests, by reason.
    pub refusals: IntCounterVec,
    /// Number of jobs that the dispatcher of this process refused, by queue and reason; `Displaced`
    /// for queued jobs that gave way to others.
    pub turned_away: IntCounterVec,
    /// Share of each queue in the work that the dispatcher of this process started recently, in
    /// thousandths.
    pub work_share_permille: IntGaugeVec,
    /// Time from the arrival of a job to the start request for each of its tasks, by size: `short`
    /// or `long`, depending on the expected run time.
    pub task_wait_ms: HistogramVec,
    /// Number of jobs that wait for capacity, by priority.
    pub queued_jobs: IntGaugeVec,
    /// Number of requests to targets, by kind (`hold` for requests for a listing) and outcome
    /// (`other_life`: another incarnation answered).
    pub target_requests: IntCounterVec,
    /// Number of runs that ended without a listed end, since their target crashed or was
    /// unreachable until its lease expired.
    pub lost_runs: IntCounter,
    /// Number of claims of this process that ended since a target obeys a higher token.
    pub fenced_claims: IntCounter,
    /// Number of calls to the platform's store, by table (label `call`) and result: answered,
    /// failed.
    pub store_calls: IntCounterVec,
    /// Number of reads from the store or a peer that an open connection did not answer, but a new
    /// one did.
    pub silent_connections: IntCounter,
    /// CPU in thousandths of a core, by state: total and free of the targets in the zone of this
    /// process, and queued, the demand of the waiting tasks.
    pub cpu_milli: IntGaugeVec,
    /// Number of targets, by state: all, sound for those that are healthy and get new work, and slow
    /// for those that have suddenly become several times slower.
    pub targets: IntGaugeVec,
    /// Average run time relative to the expected one on the fastest, median and slowest target, in
    /// percent; 0 while too few runs have ended, and without the targets.
    pub run_time_percent: IntGaugeVec,
    /// Number of jobs that the dispatcher has not finished.
    pub jobs: IntGauge,
    /// 1 while this process is the owner of its zone's targets.
    pub is_owner: IntGauge,
    /// Version of the active configuration.
    pub configuration_version: IntGauge,
    /// Whether a zone is evacuated, by zone; empty if there never was a request.
    pub evacuated_zones: IntGaugeVec,
    /// Number of runs on the targets of the zone of this process, by zone; empty unless this process is
    /// the owner, the zone is evacuated and all targets have sent a listing.
    pub evacuated_zone_runs: IntGaugeVec,
    /// Time since the last successful read of the store, by table.
    pub table_age_ms: IntGaugeVec,
}

impl NodeMetrics {
    /// Creates the metrics in a registry of their own.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels).expect(VALID_METRIC);
            registry.register(Box::new(metric.clone())).expect(VALID_METRIC);
            metric
        };
        let gauges = |name: &str, help: &str, label: &str| {
            let metric = IntGaugeVec::new(Opts::new(name, help), &[label]).expect(VALID_METRIC);
            registry.register(Box::new(metric.clone())).expect(VALID_METRIC);
            metric
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect(VALID_METRIC);
            registry.register(Box::new(metric.clone())).expect(VALID_METRIC);
            metric
        };
        let counter = |name: &str, help: &str| {
            let metric = IntCounter::new(name, help).expect(VALID_METRIC);
            registry.register(Box::new(metric.clone())).expect(VALID_METRIC);
            metric
        };
        let histograms = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_MS.to_vec());
            let metric = HistogramVec::new(options, &[label]).expect(VALID_METRIC);
            registry.register(Box::new(metric.clone())).expect(VALID_METRIC);
            metric
        };
        NodeMetrics {
            requests: counters("ggb_requests_total", "Requests of callers", &["answer"]),
            response_ms: histograms("ggb_response_ms", "Time to the answer of a request", "queue"),
            overhead_ms: histograms("ggb_over_ideal_ms", "Time beyond the ideal", "priority"),
            refusals: counters("ggb_refusals_total", "Refused requests", &["reason"]),
            turned_away: counters(
                "ggb_turned_away_total",
                "Jobs that the dispatcher refused",
                &["queue", "reason"],
            ),
            work_share_permille: gauges(
                "ggb_work_share_permille",
                "Share of a queue in the work started recently",
                "queue",
            ),
            task_wait_ms: histograms("ggb_task_wait_ms", "Wait of tasks for their start", "size"),
            queued_jobs: gauges("ggb_queued_jobs", "Jobs that wait for room", "priority"),
            target_requests: counters(
                "ggb_orders_total",
                "Orders to targets",
                &["kind", "outcome"],
            ),
            lost_runs: counter("ggb_lost_runs_total", "Runs that ended with their target"),
            fenced_claims: counter(
                "ggb_fenced_claims_total",
                "Claims that ended because a target obeys a higher token",
            ),
            silent_connections: counter(
                "ggb_silent_connections_total",
                "Reads that only a new connection answered",
            ),
            store_calls: counters(
                "ggb_store_calls_total",
                "Calls to the store",
                &["call", "result"],
            ),
            cpu_milli: gauges(
                "ggb_target_cpu_milli",
                "Processor time of the zone's targets",
                "state",
            ),
            targets: gauges("ggb_owned_targets", "Targets of the zone", "state"),
            run_time_percent: gauges(
                "ggb_run_time_percent",
                "Run times relative to the expected ones",
                "target",
            ),
            jobs: gauge("ggb_jobs", "Jobs that the dispatcher has not finished"),
            is_owner: gauge("ggb_is_owner", "Whether this process dispatches for its zone"),
            configuration_version: gauge("ggb_configuration_version", "Version in force"),
            table_age_ms: gauges("ggb_age_ms", "Time since the store confirmed a table", "table"),
            evacuated_zones: gauges("ggb_evacuated", "Whether a zone is evacuated", "zone"),
            evacuated_zone_runs: gauges(
                "ggb_evacuated_runs",
                "Runs in the evacuated zone of the owner",
                "zone",
            ),
            registry,
        }
    }
}

impl NodeMetrics {
    /// Adds numbers of refused jobs by queue and reason.
    pub fn add_turned_away(
        &self,
        turned_away: impl IntoIterator<Item = (Arc<str>, RefusalReason, u64)>,
    ) {
        for (queue, reason, jobs) in turned_away {
            self.turned_away.with_label_values(&[&*queue, &format!("{reason:?}")]).inc_by(jobs);
        }
    }

    /// Records the wait of a task whose start is requested now.
    pub fn observe_start(&self, waited_ms: u64, expected_ms: u64) {
        let size = if expected_ms < SHORT_TASK_THRESHOLD_MS { "short" } else { "long" };
        self.task_wait_ms.with_label_values(&[size]).observe(waited_ms as f64);
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        NodeMetrics::new()
    }
}

impl MetricSet for NodeMetrics {
    fn registry(&self) -> &Registry {
        &self.registry
    }
}
