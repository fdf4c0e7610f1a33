use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::TimerTicks;

/// Share of a period by which each tick is shifted at random, so that instances do not fall into step.
const JITTER: f64 = 0.1;

#[derive(Debug)]
struct Subscription {
    period: Duration,
    ticks: mpsc::Sender<Duration>,
}

/// Sends ticks to its subscribers from one task.
#[derive(Debug, Clone)]
pub(crate) struct TimerService {
    subscriptions: mpsc::UnboundedSender<Subscription>,
}

impl TimerService {
    /// Starts the service; it ends when all its handles are dropped.
    pub(crate) fn new(seed: u64) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run(receiver, Pcg64Mcg::seed_from_u64(seed)));
        Self {
            subscriptions: sender,
        }
    }

    /// Subscribes to a tick in each period. A subscriber that is busy misses ticks.
    pub(crate) fn every(&self, period: Duration) -> TimerTicks {
        let (ticks, receiver) = mpsc::channel(1);
        // The service ends with the process; a subscription after that yields no ticks.
        drop(self.subscriptions.send(Subscription { period, ticks }));
        TimerTicks::new(receiver)
    }
}

async fn run(mut receiver: mpsc::UnboundedReceiver<Subscription>, mut rng: Pcg64Mcg) {
    let mut subscriptions: Vec<Subscription> = Vec::new();
    let mut due: BinaryHeap<Reverse<(Instant, usize)>> = BinaryHeap::new();
    loop {
        let Some(&Reverse((at, index))) = due.peek() else {
            let Some(subscription) = receiver.recv().await else {
                return;
            };
            add(subscription, &mut subscriptions, &mut due);
            continue;
        };
        tokio::select! {
            () = sleep_until(at) => {
                due.pop();
                let subscription = &subscriptions[index];
                let late = at.elapsed();
                let open = !matches!(
                    subscription.ticks.try_send(late),
                    Err(mpsc::error::TrySendError::Closed(_))
                );
                if open {
                    let period = jittered(subscription.period, &mut rng);
                    due.push(Reverse((Instant::now() + period, index)));
                }
            }
            subscription = receiver.recv() => {
                let Some(subscription) = subscription else {
                    return;
                };
                add(subscription, &mut subscriptions, &mut due);
            }
        }
    }
}

fn add(
    subscription: Subscription,
    subscriptions: &mut Vec<Subscription>,
    due: &mut BinaryHeap<Reverse<(Instant, usize)>>,
) {
    due.push(Reverse((Instant::now(), subscriptions.len())));
    subscriptions.push(subscription);
}

fn jittered(period: Duration, rng: &mut Pcg64Mcg) -> Duration {
    period.mul_f64(1.0 + rng.random_range(-JITTER..JITTER))
}
