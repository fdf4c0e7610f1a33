//! Runs the owner, from the first read of the records to the release of the ownership.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use sesamedeal_core::jobs::{FleetRules, JobDispatcher};
use sesamedeal_core::lease::InstanceCapacity;
use slog::{Logger, warn};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep};
use xtra::Mailbox;

use super::OwnerEvent;
use super::call_sender::CallSender;
use super::job_intake::{JobIntake, unread_partitions};
use super::owner_actor::{OwnerActor, OwnerParts};
use super::owner_lease::OwnerLease;
use super::owner_loop::{OwnerLoop, TABLE_QUEUE_LEN};
use super::partition_loader::PartitionLoader;
use super::record_writer::RecordWriter;
use super::takeover_kind::TakeoverKind;
use super::wave_runner::WaveRunner;
use crate::BootClock;
use crate::feeds::{FeedStatus, FollowTiming, TableEvent, TableFollower};
use crate::ports::StoreTable;
use crate::row_codec::{HeartbeatRow, SEQUENCE_KEY, decode};

/// Capacity of the owner's mailbox.
const OWNER_QUEUE_LEN: usize = 1_024;

/// Time for a retiring owner to extend leases and to store its records.
const RETIRE_TIME: Duration = Duration::from_millis(150);

impl OwnerLoop {
    /// Owns the pools until the ownership is lost or yielded, or the process stops. Returns the
    /// capacity of the instance to which it was yielded.
    pub(super) async fn run_owner(
        &mut self,
        lease: OwnerLease,
        heartbeat: Option<HeartbeatRow>,
        kind: TakeoverKind,
        logger: Logger,
    ) -> Option<InstanceCapacity> {
        let Some(writer_rows) = self.read_writer_rows(&lease, &logger).await else {
            warn!(logger, "ownership lost"; "reason" => "the records could not be read in time");
            lease.relinquish();
            if *self.stopping.borrow() {
                self.release(&lease, lease.largest, &logger).await;
            }
            return None;
        };
        let now = BootClock.now();
        let rules = self
            .view
            .load()
            .map(|deployment| Arc::clone(&deployment.rules));
        let rules = rules.unwrap_or_else(|| Arc::new(FleetRules::default()));
        let overlap = kind.overlap(&self.policy);
        let out_of_reach = heartbeat
            .as_ref()
            .map(|heartbeat| heartbeat.out_of_reach.clone())
            .unwrap_or_default();
        let unread = unread_partitions(self.store.has_partitions);
        self.metrics.set_unread_partitions(unread.count());
        let mut dispatcher = JobDispatcher::new(self.dispatch.clone(), rules, lease.epoch, now)
            .with_takeover_overlap(overlap)
            .with_arrival_overlap(kind.arrival_overlap(&self.policy))
            .with_unreachable_workers(out_of_reach.clone())
            .with_unread_partitions(unread.clone());
        if let Some((start, end)) = self.health.last_outage() {
            dispatcher = dispatcher.with_outage(start, end);
        }
        let sequence = writer_rows.iter().find(|row| row.key == SEQUENCE_KEY);
        let sequence = sequence.map_or(0, |row| row.version);
        let mut wave_runner = WaveRunner::new(Arc::clone(&self.waves));
        for row in &writer_rows {
            let wave = row.key.strip_prefix("wave/");
            if let Some(wave) = wave.and_then(|wave| wave.parse().ok()) {
                match decode(&row.value) {
                    Ok(row) => wave_runner.restore(wave, row, now),
                    Err(error) => {
                        warn!(logger, "skipped unusable row"; "key" => %row.key, "error" => %error);
                    }
                }
            }
        }
        let (address, mailbox) = Mailbox::bounded(OWNER_QUEUE_LEN);
        let sender = CallSender {
            workers: self.workers.clone(),
            owner: address.clone(),
            order_timeout: self.dispatch.call_time,
            logger: logger.clone(),
        };
        let intake = JobIntake {
            epoch_version: lease.version,
            states: HashMap::new(),
            unread,
            early_rows: BTreeMap::new(),
            deferred_partitions: Vec::new(),
            previous_pending: heartbeat
                .as_ref()
                .map(|heartbeat| heartbeat.pending.clone())
                .unwrap_or_default(),
            is_previous_pending_partial: heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.is_pending_partial),
            previous_unreachable: out_of_reach,
            previous_surges: heartbeat
                .as_ref()
                .map(|heartbeat| heartbeat.surges_ms.clone())
                .unwrap_or_default(),
            deferred_rows: Vec::new(),
            deferred_position: None,
            position: None,
            previous_counted: heartbeat.as_ref().and_then(|heartbeat| heartbeat.counted),
            logger: logger.clone(),
        };
        let parts = OwnerParts {
            node: self.node.clone(),
            policy: self.policy.clone(),
            dispatch: self.dispatch.clone(),
            lease: lease.clone(),
            store: self.store.clone(),
            health: self.health.clone(),
            fleet: self.fleet.clone(),
            advice: self.advice.clone(),
            peers: self.peers.clone(),
            rows: self.rows,
            view: self.view.clone(),
            evacuations: Arc::clone(&self.evacuations),
            heartbeat: self.heartbeat.clone(),
            metrics: self.metrics.clone(),
            logger: logger.clone(),
        };
        let (ended, end) = oneshot::channel();
        let writer = RecordWriter::new(lease.clone(), sequence, now);
        let actor = OwnerActor::new(
            parts,
            dispatcher,
            sender,
            writer,
            wave_runner,
            intake,
            ended,
        );
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(xtra::run(mailbox, actor));
        let loader = PartitionLoader {
            store: self.store.clone(),
            health: self.health.clone(),
            logger: logger.clone(),
        };
        tasks.spawn(loader.run(address.clone()));
        // The partitions are read after the epoch row was written.
        self.follow(
            &mut tasks,
            (StoreTable::Job, FollowTiming::PROMPT, Some(lease.version)),
            address.clone(),
            OwnerEvent::Jobs,
        );
        self.follow(
            &mut tasks,
            (StoreTable::WorkerList, FollowTiming::RELAXED, None),
            address.clone(),
            OwnerEvent::Workers,
        );
        let round = self.policy.round_period;
        let owner = address.clone();
        tasks.spawn(async move {
            let mut rounds = interval(round);
            rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                rounds.tick().await;
                if address.send(OwnerEvent::Round).await.is_err() {
                    return;
                }
            }
        });
        let (must_release, larger) = tokio::select! {
            // The sender is dropped when the ownership is lost.
            larger = end => (larger.is_ok(), larger.ok()),
            result = self.stopping.wait_for(|stopping| *stopping) => (result.is_ok(), None),
        };
        if must_release {
            // The mailbox is closed if the ownership was lost meanwhile.
            drop(owner.send(OwnerEvent::Retire).await);
            sleep(RETIRE_TIME).await;
        }
        lease.relinquish();
        tasks.shutdown().await;
        if must_release {
            let largest = larger.unwrap_or(lease.largest);
            self.release(&lease, largest, &logger).await;
        }
        larger
    }

    fn follow(
        &self,
        tasks: &mut tokio::task::JoinSet<()>,
        (table, timing, start): (StoreTable, FollowTiming, Option<u64>),
        address: xtra::Address<OwnerActor>,
        wrap: fn(TableEvent) -> OwnerEvent,
    ) {
        let (sender, mut events) = mpsc::channel(TABLE_QUEUE_LEN);
        let follower = TableFollower {
            store: self.store.clone(),
            table,
            timing,
            start,
            health: self.health.clone(),
            status: FeedStatus::default(),
            logger: self.logger.clone(),
        };
        tasks.spawn(follower.run(sender));
        tasks.spawn(async move {
            while let Some(event) = events.recv().await {
                if address.send(wrap(event)).await.is_err() {
                    return;
                }
            }
        });
    }
}
