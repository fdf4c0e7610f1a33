use sesamedeal_wire::admin::PoolStatus;

use crate::args::{PoolArgs, PoolCommand};
use crate::error::Result;
use crate::operator_client::OperatorClient;
use crate::output::{print_json, print_table};

/// Runs a command of `pool`.
pub(crate) async fn pool(args: PoolArgs) -> Result<()> {
    let PoolCommand::List(args) = args.command;
    let status = OperatorClient::new(&args.operator())?.status().await?;
    if args.json {
        print_json(&status.pools);
    } else {
        print_pools(&status.pools);
    }
    Ok(())
}

/// Prints the pools as a table.
pub(crate) fn print_pools(pools: &[PoolStatus]) {
    let rows: Vec<[String; 5]> = pools
        .iter()
        .map(|pool| {
            let mark = if pool.spare { " (spare)" } else { "" };
            [
                format!("{}{mark}", pool.name),
                pool.size.to_string(),
                pool.instances.to_string(),
                pool.available.to_string(),
                pool.max_unavailable.to_string(),
            ]
        })
        .collect();
    let titles = ["pool", "size", "instances", "available", "budget"];
    print_table(titles, &rows);
}
