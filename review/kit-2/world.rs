//! Stand-ins for the platform's store, its inventory and the workers, and the entry instances as
//! separate processes.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Server, call};
use crate::json::{Json, base64, quote};

/// Longest lease that a worker grants (`holdMaxMs`).
const HOLD_MAX_MS: f64 = 6_000.0;
/// Interval between check-ins of a worker (`heartbeatMs`).
const BEAT: Duration = Duration::from_millis(1_500);
/// Interval between checkpoints (`checkpointS`).
const CHECKPOINT_MS: u64 = 500;
/// Time for which a member of a gang waits for the others (`gangTimeoutMs`).
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time after which a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(300);

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock");
    elapsed.as_millis() as u64
}

/// The record of the run, with the time since its start in seconds.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &str) -> Arc<Record> {
        Arc::new(Record {
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
            start: Instant::now(),
        })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) -> f64 {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:9.3} {text}").ok();
        now
    }
}

type RowName = (String, String, String);

#[derive(Default)]
struct StoreState {
    version: u64,
    rows: BTreeMap<RowName, (String, u64)>,
    log: Vec<(u64, RowName)>,
}

/// The platform's store.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    start: Instant,
}

fn row_json(name: &RowName, row: Option<&(String, u64)>, version: u64) -> String {
    let (table, part, key) = (quote(&name.0), quote(&name.1), quote(&name.2));
    match row {
        Some((value, version)) => format!(
            "{{\"table\":{table},\"part\":{part},\"key\":{key},\"value\":\"{value}\",\"ver\":{version}}}"
        ),
        None => format!(
            "{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{version},\"deleted\":true}}"
        ),
    }
}

fn name_of(entry: &Json) -> RowName {
    (entry.text("table"), entry.text("part"), entry.text("key"))
}

impl Store {
    pub fn start() -> (Arc<Store>, Server) {
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let served = store.clone();
        (
            store,
            Server::start(Arc::new(move |request| served.answer(request))),
        )
    }

    /// Writes a row for the operator or a worker; none deletes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        match value {
            Some(value) => {
                let value = base64(value.as_bytes());
                state.rows.insert(name.clone(), (value, version));
            }
            None if state.rows.remove(&name).is_none() => return,
            None => {}
        }
        state.log.push((version, name));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match request.path.as_str() {
            "/-/rows-tx" => self.transact(request),
            "/-/rows-get" => self.get(request),
            "/-/rows-feed" => self.feed(request),
            _ => (404, String::new()),
        }
    }

    fn tail(&self, state: &StoreState) -> String {
        let now = self.start.elapsed().as_millis();
        format!("\"ver\":{},\"nowMs\":{now}}}", state.version)
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        thread::sleep(Duration::from_millis(3));
        let Some(body) = Json::parse(&request.body) else {
            return (400, String::new());
        };
        let mut state = self.state.lock().unwrap();
        let expected = body.list("expectRev");
        let version =
            |state: &StoreState, name: &RowName| state.rows.get(name).map_or(0, |row| row.1);
        let holds = expected.iter().all(|entry| {
            version(&state, &name_of(entry)) as f64 == entry.number("ver").unwrap_or(0.0)
        });
        if !holds {
            let names = expected.iter().map(name_of);
            let rows: Vec<String> = names
                .filter_map(|name| Some(row_json(&name, Some(state.rows.get(&name)?), 0)))
                .collect();
            return (
                412,
                format!("{{\"rows\":[{}],{}", rows.join(","), self.tail(&state)),
            );
        }
        state.version += 1;
        let version = state.version;
        for entry in body.list("puts") {
            let name = name_of(&entry);
            if name.0 == "op" || name.0 == "servers" {
                return (403, String::new());
            }
            state
                .rows
                .insert(name.clone(), (entry.text("value"), version));
            state.log.push((version, name));
        }
        for entry in body.list("deletes") {
            let name = name_of(&entry);
            if state.rows.remove(&name).is_some() {
                state.log.push((version, name));
            }
        }
        self.changed.notify_all();
        (200, format!("{{{}", self.tail(&state)))
    }

    fn get(&self, request: &Request) -> (u16, String) {
        thread::sleep(Duration::from_millis(2));
        let (table, part) = (request.param("table"), request.param("part"));
        let (from, target) = (request.param("from"), request.param("target"));
        let limit = request.param("limit").parse().unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let begin = (table.clone(), part.clone(), from);
        let rows = state.rows.range(begin..);
        let rows = rows.take_while(|(name, _)| {
            name.0 == table && name.1 == part && (target.is_empty() || name.2 < target)
        });
        let rows: Vec<String> = rows
            .take(limit + 1)
            .map(|(name, row)| row_json(name, Some(row), 0))
            .collect();
        let more = rows.len() > limit;
        let rows = rows[..rows.len().min(limit)].join(",");
        (
            200,
            format!(
                "{{\"rows\":[{rows}],\"morePages\":{more},{}",
                self.tail(&state)
            ),
        )
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        thread::sleep(Duration::from_millis(2));
        let table = request.param("table");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let mut newest: HashMap<&RowName, u64> = HashMap::new();
            for (version, name) in &state.log {
                if *version > after && name.0 == table {
                    newest.insert(name, *version);
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if newest.is_empty() && !left.is_zero() {
                state = self.changed.wait_timeout(state, left).unwrap().0;
                continue;
            }
            let mut newest: Vec<(u64, &RowName)> = newest
                .into_iter()
                .map(|(name, version)| (version, name))
                .collect();
            newest.sort();
            let rows: Vec<String> = newest
                .iter()
                .map(|(version, name)| row_json(name, state.rows.get(*name), *version))
                .collect();
            return (
                200,
                format!("{{\"rows\":[{}],{}", rows.join(","), self.tail(&state)),
            );
        }
    }
}

