//! Deviation from the fair shares when all callers of one team are at a single entry instance.

mod scheduling;

use std::collections::BTreeMap;

use scheduling::simulation::FleetSimulation;
use scheduling::{at, fleet};

/// Maximum deviation from a team's share, as a fraction of the share.
const TOLERANCE: f64 = 0.05;

const TEAMS: [(&str, u32, u32); 4] = [
    ("one", 3, 1_000),
    ("two", 2, 1_000),
    ("three", 4, 1_000),
    ("four", 1, 1_000),
];

fn assert_shares(used: &BTreeMap<String, f64>, seconds: f64, slots: f64) {
    let total: f64 = used.values().sum();
    assert!(total > 0.95 * seconds * slots, "the pool is not full");
    for (name, share, _) in TEAMS {
        let target = total * f64::from(share) / 10.0;
        let deviation = used[name] / target - 1.0;
        assert!(
            deviation.abs() <= TOLERANCE,
            "{name} deviates from its share by {deviation}"
        );
    }
}

fn simulation(seed: u64) -> FleetSimulation {
    let mut simulation = FleetSimulation::new(fleet(10, &TEAMS, 8), seed);
    simulation.set_callers("one", 0, 160);
    for scheduler in 0..8 {
        for team in ["two", "three", "four"] {
            simulation.set_callers(team, scheduler, 20);
        }
    }
    simulation
}

/// Guards against a team that receives less than its share because all of its callers are at one
/// entry instance.
#[test]
fn single_entry() {
    for seed in [1, 2, 3] {
        let mut simulation = simulation(seed);
        simulation.run_until(at(3_000));
        for window in 1..=3_u64 {
            let used = simulation.run_until(at(3_000 + window * 10_000));
            assert_shares(&used, 10.0, 80.0);
        }
        // The limit for all control traffic of an entry instance is 3 KB/s.
        let rate = simulation.bytes / 8 / 33;
        assert!(rate <= 3_000, "{rate} B/s of exchange");
    }
}

/// Guards against a team whose load surges at a single entry instance and that does not reach its
/// share within 3 s.
#[test]
fn single_surge() {
    for seed in [4, 5, 6] {
        let mut simulation = simulation(seed);
        simulation.run_until(at(15_000));
        simulation.set_callers("one", 0, 8);
        simulation.run_until(at(25_000));
        simulation.set_callers("one", 0, 800);
        simulation.run_until(at(28_000));
        let used = simulation.run_until(at(38_000));
        assert_shares(&used, 10.0, 80.0);
    }
}

/// Guards against a team that holds more than its share for longer than 3 s after a surge at all
/// entry instances.
#[test]
fn surge_recovers() {
    for seed in [1, 2, 3] {
        let mut simulation = simulation(seed);
        simulation.run_until(at(15_000));
        for scheduler in 0..8 {
            simulation.set_callers("three", scheduler, usize::from(scheduler == 1));
        }
        simulation.run_until(at(25_000));
        for scheduler in 0..8 {
            simulation.set_callers("three", scheduler, 100);
        }
        simulation.run_until(at(28_000));
        let used = simulation.run_until(at(38_000));
        assert_shares(&used, 10.0, 80.0);
    }
}
