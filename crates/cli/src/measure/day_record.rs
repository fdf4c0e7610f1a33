use std::collections::BTreeMap;
use std::time::Duration;

use sesamedeal_core::fleet::{FleetChange, FleetState, InstanceState, SheetItem, WaveStatus};
use sesamedeal_core::ids::{InstanceName, PoolName};
use sesamedeal_core::time::TimePoint;

use super::day_figures::{DayFigures, RowFigures};
use super::round::round;

/// Seconds in an hour.
const HOUR: f64 = 3_600.0;

/// One time of the day at which sizes change.
#[derive(Debug)]
struct RowProgress {
    minute: u16,
    /// Sizes of the pools but the spare pool from this time on.
    sizes: BTreeMap<PoolName, u32>,
    taken_out: BTreeMap<PoolName, u32>,
    first_out: Option<TimePoint>,
    done: Option<TimePoint>,
}

/// Counts moves, times and instance-hours out of use while a day passes.
#[derive(Debug)]
pub(super) struct DayRecord {
    rows: Vec<RowProgress>,
    /// Since when instances have been out of service.
    out_since: BTreeMap<InstanceName, TimePoint>,
    moves: u64,
    move_seconds: Vec<f64>,
    maintenance_seconds: Vec<f64>,
    spare_hours: f64,
    moving_hours: f64,
    maintenance_hours: f64,
    wave_started: Option<TimePoint>,
    wave_done: Option<TimePoint>,
    wave_taken: BTreeMap<PoolName, u32>,
    budgets: BTreeMap<PoolName, u32>,
}

impl DayRecord {
    pub(super) fn new(state: &FleetState) -> Self {
        let mut rows = Vec::new();
        if let Some(sheet) = &state.sheet {
            let mut minutes: Vec<u16> = sheet
                .rows
                .iter()
                .filter(|row| matches!(row.item, SheetItem::Pool { .. }) && row.minute > 0)
                .map(|row| row.minute)
                .collect();
            minutes.dedup();
            for minute in minutes {
                let items = sheet.items_at(minute);
                let sizes = items.into_iter().filter_map(|item| match item {
                    SheetItem::Pool { name, pool } if !pool.spare => {
                        Some((name.clone(), pool.size))
                    }
                    _ => None,
                });
                rows.push(RowProgress {
                    minute,
                    sizes: sizes.collect(),
                    taken_out: BTreeMap::new(),
                    first_out: None,
                    done: None,
                });
            }
        }
        Self {
            rows,
            out_since: BTreeMap::new(),
            moves: 0,
            move_seconds: Vec::new(),
            maintenance_seconds: Vec::new(),
            spare_hours: 0.0,
            moving_hours: 0.0,
            maintenance_hours: 0.0,
            wave_started: None,
            wave_done: None,
            wave_taken: BTreeMap::new(),
            budgets: state
                .pools
                .iter()
                .map(|(name, pool)| (name.clone(), pool.max_unavailable))
                .collect(),
        }
    }

    /// Takes note of changes that are about to be applied to the state.
    pub(super) fn note(&mut self, changes: &[FleetChange], state: &FleetState, now: TimePoint) {
        for change in changes {
            match change {
                FleetChange::SetInstanceState { name, state: next } => {
                    let instance = &state.instances[name];
                    match next {
                        InstanceState::Moving { .. } => {
                            self.moves += 1;
                            self.out_since.insert(name.clone(), now);
                            if let Some(row) = self.open_row() {
                                *row.taken_out.entry(instance.pool.clone()).or_default() += 1;
                                row.first_out.get_or_insert(now);
                            }
                        }
                        InstanceState::Draining => {
                            self.out_since.insert(name.clone(), now);
                            *self.wave_taken.entry(instance.pool.clone()).or_default() += 1;
                        }
                        InstanceState::Active => {
                            let since = self.out_since.remove(name);
                            let seconds = since.map(|since| now.since(since).as_secs_f64());
                            self.maintenance_seconds.extend(seconds);
                        }
                        _ => {}
                    }
                }
                FleetChange::AssignInstance { name, .. } => {
                    let since = self.out_since.remove(name);
                    let seconds = since.map(|since| now.since(since).as_secs_f64());
                    self.move_seconds.extend(seconds);
                }
                FleetChange::StartWave { .. } => {
                    self.wave_started.get_or_insert(now);
                }
                _ => {}
            }
        }
    }

