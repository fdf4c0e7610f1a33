use std::collections::BTreeSet;

use sesamedeal_core::code::ResultCode;
use sesamedeal_core::fleet::{FleetChange, FleetState};
use sesamedeal_core::ids::ZoneName;
use sesamedeal_wire::admin::ZoneStatus;

use super::in_force::report_in_force;
use crate::args::{ZoneArgs, ZoneCommand};
use crate::error::{CliError, Result};
use crate::operator_client::OperatorClient;
use crate::output::{print_json, print_table};

/// Runs a command of `zone`.
pub(crate) async fn zone(args: ZoneArgs) -> Result<()> {
    match args.command {
        ZoneCommand::Evacuate(args) => {
            let client = OperatorClient::new(&args.operator())?;
            let requested = client.plan_context().await?.now;
            let zone = ZoneName::new(&args.zone);
            let change = FleetChange::EvacuateZone {
                zone: zone.clone(),
                requested,
            };
            append(&client, &zone, &change, args.json).await
        }
        ZoneCommand::Reopen(args) => {
            let client = OperatorClient::new(&args.operator())?;
            let zone = ZoneName::new(&args.zone);
            let change = FleetChange::ReopenZone { zone: zone.clone() };
            append(&client, &zone, &change, args.json).await
        }
        ZoneCommand::List(args) => {
            let status = OperatorClient::new(&args.operator())?.status().await?;
            if args.json {
                print_json(&status.zones);
            } else {
                print_zones(&status.zones);
            }
            Ok(())
        }
    }
}

async fn append(
    client: &OperatorClient,
    zone: &ZoneName,
    change: &FleetChange,
    json: bool,
) -> Result<()> {
    let generation = client
        .change(|state| {
            check_zone(state, zone)?;
            Ok(vec![change.clone()])
        })
        .await?;
    report_in_force(client, generation, json).await
}

/// Checks that a zone has instances or is evacuated, or says which zones there are.
fn check_zone(state: &FleetState, zone: &ZoneName) -> Result<()> {
    let instances = state.instances.values();
    let zones: BTreeSet<&ZoneName> = instances.map(|instance| &instance.zone).collect();
    if zones.contains(zone) || state.is_evacuated(zone) {
        return Ok(());
    }
    let names: Vec<&str> = zones.into_iter().map(ZoneName::as_str).collect();
    let text = if names.is_empty() {
        format!("no instance is in zone {zone}; the fleet has no instances")
    } else {
        format!(
            "no instance is in zone {zone}; the zones are {}",
            names.join(", ")
        )
    };
    Err(CliError::Refused {
        code: ResultCode::InvalidChange,
        text,
    })
}

fn print_zones(zones: &[ZoneStatus]) {
    let rows: Vec<[String; 4]> = zones
        .iter()
        .map(|zone| {
            [
                zone.zone.to_string(),
                zone.instances.to_string(),
                zone.available.to_string(),
                request(zone).unwrap_or_else(|| "open".to_owned()),
            ]
        })
        .collect();
    let titles = ["zone", "instances", "available", "request"];
    print_table(titles, &rows);
}

/// Describes the request to evacuate a zone, if there is one.
pub(crate) fn request(zone: &ZoneStatus) -> Option<String> {
    let evacuation = zone.evacuation?;
    Some(format!("evacuated, requested {} s ago", evacuation.age_s))
}
