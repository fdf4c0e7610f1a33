use sesamedeal_core::fleet::{
    ChangeRecord, DayTime, FleetChange, FleetState, InstanceRecord, InstanceState, SessionView,
    SheetItem,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, OperationId, PoolName, RackName, SessionId, ZoneName,
};
use sesamedeal_core::moves::PlanPolicy;
use sesamedeal_core::sheet::{ParsedSheet, check_sheet, sheet_changes};

use crate::error::{CliError, Result};

/// Entry instances of each user.
pub(super) const ENTRY_INSTANCES: u64 = 8;

/// Instances per rack.
const RACK_SIZE: u32 = 4;

/// Day on which the measured day starts.
pub(super) const FIRST_DAY: u32 = 20_000;

/// Fleet, sheet and settings of one user.
#[derive(Debug, Clone)]
pub(super) struct UserProfile {
    pub(super) name: &'static str,
    pub(super) policy: PlanPolicy,
    pub(super) sheet: ParsedSheet,
    zones: u32,
    cores: u32,
}

impl UserProfile {
    /// Maracas Reading Rooms Trust, with the sheet `examples/trust.csv`.
    pub(super) fn with_trust() -> Result<Self> {
        let sheet = include_bytes!("../../../../examples/trust.csv");
        Ok(Self {
            name: "trust",
            policy: PlanPolicy::with_short_rollout(),
            sheet: parse(sheet)?,
            zones: 4,
            cores: 64,
        })
    }

    /// Consorcio Relojero del Cantábrico, with the sheet `examples/consorcio.csv`.
    pub(super) fn with_consorcio() -> Result<Self> {
        let sheet = include_bytes!("../../../../examples/consorcio.csv");
        Ok(Self {
            name: "consorcio",
            policy: PlanPolicy::with_low_share_deviation(),
            sheet: parse(sheet)?,
            zones: 3,
            cores: 32,
        })
    }

    /// State at midnight with the sheet in force and each pool at its size.
    pub(super) fn fleet(&self) -> Result<FleetState> {
        let mut state = FleetState::default();
        let start = DayTime::new(FIRST_DAY, 0);
        let mut changes = sheet_changes(&state, &self.sheet, start);
        let mut number = 0;
        for item in self.items_at_midnight() {
            if let SheetItem::Pool { name, pool } = item {
                for _ in 0..pool.size {
                    changes.push(FleetChange::PutInstance {
                        name: InstanceName::new(format!("w{number:03}")),
                        instance: self.instance(&name, number),
                    });
                    number += 1;
                }
            }
        }
        let view = SessionView::new((1..=ENTRY_INSTANCES).map(SessionId).collect());
        changes.push(FleetChange::SetView { view });
        apply(&mut state, changes)?;
        Ok(state)
    }

    fn items_at_midnight(&self) -> Vec<SheetItem> {
        let rows = self.sheet.rows.clone();
        let record = sesamedeal_core::fleet::SheetRecord::new(rows, DayTime::new(FIRST_DAY, 0));
        record.items_at(0).into_iter().cloned().collect()
    }

    fn instance(&self, pool: &PoolName, number: u32) -> InstanceRecord {
        let rack = number / RACK_SIZE;
        InstanceRecord {
            pool: pool.clone(),
            state: InstanceState::Active,
            address: format!("10.0.0.{number}:80").into(),
            zone: ZoneName::new(format!("z{}", rack % self.zones)),
            rack: RackName::new(format!("r{rack}")),
            image: ImageName::new("v1"),
            cores: self.cores,
            memory_mb: 131_072,
            slots: 8,
            boot: 1,
            since: Generation::ZERO,
            // Maintained up to yesterday, so that a wave takes the members of one day of the cycle.
            maintained: FIRST_DAY - 1,
        }
    }
}

/// Applies changes as the record that follows the state.
pub(super) fn apply(state: &mut FleetState, changes: Vec<FleetChange>) -> Result<()> {
    let record = ChangeRecord {
        generation: state.generation.next(),
        operation: OperationId(u128::from(state.generation.0)),
        author: "measure".into(),
        changes,
    };
    state.apply(&record).map_err(|error| CliError::Argument {
        argument: "fleet",
        reason: error.to_string(),
    })
}

fn parse(text: &[u8]) -> Result<ParsedSheet> {
    check_sheet(text).map_err(|errors| CliError::Argument {
        argument: "sheet",
        reason: errors.iter().map(ToString::to_string).collect(),
    })
}
