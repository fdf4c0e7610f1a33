//! Planner that knows all jobs and run times of a load beforehand, for comparison.

use std::cmp::Reverse;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::load_run::{LoadJob, ROUND};

/// Number of jobs that a planner serves in time that knows all of them beforehand and can divide
/// the capacity, in thousandths of a core, as it likes. It serves the large jobs half as often as
/// all jobs, and else the smallest first.
pub fn planned_in_time(jobs: &[LoadJob], cpu: u64) -> usize {
    let free = plan(jobs, cpu, 0.0);
    let share = free as f64 / jobs.len().max(1) as f64;
    plan(jobs, cpu, share / 2.0)
}

fn plan(jobs: &[LoadJob], cpu: u64, large_share: f64) -> usize {
    let mut order: Vec<&LoadJob> = jobs.iter().collect();
    order.sort_by_key(|job| job.work);
    let large = order.split_off(order.len() * 7 / 10);
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let (first, rest): (Vec<_>, Vec<_>) = large
        .into_iter()
        .partition(|_| random.random::<f64>() < large_share);
    let mut accepted: Vec<&LoadJob> = Vec::new();
    for job in first.into_iter().chain(order).chain(rest) {
        accepted.push(job);
        accepted.sort_by_key(|job| job.arrives);
        if !is_feasible(&accepted, cpu) {
            accepted.retain(|other| !std::ptr::eq(*other, job));
        }
    }
    accepted.len()
}

/// Whether all jobs end in time if the capacity goes to the ones with the least slack, and each uses
/// at most its mean parallelism at a time, since its steps follow each other.
fn is_feasible(jobs: &[&LoadJob], cpu: u64) -> bool {
    let mut next = jobs.iter().peekable();
    // Slack in milliseconds, CPU that the job can use, and the work left in core milliseconds.
    let mut active: Vec<(f64, f64, f64)> = Vec::new();
    let mut now = 0;
    while next.peek().is_some() || !active.is_empty() {
        while let Some(job) = next.next_if(|job| job.arrives <= now) {
            let path: u64 = job
                .lengths
                .iter()
                .map(|time| time.next_multiple_of(ROUND))
                .sum();
            let slack = (job.arrives + job.objective) as f64 - (now + path) as f64;
            active.push((
                slack,
                job.work as f64 * 1_000.0 / path as f64,
                job.work as f64,
            ));
        }
        active.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut free = cpu as f64;
        for (slack, usable, left) in &mut active {
            let used = usable.min(free);
            free -= used;
            *left -= used * ROUND as f64 / 1_000.0;
            *slack -= ROUND as f64 * (1.0 - used / *usable);
            if *slack < -(ROUND as f64) {
                return false;
            }
        }
        active.retain(|(_, _, left)| *left > 0.0);
        now += ROUND;
    }
    true
}

/// Shares of the jobs served in time: of all, of the largest tenth, and of the next fifth.
pub fn size_shares(jobs: &[LoadJob], size: impl Fn(&LoadJob) -> u64) -> [f64; 3] {
    let mut order: Vec<&LoadJob> = jobs.iter().collect();
    order.sort_by_key(|job| Reverse(size(job)));
    let (tenth, third) = (order.len() / 10, order.len() * 3 / 10);
    [&order[..], &order[..tenth], &order[tenth..third]].map(|part| {
        let served = part.iter().filter(|job| job.is_in_time()).count();
        served as f64 / part.len().max(1) as f64
    })
}
