//! Measures the memory of the scheduler's control state at the target size with a counting
//! allocator.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sesamedeal_core::exchange::{
    ExchangeMessage, PairSlot, UsageEntry, UsageSummary, name_hash, origin_hash, pair_hash,
};
use sesamedeal_core::fleet::{
    FleetState, InstanceRecord, InstanceState, KeyRecord, PoolRecord, SessionView, TeamRecord,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, KeyId, PoolName, RackName, SessionId, TeamName, ZoneName,
};
use sesamedeal_core::scheduler::{JobScheduler, SchedulerPolicy};
use sesamedeal_core::time::TimePoint;

/// Target numbers of workers, pools, teams and entry instances.
const SIZE: (usize, usize, usize, u64) = (16_000, 52, 300, 400);

/// Keys per team, including withdrawn ones.
const KEYS_PER_TEAM: usize = 10;

/// Pairs of pool and team with usage at one entry instance.
const PAIRS: usize = 100;

static USED: AtomicUsize = AtomicUsize::new(0);

#[derive(Debug)]
struct CountingAllocator;

// SAFETY: all calls are forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        USED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        USED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the pointer comes from `alloc` with the same layout.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn fleet() -> FleetState {
    let (workers, pools, teams, sessions) = SIZE;
    let mut state = FleetState::with_view(
        Generation(1),
        SessionView::new((1..=sessions).map(SessionId).collect()),
    );
    for pool in 0..pools {
        let record = PoolRecord {
            size: 300,
            max_unavailable: 10,
            spare: false,
        };
        state
            .pools
            .insert(PoolName::new(format!("pool-{pool}")), record);
    }
    for worker in 0..workers {
        let record = InstanceRecord {
            pool: PoolName::new(format!("pool-{}", worker % pools)),
            state: InstanceState::Active,
            address: format!("10.0.{}.{}:80", worker / 250, worker % 250).into(),
            zone: ZoneName::new(format!("zone-{}", worker % 11)),
            rack: RackName::new(format!("rack-{}", worker / 4)),
            image: ImageName::new("image-1"),
            cores: 64,
            memory_mb: 128_000,
            slots: 8,
            boot: 1,
            since: Generation::ZERO,
            maintained: 0,
        };
        let name = InstanceName::new(format!("worker-{worker}"));
        state.instances.insert(name, record);
    }
    for team in 0..teams {
        let name = TeamName::new(format!("team-{team}"));
        let record = TeamRecord {
            share: 1,
            limit: 1_000,
        };
        state.teams.insert(name.clone(), record);
        for key in 0..KEYS_PER_TEAM {
            let record = KeyRecord {
                team: name.clone(),
                hash: [0; 32],
                withdrawn: key > 1,
            };
            let id = KeyId::new(format!("key-{team}-{key}"));
            state.keys.insert(id, record);
        }
    }
    state
}

fn summary(origin: u64) -> UsageSummary {
    let number_pair = |number: usize| {
        pair_hash(
            name_hash(&format!("pool-{}", number % SIZE.1)),
            name_hash(&format!("team-{}", (number + origin as usize) % SIZE.2)),
        )
    };
    let slots = (0u32..).zip(0..PAIRS);
    let pairs = slots.clone().map(|(slot, number)| PairSlot {
        slot,
        pair: number_pair(number),
    });
    let entries = slots.map(|(slot, _)| UsageEntry {
        slot,
        usage: 1_000,
        rate: 16,
        queued: 1,
    });
    UsageSummary {
        origin: origin_hash(SessionId(origin)),
        version: 1,
        steps: 0,
        age: Duration::ZERO,
        pairs: pairs.collect(),
        entries: entries.collect(),
    }
}

fn main() {
    let used = || USED.load(Ordering::Relaxed) as f64 / 1e6;
    let start = used();
    let state = fleet();
    let with_state = used();
    println!("fleet state: {:.1} MB", with_state - start);
    let mut scheduler = JobScheduler::new(SessionId(1), SchedulerPolicy::new(), 7);
    scheduler.apply(&state, Generation(1), TimePoint::ORIGIN);
    println!("scheduler: {:.1} MB", used() - with_state);
    for origin in 2..=SIZE.3 {
        let mut message = ExchangeMessage::new(SessionId(origin), Generation(1));
        message.usage.push(summary(origin));
        scheduler.receive(&message, TimePoint::ORIGIN);
    }
    println!("with {} origins: {:.1} MB", SIZE.3, used() - with_state);
    for peer in 2..=SIZE.3 {
        scheduler.exchange_with(SessionId(peer), TimePoint::ORIGIN);
    }
    println!("after an exchange with each: {:.1} MB", used() - with_state);
    println!("total: {:.1} MB", used() - start);
}
