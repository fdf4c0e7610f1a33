use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::AnswerVerdict;

/// Longest latency recorded, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Results of a run of load.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Answers by result code; 0 stands for answers without a code.
    pub codes: BTreeMap<u16, u64>,
    /// Requests without a whole answer: closed connections, truncated bodies, timeouts.
    pub lost: u64,
    /// Answers that carry the id of another request.
    pub wrong_request: u64,
    /// Successful answers with another body than the task's.
    pub wrong_body: u64,
    /// Answers whose status, code and run state contradict each other.
    pub wrong_code: u64,
    /// Requests of the schedule that were not sent, since too many were under way.
    pub skipped: u64,
    /// Time from the start to the last answer.
    pub elapsed: Duration,
    /// Latency of successful answers in microseconds, from the scheduled time in an open loop.
    pub latency: Histogram<u64>,
    /// Latency of all other whole answers in microseconds.
    pub rejection_latency: Histogram<u64>,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self {
            sent: 0,
            codes: BTreeMap::new(),
            lost: 0,
            wrong_request: 0,
            wrong_body: 0,
            wrong_code: 0,
            skipped: 0,
            elapsed: Duration::ZERO,
            latency: new_histogram(),
            rejection_latency: new_histogram(),
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS)
        .expect("the bounds are constants that the histogram accepts")
}

impl LoadReport {
    /// Creates an empty report.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Successful answers.
    #[must_use]
    pub fn succeeded(&self) -> u64 {
        self.latency.len()
    }

    /// Answers that a caller must never get.
    #[must_use]
    pub const fn wrong(&self) -> u64 {
        self.wrong_request + self.wrong_body + self.wrong_code
    }

    /// Successful answers per second.
    #[must_use]
    pub fn throughput(&self) -> f64 {
        self.succeeded() as f64 / self.elapsed.as_secs_f64().max(1e-9)
    }

    /// Latency in microseconds that the given share of the successful answers stays within.
    #[must_use]
    pub fn latency_us(&self, share: f64) -> u64 {
        self.latency.value_at_quantile(share)
    }

    /// Counts an answer, or its absence.
    pub fn count(&mut self, verdict: AnswerVerdict, latency: Duration) {
        let latency = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        match verdict {
            AnswerVerdict::Succeeded(code) => {
                *self.codes.entry(code).or_default() += 1;
                self.latency.saturating_record(latency);
            }
            AnswerVerdict::Rejected(code) => {
                *self.codes.entry(code).or_default() += 1;
                self.rejection_latency.saturating_record(latency);
            }
            AnswerVerdict::Lost => self.lost += 1,
            AnswerVerdict::WrongRequest => self.wrong_request += 1,
            AnswerVerdict::WrongBody => self.wrong_body += 1,
            AnswerVerdict::WrongCode => self.wrong_code += 1,
        }
    }

    /// Adds the results of a run that took place at the same time.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        for (code, count) in &other.codes {
            *self.codes.entry(*code).or_default() += count;
        }
        self.lost += other.lost;
        self.wrong_request += other.wrong_request;
        self.wrong_body += other.wrong_body;
        self.wrong_code += other.wrong_code;
        self.skipped += other.skipped;
        self.elapsed = self.elapsed.max(other.elapsed);
        self.latency += &other.latency;
        self.rejection_latency += &other.rejection_latency;
    }
}
