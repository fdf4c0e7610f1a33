use prometheus::{Encoder, IntGaugeVec, Opts, Registry, TextEncoder};
use sesamedeal_core::scheduler::{UnitUsage, UsageReport};

/// Queues and units in the text format.
pub(crate) fn usage_metrics(report: &UsageReport) -> Vec<u8> {
    let registry = Registry::new();
    let queued = family(
        &registry,
        "sesamedeal_team_queued_jobs",
        "Queued jobs by pool and team",
        &["pool", "team"],
    );
    let held = family(
        &registry,
        "sesamedeal_team_held_slots",
        "Slots that running jobs hold, by pool and team",
        &["pool", "team"],
    );
    for flow in &report.flows {
        let labels = [flow.pool.as_str(), flow.team.as_str()];
        queued
            .with_label_values(&labels)
            .set(i64::from(flow.queued));
        held.with_label_values(&labels).set(i64::from(flow.held));
    }
    let slots = family(
        &registry,
        "sesamedeal_pool_slots",
        "Slots at this entry instance by pool and kind",
        &["pool", "kind"],
    );
    for (pool, usage) in &report.slots {
        set_units(&slots, pool.as_str(), usage);
    }
    let permits = family(
        &registry,
        "sesamedeal_team_permits",
        "Permits at this entry instance by team and kind",
        &["team", "kind"],
    );
    for (team, usage) in &report.permits {
        set_units(&permits, team.as_str(), usage);
    }
    let mut text = Vec::new();
    // Writing to memory fails only on a metric family without values, which is left out.
    drop(TextEncoder::new().encode(&registry.gather(), &mut text));
    text
}

fn set_units(family: &IntGaugeVec, name: &str, usage: &UnitUsage) {
    let kinds = [
        ("owned", usage.owned),
        ("borrowed", usage.borrowed),
        ("lent", usage.lent),
        ("in-use", usage.in_use),
    ];
    for (kind, units) in kinds {
        let gauge = family.with_label_values(&[name, kind]);
        gauge.set(i64::from(units));
    }
}

fn family(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let family = IntGaugeVec::new(Opts::new(name, help), labels);
    let family = family.expect("metric names are constants and valid");
    let registered = registry.register(Box::new(family.clone()));
    registered.expect("each metric is registered once");
    family
}
