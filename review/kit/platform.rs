//! Stand-in of the platform: the store, the list of machines, and the workers' entries.
//!
//! Beside the calls of the pages it has calls under `/ctl/` for the case and the workers.

use crate::base::{Json, Reply, Request, base64, micros, ok, quoted, serve, sleep_ms};
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that a transaction or a read takes.
const CALL_MS: u64 = 3;

/// Most entries and bytes of a transaction.
const MAX_ENTRIES: usize = 100;
const MAX_BYTES: usize = 1_048_576;

/// Check-in intervals of silence after which the entry of a worker is removed.
const SILENT_BEATS: u64 = 3;

type Name = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
}

struct Change {
    version: u64,
    name: Name,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Name, Row>,
    changes: Vec<Change>,
    version: u64,
    /// Last check-in of each worker.
    beats: BTreeMap<String, Instant>,
    /// Workers that are cut off from the store.
    cut: BTreeSet<String>,
    machines: BTreeMap<String, Json>,
    /// Keys of rows of which the next transactions get no answer and are performed late, with the
    /// delay in milliseconds and the number of transactions.
    late: BTreeMap<String, (u64, u32)>,
    /// Whether the store refuses all calls.
    is_down: bool,
    moves: u64,
}

impl State {
    fn put(&mut self, name: Name, value: Option<String>) {
        match &value {
            Some(value) => {
                let row = Row { value: value.clone(), version: self.version };
                self.rows.insert(name.clone(), row);
            }
            None => {
                if self.rows.remove(&name).is_none() {
                    return;
                }
            }
        }
        self.changes.push(Change { version: self.version, name, value });
    }

    fn put_platform_row(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let value = value.map(|text| base64(text.as_bytes()));
        self.put((table.into(), String::new(), key.into()), value);
    }
}

struct Platform {
    state: Mutex<State>,
    changed: Condvar,
    born: Instant,
    beat_ms: u64,
}

pub fn run(store: TcpListener, cloud: TcpListener, beat_ms: u64) {
    let platform = Arc::new(Platform {
        state: Mutex::default(),
        changed: Condvar::new(),
        born: Instant::now(),
        beat_ms,
    });
    let expiring = Arc::clone(&platform);
    std::thread::spawn(move || loop {
        sleep_ms(50);
        expiring.expire();
    });
    let machines = Arc::clone(&platform);
    std::thread::spawn(move || serve(cloud, Arc::new(move |request| machines.cloud(request))));
    serve(store, Arc::new(move |request| platform.answer(request)));
}

fn row_json(name: &Name, value: &str, version: u64) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":\"{value}\",\"ver\":{version}}}",
        quoted(&name.0),
        quoted(&name.1),
        quoted(&name.2)
    )
}

fn row_name(json: &Json) -> Name {
    let text = |key| json.get(key).text().to_owned();
    (text("table"), text("part"), text("key"))
}

