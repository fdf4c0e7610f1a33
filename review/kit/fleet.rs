//! A small deployment for a case: the project's own program, the stand-ins, and a client.

use crate::advice;
use crate::base::{Json, call, micros, quoted, sleep_ms};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const BEAT_MS: u64 = 1_500;

/// Host and key of the cases' queues.
pub const HOST: &str = "jobs.example";
pub const KEY: &str = "key-of-tenant-1";

/// A free port below those that the system picks for outgoing connections, and free with the one
/// after it.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let seed = u64::from(std::process::id()).wrapping_mul(7_919) + NEXT.fetch_add(2, Ordering::SeqCst);
        let port = 20_000 + (seed % 12_000) as u16;
        let is_free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
        if is_free(port) && is_free(port + 1) {
            return (Ipv4Addr::LOCALHOST, port).into();
        }
    }
}

/// A proxy before a worker. While it is cut, it holds all bytes back and answers nothing.
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn new(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&is_cut);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let flag = Arc::clone(&flag);
                std::thread::spawn(move || {
                    while flag.load(Ordering::SeqCst) {
                        sleep_ms(5);
                    }
                    let Ok(server) = TcpStream::connect(target) else {
                        return;
                    };
                    let _ = (stream.set_nodelay(true), server.set_nodelay(true));
                    let (Ok(from), Ok(to)) = (stream.try_clone(), server.try_clone()) else {
                        return;
                    };
                    let there = Arc::clone(&flag);
                    std::thread::spawn(move || forward(from, to, &there));
                    forward(server, stream, &flag);
                });
            }
        });
        Self { address, is_cut }
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buffer = [0; 16_384];
    let mut was_cut = false;
    while let Ok(length) = from.read(&mut buffer) {
        while is_cut.load(Ordering::SeqCst) {
            was_cut = true;
            sleep_ms(5);
        }
        // What a partition holds up is lost, and its connections end.
        if length == 0 || was_cut || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// A worker of the deployment.
pub struct WorkerSpec {
    pub id: String,
    pub service: String,
    pub rack: String,
    pub cpu: u64,
    pub rate: f64,
}

struct WorkerProcess {
    spec: WorkerSpec,
    listen: SocketAddr,
    proxy: Proxy,
    child: Child,
}

struct Node {
    front: SocketAddr,
    log: PathBuf,
    child: Option<Child>,
}

/// A queue: its name, path prefix and service.
pub type Queue = (&'static str, &'static str, &'static str);

pub struct Fleet {
    dir: PathBuf,
    record: Arc<Mutex<std::fs::File>>,
    platform: SocketAddr,
    cloud: SocketAddr,
    platform_child: Child,
    workers: BTreeMap<String, WorkerProcess>,
    nodes: Vec<Node>,
    version: u64,
    begin: u64,
    /// Address of the policy service, if the queues need advice.
    advice: Option<SocketAddr>,
}

/// Why a case ends without a result.
pub type Broken = String;

impl Fleet {
    /// Starts the platform, the workers and `nodes` entry instances, and waits until all are ready.
    pub fn start(record: &str, nodes: usize, queues: &[Queue], workers: Vec<WorkerSpec>) -> Result<Self, Broken> {
        Self::start_with(record, nodes, queues, workers, None)
    }

    /// Does the same with a policy service.
    pub fn start_with(
        record: &str,
        nodes: usize,
        queues: &[Queue],
        workers: Vec<WorkerSpec>,
        advice: Option<SocketAddr>,
    ) -> Result<Self, Broken> {
        let dir = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), micros()));
        std::fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
        let (platform, cloud) = (free_address(), free_address());
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let platform_child = Command::new(own)
            .args(["platform", &platform.to_string(), &cloud.to_string(), &BEAT_MS.to_string()])
            .stdin(Stdio::piped())
            .stdout(std::fs::File::create(dir.join("platform.log")).unwrap())
            .spawn()
            .map_err(|error| error.to_string())?;
        let record = std::fs::File::create(record).map_err(|error| error.to_string())?;
        let mut fleet = Self {
            dir,
            record: Arc::new(Mutex::new(record)),
            platform,
            cloud,
            platform_child,
            workers: BTreeMap::new(),
            nodes: Vec::new(),
            version: 0,
            begin: micros(),
            advice,
        };
        wait_for(3_000, || TcpStream::connect(platform).is_ok()).ok_or("the platform does not start")?;
        fleet.set_config(queues);
        for spec in workers {
            fleet.add_worker(spec)?;
        }
        for number in 1..=nodes {
            fleet.add_node(number)?;
        }
        fleet.note("deployment is ready");
        Ok(fleet)
    }

    pub fn control(&self, call_name: &str, id: &str, more: &str, body: &str) {
        let path = format!("/ctl/{call_name}?id={id}{more}");
        let limit = Duration::from_secs(2);
        assert!(call(self.platform, "POST", &path, &[], body, limit).is_some(), "the platform does not answer");
    }

    /// Writes a new version of the config.
    pub fn set_config(&mut self, queues: &[Queue]) {
        self.version += 3;
        let mut services: Vec<&str> = queues.iter().map(|queue| queue.2).collect();
        services.extend(["svc-a", "svc-b"]);
        services.sort_unstable();
        services.dedup();
        let advice = match self.advice {
            Some(_) => format!(",\"advice\":{{\"decideMs\":{},\"perWorkerMs\":{},\"validMs\":{}}}", advice::DECIDE_MS, advice::PER_WORKER_MS, advice::VALID_MS),
            None => String::new(),
        };
        let routes = queues.iter().map(|(name, prefix, service)| format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"mutating\",\"timeoutMs\":3000,\"sloMs\":600,\"prio\":0,\"svc\":\"{service}\",\"attempts\":4,\"stretch\":1.6,\"public\":false{advice}}}"
        ));
        let routes = routes.collect::<Vec<_>>().join(",");
        let services = services.iter().map(|name| format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":64,\"proto\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\"spare\":false}}"
        ));
        let services = services.collect::<Vec<_>>().join(",");
        let config = format!(
            "{{\"version\":{},\"routes\":[{routes}],\"services\":[{services}],\"limits\":{{\"headerBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"tenant-1\",\"apiKeys\":[\"{KEY}\"],\"prio\":1,\"weight\":10,\"cap\":{{\"cpu\":0,\"memMb\":0,\"gpu\":0}}}}]}}",
            self.version
        );
        self.control("op", "config", "", &config);
        self.note(&format!("config {} acknowledged: {queues:?}", self.version));
    }

    fn add_worker(&mut self, spec: WorkerSpec) -> Result<(), Broken> {
        let listen = free_address();
        let proxy = Proxy::new(listen);
        let machine = format!(
            "{{\"machine\":\"m-{0}\",\"pool\":\"{1}\",\"state\":\"up\",\"zone\":\"z1\",\"labels\":[\"a\",\"{2}\"],\"capacity\":{{\"cpu\":{3},\"memMb\":131072,\"gpu\":0}},\"id\":\"{0}\"}}",
            spec.id, spec.service, spec.rack, spec.cpu
        );
        self.control("machine", &format!("m-{}", spec.id), "", &machine);
        let child = self.spawn_worker(&spec, listen, proxy.address)?;
        self.workers.insert(spec.id.clone(), WorkerProcess { spec, listen, proxy, child });
        Ok(())
    }

    fn spawn_worker(&self, spec: &WorkerSpec, listen: SocketAddr, entry: SocketAddr) -> Result<Child, Broken> {
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let log = self.dir.join("workers.log");
        let child = Command::new(own)
            .args(["worker", &listen.to_string()])
            .args(["--id", &spec.id, "--entry", &entry.to_string()])
            .args(["--service", &spec.service, "--rack", &spec.rack])
            .args(["--cpu", &spec.cpu.to_string(), "--platform", &self.platform.to_string()])
            .args(["--log", &log.display().to_string(), "--beat", &BEAT_MS.to_string()])
            .args(["--rate", &spec.rate.to_string()])
            .stdin(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        wait_for(3_000, || TcpStream::connect(listen).is_ok()).ok_or("a worker does not start")?;
        Ok(child)
    }

    fn add_node(&mut self, number: usize) -> Result<(), Broken> {
        let ports: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let (front, ready, control) = (ports[0], ports[1], ports[2]);
        // Two neighbouring ports for the node's own use.
        let internal = free_address().port();
        let settings = format!(
            "node = \"edge-z1-{number}\"\nrole = \"entry\"\nclass = \"edge\"\nserves = [\"edge\"]\nip = \"127.0.0.1\"\nzone = \"z1\"\nregion = \"r1\"\ninternalPorts = [{internal},{}]\nseeds = []\nbootstrap = true\ninTolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = {BEAT_MS}\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"quota\",\"platform\",\"upkeep\",\"sharing\"]\norders = \"invoke\"\nadvice = \"{}\"\n[zones]\nz1 = \"r1\"\n[listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nstableMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nconfigMs = 2000\nholdMaxMs = 6000\nstopMs = 900\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nstatus_s = 120\nmoveS = 1.5\nmaintS = 2\nrequireFence = true\nleaseMs = 3000\n[platform]\naddr = \"{}\"\nform = \"table\"\nwritesPerS = 800\nreadsPerS = 2000\ntxMs = 3.0\npartWritesS = 300\nrowBytes = 65536\nacross = true\nhistoryS = 20\n[cloud]\naddr = \"{}\"\nratePerS = 64.0\nduties = []\ndutyPerS = 64.0\n",
            internal + 1,
            self.advice.map(|address| address.to_string()).unwrap_or_default(),
            self.platform,
            self.cloud
        );
        let file = self.dir.join(format!("node-{number}.toml"));
        std::fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = self.dir.join(format!("node-{number}.log"));
        let out = std::fs::File::create(&log).map_err(|error| error.to_string())?;
        let errors = out.try_clone().map_err(|error| error.to_string())?;
        // The command of the deploy file, in the repository root.
        let child = Command::new("target/release/sesamedeald")
            .env("SESAMEDEAL_NODE_FILE", &file)
            .stdout(out)
            .stderr(errors)
            .stdin(Stdio::null())
            .spawn()
            .map_err(|error| format!("target/release/sesamedeald: {error}"))?;
        self.nodes.push(Node { front, log, child: Some(child) });
        wait_for(10_000, || {
            call(ready, "GET", "/-/ready", &[], "", Duration::from_millis(500)).is_some_and(|answer| answer.0 == 200)
        })
        .ok_or("an entry instance does not get ready")?;
        Ok(())
    }

    /// Unix time at which the case began, in milliseconds.
    pub fn begin_ms(&self) -> u64 {
        self.begin / 1_000
    }

    /// Milliseconds since the case began.
    pub fn now_ms(&self) -> u64 {
        (micros() - self.begin) / 1_000
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", (micros() - self.begin) as f64 / 1e6);
        print!("{line}");
        self.record.lock().unwrap().write_all(line.as_bytes()).unwrap();
    }

    /// Calls an entry instance as a client, and records the call and its answer.
    pub fn client(&self, node: usize, method: &str, path: &str, body: &str, deadline_ms: u64) -> (u16, Json) {
        self.note(&format!("client -> node {}: {method} {path} {body}", node + 1));
        let deadline = deadline_ms.to_string();
        let key = format!("Token {KEY}");
        let headers = [("Host", HOST), ("Authorization", key.as_str()), ("X-Deadline-Ms", deadline.as_str())];
        let limit = Duration::from_millis(deadline_ms);
        let (status, body) = call(self.nodes[node].front, method, path, &headers, body, limit).unwrap_or((0, Vec::new()));
        let text = String::from_utf8_lossy(&body).into_owned();
        let shown = if status == 0 { "no answer".to_owned() } else { format!("{status} {text}") };
        self.note(&format!("client <- node {}: {method} {path}: {shown}", node + 1));
        (status, Json::parse(&body).unwrap_or(Json::Null))
    }

    /// Hands a job in, as a client does: again while there is no final answer.
    pub fn submit(&self, path: &str, body: &str) -> Result<(), Broken> {
        for attempt in 0..8 {
            let node = attempt % self.nodes.len();
            if self.nodes[node].child.is_some() && self.client(node, "POST", path, body, 3_000).0 == 200 {
                return Ok(());
            }
            sleep_ms(300);
        }
        Err("a job was not accepted".to_owned())
    }

    /// Node that last took the ownership of the pools, by its log.
    pub fn owner(&self) -> Option<usize> {
        let taken = self.nodes.iter().enumerate().filter_map(|(number, node)| {
            let text = std::fs::read_to_string(&node.log).ok()?;
            let line = text.lines().rev().find(|line| line.contains("ownership taken"))?;
            let epoch = Json::parse(line.get(line.find('{')?..)?.as_bytes())?.get("epoch").number()?;
            Some((epoch, number))
        });
        taken.max().map(|(_, number)| number)
    }

    pub fn kill_node(&mut self, node: usize) {
        if let Some(mut child) = self.nodes[node].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.note(&format!("SIGKILL to the process of node {}", node + 1));
        }
    }

    /// Freezes a process for a while.
    pub fn freeze_node(&self, node: usize, millis: u64) {
        let Some(child) = &self.nodes[node].child else {
            return;
        };
        let signal = |name: &str| drop(Command::new("kill").args([name, &child.id().to_string()]).status());
        signal("-STOP");
        self.note(&format!("node {} freezes", node + 1));
        sleep_ms(millis);
        signal("-CONT");
        self.note(&format!("node {} wakes", node + 1));
    }

    /// Starts of a task after one of its runs has ended `done`.
    pub fn starts_after_done(&self) -> Vec<String> {
        let mut done = std::collections::BTreeSet::new();
        let mut found = Vec::new();
        for (at, event, task, run, worker) in self.events() {
            if event == "done" {
                done.insert(task);
            } else if event == "start" && done.contains(&task) {
                found.push(format!("task {task} run {run} started on {worker} at {:.3} s after an end `done`", (at - self.begin) as f64 / 1e6));
            }
        }
        found
    }

    /// Kills the process of a worker and starts it again under the same id, at the same address.
    pub fn restart_worker(&mut self, id: &str, pause_ms: u64) -> Result<(), Broken> {
        let mut worker = self.workers.remove(id).unwrap();
        let _ = worker.child.kill();
        let _ = worker.child.wait();
        self.note(&format!("worker {id} crashes"));
        sleep_ms(pause_ms);
        worker.child = self.spawn_worker(&worker.spec, worker.listen, worker.proxy.address)?;
        self.note(&format!("worker {id} is up again, under the same id"));
        self.workers.insert(id.to_owned(), worker);
        Ok(())
    }

    pub fn cut_worker(&self, id: &str, is_cut: bool) {
        self.workers[id].proxy.cut(is_cut);
        let text = if is_cut { "is cut off from all machines of the system" } else { "is reachable again" };
        self.note(&format!("worker {id} {text}"));
    }

    /// Makes a worker refuse starts for a while, as an unhealthy one does.
    pub fn shed(&self, id: &str, millis: u64) {
        let path = format!("/ctl/shed?ms={millis}");
        let limit = Duration::from_secs(2);
        assert!(call(self.workers[id].listen, "POST", &path, &[], "", limit).is_some());
        self.note(&format!("worker {id} refuses starts with 503 for {millis} ms"));
    }

    pub fn entry_address(&self, id: &str) -> SocketAddr {
        self.workers[id].proxy.address
    }

    /// Runs so far: (time in us, event, task, run, worker).
    pub fn events(&self) -> Vec<(u64, String, String, u64, String)> {
        let text = std::fs::read_to_string(self.dir.join("workers.log")).unwrap_or_default();
        let mut events: Vec<_> = text
            .lines()
            .filter_map(|line| {
                let words: Vec<&str> = line.split(' ').collect();
                let [at, event, task, run, worker] = words[..] else {
                    return None;
                };
                Some((at.parse().ok()?, event.to_owned(), task.to_owned(), run.parse().ok()?, worker.to_owned()))
            })
            .collect();
        events.sort();
        events
    }

    /// Starts of tasks of a job, with their times in milliseconds since the case began.
    pub fn starts(&self, id: &str) -> Vec<(u64, String, u64, String)> {
        let events = self.events().into_iter();
        let starts = events.filter(|event| event.1 == "start" && event.2.starts_with(id));
        starts.map(|event| (event.0.saturating_sub(self.begin) / 1_000, event.2, event.3, event.4)).collect()
    }

    /// Pairs of runs of one task that were at work at the same time on workers that were up.
    /// Returns descriptions.
    pub fn overlaps(&self) -> Vec<String> {
        let mut open: BTreeMap<String, Vec<(u64, u64, String)>> = BTreeMap::new();
        let mut found = Vec::new();
        let now = micros();
        let events = self.events();
        for (at, event, task, run, worker) in &events {
            match event.as_str() {
                // What ran before the crash is gone.
                "boot" => open.values_mut().for_each(|runs| runs.retain(|entry| entry.2 != *worker)),
                "start" => {
                    let runs = open.entry(task.clone()).or_default();
                    for (since, number, other) in runs.iter() {
                        let end = events.iter().find(|entry| {
                            entry.0 > *since && entry.4 == *other && (entry.1 == "boot" || (entry.2 == *task && entry.3 == *number && entry.1 != "start"))
                        });
                        let both = end.map_or(now, |entry| entry.0).saturating_sub(*at);
                        found.push(format!(
                            "task {task}: run {run} started on {worker} at {:.3} s while run {number} was at work on {other} since {:.3} s; both ran for {} ms",
                            (at - self.begin) as f64 / 1e6,
                            since.saturating_sub(self.begin) as f64 / 1e6,
                            both / 1_000
                        ));
                    }
                    runs.push((*at, *run, worker.clone()));
                }
                _ => {
                    if let Some(runs) = open.get_mut(task) {
                        runs.retain(|entry| entry.1 != *run || entry.2 != *worker);
                    }
                }
            }
        }
        found
    }

    /// Transactions that the store refused as too large.
    pub fn refused_transactions(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.dir.join("platform.log")).unwrap_or_default();
        let lines = text.lines().filter(|line| line.contains("refused a transaction"));
        lines.map(str::to_owned).collect()
    }

    /// Spans longer than `limit_ms` in which a task had no run after one had ended.
    pub fn idle_tasks(&self, limit_ms: u64) -> Vec<String> {
        let mut ended: BTreeMap<String, u64> = BTreeMap::new();
        let mut found = Vec::new();
        let mut check = |task: &str, since: u64, until: u64| {
            let idle = (until - since) / 1_000;
            if idle > limit_ms {
                let since = (since - self.begin) as f64 / 1e6;
                found.push(format!("task {task} had no run for {idle} ms from {since:.3} s on"));
            }
        };
        for (at, event, task, _, _) in self.events() {
            match event.as_str() {
                "boot" | "refused" => {}
                "start" => {
                    if let Some(since) = ended.remove(&task) {
                        check(&task, since, at);
                    }
                }
                _ => drop(ended.insert(task, at)),
            }
        }
        let now = micros();
        ended.iter().for_each(|(task, since)| check(task, *since, now));
        found
    }

    /// Writes what ran to the record.
    pub fn note_events(&self) {
        let mut lines = String::from("what the workers ran:\n");
        for (at, event, task, run, worker) in self.events() {
            lines += &format!("{:9.3} {worker} {event} {task} run {run}\n", at.saturating_sub(self.begin) as f64 / 1e6);
        }
        self.record.lock().unwrap().write_all(lines.as_bytes()).unwrap();
    }

    /// Writes to the record how many runs began and ended in each second, and the first tasks that
    /// ran again after an end `done`.
    pub fn note_summary(&self) {
        let mut counts: BTreeMap<u64, BTreeMap<String, u32>> = BTreeMap::new();
        for (at, event, _, _, _) in self.events() {
            let second = at.saturating_sub(self.begin) / 1_000_000;
            *counts.entry(second).or_default().entry(event).or_default() += 1;
        }
        let mut lines = String::from("what the workers ran, by second:\n");
        for (second, events) in counts {
            lines += &format!("{second:9} {events:?}\n");
        }
        let again = self.starts_after_done();
        lines += &format!("{} starts of tasks that had ended `done` before, the first of them:\n", again.len());
        for line in again.iter().take(20) {
            lines += &format!("          {line}\n");
        }
        self.record.lock().unwrap().write_all(lines.as_bytes()).unwrap();
    }

    /// Replaces the entry of a worker, as another writer.
    pub fn foreign_entry(&self, id: &str, text: &str) {
        self.control("foreign", id, "", text);
        self.note(&format!("another writer replaces the entry servers/{id}: {text}"));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        for worker in self.workers.values_mut() {
            let _ = worker.child.kill();
            let _ = worker.child.wait();
        }
        let _ = self.platform_child.kill();
        let _ = self.platform_child.wait();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Waits until a condition holds.
pub fn wait_for(limit_ms: u64, mut is_met: impl FnMut() -> bool) -> Option<()> {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    while Instant::now() < end {
        if is_met() {
            return Some(());
        }
        sleep_ms(20);
    }
    None
}

/// A step of a job without the braces, of whole cores and an estimate in milliseconds.
pub fn step(count: u32, cores: u64, estimate_ms: u64, more: &str) -> String {
    format!("{{\"count\":{count},\"cpu\":{},\"memMb\":512,\"estMs\":{estimate_ms}{more}}}", cores * 1_000)
}

/// A job of one step.
pub fn job_of(spec: &str, step: &str) -> String {
    format!("{{\"spec\":{},\"steps\":[{step}]}}", quoted(spec))
}

/// A job of one step, whose tasks take `length_ms`.
pub fn job(length_ms: u64, step: &str) -> String {
    job_of(&length_ms.to_string(), step)
}
