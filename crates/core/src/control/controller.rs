use std::collections::BTreeMap;
use std::time::Duration;

use super::control_memory::ControlMemory;
use super::step_draft::StepDraft;
use super::{ControlInput, ControlNote, ControlStep};
use crate::fleet::FleetChange;
use crate::membership::{MembershipPolicy, SessionTracker};
use crate::moves::PlanPolicy;

/// Settings of the controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlPolicy {
    /// Time bounds for absent sessions and instances.
    pub membership: MembershipPolicy,
    /// Weights and times for the planning of moves.
    pub plan: PlanPolicy,
    /// Absence from the platform's list after which an instance counts as failed.
    pub absence_grace: Duration,
    /// Time after which an instance that has not completed its reboot counts as failed.
    pub reboot_deadline: Duration,
    /// Time after which a reboot that has not happened is requested again.
    pub reboot_retry: Duration,
    /// Time for which all failed members of a halted wave must be back in service before the wave
    /// resumes. A failure within this time after a reboot counts as a failure of the wave.
    pub recovery_time: Duration,
    /// Absence after which a failed instance is removed. Shorter absences are treated as outages
    /// of a rack or a zone, after which the instances return to their pools.
    pub removal_time: Duration,
}

impl ControlPolicy {
    /// Creates the default policy.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            membership: MembershipPolicy::new(),
            plan: PlanPolicy::with_short_rollout(),
            absence_grace: Duration::from_secs(3),
            reboot_deadline: Duration::from_mins(10),
            reboot_retry: Duration::from_mins(1),
            recovery_time: Duration::from_mins(10),
            removal_time: Duration::from_mins(10),
        }
    }
}

impl Default for ControlPolicy {
    fn default() -> Self {
        Self::new()
    }
}

/// Decides on changes to the fleet, reboots, snapshots and cleanup.
///
/// A process that takes over the controller's lease creates a new controller.
#[derive(Debug)]
pub struct Controller {
    policy: ControlPolicy,
    tracker: SessionTracker,
    memory: ControlMemory,
}

impl Controller {
    /// Creates a controller without observations.
    #[must_use]
    pub const fn new(policy: ControlPolicy) -> Self {
        Self {
            policy,
            tracker: SessionTracker::new(policy.membership),
            memory: ControlMemory::new(),
        }
    }

    /// Decides on the actions for an input. The result depends only on the inputs since `new`.
    ///
    /// The caller writes all changes as one log record. If the record is rejected because the state
    /// has changed, the next step decides again on the new state.
    pub fn step(&mut self, input: ControlInput<'_>) -> ControlStep {
        let mut draft = StepDraft::new(input, &self.policy);
        let list = input.list.filter(|list| !list.is_empty());
        let has_list = list.is_some();
        match list {
            Some(list) => {
                self.tracker.observe(input.sessions, list, input.now);
                draft.update_sessions(&self.tracker, list);
                let listed: BTreeMap<_, _> =
                    list.iter().map(|entry| (&entry.name, entry)).collect();
                draft.sync_instances(&mut self.memory, &listed);
                draft.advance_waves(&mut self.memory);
            }
            None => draft.step.notes.push(ControlNote::ListUnavailable),
        }
        if !draft.apply_due_rows() {
            draft.finish_moves();
            draft.apply_health_reports();
            // Without the list, failures go undetected and the budgets may already be used up.
            if has_list {
                draft.start_moves();
                draft.start_maintenance();
            }
        }
        draft.plan_housekeeping(&mut self.memory, &self.tracker);
        draft.step
    }
}

impl StepDraft<'_> {
    fn update_sessions(
        &mut self,
        tracker: &SessionTracker,
        list: &[crate::membership::ListedInstance],
    ) {
        let (state, sessions) = (self.input.state, self.input.sessions);
        let view = tracker.view(&state.view, sessions);
        let report = tracker.settled(state.generation, &view, sessions, list);
        if self.input.is_scanned {
            self.step.settled = self.step.settled.max(report.settled);
        }
        if view != state.view {
            self.step.changes.push(FleetChange::SetView { view });
        }
        if !report.outstanding.is_empty() {
            self.step
                .notes
                .push(ControlNote::Outstanding(report.outstanding));
        }
        let unknown = report.unknown.into_iter().map(ControlNote::UnknownEntry);
        self.step.notes.extend(unknown);
    }
}