#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    saved: String,
    spec: String,
    begin: Instant,
    /// Progress of the task, with what it resumed from, in milliseconds of work.
    worked_ms: u64,
    ticked: Instant,
    /// Whether all members of the gang have been present.
    is_joined: bool,
}

#[derive(Debug, Clone)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

struct WorkerState {
    is_up: bool,
    born: u64,
    start: Instant,
    seq: u64,
    fence: f64,
    until_ms: f64,
    running: Vec<Run>,
    ended: Vec<End>,
    number: u64,
    /// Highest run of each task that was stopped or ended here.
    closed: HashMap<String, u64>,
    /// Whether starts are answered with 503.
    is_busy: bool,
}

/// What has happened at the workers.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: f64,
    pub kind: &'static str,
    pub task: String,
    pub run: u64,
    pub saved: String,
}

pub struct Worker {
    pub id: String,
    machine: String,
    pool: String,
    labels: Vec<String>,
    state: Mutex<WorkerState>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    world: Arc<World>,
}

pub struct World {
    pub record: Arc<Record>,
    pub events: Mutex<Vec<Event>>,
    pub workers: Mutex<Vec<Arc<Worker>>>,
    pub holds: Mutex<u64>,
    /// Address of the policy service, if the queue needs tickets.
    pub advice: Mutex<Option<SocketAddr>>,
    store: Arc<Store>,
}

