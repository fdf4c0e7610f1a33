//! Generations and keys when records are delivered out of order and more than once.

mod support;

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use sesamedeal_core::fleet::{
    ApplyError, ChangeRecord, DayTime, FleetChange, FleetState, KeyRecord,
};
use sesamedeal_core::ids::{Generation, KeyId, TeamName};
use sesamedeal_core::keys::{KeyRefusal, recheck_key};
use sesamedeal_core::sheet::{ParsedSheet, check_sheet, sheet_changes};
use support::fuzz::run_machine;
use support::record;

const TEAMS: [&str; 3] = ["t0", "t1", "t2"];
const KEYS: usize = 12;

#[derive(Debug, Clone)]
enum Event {
    /// An operator grants a key to a team. Ids can repeat.
    Grant(usize, usize),
    Withdraw(usize),
    RemoveTeam(usize),
    /// A sheet with a subset of the teams is applied. An earlier subset can recur.
    Sheet(u8),
    /// A record of the log is delivered to the entry instance. Records can arrive in any order and
    /// any number of times.
    Deliver(usize),
    /// A snapshot of the state at a generation is delivered to the entry instance.
    Snapshot(usize),
}

/// Reference model: existing teams, granted keys, and keys that must stay withdrawn.
#[derive(Debug, Clone, Default)]
struct Oracle {
    teams: BTreeSet<usize>,
    granted: Vec<(usize, usize)>,
    withdrawn: BTreeSet<usize>,
}

impl Oracle {
    fn remove_team(&mut self, team: usize) {
        self.teams.remove(&team);
        let team_keys = self.granted.iter().filter(|(_, owner)| *owner == team);
        self.withdrawn.extend(team_keys.map(|(key, _)| key));
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        prop_oneof![
            4 => (0..KEYS, 0..TEAMS.len()).prop_map(|(key, team)| Event::Grant(key, team)),
            2 => (0..KEYS).prop_map(Event::Withdraw),
            1 => (0..TEAMS.len()).prop_map(Event::RemoveTeam),
            2 => (1_u8..8).prop_map(Event::Sheet),
            8 => (0_usize..40).prop_map(Event::Deliver),
            1 => (0_usize..40).prop_map(Event::Snapshot),
        ]
        .boxed()
    }

    fn apply(mut state: Self, event: &Event) -> Self {
        match *event {
            Event::Grant(key, team) => {
                let is_used = state.granted.iter().any(|(id, _)| *id == key);
                if !is_used && state.teams.contains(&team) {
                    state.granted.push((key, team));
                }
            }
            Event::Withdraw(key) if state.granted.iter().any(|(id, _)| *id == key) => {
                state.withdrawn.insert(key);
            }
            Event::RemoveTeam(team) => state.remove_team(team),
            Event::Sheet(mask) => {
                for team in 0..TEAMS.len() {
                    if mask & (1 << team) == 0 {
                        state.remove_team(team);
                    } else {
                        state.teams.insert(team);
                    }
                }
            }
            _ => {}
        }
        state
    }
}

struct Machine {
    head: FleetState,
    log: Vec<ChangeRecord>,
    snapshots: Vec<FleetState>,
    entry: FleetState,
}

fn key_id(key: usize) -> KeyId {
    KeyId::new(format!("k{key}"))
}

fn sheet(mask: u8) -> ParsedSheet {
    let mut text = "at,kind,name,pool,size,max_unavailable,spare,share,limit,open\n".to_owned();
    text.push_str("00:00,pool,spare,,1,1,yes,,,\n");
    for (at, team) in TEAMS.iter().enumerate() {
        if mask & (1 << at) != 0 {
            text.push_str(&format!("00:00,team,{team},,,,,1,5,\n"));
        }
    }
    text.push_str(&format!(",end,,,{},,,,,\n", 1 + mask.count_ones()));
    check_sheet(text.as_bytes()).unwrap()
}

impl Machine {
    fn write(&mut self, changes: Vec<FleetChange>) {
        let record = record(&self.head, changes);
        if self.head.apply(&record).is_ok() {
            self.log.push(record);
            self.snapshots.push(self.head.clone());
        }
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self {
            head: FleetState::default(),
            log: Vec::new(),
            snapshots: Vec::new(),
            entry: FleetState::default(),
        }
    }

    fn apply(mut state: Self, _: &Oracle, event: Event) -> Self {
        let before = state.entry.generation;
        match event {
            Event::Grant(key, team) => state.write(vec![FleetChange::GrantKey {
                id: key_id(key),
                key: KeyRecord {
                    team: TeamName::new(TEAMS[team]),
                    hash: [1; 32],
                    withdrawn: false,
                },
            }]),
            Event::Withdraw(key) => {
                state.write(vec![FleetChange::WithdrawKey { id: key_id(key) }]);
            }
            Event::RemoveTeam(team) => state.write(vec![FleetChange::RemoveTeam {
                name: TeamName::new(TEAMS[team]),
            }]),
            Event::Sheet(mask) => {
                let changes = sheet_changes(&state.head, &sheet(mask), DayTime::new(9, 0));
                state.write(changes);
            }
            Event::Deliver(at) => {
                if let Some(record) = state.log.get(at) {
                    let result = state.entry.apply(record);
                    let is_next = record.generation == before.next();
                    assert_eq!(result.is_ok(), is_next, "{result:?}");
                    assert!(is_next || matches!(result, Err(ApplyError::OutOfOrder { .. })));
                }
            }
            Event::Snapshot(at) => {
                if let Some(found) = state.snapshots.get(at)
                    && found.generation > before
                {
                    let text = serde_json::to_string(found).unwrap();
                    state.entry = serde_json::from_str(&text).unwrap();
                }
            }
        }
        assert!(state.entry.generation >= before);
        state
    }

    fn check_invariants(state: &Self, oracle: &Oracle) {
        for key in 0..KEYS {
            let owner = oracle.granted.iter().find(|(id, _)| *id == key);
            let expected = match owner {
                Some(_) if oracle.withdrawn.contains(&key) => Err(KeyRefusal::Withdrawn),
                Some((_, team)) => Ok(TeamName::new(TEAMS[*team])),
                None => Err(KeyRefusal::Invalid),
            };
            let found = recheck_key(&state.head, &key_id(key)).cloned();
            assert_eq!(found, expected, "{key}");
        }
        // The state of the entry instance equals the log's state at the same generation.
        if state.entry.generation > Generation::ZERO {
            let at = usize::try_from(state.entry.generation.0).unwrap() - 1;
            assert_eq!(state.entry, state.snapshots[at]);
        }
    }
}

/// Guards against a generation that decreases or skips a record, and against a withdrawn key that
/// becomes valid again, for example when an older sheet restores its team.
#[test]
fn reordered_records() {
    run_machine::<Machine>(512, 80);
}
