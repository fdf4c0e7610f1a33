use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, hex::Hex, serde_as, skip_serializing_none};
use sesamedeal_core::ids::{InstanceName, ZoneName};
use sesamedeal_core::moves::PlanPolicy;
use snafu::ResultExt;
use toml::Table;

use super::setting_check::check;
use super::{LogFormat, LogLevel};
use crate::error::{InvalidSettingsSnafu, ParseSettingsSnafu, ReadSettingsSnafu, Result};

/// Settings of an entry instance. [`crate::SETTINGS`] describes the keys of the file.
#[serde_as]
#[skip_serializing_none]
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// IP address and port for callers, operators and peers. Port 0 takes any free port.
    pub listen: SocketAddr,
    /// Availability zone of this entry instance.
    pub zone: ZoneName,
    /// IP address and port of the platform's service.
    pub platform: SocketAddr,
    /// IP address and port that the platform lists; the listening address if none.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Name of this machine in the platform's list; the advertised address if none.
    #[serde(default)]
    pub instance: Option<InstanceName>,
    /// Entry instances that are asked for the state when the platform does not answer.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// SHA-256 of the operators' key.
    #[serde_as(as = "Option<Hex>")]
    #[serde(default)]
    pub operator_key_sha256: Option<[u8; 32]>,
    /// Least severe log records that are written.
    #[serde(default = "defaults::log_level")]
    pub log_level: LogLevel,
    /// Form of the log records.
    #[serde(default = "defaults::log_format")]
    pub log_format: LogFormat,
    /// Difference of local time, by which sheets go, from UTC, in minutes.
    #[serde(default = "defaults::utc_offset_minutes")]
    pub utc_offset_minutes: i32,
    /// Longest time by which the platform's list of instances lags.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "list_lag_ms", default = "defaults::list_lag")]
    pub list_lag: Duration,
    /// Longest time that a task may run on a worker.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "task_lease_ms", default = "defaults::task_lease")]
    pub task_lease: Duration,
    /// Allowance for clock differences between machines.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "clock_margin_ms", default = "defaults::clock_margin")]
    pub clock_margin: Duration,
    /// Time within which a graceful shutdown ends.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(
        rename = "shutdown_deadline_ms",
        default = "defaults::shutdown_deadline"
    )]
    pub shutdown_deadline: Duration,
    /// Least time between two writes of the own session row.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeat_ms", default = "defaults::heartbeat")]
    pub heartbeat: Duration,
    /// Time after which the session row is written even when nothing changed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_heartbeat_ms", default = "defaults::idle_heartbeat")]
    pub idle_heartbeat: Duration,
    /// Time between two reads of the head of the change log.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "head_period_ms", default = "defaults::head_period")]
    pub head_period: Duration,
    /// Time between two exchanges with peers.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "exchange_period_ms", default = "defaults::exchange_period")]
    pub exchange_period: Duration,
    /// Deadline of one exchange with a peer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "peer_deadline_ms", default = "defaults::peer_deadline")]
    pub peer_deadline: Duration,
    /// Deadline of one call to the platform.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "store_deadline_ms", default = "defaults::store_deadline")]
    pub store_deadline: Duration,
    /// Age up to which evidence of the head shows that the state is current.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "evidence_ms", default = "defaults::evidence")]
    pub evidence: Duration,
    /// Time between two steps of the controller.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(
        rename = "controller_period_ms",
        default = "defaults::controller_period"
    )]
    pub controller_period: Duration,
    /// Time between two reads of the platform's list by the controller.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "list_period_ms", default = "defaults::list_period")]
    pub list_period: Duration,
    /// Time without renewal after which the controller's lease is taken over.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(
        rename = "controller_takeover_ms",
        default = "defaults::controller_takeover"
    )]
    pub controller_takeover: Duration,
    /// Deadline of a request that names none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "caller_deadline_ms", default = "defaults::caller_deadline")]
    pub caller_deadline: Duration,
    /// Time within which urgent work should start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "urgent_start_ms", default = "defaults::urgent_start")]
    pub urgent_start: Duration,
    /// Most jobs queued per pool and team.
    #[serde(default = "defaults::max_queued")]
    pub max_queued: usize,
    /// Cost of one move of an instance between pools.
    #[serde(default = "defaults::plan_move_weight")]
    pub plan_move_weight: u32,
    /// Cost of one minute from the time of a row to the end of its moves.
    #[serde(default = "defaults::plan_rollout_weight")]
    pub plan_rollout_weight: u32,
    /// Cost of one instance-hour in the spare pool or out of service.
    #[serde(default = "defaults::plan_buffer_weight")]
    pub plan_buffer_weight: u32,
    /// Cost of one hour in which a hundredth of the fleet is in another pool than sizes say.
    #[serde(default = "defaults::plan_share_weight")]
    pub plan_share_weight: u32,
    /// Time for which plans assume a moving instance to be out of service.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "plan_move_ms", default = "defaults::plan_move")]
    pub plan_move: Duration,
    /// Time for which plans assume an instance under maintenance to be out of service.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "plan_reboot_ms", default = "defaults::plan_reboot")]
    pub plan_reboot: Duration,
}

