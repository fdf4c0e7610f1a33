use prometheus::{Encoder, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use crate::entry_context::EntryContext;

/// Metrics of the control loops in the text format.
pub(crate) fn control_metrics(context: &EntryContext) -> Vec<u8> {
    let traffic = context.control_traffic();
    let bytes = [
        (["sent", "peers"], traffic.peer_sent),
        (["received", "peers"], traffic.peer_received),
        (["sent", "platform"], traffic.store_sent),
        (["received", "platform"], traffic.store_received),
    ];
    let calls = [
        (["read"], traffic.store_reads),
        (["write"], traffic.store_writes),
    ];
    let mut text = Vec::new();
    let registry = Registry::new();
    let help = "Bytes of control messages with their HTTP heads";
    let name = "sesamedeal_control_bytes_total";
    add(&registry, name, help, &["direction", "with"], &bytes);
    let help = "Calls of the table service";
    let name = "sesamedeal_store_calls_total";
    add(&registry, name, help, &["kind"], &calls);
    let zones = context.keeper.state().evacuations.len();
    let help = "Availability zones in which this entry instance starts nothing more";
    let gauge = IntGauge::new("sesamedeal_evacuated_zones", help);
    let gauge = gauge.expect("metric names are constants and valid");
    gauge.set(i64::try_from(zones).unwrap_or(i64::MAX));
    let registered = registry.register(Box::new(gauge));
    registered.expect("each metric is registered once");
    // Writing to memory fails only on a metric family without values, which is left out.
    drop(TextEncoder::new().encode(&registry.gather(), &mut text));
    text
}

/// Adds a family of counters with their totals so far.
fn add<const N: usize>(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str; N],
    totals: &[([&str; N], u64)],
) {
    let family = IntCounterVec::new(Opts::new(name, help), labels);
    let family = family.expect("metric names are constants and valid");
    for (values, total) in totals {
        family.with_label_values(values).inc_by(*total);
    }
    let registered = registry.register(Box::new(family));
    registered.expect("each metric is registered once");
}
