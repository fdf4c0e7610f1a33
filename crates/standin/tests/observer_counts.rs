//! Each violation counter counts its violation, and nothing else.

use std::time::Duration;

use sesamedeal_standin::observer::{FleetEvent, FleetObserver, ViolationCounts};
use tokio::time::sleep;

/// A start on worker `w` with pool `p`, team `t` and key `k`.
fn started(attempt: &str) -> FleetEvent {
    FleetEvent::Started {
        worker: "w".into(),
        attempt: attempt.into(),
        pool: "p".into(),
        team: "t".into(),
        key: Some("k".into()),
        once: None,
        slots: 1,
        worker_slots: 8,
    }
}

fn ended(attempt: &str) -> FleetEvent {
    FleetEvent::Ended {
        worker: "w".into(),
        attempt: attempt.into(),
    }
}

const NONE: ViolationCounts = ViolationCounts {
    over_slots: 0,
    over_connections: 0,
    over_limit: 0,
    run_twice: 0,
    after_leaving: 0,
    refused_leaving: 0,
    after_withdrawal: 0,
    two_pools: 0,
    over_budget: 0,
};

/// More slots in use than the worker has.
#[tokio::test(start_paused = true)]
async fn over_slots() {
    let observer = FleetObserver::new();
    for number in 0..8 {
        observer.record(started(&format!("a{number}")));
    }
    observer.record(ended("a0"));
    observer.record(started("b"));
    assert_eq!(observer.violations(), NONE);
    observer.record(started("c"));
    assert_eq!(
        observer.violations(),
        ViolationCounts {
            over_slots: 1,
            ..NONE
        }
    );
}

/// More connections than the limit.
#[tokio::test(start_paused = true)]
async fn over_connections() {
    let observer = FleetObserver::new();
    let opened = || FleetEvent::ConnectionOpened {
        worker: "w".into(),
        limit: 2,
    };
    observer.record(opened());
    observer.record(opened());
    observer.record(FleetEvent::ConnectionClosed { worker: "w".into() });
    observer.record(opened());
    assert_eq!(observer.violations(), NONE);
    observer.record(opened());
    let expected = ViolationCounts {
        over_connections: 1,
        ..NONE
    };
    assert_eq!(observer.violations(), expected);
}

/// A start above the team's limit, and a lowered limit that is not kept when it has to be.
#[tokio::test(start_paused = true)]
async fn over_limit() {
    let observer = FleetObserver::new();
    observer.set_team_limit("t", 2, Duration::ZERO);
    observer.record(started("a"));
    observer.record(started("b"));
    assert_eq!(observer.violations(), NONE);
    observer.record(started("c"));
    assert_eq!(
        observer.violations(),
        ViolationCounts {
            over_limit: 1,
            ..NONE
        }
    );
    observer.record(ended("c"));
    observer.set_team_limit("t", 1, Duration::from_secs(5));
    sleep(Duration::from_secs(4)).await;
    assert_eq!(
        observer.violations(),
        ViolationCounts {
            over_limit: 1,
            ..NONE
        }
    );
    sleep(Duration::from_secs(2)).await;
    assert_eq!(
        observer.violations(),
        ViolationCounts {
            over_limit: 2,
            ..NONE
        }
    );
}

/// A limit that is kept at its time must not be counted, although it was exceeded before.
#[tokio::test(start_paused = true)]
async fn lowered_limit() {
    let observer = FleetObserver::new();
    observer.set_team_limit("t", 2, Duration::ZERO);
    observer.record(started("a"));
    observer.record(started("b"));
    observer.set_team_limit("t", 1, Duration::from_secs(5));
    sleep(Duration::from_secs(4)).await;
    observer.record(ended("a"));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(observer.violations(), NONE);
    observer.record(started("c"));
    assert_eq!(
        observer.violations(),
        ViolationCounts {
            over_limit: 1,
            ..NONE
        }
    );
}

