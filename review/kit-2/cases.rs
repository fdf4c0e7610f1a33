//! The cases.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::http::{Server, call};
use crate::json::Json;
use crate::world::{Node, Record, Store, Worker, World, inventory, policy_service};

/// `stableMs` and `visible_ms` of the settings, in seconds.
const STABLE: f64 = 3.0;
const VISIBLE: f64 = 3.0;

/// Time that the policy service takes for a call, and for which a ticket is valid, in ms.
const DECIDE_MS: u64 = 1_600;
const VALID_MS: u64 = 3_000;

const HOST: &str = "q.example";
const KEY: &str = "Token key-one";

struct Setup {
    record: Arc<Record>,
    world: Arc<World>,
    store: Server,
    cloud: Server,
    folder: PathBuf,
}

pub fn run(name: &str, folder: &str, temporary: &Path, is_troubled: bool) -> u8 {
    let record = Record::new(&format!("{folder}/record.txt"));
    record.line(&format!("case {name}, trouble {is_troubled}"));
    let needs_tickets = name == "advice-in-turn";
    let setup = prepare(record.clone(), temporary, needs_tickets);
    let result = match name {
        "lasting-done" => lasting_done(&setup, is_troubled),
        "gang-progress" => gang_progress(&setup, is_troubled),
        "advice-in-turn" => advice_in_turn(&setup, is_troubled),
        "refused-pending" => refused_pending(&setup, is_troubled),
        _ => Err(format!("no case {name}")),
    };
    match result {
        Ok(None) => {
            record.line("the rule held");
            println!("the rule held");
            0
        }
        Ok(Some(breach)) => {
            record.line(&format!("the rule was broken: {breach}"));
            println!("the rule was broken: {breach}");
            1
        }
        Err(problem) => {
            record.line(&format!("the case could not run: {problem}"));
            println!("the case could not run: {problem}");
            2
        }
    }
}

fn prepare(record: Arc<Record>, temporary: &Path, needs_tickets: bool) -> Setup {
    let advice = if needs_tickets {
        format!(",\"advice\":{{\"decideMs\":{DECIDE_MS},\"perWorkerMs\":0,\"validMs\":{VALID_MS}}}")
    } else {
        String::new()
    };
    let (store, server) = Store::start();
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-batch\",\"host\":\"{HOST}\",\"prefix\":\"/puxa400/\",\"kind\":\"mutating\",\"timeoutMs\":3000,\"sloMs\":600,\"prio\":0,\"svc\":\"taller\",\"attempts\":4,\"stretch\":1.6,\"public\":false{advice}}}],\"services\":[{{\"name\":\"taller\",\"healthPath\":\"/health\",\"enforcesCapacity\":false}}],\"tenants\":[{{\"name\":\"team-one\",\"apiKeys\":[\"key-one\"],\"weight\":1,\"cap\":{{\"cpu\":0,\"memMb\":0,\"gpu\":0}}}}],\"limits\":{{\"headerBytes\":16384,\"maxBodyBytes\":262144}}}}"
    );
    store.put("op", "config", Some(&config));
    let world = World::new(record.clone(), store);
    let cloud = inventory(&world);
    Setup {
        record,
        world,
        store: server,
        cloud,
        folder: temporary.to_owned(),
    }
}

impl Setup {
    fn node(&self, name: &str) -> Node {
        {
            let advice = *self.world.advice.lock().unwrap();
            Node::start(&self.folder, name, self.store.addr, self.cloud.addr, advice)
        }
    }

    /// Starts an entry instance that owns the pools, and another one.
    fn two_nodes(&self) -> Result<(Node, Node), String> {
        let first = self.node("edge-norte-a-1");
        if !first.wait_ready() || !self.world.wait_for_owner() {
            return Err("the first entry instance does not hold the workers".into());
        }
        let second = self.node("edge-norte-a-2");
        if !second.wait_ready() {
            return Err("the second entry instance is not ready".into());
        }
        sleep(Duration::from_secs(1));
        Ok((first, second))
    }

