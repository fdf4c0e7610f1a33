//! Simulated environment of one controller: entry instances, platform and change log.

use std::collections::BTreeMap;

use sesamedeal_core::control::{
    ControlInput, ControlPolicy, ControlStep, Controller, HealthReport, LogExtent,
};
use sesamedeal_core::fleet::{DayTime, FleetChange, FleetState, InstanceRecord};
use sesamedeal_core::ids::{Generation, ImageName, InstanceName, RackName, SessionId, ZoneName};
use sesamedeal_core::membership::{
    EntryRole, ListState, ListedInstance, SessionRecord, SessionState,
};
use sesamedeal_core::time::TimePoint;

use super::record;

pub struct World {
    pub state: FleetState,
    pub settled: Generation,
    pub sessions: Vec<SessionRecord>,
    /// Value of `ControlInput::is_scanned`: whether the controller has read all session rows.
    pub is_scanned: bool,
    pub list: Vec<ListedInstance>,
    pub health: Vec<HealthReport>,
    pub controller: Controller,
    pub log: LogExtent,
    pub millis: u64,
    pub start: DayTime,
    /// Milliseconds from an accepted reboot until the instance is listed again.
    pub reboot_millis: u64,
    /// Instances missing from the list, with the time in milliseconds at which they are listed
    /// again; `None` for never.
    pub away: BTreeMap<InstanceName, (ListedInstance, Option<u64>)>,
    /// Instances that do not return from their next reboot.
    pub broken: Vec<InstanceName>,
    pub reboots: usize,
}

impl World {
    pub fn new(state: FleetState, policy: ControlPolicy, entries: u64) -> Self {
        let sessions: Vec<_> = (0..entries).map(session).collect();
        let mut list: Vec<_> = sessions.iter().map(entry_instance).collect();
        list.extend(
            state
                .instances
                .iter()
                .map(|(name, instance)| backend(name, instance)),
        );
        Self {
            state,
            settled: Generation::ZERO,
            sessions,
            is_scanned: true,
            list,
            health: Vec::new(),
            controller: Controller::new(policy),
            log: LogExtent::default(),
            millis: 0,
            start: DayTime::new(1_000, 0),
            reboot_millis: 30_000,
            away: BTreeMap::new(),
            broken: Vec::new(),
            reboots: 0,
        }
    }

    pub fn now(&self) -> TimePoint {
        TimePoint::with_millis(self.millis)
    }

    pub fn day_time(&self) -> DayTime {
        let second = u64::from(self.start.second) + self.millis / 1_000;
        DayTime::new(
            self.start.day + u32::try_from(second / 86_400).unwrap(),
            u32::try_from(second % 86_400).unwrap(),
        )
    }

    /// Runs one decision of the controller and applies its changes and reboots.
    pub fn step(&mut self) -> ControlStep {
        let step = self.controller.step(ControlInput {
            now: TimePoint::with_millis(self.millis),
            day_time: self.day_time(),
            state: &self.state,
            settled: self.settled,
            sessions: &self.sessions,
            is_scanned: self.is_scanned,
            list: Some(&self.list),
            health: &self.health,
            log: self.log,
        });
        self.health.clear();
        assert!(step.settled >= self.settled, "settled generation decreased");
        self.settled = step.settled;
        if !step.changes.is_empty() {
            self.write(step.changes.clone());
        }
        for order in &step.reboots {
            self.reboot(&order.instance, order.boot);
        }
        step
    }

    /// Writes a record; panics if it is refused.
    pub fn write(&mut self, changes: Vec<FleetChange>) {
        let record = record(&self.state, changes);
        if let Err(error) = self.state.apply(&record) {
            panic!("{error} in {:?}", record.changes);
        }
    }

    /// Advances the time. Entry instances apply the change log and rebooted instances return.
    pub fn pass(&mut self, millis: u64) {
        self.millis += millis;
        for session in &mut self.sessions {
            if session.state != SessionState::Left {
                session.quiesced = session.applied;
                session.applied = self.state.generation;
                session.renewals += 1;
            }
        }
        let now = self.millis;
        let back: Vec<InstanceName> = self
            .away
            .iter()
            .filter(|(_, (_, at))| at.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in back {
            let (entry, _) = self.away.remove(&name).unwrap();
            self.list.push(entry);
        }
    }

    /// Runs one controller step per second for `seconds` seconds.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.step();
            self.pass(1_000);
        }
    }

    /// Runs until a condition holds, for at most `limit` seconds. Returns the elapsed milliseconds.
    pub fn run_until(&mut self, limit: u64, mut is_done: impl FnMut(&Self) -> bool) -> u64 {
        let start = self.millis;
        while !is_done(self) {
            assert!(self.millis - start < limit * 1_000, "not done in {limit} s");
            self.run(1);
        }
        self.millis - start
    }

    pub fn reboot(&mut self, name: &InstanceName, boot: u64) {
        let at = self
            .list
            .iter()
            .position(|entry| entry.name == *name && entry.boot == boot);
        if let Some(at) = at {
            let mut entry = self.list.swap_remove(at);
            entry.boot += 1;
            self.reboots += 1;
            let is_broken = self.broken.contains(name);
            let back = (!is_broken).then_some(self.millis + self.reboot_millis);
            self.away.insert(name.clone(), (entry, back));
        }
    }

    /// Removes an instance from the list until `repair` is called.
    pub fn lose(&mut self, name: &InstanceName) {
        let at = self.list.iter().position(|entry| entry.name == *name);
        let entry = self.list.swap_remove(at.unwrap());
        self.away.insert(name.clone(), (entry, None));
    }

    /// Adds an instance to the list again.
    pub fn repair(&mut self, name: &InstanceName) {
        self.broken.retain(|broken| broken != name);
        if let Some((entry, _)) = self.away.remove(name) {
            self.list.push(entry);
        }
    }
}

pub fn session(number: u64) -> SessionRecord {
    SessionRecord {
        session: SessionId(number + 1),
        instance: InstanceName::new(format!("entry{number}")),
        address: format!("10.9.0.{number}:9000").into(),
        zone: ZoneName::new(format!("z{}", number % 4)),
        applied: Generation::ZERO,
        quiesced: Generation::ZERO,
        renewals: 0,
        state: SessionState::Active,
    }
}

pub fn entry_instance(session: &SessionRecord) -> ListedInstance {
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

pub fn backend(name: &InstanceName, instance: &InstanceRecord) -> ListedInstance {
    ListedInstance {
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
    }
}

/// Number of active instances of a pool.
pub fn active(world: &World, pool_name: &str) -> usize {
    world
        .state
        .instances
        .values()
        .filter(|instance| instance.pool.as_str() == pool_name && instance.state.is_active())
        .count()
}
