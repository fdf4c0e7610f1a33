use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{
    DayTime, InstanceRecord, InstanceState, KeyRecord, MemberStep, PoolRecord, QueueRecord,
    SessionView, SheetRow, TeamRecord,
};
use crate::ids::{InstanceName, KeyId, PoolName, QueueName, TeamName, WaveName};

/// A change of the agreed state.
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
    /// Sets the size of a pool to zero and marks it for removal once it has no instances.
    ClosePool {
        /// Name of the pool.
        name: PoolName,
    },
    /// Removes a pool without instances and queues.
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
    /// Removes a team; its keys are withdrawn.
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
    /// Grants a key. Key ids are used once.
    GrantKey {
        /// Identifier of the key.
        id: KeyId,
        /// Team and hashed secret.
        key: KeyRecord,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// Identifier of the key.
        id: KeyId,
    },
    /// Registers an instance, or replaces the description of one whose pool and state are equal.
    PutInstance {
        /// Platform name of the instance.
        name: InstanceName,
        /// Its description.
        instance: InstanceRecord,
    },
    /// Changes the state of an instance.
    SetInstanceState {
        /// Platform name of the instance.
        name: InstanceName,
        /// Its new state.
        state: InstanceState,
    },
    /// Puts a moving instance into its new pool and makes it active.
    AssignInstance {
        /// Platform name of the instance.
        name: InstanceName,
        /// Its new pool.
        pool: PoolName,
    },
    /// Records that an instance was maintained.
    MarkMaintained {
        /// Platform name of the instance.
        name: InstanceName,
        /// Days since 1970-01-01.
        day: u32,
    },
    /// Removes a failed instance that the platform no longer lists.
    RemoveInstance {
        /// Platform name of the instance.
        name: InstanceName,
    },
    /// Sets the sessions among which units are allocated.
    SetView {
        /// The new view.
        view: SessionView,
    },
    /// Puts a sheet in force. The changes that hold at this time are in the same record.
    PutSheet {
        /// Rows of the whole day.
        rows: Vec<SheetRow>,
        /// Time up to which the rows are applied.
        applied: DayTime,
    },
    /// Records that the rows of the sheet are applied up to a later time.
    AdvanceSheet {
        /// Time up to which the rows are applied.
        to: DayTime,
    },
    /// Starts a maintenance wave.
    StartWave {
        /// Name of the wave.
        wave: WaveName,
        /// When it starts.
        started: DayTime,
        /// Instances to maintain.
        members: Vec<InstanceName>,
    },
    /// Stops a wave from taking further instances.
    HaltWave {
        /// Name of the wave.
        wave: WaveName,
        /// Why it is halted.
        reason: CompactString,
        /// Whether it resumes by rule once its failed members have recovered.
        resumes: bool,
    },
    /// Lets a halted wave continue. Its failed members are skipped.
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
        /// Its progress.
        step: MemberStep,
    },
    /// Marks a wave without pending, working or failed members as finished.
    FinishWave {
        /// Name of the wave.
        wave: WaveName,
    },
    /// Removes a wave without working members.
    RemoveWave {
        /// Name of the wave.
        wave: WaveName,
    },
}
