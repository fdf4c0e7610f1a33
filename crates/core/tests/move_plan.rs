//! Planned moves: their number, timing, choice of instances and balance over zones and racks.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::*;
use sesamedeal_core::fleet::{DayTime, FleetState, SheetItem, SheetRow};
use sesamedeal_core::fleet::{FleetChange, PoolRecord};
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::moves::{DayDemand, PlanPolicy, count_row_by_row, plan_counts, plan_day};
use sesamedeal_core::sheet::{check_sheet, plan_sheet};
use support::flow::lowest_moves;
use support::fuzz::fuzz_config;
use support::{apply, fleet, pool, spare_pool};

fn demand(spare: Option<usize>, sizes: &[Vec<u32>]) -> DayDemand {
    let pools = sizes[0].len();
    let mut demand = DayDemand {
        pools: (0..pools)
            .map(|index| PoolName::new(format!("p{index}")))
            .collect(),
        spare,
        budgets: vec![2; pools],
        closing: vec![false; pools],
        steps: Vec::new(),
    };
    for (index, sizes) in (0..).zip(sizes) {
        demand.push_step(index * 3_600, sizes.clone());
    }
    demand
}

/// Generates days with 2 to 5 pools and 1 to 8 steps. The fleet has at least as many instances as
/// the largest sum of sizes.
fn days() -> impl Strategy<Value = (Vec<Vec<u32>>, Vec<u32>)> {
    (2_usize..=5, 1_usize..=8).prop_flat_map(|(pools, steps)| {
        let sizes = prop::collection::vec(prop::collection::vec(0_u32..7, pools), steps);
        (sizes, prop::collection::vec(0_u32..7, pools), 0_u32..5).prop_map(
            |(sizes, mut counts, extra)| {
                let most = sizes
                    .iter()
                    .map(|step| step.iter().sum::<u32>())
                    .max()
                    .unwrap();
                let total: u32 = counts.iter().sum();
                counts[0] += (most + extra).saturating_sub(total);
                (sizes, counts)
            },
        )
    })
}

proptest! {
    #![proptest_config(fuzz_config(512))]

    /// Guards against a plan with more moves than necessary, and one that leaves a pool below its
    /// size.
    #[test]
    fn lowest_number((sizes, counts) in days(), has_spare in any::<bool>()) {
        let demand = demand(has_spare.then_some(0), &sizes);
        let plan = plan_counts(&demand, &counts);
        for (step, sizes) in plan.steps.iter().zip(&sizes) {
            prop_assert_eq!(step.counts.iter().sum::<u32>(), counts.iter().sum::<u32>());
            for (count, size) in step.counts.iter().zip(sizes) {
                prop_assert!(count >= size);
            }
            prop_assert_eq!(step.shortage, 0);
        }
        prop_assert_eq!(plan.move_count() as i64, lowest_moves(&demand, &counts));
    }
}

/// Guards against an error in the reference solution, with a day whose lowest number of moves is
/// known.
#[test]
fn known_optimum() {
    // Two instances move from pool 0 to pool 1 and back, one more moves to pool 2. Both pools need
    // the two instances, so 2 + 2 + 1 moves are unavoidable.
    let demand = demand(None, &[vec![4, 0, 0], vec![1, 2, 1], vec![3, 0, 1]]);
    assert_eq!(lowest_moves(&demand, &[4, 0, 0]), 5);
    assert_eq!(plan_counts(&demand, &[4, 0, 0]).move_count(), 5);
}

/// Guards against moves that a later row reverses although no pool needs the instances in between.
#[test]
fn reversed_moves() {
    let demand = demand(Some(0), &[vec![0, 5, 5], vec![0, 1, 5], vec![0, 5, 5]]);
    assert_eq!(plan_counts(&demand, &[2, 5, 5]).move_count(), 0);
    assert_eq!(count_row_by_row(&demand, &[2, 5, 5]), 8);
}

/// Guards against taking instances from other pools while the spare pool has more than its reserve,
/// and against keeping the reserve while a pool lacks instances.
#[test]
fn spare_first() {
    let surplus = demand(Some(0), &[vec![2, 4, 2]]);
    let moves = &plan_counts(&surplus, &[4, 3, 5]).steps[0].moves;
    assert_eq!((moves.len(), moves[0].from, moves[0].count), (1, 0, 1));
    let short = demand(Some(0), &[vec![3, 5, 0]]);
    let step = &plan_counts(&short, &[3, 3, 0]).steps[0];
    assert_eq!((step.counts.clone(), step.shortage), (vec![1, 5, 0], 0));
    let missing = demand(Some(0), &[vec![0, 9, 2]]);
    let step = &plan_counts(&missing, &[1, 3, 2]).steps[0];
    assert_eq!((step.counts.clone(), step.shortage), (vec![0, 4, 2], 5));
}

fn put_sheet(state: &mut FleetState, rows: Vec<SheetRow>) {
    let applied = DayTime::new(10, 0);
    apply(state, vec![FleetChange::PutSheet { rows, applied }]).unwrap();
}

