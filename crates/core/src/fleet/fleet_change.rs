use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{
    DayTime, InstanceRecord, InstanceState, KeyRecord, MemberStep, PoolRecord, QueueRecord,
    SessionView, SheetRow, TeamRecord,
};
use crate::ids::{InstanceName, KeyId, PoolName, QueueName, TeamName, WaveName, ZoneName};

/// A change to the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FleetChange {
    /// Creates or replaces a pool.
    PutPool {
        /// Name of the pool.
        name: PoolName,
        /// New settings.
        pool: PoolRecord,
    },
    /// Sets the size of a pool to zero and marks the pool for removal once it has no instances.
    ClosePool {
        /// Name of the pool.
        name: PoolName,
    },
    /// Removes a pool that has no instances and no queues.
    RemovePool {
        /// Name of the pool.
        name: PoolName,
    },
    /// Creates or replaces a team.
    PutTeam {
        /// Name of the team.
        name: TeamName,
        /// New settings.
        team: TeamRecord,
    },
    /// Removes a team and withdraws its keys.
    RemoveTeam {
        /// Name of the team.
        name: TeamName,
    },
    /// Creates or replaces a queue.
    PutQueue {
        /// Name of the queue.
        name: QueueName,
        /// New settings.
        queue: QueueRecord,
    },
    /// Removes a queue.
    RemoveQueue {
        /// Name of the queue.
        name: QueueName,
    },
    /// Grants a key. Key ids are never reused.
    GrantKey {
        /// Identifier of the key.
        id: KeyId,
        /// Team and hash of the secret.
        key: KeyRecord,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// Identifier of the key.
        id: KeyId,
    },
    /// Registers an instance, or replaces its record if pool and state are unchanged.
    PutInstance {
        /// Platform name of the instance.
        name: InstanceName,
        /// New record.
        instance: InstanceRecord,
    },
    /// Changes the state of an instance.
    SetInstanceState {
        /// Platform name of the instance.
        name: InstanceName,
        /// New state.
        state: InstanceState,
    },
    /// Completes a move: assigns the instance to its target pool and makes it active.
    AssignInstance {
        /// Platform name of the instance.
        name: InstanceName,
        /// Target pool of the move.
        pool: PoolName,
    },
    /// Records the day on which an instance was maintained.
    MarkMaintained {
        /// Platform name of the instance.
        name: InstanceName,
        /// Day of the maintenance, in days since 1970-01-01.
        day: u32,
    },
    /// Removes a failed instance that the platform no longer lists.
    RemoveInstance {
        /// Platform name of the instance.
        name: InstanceName,
    },
    /// Replaces the set of sessions among which worker slots and team permits are divided.
    SetView {
        /// New view.
        view: SessionView,
    },
    /// Puts a sheet into force. The same record contains the changes for the rows that are in
    /// effect at this time.
    PutSheet {
        /// Rows for the whole day.
        rows: Vec<SheetRow>,
        /// Time up to which the rows have been applied.
        applied: DayTime,
    },
    /// Advances the time up to which the rows of the sheet have been applied.
    AdvanceSheet {
        /// Time up to which the rows have been applied.
        to: DayTime,
    },
    /// Starts a maintenance wave.
    StartWave {
        /// Name of the wave.
        wave: WaveName,
        /// Start time.
        started: DayTime,
        /// Instances to maintain.
        members: Vec<InstanceName>,
    },
    /// Halts a wave, so that it starts maintenance on no further instances.
    HaltWave {
        /// Name of the wave.
        wave: WaveName,
        /// Reason for the halt.
        reason: CompactString,
        /// Whether the wave resumes automatically once its failed members have recovered.
        resumes: bool,
    },
    /// Resumes a halted wave. Its failed members are skipped.
    ResumeWave {
        /// Name of the wave.
        wave: WaveName,
    },
    /// Records the progress of one instance in a wave.
    SetWaveMember {
        /// Name of the wave.
        wave: WaveName,
        /// Platform name of the instance.
        name: InstanceName,
        /// New step of the instance.
        step: MemberStep,
    },
    /// Marks a wave as finished. It must have no pending, working or failed members.
    FinishWave {
        /// Name of the wave.
        wave: WaveName,
    },
    /// Removes a wave that has no working members.
    RemoveWave {
        /// Name of the wave.
        wave: WaveName,
    },
    /// Requests that nothing more starts in an availability zone. Has no effect if it is requested
    /// already.
    EvacuateZone {
        /// Name of the availability zone.
        zone: ZoneName,
        /// Time of the request.
        requested: DayTime,
    },
    /// Withdraws the request to evacuate an availability zone. Has no effect if there is none.
    ReopenZone {
        /// Name of the availability zone.
        zone: ZoneName,
    },
}
