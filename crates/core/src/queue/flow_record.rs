use super::{JobList, ServiceMeter, UsageMeter};
use crate::scheduler::{JobKey, PoolIndex, TeamIndex};
use crate::time::TimePoint;

/// Value of `FlowRecord::position` for a flow that is not in its pool's list of backlogged flows.
pub(crate) const NOT_LISTED: u32 = u32::MAX;

/// Lower bound of the fraction of a team's demand that is at this entry instance.
const MIN_FRACTION: f64 = 1.0 / 64.0;

/// Reason why a backlogged flow cannot be served.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlowBlock {
    /// The flow can be served.
    #[default]
    None,
    /// The team has no free permit at this entry instance.
    Permits,
    /// No worker has enough free slots for the flow's first job.
    Slots,
}

/// Jobs and slot usage of one team in one pool.
#[derive(Debug)]
pub(crate) struct FlowRecord {
    pub(crate) pool: PoolIndex,
    pub(crate) team: TeamIndex,
    pub(crate) urgent: JobList,
    pub(crate) normal: JobList,
    /// Jobs queued at this entry instance.
    pub(crate) queued: u32,
    /// Jobs that fit only on workers in evacuated zones, in no order. They do not count as queued,
    /// because no slot that becomes free helps them.
    pub(crate) parked: JobList,
    /// Length of `parked`.
    pub(crate) parked_jobs: u32,
    /// Slots held by this entry instance.
    pub(crate) held: u32,
    /// Time constant of the exponential decay of usage, in seconds.
    pub(crate) decay_s: f64,
    /// Usage at this entry instance.
    pub(crate) usage: UsageMeter,
    /// Correction that was added to the usage when the team became backlogged, in slot seconds.
    pub(crate) credit: UsageMeter,
    /// Usage at the peers.
    pub(crate) remote: UsageMeter,
    /// Slots held at peers.
    pub(crate) remote_held: f64,
    /// Jobs queued at peers.
    pub(crate) remote_queued: f64,
    pub(crate) service: ServiceMeter,
    /// Index in the pool's list of backlogged flows.
    pub(crate) position: u32,
    pub(crate) block: FlowBlock,
    /// Time until which the team counts as newly backlogged.
    pub(crate) newly_backlogged_until: TimePoint,
    /// Urgent job that has waited for at least half of the start limit.
    pub(crate) overdue: Option<JobKey>,
}

impl FlowRecord {
    /// Creates a flow without jobs; `decay_s` is the time constant of the usage decay in seconds.
    pub(crate) fn new(pool: PoolIndex, team: TeamIndex, decay_s: f64) -> Self {
        Self {
            pool,
            team,
            urgent: JobList::default(),
            normal: JobList::default(),
            queued: 0,
            parked: JobList::default(),
            parked_jobs: 0,
            held: 0,
            decay_s,
            usage: UsageMeter::default(),
            credit: UsageMeter::default(),
            remote: UsageMeter::default(),
            remote_held: 0.0,
            remote_queued: 0.0,
            service: ServiceMeter::default(),
            position: NOT_LISTED,
            block: FlowBlock::None,
            newly_backlogged_until: TimePoint::ORIGIN,
            overdue: None,
        }
    }

    /// Next job to dispatch; urgent jobs come first.
    pub(crate) fn first(&self) -> Option<JobKey> {
        self.urgent.first().or_else(|| self.normal.first())
    }

    /// Whether jobs are queued at this entry instance or at a peer.
    pub(crate) fn is_backlogged(&self) -> bool {
        self.queued > 0 || self.remote_queued > 0.0
    }

    /// Sum of the jobs queued and the slots held at this entry instance.
    pub(crate) fn local_demand(&self) -> f64 {
        f64::from(self.queued) + f64::from(self.held)
    }

    /// Sum of the jobs queued and the slots held at all entry instances.
    pub(crate) fn demand(&self) -> f64 {
        self.local_demand() + self.remote_queued + self.remote_held
    }

    /// Fraction of the team's demand that is at this entry instance.
    pub(crate) fn local_fraction(&self) -> f64 {
        let remote = self.remote_queued + self.remote_held;
        if remote == 0.0 {
            return 1.0;
        }
        let local = self.local_demand();
        (local / (local + remote)).max(MIN_FRACTION)
    }

    /// Fraction of the team's demand that is at this entry instance. A team that has just become
    /// backlogged is assumed to send its jobs to all entry instances evenly. Otherwise each of them
    /// would give the team its whole share until they have exchanged their demands.
    fn assumed_fraction(&self, sessions: usize, now: TimePoint) -> f64 {
        let fraction = self.local_fraction();
        if fraction < 1.0 || now >= self.newly_backlogged_until {
            return fraction;
        }
        #[expect(clippy::cast_precision_loss, reason = "few sessions")]
        let sessions = sessions.max(1) as f64;
        (1.0 / sessions).max(MIN_FRACTION)
    }

    /// Usage at this entry instance in slot seconds.
    pub(crate) fn local_usage(&self, now: TimePoint) -> f64 {
        self.usage.read(f64::from(self.held), self.decay_s, now)
    }

    /// Usage at all entry instances including the correction, in slot seconds per unit of weight.
    pub(crate) fn normalised_usage(&self, weight: f64, now: TimePoint) -> f64 {
        let usage = self.local_usage(now)
            + self.credit.read(0.0, self.decay_s, now)
            + self.remote.read(self.remote_held, self.decay_s, now);
        usage / weight
    }

    /// Sort key of the flow; the flow with the lowest key is served next. `sessions` is the number
    /// of entry instances and `level` is the number of slots of the pool per unit of weight. The
    /// key includes the usage that the slots held now add within the next `look_ahead_s` seconds.
    pub(crate) fn sort_key(
        &self,
        weight: f64,
        sessions: usize,
        level: f64,
        look_ahead_s: f64,
        now: TimePoint,
    ) -> f64 {
        let fraction = self.assumed_fraction(sessions, now);
        // A team is served when it holds about half a slot less than its fair share. Adding this
        // half treats teams with many and with few slots equally. A team whose fair share at this
        // entry instance is less than half a slot is served when it holds none.
        let half = (fraction * weight * level).min(0.5);
        let ahead = (f64::from(self.held) + half) / fraction * look_ahead_s;
        self.normalised_usage(weight, now) + ahead / weight
    }

    /// Updates the local usage to `now`. Must be called before the number of held slots changes.
    pub(crate) fn accrue(&mut self, now: TimePoint) {
        self.usage.update(f64::from(self.held), self.decay_s, now);
    }
}
