#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use compact_str::CompactString;
use serde_json::json;
use sesamedeal_core::fleet::{FleetChange, TeamRecord};
use sesamedeal_core::ids::{OperationId, TeamName};
use sesamedeal_standin::platform::PlatformStandin;
use sesamedeal_store::protocol::{RowCondition, RowPut, WriteRequest};
use sesamedeal_store::{PlatformClient, PlatformSettings};

/// Settings with the seed, and the address of no server.
pub fn settings(seed: u64) -> PlatformSettings {
    PlatformSettings {
        seed,
        ..PlatformSettings::new("127.0.0.1:9")
    }
}

/// Client that calls the platform within the process.
pub fn client(platform: &PlatformStandin, seed: u64) -> PlatformClient {
    PlatformClient::with_transport(&settings(seed), platform.transport())
}

/// Client with a longer deadline for calls of the table.
pub fn patient_client(platform: &PlatformStandin, seed: u64) -> PlatformClient {
    client(platform, seed).with_deadline(Duration::from_secs(20))
}

/// Write of one row that must be absent.
pub fn insert(operation: u128, key: &str) -> WriteRequest {
    let key = CompactString::from(key);
    WriteRequest {
        operation: OperationId(operation),
        conditions: vec![RowCondition {
            key: key.clone(),
            version: None,
        }],
        puts: vec![RowPut {
            key,
            value: json!(operation.to_string()),
        }],
        deletes: Vec::new(),
    }
}

/// A change that can be told apart by its name.
pub fn team_change(name: &str) -> FleetChange {
    FleetChange::PutTeam {
        name: TeamName::new(name),
        team: TeamRecord { share: 1, limit: 8 },
    }
}
