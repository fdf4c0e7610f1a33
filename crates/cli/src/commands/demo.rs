use crate::args::DemoArgs;
use crate::demo::{DemoReport, run_demo};
use crate::error::{CliError, Result};
use crate::output::print_json;

/// Runs the demonstration and fails if a promise was broken.
pub(crate) async fn demo(args: DemoArgs) -> Result<()> {
    let report = run_demo(args.seed).await?;
    if args.json {
        print_json(&report);
    } else {
        report.print();
    }
    check(&report)
}

fn check(report: &DemoReport) -> Result<()> {
    match report.broken_promises() {
        0 => Ok(()),
        count => Err(CliError::BrokenPromises { count }),
    }
}
