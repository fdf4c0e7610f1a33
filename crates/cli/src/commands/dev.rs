use std::net::SocketAddr;

use compact_str::format_compact;
use sesamedeal_core::ids::{ImageName, InstanceName, RackName, ZoneName};
use sesamedeal_standin::platform::{PlatformControl, PlatformFaults};
use sesamedeal_standin::{
    BackendOptions, ControlClient, PlatformOptions, run_backend, run_platform,
};
use sesamedeal_store::protocol::{ListedState, PlatformInstance};

use crate::args::{BackendArgs, DevArgs, DevCommand, FaultsArgs, ListEntryArgs, PlatformArgs};
use crate::error::{CliError, Result};
use crate::output::{print_json, print_line};

/// Runs a command of `dev`.
pub(crate) async fn dev(args: DevArgs) -> Result<()> {
    let (what, result) = match args.command {
        DevCommand::Platform(args) => ("platform", platform(&args).await),
        DevCommand::Backend(args) => ("backend", backend(&args).await),
        DevCommand::ListEntry(args) => ("list-entry", list_entry(&args).await),
        DevCommand::Faults(args) => ("faults", faults(&args).await),
        DevCommand::Violations(args) => ("violations", violations(args.platform).await),
    };
    result.map_err(|error| CliError::Start {
        what: what.to_owned(),
        reason: error.to_string(),
    })
}

async fn platform(args: &PlatformArgs) -> std::io::Result<()> {
    let options = PlatformOptions {
        control: PlatformControl {
            list_lag_ms: args.list_lag_ms,
            reboot_ms: args.reboot_ms,
            ..PlatformControl::default()
        },
        ..PlatformOptions::new(args.listen)
    };
    run_platform(options, |address| {
        print_line(&format!("platform listens on {address}"))
    })
    .await
}

async fn backend(args: &BackendArgs) -> std::io::Result<()> {
    let options = BackendOptions {
        platform: args.platform,
        zone: ZoneName::new(&args.zone),
        rack: RackName::new(&args.rack),
        ..BackendOptions::new(args.listen, &args.name)
    };
    run_backend(options, |address| {
        print_line(&format!("backend listens on {address}"))
    })
    .await
}

async fn list_entry(args: &ListEntryArgs) -> std::io::Result<()> {
    let instance = entry_instance(args.entry, ZoneName::new(&args.zone));
    ControlClient::new(args.platform)?
        .put_instance(&instance)
        .await
}

/// An entry instance as the platform lists it.
pub(crate) fn entry_instance(address: SocketAddr, zone: ZoneName) -> PlatformInstance {
    PlatformInstance {
        name: InstanceName::new(address.to_string()),
        entry: true,
        address: format_compact!("{address}"),
        rack: RackName::new(format_compact!("{zone}-rack-0")),
        zone,
        image: ImageName::new("image-1"),
        state: ListedState::Live,
        boot: 1,
        cores: 4,
        memory_mb: 8 * 1024,
        slots: 0,
    }
}

async fn faults(args: &FaultsArgs) -> std::io::Result<()> {
    let faults = PlatformFaults {
        down: args.down,
        delay_ms: args.delay_ms,
        lose_answers: args.lose_answers,
        ..PlatformFaults::default()
    };
    ControlClient::new(args.platform)?.set_faults(&faults).await
}

async fn violations(platform: SocketAddr) -> std::io::Result<()> {
    print_json(&ControlClient::new(platform)?.violations().await?);
    Ok(())
}