/// A non-idempotent job that runs again.
#[tokio::test(start_paused = true)]
async fn run_twice() {
    let observer = FleetObserver::new();
    let once = |attempt: &str, id: &str| {
        let mut event = started(attempt);
        if let FleetEvent::Started { once, .. } = &mut event {
            *once = Some(id.into());
        }
        event
    };
    observer.record(once("a", "order-1"));
    observer.record(once("b", "order-2"));
    assert_eq!(observer.violations(), NONE);
    observer.record(once("c", "order-1"));
    assert_eq!(
        observer.violations(),
        ViolationCounts {
            run_twice: 1,
            ..NONE
        }
    );
}

/// Work on a worker that has been leaving for more than 3 s.
#[tokio::test(start_paused = true)]
async fn after_leaving() {
    let observer = FleetObserver::new();
    let worker = || "w".into();
    observer.record(FleetEvent::Leaving { worker: worker() });
    sleep(Duration::from_secs(3)).await;
    observer.record(started("a"));
    observer.record(FleetEvent::RefusedLeaving { worker: worker() });
    assert_eq!(observer.violations(), NONE);
    sleep(Duration::from_millis(1)).await;
    observer.record(started("b"));
    observer.record(FleetEvent::RefusedLeaving { worker: worker() });
    let expected = ViolationCounts {
        after_leaving: 1,
        refused_leaving: 1,
        ..NONE
    };
    assert_eq!(observer.violations(), expected);
    observer.record(FleetEvent::Returned { worker: worker() });
    observer.record(started("c"));
    assert_eq!(observer.violations(), expected);
}

/// Work of a key, or of a team, that was withdrawn more than 3 s ago.
#[tokio::test(start_paused = true)]
async fn after_withdrawal() {
    for withdraw_team in [false, true] {
        let observer = FleetObserver::new();
        if withdraw_team {
            observer.withdraw_team("t");
        } else {
            observer.withdraw_key("k");
        }
        sleep(Duration::from_secs(3)).await;
        observer.record(started("a"));
        assert_eq!(observer.violations(), NONE);
        sleep(Duration::from_millis(1)).await;
        observer.record(started("b"));
        let expected = ViolationCounts {
            after_withdrawal: 1,
            ..NONE
        };
        assert_eq!(observer.violations(), expected);
    }
}

/// An instance that runs tasks of two pools at the same time.
#[tokio::test(start_paused = true)]
async fn two_pools() {
    let observer = FleetObserver::new();
    let other = |attempt: &str| {
        let mut event = started(attempt);
        if let FleetEvent::Started { pool, .. } = &mut event {
            *pool = "other".into();
        }
        event
    };
    observer.record(started("a"));
    observer.record(ended("a"));
    observer.record(other("b"));
    observer.record(ended("b"));
    observer.record(started("c"));
    assert_eq!(observer.violations(), NONE);
    observer.record(other("d"));
    assert_eq!(
        observer.violations(),
        ViolationCounts {
            two_pools: 1,
            ..NONE
        }
    );
}

/// A planned outage beyond the budget; failures use the budget up but are not counted.
#[tokio::test(start_paused = true)]
async fn over_budget() {
    let observer = FleetObserver::new();
    observer.set_pool_budget("p", 1);
    let out = |worker: &str, planned| FleetEvent::OutOfService {
        worker: worker.into(),
        pool: Some("p".into()),
        planned,
    };
    observer.record(out("w1", true));
    observer.record(FleetEvent::InService {
        worker: "w1".into(),
    });
    observer.record(out("w2", true));
    observer.record(out("w3", false));
    assert_eq!(observer.violations(), NONE);
    observer.record(out("w4", true));
    assert_eq!(
        observer.violations(),
        ViolationCounts {
            over_budget: 1,
            ..NONE
        }
    );
    assert_eq!(observer.violations().total(), 1);
}

/// Tasks of a killed worker must not stay counted as running.
#[tokio::test(start_paused = true)]
async fn killed_worker() {
    let observer = FleetObserver::new();
    observer.set_team_limit("t", 1, Duration::ZERO);
    observer.record(started("a"));
    observer.record(FleetEvent::Killed { worker: "w".into() });
    assert_eq!(observer.team_running("t"), 0);
    observer.record(started("b"));
    assert_eq!(observer.violations(), NONE);
}
