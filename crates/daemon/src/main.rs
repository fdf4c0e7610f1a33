//! The `sesamedeald` binary.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use sesamedeal_daemon::{DaemonSettings, EntryInstance, Result, run_on_platform};
use tokio::runtime::Builder;

/// Entry instance of sesamedeal: runs between callers and backend servers.
#[derive(Debug, FromArgs)]
struct DaemonArgs {
    /// file with the settings, in TOML; without it, the settings of the users' platform are used
    #[argh(option)]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: DaemonArgs = argh::from_env();
    let result = match &args.settings {
        Some(path) => run(path),
        None => run_on_platform(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sesamedeald: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(path: &Path) -> Result<()> {
    let settings = DaemonSettings::load(path)?;
    let runtime = Builder::new_multi_thread().enable_all().build();
    runtime.expect("the runtime starts").block_on(async {
        EntryInstance::start(settings)
            .await?
            .run_until_signal()
            .await
    })
}
