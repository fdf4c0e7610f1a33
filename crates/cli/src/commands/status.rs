use sesamedeal_wire::admin::{SessionStatus, StatusReply};

use super::pool::print_pools;
use super::zone::request;
use crate::args::StatusArgs;
use crate::error::Result;
use crate::operator_client::OperatorClient;
use crate::output::{print_json, print_line, print_table};

/// Shows the state of the entry instances, the pools and the store.
pub(crate) async fn status(args: StatusArgs) -> Result<()> {
    let status = OperatorClient::new(&args.operator())?.status().await?;
    if args.json {
        print_json(&status);
    } else {
        print_status(&status);
    }
    Ok(())
}

fn print_status(status: &StatusReply) {
    let evidence = match status.evidence_age_ms {
        Some(age) => format!("{age} ms old"),
        None => "none".to_owned(),
    };
    let controller = status
        .controller
        .map_or("unknown".to_owned(), |id| id.to_string());
    let store = if status.store_reachable {
        "reachable"
    } else {
        "not reachable"
    };
    let keyed = if status.keyed_work {
        "accepted"
    } else {
        "refused"
    };
    print_line(&format!(
        "generation {} (settled {})",
        status.generation, status.settled
    ));
    print_line(&format!(
        "evidence of the head: {evidence}; work with keys: {keyed}; store: {store}"
    ));
    print_line(&format!("controller: {controller}"));
    if let Some(wave) = &status.wave {
        print_line(&format!("maintenance: {wave}"));
    }
    for zone in &status.zones {
        if let Some(request) = request(zone) {
            print_line(&format!("zone {}: {request}", zone.zone));
        }
    }
    print_line("");
    let rows: Vec<[String; 6]> = status.sessions.iter().map(session_row).collect();
    let titles = ["session", "address", "zone", "state", "applied", "quiesced"];
    print_table(titles, &rows);
    print_line("");
    print_pools(&status.pools);
}

fn session_row(session: &SessionStatus) -> [String; 6] {
    [
        session.session.to_string(),
        session.address.to_string(),
        session.zone.to_string(),
        session.state.to_string(),
        session.applied.to_string(),
        session.quiesced.to_string(),
    ]
}
