//! A policy service that handles one request at a time, slowly.

mod jobs;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use jobs::{JobWorld, at, job, rules, step};
use sesamedeal_core::ids::{InstanceName, QueueName};
use sesamedeal_core::jobs::{
    AdviceOutcome, AdviceRequest, AdviceRule, JobId, JobPhase, ResourceAmount,
};

/// Time for which a ticket is valid, in milliseconds from the answer.
const VALID_MS: u64 = 3_000;

/// Number of rounds in a second.
const SECOND: usize = 20;

#[derive(Debug)]
struct OpenRequest {
    request: AdviceRequest,
    sent: u64,
    /// Whether the owner has given the request up.
    is_abandoned: bool,
}

/// The service. It works through an abandoned request that it has begun, and skips the others.
#[derive(Debug)]
struct PolicyService {
    rule: AdviceRule,
    waiting: VecDeque<OpenRequest>,
    /// When the work on the first request ends.
    busy_until: Option<u64>,
    lost: Vec<OpenRequest>,
    /// Number of requests that are still to be lost.
    losses: usize,
    is_refusing: bool,
    asked: usize,
}

impl PolicyService {
    fn new(rule: AdviceRule) -> Self {
        Self {
            rule,
            waiting: VecDeque::new(),
            busy_until: None,
            lost: Vec::new(),
            losses: 0,
            is_refusing: false,
            asked: 0,
        }
    }

    fn advance(&mut self, world: &mut JobWorld) {
        let now = world.now;
        for entry in self.waiting.iter_mut().chain(&mut self.lost) {
            let timeout = u64::try_from(entry.request.timeout.as_millis()).unwrap();
            if !entry.is_abandoned && now >= entry.sent + timeout {
                entry.is_abandoned = true;
                end(world, entry, AdviceOutcome::Unanswered);
            }
        }
        if self.busy_until.is_some_and(|end| end <= now) {
            self.busy_until = None;
            let entry = self.waiting.pop_front().unwrap();
            if !entry.is_abandoned {
                self.answer(world, &entry);
            }
        }
        if self.busy_until.is_none() {
            self.waiting.retain(|entry| !entry.is_abandoned);
            let next = self.waiting.front();
            self.busy_until = next.map(|entry| {
                let work = self.rule.answer_time(entry.request.workers.len());
                now + u64::try_from(work.as_millis()).unwrap()
            });
        }
    }

    fn answer(&self, world: &mut JobWorld, entry: &OpenRequest) {
        let expiry = CompactString::from((world.now + VALID_MS).to_string());
        let names = entry.request.workers.iter();
        let names = names.map(|key| world.dispatcher.worker(*key).unwrap().name.clone());
        let allowed: HashMap<InstanceName, CompactString> =
            names.map(|name| (name, expiry.clone())).collect();
        let answer = AdviceOutcome::Answered {
            allowed: &allowed,
            valid: Duration::from_millis(VALID_MS),
        };
        end(world, entry, answer);
    }

    fn ask(&mut self, world: &mut JobWorld) {
        for request in world.dispatcher.take_advice_requests(at(world.now)) {
            self.asked += 1;
            let entry = OpenRequest {
                request,
                sent: world.now,
                is_abandoned: false,
            };
            if self.is_refusing {
                end(world, &entry, AdviceOutcome::Refused);
            } else if self.losses > 0 {
                self.losses -= 1;
                self.lost.push(entry);
            } else {
                self.waiting.push_back(entry);
            }
        }
    }

    fn run(&mut self, world: &mut JobWorld, rounds: usize) {
        for _ in 0..rounds {
            world.round();
            self.advance(world);
            self.ask(world);
        }
    }
}

fn end(world: &mut JobWorld, entry: &OpenRequest, outcome: AdviceOutcome<'_>) {
    let now = at(world.now);
    world.dispatcher.note_advice(&entry.request, outcome, now);
}

fn setup(decide_ms: u64, worker_ms: u64, workers: usize) -> (JobWorld, PolicyService) {
    let rule = AdviceRule {
        decide_time: Duration::from_millis(decide_ms),
        worker_time: Duration::from_millis(worker_ms),
    };
    let mut rules = Arc::unwrap_or_clone(rules(ResourceAmount::default()));
    let queue = rules.queues.get_mut(&QueueName::new("queue")).unwrap();
    queue.advice = Some(rule);
    let mut world = JobWorld::with_rules(workers, 1, Arc::new(rules));
    world.run(2);
    (world, PolicyService::new(rule))
}

fn submit(world: &mut JobWorld, count: u64) -> Vec<JobId> {
    let ids = 0..count;
    ids.map(|id| world.submit(id, job(vec![step(2, 1_000)])))
        .collect()
}

fn unfinished(world: &JobWorld, ids: &[JobId]) -> usize {
    let open = ids.iter();
    open.filter(|id| world.phase(**id) != JobPhase::Finished)
        .count()
}

fn assert_sound(world: &JobWorld) {
    let violations = &world.violations;
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against requests that are given up in turn, so that after a burst no job gets a ticket.
#[test]
fn burst_of_jobs() {
    let (mut world, mut service) = setup(1_600, 0, 4);
    let ids = submit(&mut world, 12);
    service.run(&mut world, 22 * SECOND);
    assert_eq!(unfinished(&world, &ids), 0);
    assert_eq!(service.asked, 12, "requests were repeated");
    assert_sound(&world);
}

/// Guards against queues without any ticket whose service takes longer for one request than the
/// tickets are valid.
#[test]
fn slow_decisions() {
    let (mut world, mut service) = setup(3_400, 0, 4);
    let ids = submit(&mut world, 4);
    service.run(&mut world, 16 * SECOND);
    assert_eq!(unfinished(&world, &ids), 0);
    assert_sound(&world);
}

/// Guards against requests that are given up because they name many workers.
#[test]
fn many_workers() {
    let (mut world, mut service) = setup(40, 700, 6);
    let ids = submit(&mut world, 3);
    service.run(&mut world, 16 * SECOND);
    assert_eq!(unfinished(&world, &ids), 0);
    assert_sound(&world);
}

/// Guards against a service that is slower than the configuration says, so that each request is
/// given up while the service works on it.
#[test]
fn slower_service() {
    let (mut world, mut service) = setup(1_600, 0, 4);
    service.rule.decide_time *= 3;
    let ids = submit(&mut world, 3);
    service.run(&mut world, 40 * SECOND);
    assert_eq!(unfinished(&world, &ids), 0);
    assert_sound(&world);
}

/// Guards against a queue that waits for a service which has lost requests.
#[test]
fn lost_requests() {
    let (mut world, mut service) = setup(100, 0, 4);
    let ids = submit(&mut world, 3);
    service.losses = 2;
    service.run(&mut world, 4 * SECOND);
    assert_eq!(unfinished(&world, &ids), 0);
    assert_sound(&world);
}

/// Guards against a queue that waits longer and longer for a service which has turned requests away.
#[test]
fn refused_requests() {
    let (mut world, mut service) = setup(100, 0, 4);
    let ids = submit(&mut world, 6);
    service.is_refusing = true;
    service.run(&mut world, 5 * SECOND);
    assert!(service.asked > 10, "asked {} times", service.asked);
    service.is_refusing = false;
    service.run(&mut world, 3 * SECOND);
    assert_eq!(unfinished(&world, &ids), 0);
    assert_sound(&world);
}