impl World {
    pub fn new(record: Arc<Record>, store: Arc<Store>) -> Arc<World> {
        let world = Arc::new(World {
            record,
            events: Mutex::default(),
            workers: Mutex::default(),
            holds: Mutex::new(0),
            advice: Mutex::default(),
            store,
        });
        let ticked = world.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                let workers = ticked.workers.lock().unwrap().clone();
                for worker in &workers {
                    worker.tick();
                }
                tick_gangs(&workers);
            }
        });
        world
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// Waits until a worker has been held by an owner.
    pub fn wait_for_owner(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if *self.holds.lock().unwrap() > 0 {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

fn spec_number(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split(' ');
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Duration of the work of a task, which its specification names for each step (`ms0=4000`) or for
/// all (`ms=4000`); none if it lasts.
fn work_ms(run: &Run) -> Option<u64> {
    let step = run.task.split('.').nth(2).unwrap_or_default();
    spec_number(&run.spec, &format!("ms{step}")).or_else(|| spec_number(&run.spec, "ms"))
}

fn gang_size(run: &Run) -> Option<usize> {
    spec_number(&run.spec, "gang").map(|size| size as usize)
}

impl Worker {
    pub fn start(world: &Arc<World>, number: usize, pool: &str, labels: &[&str]) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: format!("i-{:08x}", 0x7f3a_9100 + number),
            machine: format!("m-{:05x}", 0x0a3f1 + number),
            pool: pool.to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            state: Mutex::new(WorkerState::new()),
            changed: Condvar::new(),
            server: Mutex::default(),
            world: world.clone(),
        });
        let served = worker.clone();
        let server = Server::start(Arc::new(move |request| served.answer(request)));
        *worker.server.lock().unwrap() = Some(server);
        world.workers.lock().unwrap().push(worker.clone());
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(BEAT);
            }
        });
        worker
    }

    fn addr(&self) -> SocketAddr {
        self.server.lock().unwrap().as_ref().expect("a server").addr
    }

    fn beat(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        state.seq += 1;
        let labels: Vec<String> = self.labels.iter().map(|label| quote(label)).collect();
        let entry = format!(
            "{{\"svc\":{},\"addr\":\"{}\",\"zone\":\"norte-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpu\":0}},\"labels\":[{}],\"machine\":{},\"born\":{},\"clockMs\":{},\"seq\":{}}}",
            quote(&self.pool),
            self.addr(),
            labels.join(","),
            quote(&self.machine),
            state.born,
            state.clock_ms() as u64,
            state.seq
        );
        drop(state);
        self.world.store.put("servers", &self.id, Some(&entry));
    }

    pub fn inventory_entry(&self) -> String {
        let state = self.state.lock().unwrap();
        let labels: Vec<String> = self.labels.iter().map(|label| quote(label)).collect();
        let (word, id) = if state.is_up {
            ("up", quote(&self.id))
        } else {
            ("down", "\"\"".to_owned())
        };
        format!(
            "{{\"machine\":{},\"pool\":{},\"state\":\"{word}\",\"zone\":\"norte-a\",\"labels\":[{}],\"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpu\":0}},\"id\":{id}}}",
            quote(&self.machine),
            quote(&self.pool),
            labels.join(",")
        )
    }

    fn note(&self, kind: &'static str, task: &str, run: u64, saved: &str) {
        let at = self.world.record.line(&format!(
            "worker {} {kind} task={task} run={run} saved={saved:?}",
            self.id
        ));
        self.world.events.lock().unwrap().push(Event {
            at,
            kind,
            task: task.to_owned(),
            run,
            saved: saved.to_owned(),
        });
    }

    /// Ends a run that is there.
    pub fn end(&self, task: &str, how: &'static str) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(index) = state.running.iter().position(|run| run.task == task) else {
            return false;
        };
        let run = state.running.remove(index);
        self.list_end(&mut state, &run, how);
        true
    }

    fn list_end(&self, state: &mut WorkerState, run: &Run, how: &'static str) {
        state.number += 1;
        let number = state.number;
        state.ended.push(End {
            number,
            task: run.task.clone(),
            run: run.run,
            how,
            saved: run.saved.clone(),
        });
        let closed = state.closed.entry(run.task.clone()).or_default();
        *closed = (*closed).max(run.run);
        self.note(how, &run.task, run.run, &run.saved);
        self.changed.notify_all();
    }

    pub fn running(&self) -> Vec<Run> {
        self.state.lock().unwrap().running.clone()
    }

    pub fn set_busy(&self, is_busy: bool) {
        self.state.lock().unwrap().is_busy = is_busy;
        self.world
            .record
            .line(&format!("worker {} busy={is_busy}", self.id));
    }

    /// Ends the worker as a crash does; its entry goes after three check-in intervals.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        state.running.clear();
        drop(state);
        if let Some(server) = &*self.server.lock().unwrap() {
            server.kill();
        }
        self.world
            .record
            .line(&format!("worker {} crashes", self.id));
    }

    /// Starts the worker again, under the same id and address.
    pub fn restart(&self) {
        *self.state.lock().unwrap() = WorkerState::new();
        if let Some(server) = &*self.server.lock().unwrap() {
            server.restart();
        }
        self.world
            .record
            .line(&format!("worker {} is back", self.id));
        self.beat();
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        let now = Instant::now();
        if state.clock_ms() > state.until_ms {
            for run in std::mem::take(&mut state.running) {
                self.list_end(&mut state, &run, "lapsed");
            }
        }
        for run in &mut state.running {
            let passed = now.duration_since(run.ticked).as_millis() as u64;
            if gang_size(run).is_none() && passed > 0 {
                run.worked_ms += passed;
                run.ticked = now;
            }
        }
        let is_done = |run: &Run| {
            gang_size(run).is_none() && work_ms(run).is_some_and(|work| run.worked_ms >= work)
        };
        let done: Vec<Run> = state
            .running
            .iter()
            .filter(|run| is_done(run))
            .cloned()
            .collect();
        state.running.retain(|run| !is_done(run));
        for run in done {
            self.list_end(&mut state, &run, "done");
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if request.path == "/health" {
            return (200, String::new());
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return (421, String::new());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, String::new());
        };
        match request.path.as_str() {
            "/-/run-start" => self.start_run(&body),
            "/-/run-stop" => self.stop_run(&body),
            "/-/hold" => self.hold(&body),
            "/-/pace" => (200, self.clock(&self.state.lock().unwrap())),
            _ => (404, String::new()),
        }
    }

    fn clock(&self, state: &WorkerState) -> String {
        format!("{{\"clockMs\":{}}}", state.clock_ms() as u64)
    }

    fn refusal(&self, state: &WorkerState, reason: &str) -> (u16, String) {
        let clock = state.clock_ms() as u64;
        (
            409,
            format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"),
        )
    }

    fn start_run(&self, body: &Json) -> (u16, String) {
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0.0) as u64);
        let saved = body.text("saved");
        let mut state = self.state.lock().unwrap();
        if state.is_busy {
            self.note("answers 503 to start", &task, run, &saved);
            return (503, String::new());
        }
        if !state.see_fence(body) {
            return self.refusal(&state, "fence");
        }
        state.extend(body);
        if state
            .running
            .iter()
            .any(|entry| entry.task == task && entry.run == run)
        {
            return (200, self.clock(&state));
        }
        if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return self.refusal(&state, "old");
        }
        if state.clock_ms() > state.until_ms {
            return self.refusal(&state, "late");
        }
        let ticket = body.text("ticket");
        if self.world.advice.lock().unwrap().is_some() && !self.is_ticket_valid(&task, &ticket) {
            return self.refusal(&state, "ticket");
        }
        let now = Instant::now();
        state.running.push(Run {
            task: task.clone(),
            run,
            worked_ms: saved
                .get(..8)
                .and_then(|text| u64::from_str_radix(text, 16).ok())
                .unwrap_or(0),
            saved: saved.clone(),
            spec: body.text("spec"),
            begin: now,
            ticked: now,
            is_joined: false,
        });
        self.note("start", &task, run, &saved);
        (200, self.clock(&state))
    }

    /// A ticket names the step, the worker and the Unix time until which it is valid.
    fn is_ticket_valid(&self, task: &str, ticket: &str) -> bool {
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let until = ticket.strip_prefix(&format!("{step}/{}/", self.id));
        until
            .and_then(|until| until.parse().ok())
            .is_some_and(|until: u64| unix_ms() <= until)
    }

    fn stop_run(&self, body: &Json) -> (u16, String) {
        let (task, number) = (body.text("task"), body.number("run").unwrap_or(0.0) as u64);
        let mut state = self.state.lock().unwrap();
        if !state.see_fence(body) {
            return self.refusal(&state, "fence");
        }
        let closed = state.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(number);
        let index = state
            .running
            .iter()
            .position(|run| run.task == task && run.run == number);
        if let Some(index) = index {
            let run = state.running.remove(index);
            self.list_end(&mut state, &run, "stopped");
        }
        (200, self.clock(&state))
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        if !state.see_fence(body) {
            return self.refusal(&state, "fence");
        }
        *self.world.holds.lock().unwrap() += 1;
        state.extend(body);
        let seen = body.number("lastSeen").unwrap_or(0.0) as u64;
        state.ended.retain(|end| end.number > seen);
        let wait = body.number("waitMs").unwrap_or(0.0).min(2_000.0) as u64;
        let limit = Instant::now() + Duration::from_millis(wait);
        let born = state.born;
        while state.ended.is_empty() && state.born == born {
            let left = limit.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|run| {
                let percent = match work_ms(run) {
                    Some(work) => (run.worked_ms * 100 / work.max(1)).min(99),
                    None if run.begin.elapsed() >= STARTUP => 100,
                    None => 10,
                };
                format!(
                    "[{},{},{},{percent},0]",
                    quote(&run.task),
                    run.run,
                    quote(&run.saved)
                )
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|end| {
                format!(
                    "[{},{},{},\"{}\",{}]",
                    end.number,
                    quote(&end.task),
                    end.run,
                    end.how,
                    quote(&end.saved)
                )
            })
            .collect();
        let clock = state.clock_ms() as u64;
        let lists = format!(
            "\"running\":[{}],\"ended\":[{}]",
            running.join(","),
            ended.join(",")
        );
        (
            200,
            format!("{{\"clockMs\":{clock},\"born\":{},{lists}}}", state.born),
        )
    }
}

