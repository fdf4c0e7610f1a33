use std::net::SocketAddr;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use sesamedeal_core::ids::TeamName;
use sesamedeal_core::keys::PresentedKey;
use sesamedeal_standin::backend::TaskScript;
use sesamedeal_standin::load::{LoadMode, LoadSettings, SurgeShape};

/// Time for which load is sent.
pub(crate) const LOAD_TIME: Duration = Duration::from_secs(16);

/// Time that the surge of the open queue lasts.
const SURGE_TIME: Duration = Duration::from_secs(3);

/// Mean jobs per second of the open queue.
const OPEN_RATE: f64 = 200.0;

/// Most jobs of the open queue under way at once.
const OPEN_IN_FLIGHT: usize = 2_000;

/// A team with its key and the work that it hands in.
#[derive(Debug)]
pub(crate) struct DemoTeam {
    pub name: TeamName,
    pub key: PresentedKey,
    pub work: TeamWork,
}

/// Work of a team: a delivery round in which each caller waits for its answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TeamWork {
    pub team: &'static str,
    pub queue: &'static str,
    pub callers: usize,
    pub run_ms: u64,
    pub idempotent: bool,
}

/// Work of the teams with keys. Port of Spain's callers exceed its limit; stipend payments are not
/// idempotent.
pub(crate) const TEAM_WORK: [TeamWork; 5] = [
    TeamWork {
        team: "port-of-spain",
        queue: "rota-plans",
        callers: 160,
        run_ms: 60,
        idempotent: true,
    },
    TeamWork {
        team: "san-fernando",
        queue: "swap-requests",
        callers: 60,
        run_ms: 40,
        idempotent: true,
    },
    TeamWork {
        team: "chaguanas",
        queue: "swap-requests",
        callers: 60,
        run_ms: 40,
        idempotent: true,
    },
    TeamWork {
        team: "arima",
        queue: "attendance-marks",
        callers: 40,
        run_ms: 20,
        idempotent: true,
    },
    TeamWork {
        team: "scarborough",
        queue: "stipend-payments",
        callers: 4,
        run_ms: 50,
        idempotent: false,
    },
];

/// Load of a team.
pub(crate) fn team_load(targets: &[SocketAddr], team: &DemoTeam, seed: u64) -> LoadSettings {
    LoadSettings {
        authorization: Some(CompactString::from(team.key.header())),
        mode: LoadMode::Closed {
            callers: team.work.callers,
        },
        script: TaskScript {
            run_ms: team.work.run_ms,
            answer_bytes: 1_000,
            key: team.key.id.to_string(),
            ..TaskScript::default()
        },
        headers: vec![(
            "sesamedeal-run-ms".into(),
            format_compact!("{}", team.work.run_ms),
        )],
        idempotent: team.work.idempotent,
        duration: LOAD_TIME,
        seed,
        ..LoadSettings::new(targets.to_vec(), team.work.queue)
    }
}

/// Load of the open queue, which surges to five times its mean.
pub(crate) fn open_load(targets: &[SocketAddr], seed: u64) -> LoadSettings {
    LoadSettings {
        mode: LoadMode::Open {
            shape: SurgeShape {
                mean_rate: OPEN_RATE,
                queues: 1,
                surge: SURGE_TIME,
            },
            max_in_flight: OPEN_IN_FLIGHT,
        },
        script: TaskScript {
            run_ms: 30,
            ..TaskScript::default()
        },
        headers: vec![
            ("sesamedeal-run-ms".into(), "30".into()),
            ("sesamedeal-deadline-ms".into(), "1000".into()),
        ],
        duration: LOAD_TIME,
        seed,
        ..LoadSettings::new(targets.to_vec(), "branch-hours")
    }
}
