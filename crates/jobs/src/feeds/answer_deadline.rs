use std::time::Duration;

use tokio::time::Instant;

/// Minimum time for the other partitions to answer once half of them have. The store usually answers
/// within about 10 ms, and a process with a tenth of a core is held up for up to 90 ms.
const MIN_MARGIN: Duration = Duration::from_millis(100);

/// Time until which calls to all partitions of a table are waited for.
///
/// Once half of the partitions have answered, the others have as long again as the store seems to
/// need: a slow store takes 60 times as long, for all partitions.
#[derive(Debug)]
pub(crate) struct AnswerDeadline {
    begin: Instant,
    count: usize,
    answers: usize,
    /// Multiple of the time in which half of the partitions have answered, for the others.
    factor: u32,
    deadline: Instant,
}

impl AnswerDeadline {
    /// `limit` is the time until which fewer than half of `count` partitions are waited for.
    pub(crate) fn new(count: usize, limit: Duration, factor: u32) -> Self {
        let begin = Instant::now();
        Self {
            begin,
            count,
            answers: 0,
            factor,
            deadline: begin + limit,
        }
    }

    /// Records that a partition has answered.
    pub(crate) fn note_answer(&mut self) {
        self.answers += 1;
        if self.answers == self.count.div_ceil(2) {
            let margin = self.begin.elapsed() * self.factor;
            self.deadline = Instant::now() + margin.max(MIN_MARGIN);
        }
    }

    pub(crate) const fn deadline(&self) -> Instant {
        self.deadline
    }
}
