//! Stand-in of the platform's store: rows, transactions and the feed of changes. It keeps all of its
//! history and refuses nothing.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{reply, Reply, Request};
use crate::json::{base64, num, obj, text, Json};

/// Time that a transaction takes; twice that over several parts.
const TX_TIME: Duration = Duration::from_millis(3);

type Name = (String, String, String);

/// A changed row, with its value where the feed shows each change of the table.
type Change = (Name, Option<String>);

/// Table of which the feed shows each change, as the bench's store does. Of the others it shows the last
/// one of each row.
const FULL_FEED: &str = "op";

/// Age up to which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value (in base64) and version of each row.
    rows: BTreeMap<Name, (String, u64)>,
    /// Version of the last change of each row, dropped ones included.
    changes: BTreeMap<u64, Change>,
    changed_at: BTreeMap<Name, u64>,
    /// When each version was written.
    written: VecDeque<(Instant, u64)>,
    /// Changes up to this version are no longer kept.
    forgotten: u64,
}

impl Rows {
    fn set(&mut self, name: Name, value: Option<String>) {
        let version = self.version;
        self.written.push_back((Instant::now(), version));
        let is_full = name.0 == FULL_FEED;
        if let Some(before) = self
            .changed_at
            .insert(name.clone(), version)
            .filter(|_| !is_full)
        {
            // One transaction may change several rows, so that the order counts rows, not versions.
            let slots = before * SLOTS..(before + 1) * SLOTS;
            let known = self
                .changes
                .range(slots)
                .find(|(_, (changed, _))| *changed == name);
            if let Some(at) = known.map(|(at, _)| *at) {
                self.changes.remove(&at);
            }
        }
        let slot = (0..SLOTS).find(|slot| !self.changes.contains_key(&(version * SLOTS + slot)));
        self.changes.insert(
            version * SLOTS + slot.unwrap_or(0),
            (name.clone(), value.clone().filter(|_| is_full)),
        );
        match value {
            Some(value) => _ = self.rows.insert(name, (value, version)),
            None => _ = self.rows.remove(&name),
        }
    }
}

/// Most rows that a transaction changes.
const SLOTS: u64 = 128;

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
    /// Number of the node that last wrote under a condition.
    pub last_writer: AtomicUsize,
    /// Part that answers nobody; what asks for it hangs.
    silent_part: Mutex<Option<String>>,
    /// Node that is turned away with 503.
    pub refused_node: AtomicUsize,
}

impl Store {
    pub fn new() -> Self {
        Self {
            rows: Mutex::new(Rows {
                version: 1,
                ..Rows::default()
            }),
            changed: Condvar::new(),
            start: Instant::now(),
            last_writer: AtomicUsize::new(usize::MAX),
            silent_part: Mutex::new(None),
            refused_node: AtomicUsize::new(usize::MAX),
        }
    }

