//! Tests of the session view and the settled generation.

mod support;

use std::time::Duration;

use sesamedeal_core::fleet::SessionView;
use sesamedeal_core::ids::{Generation, SessionId};
use sesamedeal_core::membership::{
    ListedInstance, MembershipPolicy, SessionRecord, SessionState, SessionTracker,
};
use sesamedeal_core::time::TimePoint;
use support::world::{entry_instance, session};

struct Case {
    tracker: SessionTracker,
    sessions: Vec<SessionRecord>,
    list: Vec<ListedInstance>,
    view: SessionView,
    second: u64,
}

impl Case {
    fn new(entries: u64) -> Self {
        let sessions: Vec<_> = (0..entries).map(session).collect();
        Self {
            tracker: SessionTracker::new(MembershipPolicy::new()),
            list: sessions.iter().map(entry_instance).collect(),
            sessions,
            view: SessionView::default(),
            second: 0,
        }
    }

    /// Observes once per second while the sessions in `renewing` renew their rows.
    fn run(&mut self, seconds: u64, renewing: &[u64]) {
        for _ in 0..seconds {
            self.second += 1;
            for record in &mut self.sessions {
                record.renewals += u64::from(renewing.contains(&(record.session.0 - 1)));
            }
            let now = TimePoint::new(Duration::from_secs(self.second));
            self.tracker.observe(&self.sessions, &self.list, now);
            self.view = self.tracker.view(&self.view, &self.sessions);
        }
    }

    fn settled(&self, current: u64) -> u64 {
        let current = Generation(current);
        let report = self
            .tracker
            .settled(current, &self.view, &self.sessions, &self.list);
        report.settled.0
    }

    fn quiesce(&mut self, number: usize, generation: u64) {
        self.sessions[number].quiesced = Generation(generation);
    }

    fn members(&self) -> Vec<u64> {
        self.view.sessions.iter().map(|id| id.0 - 1).collect()
    }
}

/// Guards against a generation that settles before a listed entry instance has quiesced it, even
/// if the instance has been frozen for a long time.
#[test]
fn frozen_blocks() {
    let mut case = Case::new(3);
    case.run(2, &[0, 1, 2]);
    for number in 0..3 {
        case.quiesce(number, 5);
    }
    assert_eq!(case.settled(5), 5);
    case.quiesce(0, 7);
    case.quiesce(1, 7);
    case.run(600, &[0, 1]);
    assert_eq!(case.settled(7), 5);
    case.quiesce(2, 7);
    assert_eq!(case.settled(7), 7);
}

/// Guards against a generation that settles while work of a killed entry instance is still running.
/// The list lag of 10 s, the task lease of 10 s and the clock margin of 0.5 s must pass first.
#[test]
fn absence_waits() {
    let mut case = Case::new(2);
    case.run(2, &[0, 1]);
    case.quiesce(0, 3);
    case.list.remove(1);
    case.run(10, &[0]);
    assert_eq!(case.members(), [0, 1]);
    case.run(2, &[0]);
    assert_eq!(case.members(), [0]);
    assert_eq!(
        case.settled(3),
        0,
        "session has left the view but its work may still be running"
    );
    case.run(9, &[0]);
    assert_eq!(case.settled(3), 0);
    case.run(1, &[0]);
    assert_eq!(case.settled(3), 3);
}

/// Guards against an absence time that continues although the session was listed in between.
#[test]
fn reappearance_resets() {
    let mut case = Case::new(2);
    case.run(2, &[0, 1]);
    let entry = case.list.remove(1);
    case.run(9, &[0, 1]);
    case.list.push(entry.clone());
    case.run(1, &[0, 1]);
    case.list.pop();
    case.run(10, &[0, 1]);
    assert_eq!(case.members(), [0, 1]);
    // The controller was paused, so the session may have been listed in the meantime.
    case.second += 60;
    case.run(5, &[0, 1]);
    assert_eq!(case.members(), [0, 1]);
}

/// Guards against a restarted process whose previous session blocks settling forever, or stops
/// counting before its work must have ended.
#[test]
fn restart_supersedes() {
    let mut case = Case::new(2);
    case.run(2, &[0, 1]);
    let mut restarted = session(2);
    restarted.instance = case.sessions[1].instance.clone();
    restarted.address = case.sessions[1].address.clone();
    restarted.quiesced = Generation(4);
    case.sessions.push(restarted);
    case.quiesce(0, 4);
    case.run(12, &[0, 2]);
    assert_eq!(case.members(), [0, 1, 2]);
    case.run(1, &[0, 2]);
    assert_eq!(case.members(), [0, 2]);
    assert_eq!(case.settled(4), 0);
    case.run(10, &[0, 2]);
    assert_eq!(case.settled(4), 4);
}

/// Guards against a new controller that drops an absent session immediately, or adds the sessions
/// of dead processes to the view.
#[test]
fn takeover_restarts_absence() {
    let mut case = Case::new(3);
    case.run(2, &[0, 1, 2]);
    case.list.truncate(2);
    case.run(15, &[0, 1]);
    assert_eq!(case.members(), [0, 1]);
    case.tracker = SessionTracker::new(MembershipPolicy::new());
    case.quiesce(0, 2);
    case.quiesce(1, 2);
    case.run(20, &[0, 1]);
    assert_eq!(case.members(), [0, 1]);
    assert_eq!(case.settled(2), 0);
    case.run(2, &[0, 1]);
    assert_eq!(case.settled(2), 2);
}

/// Guards against a session that still blocks settling after it has left in order, or that is
/// removed from the view before it has left.
#[test]
fn leaving_in_order() {
    let mut case = Case::new(2);
    case.run(2, &[0, 1]);
    case.sessions[1].state = SessionState::Leaving;
    case.run(2, &[0, 1]);
    assert_eq!(case.members(), [0, 1]);
    case.quiesce(0, 6);
    assert_eq!(case.settled(6), 0);
    case.sessions[1].state = SessionState::Left;
    assert_eq!(case.settled(6), 6);
    case.run(1, &[0]);
    assert_eq!(case.members(), [0]);
}

/// Guards against a generation that settles while a listed entry instance or a session of the view
/// has no session row.
#[test]
fn unknown_blocks() {
    let mut case = Case::new(1);
    case.run(2, &[0]);
    case.quiesce(0, 3);
    case.list.push(entry_instance(&session(9)));
    assert_eq!(case.settled(3), 0);
    case.list.pop();
    case.view = SessionView::new(vec![SessionId(1), SessionId(77)]);
    assert_eq!(case.settled(3), 0);
}