impl Platform {
    fn now_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    /// Removes the entries of workers that have been silent.
    fn expire(&self) {
        let limit = Duration::from_millis(self.beat_ms * SILENT_BEATS);
        let mut state = self.state.lock().unwrap();
        let silent = state.beats.iter().filter(|(_, last)| last.elapsed() > limit);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            state.beats.remove(&id);
            state.put_platform_row("servers", &id, None);
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        if request.path.starts_with("/-/") && self.state.lock().unwrap().is_down {
            return Reply::Answer(503, "{}".into());
        }
        match request.path.as_str() {
            "/-/rows-tx" => {
                let body = request.json();
                let lists = ["expectRev", "puts", "deletes"].map(|name| body.get(name).list().len());
                let entries: usize = lists.iter().sum();
                if entries > MAX_ENTRIES || request.body.len() > MAX_BYTES {
                    println!("{} refused a transaction of {entries} entries and {} bytes", micros(), request.body.len());
                    return Reply::Answer(413, "{}".into());
                }
                self.transact(body)
            }
            "/-/rows-get" => self.read(request),
            "/-/rows-feed" => self.feed(request),
            path if path.starts_with("/ctl/") => self.control(path, request),
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn transact(&self, body: Json) -> Reply {
        let late = {
            let mut state = self.state.lock().unwrap();
            let key = body.get("puts").list().iter().map(|put| put.get("key").text().to_owned());
            let key = key.into_iter().find(|key| state.late.contains_key(key));
            key.and_then(|key| {
                let entry = state.late.get_mut(&key)?;
                let delay = entry.0;
                entry.1 -= 1;
                if entry.1 == 0 {
                    state.late.remove(&key);
                }
                Some(delay)
            })
        };
        if let Some(delay) = late {
            // No answer: the call is performed late, if its condition still holds. The connection
            // delivers nothing further.
            let begin = Instant::now();
            sleep_ms(delay);
            let _ = self.apply(&body);
            println!("{} late transaction performed after {} ms", micros(), begin.elapsed().as_millis());
            return Reply::Break;
        }
        sleep_ms(CALL_MS);
        self.apply(&body)
    }

    fn apply(&self, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        let writes = body.get("puts").list().iter().chain(body.get("deletes").list());
        if writes.clone().any(|row| matches!(row.get("table").text(), "op" | "servers")) {
            return Reply::Answer(403, "{}".into());
        }
        let is_met = body.get("expectRev").list().iter().all(|row| {
            let version = state.rows.get(&row_name(row)).map_or(0, |row| row.version);
            Some(version) == row.get("ver").number()
        });
        if !is_met {
            let rows = body.get("expectRev").list().iter().filter_map(|row| {
                let name = row_name(row);
                let row = state.rows.get(&name)?;
                Some(row_json(&name, &row.value, row.version))
            });
            let rows = rows.collect::<Vec<_>>().join(",");
            let body = format!("{{\"rows\":[{rows}],\"ver\":{},\"nowMs\":{}}}", state.version, self.now_ms());
            return Reply::Answer(412, body);
        }
        state.version += 1;
        for put in body.get("puts").list() {
            state.put(row_name(put), Some(put.get("value").text().to_owned()));
        }
        for row in body.get("deletes").list() {
            state.put(row_name(row), None);
        }
        self.changed.notify_all();
        ok(format!("{{\"ver\":{},\"nowMs\":{}}}", state.version, self.now_ms()))
    }

    fn read(&self, request: &Request) -> Reply {
        sleep_ms(CALL_MS);
        let state = self.state.lock().unwrap();
        let limit = request.param("limit").parse().unwrap_or(500).min(500);
        let (table, part) = (request.param("table"), request.param("part"));
        let from = (table.to_owned(), part.to_owned(), request.param("from").to_owned());
        let mut rows = state.rows.range(from..).take_while(|(name, _)| name.0 == table && name.1 == part);
        let page: Vec<String> = rows.by_ref().take(limit).map(|(name, row)| row_json(name, &row.value, row.version)).collect();
        let has_more = rows.next().is_some();
        ok(format!(
            "{{\"rows\":[{}],\"morePages\":{has_more},\"ver\":{},\"nowMs\":{}}}",
            page.join(","),
            state.version,
            self.now_ms()
        ))
    }

    fn feed(&self, request: &Request) -> Reply {
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.param("waitMs").parse().unwrap_or(0).min(30_000));
        let table = request.param("table");
        let end = Instant::now() + wait;
        sleep_ms(1);
        let mut state = self.state.lock().unwrap();
        loop {
            let first = state.changes.partition_point(|change| change.version <= after);
            let mut rows = Vec::new();
            for change in state.changes[first..].iter().filter(|change| change.name.0 == table) {
                rows.push(match &change.value {
                    Some(value) => row_json(&change.name, value, change.version),
                    None => format!(
                        "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{},\"deleted\":true}}",
                        quoted(&change.name.0),
                        quoted(&change.name.1),
                        quoted(&change.name.2),
                        change.version
                    ),
                });
            }
            if state.is_down {
                return Reply::Answer(503, "{}".into());
            }
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return ok(format!(
                    "{{\"rows\":[{}],\"ver\":{},\"nowMs\":{}}}",
                    rows.join(","),
                    state.version.max(after),
                    self.now_ms()
                ));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn cloud(&self, request: &Request) -> Reply {
        let mut state = self.state.lock().unwrap();
        if request.path == "/-/machines" {
            let machines: Vec<String> = state.machines.values().map(|text| text.text().to_owned()).collect();
            return ok(format!("{{\"machines\":[{}],\"nextToken\":null}}", machines.join(",")));
        }
        // The cases have no spare pool and no waves, so no order is expected.
        state.moves += 1;
        println!("{} unexpected order {}", micros(), request.path);
        Reply::Answer(409, "{\"reason\":\"busy\"}".into())
    }

    fn control(&self, path: &str, request: &Request) -> Reply {
        let mut state = self.state.lock().unwrap();
        let id = request.param("id").to_owned();
        let text = String::from_utf8_lossy(&request.body).into_owned();
        match path {
            // A worker checks in.
            "/ctl/beat" => {
                if state.is_down || state.cut.contains(&id) {
                    return Reply::Break;
                }
                state.beats.insert(id.clone(), Instant::now());
                state.put_platform_row("servers", &id, Some(text));
            }
            // Another writer replaces an entry.
            "/ctl/foreign" => state.put_platform_row("servers", &id, Some(text)),
            "/ctl/op" => state.put_platform_row("op", &id, Some(text)),
            "/ctl/machine" => drop(state.machines.insert(id, Json::Text(text))),
            "/ctl/cut" => drop(state.cut.insert(id)),
            "/ctl/heal" => drop(state.cut.remove(&id)),
            "/ctl/down" => state.is_down = true,
            "/ctl/up" => state.is_down = false,
            "/ctl/late" => {
                let delay = request.param("ms").parse().unwrap_or(1_000);
                let count = request.param("count").parse().unwrap_or(1);
                state.late.insert(id, (delay, count));
            }
            _ => return Reply::Answer(404, "{}".into()),
        }
        self.changed.notify_all();
        ok("{}".into())
    }
}
