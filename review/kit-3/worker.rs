//! Stand-in of a worker and its machine. What a task does stands in the spec of its job: `ms=N` runs
//! for N milliseconds, `lasts` runs until it is stopped.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, reply, Reply, Request};
use crate::json::{num, obj, text, Json};
use crate::record::{End, Record, Start};
use crate::store::Store;

/// Longest lease that a worker grants, as `holdMaxMs` of the settings.
pub const HOLD_MAX: Duration = Duration::from_millis(6_000);

/// Silence after which the store drops an entry: three check-in intervals of 1.5 s.
const ENTRY_LIFE: Duration = Duration::from_millis(4_500);

/// Most ends that a list holds.
const LISTED_ENDS: usize = 500;

/// Time after which a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(500);

struct Run {
    run: u64,
    started: Instant,
    /// How long it runs; none if it lasts.
    length: Option<Duration>,
    fails: bool,
}

#[derive(Default)]
struct Life {
    fence: u64,
    /// End of the lease on the worker's clock.
    until: Duration,
    running: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    has_lapsed: bool,
}

/// One life of a machine.
pub struct Worker {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub address: SocketAddr,
    rack: usize,
    capacity: (u64, u64),
    born_ms: u64,
    clock: Instant,
    life: Mutex<Life>,
    ending: Condvar,
    /// Share of its tasks that it fails, in percent.
    failing: Mutex<u64>,
    /// Whether it is cut off from all processes and from the store, and runs on.
    is_cut: AtomicBool,
    random: Mutex<u64>,
    record: Arc<Record>,
}

/// What a worker is.
pub struct Kind {
    pub service: &'static str,
    pub machine: usize,
    /// Thousandths of a core, and megabytes.
    pub capacity: (u64, u64),
}

