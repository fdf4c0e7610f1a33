//! Golden file of a store outage from its start to the recovery.

mod common;

use std::fmt::Write;
use std::time::Duration;

use common::{client, team_change};
use sesamedeal_core::evidence::EvidenceTracker;
use sesamedeal_core::ids::{Generation, OperationId};
use sesamedeal_core::time::TimePoint;
use sesamedeal_standin::platform::{PlatformFaults, PlatformStandin};
use sesamedeal_store::{AppendOutcome, ChangeLog, PlatformClient};
use tokio::time::{Instant, sleep};

/// Time between two reads of the head.
const READ_PERIOD: Duration = Duration::from_millis(500);

/// An entry instance's view of the store, written down at each change.
struct Session {
    client: PlatformClient,
    log: ChangeLog,
    tracker: EvidenceTracker,
    start: Instant,
    last: String,
    text: String,
}

impl Session {
    fn start(platform: &PlatformStandin) -> Self {
        let client = client(platform, 3);
        Self {
            log: ChangeLog::new(client.clone()),
            client,
            tracker: EvidenceTracker::new(),
            start: Instant::now(),
            last: String::new(),
            text: String::new(),
        }
    }

    fn now(&self) -> TimePoint {
        TimePoint::new(self.start.elapsed())
    }

    fn note(&mut self, line: &str) {
        let millis = self.start.elapsed().as_millis();
        writeln!(self.text, "{millis:>6} ms  {line}").unwrap();
    }

    /// Reads the head for a time and writes down each change of what is known.
    async fn follow(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let sent = self.now();
            let read = match self.log.head().await {
                Ok((head, _)) => {
                    self.tracker.record_applied(head.generation);
                    self.tracker.record_head(head.generation, sent);
                    format!("head is {}", head.generation)
                }
                Err(error) => format!("head not read: {error}"),
            };
            let is_fresh = |age: Duration| age < Duration::from_millis(2_500);
            let fresh = self.tracker.age(self.now()).is_some_and(is_fresh);
            let breakers = self.client.counters().breakers;
            let states: Vec<String> = breakers
                .values()
                .map(|breaker| format!("{:?}", breaker.state))
                .collect();
            let line = format!(
                "{read}; evidence current: {fresh}; breakers: {}",
                states.join(" ")
            );
            if line != self.last {
                self.note(&line);
                self.last = line;
            }
            sleep(READ_PERIOD).await;
        }
    }

    async fn append(&mut self, expected: u64, operation: u128) {
        let change = vec![team_change("arima")];
        let appended = self
            .log
            .append(
                Generation(expected),
                OperationId(operation),
                "operator",
                change,
            )
            .await;
        match appended {
            Ok(AppendOutcome::Accepted(generation)) => {
                self.note(&format!("change accepted as generation {generation}"));
            }
            Ok(AppendOutcome::Conflict) => self.note("change conflicts"),
            Err(error) => self.note(&format!("change refused: {error}")),
        }
    }
}

/// Guards against a change of what an entry instance knows and does during an outage: stale
/// evidence that counts as current, a change lost or entered twice, and a slow recovery.
#[tokio::test(start_paused = true)]
async fn outage_to_recovery() {
    let platform = PlatformStandin::with_seed(3);
    let mut session = Session::start(&platform);
    session.append(0, 1).await;
    session.follow(Duration::from_secs(2)).await;
    session.note("answers to writes are lost");
    platform.set_faults(PlatformFaults {
        lose_answers: true,
        lose_per_mille: 500,
        ..PlatformFaults::default()
    });
    session.append(1, 2).await;
    session.follow(Duration::from_secs(1)).await;
    session.note("the store goes down");
    platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    session.follow(Duration::from_secs(10)).await;
    session.append(2, 3).await;
    session.note("the store is back");
    platform.set_faults(PlatformFaults::default());
    session.follow(Duration::from_secs(8)).await;
    session.append(2, 3).await;
    session.follow(Duration::from_secs(2)).await;
    insta::assert_snapshot!(session.text);
}
