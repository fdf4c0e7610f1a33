use std::time::Duration;

use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use sesamedeal_core::jobs::{EndKind, StartOutcome};

use crate::SubmitOutcome;

/// Bucket bounds of the histograms, in seconds. 0.6 s and 2.5 s are the latency objectives.
const LATENCY_BOUNDS: [f64; 9] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.3, 0.6, 1.2, 2.5];

/// Prometheus metrics of the job runtime.
#[derive(Debug, Clone)]
pub struct JobMetrics {
    registry: Registry,
    submissions: IntCounterVec,
    refusals: IntCounterVec,
    starts: IntCounterVec,
    ends: IntCounterVec,
    lost_runs: IntCounterVec,
    placement_waits: IntCounterVec,
    store_failures: IntCounterVec,
    requests: Histogram,
    count_ages: Histogram,
    rounds: Histogram,
    intake_age: Gauge,
    inventory_age: Gauge,
    list_age: Gauge,
    config_age: Gauge,
    epoch: IntGauge,
    open_jobs: IntGauge,
    abandoned_tasks: IntCounter,
    suspects: IntGauge,
    evacuated_zones: IntGauge,
    unreachable_partitions: IntGauge,
    unread_partitions: IntGauge,
    deferred_jobs: IntGauge,
    overload_rejections: IntCounterVec,
}

impl JobMetrics {
    /// Creates a registry with all metrics.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])
                .expect("names of metrics are valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("names of metrics are used once");
            counter
        };
        let single_counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("names of metrics are valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("names of metrics are used once");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("names of metrics are valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("names of metrics are used once");
            gauge
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
            let histogram = Histogram::with_opts(options).expect("bounds of histograms are valid");
            registry
                .register(Box::new(histogram.clone()))
                .expect("names of metrics are used once");
            histogram
        };
        let float_gauge = |name: &str, help: &str| {
            let gauge = Gauge::new(name, help).expect("names of metrics are valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("names of metrics are used once");
            gauge
        };
        Self {
            submissions: counter(
                "sesamedeal_job_submissions_total",
                "Submitted jobs by outcome",
                "outcome",
            ),
            refusals: counter(
                "sesamedeal_job_refusals_total",
                "Refused requests by reason",
                "reason",
            ),
            starts: counter(
                "sesamedeal_task_starts_total",
                "Start orders by outcome",
                "outcome",
            ),
            ends: counter("sesamedeal_task_ends_total", "Ended runs by kind", "kind"),
            lost_runs: counter(
                "sesamedeal_lost_runs_total",
                "Runs that ended without a report, by how this is known",
                "reason",
            ),
            placement_waits: counter(
                "sesamedeal_placement_waits_total",
                "Waits of tasks for their preferred rack by outcome",
                "outcome",
            ),
            store_failures: counter(
                "sesamedeal_job_store_failures_total",
                "Failed writes of the owner by kind",
                "kind",
            ),
            epoch: gauge(
                "sesamedeal_owned_epoch",
                "Ownership epoch of this entry instance; 0 if it owns nothing",
            ),
            open_jobs: gauge(
                "sesamedeal_open_jobs",
                "Jobs that have not ended, at the owner",
            ),
            abandoned_tasks: single_counter(
                "sesamedeal_abandoned_tasks_total",
                "Tasks that were given up because workers crashed under them",
            ),
            suspects: gauge(
                "sesamedeal_suspect_tasks",
                "Tasks that are implicated in crashes of workers, at the owner",
            ),
            deferred_jobs: gauge(
                "sesamedeal_deferred_jobs",
                "Jobs that are deferred because demand exceeds capacity, at the owner",
            ),
            overload_rejections: counter(
                "sesamedeal_overload_rejections_total",
                "Jobs rejected because they could not have ended while of use",
                "queue",
            ),
            evacuated_zones: gauge(
                "sesamedeal_evacuated_zones",
                "Availability zones in which nothing more may start, as known to this entry instance",
            ),
            unreachable_partitions: gauge(
                "sesamedeal_unreachable_partitions",
                "Partitions of the store that do not answer, at the owner",
            ),
            unread_partitions: gauge(
                "sesamedeal_unread_partitions",
                "Partitions of the store whose jobs the owner has not read since its takeover",
            ),
            requests: histogram(
                "sesamedeal_job_request_seconds",
                "Time from the head of a request to its answer",
            ),
            count_ages: histogram(
                "sesamedeal_waiting_count_age_seconds",
                "Age of the counts of waiting jobs that were shown",
            ),
            rounds: histogram(
                "sesamedeal_owner_round_lateness_seconds",
                "Time by which rounds of the owner's decisions came late",
            ),
            intake_age: float_gauge(
                "sesamedeal_intake_age_seconds",
                "Age of the newest state of the table of jobs that the owner has considered",
            ),
            inventory_age: float_gauge(
                "sesamedeal_inventory_age_seconds",
                "Age of the inventory of instances that the owner has read last",
            ),
            list_age: float_gauge(
                "sesamedeal_worker_list_age_seconds",
                "Age of the list of workers that the owner goes by",
            ),
            config_age: float_gauge(
                "sesamedeal_configuration_age_seconds",
                "Time since the store last answered about the configuration",
            ),
            registry,
        }
    }

