use std::time::Duration;

use sesamedeal_core::fleet::{FleetChange, FleetState, MemberStep, WaveStatus};
use sesamedeal_core::ids::{InstanceName, PoolName, WaveName};
use sesamedeal_standin::backend::BackendFaults;
use sesamedeal_standin::platform::PlatformFaults;
use tokio::time::{Instant, sleep, sleep_until};

use super::demo_fleet::DemoFleet;
use super::demo_load::DemoTeam;
use crate::error::Result;

/// Team whose key is withdrawn.
const WITHDRAWN_TEAM: &str = "san-fernando";

/// Pool that is maintained.
const MAINTAINED_POOL: &str = "payroll";

/// Longest time for the maintenance wave, beyond the other events.
const WAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Lets the failures of the demonstration happen while load is sent.
pub(crate) async fn run_events(fleet: &mut DemoFleet, teams: &[DemoTeam]) -> Result<()> {
    let start = Instant::now();
    let at = |seconds: u64| sleep_until(start + Duration::from_secs(seconds));
    start_wave(fleet).await?;
    at(1).await;
    fail_worker(fleet);
    at(2).await;
    withdraw_key(fleet, teams).await?;
    at(5).await;
    drain_worker(fleet);
    at(9).await;
    note("the table service and the object store go down for 3 s");
    let faults = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    fleet.platform.set_faults(faults);
    at(12).await;
    fleet.platform.set_faults(PlatformFaults::default());
    note("the store is back");
    at(14).await;
    kill_entry(fleet).await;
    wait_wave(fleet, start + Duration::from_secs(14) + WAVE_TIMEOUT).await
}

fn note(text: &str) {
    eprintln!("{text}");
}

fn fail_worker(fleet: &DemoFleet) {
    let name = worker_of(fleet, "rotas");
    note(&format!("{name} begins to fail every task"));
    if let Some(backend) = fleet.backends.backend(&name) {
        backend.set_faults(BackendFaults {
            fail_all: true,
            ..BackendFaults::default()
        });
    }
}

fn drain_worker(fleet: &DemoFleet) {
    let name = worker_of(fleet, "swaps");
    note(&format!("{name} begins to leave"));
    fleet.platform.drain(&name);
}

/// Name of a worker of a pool; the pools are filled in order of their names.
fn worker_of(fleet: &DemoFleet, pool: &str) -> InstanceName {
    let place = fleet.first_place(pool);
    fleet.backends.names()[place].clone()
}

async fn start_wave(fleet: &DemoFleet) -> Result<()> {
    note(&format!(
        "a maintenance wave begins in pool {MAINTAINED_POOL}"
    ));
    let client = fleet.operator(1)?;
    let context = client.plan_context().await?;
    let members = |state: &FleetState| {
        let pool = PoolName::new(MAINTAINED_POOL);
        let instances = state.instances.iter();
        let members = instances.filter(|(_, instance)| instance.pool == pool);
        members.map(|(name, _)| name.clone()).collect()
    };
    let changed = client.change(|state| {
        Ok(vec![FleetChange::StartWave {
            wave: WaveName::new("demo"),
            started: context.now,
            members: members(state),
        }])
    });
    changed.await.map(|_| ())
}

async fn withdraw_key(fleet: &DemoFleet, teams: &[DemoTeam]) -> Result<()> {
    let Some(team) = teams
        .iter()
        .find(|team| team.name.as_str() == WITHDRAWN_TEAM)
    else {
        return Ok(());
    };
    note(&format!("the key of {} is withdrawn", team.name));
    let id = team.key.id.clone();
    let client = fleet.operator(0)?;
    client
        .change(|_| Ok(vec![FleetChange::WithdrawKey { id: id.clone() }]))
        .await?;
    fleet.platform.observer().withdraw_key(id.as_str());
    Ok(())
}

async fn kill_entry(fleet: &mut DemoFleet) {
    let Some(entry) = fleet.entries.pop() else {
        return;
    };
    let address = entry.address();
    note(&format!("the entry instance {address} is killed"));
    entry.kill().await;
    fleet
        .platform
        .remove_instance(&InstanceName::new(address.to_string()));
}

async fn wait_wave(fleet: &DemoFleet, deadline: Instant) -> Result<()> {
    let client = fleet.operator(0)?;
    loop {
        let state = client.state().await?;
        let Some(wave) = state.waves.get("demo") else {
            return Ok(());
        };
        let done = wave.count(MemberStep::Done);
        if wave.status == WaveStatus::Finished || Instant::now() >= deadline {
            note(&format!(
                "maintenance: {done} of {} instances done",
                wave.members.len()
            ));
            return Ok(());
        }
        sleep(Duration::from_millis(200)).await;
    }
}
