use super::SettingDefault::{Absent, Required, Value};
use super::SettingKind::{Address, Addresses, Choice, Hash, Name, Whole};
use super::{SettingDefault, SettingKind, SettingSpec};

const fn spec(
    key: &'static str,
    unit: &'static str,
    kind: SettingKind,
    default: SettingDefault,
    meaning: &'static str,
) -> SettingSpec {
    SettingSpec {
        key,
        unit,
        kind,
        default,
        meaning,
    }
}

const fn millis(
    key: &'static str,
    min: i64,
    max: i64,
    default: &'static str,
    meaning: &'static str,
) -> SettingSpec {
    spec(key, "ms", Whole { min, max }, Value(default), meaning)
}

const fn weight(key: &'static str, default: &'static str, meaning: &'static str) -> SettingSpec {
    let kind = Whole {
        min: 0,
        max: 1_000_000,
    };
    spec(key, "", kind, Value(default), meaning)
}

const LEVELS: &[&str] = &["error", "warning", "info", "debug"];
const FORMATS: &[&str] = &["text", "json"];

/// All settings, in the order of the page `docs/settings.md`.
pub const SETTINGS: &[SettingSpec] = &[
    spec(
        "listen",
        "",
        Address,
        Required,
        "Address for callers, operators and peers. Port 0 takes any free port.",
    ),
    spec(
        "zone",
        "",
        Name,
        Required,
        "Availability zone of this entry instance.",
    ),
    spec(
        "platform",
        "",
        Address,
        Required,
        "Address of the platform's service.",
    ),
    spec(
        "advertise",
        "",
        Address,
        Absent,
        "Address under which the platform and the peers know this entry instance. Without it, the listening address.",
    ),
    spec(
        "instance",
        "",
        Name,
        Absent,
        "Name of this machine in the platform's list. Without it, the address in `advertise`.",
    ),
    spec(
        "peers",
        "",
        Addresses,
        Value("[]"),
        "Entry instances that are asked for the state when the platform does not answer.",
    ),
    spec(
        "operator_key_sha256",
        "",
        Hash,
        Absent,
        "SHA-256 of the operators' key. Without it, operator calls are accepted from loopback addresses only.",
    ),
    spec(
        "log_level",
        "",
        Choice(LEVELS),
        Value("\"info\""),
        "Least severe log records that are written.",
    ),
    spec(
        "log_format",
        "",
        Choice(FORMATS),
        Value("\"text\""),
        "Form of the log records on standard output.",
    ),
    spec(
        "utc_offset_minutes",
        "min",
        Whole {
            min: -840,
            max: 840,
        },
        Value("0"),
        "Difference of local time, by which sheets go, from UTC.",
    ),
    millis(
        "list_lag_ms",
        100,
        600_000,
        "10000",
        "Longest time by which the platform's list of instances lags.",
    ),
    millis(
        "task_lease_ms",
        100,
        3_600_000,
        "10000",
        "Longest time that a task may run on a worker.",
    ),
    millis(
        "clock_margin_ms",
        0,
        60_000,
        "500",
        "Allowance for clock differences between machines.",
    ),
    millis(
        "shutdown_deadline_ms",
        100,
        3_600_000,
        "30000",
        "Time within which a graceful shutdown ends.",
    ),
    millis(
        "heartbeat_ms",
        100,
        60_000,
        "2000",
        "Least time between two writes of the own session row. A quiesced generation is written sooner, at most once a second.",
    ),
    millis(
        "idle_heartbeat_ms",
        100,
        600_000,
        "10000",
        "Time after which the own session row is written even when nothing changed.",
    ),
    millis(
        "head_period_ms",
        50,
        60_000,
        "1000",
        "Time between two reads of the head of the change log.",
    ),
    millis(
        "exchange_period_ms",
        50,
        60_000,
        "500",
        "Time between two exchanges with peers.",
    ),
    millis(
        "peer_deadline_ms",
        10,
        60_000,
        "500",
        "Deadline of one exchange with a peer.",
    ),
    millis(
        "store_deadline_ms",
        10,
        60_000,
        "1000",
        "Deadline of one call to the platform.",
    ),
    millis(
        "evidence_ms",
        100,
        60_000,
        "2500",
        "Age up to which evidence of the head shows that the state is current.",
    ),
    millis(
        "controller_period_ms",
        50,
        60_000,
        "1000",
        "Time between two steps of the controller; a quarter of it while a generation settles.",
    ),
    millis(
        "list_period_ms",
        50,
        60_000,
        "2000",
        "Time between two reads of the platform's list by the controller.",
    ),
    millis(
        "controller_takeover_ms",
        200,
        600_000,
        "5000",
        "Time without renewal after which the controller's lease is taken over.",
    ),
    millis(
        "caller_deadline_ms",
        1,
        3_600_000,
        "30000",
        "Deadline of a request that names none.",
    ),
    millis(
        "urgent_start_ms",
        1,
        600_000,
        "7300",
        "Time within which urgent work should start.",
    ),
    spec(
        "max_queued",
        "jobs",
        Whole {
            min: 1,
            max: 1_000_000,
        },
        Value("1000"),
        "Most jobs queued per pool and team.",
    ),
    weight(
        "plan_move_weight",
        "100",
        "Cost of one move of an instance between pools.",
    ),
    weight(
        "plan_rollout_weight",
        "10",
        "Cost of one minute from the time of a row to the end of its moves.",
    ),
    weight(
        "plan_buffer_weight",
        "1",
        "Cost of one instance-hour in the spare pool or out of service.",
    ),
    weight(
        "plan_share_weight",
        "1",
        "Cost of one hour in which a hundredth of the fleet is in another pool than the sizes of the pools would have it.",
    ),
    millis(
        "plan_move_ms",
        0,
        3_600_000,
        "15000",
        "Time for which plans assume a moving instance to be out of service.",
    ),
    millis(
        "plan_reboot_ms",
        0,
        86_400_000,
        "180000",
        "Time for which plans assume an instance under maintenance to be out of service.",
    ),
];