    /// Writes or drops a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let value = value.map(|value| base64(value.as_bytes()));
        rows.set((table.to_owned(), String::new(), key.to_owned()), value);
        drop(rows);
        self.changed.notify_all();
    }

    /// Silences the part that holds a row with this key, for a time, in the background. Returns its
    /// name and the number of parts.
    pub fn silence_part_of(self: &Arc<Self>, key: &str, time: Duration) -> Option<(String, usize)> {
        let rows = self.rows.lock().unwrap();
        let part = rows.rows.keys().find(|name| name.2 == key)?.1.clone();
        let mut parts: Vec<&String> = rows.rows.keys().map(|name| &name.1).collect();
        parts.sort();
        parts.dedup();
        *self.silent_part.lock().unwrap() = Some(part.clone());
        let store = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(time);
            *store.silent_part.lock().unwrap() = None;
        });
        Some((part, parts.len()))
    }

    /// Waits while one of the parts is silent. Returns whether one was: nothing is done then.
    fn was_silent(&self, parts: &[String]) -> bool {
        let is_silent = || {
            self.silent_part
                .lock()
                .unwrap()
                .as_ref()
                .is_some_and(|part| parts.contains(part))
        };
        let was_silent = is_silent();
        while is_silent() {
            thread::sleep(Duration::from_millis(20));
        }
        was_silent
    }

    pub fn handle(&self, node: usize, request: &Request) -> Option<Reply> {
        if self.refused_node.load(Ordering::SeqCst) == node {
            return reply(503, "{}".to_owned());
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => self.transact(node, request),
            ("GET", "/-/rows-get") => self.read(request),
            ("GET", "/-/rows-feed") => self.follow(request),
            _ => reply(404, "{}".to_owned()),
        }
    }

    fn answer(&self, rows: Vec<Json>, has_more: bool, version: u64) -> Option<Reply> {
        let body = obj(vec![
            ("rows", Json::Arr(rows)),
            ("morePages", Json::Bool(has_more)),
            ("ver", num(version)),
            ("nowMs", num(self.start.elapsed().as_millis() as u64)),
        ]);
        reply(200, body.to_text())
    }

    fn transact(&self, node: usize, request: &Request) -> Option<Reply> {
        let body = Json::parse(&request.body)?;
        let name = |entry: &Json| -> Name {
            let part = |key: &str| entry.get(key).text().to_owned();
            (part("table"), part("part"), part("key"))
        };
        let entries: Vec<&Json> = ["expectRev", "puts", "deletes"]
            .iter()
            .flat_map(|key| body.get(key).list())
            .collect();
        let mut parts: Vec<String> = entries.iter().map(|entry| name(entry).1).collect();
        parts.sort();
        parts.dedup();
        if entries.len() > 100
            || request.body.len() > 1_000_000
            || (parts.len() > 1 && !body.get("across").is_true())
        {
            return reply(400, "{}".to_owned());
        }
        let is_foreign = |entry: &Json| matches!(entry.get("table").text(), "op" | "servers");
        let changes = || {
            body.get("puts")
                .list()
                .iter()
                .chain(body.get("deletes").list())
        };
        if changes().any(is_foreign) {
            return reply(403, "{}".to_owned());
        }
        if body
            .get("puts")
            .list()
            .iter()
            .any(|put| put.get("value").text().len() / 4 * 3 > 65_536 + 2)
        {
            return reply(400, "{}".to_owned());
        }
        if self.was_silent(&parts) {
            return None;
        }
        thread::sleep(TX_TIME * if parts.len() > 1 { 2 } else { 1 });
        let mut rows = self.rows.lock().unwrap();
        let current = |rows: &Rows, name: &Name| rows.rows.get(name).map_or(0, |row| row.1);
        let conditions = body.get("expectRev").list();
        if !conditions.is_empty() {
            self.last_writer.store(node, Ordering::SeqCst);
        }
        let is_met = |entry: &Json| Some(current(&rows, &name(entry))) == entry.get("ver").num();
        if !conditions.iter().all(is_met) {
            let version = rows.version;
            let names = conditions.iter().map(name);
            let found = names.filter_map(|name| Some(row_json(&name, rows.rows.get(&name)?)));
            let found: Vec<Json> = found.collect();
            let answer = self.answer(found, false, version)?;
            return reply(412, answer.body);
        }
        rows.version += 1;
        for entry in body.get("puts").list() {
            rows.set(name(entry), Some(entry.get("value").text().to_owned()));
        }
        for entry in body.get("deletes").list() {
            if rows.rows.contains_key(&name(entry)) {
                rows.set(name(entry), None);
            }
        }
        let version = rows.version;
        drop(rows);
        self.changed.notify_all();
        self.answer(Vec::new(), false, version)
    }

    fn read(&self, request: &Request) -> Option<Reply> {
        let field = |key: &str| request.query.get(key).cloned().unwrap_or_default();
        let (table, part, from, end) = (
            field("table"),
            field("part"),
            field("from"),
            field("target"),
        );
        if self.was_silent(std::slice::from_ref(&part)) {
            return None;
        }
        let limit = field("limit").parse().unwrap_or(500_usize).min(500);
        let rows = self.rows.lock().unwrap();
        let range = rows.rows.range((table.clone(), part.clone(), from)..);
        let range = range.take_while(|(name, _)| name.0 == table && name.1 == part);
        let mut range = range.filter(|(name, _)| end.is_empty() || name.2 < end);
        let (mut found, mut size, mut has_more) = (Vec::new(), 0, false);
        for (name, row) in range.by_ref() {
            size += row.0.len();
            if found.len() == limit || size > 1_000_000 {
                has_more = true;
                break;
            }
            found.push(row_json(name, row));
        }
        self.answer(found, has_more, rows.version)
    }

    fn follow(&self, request: &Request) -> Option<Reply> {
        let field = |key: &str| request.query.get(key).cloned().unwrap_or_default();
        let (table, after): (String, u64) = (field("table"), field("after").parse().ok()?);
        let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            while rows
                .written
                .front()
                .is_some_and(|(at, _)| at.elapsed() > HISTORY)
            {
                rows.forgotten = rows.written.pop_front().map_or(0, |(_, version)| version);
            }
            if after < rows.forgotten && table == FULL_FEED {
                return reply(410, "{}".to_owned());
            }
            let changes = rows.changes.range((after + 1) * SLOTS..);
            let changes = changes.filter(|(_, (name, _))| name.0 == table);
            let found: Vec<Json> = changes
                .map(|(at, (name, value))| match (value, rows.rows.get(name)) {
                    (Some(value), _) => row_json(name, &(value.clone(), at / SLOTS)),
                    (None, Some(row)) => row_json(name, row),
                    (None, None) => deleted_json(name, at / SLOTS),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return self.answer(found, false, rows.version);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn row_json(name: &Name, row: &(String, u64)) -> Json {
    obj(vec![
        ("table", text(&name.0)),
        ("part", text(&name.1)),
        ("key", text(&name.2)),
        ("value", text(&row.0)),
        ("ver", num(row.1)),
    ])
}

fn deleted_json(name: &Name, version: u64) -> Json {
    obj(vec![
        ("table", text(&name.0)),
        ("part", text(&name.1)),
        ("key", text(&name.2)),
        ("ver", num(version)),
        ("deleted", Json::Bool(true)),
    ])
}
