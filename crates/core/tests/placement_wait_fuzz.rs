//! Waits for preferred racks under random load.

mod jobs;

use std::collections::BTreeMap;
use std::time::Duration;

use jobs::{JobWorld, at, first_task, near_job};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::jobs::{JobId, JobPhase, MAX_PLACEMENT_WAIT, TaskName, WaitOutcome};

/// Cores of a worker, in thousandths.
const WORKER: u64 = 8_000;

/// A run of random jobs, half of which prefer the same one of four racks.
struct RandomRun {
    world: JobWorld,
    /// Times since which tasks wait although there is room for them.
    beside_room: BTreeMap<TaskName, u64>,
    submitted: BTreeMap<JobId, u64>,
    /// Times from submission to end, in milliseconds.
    times: Vec<u64>,
    begun: usize,
}

impl RandomRun {
    fn new(seed: u64, has_waits: bool) -> Self {
        let world = JobWorld::new(12, seed).with_racks(&[3, 3, 3, 3], 2.0, 0.9, has_waits);
        Self {
            world,
            beside_room: BTreeMap::new(),
            submitted: BTreeMap::new(),
            times: Vec::new(),
            begun: 0,
        }
    }

    /// Runs all jobs to their end. `rounds_per_job` gives the load.
    fn play(&mut self, seed: u64, rounds_per_job: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        for round in 0..4_000 {
            if round > 400 && self.submitted.is_empty() {
                break;
            }
            if round < 400 && round % rounds_per_job == 0 {
                let rack = random.random_range(0..8_usize).saturating_sub(4);
                let cpu = random.random_range(1_500..6_700);
                let order = near_job(
                    random.random_range(1..9),
                    cpu,
                    random.random_range(500..1_700),
                    rack,
                );
                let id = self.world.submit(round, order);
                self.submitted.insert(id, self.world.now);
            }
            self.world.round();
            self.note_ends();
            self.check_waits();
        }
        assert!(
            self.submitted.is_empty(),
            "seed {seed}: {} jobs not done",
            self.submitted.len()
        );
        let violations = &self.world.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }

    fn note_ends(&mut self) {
        let (world, times) = (&self.world, &mut self.times);
        self.submitted.retain(|id, since| {
            let is_done = world.phase(*id) == JobPhase::Finished;
            if is_done {
                times.push(world.now - *since);
            }
            !is_done
        });
    }

    fn check_waits(&mut self) {
        let waits = self
            .world
            .dispatcher
            .take_placement_waits(at(self.world.now));
        let begun = waits
            .iter()
            .filter(|wait| matches!(wait.outcome, WaitOutcome::Begun { .. }));
        self.begun += begun.count();
        let free = self.world.workers.iter().map(|worker| {
            let used = worker.running.keys().map(|(task, _)| {
                self.world.stored[&task.step.job].0.steps[0]
                    .amount
                    .cpu_millis
            });
            WORKER - used.sum::<u64>()
        });
        let free = free.max().unwrap();
        for id in self.submitted.keys() {
            let spec = &self.world.stored[id].0.steps[0];
            for index in 0..spec.count {
                let name = first_task(*id).step.task(index);
                let has_started = self.world.run_times.first_starts.contains_key(&name);
                if has_started || spec.amount.cpu_millis > free {
                    self.beside_room.remove(&name);
                    continue;
                }
                let since = *self.beside_room.entry(name).or_insert(self.world.now);
                let waited = Duration::from_millis(self.world.now - since);
                assert!(waited <= MAX_PLACEMENT_WAIT, "{name} waits beside room");
            }
        }
    }
}

/// Load: jobs with declared run times off by 90%, at a half, the whole and one and a half times of what
/// the pool serves, half of them with the same preferred rack. Guards against tasks that stay without a
/// start beside room, starts over a capacity, and waits that make jobs end later on average.
#[test]
fn random_jobs() {
    for rounds_per_job in [24, 12, 8] {
        let mean = [true, false].map(|has_waits| {
            let mut times = Vec::new();
            let mut begun = 0;
            for seed in 0..12 {
                let mut run = RandomRun::new(seed, has_waits);
                run.play(seed, rounds_per_job);
                times.append(&mut run.times);
                begun += run.begun;
            }
            assert_eq!(begun > 0, has_waits);
            println!(
                "{rounds_per_job} rounds a job: {begun} waits in {} jobs",
                times.len()
            );
            times.iter().sum::<u64>() / u64::try_from(times.len()).unwrap()
        });
        println!("{rounds_per_job} rounds a job: mean time with and without waits {mean:?} ms");
        assert!(mean[0] <= mean[1], "{mean:?}");
    }
}
