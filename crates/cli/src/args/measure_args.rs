use argh::FromArgs;

use crate::measure::MeasuredUser;
use crate::measure::pools::DemandFamily;

/// Measure the decisions on virtual time, next to baselines. The same seed gives the same output.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct MeasureArgs {
    /// whose settings: trust, consorcio or both
    #[argh(option, default = "MeasuredUser::Both")]
    pub user: MeasuredUser,

    /// seed of all random choices
    #[argh(option, default = "1")]
    pub seed: u64,

    /// measure the request path over loopback instead, next to a plain pass-through; these
    /// figures depend on the machine
    #[argh(switch)]
    pub requests: bool,

    /// compare rules for the sizes of pools instead, under several patterns of demand
    #[argh(switch)]
    pub pools: bool,

    /// with --pools: demand family to simulate, several times for several; all if left out
    #[argh(option)]
    pub family: Vec<DemandFamily>,

    /// with --pools: number of successive seeds, from --seed on
    #[argh(option, default = "20")]
    pub seeds: u64,

    /// with --pools: number of instances of the fleet
    #[argh(option, default = "49")]
    pub instances: usize,

    /// with --pools: factor of the run times of the tasks; as many more or fewer jobs arrive
    #[argh(option, default = "1.0", from_str_fn(parse_factor))]
    pub run_time: f64,

    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
}

fn parse_factor(text: &str) -> Result<f64, String> {
    let factor = text.parse::<f64>().ok();
    let factor = factor.filter(|factor| factor.is_finite() && *factor > 0.0);
    factor.ok_or_else(|| format!("{text:?} is not a number above 0"))
}
