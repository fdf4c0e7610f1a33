//! Sizes of messages and rows against the numbers of entry instances, teams and instances. The
//! sizes are counts, so that they do not depend on the machine; the processor times do.
//!
//! Run with `cargo bench -p sesamedeal-cli --bench message_size`.

use std::time::{Duration, Instant};

use sesamedeal_core::exchange::MESSAGE_VERSION;
use sesamedeal_core::fleet::{
    ChangeRecord, FleetChange, FleetState, InstanceRecord, InstanceState, KeyRecord, PoolRecord,
    SessionView, TeamRecord,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, KeyId, OperationId, PoolName, RackName, RequestId,
    SessionId, TeamName, ZoneName,
};
use sesamedeal_core::membership::{SessionRecord, SessionState};
use sesamedeal_core::scheduler::{JobScheduler, JobSpec, SchedulerAction, SchedulerPolicy};
use sesamedeal_core::time::TimePoint;
use sesamedeal_wire::codec::{FieldNames, encode, encode_versioned};
use sesamedeal_wire::peer::PeerMessage;

/// Entry instances, and pairs of a team and a pool with running work at each of them.
const EXCHANGES: [(u64, u32); 10] = [
    (8, 6),
    (8, 30),
    (8, 100),
    (32, 6),
    (32, 30),
    (32, 100),
    (100, 6),
    (100, 30),
    (100, 100),
    (400, 6),
];

/// Pools that the pairs are spread over.
const POOLS: u32 = 5;

/// Time between two exchanges of one entry instance.
const GAP: Duration = Duration::from_millis(500);

/// Rounds before and during the measurement.
const ROUNDS: (u32, u32) = (40, 40);

/// Longest age of what the evidence rule uses.
const EVIDENCE_AGE: Duration = Duration::from_millis(2_500);

/// Largest message that the benchmark encodes; the messages' own bound is checked by the result.
const LIMIT: usize = 64 * 1024 * 1024;

fn instance(pool: &str, number: u32) -> InstanceRecord {
    InstanceRecord {
        pool: PoolName::new(pool),
        state: InstanceState::Active,
        address: format!("10.0.{}.{}:80", number / 250, number % 250).into(),
        zone: ZoneName::new(format!("zone-{}", number % 11)),
        rack: RackName::new(format!("rack-{}", number / 4)),
        image: ImageName::new("image-1"),
        cores: 64,
        memory_mb: 131_072,
        slots: 8,
        boot: 1,
        since: Generation::ZERO,
        maintained: 0,
    }
}

fn fleet(entries: u64, workers: u32, pools: u32, teams: u32) -> FleetState {
    let view = SessionView::new((1..=entries).map(SessionId).collect());
    let mut state = FleetState::with_view(Generation(1), view);
    for number in 0..pools {
        let pool = PoolRecord {
            size: workers / pools,
            max_unavailable: 2,
            spare: false,
        };
        let name = PoolName::new(format!("pool-{number}"));
        state.pools.insert(name, pool);
    }
    for number in 0..workers {
        let name = InstanceName::new(format!("worker-{number:05}"));
        let pool = format!("pool-{}", number % pools);
        state.instances.insert(name, instance(&pool, number));
    }
    for number in 0..teams {
        let name = TeamName::new(format!("team-{number}"));
        let team = TeamRecord {
            share: 1,
            limit: 100_000,
        };
        state.teams.insert(name.clone(), team);
        let key = KeyRecord {
            team: name,
            hash: [0; 32],
            withdrawn: false,
        };
        state.keys.insert(KeyId::new(format!("key-{number}")), key);
    }
    state
}

fn job(pair: u32) -> JobSpec {
    JobSpec {
        request: RequestId::new("request"),
        team: TeamName::new(format!("team-{}", pair / POOLS)),
        key: Some(KeyId::new(format!("key-{}", pair / POOLS))),
        pool: PoolName::new(format!("pool-{}", pair % POOLS)),
        cores: 1,
        memory_mb: 100,
        run: Duration::from_secs(600),
        urgent: false,
        idempotent: true,
        deadline: TimePoint::with_millis(3_600_000),
    }
}

/// What the regular exchanges cost.
struct ExchangeCost {
    /// Bytes that one entry instance sends and receives in a second.
    bytes: f64,
    /// Largest message.
    largest: usize,
    /// Processor time of one entry instance in a second, encoding included.
    time: Duration,
    /// Other entry instances of which the first one knows state not older than 2.5 s.
    heard: usize,
}