impl DaemonSettings {
    /// Creates settings with the defaults.
    #[must_use]
    pub const fn new(listen: SocketAddr, zone: ZoneName, platform: SocketAddr) -> Self {
        Self {
            listen,
            zone,
            platform,
            advertise: None,
            instance: None,
            peers: Vec::new(),
            operator_key_sha256: None,
            log_level: defaults::log_level(),
            log_format: defaults::log_format(),
            utc_offset_minutes: defaults::utc_offset_minutes(),
            list_lag: defaults::list_lag(),
            task_lease: defaults::task_lease(),
            clock_margin: defaults::clock_margin(),
            shutdown_deadline: defaults::shutdown_deadline(),
            heartbeat: defaults::heartbeat(),
            idle_heartbeat: defaults::idle_heartbeat(),
            head_period: defaults::head_period(),
            exchange_period: defaults::exchange_period(),
            peer_deadline: defaults::peer_deadline(),
            store_deadline: defaults::store_deadline(),
            evidence: defaults::evidence(),
            controller_period: defaults::controller_period(),
            list_period: defaults::list_period(),
            controller_takeover: defaults::controller_takeover(),
            caller_deadline: defaults::caller_deadline(),
            urgent_start: defaults::urgent_start(),
            max_queued: defaults::max_queued(),
            plan_move_weight: defaults::plan_move_weight(),
            plan_rollout_weight: defaults::plan_rollout_weight(),
            plan_buffer_weight: defaults::plan_buffer_weight(),
            plan_share_weight: defaults::plan_share_weight(),
            plan_move: defaults::plan_move(),
            plan_reboot: defaults::plan_reboot(),
        }
    }

    /// Loads settings from a TOML file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is no TOML, or with all values that are not allowed.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
        let table: Table = toml::from_str(&text).context(ParseSettingsSnafu { path })?;
        let problems = check(&table);
        if !problems.is_empty() {
            return InvalidSettingsSnafu { path, problems }.fail();
        }
        table.try_into().context(ParseSettingsSnafu { path })
    }

    /// Weights and times for planning moves.
    #[must_use]
    pub const fn plan_policy(&self) -> PlanPolicy {
        PlanPolicy {
            move_weight: self.plan_move_weight,
            rollout_weight: self.plan_rollout_weight,
            buffer_weight: self.plan_buffer_weight,
            share_weight: self.plan_share_weight,
            move_time: self.plan_move,
            reboot_time: self.plan_reboot,
        }
    }
}

mod defaults {
    use std::time::Duration;

    use super::{LogFormat, LogLevel};

    macro_rules! defaults {
        ($($name:ident: $kind:ty = $value:expr;)*) => {
            $(pub(super) const fn $name() -> $kind {
                $value
            })*
        };
    }

    defaults! {
        log_level: LogLevel = LogLevel::Info;
        log_format: LogFormat = LogFormat::Text;
        utc_offset_minutes: i32 = 0;
        list_lag: Duration = Duration::from_millis(10_000);
        task_lease: Duration = Duration::from_millis(10_000);
        clock_margin: Duration = Duration::from_millis(500);
        shutdown_deadline: Duration = Duration::from_millis(30_000);
        heartbeat: Duration = Duration::from_millis(2_000);
        idle_heartbeat: Duration = Duration::from_millis(10_000);
        head_period: Duration = Duration::from_millis(1_000);
        exchange_period: Duration = Duration::from_millis(500);
        peer_deadline: Duration = Duration::from_millis(500);
        store_deadline: Duration = Duration::from_millis(1_000);
        evidence: Duration = Duration::from_millis(2_500);
        controller_period: Duration = Duration::from_millis(1_000);
        list_period: Duration = Duration::from_millis(2_000);
        controller_takeover: Duration = Duration::from_millis(5_000);
        caller_deadline: Duration = Duration::from_millis(30_000);
        urgent_start: Duration = Duration::from_millis(7_300);
        max_queued: usize = 1_000;
        plan_move_weight: u32 = 100;
        plan_rollout_weight: u32 = 10;
        plan_buffer_weight: u32 = 1;
        plan_share_weight: u32 = 1;
        plan_move: Duration = Duration::from_secs(15);
        plan_reboot: Duration = Duration::from_secs(180);
    }
}
