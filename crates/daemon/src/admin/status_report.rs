use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use compact_str::CompactString;
use sesamedeal_core::fleet::{DayTime, FleetState, InstanceRecord, MemberStep, WaveStatus};
use sesamedeal_core::ids::{PoolName, ZoneName};
use sesamedeal_core::membership::{SessionRecord, SessionState};
use sesamedeal_wire::admin::{
    EvacuationStatus, InstanceStatus, PoolStatus, SessionStatus, StatusReply, ZoneStatus,
};

use crate::clock::day_time;
use crate::entry_context::EntryContext;
use crate::session::session_rows;

/// Status of this entry instance and of the fleet as far as it knows. Without the table service
/// the sessions are left out.
pub(super) async fn status(context: &EntryContext) -> StatusReply {
    let sessions = session_rows(&context.client).await.unwrap_or_default();
    let state = context.keeper.state();
    let age = context.gate.age();
    StatusReply {
        session: context.session,
        generation: state.generation,
        settled: context.keeper.settled(),
        evidence_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        keyed_work: context.gate.verdict().allows_work(),
        store_reachable: context.store_up.load(Ordering::Acquire),
        controller: context.controller(),
        sessions: sessions.into_iter().map(session_status).collect(),
        pools: pools(&state),
        instances: instances(&state),
        zones: zones(&state, day_time(context.settings.utc_offset_minutes)),
        wave: waves(&state),
    }
}

fn session_status(row: SessionRecord) -> SessionStatus {
    let state = match row.state {
        SessionState::Active => "active",
        SessionState::Leaving => "leaving",
        SessionState::Left => "left",
    };
    SessionStatus {
        session: row.session,
        address: row.address,
        zone: row.zone,
        state: state.into(),
        applied: row.applied,
        quiesced: row.quiesced,
    }
}

fn pools(state: &FleetState) -> Vec<PoolStatus> {
    let mut counts: BTreeMap<&PoolName, (u32, u32)> = BTreeMap::new();
    for instance in state.instances.values() {
        let (members, available) = counts.entry(&instance.pool).or_default();
        *members += 1;
        *available += u32::from(takes_work(state, instance));
    }
    let pools = state.pools.iter().map(|(name, pool)| {
        let (members, available) = counts.get(name).copied().unwrap_or_default();
        PoolStatus {
            name: name.clone(),
            size: pool.size,
            instances: members,
            available,
            max_unavailable: pool.max_unavailable,
            spare: pool.spare,
        }
    });
    pools.collect()
}

fn instances(state: &FleetState) -> Vec<InstanceStatus> {
    let instances = state
        .instances
        .iter()
        .map(|(name, instance)| InstanceStatus {
            name: name.clone(),
            pool: instance.pool.clone(),
            state: instance.state.label().into(),
            address: instance.address.clone(),
            zone: instance.zone.clone(),
            rack: instance.rack.clone(),
        });
    instances.collect()
}

/// Availability zones by name, with the age of each request to evacuate one.
fn zones(state: &FleetState, now: DayTime) -> Vec<ZoneStatus> {
    let evacuated = state.evacuations.keys().map(|zone| (zone, (0, 0)));
    let mut counts: BTreeMap<&ZoneName, (u32, u32)> = evacuated.collect();
    for instance in state.instances.values() {
        let (members, available) = counts.entry(&instance.zone).or_default();
        *members += 1;
        *available += u32::from(takes_work(state, instance));
    }
    let zones = counts
        .into_iter()
        .map(|(zone, (instances, available))| ZoneStatus {
            zone: zone.clone(),
            instances,
            available,
            evacuation: state
                .evacuations
                .get(zone)
                .map(|evacuation| EvacuationStatus {
                    requested: evacuation.requested,
                    age_s: now.seconds_since(evacuation.requested),
                }),
        });
    zones.collect()
}

fn takes_work(state: &FleetState, instance: &InstanceRecord) -> bool {
    instance.state.is_active() && !state.is_evacuated(&instance.zone)
}

/// State of the unfinished waves, if there are any.
fn waves(state: &FleetState) -> Option<CompactString> {
    let waves = state.waves.iter().filter_map(|(name, wave)| {
        let done = wave.count(MemberStep::Done);
        let all = wave.members.len();
        match &wave.status {
            WaveStatus::Running => Some(format!("{name}: running, {done} of {all} done")),
            WaveStatus::Halted { reason, .. } => {
                Some(format!("{name}: halted ({reason}), {done} of {all} done"))
            }
            WaveStatus::Finished => None,
        }
    });
    let text: Vec<String> = waves.collect();
    (!text.is_empty()).then(|| text.join("; ").into())
}