fn pool_row(minute: u16, name: &str, pool: PoolRecord) -> SheetRow {
    let name = PoolName::new(name);
    SheetRow {
        minute,
        item: SheetItem::Pool { name, pool },
    }
}

/// Guards against moves that take most instances from one zone or rack of a pool.
#[test]
fn zones_balanced() {
    let mut state = fleet(&[("a", 48, 4, 48), ("b", 16, 4, 16), ("spare", 0, 4, 0)]);
    put_sheet(
        &mut state,
        vec![
            pool_row(0, "a", pool(48, 4)),
            pool_row(60, "a", pool(28, 4)),
            pool_row(0, "b", pool(16, 4)),
            pool_row(60, "b", pool(36, 4)),
        ],
    );
    let plan = plan_day(&state, DayTime::new(10, 0), &PlanPolicy::default());
    let moves: Vec<_> = plan
        .moves
        .iter()
        .filter(|planned| planned.from.as_str() == "a")
        .collect();
    assert_eq!(moves.len(), 20);
    let (mut zones, mut racks) = (BTreeMap::new(), BTreeMap::new());
    for planned in moves {
        let instance = &state.instances[&planned.instance];
        *zones.entry(&instance.zone).or_insert(0) += 1;
        *racks.entry(&instance.rack).or_insert(0) += 1;
    }
    assert!(
        zones.len() == 4 && zones.values().all(|&count| count == 5),
        "{zones:?}"
    );
    assert!(racks.values().all(|&count| count <= 2), "{racks:?}");
}

/// Guards against plan weights without effect: with a high weight of the buffer, instances that no
/// pool needs go to working pools instead of staying in the spare pool.
#[test]
fn policies_differ() {
    let mut state = fleet(&[("a", 10, 2, 10), ("b", 20, 2, 20), ("spare", 2, 4, 8)]);
    put_sheet(&mut state, vec![pool_row(0, "spare", spare_pool(2, 4))]);
    let start = DayTime::new(10, 0);
    let trust = plan_day(&state, start, &PlanPolicy::with_short_rollout());
    let consorcio = plan_day(&state, start, &PlanPolicy::with_low_share_deviation());
    assert_eq!(trust.moves.len(), 0);
    assert_eq!(consorcio.moves.len(), 6);
    assert!(consorcio.measures.buffer_hours < trust.measures.buffer_hours / 2.0);
    let to_b = consorcio
        .moves
        .iter()
        .filter(|planned| planned.to.as_str() == "b")
        .count();
    assert_eq!(to_b, 4);
}

/// Guards against moves that start only when the row is due although instances are free earlier.
#[test]
fn early_start() {
    let mut state = fleet(&[("a", 4, 2, 4), ("spare", 0, 2, 8)]);
    put_sheet(
        &mut state,
        vec![pool_row(0, "a", pool(4, 2)), pool_row(60, "a", pool(12, 2))],
    );
    let plan = plan_day(
        &state,
        DayTime::new(10, 0),
        &PlanPolicy::with_short_rollout(),
    );
    // 8 instances leave in 4 rounds of 15 s.
    assert_eq!(plan.lead_seconds, 60);
    assert_eq!(plan.moves.len(), 8);
    assert!(plan.moves.iter().all(|planned| planned.second == 3_540));
    assert_eq!(plan.measures.rollout_seconds, 0.0);
}

/// Guards against plans of the example sheets with more moves than the lowest possible number, or
/// without an advantage over applying the rows one by one. Prints the numbers of moves.
#[test]
fn example_sheets() {
    for (text, policy) in [
        (
            include_str!("../../../examples/trust.csv"),
            PlanPolicy::with_short_rollout(),
        ),
        (
            include_str!("../../../examples/consorcio.csv"),
            PlanPolicy::with_low_share_deviation(),
        ),
    ] {
        let sheet = check_sheet(text.as_bytes()).unwrap();
        let start = DayTime::new(1_000, 3_600);
        let empty = FleetState::default();
        let plan = plan_sheet(&empty, &sheet, start, &policy, false).unwrap();
        let mut sized = FleetState::default();
        apply(&mut sized, plan.changes).unwrap();
        let pools: Vec<(&str, u32, u32, u32)> = sized
            .pools
            .iter()
            .map(|(name, pool)| (name.as_str(), pool.size, pool.max_unavailable, pool.size))
            .collect();
        let state = fleet(&pools);
        let plan = plan_sheet(&state, &sheet, start, &policy, true).unwrap();
        let mut next = state.clone();
        apply(&mut next, plan.changes.clone()).unwrap();
        let demand = DayDemand::with_state(&next, start);
        let counts = demand.count_instances(&next);
        let lowest = lowest_moves(&demand, &counts);
        println!(
            "moves {} lowest {lowest} row by row {} measures {:?}",
            plan.day.moves.len(),
            plan.row_by_row_moves,
            plan.day.measures
        );
        assert_eq!(plan.day.moves.len() as i64, lowest);
        assert!(plan.row_by_row_moves > plan.day.moves.len() as u64);
    }
}
