//! A small deployment: the stand-ins, and entry instances as processes of their own.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, reply, Link, Reply};
use crate::json::{num, obj, text, Json};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Kind, Worker};

pub const HOST: &str = "pule25.example";
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// A queue of the config.
#[derive(Clone)]
pub struct Queue {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub attempts: u64,
    pub key: &'static str,
}

struct Node {
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    nodes: Vec<Node>,
    /// The command of the deploy file.
    command: Vec<String>,
    /// Most thousandths of a core that a tenant may have running; 0 means no limit.
    pub cpu_cap: u64,
    /// Number of routes that no client uses.
    pub idle_routes: usize,
    /// Bandwidth of the links between the entry instances and the store; none if it does not count.
    link_mbps: Option<f64>,
    next_id: Mutex<u64>,
}

/// First of the ports of a node, below those that the system gives out: callers, readiness, control,
/// and sixteen internal ones, of which the first two are used.
fn node_ports(number: usize) -> u16 {
    const BLOCK: u16 = 20;
    let first = 20_000 + (std::process::id() % 160) as u16 * 64 + number as u16 * BLOCK;
    let mut blocks = (first..32_000)
        .step_by(64)
        .chain((20_000 + number as u16 * BLOCK..first).step_by(64));
    let is_free =
        |port: &u16| (0..5).all(|next| TcpListener::bind(("127.0.0.1", port + next)).is_ok());
    blocks.find(is_free).expect("free ports")
}

impl World {
    /// Starts the stand-ins. `temp` is a temporary folder for settings and logs.
    pub fn new(record: Record, temp: &str, nodes: usize, kinds: &[Kind]) -> Self {
        Self::with_link(record, temp, nodes, kinds, None)
    }

    /// Starts the stand-ins; the entry instances have links of this bandwidth to the store.
    pub fn with_link(
        record: Record,
        temp: &str,
        nodes: usize,
        kinds: &[Kind],
        link_mbps: Option<f64>,
    ) -> Self {
        let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let command = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .expect("a command");
        let command = command
            .trim_end_matches('"')
            .split(' ')
            .map(str::to_owned)
            .collect();
        let record = Arc::new(record);
        let store = Arc::new(Store::new());
        let workers: Vec<_> = kinds
            .iter()
            .map(|kind| Worker::start(kind, &store, &record))
            .collect();
        let mut world = Self {
            record,
            store,
            workers,
            nodes: Vec::new(),
            command,
            cpu_cap: 0,
            idle_routes: 0,
            link_mbps,
            next_id: Mutex::new(0x5c0e_7a21_d94b_0000),
        };
        for number in 0..nodes {
            world.add_node(number, temp);
        }
        world
    }

    fn add_node(&mut self, number: usize, temp: &str) {
        // Each process has an address of the store of its own, which tells who writes.
        let store_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store_address = store_listener
            .local_addr()
            .expect("the address of a listener");
        let store = Arc::clone(&self.store);
        let link = self.link_mbps.map(|mbps| Arc::new(Link::new(mbps)));
        http::serve_over(
            store_listener,
            Arc::new(move |request| store.handle(number, request)),
            link,
        );
        let cloud_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let cloud_address = cloud_listener
            .local_addr()
            .expect("the address of a listener");
        let workers = self.workers.clone();
        http::serve(
            cloud_listener,
            Arc::new(move |request| machines(&workers, request)),
        );
        let first = node_ports(number);
        let [front, ready, control] =
            [0, 1, 2].map(|next| SocketAddr::from(([127, 0, 0, 1], first + next)));
        let ports = first + 3;
        let settings = PathBuf::from(format!("{temp}/node-{number}.toml"));
        let name = format!("edge-norte-a-{}", number + 1);
        let content = format!(
            r#"node = "{name}"
role = "entry"
class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "norte-a"
region = "norte"
internalPorts = [{ports},{}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","upkeep","sharing"]
orders = "invoke"
advice = ""
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
linkMbps = {}
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lostSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
quotaWindowS = 5
quotaExcess = 0.1
quotaSlack = 20
recoveryS = 12
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
addr = "{store_address}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 3.0
partWritesS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobBwS = 80.0
[cloud]
addr = "{cloud_address}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
"#,
            ports + 15,
            self.link_mbps.unwrap_or(1_000.0)
        );
        fs::write(&settings, content).expect("the settings file");
        let log = PathBuf::from(format!("{temp}/node-{number}.log"));
        self.nodes.push(Node {
            name,
            front,
            ready,
            settings,
            log,
            child: None,
        });
    }

    /// Starts the process of a node with the command of the deploy file.
    pub fn start_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&node.log)
            .expect("the log");
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env("SESAMEDEAL_NODE_FILE", &node.settings)
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .expect("the program of the deploy file");
        self.record
            .line(&format!("process {} of {} started", child.id(), node.name));
        node.child = Some(child);
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let answer = http::call(
            self.nodes[number].ready,
            "GET",
            "/-/ready",
            &[],
            "",
            Duration::from_secs(1),
        );
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Waits until a node is ready. Returns false if it is not within ten seconds.
    pub fn await_ready(&self, number: usize) -> bool {
        self.wait(Duration::from_secs(10), || self.is_ready(number))
    }

