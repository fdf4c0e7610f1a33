//! Stand-in of a worker. It carries out orders as the pages say and logs what runs.
//!
//! The text of a job's `spec` names the milliseconds that its tasks take. A task that lasts has
//! `lasts`, or `lasts MIN MAX`: its runs fail between so many milliseconds after their start.

use crate::base::{Reply, Request, call, micros, ok, quoted, serve, sleep_ms};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time from a stop to the end of the run. The pages allow up to `stopMs`.
const STOP_MS: u64 = 300;

/// Ends in one list.
const MAX_ENDS: usize = 500;

/// Longest lease, in milliseconds of the worker's clock.
const HOLD_MAX_MS: u64 = 6_000;

#[derive(Clone)]
pub struct Options {
    pub id: String,
    /// Address of the entry; a proxy may stand before the worker.
    pub entry: SocketAddr,
    pub service: String,
    pub rack: String,
    pub cpu: u64,
    pub platform: SocketAddr,
    pub log: String,
    pub beat_ms: u64,
    /// Rate of the worker's clock; the pages allow it to be 2% slow.
    pub rate: f64,
}

/// Time after which a task that lasts is at work.
const STARTUP_MS: u64 = 700;

struct Run {
    begin: Instant,
    /// Time that a task takes; none if it lasts.
    length: Option<Duration>,
    /// Time after which the run fails.
    failure: Option<Duration>,
    stop_at: Option<Instant>,
}

impl Run {
    fn new(spec: &str, task: &str, run: u64) -> Self {
        let words: Vec<&str> = spec.split(' ').collect();
        let millis = |text: &str| text.parse().map(Duration::from_millis).ok();
        let (length, failure) = match words[..] {
            ["lasts"] => (None, None),
            ["lasts", min, max] => {
                let (min, max): (u64, u64) = (min.parse().unwrap(), max.parse().unwrap());
                let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ run;
                for byte in task.bytes() {
                    hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
                }
                (None, Some(Duration::from_millis(min + (hash >> 20) % (max - min))))
            }
            [text] => (millis(text), None),
            _ => (Some(Duration::from_secs(1)), None),
        };
        Self { begin: Instant::now(), length, failure, stop_at: None }
    }

    fn percent(&self) -> u64 {
        let spent = self.begin.elapsed();
        match self.length {
            Some(length) => ((spent.as_secs_f64() / length.as_secs_f64() * 100.0) as u64).min(99),
            None => (spent.as_millis() as u64 * 100 / STARTUP_MS).min(100),
        }
    }
}

#[derive(Default)]
struct State {
    fence: u64,
    until_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    /// Time until which the worker is unhealthy and refuses starts.
    sheds_until: Option<Instant>,
}

struct Worker {
    options: Options,
    born: Instant,
    born_ms: u64,
    state: Mutex<State>,
    ended: Condvar,
    log: Mutex<std::fs::File>,
}

pub fn run(listener: TcpListener, options: Options) {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(&options.log).unwrap();
    let worker = Arc::new(Worker {
        options,
        born: Instant::now(),
        born_ms: micros() / 1_000,
        state: Mutex::default(),
        ended: Condvar::new(),
        log: Mutex::new(log),
    });
    worker.note("boot", "-", 0);
    let beating = Arc::clone(&worker);
    std::thread::spawn(move || {
        for seq in 1.. {
            beating.beat(seq);
            sleep_ms(beating.options.beat_ms);
        }
    });
    let ticking = Arc::clone(&worker);
    std::thread::spawn(move || loop {
        sleep_ms(2);
        ticking.tick();
    });
    serve(listener, Arc::new(move |request| worker.answer(request)));
}

impl Worker {
    fn note(&self, event: &str, task: &str, run: u64) {
        let line = format!("{} {event} {task} {run} {}\n", micros(), self.options.id);
        self.log.lock().unwrap().write_all(line.as_bytes()).unwrap();
    }

    fn clock_ms(&self) -> u64 {
        100_000 + (self.born.elapsed().as_secs_f64() * 1_000.0 * self.options.rate) as u64
    }

    /// Checks in. A worker that cannot reach the store tries again with its next check-in.
    fn beat(&self, seq: u64) {
        let options = &self.options;
        let entry = format!(
            "{{\"svc\":{},\"addr\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":131072,\"gpu\":0}},\"labels\":[\"a\",{}],\"clockMs\":{},\"machine\":\"m-{}\",\"born\":{},\"seq\":{seq}}}",
            quoted(&options.service),
            options.entry,
            options.cpu,
            quoted(&options.rack),
            self.clock_ms(),
            options.id,
            self.born_ms
        );
        let path = format!("/ctl/beat?id={}", options.id);
        let _ = call(options.platform, "POST", &path, &[], &entry, Duration::from_millis(500));
    }

