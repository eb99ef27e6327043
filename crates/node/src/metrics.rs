//! Metrics of the process.

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

use ggb_telemetry::Gauges;

const VALID: &str = "names and labels of metrics are constants";

const LATENCY_BUCKETS_MS: [f64; 12] =
    [2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, 10_000.0];

/// The metrics of a process.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    /// Requests of callers by how they were answered.
    pub requests: IntCounterVec,
    /// Time from the arrival of a request to its answer, by queue.
    pub response_ms: HistogramVec,
    /// Orders to targets by kind and outcome.
    pub orders: IntCounterVec,
    /// Calls to the platform's store by call and result.
    pub store_calls: IntCounterVec,
    /// The processor time of the own zone's targets by state: total, free, queued.
    pub cpu_milli: IntGaugeVec,
    /// Targets by state: all, sound.
    pub targets: IntGaugeVec,
    /// Jobs that the dispatcher has not finished.
    pub jobs: IntGauge,
    /// 1 while this process is the owner of its zone's targets.
    pub is_owner: IntGauge,
    /// The version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Milliseconds since the platform's list of targets was last confirmed.
    pub target_list_age_ms: IntGauge,
}

impl NodeMetrics {
    /// Returns fresh metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels).expect(VALID);
            registry.register(Box::new(metric.clone())).expect(VALID);
            metric
        };
        let gauges = |name: &str, help: &str| {
            let metric = IntGaugeVec::new(Opts::new(name, help), &["state"]).expect(VALID);
            registry.register(Box::new(metric.clone())).expect(VALID);
            metric
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect(VALID);
            registry.register(Box::new(metric.clone())).expect(VALID);
            metric
        };
        let options = HistogramOpts::new("ggb_response_ms", "Time to the answer of a request")
            .buckets(LATENCY_BUCKETS_MS.to_vec());
        let response_ms = HistogramVec::new(options, &["queue"]).expect(VALID);
        registry.register(Box::new(response_ms.clone())).expect(VALID);
        NodeMetrics {
            requests: counters("ggb_requests_total", "Requests of callers", &["answer"]),
            response_ms,
            orders: counters("ggb_orders_total", "Orders to targets", &["kind", "outcome"]),
            store_calls: counters(
                "ggb_store_calls_total",
                "Calls to the store",
                &["call", "result"],
            ),
            cpu_milli: gauges("ggb_target_cpu_milli", "Processor time of the zone's targets"),
            targets: gauges("ggb_owned_targets", "Targets of the zone"),
            jobs: gauge("ggb_jobs", "Jobs that the dispatcher has not finished"),
            is_owner: gauge("ggb_is_owner", "Whether this process dispatches for its zone"),
            configuration_version: gauge("ggb_configuration_version", "Version in force"),
            target_list_age_ms: gauge("ggb_target_list_age_ms", "Age of the list of targets"),
            registry,
        }
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        NodeMetrics::new()
    }
}

impl Gauges for NodeMetrics {
    fn registry(&self) -> &Registry {
        &self.registry
    }
}
