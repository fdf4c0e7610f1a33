//! The `sesamedeald` binary.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use sesamedeal_daemon::{DaemonSettings, EntryInstance, Result};

/// Entry instance of sesamedeal: runs between callers and backend servers.
#[derive(Debug, FromArgs)]
struct DaemonArgs {
    /// file with the settings, in TOML
    #[argh(option)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: DaemonArgs = argh::from_env();
    match run(&args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sesamedeald: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &DaemonArgs) -> Result<()> {
    let settings = DaemonSettings::load(&args.settings)?;
    EntryInstance::start(settings)
        .await?
        .run_until_signal()
        .await
}