    pub fn wait(&self, limit: Duration, is_met: impl Fn() -> bool) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if is_met() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn signal(&self, number: usize, signal: &str) {
        let node = &self.nodes[number];
        if let Some(child) = &node.child {
            self.record.say(&format!(
                "signal {signal} to process {} of {}",
                child.id(),
                node.name
            ));
            let status = Command::new("kill")
                .args([&format!("-{signal}"), &child.id().to_string()])
                .status();
            assert!(
                status.is_ok_and(|status| status.success()),
                "the signal was sent"
            );
        }
    }

    /// Waits for the end of a process that was asked to stop.
    pub fn await_end(&mut self, number: usize) {
        if let Some(mut child) = self.nodes[number].child.take() {
            let status = child.wait();
            self.record.line(&format!(
                "process of {} ended: {status:?}",
                self.nodes[number].name
            ));
        }
    }

    /// Numbers of the nodes whose process has ended by itself.
    pub fn ended_nodes(&mut self) -> Vec<usize> {
        let nodes = self.nodes.iter_mut().enumerate();
        let ended = nodes.filter_map(|(number, node)| {
            let status = node.child.as_mut()?.try_wait().ok()??;
            _ = status;
            Some(number)
        });
        ended.collect()
    }

    /// The node that last wrote to the store under a condition.
    pub fn leader(&self) -> usize {
        self.store.last_writer.load(Ordering::SeqCst)
    }

    /// Writes a config. The store's answer is its acknowledgement.
    pub fn put_config(&self, version: u64, queues: &[Queue], services: &[&str]) {
        let route = |name: &str, prefix: &str, service: &str, attempts: u64| {
            obj(vec![
                ("name", text(name)),
                ("host", text(HOST)),
                ("prefix", text(prefix)),
                ("kind", text("mutating")),
                ("timeoutMs", num(3_000)),
                ("sloMs", num(600)),
                ("prio", num(0)),
                ("svc", text(service)),
                ("attempts", num(attempts)),
                ("stretch", Json::Num(1.6)),
                ("public", Json::Bool(false)),
            ])
        };
        let idle = (0..self.idle_routes).map(|number| {
            route(
                &format!("r-idle{number}"),
                &format!("/idle{number}/"),
                services[0],
                4,
            )
        });
        let routes = queues
            .iter()
            .map(|queue| route(queue.name, queue.prefix, queue.service, queue.attempts));
        let routes = routes.chain(idle);
        let services = services.iter().map(|name| {
            obj(vec![
                ("name", text(name)),
                ("healthPath", text("/health")),
                ("maxConns", num(64)),
                ("proto", text("h1")),
                ("tls", Json::Bool(false)),
                ("enforcesCapacity", Json::Bool(false)),
                ("spare", Json::Bool(false)),
            ])
        });
        let tenants = [
            ("cugo130", "sjnbanfqasnmgkcuyj8p"),
            ("dalo417", "jbvk9m68k7b2ex5wa5xw"),
        ]
        .map(|(name, key)| {
            let cap = obj(vec![
                ("cpu", num(self.cpu_cap)),
                ("memMb", num(0)),
                ("gpu", num(0)),
            ]);
            obj(vec![
                ("name", text(name)),
                ("apiKeys", Json::Arr(vec![text(key)])),
                ("prio", num(1)),
                ("weight", num(10)),
                ("cap", cap),
            ])
        });
        let limits = obj(vec![
            ("headerBytes", num(16_384)),
            ("maxBodyBytes", num(262_144)),
            ("headerTimeoutMs", num(3_000)),
            ("idleTimeoutMs", num(15_000)),
        ]);
        let config = obj(vec![
            ("version", num(version)),
            ("routes", Json::Arr(routes.collect())),
            ("services", Json::Arr(services.collect())),
            ("limits", limits),
            ("tenants", Json::Arr(tenants.into_iter().collect())),
        ]);
        self.store.put("op", "config", Some(&config.to_text()));
        let names: Vec<&str> = queues.iter().map(|queue| queue.name).collect();
        self.record.say(&format!(
            "config {version} acknowledged, routes {}",
            names.join(" ")
        ));
    }

