use std::time::Duration;

use sesamedeal_core::time::TimePoint;
use slog::{info, warn};

use super::owner_actor::OwnerActor;
use crate::ports::StorePosition;

/// Age of the newest processed state of the job table at which the owner counts as late. Without
/// new jobs the age reaches 0.3 s, and a slow store takes 0.25 s for a call.
const INTAKE_AGE_LIMIT: Duration = Duration::from_secs(1);

/// Time without lateness after which job intake counts as on time again. The age drops with each
/// answer of the store, even if the owner keeps falling behind.
const ON_TIME_DELAY: Duration = Duration::from_secs(1);

/// Age at which the worker list counts as late. Without changes the store answers after 2.5 s, and
/// a missing answer times out 0.9 s later.
const LIST_AGE_LIMIT: Duration = Duration::from_secs(4);

/// How far the owner is behind.
#[derive(Debug)]
pub(super) struct OwnerHealth {
    /// When this owner started.
    started: TimePoint,
    /// When the last scheduling round began.
    last_round: Option<TimePoint>,
    /// Delay of the last scheduling round.
    lateness: Duration,
    /// When job intake was last found late.
    last_late: Option<TimePoint>,
    /// Whether job intake is late. Maintenance waves and pool scaling pause then: a successor may
    /// send orders for instances at any moment, and unprocessed demand looks like no demand.
    pub(super) is_late: bool,
    /// Position of the worker list when it was last read; none before the first read.
    pub(super) list_position: Option<StorePosition>,
    /// Whether the worker list is late. Tasks are still started: all information about workers is
    /// equally old, and in an outage that affects every instance the known workers have to be used.
    is_list_late: bool,
}

impl OwnerHealth {
    pub(super) const fn new(started: TimePoint) -> Self {
        Self {
            started,
            last_round: None,
            lateness: Duration::ZERO,
            last_late: None,
            is_late: false,
            list_position: None,
            is_list_late: false,
        }
    }
}

impl OwnerActor {
    /// Records the start of a scheduling round.
    pub(super) fn note_round(&mut self, now: TimePoint) {
        let period = self.parts.policy.round_period;
        let last = self.health.last_round.replace(now);
        let gap = last.map_or(period, |last| now.since(last));
        self.health.lateness = gap.saturating_sub(period);
        self.parts
            .metrics
            .observe_round_lateness(self.health.lateness);
    }

    /// Age of the newest state of the job table that this owner has processed; none before the jobs
    /// are loaded, or if the store does not report its time.
    pub(super) fn intake_age(&self, now: TimePoint) -> Option<Duration> {
        let at_ms = self.intake.position?.at_ms?;
        self.parts.health.clock.age(at_ms, now)
    }

    /// [`Self::intake_age`] in milliseconds.
    pub(super) fn intake_age_ms(&self, now: TimePoint) -> Option<u64> {
        let age = self.intake_age(now)?;
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Records the ages of the job table, the inventory and the worker list.
    pub(super) fn note_ages(&mut self, now: TimePoint) {
        self.note_intake_age(now);
        self.note_inventory_age(now);
        self.note_list_age(now);
    }

    /// Records up to when all accepted jobs are known.
    pub(super) fn note_complete_jobs(&mut self, now: TimePoint) {
        if let Some(age) = self.intake_age(now) {
            self.dispatcher.note_jobs_complete(now.before(age), now);
        }
    }

    /// Records the age of the job table as processed, and whether intake is late.
    fn note_intake_age(&mut self, now: TimePoint) {
        let Some(age) = self.intake_age(now) else {
            return;
        };
        self.parts.metrics.set_intake_age(age);
        if age >= INTAKE_AGE_LIMIT {
            self.health.last_late = Some(now);
        }
        let is_late = self
            .health
            .last_late
            .is_some_and(|late| now.since(late) < ON_TIME_DELAY);
        if is_late == self.health.is_late {
            return;
        }
        self.health.is_late = is_late;
        let age_ms = age.as_millis();
        let lateness_ms = self.health.lateness.as_millis();
        let version = self.intake.position.map(|position| position.version);
        if is_late {
            warn!(self.parts.logger, "job intake is late"; "age_ms" => age_ms, "row" => version, "round_late_ms" => lateness_ms);
        } else {
            info!(self.parts.logger, "job intake is on time"; "age_ms" => age_ms, "row" => version, "round_late_ms" => lateness_ms);
        }
    }

    /// Age of the worker list; before the first read, the time since this owner started. None if
    /// the store does not report its time.
    fn list_age(&self, now: TimePoint) -> Option<Duration> {
        match self.health.list_position {
            Some(position) => self.parts.health.clock.age(position.at_ms?, now),
            None => Some(now.since(self.health.started)),
        }
    }

    fn note_list_age(&mut self, now: TimePoint) {
        let Some(age) = self.list_age(now) else {
            return;
        };
        self.parts.metrics.set_worker_list_age(age);
        let is_writable = self.parts.lease.is_recent(self.parts.policy.renewal * 2);
        self.dispatcher.note_list_age(age, is_writable, now);
        // Half of the limit, so that the state does not flap.
        let limit = if self.health.is_list_late {
            LIST_AGE_LIMIT / 2
        } else {
            LIST_AGE_LIMIT
        };
        let is_late = age >= limit;
        if is_late == self.health.is_list_late {
            return;
        }
        self.health.is_list_late = is_late;
        let age_ms = age.as_millis();
        let version = self.health.list_position.map(|position| position.version);
        if is_late {
            warn!(self.parts.logger, "worker list is late"; "age_ms" => age_ms, "row" => version);
        } else {
            info!(self.parts.logger, "worker list is on time"; "age_ms" => age_ms, "row" => version);
        }
    }
}