    fn close(&self, state: &mut State, name: (String, u64), how: &'static str) {
        state.running.remove(&name);
        self.note(how, &name.0, name.1);
        let highest = state.closed.entry(name.0.clone()).or_default();
        *highest = name.1.max(*highest);
        state.ends += 1;
        let number = state.ends;
        state.ended.push((number, name.0, name.1, how));
        self.ended.notify_all();
    }

    fn tick(&self) {
        let clock = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        let has_lapsed = clock >= state.until_ms;
        let now = Instant::now();
        let due = state.running.iter().filter_map(|(name, run)| {
            let how = if has_lapsed {
                "lapsed"
            } else if run.length.is_some_and(|length| now >= run.begin + length) {
                "done"
            } else if run.failure.is_some_and(|failure| now >= run.begin + failure) {
                "failed"
            } else if run.stop_at.is_some_and(|at| now >= at) {
                "stopped"
            } else {
                return None;
            };
            Some((name.clone(), how))
        });
        let due: Vec<_> = due.collect();
        for (name, how) in due {
            self.close(&mut state, name, how);
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        Reply::Answer(409, format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn answer(&self, request: &Request) -> Reply {
        if request.path == "/health" {
            return ok("{}".into());
        }
        if request.path == "/ctl/shed" {
            let millis = request.param("ms").parse().unwrap_or(1_000);
            self.state.lock().unwrap().sheds_until = Some(Instant::now() + Duration::from_millis(millis));
            return ok("{}".into());
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.options.id {
            return Reply::Answer(421, "{}".into());
        }
        let body = request.json();
        let fence = body.get("fence").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        let name = (body.get("task").text().to_owned(), body.get("run").number().unwrap_or(0));
        let clock = self.clock_ms();
        if request.path != "/-/run-stop" && let Some(until) = body.get("untilMs").number() {
            state.until_ms = state.until_ms.max(until.min(clock + HOLD_MAX_MS));
        }
        match request.path.as_str() {
            "/-/run-start" => {
                if state.sheds_until.is_some_and(|end| Instant::now() < end) {
                    self.note("refused", &name.0, name.1);
                    return Reply::Answer(503, "{}".into());
                }
                let until = body.get("untilMs").number().unwrap_or(0);
                if state.running.contains_key(&name) {
                    return ok(format!("{{\"clockMs\":{clock}}}"));
                }
                if state.closed.get(&name.0).is_some_and(|closed| name.1 <= *closed) {
                    return self.refuse("old");
                }
                if until <= clock {
                    return self.refuse("late");
                }
                self.note("start", &name.0, name.1);
                let run = Run::new(body.get("spec").text(), &name.0, name.1);
                state.running.insert(name, run);
                ok(format!("{{\"clockMs\":{clock}}}"))
            }
            "/-/run-stop" => {
                match state.running.get_mut(&name) {
                    Some(run) => {
                        let at = Instant::now() + Duration::from_millis(STOP_MS);
                        run.stop_at.get_or_insert(at);
                    }
                    None => {
                        let highest = state.closed.entry(name.0).or_default();
                        *highest = name.1.max(*highest);
                    }
                }
                ok(format!("{{\"clockMs\":{clock}}}"))
            }
            "/-/hold" => {
                let seen = body.get("lastSeen").number().unwrap_or(0);
                state.ended.retain(|end| end.0 > seen);
                let wait = body.get("waitMs").number().unwrap_or(0).min(2_000);
                let end = Instant::now() + Duration::from_millis(wait);
                while state.ended.is_empty() && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    state = self.ended.wait_timeout(state, left).unwrap().0;
                }
                ok(self.lists(&state))
            }
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn lists(&self, state: &State) -> String {
        let running = state.running.iter().map(|((task, number), run)| {
            format!("[{},{number},\"\",{}]", quoted(task), run.percent())
        });
        let running: Vec<String> = running.collect();
        let ended = state.ended.iter().take(MAX_ENDS);
        let ended = ended.map(|(number, task, run, how)| format!("[{number},{},{run},\"{how}\",\"\"]", quoted(task)));
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born_ms,
            running.join(","),
            ended.join(",")
        )
    }
}

/// Parses the options of the command line.
pub fn options(args: &[String]) -> Options {
    let value = |name: &str| {
        let at = args.iter().position(|arg| arg == name);
        at.and_then(|at| args.get(at + 1)).cloned().unwrap_or_default()
    };
    Options {
        id: value("--id"),
        entry: value("--entry").parse().unwrap(),
        service: value("--service"),
        rack: value("--rack"),
        cpu: value("--cpu").parse().unwrap(),
        platform: value("--platform").parse().unwrap(),
        log: value("--log"),
        beat_ms: value("--beat").parse().unwrap(),
        rate: value("--rate").parse().unwrap(),
    }
}

