use sesamedeal_core::fleet::{ChangeRecord, FleetChange};

use crate::args::{ConfigArgs, ConfigCommand};
use crate::error::Result;
use crate::operator_client::OperatorClient;
use crate::output::{print_json, print_table};

/// Runs a command of `config`.
pub(crate) async fn config(args: ConfigArgs) -> Result<()> {
    let ConfigCommand::History(args) = args.command;
    let history = OperatorClient::new(&args.operator())?.history().await?;
    if args.json {
        print_json(&history);
        return Ok(());
    }
    let rows: Vec<[String; 3]> = history.records.iter().map(row).collect();
    print_table(["generation", "author", "changes"], &rows);
    Ok(())
}

fn row(record: &ChangeRecord) -> [String; 3] {
    let changes: Vec<String> = record.changes.iter().map(change_kind).collect();
    [
        record.generation.to_string(),
        record.author.to_string(),
        changes.join(", "),
    ]
}

/// The kind of a change as it stands in the change log.
pub(crate) fn change_kind(change: &FleetChange) -> String {
    let value = serde_json::to_value(change).unwrap_or_default();
    let kind = value["kind"].as_str().unwrap_or_default();
    match value["name"].as_str().or_else(|| value["id"].as_str()) {
        Some(name) => format!("{kind} {name}"),
        None => kind.to_owned(),
    }
}
