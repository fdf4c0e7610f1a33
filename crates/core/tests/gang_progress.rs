//! Saved progress of gangs.

mod jobs;

use compact_str::CompactString;
use jobs::{JobWorld, at, job, step};
use sesamedeal_core::jobs::{EndKind, HoldReport, RunEnd, RunReport, StartOrder};

/// Plans and returns the starts with the indexes of their workers.
fn plan_starts(world: &mut JobWorld) -> Vec<(usize, StartOrder)> {
    let starts = world.plan_starts().into_iter();
    let index = |key| {
        world
            .workers
            .iter()
            .position(|worker| worker.key == Some(key))
    };
    starts
        .map(|(key, order)| (index(key).unwrap(), order))
        .collect()
}

fn report(world: &mut JobWorld, index: usize, running: Vec<RunReport>, ended: Vec<RunEnd>) {
    let now = at(world.now);
    let report = HoldReport {
        sent: now,
        clock_ms: world.now,
        boot: world.workers[index].report.boot,
        running,
        ended,
    };
    let key = world.workers[index].key.unwrap();
    world.dispatcher.note_hold(key, &report, now);
}

/// Guards against a gang that never ends: after the crash of a worker its members were started with
/// the progress that each of them had reported last, and they work together only with the same.
#[test]
fn same_progress() {
    let mut world = JobWorld::new(3, 1);
    world.run(2);
    let mut spec = step(2, 8_000);
    spec.is_gang = true;
    spec.saves_progress = true;
    world.submit(1, job(vec![spec]));
    let starts = plan_starts(&mut world);
    assert_eq!(starts.len(), 2);
    for (number, (index, order)) in starts.iter().enumerate() {
        let run = RunReport {
            task: order.task,
            run: order.run,
            saved: CompactString::from(format!("early-{number}")),
            percent: 20.0,
            gauge: None,
        };
        report(&mut world, *index, vec![run], Vec::new());
    }
    // One worker is started again, and the other member ends with newer progress.
    world.now += 500;
    let (crashed, _) = starts[1];
    world.restart(crashed);
    world.list_workers();
    let (index, order) = &starts[0];
    let end = RunEnd {
        number: 1,
        task: order.task,
        run: order.run,
        kind: EndKind::Broken,
        saved: CompactString::from("newest"),
    };
    report(&mut world, *index, Vec::new(), vec![end]);
    world.now += 3_000;
    for index in 0..world.workers.len() {
        if index != starts[0].0 {
            report(&mut world, index, Vec::new(), Vec::new());
        }
    }
    store_records(&mut world);
    assert!(plan_starts(&mut world).is_empty(), "the plan is not stored");
    store_records(&mut world);
    let again = plan_starts(&mut world);
    let saved: Vec<&str> = again
        .iter()
        .map(|(_, order)| order.saved.as_str())
        .collect();
    assert_eq!(saved, ["newest", "newest"]);
}

fn store_records(world: &mut JobWorld) {
    let batch = world.dispatcher.take_records(72, world.now);
    world.dispatcher.note_stored(&batch, at(world.now));
}
