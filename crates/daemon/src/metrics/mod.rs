//! Counters and histograms of the request path, in the format of Prometheus.

mod request_metrics;

pub(crate) use request_metrics::RequestMetrics;