    pub(crate) fn count_submission(&self, outcome: SubmitOutcome) {
        let label = match outcome {
            SubmitOutcome::Accepted => "accepted",
            SubmitOutcome::Refused { .. } => "refused",
            SubmitOutcome::Overloaded { .. } => "overloaded",
            SubmitOutcome::Unknown => "unknown",
            SubmitOutcome::TooLarge => "too-large",
        };
        self.submissions.with_label_values(&[label]).inc();
    }

    /// Counts a refused request under its reason.
    pub fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Records the duration of a request.
    pub fn observe_request(&self, time: Duration) {
        self.requests.observe(time.as_secs_f64());
    }

    pub(crate) fn observe_count_age(&self, age: Duration) {
        self.count_ages.observe(age.as_secs_f64());
    }

    pub(crate) fn observe_round_lateness(&self, lateness: Duration) {
        self.rounds.observe(lateness.as_secs_f64());
    }

    pub(crate) fn set_intake_age(&self, age: Duration) {
        self.intake_age.set(age.as_secs_f64());
    }

    pub(crate) fn set_inventory_age(&self, age: Duration) {
        self.inventory_age.set(age.as_secs_f64());
    }

    pub(crate) fn set_worker_list_age(&self, age: Duration) {
        self.list_age.set(age.as_secs_f64());
    }

    /// Sets the time since the store last answered about the configuration.
    pub fn set_config_age(&self, age: Duration) {
        self.config_age.set(age.as_secs_f64());
    }

    pub(crate) fn count_start(&self, outcome: StartOutcome) {
        let label = match outcome {
            StartOutcome::Started => "started",
            StartOutcome::Fenced => "fenced",
            StartOutcome::Refused => "refused",
            StartOutcome::TicketRefused => "ticketrefused",
            StartOutcome::Unavailable => "unavailable",
            StartOutcome::Unknown => "unknown",
        };
        self.starts.with_label_values(&[label]).inc();
    }

    pub(crate) fn count_end(&self, kind: EndKind) {
        let label = match kind {
            EndKind::Done => "done",
            EndKind::Failed => "failed",
            EndKind::Stopped => "stopped",
            EndKind::Lapsed => "lapsed",
            EndKind::Broken => "broken",
            EndKind::Alone => "alone",
        };
        self.ends.with_label_values(&[label]).inc();
    }

    pub(crate) fn count_lost_run(&self, reason: &str) {
        self.lost_runs.with_label_values(&[reason]).inc();
    }

    pub(crate) fn count_placement_wait(&self, outcome: &str) {
        self.placement_waits.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_abandoned_task(&self) {
        self.abandoned_tasks.inc();
    }

    pub(crate) fn set_suspects(&self, tasks: usize) {
        set_count(&self.suspects, tasks);
    }

    pub(crate) fn set_deferred_jobs(&self, jobs: usize) {
        set_count(&self.deferred_jobs, jobs);
    }

    pub(crate) fn count_overload_rejection(&self, queue: &str) {
        self.overload_rejections.with_label_values(&[queue]).inc();
    }

    pub(crate) fn set_evacuated_zones(&self, zones: usize) {
        set_count(&self.evacuated_zones, zones);
    }

    pub(crate) fn set_unreachable_partitions(&self, partitions: usize) {
        set_count(&self.unreachable_partitions, partitions);
    }

    pub(crate) fn set_unread_partitions(&self, partitions: usize) {
        set_count(&self.unread_partitions, partitions);
    }

    pub(crate) fn count_store_failure(&self, kind: &str) {
        self.store_failures.with_label_values(&[kind]).inc();
    }

    pub(crate) fn set_epoch(&self, epoch: u64) {
        self.epoch.set(i64::try_from(epoch).unwrap_or(i64::MAX));
    }

    /// Returns the epoch under which this entry instance owns the pools, or 0 if it does not.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        u64::try_from(self.epoch.get()).unwrap_or(0)
    }

    pub(crate) fn set_open_jobs(&self, jobs: usize) {
        set_count(&self.open_jobs, jobs);
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("metrics are written to memory");
        text
    }
}

fn set_count(gauge: &IntGauge, count: usize) {
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}

impl Default for JobMetrics {
    fn default() -> Self {
        Self::new()
    }
}