    /// A call of a client; returns the status, 0 without an answer.
    fn client(
        &self,
        node: &Node,
        method: &str,
        rest: &str,
        body: &str,
        limit_ms: u64,
    ) -> (u16, String) {
        let path = format!("/puxa400/{rest}");
        self.record
            .line(&format!("client {method} {path} at {} {body}", node.name));
        let limit = limit_ms.to_string();
        let headers = [
            ("Host", HOST),
            ("Authorization", KEY),
            ("Content-Type", "application/json"),
            ("X-Deadline-Ms", limit.as_str()),
        ];
        let wait = Duration::from_millis(limit_ms + 500);
        let answer = call(node.front, method, &path, &headers, body, wait);
        let (status, text) = answer.unwrap_or_default();
        self.record
            .line(&format!("client {method} {path} -> {status} {text}"));
        (status, text)
    }

    fn submit(&self, node: &Node, id: &str, body: &str) -> Result<(), String> {
        match self.client(node, "POST", id, body, 3_000).0 {
            200 => Ok(()),
            status => Err(format!("job {id} was not accepted: {status}")),
        }
    }

    fn now(&self) -> f64 {
        self.record.now()
    }

    fn sleep_until(&self, time: f64) {
        let left = time - self.now();
        if left > 0.0 {
            sleep(Duration::from_secs_f64(left));
        }
    }
}

/// A task that lasts ends `done`, and is never started again.
fn lasting_done(setup: &Setup, is_troubled: bool) -> Result<Option<String>, String> {
    let workers: Vec<Arc<Worker>> = (0..4)
        .map(|number| Worker::start(&setup.world, number, "taller", &["a", "r1-1"]))
        .collect();
    let (first, second) = setup.two_nodes()?;
    let id = "5c0e7a21d94b36f8";
    setup.submit(
        &second,
        id,
        r#"{"spec":"serve","steps":[{"count":3,"cpu":2000,"memMb":4096,"estMs":700,"longRunning":true}]}"#,
    )?;
    sleep(Duration::from_secs(6));
    let task = format!("{id}.0.0.1");
    if is_troubled && !workers.iter().any(|worker| worker.end(&task, "done")) {
        return Err("the task does not run".into());
    }
    let ended = setup.now();
    // 6 s after its last run, and 3 s in which nothing of it runs.
    setup.sleep_until(ended + 16.0);
    let state = setup.client(&first, "GET", id, "", 3_000);
    let events = setup.world.events();
    let is_started = events
        .iter()
        .any(|event| event.kind == "start" && event.task == task && event.at > ended);
    let is_running = workers
        .iter()
        .any(|worker| worker.running().iter().any(|run| run.task == task));
    Ok((!is_started && !is_running).then(|| {
        format!(
            "{task} ended done at {ended:.1} s and was not started for {:.1} s, with room for it; its job is {}",
            setup.now() - ended,
            state.1
        )
    }))
}

/// A worker crashes under a gang that saves its progress, which never gets together again.
fn gang_progress(setup: &Setup, is_troubled: bool) -> Result<Option<String>, String> {
    let workers: Vec<Arc<Worker>> = (0..4)
        .map(|number| Worker::start(&setup.world, number, "taller", &["a", "r1-1"]))
        .collect();
    let (first, second) = setup.two_nodes()?;
    let id = "5c0e7a21d94b36f8";
    setup.submit(
        &second,
        id,
        r#"{"spec":"gang=2 ms=9000","steps":[{"count":2,"cpu":4000,"memMb":8192,"estMs":9000,"gang":true,"checkpoint":true,"maxPerServer":1}]}"#,
    )?;
    sleep(Duration::from_millis(4_150));
    let mut calm = setup.now();
    if is_troubled {
        let victim = workers.iter().find(|worker| !worker.running().is_empty());
        let victim = victim.ok_or("the gang does not run")?;
        victim.crash();
        sleep(Duration::from_millis(4_500));
        victim.restart();
        calm = setup.now() + STABLE;
    }
    setup.sleep_until(60.0);
    let state = setup.client(&first, "GET", id, "", 3_000);
    let events = setup.world.events();
    let alone: Vec<_> = events
        .iter()
        .filter(|event| event.kind == "alone" && event.at > calm)
        .collect();
    if state.1.contains("finished") && alone.is_empty() {
        return Ok(None);
    }
    let starts: Vec<String> = events
        .iter()
        .filter(|event| event.kind == "start" && event.at > calm)
        .take(2)
        .map(|event| format!("{} run {} saved {:?}", event.task, event.run, event.saved))
        .collect();
    Ok((!alone.is_empty()).then(|| {
        format!(
            "{} runs ended alone after {calm:.1} s, with no disruption near; its job is {} at {:.0} s; starts: {}",
            alone.len(),
            state.1,
            setup.now(),
            starts.join(", ")
        )
    }))
}

