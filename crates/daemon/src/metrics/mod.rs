//! Counters and histograms of the request path, in the format of Prometheus.

mod request_metrics;
mod usage_metrics;

pub(crate) use request_metrics::RequestMetrics;
pub(crate) use usage_metrics::usage_metrics;
