//! Record of a run: what was sent, answered, started and ended, as clients, workers and the platform
//! saw it.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Start {
    pub worker: String,
    pub task: String,
    pub run: u64,
}

pub struct End {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    pub number: u64,
}

/// What a worker did, in order.
pub enum Event {
    Start(Start),
    End(End),
    /// The ends of a worker up to this number were taken note of.
    Noted(String, u64),
    /// The lease of a worker has passed.
    Lapsed(String),
}

struct Content {
    file: BufWriter<File>,
    events: Vec<(Duration, Event)>,
    /// Highest number of an end of each worker that was taken note of.
    noted: HashMap<String, u64>,
}

pub struct Record {
    begin: Instant,
    content: Mutex<Content>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let content = Content {
            file: BufWriter::new(File::create(path)?),
            events: Vec::new(),
            noted: HashMap::new(),
        };
        Ok(Self {
            begin: Instant::now(),
            content: Mutex::new(content),
        })
    }

    pub fn now(&self) -> Duration {
        self.begin.elapsed()
    }

    pub fn line(&self, line: &str) {
        let mut content = self.content.lock().unwrap();
        _ = writeln!(
            content.file,
            "{:8.3} {line}",
            self.begin.elapsed().as_secs_f64()
        );
        _ = content.file.flush();
    }

    /// A line that is shown as well.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.line(line);
    }

    pub fn start(&self, start: Start) {
        let at = self.now();
        let mut content = self.content.lock().unwrap();
        let line = format!(
            "{:8.3} start {} run {} on {}",
            at.as_secs_f64(),
            start.task,
            start.run,
            start.worker
        );
        _ = writeln!(content.file, "{line}");
        content.events.push((at, Event::Start(start)));
    }

    pub fn end(&self, end: End) {
        let at = self.now();
        let mut content = self.content.lock().unwrap();
        let line = format!(
            "{:8.3} end {} run {} on {} {} number {}",
            at.as_secs_f64(),
            end.task,
            end.run,
            end.worker,
            end.how,
            end.number
        );
        _ = writeln!(content.file, "{line}");
        content.events.push((at, Event::End(end)));
    }

    pub fn take_note(&self, worker: &str, number: u64) {
        let mut content = self.content.lock().unwrap();
        let before = content.noted.insert(worker.to_owned(), number).unwrap_or(0);
        if number > before {
            let line = format!(
                "{:8.3} noted ends of {worker} up to {number}",
                self.begin.elapsed().as_secs_f64()
            );
            _ = writeln!(content.file, "{line}");
            let at = self.now();
            content
                .events
                .push((at, Event::Noted(worker.to_owned(), number)));
        } else {
            content.noted.insert(worker.to_owned(), before);
        }
    }

    pub fn lapse(&self, worker: &str) {
        let at = self.now();
        let mut content = self.content.lock().unwrap();
        _ = writeln!(
            content.file,
            "{:8.3} lease of {worker} has passed",
            at.as_secs_f64()
        );
        content.events.push((at, Event::Lapsed(worker.to_owned())));
    }

    /// Calls `judge` with all events.
    pub fn judge<T>(&self, judge: impl FnOnce(&[(Duration, Event)]) -> T) -> T {
        judge(&self.content.lock().unwrap().events)
    }
}