/// A worker refuses all starts, and the jobs that wait for it aren't counted as pending.
fn refused_pending(setup: &Setup, is_troubled: bool) -> Result<Option<String>, String> {
    let workers: Vec<Arc<Worker>> = (0..12)
        .map(|number| {
            let kind = if number == 5 { "b" } else { "a" };
            Worker::start(&setup.world, number, "taller", &[kind, "r1-1"])
        })
        .collect();
    let (first, second) = setup.two_nodes()?;
    sleep(Duration::from_secs(2));
    let begin = setup.now();
    if is_troubled {
        workers[5].set_busy(true);
    }
    let mut jobs = 0;
    for number in 0..6 {
        let body = r#"{"spec":"ms=500","steps":[{"count":1,"cpu":1000,"memMb":1024,"estMs":500,"requires":"b"}]}"#;
        setup.submit(&second, &format!("5c0e7a21d94b36f{number}"), body)?;
        jobs += 1;
    }
    let accepted = setup.now();
    setup.sleep_until(accepted + VISIBLE + 2.0 + 0.2);
    let mut breach = None;
    while setup.now() < begin + 6.5 {
        for node in [&first, &second] {
            let events = setup.world.events();
            let begun = events.iter().filter(|event| event.kind == "start").count();
            let (status, text) = setup.client(node, "GET", "", "", 3_000);
            let pending = Json::parse(&text).and_then(|body| body.number("pending"));
            let waiting = jobs - begun.min(jobs);
            if status == 200
                && let Some(pending) = pending
                && pending * 2.0 < waiting as f64
            {
                breach = Some(format!(
                    "{} gives {pending} as pending; {waiting} jobs that were accepted over {:.1} s before haven't begun",
                    node.name,
                    setup.now() - accepted
                ));
            }
        }
        sleep(Duration::from_millis(200));
    }
    if is_troubled {
        workers[5].set_busy(false);
    }
    Ok(breach)
}

/// Jobs that come at once wait for tickets that never come, as the calls for them run out in turn.
fn advice_in_turn(setup: &Setup, is_troubled: bool) -> Result<Option<String>, String> {
    let workers: Vec<Arc<Worker>> = (0..4)
        .map(|number| Worker::start(&setup.world, number, "taller", &["a", "r1-1"]))
        .collect();
    let _policy = policy_service(&setup.world, Duration::from_millis(DECIDE_MS), VALID_MS);
    let (first, second) = setup.two_nodes()?;
    let body = r#"{"spec":"ms=500","steps":[{"count":2,"cpu":1000,"memMb":1024,"estMs":500}]}"#;
    // A job each 2.5 s, and 2.6 times as many for 4 s.
    let begin = setup.now();
    let mut ids: Vec<String> = Vec::new();
    let mut due = 0.0;
    while due < 20.0 {
        setup.sleep_until(begin + due);
        let id = format!("5c0e7a21d94b36{:02x}", ids.len());
        setup.submit(&second, &id, body)?;
        ids.push(id);
        let is_burst = is_troubled && (5.0..9.0).contains(&due);
        due += if is_burst { 2.5 / 2.6 } else { 2.5 };
    }
    let count = ids.len();
    let accepted = setup.now();
    // `finish_s` after the end of the traffic, and 3 s.
    setup.sleep_until(accepted + 17.0);
    let events = setup.world.events();
    let waiting: Vec<&String> = ids
        .iter()
        .filter(|id| {
            !events
                .iter()
                .any(|event| event.kind == "start" && event.task.starts_with(id.as_str()))
        })
        .collect();
    let is_idle = workers.iter().all(|worker| worker.running().is_empty());
    let state = waiting
        .first()
        .map(|id| setup.client(&first, "GET", id, "", 3_000).1);
    Ok((!waiting.is_empty() && is_idle).then(|| {
        format!(
            "{} of {count} jobs have nothing running {:.0} s after the last was accepted, and all workers are empty; the first is {}",
            waiting.len(),
            setup.now() - accepted,
            state.unwrap_or_default()
        )
    }))
}