impl WorkerState {
    fn new() -> WorkerState {
        WorkerState {
            is_up: true,
            born: unix_ms(),
            start: Instant::now(),
            seq: 0,
            fence: 0.0,
            until_ms: 0.0,
            running: Vec::new(),
            ended: Vec::new(),
            number: 0,
            closed: HashMap::new(),
            is_busy: false,
        }
    }

    fn clock_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0 + 1_000.0
    }

    fn see_fence(&mut self, body: &Json) -> bool {
        let fence = body.number("fence").unwrap_or(0.0);
        let is_valid = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_valid
    }

    fn extend(&mut self, body: &Json) {
        if let Some(until) = body.number("untilMs") {
            let until = until.min(self.clock_ms() + HOLD_MAX_MS);
            self.until_ms = self.until_ms.max(until);
        }
    }
}

/// Lets gangs work while all members of a run are present and carry the same progress.
fn tick_gangs(workers: &[Arc<Worker>]) {
    let mut gangs: BTreeMap<(String, u64), Vec<(Arc<Worker>, Run)>> = BTreeMap::new();
    for worker in workers {
        for run in worker.running() {
            if gang_size(&run).is_some() {
                let step = run.task.rsplit_once('.').map(|(step, _)| step.to_owned());
                let key = (step.unwrap_or_default(), run.run);
                gangs.entry(key).or_default().push((worker.clone(), run));
            }
        }
    }
    for members in gangs.values() {
        let size = gang_size(&members[0].1).unwrap_or(0);
        let first = &members[0].1;
        let is_whole = members.len() == size;
        let is_equal = members
            .iter()
            .all(|(_, run)| run.worked_ms == first.worked_ms);
        let has_joined = members.iter().any(|(_, run)| run.is_joined);
        let passed = members
            .iter()
            .map(|(_, run)| run.ticked.elapsed())
            .min()
            .unwrap_or_default();
        let passed = if has_joined {
            passed.as_millis() as u64
        } else {
            0
        };
        let worked = first.worked_ms + passed;
        let is_done = work_ms(first).is_some_and(|work| worked >= work);
        for (worker, run) in members {
            if is_whole && is_equal && is_done {
                worker.end(&run.task, "done");
            } else if is_whole && is_equal {
                let mut state = worker.state.lock().unwrap();
                let mut runs = state.running.iter_mut();
                let found = runs.find(|entry| entry.task == run.task && entry.run == run.run);
                if let Some(entry) = found {
                    if worked / CHECKPOINT_MS > entry.worked_ms / CHECKPOINT_MS {
                        let point = worked / CHECKPOINT_MS * CHECKPOINT_MS;
                        entry.saved = format!("{point:08x}7a21d94b");
                    }
                    entry.worked_ms = worked;
                    entry.ticked = Instant::now();
                    entry.is_joined = true;
                }
            } else if has_joined {
                worker.end(&run.task, "broken");
            } else if run.begin.elapsed() > GANG_TIMEOUT {
                worker.end(&run.task, "alone");
            }
        }
    }
}

