use super::{JobList, ServiceMeter, UsageMeter};
use crate::scheduler::{JobKey, PoolIndex, TeamIndex};
use crate::time::TimePoint;

/// Position of a flow that is not in its pool's list of backlogged flows.
pub(crate) const NOT_LISTED: u32 = u32::MAX;

/// Smallest part of a team's demand that an entry instance assumes to have.
const MIN_PART: f64 = 1.0 / 64.0;

/// Why a backlogged flow cannot be served.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlowBlock {
    /// It can be served.
    #[default]
    None,
    /// The team has no free permit here.
    Permits,
    /// No worker has enough free slots for its first job.
    Slots,
}

/// The jobs of one team in one pool.
#[derive(Debug)]
pub(crate) struct FlowRecord {
    pub(crate) pool: PoolIndex,
    pub(crate) team: TeamIndex,
    pub(crate) urgent: JobList,
    pub(crate) normal: JobList,
    /// Jobs queued here.
    pub(crate) queued: u32,
    /// Slots held here.
    pub(crate) held: u32,
    /// Time constant of the decay of usage in seconds.
    pub(crate) decay_s: f64,
    /// Usage here.
    pub(crate) usage: UsageMeter,
    /// Correction of the usage when the team became backlogged, in slot seconds.
    pub(crate) credit: UsageMeter,
    /// Usage of the peers.
    pub(crate) remote: UsageMeter,
    /// Slots held at peers.
    pub(crate) remote_held: f64,
    /// Jobs queued at peers.
    pub(crate) remote_queued: f64,
    pub(crate) service: ServiceMeter,
    /// Position in the pool's list of backlogged flows.
    pub(crate) position: u32,
    pub(crate) block: FlowBlock,
    /// Point until which the team counts as newly backlogged.
    pub(crate) newly_backlogged_until: TimePoint,
    /// Urgent job that has waited for half the start limit.
    pub(crate) overdue: Option<JobKey>,
}

impl FlowRecord {
    /// Creates a flow without jobs; `decay_s` is the time constant of the decay of usage.
    pub(crate) fn new(pool: PoolIndex, team: TeamIndex, decay_s: f64) -> Self {
        Self {
            pool,
            team,
            urgent: JobList::default(),
            normal: JobList::default(),
            queued: 0,
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

    /// The job that is next, urgent ones first.
    pub(crate) fn first(&self) -> Option<JobKey> {
        self.urgent.first().or_else(|| self.normal.first())
    }

    /// Whether jobs wait here or at a peer.
    pub(crate) fn is_backlogged(&self) -> bool {
        self.queued > 0 || self.remote_queued > 0.0
    }

    /// Jobs queued and slots held here.
    pub(crate) fn local_demand(&self) -> f64 {
        f64::from(self.queued) + f64::from(self.held)
    }

    /// Jobs queued and slots held anywhere.
    pub(crate) fn demand(&self) -> f64 {
        self.local_demand() + self.remote_queued + self.remote_held
    }

    /// Part of the team's demand that is here.
    pub(crate) fn local_fraction(&self) -> f64 {
        let remote = self.remote_queued + self.remote_held;
        if remote == 0.0 {
            return 1.0;
        }
        let local = self.local_demand();
        (local / (local + remote)).max(MIN_PART)
    }

    /// Part of the team's demand that is here, assuming that a surge that has just begun is spread
    /// over all entry instances. Otherwise each of them would give the team its whole share until
    /// they have heard of each other.
    fn assumed_fraction(&self, sessions: usize, now: TimePoint) -> f64 {
        let local_fraction = self.local_fraction();
        if local_fraction < 1.0 || now >= self.newly_backlogged_until {
            return local_fraction;
        }
        #[expect(clippy::cast_precision_loss, reason = "few sessions")]
        let sessions = sessions.max(1) as f64;
        (1.0 / sessions).max(MIN_PART)
    }

    /// Usage here in slot seconds.
    pub(crate) fn local_usage(&self, now: TimePoint) -> f64 {
        self.usage.read(f64::from(self.held), self.decay_s, now)
    }

    /// Usage anywhere with the correction, in slot seconds per unit of weight.
    pub(crate) fn normalised_usage(&self, weight: f64, now: TimePoint) -> f64 {
        let usage = self.local_usage(now)
            + self.credit.read(0.0, self.decay_s, now)
            + self.remote.read(self.remote_held, self.decay_s, now);
        usage / weight
    }

    /// Sort key; the flow with the lowest one is served next. `sessions` is the number of entry
    /// instances, `level` the slots of the pool per unit of weight, and slots held now count for
    /// `look_ahead_s` in advance.
    pub(crate) fn sort_key(
        &self,
        weight: f64,
        sessions: usize,
        level: f64,
        look_ahead_s: f64,
        now: TimePoint,
    ) -> f64 {
        let local_fraction = self.assumed_fraction(sessions, now);
        // A team is served when it holds about half a slot less than its due. Adding the half puts
        // teams with many and with few slots on a par; a team that is due less than half a slot
        // here is served when it holds none.
        let half = (local_fraction * weight * level).min(0.5);
        let ahead = (f64::from(self.held) + half) / local_fraction * look_ahead_s;
        self.normalised_usage(weight, now) + ahead / weight
    }

    /// Brings the local usage up to `now`, ahead of a change of the held slots.
    pub(crate) fn accrue(&mut self, now: TimePoint) {
        self.usage.update(f64::from(self.held), self.decay_s, now);
    }
}
