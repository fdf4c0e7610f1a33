use serde::Serialize;
use sesamedeal_core::ids::Generation;

use crate::error::Result;
use crate::operator_client::OperatorClient;
use crate::output::{print_json, print_line};

#[derive(Debug, Serialize)]
struct InForceResult {
    generation: Generation,
    in_force: bool,
}

/// Waits until a change is in force at every entry instance and says so.
pub(crate) async fn report_in_force(
    client: &OperatorClient,
    generation: Generation,
    json: bool,
) -> Result<()> {
    eprintln!("accepted as generation {generation}");
    client
        .wait_in_force(generation, |reply| {
            eprintln!("waiting for {}", reply.outstanding.join(", "));
        })
        .await?;
    if json {
        print_json(&InForceResult {
            generation,
            in_force: true,
        });
    } else {
        print_line(&format!(
            "generation {generation} is in force on every entry instance"
        ));
    }
    Ok(())
}