/// The inventory of machines. It takes no orders: no config of these cases has a spare pool.
pub fn inventory(world: &Arc<World>) -> Server {
    let world = world.clone();
    Server::start(Arc::new(move |request: &Request| {
        if request.path != "/-/machines" {
            return (400, String::new());
        }
        let workers = world.workers.lock().unwrap().clone();
        let entries: Vec<String> = workers
            .iter()
            .map(|worker| worker.inventory_entry())
            .collect();
        (
            200,
            format!(
                "{{\"machines\":[{}],\"nextToken\":null}}",
                entries.join(",")
            ),
        )
    }))
}

/// An entry instance, started with the command of the deploy file.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Mutex<Child>,
}

fn free_ports(count: u16) -> u16 {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let first = listener.local_addr().expect("an address").port();
        drop(listener);
        let ports = first..first.saturating_add(count);
        if first < 60_000
            && ports
                .clone()
                .all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok())
        {
            return first;
        }
    }
}

impl Node {
    pub fn start(
        folder: &Path,
        name: &str,
        store: SocketAddr,
        cloud: SocketAddr,
        advice: Option<SocketAddr>,
    ) -> Node {
        let advice = advice.map(|advice| advice.to_string()).unwrap_or_default();
        let port = free_ports(20);
        let address = |offset: u16| SocketAddr::from(([127, 0, 0, 1], port + offset));
        let (front, ready, control) = (address(16), address(17), address(18));
        let text = format!(
            r#"node = "{name}"
role = "entry"
class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "norte-a"
region = "norte"
internalPorts = [{port},{last}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "invoke"
advice = "{advice}"
[zones]
norte-a = "norte"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
stableMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configMs = 2000
holdMaxMs = 6000
stopMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
spreadFactor = 1.5
checkpointS = 0.5
restoreMs = 250
noticeMs = 4500
moveS = 1.5
maintS = 2
requireFence = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
[platform]
addr = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 3.0
partWritesS = 300
rowBytes = 65536
across = true
historyS = 20
[cloud]
addr = "{cloud}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
"#,
            last = port + 15
        );
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let child = spawn(&settings, &log);
        Node {
            name: name.to_owned(),
            front,
            ready,
            child: Mutex::new(child),
        }
    }

    /// Waits until the entry instance says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let answer = call(
                self.ready,
                "GET",
                "/-/ready",
                &[],
                "",
                Duration::from_secs(1),
            );
            if matches!(answer, Some((200, _))) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        child.kill().ok();
        child.wait().ok();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log file");
    let errors = log.try_clone().expect("a log file");
    Command::new("target/release/sesamedeald")
        .env_clear()
        .env("SESAMEDEAL_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .unwrap_or_else(|error| {
            eprintln!("cannot start target/release/sesamedeald: {error}");
            std::process::exit(2);
        })
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The policy service. It handles one call at a time, in turn, and allows all workers. A call whose
/// caller has gone before its turn is left out.
pub fn policy_service(world: &Arc<World>, decide: Duration, valid_ms: u64) -> Server {
    let record = world.record.clone();
    let turn = Arc::new(Mutex::new(()));
    let server = Server::start(Arc::new(move |request: &Request| {
        let Some(body) = Json::parse(&request.body) else {
            return (400, String::new());
        };
        let step = body.text("step");
        record.line(&format!("policy service is asked about {step}"));
        let guard = turn.lock().unwrap();
        if (request.is_gone)() {
            return (429, String::new());
        }
        thread::sleep(decide);
        drop(guard);
        let until = unix_ms() + valid_ms;
        let workers = body.list("workers");
        let allowed: Vec<String> = workers
            .iter()
            .map(|worker| {
                let id = match worker {
                    Json::Str(id) => id.clone(),
                    _ => String::new(),
                };
                format!(
                    "[{},{}]",
                    quote(&id),
                    quote(&format!("{step}/{id}/{until}"))
                )
            })
            .collect();
        let gone = if (request.is_gone)() {
            ", its caller is gone"
        } else {
            ""
        };
        record.line(&format!("policy service answers about {step}{gone}"));
        let allowed = allowed.join(",");
        (
            200,
            format!("{{\"allowed\":[{allowed}],\"validMs\":{valid_ms}}}"),
        )
    }));
    *world.advice.lock().unwrap() = Some(server.addr);
    server
}