    /// The next row that is not in effect; moves that start ahead belong to it.
    fn open_row(&mut self) -> Option<&mut RowProgress> {
        self.rows.iter_mut().find(|row| row.done.is_none())
    }

    /// Adds the hours of a time during which the state holds.
    pub(super) fn pass(&mut self, state: &FleetState, time: Duration) {
        let hours = time.as_secs_f64() / HOUR;
        let spare = state.spare_pool();
        for instance in state.instances.values() {
            match instance.state {
                InstanceState::Active if Some(&instance.pool) == spare => self.spare_hours += hours,
                InstanceState::Active => {}
                InstanceState::Moving { .. } => self.moving_hours += hours,
                _ => self.maintenance_hours += hours,
            }
        }
    }

    /// Takes note of rows whose sizes are reached and whose moves have ended, and of the end of
    /// the wave. Planned stops for maintenance do not count as missing.
    pub(super) fn check_rows(&mut self, state: &FleetState, now: TimePoint) {
        let is_finished =
            |wave: &sesamedeal_core::fleet::WaveRecord| wave.status == WaveStatus::Finished;
        if !state.waves.is_empty() && state.waves.values().all(is_finished) {
            self.wave_done.get_or_insert(now);
        }
        let Some(row) = self.open_row() else {
            return;
        };
        if now < due_point(row.minute) {
            return;
        }
        let mut counts: BTreeMap<&PoolName, u32> = BTreeMap::new();
        for instance in state.instances.values() {
            if matches!(instance.state, InstanceState::Moving { .. }) {
                return;
            }
            *counts.entry(&instance.pool).or_default() += 1;
        }
        let is_met = |(name, size): (&PoolName, &u32)| {
            let is_put = state.pools.get(name).is_some_and(|pool| pool.size == *size);
            is_put && counts.get(name).copied().unwrap_or(0) >= *size
        };
        if row.sizes.iter().all(is_met) {
            row.done = Some(now);
        }
    }

    /// Whether something is under way, so that steps have to be short.
    pub(super) fn is_busy(&self, now: TimePoint) -> bool {
        let is_late = |row: &RowProgress| row.done.is_none() && now >= due_point(row.minute);
        !self.out_since.is_empty() || self.rows.iter().any(is_late)
    }

    pub(super) fn figures(&self) -> DayFigures {
        let move_time = mean(&self.move_seconds);
        let wave_time = mean(&self.maintenance_seconds);
        let rows: Vec<RowFigures> = self
            .rows
            .iter()
            .map(|row| self.row_figures(row, move_time))
            .collect();
        let span = self.wave_started.zip(self.wave_done);
        let rounds = self.rounds(&self.wave_taken);
        DayFigures {
            moves: self.moves,
            buffer_hours: round(self.spare_hours + self.moving_hours),
            maintenance_hours: round(self.maintenance_hours),
            move_seconds: round(move_time),
            rollout_seconds: rows
                .iter()
                .filter_map(|row| row.rollout_seconds)
                .reduce(f64::max),
            rows,
            maintained: self.maintenance_seconds.len(),
            wave_seconds: span.map(|(start, end)| end.since(start).as_secs_f64()),
            wave_bound_seconds: round(f64::from(rounds) * wave_time),
        }
    }

    fn row_figures(&self, row: &RowProgress, move_time: f64) -> RowFigures {
        let span = row.first_out.zip(row.done);
        RowFigures {
            minute: row.minute,
            rollout_seconds: row
                .done
                .map(|done| done.since(due_point(row.minute)).as_secs_f64()),
            lead_seconds: row.first_out.map_or(0.0, |first| {
                due_point(row.minute).since(first).as_secs_f64()
            }),
            span_seconds: span.map_or(0.0, |(first, done)| done.since(first).as_secs_f64()),
            bound_seconds: round(f64::from(self.rounds(&row.taken_out)) * move_time),
            taken_out: row.taken_out.values().sum(),
        }
    }

    /// Largest number, over the pools, of rounds that the budgets need.
    fn rounds(&self, taken: &BTreeMap<PoolName, u32>) -> u32 {
        let budget = |pool| self.budgets.get(pool).copied().unwrap_or(1).max(1);
        let rounds = taken
            .iter()
            .map(|(pool, count)| count.div_ceil(budget(pool)));
        rounds.max().unwrap_or(0)
    }
}

fn due_point(minute: u16) -> TimePoint {
    TimePoint::ORIGIN.after(Duration::from_secs(u64::from(minute) * 60))
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
