use sesamedeal_wire::admin::InstanceStatus;

use crate::args::{InstanceArgs, InstanceCommand};
use crate::error::Result;
use crate::operator_client::OperatorClient;
use crate::output::{print_json, print_table};

/// Runs a command of `instance`.
pub(crate) async fn instance(args: InstanceArgs) -> Result<()> {
    let InstanceCommand::List(args) = args.command;
    let mut instances = OperatorClient::new(&args.operator())?
        .status()
        .await?
        .instances;
    if let Some(pool) = &args.pool {
        instances.retain(|instance| instance.pool.as_str() == pool);
    }
    if args.json {
        print_json(&instances);
        return Ok(());
    }
    let rows: Vec<[String; 6]> = instances.iter().map(row).collect();
    let titles = ["instance", "pool", "state", "zone", "rack", "address"];
    print_table(titles, &rows);
    Ok(())
}

fn row(instance: &InstanceStatus) -> [String; 6] {
    [
        instance.name.to_string(),
        instance.pool.to_string(),
        instance.state.to_string(),
        instance.zone.to_string(),
        instance.rack.to_string(),
        instance.address.to_string(),
    ]
}
