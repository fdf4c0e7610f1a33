//! Configuration of the tests, and decoders of rows that external writers store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use sesamedeal_core::ids::{InstanceName, PoolName, QueueName, TeamName, ZoneName};
use sesamedeal_core::jobs::{
    FleetRules, MaintenanceWave, PoolRule, QueueRule, ResourceAmount, TeamRule, WorkerReport,
    WorkerState,
};
use sesamedeal_jobs::ports::{IntentRow, RowError, StoreRow};
use sesamedeal_jobs::{Deployment, QueueRoute};

/// Version of a configuration whose row does not contain one.
const FIRST_VERSION: u64 = 1;

pub fn decode_intent(row: &StoreRow) -> Result<IntentRow, RowError> {
    if row.key == "config" {
        let version = std::str::from_utf8(&row.value).unwrap();
        let version = version.parse().unwrap_or(FIRST_VERSION);
        return Ok(IntentRow::Deployment(Box::new(deployment(version))));
    }
    if let Some(instances) = row.key.strip_prefix("wave/") {
        return Ok(IntentRow::Wave(MaintenanceWave {
            number: 1,
            instances: instances.split(',').map(InstanceName::new).collect(),
            complete_by: Duration::from_secs(20),
            limit: 1,
        }));
    }
    if let Some(zone) = row.key.strip_prefix("evacuate/") {
        return Ok(IntentRow::Evacuation(ZoneName::new(zone)));
    }
    Err(RowError {
        key: row.key.to_string(),
        reason: "unknown key".to_owned(),
    })
}

pub fn decode_worker(row: &StoreRow) -> Result<WorkerReport, RowError> {
    let number: Option<u16> = row
        .key
        .strip_prefix("worker-")
        .and_then(|number| number.parse().ok());
    let boot = std::str::from_utf8(&row.value);
    let boot = boot.ok().and_then(|boot| boot.parse().ok());
    let (Some(number), Some(boot)) = (number, boot) else {
        return Err(RowError {
            key: row.key.to_string(),
            reason: "not a worker".to_owned(),
        });
    };
    Ok(WorkerReport {
        name: InstanceName::new(&row.key),
        instance: Some(InstanceName::new(format!("machine-{number}"))),
        pool: PoolName::new("pool"),
        address: ([127, 0, 0, 1], number).into(),
        zone: ZoneName::new("zone"),
        state: WorkerState::Ready,
        capacity: amount(8_000),
        labels: Vec::new(),
        boot,
        warm_up: Duration::ZERO,
    })
}

fn deployment(version: u64) -> Deployment {
    let queue = QueueRule {
        pool: PoolName::new("pool"),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        slack: Duration::from_millis(600),
        advice: None,
    };
    let team = TeamRule {
        weight: 1.0,
        limit: ResourceAmount::default(),
    };
    let rules = FleetRules {
        version,
        queues: HashMap::from([(QueueName::new("queue"), queue)]),
        pools: HashMap::from([(PoolName::new("pool"), PoolRule { is_spare: false })]),
        teams: HashMap::from([(TeamName::new("team"), team)]),
    };
    let route = |prefix: &str| QueueRoute {
        queue: QueueName::new("queue"),
        host: CompactString::from("host"),
        prefix: CompactString::from(prefix),
        is_open: false,
        timeout: Duration::from_secs(3),
    };
    Deployment {
        version,
        rules: Arc::new(rules),
        routes: vec![route("/a/"), route("/a/b/")],
        keys: HashMap::new(),
        max_body_bytes: 1_000_000,
        max_head_bytes: 16_000,
    }
}

pub fn amount(cpu_millis: u64) -> ResourceAmount {
    ResourceAmount {
        cpu_millis,
        memory_mb: 1_000,
        accelerators: 0,
    }
}
