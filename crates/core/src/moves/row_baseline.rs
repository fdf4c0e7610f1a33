use super::DayDemand;

/// Returns the number of moves if the rows are applied one by one, as a baseline for the planner.
///
/// At each row, pools above their size return instances to the spare pool, and pools below their
/// size take instances from it. Each change of a size therefore costs as many moves as it adds or
/// removes instances.
#[must_use]
pub fn count_row_by_row(demand: &DayDemand, counts: &[u32]) -> u64 {
    let mut counts = counts.to_vec();
    let mut moves = 0;
    let Some(spare) = demand.spare else {
        return 0;
    };
    for step in &demand.steps {
        let order = (0..counts.len()).filter(|&pool| pool != spare);
        let (shrinking, growing): (Vec<usize>, Vec<usize>) =
            order.partition(|&pool| counts[pool] > step.needed[pool]);
        for pool in shrinking {
            let count = counts[pool] - step.needed[pool];
            counts[pool] -= count;
            counts[spare] += count;
            moves += u64::from(count);
        }
        for pool in growing {
            let count = (step.needed[pool] - counts[pool]).min(counts[spare]);
            counts[pool] += count;
            counts[spare] -= count;
            moves += u64::from(count);
        }
    }
    moves
}
