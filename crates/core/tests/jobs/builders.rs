use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use sesamedeal_core::ids::{InstanceName, PoolName, QueueName, TeamName, ZoneName};
use sesamedeal_core::jobs::{
    FleetRules, JobOrder, PoolRule, QueueRule, ResourceAmount, StepSpec, TeamRule, WorkerReport,
    WorkerState,
};
use sesamedeal_core::time::TimePoint;

use super::ATTEMPTS;

pub fn amount(cpu_millis: u64, memory_mb: u64) -> ResourceAmount {
    ResourceAmount {
        cpu_millis,
        memory_mb,
        accelerators: 0,
    }
}

pub fn step(count: u16, cpu_millis: u64) -> StepSpec {
    StepSpec {
        count,
        amount: amount(cpu_millis, 1_000),
        estimate: Duration::from_millis(500),
        ..StepSpec::default()
    }
}

pub fn job(steps: Vec<StepSpec>) -> JobOrder {
    JobOrder {
        queue: QueueName::new("queue"),
        team: Some(TeamName::new("team")),
        accepted_ms: 0,
        spec: CompactString::from("spec"),
        steps,
        schedule: None,
        rules: None,
    }
}

pub fn rules(limit: ResourceAmount) -> Arc<FleetRules> {
    let queue = QueueRule {
        pool: PoolName::new("pool"),
        priority: 0,
        attempts: ATTEMPTS,
        stretch: 1.6,
        slack: Duration::from_millis(600),
        advice: None,
    };
    let team = TeamRule { weight: 1.0, limit };
    Arc::new(FleetRules {
        version: 1,
        queues: HashMap::from([(QueueName::new("queue"), queue)]),
        pools: HashMap::from([(PoolName::new("pool"), PoolRule { is_spare: false })]),
        teams: HashMap::from([(TeamName::new("team"), team)]),
    })
}

pub fn worker_report(number: usize, boot: u64) -> WorkerReport {
    WorkerReport {
        name: InstanceName::new(format!("worker-{number}")),
        instance: Some(InstanceName::new(format!("instance-{number}"))),
        pool: PoolName::new("pool"),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::new("zone"),
        state: WorkerState::Ready,
        capacity: amount(8_000, 16_000),
        labels: vec![CompactString::from("rack-1")],
        boot,
        warm_up: Duration::ZERO,
    }
}

pub fn at(millis: u64) -> TimePoint {
    TimePoint::with_millis(millis)
}
