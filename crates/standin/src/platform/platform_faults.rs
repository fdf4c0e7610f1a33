use serde::{Deserialize, Serialize};

/// Services that a fault concerns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultScope {
    /// Table service, object store and instance list.
    #[default]
    All,
    /// Table service only.
    Table,
    /// Object store only.
    Objects,
    /// Instance list and reboots only.
    Instances,
}

/// Faults of the platform. All are off by default; when on, each call has the fault with the given
/// probability, drawn from the stand-in's seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Services concerned.
    pub scope: FaultScope,
    /// Calls are answered with status 503 and have no effect.
    pub down: bool,
    /// Delay before a call takes effect, in milliseconds. It does so also when its caller has gone.
    pub delay_ms: u64,
    /// Writes take effect and their connections are closed without an answer.
    pub lose_answers: bool,
    /// Connections of writes are closed at once, and the writes take effect so many milliseconds
    /// later; 0 is off.
    pub late_write_ms: u64,
    /// Probability of `down`, in thousandths.
    pub down_per_mille: u16,
    /// Probability of `delay_ms`, in thousandths.
    pub delay_per_mille: u16,
    /// Probability of `lose_answers`, in thousandths.
    pub lose_per_mille: u16,
    /// Probability of `late_write_ms`, in thousandths.
    pub late_per_mille: u16,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            scope: FaultScope::All,
            down: false,
            delay_ms: 0,
            lose_answers: false,
            late_write_ms: 0,
            down_per_mille: 1000,
            delay_per_mille: 1000,
            lose_per_mille: 1000,
            late_per_mille: 1000,
        }
    }
}

/// Faults of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallFaults {
    pub(crate) down: bool,
    pub(crate) delay_ms: u64,
    pub(crate) lose_answer: bool,
    pub(crate) late_ms: u64,
}

impl PlatformFaults {
    /// Draws the faults of one call; `draw` returns numbers in 0..1000.
    pub(crate) fn of_call(
        &self,
        service: FaultScope,
        is_write: bool,
        mut draw: impl FnMut() -> u16,
    ) -> CallFaults {
        let concerned = matches!(self.scope, FaultScope::All) || self.scope == service;
        // All four are drawn each time, so that one switch does not shift the draws of another.
        let mut occurs = |per_mille: u16| draw() < per_mille && concerned;
        let down = occurs(self.down_per_mille) && self.down;
        let delayed = occurs(self.delay_per_mille);
        let lost = occurs(self.lose_per_mille) && self.lose_answers;
        let late = occurs(self.late_per_mille) && is_write;
        CallFaults {
            down,
            delay_ms: if delayed { self.delay_ms } else { 0 },
            lose_answer: lost && is_write,
            late_ms: if late { self.late_write_ms } else { 0 },
        }
    }
}
