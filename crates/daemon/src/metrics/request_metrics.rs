use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::retry::RetryReason;

/// Upper bounds of the latency buckets, in seconds: 50 µs to 50 s.
const LATENCY_BUCKETS: &[f64] = &[
    0.000_05, 0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0,
    2.0, 5.0, 10.0, 20.0, 50.0,
];

/// Metrics of the request path. Clones share their values.
#[derive(Debug, Clone)]
pub(crate) struct RequestMetrics {
    shared: Arc<MetricSet>,
}

#[derive(Debug)]
struct MetricSet {
    registry: Registry,
    answers: BTreeMap<ResultCode, IntCounter>,
    retries: IntCounterVec,
    request_seconds: Histogram,
    queue_seconds: Histogram,
    backend_seconds: Histogram,
    queued: IntGauge,
    running: IntGauge,
    cancelled: IntCounter,
    stops: IntCounter,
    broken_off: IntCounter,
}

impl RequestMetrics {
    /// Creates the metrics in a registry of their own.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let answers = IntCounterVec::new(
            Opts::new(
                "sesamedeal_answers_total",
                "Answers to callers by result code",
            ),
            &["code", "label"],
        );
        let answers = registered(&registry, answers);
        let answers = ResultCode::ALL
            .iter()
            .map(|code| {
                let number = code.number().to_string();
                (
                    *code,
                    answers.with_label_values(&[number.as_str(), code.label()]),
                )
            })
            .collect();
        let retries = IntCounterVec::new(
            Opts::new("sesamedeal_retries_total", "Retries by reason"),
            &["reason"],
        );
        let retries = registered(&registry, retries);
        for reason in RetryReason::ALL {
            retries.with_label_values(&[reason.label()]);
        }
        let set = MetricSet {
            answers,
            retries,
            request_seconds: histogram(
                &registry,
                "sesamedeal_request_seconds",
                "Time from the head of a job's request to its answer",
            ),
            queue_seconds: histogram(
                &registry,
                "sesamedeal_queue_seconds",
                "Time from a job's submission to its first dispatch",
            ),
            backend_seconds: histogram(
                &registry,
                "sesamedeal_backend_seconds",
                "Time of one attempt at a backend server",
            ),
            queued: gauge(&registry, "sesamedeal_queued_jobs", "Jobs that are queued"),
            running: gauge(
                &registry,
                "sesamedeal_running_attempts",
                "Attempts that hold units",
            ),
            cancelled: counter(
                &registry,
                "sesamedeal_cancelled_jobs_total",
                "Jobs whose callers closed their connections",
            ),
            stops: counter(
                &registry,
                "sesamedeal_stopped_attempts_total",
                "Attempts that backend servers were asked to stop",
            ),
            broken_off: counter(
                &registry,
                "sesamedeal_broken_answers_total",
                "Answers that broke after a part was passed on",
            ),
            registry,
        };
        Self {
            shared: Arc::new(set),
        }
    }

    pub(crate) fn count_answer(&self, code: ResultCode) {
        if let Some(counter) = self.shared.answers.get(&code) {
            counter.inc();
        }
    }

    pub(crate) fn count_retry(&self, reason: RetryReason) {
        let retries = &self.shared.retries;
        retries.with_label_values(&[reason.label()]).inc();
    }

    pub(crate) fn count_cancelled(&self) {
        self.shared.cancelled.inc();
    }

    pub(crate) fn count_stop(&self) {
        self.shared.stops.inc();
    }

    pub(crate) fn count_broken_off(&self) {
        self.shared.broken_off.inc();
    }

    pub(crate) fn observe_request(&self, time: Duration) {
        self.shared.request_seconds.observe(time.as_secs_f64());
    }

    pub(crate) fn observe_queue(&self, time: Duration) {
        self.shared.queue_seconds.observe(time.as_secs_f64());
    }

    pub(crate) fn observe_backend(&self, time: Duration) {
        self.shared.backend_seconds.observe(time.as_secs_f64());
    }

    pub(crate) fn set_queued(&self, jobs: usize) {
        self.shared.queued.set(clamped(jobs));
    }

    pub(crate) fn set_running(&self, attempts: usize) {
        self.shared.running.set(clamped(attempts));
    }

    /// All metrics in the text format.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.shared.registry.gather();
        // Writing to memory fails only on a metric family without values, which is left out.
        drop(TextEncoder::new().encode(&families, &mut text));
        text
    }
}

fn registered<C: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<C>,
) -> C {
    let metric = metric.expect("metric names are constants and valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("each metric is registered once");
    metric
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    registered(registry, Histogram::with_opts(options))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    registered(registry, IntGauge::new(name, help))
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    registered(registry, IntCounter::new(name, help))
}

fn clamped(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
