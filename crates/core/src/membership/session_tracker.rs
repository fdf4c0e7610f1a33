use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{EntryRole, ListedInstance, SessionRecord, SessionState};
use crate::fleet::SessionView;
use crate::ids::{Generation, InstanceName, SessionId};
use crate::time::TimePoint;

/// Time limits for absent sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Maximum lag of the platform's instance list.
    pub list_lag: Duration,
    /// Maximum time that a task may run on a worker.
    pub task_lease: Duration,
    /// Allowance for clock differences between machines.
    pub clock_margin: Duration,
}

impl MembershipPolicy {
    /// Creates the default policy: 10 s, 10 s and 500 ms.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            list_lag: Duration::from_secs(10),
            task_lease: Duration::from_secs(10),
            clock_margin: Duration::from_millis(500),
        }
    }

    /// Returns the absence after which no work that a session started can still be running.
    #[must_use]
    pub fn stopped_after(&self) -> Duration {
        self.list_lag + self.task_lease + self.clock_margin
    }
}

impl Default for MembershipPolicy {
    fn default() -> Self {
        Self::new()
    }
}

/// Highest settled generation, with the sessions and instances that block a higher one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SettledReport {
    /// Highest settled generation.
    pub settled: Generation,
    /// Sessions whose quiesced generation is below the current one.
    pub outstanding: Vec<SessionId>,
    /// Listed entry instances that have no session row.
    pub unknown: Vec<InstanceName>,
}

#[derive(Debug)]
struct SessionTrack {
    renewals: u64,
    renewed_at: TimePoint,
    has_renewed: bool,
    absent_since: Option<TimePoint>,
    is_listed: bool,
}

/// Tracks session rows and the platform's instance list by the controller's clock.
///
/// A new controller creates a new tracker, which restarts all absence times.
#[derive(Debug)]
pub struct SessionTracker {
    policy: MembershipPolicy,
    tracks: BTreeMap<SessionId, SessionTrack>,
    observed_at: TimePoint,
}

/// Time between two observations above which absence times restart, because a session may have
/// been listed in between.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(5);

impl SessionTracker {
    /// Creates a tracker without observations.
    #[must_use]
    pub const fn new(policy: MembershipPolicy) -> Self {
        Self {
            policy,
            tracks: BTreeMap::new(),
            observed_at: TimePoint::ORIGIN,
        }
    }

    /// Records the session rows and the instance list read at `now`.
    pub fn observe(&mut self, sessions: &[SessionRecord], list: &[ListedInstance], now: TimePoint) {
        if now.since(self.observed_at) > MAX_OBSERVATION_GAP {
            for track in self.tracks.values_mut() {
                track.absent_since = None;
            }
        }
        self.observed_at = now;
        let known: BTreeSet<SessionId> = sessions.iter().map(|record| record.session).collect();
        self.tracks.retain(|session, _| known.contains(session));
        let listed: BTreeSet<&InstanceName> =
            entry_instances(list).map(|entry| &entry.name).collect();
        for record in sessions {
            self.record_renewal(record, now);
        }
        for record in sessions {
            let is_listed = listed.contains(&record.instance);
            let is_absent = !is_listed || self.is_superseded(record, sessions);
            if let Some(track) = self.tracks.get_mut(&record.session) {
                track.is_listed = !is_absent;
                track.absent_since = if is_absent {
                    track.absent_since.or(Some(now))
                } else {
                    None
                };
            }
        }
    }

    fn record_renewal(&mut self, record: &SessionRecord, now: TimePoint) {
        let track = self
            .tracks
            .entry(record.session)
            .or_insert_with(|| SessionTrack {
                renewals: record.renewals,
                renewed_at: now,
                has_renewed: false,
                absent_since: None,
                is_listed: false,
            });
        if track.renewals != record.renewals {
            track.renewals = record.renewals;
            track.renewed_at = now;
            track.has_renewed = true;
        }
    }

    /// Whether another session at the same address has a later renewal than this one.
    ///
    /// Two processes cannot listen on the same address, so the process of the older session has
    /// ended or lost its address.
    fn is_superseded(&self, record: &SessionRecord, sessions: &[SessionRecord]) -> bool {
        let Some(own) = self.tracks.get(&record.session) else {
            return false;
        };
        sessions
            .iter()
            .filter(|other| {
                other.session != record.session
                    && other.address == record.address
                    && other.state == SessionState::Active
            })
            .filter_map(|other| self.tracks.get(&other.session))
            .any(|other| other.has_renewed && other.renewed_at > own.renewed_at)
    }

    /// Returns how long the session was absent at the last observation; `None` if it was present.
    #[must_use]
    pub fn absence(&self, session: SessionId) -> Option<Duration> {
        let since = self.tracks.get(&session)?.absent_since?;
        Some(self.observed_at.since(since))
    }

    /// Whether no work that the session started can still be running.
    #[must_use]
    pub fn is_stopped(&self, session: SessionId) -> bool {
        self.absence(session)
            .is_some_and(|absence| absence > self.policy.stopped_after())
    }

    /// Returns the view that results from the session rows and the instance list.
    ///
    /// A session outside the current view is added only if it is listed or has renewed its row
    /// since tracking began, so a new controller does not add the sessions of dead processes.
    #[must_use]
    pub fn view(&self, current: &SessionView, sessions: &[SessionRecord]) -> SessionView {
        let members = sessions.iter().filter(|record| {
            let Some(track) = self.tracks.get(&record.session) else {
                return false;
            };
            let is_expired = self
                .absence(record.session)
                .is_some_and(|absence| absence > self.policy.list_lag);
            match record.state {
                SessionState::Left => false,
                SessionState::Leaving => !is_expired && current.contains(record.session),
                SessionState::Active => {
                    !is_expired
                        && (current.contains(record.session)
                            || track.is_listed
                            || track.has_renewed)
                }
            }
        });
        SessionView::new(members.map(|record| record.session).collect())
    }

    /// Returns the highest generation up to `current` that every entry instance has quiesced.
    ///
    /// A session outside the view counts until its state is [`SessionState::Left`] or its work must
    /// have stopped. Sessions of the view without a row and listed entry instances without a
    /// session prevent settling, because the generations that they apply are unknown.
    #[must_use]
    pub fn settled(
        &self,
        current: Generation,
        view: &SessionView,
        sessions: &[SessionRecord],
        list: &[ListedInstance],
    ) -> SettledReport {
        let mut report = SettledReport {
            settled: current,
            ..SettledReport::default()
        };
        for record in sessions {
            let has_ended = record.state == SessionState::Left || self.is_stopped(record.session);
            if !has_ended && record.quiesced < current {
                report.settled = report.settled.min(record.quiesced);
                report.outstanding.push(record.session);
            }
        }
        let known: BTreeSet<SessionId> = sessions.iter().map(|record| record.session).collect();
        for &session in &view.sessions {
            if !known.contains(&session) {
                report.settled = Generation::ZERO;
                report.outstanding.push(session);
            }
        }
        let with_session: BTreeSet<&InstanceName> =
            sessions.iter().map(|record| &record.instance).collect();
        for entry in entry_instances(list) {
            if !with_session.contains(&entry.name) {
                report.settled = Generation::ZERO;
                report.unknown.push(entry.name.clone());
            }
        }
        report
    }
}

fn entry_instances(list: &[ListedInstance]) -> impl Iterator<Item = &ListedInstance> {
    list.iter().filter(|entry| entry.role == EntryRole::Entry)
}
