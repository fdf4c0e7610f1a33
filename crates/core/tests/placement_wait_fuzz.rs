//! Waits for preferred racks under random load.

mod jobs;

use std::collections::BTreeMap;
use std::time::Duration;

use jobs::{JobWorld, at, first_task, near_job};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::jobs::{JobId, JobPhase, MAX_PLACEMENT_WAIT, TaskName};

/// Random jobs on four racks, the first of which half of them prefer.
struct RandomRun {
    world: JobWorld,
    /// Times since which tasks wait although there is room for them.
    beside_room: BTreeMap<TaskName, u64>,
    /// Open jobs and their times of submission.
    open: BTreeMap<JobId, u64>,
    /// Times from submission to end, in milliseconds.
    times: Vec<u64>,
}

impl RandomRun {
    /// Submits a job every `interval` rounds and runs all to their end.
    fn play(&mut self, seed: u64, interval: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        for round in 0..4_000 {
            if round < 400 && round % interval == 0 {
                let rack = random.random_range(0..8_usize).saturating_sub(4);
                let (cpu, time) = (
                    random.random_range(1_500..6_700),
                    random.random_range(500..1_700),
                );
                let order = near_job(random.random_range(1..9), cpu, time, rack);
                let id = self.world.submit(round, order);
                self.open.insert(id, self.world.now);
            } else if round > 400 && self.open.is_empty() {
                break;
            }
            self.world.round();
            let (world, times) = (&self.world, &mut self.times);
            self.open.retain(|id, since| {
                let is_open = world.phase(*id) != JobPhase::Finished;
                times.extend((!is_open).then_some(world.now - *since));
                is_open
            });
            self.check_waits();
        }
        assert!(
            self.open.is_empty(),
            "seed {seed}: {:?} not done",
            self.open
        );
        let violations = &self.world.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }

    fn check_waits(&mut self) {
        let now = self.world.now;
        drop(self.world.dispatcher.take_placement_waits(at(now)));
        let cpu = |id: &JobId| self.world.stored[id].0.steps[0].amount.cpu_millis;
        let rooms = self.world.workers.iter().map(|worker| {
            let used: u64 = worker.tasks().iter().map(|task| cpu(&task.step.job)).sum();
            8_000 - used
        });
        let room = rooms.max().unwrap();
        for id in self.open.keys() {
            for index in 0..self.world.stored[id].0.steps[0].count {
                let name = first_task(*id).step.task(index);
                let has_started = self.world.run_times.first_starts.contains_key(&name);
                if has_started || cpu(id) > room {
                    self.beside_room.remove(&name);
                    continue;
                }
                let since = *self.beside_room.entry(name).or_insert(now);
                let waited = Duration::from_millis(now - since);
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
    for interval in [24, 12, 8] {
        let mean = [true, false].map(|has_waits| {
            let mut times = Vec::new();
            for seed in 0..12 {
                let world = JobWorld::new(12, seed).with_racks(&[3; 4], 2.0, 0.9, has_waits);
                let mut run = RandomRun {
                    world,
                    beside_room: BTreeMap::new(),
                    open: BTreeMap::new(),
                    times: Vec::new(),
                };
                run.play(seed, interval);
                times.append(&mut run.times);
            }
            times.iter().sum::<u64>() / u64::try_from(times.len()).unwrap()
        });
        println!("every {interval} rounds: mean time with and without waits {mean:?} ms");
        assert!(mean[0] < mean[1], "{mean:?}");
    }
}
