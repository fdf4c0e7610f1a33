use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::control::RebootOrder;
use sesamedeal_core::fleet::{DayTime, FleetChange, FleetState, InstanceState, SECONDS_PER_DAY};
use sesamedeal_core::ids::{Generation, ImageName, InstanceName, RackName, ZoneName};
use sesamedeal_core::membership::{
    EntryRole, ListState, ListedInstance, SessionRecord, SessionState,
};
use sesamedeal_core::time::TimePoint;

use super::day_record::DayRecord;
use super::user_profile::{ENTRY_INSTANCES, FIRST_DAY, apply};
use crate::error::Result;

/// Time from an accepted reboot until the instance is listed again.
const REBOOT_TIME: Duration = Duration::from_mins(3);

/// Longest time that a task still runs on an instance that is taken out of service.
const LONGEST_TASK_MS: u64 = 3_000;

/// Time between two reads of the head by an entry instance.
const HEAD_PERIOD: Duration = Duration::from_secs(1);

/// A task that keeps a session from quiescing.
#[derive(Debug, Clone, Copy)]
struct HeldTask {
    session: usize,
    generation: Generation,
    end: TimePoint,
}

/// Fake change log, platform list and entry instances around one controller.
#[derive(Debug)]
pub(super) struct DayWorld {
    pub(super) state: FleetState,
    pub(super) sessions: Vec<SessionRecord>,
    pub(super) list: Vec<ListedInstance>,
    pub(super) now: TimePoint,
    pub(super) record: DayRecord,
    tasks: Vec<HeldTask>,
    away: BTreeMap<InstanceName, (ListedInstance, TimePoint)>,
    rng: Pcg64Mcg,
}

impl DayWorld {
    pub(super) fn new(state: FleetState, seed: u64) -> Self {
        let sessions: Vec<SessionRecord> = state
            .view
            .sessions
            .iter()
            .map(|session| SessionRecord {
                session: *session,
                instance: InstanceName::new(format!("entry{}", session.0)),
                address: format!("10.9.0.{}:9000", session.0).into(),
                zone: ZoneName::new("z0"),
                applied: state.generation,
                quiesced: state.generation,
                renewals: 0,
                state: SessionState::Active,
            })
            .collect();
        let entries = sessions.iter().map(entry_instance);
        let backends = state
            .instances
            .iter()
            .map(|(name, instance)| ListedInstance {
                name: name.clone(),
                role: EntryRole::Backend,
                address: instance.address.clone(),
                zone: instance.zone.clone(),
                rack: instance.rack.clone(),
                image: instance.image.clone(),
                state: ListState::Live,
                boot: instance.boot,
                cores: instance.cores,
                memory_mb: instance.memory_mb,
                slots: instance.slots,
            });
        Self {
            list: entries.chain(backends).collect(),
            record: DayRecord::new(&state),
            state,
            sessions,
            now: TimePoint::ORIGIN,
            tasks: Vec::new(),
            away: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    pub(super) fn day_time(&self) -> DayTime {
        let seconds = u32::try_from(self.now.since_origin().as_secs()).unwrap_or(u32::MAX);
        DayTime::new(
            FIRST_DAY + seconds / SECONDS_PER_DAY,
            seconds % SECONDS_PER_DAY,
        )
    }

    /// Writes a record. Tasks that run on instances that it takes out of service get end times.
    pub(super) fn write(&mut self, changes: Vec<FleetChange>) -> Result<()> {
        if changes.is_empty() {
            return Ok(());
        }
        self.record.note(&changes, &self.state, self.now);
        let generation = self.state.generation.next();
        for change in &changes {
            if let FleetChange::SetInstanceState { state, .. } = change
                && matches!(
                    state,
                    InstanceState::Moving { .. } | InstanceState::Draining
                )
            {
                for session in 0..self.sessions.len() {
                    let left = self.rng.random_range(0..LONGEST_TASK_MS);
                    let end = self.now.after(Duration::from_millis(left));
                    self.tasks.push(HeldTask {
                        session,
                        generation,
                        end,
                    });
                }
            }
        }
        apply(&mut self.state, changes)
    }

    /// Takes note of what the changes of a step have brought to an end.
    pub(super) fn check_rows(&mut self) {
        self.record.check_rows(&self.state, self.now);
    }

    /// Takes an instance off the list until it is back from its reboot.
    pub(super) fn reboot(&mut self, order: &RebootOrder) {
        let is_meant =
            |entry: &ListedInstance| entry.name == order.instance && entry.boot == order.boot;
        if let Some(at) = self.list.iter().position(is_meant) {
            let mut entry = self.list.swap_remove(at);
            entry.boot += 1;
            let back = self.now.after(REBOOT_TIME);
            self.away.insert(entry.name.clone(), (entry, back));
        }
    }

    /// Passes time: entry instances follow the log, tasks end and instances return.
    pub(super) fn pass(&mut self, time: Duration) {
        self.record.pass(&self.state, time);
        let before = self.now;
        self.now = self.now.after(time);
        let now = self.now;
        self.tasks.retain(|task| task.end > now);
        for (number, session) in self.sessions.iter_mut().enumerate() {
            if is_head_read(number, before, now) {
                session.applied = self.state.generation;
            }
            session.renewals += 1;
            let held = self.tasks.iter().filter(|task| task.session == number);
            session.quiesced = held
                .map(|task| Generation(task.generation.0 - 1))
                .fold(session.applied, Generation::min);
        }
        let is_back = |name: &InstanceName| self.away[name].1 <= now;
        let back: Vec<InstanceName> = self
            .away
            .keys()
            .filter(|name| is_back(name))
            .cloned()
            .collect();
        for name in back {
            self.list
                .extend(self.away.remove(&name).map(|(entry, _)| entry));
        }
        self.record.check_rows(&self.state, now);
    }
}

/// Whether a session reads the head after `before` and not after `now`. The sessions' reads are
/// spread evenly over the period.
fn is_head_read(session: usize, before: TimePoint, now: TimePoint) -> bool {
    let period = HEAD_PERIOD.as_millis();
    let phase = session as u128 * period / u128::from(ENTRY_INSTANCES);
    let reads = |point: TimePoint| (point.since_origin().as_millis() + period - phase) / period;
    reads(now) > reads(before)
}

fn entry_instance(session: &SessionRecord) -> ListedInstance {
    ListedInstance {
        name: session.instance.clone(),
        role: EntryRole::Entry,
        address: session.address.clone(),
        zone: session.zone.clone(),
        rack: RackName::new("entry"),
        image: ImageName::new("entry"),
        state: ListState::Live,
        boot: 1,
        cores: 8,
        memory_mb: 16_384,
        slots: 0,
    }
}
