//! The cases. Each follows the rule as it is written on the pages.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::{Event, Record};
use crate::worker::Kind;
use crate::world::{Queue, World};
use crate::Verdict;

const FIRST_KEY: &str = "sjnbanfqasnmgkcuyj8p";
const SECOND_KEY: &str = "jbvk9m68k7b2ex5wa5xw";

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

/// Time for which a job may have nothing running while it could.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

const fn queue(
    name: &'static str,
    prefix: &'static str,
    service: &'static str,
    key: &'static str,
) -> Queue {
    Queue {
        name,
        prefix,
        service,
        attempts: 4,
        key,
    }
}

fn kinds(pools: &[(&'static str, usize)]) -> Vec<Kind> {
    let services = pools
        .iter()
        .flat_map(|(service, count)| std::iter::repeat_n(*service, *count));
    let kinds = services.enumerate().map(|(machine, service)| Kind {
        service,
        machine,
        capacity: (32_000, 131_072),
    });
    kinds.collect()
}

/// Tasks that a worker was told to start after one of their runs had ended `done`, with that end taken
/// note of, or while another run was at work. A lease that passes between an end and its noting excuses.
fn run_twice(record: &Record) -> Vec<String> {
    record.judge(|events| {
        // When each end was taken note of without a lapse in between.
        let mut open: HashMap<&str, Vec<(u64, &str, u64)>> = HashMap::new();
        let mut noted: HashSet<(&str, u64)> = HashSet::new();
        for (_, event) in events {
            match event {
                Event::End(end) => open
                    .entry(&end.worker)
                    .or_default()
                    .push((end.number, &end.task, end.run)),
                Event::Lapsed(worker) => _ = open.remove(worker.as_str()),
                Event::Noted(worker, number) => {
                    let ends = open.entry(worker).or_default();
                    noted.extend(
                        ends.iter()
                            .filter(|end| end.0 <= *number)
                            .map(|end| (end.1, end.2)),
                    );
                    ends.retain(|end| end.0 > *number);
                }
                Event::Start(_) => {}
            }
        }
        let mut done: HashSet<&str> = HashSet::new();
        let mut running: HashMap<&str, usize> = HashMap::new();
        let mut twice = Vec::new();
        for (at, event) in events {
            match event {
                Event::Start(start) => {
                    let count = running.entry(&start.task).or_default();
                    *count += 1;
                    if done.contains(start.task.as_str()) || *count > 1 {
                        twice.push(format!(
                            "{} run {} at {:.3}",
                            start.task,
                            start.run,
                            at.as_secs_f64()
                        ));
                    }
                }
                Event::End(end) => {
                    *running.entry(&end.task).or_default() -= 1;
                    if end.how == "done" && noted.contains(&(end.task.as_str(), end.run)) {
                        done.insert(&end.task);
                    }
                }
                Event::Noted(..) | Event::Lapsed(_) => {}
            }
        }
        twice
    })
}

fn count_starts(record: &Record, prefix: &str) -> usize {
    let is_start =
        |event: &Event| matches!(event, Event::Start(start) if start.task.starts_with(prefix));
    record.judge(|events| events.iter().filter(|(_, event)| is_start(event)).count())
}

fn begin(
    world: &mut World,
    nodes: &[usize],
    queues: &[Queue],
    services: &[&str],
) -> Result<(), Verdict> {
    world.put_config(7, queues, services);
    for &number in nodes {
        world.start_node(number);
    }
    if nodes.iter().all(|&number| world.await_ready(number))
        && world.wait(Duration::from_secs(5), || world.leader() < 9)
    {
        sleep(Duration::from_millis(1_500));
        return Ok(());
    }
    Err(Verdict::NotRun(
        "the entry instances are not ready".to_owned(),
    ))
}

/// The owner stands still while more than 500 tasks of one worker end.
pub fn many_ends(record: Record, temp: &str, has_trouble: bool) -> Verdict {
    const TASKS: usize = 900;
    let mut world = World::new(record, temp, 3, &kinds(&[("huvo11a", 3)]));
    let queue = queue("r-tyiikdr", "/puxa400/", "huvo11a", FIRST_KEY);
    if let Err(verdict) = begin(
        &mut world,
        &[0, 1, 2],
        std::slice::from_ref(&queue),
        &["huvo11a"],
    ) {
        return verdict;
    }
    // Without traffic only the owner writes under conditions.
    let leader = world.leader();
    let id = world.new_id();
    let body = format!(
        r#"{{"spec":"ms=1500","steps":[{{"count":{TASKS},"cpu":20,"memMb":16,"estMs":1500}}]}}"#
    );
    if !world.submit(&queue, &id, &body) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let has_started = world.wait(Duration::from_secs(2), || {
        count_starts(&world.record, &id) >= TASKS
    });
    world.record.say(&format!(
        "{} starts, all started: {has_started}",
        count_starts(&world.record, &id)
    ));
    if has_trouble {
        world.signal(leader, "STOP");
        sleep(Duration::from_secs(4));
        world.signal(leader, "CONT");
    }
    let is_finished = world.wait(Duration::from_secs(30), || {
        sleep(Duration::from_millis(300));
        world.state(&queue, &id).as_deref() == Some("finished")
    });
    sleep(Duration::from_secs(1));
    let twice = run_twice(&world.record);
    world.record.say(&format!(
        "finished: {is_finished}; starts: {}; started again: {}",
        count_starts(&world.record, &id),
        twice.len()
    ));
    for line in &twice {
        world.record.line(&format!("TWICE {line}"));
    }
    match twice.first() {
        Some(first) => Verdict::Broken(format!(
            "TWICE: {} tasks ran again, first {first}",
            twice.len()
        )),
        None if is_finished => Verdict::Held,
        None => Verdict::NotRun("the job did not finish".to_owned()),
    }
}

/// A worker fails, for some seconds, all that it starts of a repeated job with many occurrences.
pub fn full_record(record: Record, temp: &str, has_trouble: bool) -> Verdict {
    const REPEATS: u64 = 768;
    const INTERVAL_MS: u64 = 10;
    // Of the site file: `srv_grey`, `errors`, share 0.085, x 1.0, for 6.5 s. One worker of twelve.
    const FAILING: Duration = Duration::from_millis(5_500);
    let mut world = World::new(record, temp, 3, &kinds(&[("huvo11a", 12), ("kafi81c", 4)]));
    let repeated = queue("r-tyiikdr", "/puxa400/", "huvo11a", FIRST_KEY);
    let other = queue("r-w63is47", "/wuhu344/", "kafi81c", SECOND_KEY);
    let queues = [repeated.clone(), other.clone()];
    if let Err(verdict) = begin(&mut world, &[0], &queues, &["huvo11a", "kafi81c"]) {
        return verdict;
    }
    // A restart in turn, as each deployment has had one.
    world.start_node(1);
    world.start_node(2);
    if !world.await_ready(1) || !world.await_ready(2) {
        return Verdict::NotRun("the entry instances are not ready".to_owned());
    }
    world.signal(0, "TERM");
    world.await_end(0);
    world.start_node(0);
    if !world.await_ready(0) {
        return Verdict::NotRun("the entry instances are not ready".to_owned());
    }
    let start_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
        + 1_500;
    let id = world.new_id();
    let step = |count: u32| format!(r#"{{"count":{count},"cpu":25,"memMb":8,"estMs":2000}}"#);
    let body = format!(
        r#"{{"spec":"ms=2000","steps":[{},{}],"repeats":{REPEATS},"startMs":{start_ms},"intervalMs":{INTERVAL_MS}}}"#,
        step(2),
        step(3)
    );
    if !world.submit(&repeated, &id, &body) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let begin = Instant::now();
    let traffic = Duration::from_millis(1_500 + REPEATS * INTERVAL_MS) + Duration::from_secs(14);
    let mut probes: Vec<String> = Vec::new();
    let mut failing: Option<usize> = None;
    let mut last_probe = Instant::now();
    while begin.elapsed() < traffic {
        let is_time = begin.elapsed() > Duration::from_millis(2_300);
        match failing {
            None if has_trouble && is_time => {
                let busiest = busiest_worker(&world);
                let id = &world.workers[busiest].id;
                world.record.say(&format!(
                    "worker {id} fails all that it starts for {FAILING:?}"
                ));
                world.workers[busiest].set_failing(100);
                failing = Some(busiest);
            }
            Some(worker) if begin.elapsed() > Duration::from_millis(2_300) + FAILING => {
                world.workers[worker].set_failing(0);
            }
            _ => {}
        }
        if last_probe.elapsed() > Duration::from_secs(1) {
            last_probe = Instant::now();
            let probe = world.new_id();
            if world.submit(
                &other,
                &probe,
                r#"{"spec":"ms=200","steps":[{"count":1,"cpu":1000,"memMb":64,"estMs":200}]}"#,
            ) {
                probes.push(probe);
            }
        }
        sleep(Duration::from_millis(50));
    }
    world.record.say(&format!(
        "end of the traffic, {} jobs of the other queue accepted",
        probes.len()
    ));
    sleep(FINISH);
    let is_idle = |world: &World| {
        world
            .workers
            .iter()
            .all(|worker| worker.service != "kafi81c" || worker.running() == 0)
    };
    let mut idle_since = Instant::now();
    let watch = Instant::now();
    while watch.elapsed() < IDLE_LIMIT + Duration::from_millis(500) {
        if !is_idle(&world) {
            idle_since = Instant::now();
        }
        sleep(Duration::from_millis(20));
    }
    let unfinished: Vec<&String> = probes
        .iter()
        .filter(|id| world.state(&other, id).as_deref() != Some("finished"))
        .collect();
    let repeated_state = world.state(&repeated, &id);
    let panics = world.count_log_lines("panicked");
    let ended = world.ended_nodes().len();
    world.record.say(&format!(
        "repeated job: {repeated_state:?}; {} starts of its tasks; jobs of the other queue not finished: {} of {}; processes that ended: {ended}; panics in the logs: {panics}",
        count_starts(&world.record, &id), unfinished.len(), probes.len()
    ));
    if !unfinished.is_empty() && idle_since.elapsed() > IDLE_LIMIT {
        return Verdict::Broken(format!(
            "LOST: {} accepted jobs have nothing running on an idle pool",
            unfinished.len()
        ));
    }
    match repeated_state.as_deref() {
        Some("finished") if unfinished.is_empty() => Verdict::Held,
        state => Verdict::NotRun(format!("the repeated job is {state:?}")),
    }
}

fn busiest_worker(world: &World) -> usize {
    let starts = |id: &str| {
        let is_start = |event: &Event| matches!(event, Event::Start(start) if start.worker == id);
        world
            .record
            .judge(|events| events.iter().filter(|(_, event)| is_start(event)).count())
    };
    let workers = world.workers.iter().enumerate();
    workers
        .max_by_key(|(_, worker)| starts(&worker.id))
        .map_or(0, |(number, _)| number)
}

/// A config removes the route of a job that has been accepted and runs.
pub fn dropped_route(record: Record, temp: &str, has_trouble: bool) -> Verdict {
    let mut world = World::new(record, temp, 3, &kinds(&[("huvo11a", 4)]));
    let dropped = queue("r-tyiikdr", "/puxa400/", "huvo11a", FIRST_KEY);
    let kept = queue("r-w63is47", "/wuhu344/", "huvo11a", FIRST_KEY);
    let queues = [dropped.clone(), kept.clone()];
    if let Err(verdict) = begin(&mut world, &[0, 1, 2], &queues, &["huvo11a"]) {
        return verdict;
    }
    let step = r#"{"count":4,"cpu":1000,"memMb":64,"estMs":2000}"#;
    let last = r#"{"count":4,"cpu":1000,"memMb":64,"estMs":2000,"after":[0]}"#;
    let body = format!(r#"{{"spec":"ms=2000","steps":[{step},{last}]}}"#);
    let (id, control) = (world.new_id(), world.new_id());
    if !world.submit(&dropped, &id, &body) || !world.submit(&kept, &control, &body) {
        return Verdict::NotRun("the jobs were not accepted".to_owned());
    }
    if !world.wait(Duration::from_secs(3), || {
        count_starts(&world.record, &format!("{id}.0.0.")) == 4
    }) {
        return Verdict::NotRun("the first step was not started".to_owned());
    }
    let queues = if has_trouble {
        vec![kept.clone()]
    } else {
        queues.to_vec()
    };
    world.put_config(9, &queues, &["huvo11a"]);
    sleep(FINISH);
    // The first step has ended long ago and the pool is idle.
    let mut idle_since = Instant::now();
    let watch = Instant::now();
    while watch.elapsed() < IDLE_LIMIT + Duration::from_millis(500) {
        if world.workers.iter().any(|worker| worker.running() > 0) {
            idle_since = Instant::now();
        }
        sleep(Duration::from_millis(20));
    }
    let first_done = count_done(&world.record, &format!("{id}.0.0."));
    let second = count_starts(&world.record, &format!("{id}.0.1."));
    let control_state = world.state(&kept, &control);
    let state = world.state(&dropped, &id);
    world.record.say(&format!(
        "first step: {first_done} tasks done; second step: {second} starts; state by its route {state:?}; job on the other route {control_state:?}"
    ));
    if control_state.as_deref() != Some("finished") || first_done < 4 {
        return Verdict::NotRun("the job on the other route did not finish".to_owned());
    }
    if second < 4 && idle_since.elapsed() > IDLE_LIMIT {
        return Verdict::Broken(
            "LOST: an accepted job has nothing running on an idle pool".to_owned(),
        );
    }
    Verdict::Held
}

fn count_done(record: &Record, prefix: &str) -> usize {
    let is_done = |event: &Event| matches!(event, Event::End(end) if end.how == "done" && end.task.starts_with(prefix));
    record.judge(|events| events.iter().filter(|(_, event)| is_done(event)).count())
}

/// The owner is restarted, as planned, while a worker is cut off that runs tasks of a tenant at its cap.
pub fn quota_takeover(record: Record, temp: &str, has_trouble: bool) -> Verdict {
    const CAP: usize = 24;
    let mut world = World::new(record, temp, 3, &kinds(&[("huvo11a", 6)]));
    world.cpu_cap = CAP as u64 * 1_000;
    let queue = queue("r-tyiikdr", "/puxa400/", "huvo11a", FIRST_KEY);
    if let Err(verdict) = begin(
        &mut world,
        &[0, 1, 2],
        std::slice::from_ref(&queue),
        &["huvo11a"],
    ) {
        return verdict;
    }
    let leader = world.leader();
    let id = world.new_id();
    let body = r#"{"spec":"ms=7000","steps":[{"count":72,"cpu":1000,"memMb":64,"estMs":7000}]}"#;
    if !world.submit(&queue, &id, body) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    if !world.wait(Duration::from_secs(3), || {
        count_starts(&world.record, &id) == CAP
    }) {
        return Verdict::NotRun("the tenant is not at its cap".to_owned());
    }
    sleep(Duration::from_millis(500));
    if has_trouble {
        let busiest = busiest_worker(&world);
        world.workers[busiest].cut_off(Duration::from_millis(5_500), &world.store);
    }
    sleep(Duration::from_millis(2_500));
    world.signal(leader, "TERM");
    world.await_end(leader);
    world.start_node(leader);
    let is_finished = world.wait(Duration::from_secs(60), || {
        sleep(Duration::from_millis(300));
        world.state(&queue, &id).as_deref() == Some("finished")
    });
    // 1.1 times the cap, and one task more.
    let limit = CAP * 11 / 10 + 1;
    let (most, at) = most_running(&world.record);
    world.record.say(&format!("finished: {is_finished}; most tasks of the tenant at work at once: {most} at {at:.3}; limit {limit}"));
    if most > limit {
        return Verdict::Broken(format!(
            "QUOTA: a start brings the tenant to {most} tasks of 1,000, its cap is {CAP}"
        ));
    }
    if is_finished {
        Verdict::Held
    } else {
        Verdict::NotRun("the job did not finish".to_owned())
    }
}

/// Most runs at work at once after a start, and when.
fn most_running(record: &Record) -> (usize, f64) {
    record.judge(|events| {
        let (mut running, mut most, mut at) = (0_usize, 0, 0.0);
        for (time, event) in events {
            match event {
                Event::Start(_) => running += 1,
                Event::End(_) => running -= 1,
                Event::Noted(..) | Event::Lapsed(_) => {}
            }
            if running > most {
                (most, at) = (running, time.as_secs_f64());
            }
        }
        (most, at)
    })
}

/// The owner is restarted, as planned, while the part of the store that holds a repeated job is silent.
pub fn repeated_job(record: Record, temp: &str, has_trouble: bool) -> Verdict {
    let mut world = World::new(record, temp, 3, &kinds(&[("huvo11a", 4)]));
    let queue = queue("r-tyiikdr", "/puxa400/", "huvo11a", FIRST_KEY);
    if let Err(verdict) = begin(
        &mut world,
        &[0, 1, 2],
        std::slice::from_ref(&queue),
        &["huvo11a"],
    ) {
        return verdict;
    }
    let leader = world.leader();
    let start_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
        + 1_000;
    let id = world.new_id();
    let body = format!(
        r#"{{"spec":"ms=1500","steps":[{{"count":20,"cpu":500,"memMb":64,"estMs":1500}}],"repeats":2,"startMs":{start_ms},"intervalMs":12000}}"#
    );
    if !world.submit(&queue, &id, &body) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    if !world.wait(Duration::from_secs(5), || {
        count_starts(&world.record, &format!("{id}.0.")) == 20
    }) {
        return Verdict::NotRun("the first occurrence was not started".to_owned());
    }
    sleep(Duration::from_millis(300));
    if has_trouble {
        let silenced = world.store.silence_part_of(&id, Duration::from_secs(4));
        world.record.say(&format!(
            "the part of the store that holds the job is silent for 4 s: {silenced:?}"
        ));
    }
    world.signal(leader, "TERM");
    world.await_end(leader);
    world.start_node(leader);
    let is_finished = world.wait(Duration::from_secs(40), || {
        sleep(Duration::from_millis(300));
        world.state(&queue, &id).as_deref() == Some("finished")
    });
    sleep(Duration::from_secs(1));
    let twice = run_twice(&world.record);
    world.record.say(&format!(
        "finished: {is_finished}; starts: {}; started again: {}",
        count_starts(&world.record, &id),
        twice.len()
    ));
    for line in &twice {
        world.record.line(&format!("TWICE {line}"));
    }
    match twice.first() {
        Some(first) => Verdict::Broken(format!(
            "TWICE: {} tasks ran again, first {first}",
            twice.len()
        )),
        None if is_finished => Verdict::Held,
        None => Verdict::NotRun("the job did not finish".to_owned()),
    }
}

/// The owner is restarted, as planned, while many jobs wait, on machines with links of 10 Mbit/s.
pub fn slow_load(record: Record, temp: &str, has_trouble: bool) -> Verdict {
    const JOBS: usize = 500;
    let pools = [("huvo11a", 2), ("kafi81c", 4)];
    let mut world = World::with_link(record, temp, 3, &kinds(&pools), Some(10.0));
    let full = queue("r-tyiikdr", "/puxa400/", "huvo11a", FIRST_KEY);
    let other = queue("r-w63is47", "/wuhu344/", "kafi81c", SECOND_KEY);
    if let Err(verdict) = begin(
        &mut world,
        &[0, 1, 2],
        &[full.clone(), other.clone()],
        &["huvo11a", "kafi81c"],
    ) {
        return verdict;
    }
    let leader = world.leader();
    let spec = format!("ms=1000{}", " ".repeat(3_900));
    let body = format!(
        r#"{{"spec":"{spec}","steps":[{{"count":1,"cpu":32000,"memMb":64,"estMs":1000}}]}}"#
    );
    let mut accepted = 0;
    for _ in 0..JOBS {
        accepted += usize::from(world.submit(&full, &world.new_id(), &body));
    }
    world.record.say(&format!("{accepted} jobs accepted"));
    if has_trouble {
        world.signal(leader, "TERM");
        world.await_end(leader);
        world.start_node(leader);
    }
    let mut probes = Vec::new();
    for _ in 0..10 {
        let probe = world.new_id();
        if world.submit(
            &other,
            &probe,
            r#"{"spec":"ms=200","steps":[{"count":1,"cpu":1000,"memMb":64,"estMs":200}]}"#,
        ) {
            probes.push(probe);
        }
        sleep(Duration::from_secs(1));
    }
    sleep(FINISH);
    let mut idle_since = Instant::now();
    let watch = Instant::now();
    while watch.elapsed() < IDLE_LIMIT + Duration::from_millis(500) {
        if world
            .workers
            .iter()
            .any(|worker| worker.service == "kafi81c" && worker.running() > 0)
        {
            idle_since = Instant::now();
        }
        sleep(Duration::from_millis(20));
    }
    let unfinished = probes
        .iter()
        .filter(|id| world.state(&other, id).as_deref() != Some("finished"))
        .count();
    world.record.say(&format!(
        "jobs of the other queue not finished: {unfinished} of {}",
        probes.len()
    ));
    if unfinished > 0 && idle_since.elapsed() > IDLE_LIMIT {
        return Verdict::Broken(format!(
            "LOST: {unfinished} accepted jobs have nothing running on an idle pool"
        ));
    }
    if unfinished == 0 && !probes.is_empty() {
        Verdict::Held
    } else {
        Verdict::NotRun("the jobs of the other queue were not accepted".to_owned())
    }
}

/// A config moves a queue to another service; a worker of the former one is cut off, and the owner is
/// restarted, as planned, before it has noticed that.
pub fn moved_queue(record: Record, temp: &str, has_trouble: bool) -> Verdict {
    let mut world = World::new(record, temp, 3, &kinds(&[("huvo11a", 4), ("kafi81c", 4)]));
    let before = queue("r-tyiikdr", "/puxa400/", "huvo11a", FIRST_KEY);
    if let Err(verdict) = begin(
        &mut world,
        &[0, 1, 2],
        std::slice::from_ref(&before),
        &["huvo11a", "kafi81c"],
    ) {
        return verdict;
    }
    let leader = world.leader();
    let id = world.new_id();
    let body = r#"{"spec":"ms=6000","steps":[{"count":12,"cpu":1000,"memMb":64,"estMs":6000}]}"#;
    if !world.submit(&before, &id, body) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    if !world.wait(Duration::from_secs(3), || {
        count_starts(&world.record, &id) == 12
    }) {
        return Verdict::NotRun("the tasks were not started".to_owned());
    }
    let after = queue("r-tyiikdr", "/puxa400/", "kafi81c", FIRST_KEY);
    world.put_config(9, std::slice::from_ref(&after), &["huvo11a", "kafi81c"]);
    sleep(Duration::from_secs(1));
    if has_trouble {
        let busiest = busiest_worker(&world);
        world.workers[busiest].cut_off(Duration::from_millis(5_500), &world.store);
    }
    sleep(Duration::from_millis(500));
    world.signal(leader, "TERM");
    world.await_end(leader);
    world.start_node(leader);
    let is_finished = world.wait(Duration::from_secs(60), || {
        sleep(Duration::from_millis(300));
        world.state(&before, &id).as_deref() == Some("finished")
    });
    let twice = run_twice(&world.record);
    world.record.say(&format!(
        "finished: {is_finished}; starts: {}; started again: {}",
        count_starts(&world.record, &id),
        twice.len()
    ));
    match twice.first() {
        Some(first) => Verdict::Broken(format!(
            "TWICE: {} tasks ran again, first {first}",
            twice.len()
        )),
        None if is_finished => Verdict::Held,
        None => Verdict::NotRun("the job did not finish".to_owned()),
    }
}

/// The store turns one entry instance away while configs come in quick succession. Its link has 10 Mbit/s.
pub fn stale_config(record: Record, temp: &str, has_trouble: bool) -> Verdict {
    /// `config_storm` of a day of cuco-norte-grown: for 2.0 s, one each 0.08 s.
    const VERSIONS: u64 = 25;
    const STABLE: Duration = Duration::from_millis(4_000);
    let mut world = World::with_link(record, temp, 3, &kinds(&[("huvo11a", 2)]), Some(10.0));
    world.idle_routes = 300;
    let old = queue("r-tyiikdr", "/puxa400/", "huvo11a", FIRST_KEY);
    let new = queue("r-w63is47", "/wuhu344/", "huvo11a", FIRST_KEY);
    if let Err(verdict) = begin(
        &mut world,
        &[0, 1, 2],
        std::slice::from_ref(&old),
        &["huvo11a"],
    ) {
        return verdict;
    }
    let leader = world.leader();
    let node = (0..3).find(|number| *number != leader).unwrap_or(0);
    if has_trouble {
        world.store.refused_node.store(node, Ordering::SeqCst);
        world
            .record
            .say("the store turns one entry instance away with 503");
    }
    sleep(Duration::from_secs(1));
    for version in 0..VERSIONS {
        let queues = if version + 1 == VERSIONS {
            vec![old.clone(), new.clone()]
        } else {
            vec![old.clone()]
        };
        world.put_config(9 + 2 * version, &queues, &["huvo11a"]);
        sleep(Duration::from_millis(80));
    }
    let acknowledged = Instant::now();
    sleep(Duration::from_secs(2));
    world.store.refused_node.store(usize::MAX, Ordering::SeqCst);
    world.record.say("the store serves all again");
    let end = Instant::now();
    let mut late = 0;
    let mut last = Duration::ZERO;
    while end.elapsed() < Duration::from_secs(25) {
        let sent = Instant::now();
        let answer = world.call_node(node, "GET", &new, "", "");
        let is_old = answer.is_some_and(|answer| answer.status == 404);
        if is_old && sent - end > STABLE && sent - acknowledged > Duration::from_secs(2) {
            late += 1;
            last = sent - end;
        }
        sleep(Duration::from_millis(200));
    }
    world.record.say(&format!("requests refused with 404 though the route is there: {late}, the last {last:?} after the store served all again"));
    if late > 0 {
        return Verdict::Broken(format!(
            "CONFIG: {late} requests handled as only an older version allows"
        ));
    }
    Verdict::Held
}
