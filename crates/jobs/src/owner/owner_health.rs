use std::time::Duration;

use sesamedeal_core::time::TimePoint;
use slog::{info, warn};

use super::owner_actor::OwnerActor;
use crate::ports::StorePosition;

/// Age of the newest jobs that were considered from which the owner counts as late. It is 0.3 s
/// without a new job, and a slow store takes 0.25 s for a call.
const INTAKE_AGE_LIMIT: Duration = Duration::from_secs(1);

/// Time without lateness after which jobs count as taken in time. The age falls with each answer of
/// the store, also at an owner that goes on to fall behind.
const ON_TIME_DELAY: Duration = Duration::from_secs(1);

/// Age of the list of workers from which it counts as late. Without a change the store answers
/// after 2.5 s, and an answer that does not come is given up 0.9 s later.
const LIST_AGE_LIMIT: Duration = Duration::from_secs(4);

/// How far the owner is behind.
#[derive(Debug)]
pub(super) struct OwnerHealth {
    /// When this owner started.
    started: TimePoint,
    /// When the last round of decisions was.
    last_round: Option<TimePoint>,
    /// Time by which the last round came late.
    lateness: Duration,
    /// When jobs were taken late last.
    last_late: Option<TimePoint>,
    /// Whether jobs are taken late. Waves and sizes of pools pause then: a successor may give orders
    /// for instances at any moment, and demand that is not known looks like no demand.
    pub(super) is_late: bool,
    /// Where the list of workers stood when it was read last; none before the first reading.
    pub(super) list_position: Option<StorePosition>,
    /// Whether the list of workers is late. Starts go on: all that is known of workers is equally
    /// old, and in an outage for everybody known workers have to be used.
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
    /// Notes that a round begins.
    pub(super) fn note_round(&mut self, now: TimePoint) {
        let period = self.parts.policy.round_period;
        let last = self.health.last_round.replace(now);
        let gap = last.map_or(period, |last| now.since(last));
        self.health.lateness = gap.saturating_sub(period);
        self.parts
            .metrics
            .observe_round_lateness(self.health.lateness);
    }

    /// Age of the newest state of the table of jobs that this owner has considered; none before
    /// the jobs are loaded, or if the store does not tell its time.
    pub(super) fn intake_age(&self, now: TimePoint) -> Option<Duration> {
        let at_ms = self.intake.position?.at_ms?;
        self.parts.health.clock.age(at_ms, now)
    }

    /// The same in milliseconds.
    pub(super) fn intake_age_ms(&self, now: TimePoint) -> Option<u64> {
        let age = self.intake_age(now)?;
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Notes how old what the owner knows is.
    pub(super) fn note_ages(&mut self, now: TimePoint) {
        self.note_intake_age(now);
        self.note_inventory_age(now);
        self.note_list_age(now);
    }

    /// Notes how old the owner's knowledge of jobs is.
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
        let version = self.intake.position.map(|taken| taken.version);
        if is_late {
            warn!(self.parts.logger, "jobs are taken late"; "age_ms" => age_ms, "row" => version, "round_late_ms" => lateness_ms);
        } else {
            info!(self.parts.logger, "jobs are taken in time"; "age_ms" => age_ms, "row" => version, "round_late_ms" => lateness_ms);
        }
    }

    /// Age of the list of workers, from the beginning of this owner before it is read; none if the
    /// store does not tell its time.
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
        // Half of the age, so that the state does not change back and forth.
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
        let version = self.health.list_position.map(|list| list.version);
        if is_late {
            warn!(self.parts.logger, "list of workers is late"; "age_ms" => age_ms, "row" => version);
        } else {
            info!(self.parts.logger, "list of workers is in time"; "age_ms" => age_ms, "row" => version);
        }
    }
}