impl Worker {
    /// Starts a worker and registers it in the store.
    pub fn start(kind: &Kind, store: &Store, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a clock after 1970");
        let worker = Arc::new(Self {
            id: format!("w-{:04x}", 0x3a10 + kind.machine),
            machine: format!("m-{:04x}", 0x1c00 + kind.machine),
            service: kind.service.to_owned(),
            address: listener.local_addr().expect("the address of a listener"),
            rack: kind.machine / 4,
            capacity: kind.capacity,
            born_ms: now.as_millis() as u64,
            clock: Instant::now(),
            life: Mutex::default(),
            ending: Condvar::new(),
            failing: Mutex::new(0),
            is_cut: AtomicBool::new(false),
            random: Mutex::new(0x9e37_79b9 + kind.machine as u64),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&worker);
        http::serve(
            listener,
            Arc::new(move |request| served.handle_unless_cut(request)),
        );
        let ticking = Arc::clone(&worker);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            ticking.tick();
        });
        store.put("servers", &worker.id, Some(&worker.entry().to_text()));
        worker
    }

    fn capacity_json(&self) -> Json {
        obj(vec![
            ("cpu", num(self.capacity.0)),
            ("memMb", num(self.capacity.1)),
            ("gpu", num(0)),
        ])
    }

    fn labels(&self) -> Json {
        Json::Arr(vec![text("a"), text(&format!("r1-{}", self.rack))])
    }

    fn entry(&self) -> Json {
        obj(vec![
            ("svc", text(&self.service)),
            ("addr", text(&self.address.to_string())),
            ("zone", text("norte-a")),
            ("version", text("1.0")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("coldLeftMs", num(0)),
            ("seq", num(1)),
            ("capacity", self.capacity_json()),
            ("labels", self.labels()),
            ("machine", text(&self.machine)),
            ("born", num(self.born_ms)),
        ])
    }

    /// Entry of its machine in the list of machines.
    pub fn machine_json(&self) -> Json {
        obj(vec![
            ("machine", text(&self.machine)),
            ("pool", text(&self.service)),
            ("state", text("up")),
            ("zone", text("norte-a")),
            ("labels", self.labels()),
            ("capacity", self.capacity_json()),
            ("id", text(&self.id)),
        ])
    }

    /// From now on it fails this share of what it starts, in percent, and seems healthy.
    pub fn set_failing(&self, percent: u64) {
        *self.failing.lock().unwrap() = percent;
    }

    fn fails_next(&self) -> bool {
        let mut state = self.random.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        *state % 100 < *self.failing.lock().unwrap()
    }

    pub fn running(&self) -> usize {
        self.life.lock().unwrap().running.len()
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.running.remove(task) else {
            return;
        };
        life.last_end += 1;
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = run.run.max(*closed);
        life.ended
            .push((life.last_end, task.to_owned(), run.run, how));
        let end = End {
            worker: self.id.clone(),
            task: task.to_owned(),
            run: run.run,
            how,
            number: life.last_end,
        };
        self.record.end(end);
        self.ending.notify_all();
    }

    fn tick(&self) {
        let now = self.clock.elapsed();
        let mut life = self.life.lock().unwrap();
        let has_lapsed = now > life.until;
        if has_lapsed && !life.has_lapsed && !life.until.is_zero() {
            self.record.lapse(&self.id);
        }
        life.has_lapsed = has_lapsed;
        let over = life.running.iter().filter_map(|(task, run)| {
            let is_over = run
                .length
                .is_some_and(|length| run.started.elapsed() >= length);
            let how = match (is_over, run.fails) {
                (true, false) => "done",
                (true, true) => "failed",
                (false, _) if has_lapsed => "lapsed",
                _ => return None,
            };
            Some((task.clone(), how))
        });
        for (task, how) in over.collect::<Vec<_>>() {
            self.end(&mut life, &task, how);
        }
    }

    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    fn refuse(&self, reason: &str) -> Option<Reply> {
        reply(
            409,
            obj(vec![
                ("clockMs", num(self.clock_ms())),
                ("reason", text(reason)),
            ])
            .to_text(),
        )
    }

    fn accept(&self) -> Option<Reply> {
        reply(200, obj(vec![("clockMs", num(self.clock_ms()))]).to_text())
    }

    /// Cuts the worker off from the processes and the store for a time, in the background. It runs on.
    /// The store drops its entry after three check-in intervals of silence.
    pub fn cut_off(self: &Arc<Self>, time: Duration, store: &Arc<Store>) {
        self.is_cut.store(true, Ordering::SeqCst);
        self.record.say(&format!(
            "worker {} is cut off for {time:?} and runs on",
            self.id
        ));
        let (worker, store) = (Arc::clone(self), Arc::clone(store));
        thread::spawn(move || {
            thread::sleep(time.min(ENTRY_LIFE));
            if time > ENTRY_LIFE {
                store.put("servers", &worker.id, None);
                thread::sleep(time.saturating_sub(ENTRY_LIFE));
                store.put("servers", &worker.id, Some(&worker.entry().to_text()));
            }
            worker.is_cut.store(false, Ordering::SeqCst);
            worker
                .record
                .say(&format!("worker {} is reachable again", worker.id));
        });
    }

    /// What is sent to or by a worker that is cut off is lost, and its channels hang.
    fn handle_unless_cut(&self, request: &Request) -> Option<Reply> {
        let is_lost = || {
            let is_cut = self.is_cut.load(Ordering::SeqCst);
            while self.is_cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
            is_cut
        };
        if is_lost() {
            return None;
        }
        let answer = self.handle(request);
        if is_lost() {
            None
        } else {
            answer
        }
    }

    fn handle(&self, request: &Request) -> Option<Reply> {
        if request
            .headers
            .get("x-expect-instance")
            .is_some_and(|id| *id != self.id)
        {
            return reply(421, "{}".to_owned());
        }
        if request.method == "GET" {
            return reply(200, "{}".to_owned());
        }
        let body = Json::parse(&request.body)?;
        let mut life = self.life.lock().unwrap();
        let fence = body.get("fence").num().unwrap_or(0);
        if fence < life.fence {
            drop(life);
            return self.refuse("fence");
        }
        life.fence = fence;
        let grant = |life: &mut Life| {
            if let Some(until) = body.get("untilMs").num() {
                let longest = self.clock.elapsed() + HOLD_MAX;
                life.until = life.until.max(longest.min(Duration::from_millis(until)));
            }
        };
        let task = body.get("task").text().to_owned();
        let run = body.get("run").num().unwrap_or(0);
        match request.path.as_str() {
            "/-/run-start" => {
                if life
                    .running
                    .get(&task)
                    .is_some_and(|entry| entry.run == run)
                {
                    return self.accept();
                }
                let closed = life.closed.get(&task).copied().unwrap_or(0);
                let current = life.running.get(&task).map_or(0, |entry| entry.run);
                if run <= closed.max(current) {
                    grant(&mut life);
                    return self.refuse("old");
                }
                if body
                    .get("untilMs")
                    .num()
                    .is_none_or(|until| until <= self.clock_ms())
                {
                    return self.refuse("late");
                }
                grant(&mut life);
                let spec = body.get("spec").text();
                let length = spec
                    .strip_prefix("ms=")
                    .and_then(|ms| ms.trim_end().parse().ok());
                let entry = Run {
                    run,
                    started: Instant::now(),
                    length: length.map(Duration::from_millis),
                    fails: self.fails_next(),
                };
                life.running.insert(task.clone(), entry);
                self.record.start(Start {
                    worker: self.id.clone(),
                    task,
                    run,
                });
                self.accept()
            }
            "/-/run-stop" => {
                let is_running = life
                    .running
                    .get(&task)
                    .is_some_and(|entry| entry.run <= run);
                if is_running {
                    self.end(&mut life, &task, "stopped");
                } else {
                    let closed = life.closed.entry(task).or_default();
                    *closed = run.max(*closed);
                }
                self.accept()
            }
            "/-/pace" => self.accept(),
            "/-/hold" => {
                grant(&mut life);
                let seen = body.get("lastSeen").num().unwrap_or(0);
                self.record.take_note(&self.id, seen);
                life.ended.retain(|end| end.0 > seen);
                let wait = Duration::from_millis(body.get("waitMs").num().unwrap_or(0).min(2_000));
                let deadline = Instant::now() + wait;
                while life.ended.is_empty() {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    life = self.ending.wait_timeout(life, left).unwrap().0;
                }
                reply(200, self.lists(&life).to_text())
            }
            _ => reply(404, "{}".to_owned()),
        }
    }

    fn lists(&self, life: &Life) -> Json {
        let running = life.running.iter().map(|(task, run)| {
            let done =
                run.started.elapsed().as_secs_f64() / run.length.unwrap_or(STARTUP).as_secs_f64();
            let percent =
                (done * 100.0)
                    .floor()
                    .min(if run.length.is_some() { 99.0 } else { 100.0 });
            Json::Arr(vec![
                text(task),
                num(run.run),
                text(""),
                Json::Num(percent),
                num(0),
            ])
        });
        let ended = life
            .ended
            .iter()
            .take(LISTED_ENDS)
            .map(|(number, task, run, how)| {
                Json::Arr(vec![
                    num(*number),
                    text(task),
                    num(*run),
                    text(how),
                    text(""),
                ])
            });
        obj(vec![
            ("clockMs", num(self.clock_ms())),
            ("born", num(self.born_ms)),
            ("running", Json::Arr(running.collect())),
            ("ended", Json::Arr(ended.collect())),
        ])
    }
}
