//! The `sesamedeal` binary.

use std::process::ExitCode;

use sesamedeal_cli::SesameArgs;

#[tokio::main]
async fn main() -> ExitCode {
    let args: SesameArgs = argh::from_env();
    match sesamedeal_cli::run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sesamedeal: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