fn exchange_cost(entries: u64, pairs: u32) -> ExchangeCost {
    // Twice as many slots as jobs.
    let jobs = u32::try_from(entries).expect("few entry instances") * pairs;
    let state = fleet(entries, (jobs / 4).max(POOLS), POOLS, pairs.div_ceil(POOLS));
    let mut schedulers: Vec<JobScheduler> = (1..=entries)
        .map(|session| {
            let mut scheduler =
                JobScheduler::new(SessionId(session), SchedulerPolicy::new(), session);
            scheduler.apply(&state, state.generation, TimePoint::ORIGIN);
            for pair in 0..pairs {
                let submitted = scheduler.submit(job(pair), TimePoint::ORIGIN);
                submitted.expect("the queue has room");
            }
            scheduler
        })
        .collect();
    let (mut total, mut largest, mut time) = (0, 0, Duration::ZERO);
    let count = schedulers.len();
    for round in 0..ROUNDS.0 + ROUNDS.1 {
        let now = TimePoint::ORIGIN.after(GAP * round);
        for from in 0..count {
            let step = 1 + round as usize % (count - 1);
            let to = (from + step) % count;
            for (sender, receiver) in [(from, to), (to, from)] {
                let peer = SessionId(receiver as u64 + 1);
                schedulers[sender].set_evidence(Some(Duration::from_millis(700)), now);
                let start = Instant::now();
                let exchange = schedulers[sender].exchange_with(peer, now);
                let address = None;
                let message = PeerMessage { address, exchange };
                let names = FieldNames::Omitted;
                let encoded = encode_versioned(&message, names, MESSAGE_VERSION, LIMIT);
                let size = encoded.expect("message").len();
                schedulers[receiver].receive(&message.exchange, now);
                if round >= ROUNDS.0 {
                    total += size;
                    largest = largest.max(size);
                    time += start.elapsed();
                }
            }
        }
        for scheduler in &mut schedulers {
            while let Some(action) = scheduler.next_action(now) {
                drop::<SchedulerAction>(action);
            }
        }
    }
    let seconds = (GAP * ROUNDS.1).as_secs_f64();
    let end = TimePoint::ORIGIN.after(GAP * (ROUNDS.0 + ROUNDS.1 - 1));
    ExchangeCost {
        // Every message is sent by one entry instance and received by another.
        bytes: 2.0 * total as f64 / (seconds * count as f64),
        largest,
        time: time.div_f64(seconds * count as f64),
        heard: schedulers[0].heard(EVIDENCE_AGE, end).len(),
    }
}

fn record_bytes(changes: Vec<FleetChange>) -> (usize, usize) {
    let record = ChangeRecord {
        generation: Generation(1_000_000),
        operation: OperationId(u128::MAX / 3),
        author: "operator-1".into(),
        changes,
    };
    let json = serde_json::to_vec(&record).expect("record").len();
    (encode(&record, LIMIT).expect("record").len(), json)
}

fn main() {
    println!("exchange: bytes sent and received by one entry instance per second");
    for (entries, pairs) in EXCHANGES {
        let cost = exchange_cost(entries, pairs);
        println!(
            "  {entries:3} entry instances, {pairs:3} pairs each: {:8.0} B/s, largest {} B, {:?}/s, \
             {} heard",
            cost.bytes, cost.largest, cost.time, cost.heard
        );
    }
    println!("change record: bytes in rmp-serde, in JSON");
    let name = InstanceName::new("worker-00001");
    let state = InstanceState::Draining;
    let set_state = FleetChange::SetInstanceState { name, state };
    let grant = FleetChange::GrantKey {
        id: KeyId::new("key-00001"),
        key: KeyRecord {
            team: TeamName::new("team-00001"),
            hash: [7; 32],
            withdrawn: false,
        },
    };
    let put = FleetChange::PutInstance {
        name: InstanceName::new("worker-00001"),
        instance: instance("pool-1", 1),
    };
    for (what, change) in [("state", set_state), ("key", grant), ("instance", put)] {
        for count in [1, 10, 100] {
            let (packed, json) = record_bytes(vec![change.clone(); count]);
            println!("  {count:3} x {what}: {packed} B, {json} B");
        }
    }
    for entries in [8, 100, 400] {
        let view = SessionView::new(
            (0..entries)
                .map(|n| SessionId(u64::MAX / 500 * n))
                .collect(),
        );
        let (packed, json) = record_bytes(vec![FleetChange::SetView { view }]);
        println!("  view of {entries}: {packed} B, {json} B");
    }
    println!("whole state: bytes in rmp-serde, in JSON");
    for (workers, pools, teams) in [(50, 5, 6), (800, 20, 60), (16_000, 52, 300)] {
        let state = fleet(8, workers, pools, teams);
        let packed = encode(&state, LIMIT).expect("state").len();
        let json = serde_json::to_vec(&state).expect("state").len();
        println!("  {workers} instances: {packed} B, {json} B");
    }
    let session = SessionRecord {
        session: SessionId(u64::MAX / 3),
        instance: InstanceName::new("entry-001"),
        address: "10.8.10.100:7070".into(),
        zone: ZoneName::new("zone-1"),
        applied: Generation(1_000_000),
        quiesced: Generation(1_000_000),
        renewals: 1_000_000,
        state: SessionState::Active,
    };
    let json = serde_json::to_vec(&session).expect("session").len();
    println!("session row in JSON: {json} B");
}
