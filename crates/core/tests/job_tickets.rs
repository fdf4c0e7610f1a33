//! Queues whose tasks need a ticket from the policy service.

mod jobs;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use jobs::{JobWorld, at, job, rules, step};
use sesamedeal_core::ids::{InstanceName, QueueName};
use sesamedeal_core::jobs::{
    AdviceOutcome, AdviceRequest, AdviceRule, ResourceAmount, StartOutcome, WorkerKey,
};

const QUICK_ADVICE: AdviceRule = AdviceRule {
    decide_time: Duration::from_millis(50),
    worker_time: Duration::ZERO,
};

fn world() -> JobWorld {
    let mut rules = Arc::unwrap_or_clone(rules(ResourceAmount::default()));
    let queue = rules.queues.get_mut(&QueueName::new("queue")).unwrap();
    queue.advice = Some(QUICK_ADVICE);
    let mut world = JobWorld::with_rules(3, 1, Arc::new(rules));
    world.submit(1, job(vec![step(2, 1_000)]));
    world.run(2);
    world
}

fn take_requests(world: &mut JobWorld) -> Vec<AdviceRequest> {
    world.dispatcher.take_advice_requests(at(world.now))
}

fn name(world: &JobWorld, key: WorkerKey) -> InstanceName {
    world.dispatcher.worker(key).unwrap().name.clone()
}

/// Answers a request with a ticket for one of its workers.
fn allow(world: &mut JobWorld, request: &AdviceRequest, index: usize, valid: Duration) {
    let worker = name(world, request.workers[index]);
    let allowed = HashMap::from([(worker, CompactString::from("ticket"))]);
    let now = at(world.now);
    let allowed = &allowed;
    let answer = AdviceOutcome::Answered { allowed, valid };
    world.dispatcher.note_advice(request, answer, now);
}

/// Guards against starts without a ticket or on workers that the service does not allow.
#[test]
fn allowed_workers() {
    let mut world = world();
    assert_eq!(world.starts, 0, "started without a ticket");
    let request = take_requests(&mut world).remove(0);
    assert_eq!(request.workers.len(), 3);
    assert!(
        take_requests(&mut world).is_empty(),
        "requested again before the response"
    );
    allow(&mut world, &request, 1, Duration::from_secs(3));
    world.run(2);
    assert_eq!(world.starts, 2);
    let key = Some(request.workers[1]);
    let worker = world.workers.iter().find(|worker| worker.key == key);
    assert_eq!(worker.unwrap().tasks().len(), 2);
}

/// Guards against the use of expired tickets, and advice requests that are not repeated.
#[test]
fn tickets_expire() {
    let mut world = world();
    let request = take_requests(&mut world).remove(0);
    allow(&mut world, &request, 0, Duration::from_millis(300));
    world.run(2);
    assert_eq!(
        world.starts, 0,
        "the ticket would expire before it reaches the worker"
    );
    let again = take_requests(&mut world).remove(0);
    assert_eq!(
        again.workers,
        [request.workers[0]],
        "denied workers are not requested again"
    );
    let now = at(world.now);
    let outcome = AdviceOutcome::Unanswered;
    world.dispatcher.note_advice(&again, outcome, now);
    assert!(
        take_requests(&mut world).is_empty(),
        "requested again at once"
    );
    world.run(8);
    assert_eq!(take_requests(&mut world).len(), 1);
}

/// Guards against a worker that counts as denied for good because the list did not have it when the
/// answer with its ticket came.
#[test]
fn unlisted_worker() {
    let mut world = world();
    let request = take_requests(&mut world).remove(0);
    let names: Vec<InstanceName> = request
        .workers
        .iter()
        .map(|key| name(&world, *key))
        .collect();
    for name in &names {
        world.dispatcher.unlist_worker(name);
    }
    allow(&mut world, &request, 0, Duration::from_secs(3));
    world.run(2);
    assert_eq!(world.starts, 0, "started on a worker that is not listed");
    world.list_workers();
    world.run(2);
    assert_eq!(world.starts, 2);
}

/// Guards against requests that are repeated for denied workers which the list has dropped for a
/// while.
#[test]
fn denied_worker() {
    let mut world = world();
    let request = take_requests(&mut world).remove(0);
    world
        .dispatcher
        .unlist_worker(&name(&world, request.workers[1]));
    allow(&mut world, &request, 0, Duration::from_millis(300));
    world.list_workers();
    world.run(2);
    let again = take_requests(&mut world).remove(0);
    assert_eq!(again.workers, [request.workers[0]]);
}

/// Guards against tickets and denials that outlive the start of the worker which they are for, also
/// if the worker is started again while a request is under way.
#[test]
fn restarted_worker() {
    for is_requesting in [false, true] {
        let mut world = world();
        let request = take_requests(&mut world).remove(0);
        if !is_requesting {
            allow(&mut world, &request, 0, Duration::from_millis(300));
        }
        for worker in &mut world.workers {
            worker.report.boot += 1;
        }
        world.list_workers();
        if is_requesting {
            allow(&mut world, &request, 0, Duration::from_secs(3));
        }
        world.run(2);
        assert_eq!(
            world.starts, 0,
            "started with a ticket for an earlier start"
        );
        let again = take_requests(&mut world).remove(0);
        assert_eq!(again.workers.len(), 3);
    }
}

/// Guards against starts that are repeated with a ticket which the worker has refused.
#[test]
fn refused_ticket() {
    let mut world = world();
    let request = take_requests(&mut world).remove(0);
    allow(&mut world, &request, 0, Duration::from_secs(3));
    let starts = world.plan_starts();
    assert_eq!(starts.len(), 2);
    for (key, order) in starts {
        world.answer_start(key, &order, StartOutcome::TicketRefused);
    }
    world.run(1);
    assert_eq!(world.starts, 0, "started with a refused ticket");
    let again = take_requests(&mut world).remove(0);
    assert_eq!(again.workers, [request.workers[0]]);
    allow(&mut world, &again, 0, Duration::from_secs(3));
    world.run(1);
    assert_eq!(world.starts, 2);
}