    pub fn new_id(&self) -> String {
        let mut next = self.next_id.lock().unwrap();
        *next += 1;
        format!("{:016x}", *next)
    }

    /// Sends a client's request to a node that is ready. Returns the answer, or none.
    pub fn call(&self, method: &str, queue: &Queue, id: &str, body: &str) -> Option<Reply> {
        let number = (0..self.nodes.len()).find(|number| self.is_ready(*number))?;
        self.call_node(number, method, queue, id, body)
    }

    /// Sends a client's request to a node.
    pub fn call_node(
        &self,
        number: usize,
        method: &str,
        queue: &Queue,
        id: &str,
        body: &str,
    ) -> Option<Reply> {
        let authorization = format!("Token {}", queue.key);
        let headers = [
            ("Host", HOST),
            ("Authorization", authorization.as_str()),
            ("Content-Type", "application/json"),
            ("X-Deadline-Ms", "3000"),
        ];
        let path = format!("{}{id}", queue.prefix);
        let answer = http::call(
            self.nodes[number].front,
            method,
            &path,
            &headers,
            body,
            CALL_LIMIT,
        );
        let shown = answer.as_ref().map_or("no answer".to_owned(), |answer| {
            format!("{} {}", answer.status, answer.body)
        });
        self.record.line(&format!(
            "client {method} {path} to {}: {shown}",
            self.nodes[number].name
        ));
        answer
    }

    /// Submits a job until it is accepted, as a client does that gets no final answer.
    pub fn submit(&self, queue: &Queue, id: &str, body: &str) -> bool {
        for _ in 0..5 {
            if self
                .call("POST", queue, id, body)
                .is_some_and(|answer| answer.status == 200)
            {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// State of a job as a client sees it; none without an answer that says so.
    pub fn state(&self, queue: &Queue, id: &str) -> Option<String> {
        let answer = self
            .call("GET", queue, id, "")
            .filter(|answer| answer.status == 200)?;
        Some(Json::parse(&answer.body)?.get("state").text().to_owned())
    }

    /// Number of lines of the logs that contain a word. For the report only, not for the verdict.
    pub fn count_log_lines(&self, word: &str) -> usize {
        let logs = self
            .nodes
            .iter()
            .map(|node| fs::read(&node.log).unwrap_or_default());
        logs.map(|log| {
            String::from_utf8_lossy(&log)
                .lines()
                .filter(|line| line.contains(word))
                .count()
        })
        .sum()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                _ = child.kill();
                _ = child.wait();
            }
        }
    }
}

fn machines(workers: &[Arc<Worker>], request: &http::Request) -> Option<Reply> {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/-/machines") => {
            let list = workers.iter().map(|worker| worker.machine_json()).collect();
            reply(
                200,
                obj(vec![
                    ("machines", Json::Arr(list)),
                    ("nextToken", Json::Null),
                ])
                .to_text(),
            )
        }
        // No machine can leave in these cases.
        ("POST", _) => reply(409, r#"{"reason":"busy"}"#.to_owned()),
        _ => reply(404, "{}".to_owned()),
    }
}
