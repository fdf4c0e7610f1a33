//! Minimal HTTP/1.1 server and client over blocking sockets.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

pub struct Reply {
    pub status: u16,
    pub body: String,
}

pub fn reply(status: u16, body: String) -> Option<Reply> {
    Some(Reply { status, body })
}

/// Answers requests; `None` closes the connection without an answer.
pub type Handler = dyn Fn(&Request) -> Option<Reply> + Send + Sync;

pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    serve_over(listener, handler, None);
}

/// The link of a machine: its channels share the bandwidth.
pub struct Link {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    pub fn new(mbps: f64) -> Self {
        Self {
            bytes_per_s: mbps * 1e6 / 8.0,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until this many bytes have passed.
    fn pass(&self, bytes: usize) {
        let mut free_at = self.free_at.lock().unwrap();
        *free_at = (*free_at).max(Instant::now())
            + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let wait = free_at.saturating_duration_since(Instant::now());
        drop(free_at);
        thread::sleep(wait);
    }
}

/// Serves over the link of the caller, if one is given.
pub fn serve_over(listener: TcpListener, handler: Arc<Handler>, link: Option<Arc<Link>>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, link) = (Arc::clone(&handler), link.clone());
            thread::spawn(move || _ = serve_connection(stream, &handler, link.as_deref()));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Arc<Handler>, link: Option<&Link>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        let answer = handler(&request)?;
        let message = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            answer.status,
            answer.body.len(),
            answer.body
        );
        for packet in message.as_bytes().chunks(1_448) {
            if let Some(link) = link {
                link.pass(packet.len());
            }
            writer.write_all(packet).ok()?;
        }
    }
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &HashMap<String, String>,
) -> Option<String> {
    let length = headers
        .get("content-length")
        .map_or(Some(0), |value| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), unescape(value)));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        if let Some(value) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            out.push(value);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own. Returns `None` if there is no complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut message = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n",
        body.len()
    );
    for (name, value) in headers {
        message += &format!("{name}: {value}\r\n");
    }
    message += "\r\n";
    message += body;
    stream.write_all(message.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Some(Reply { status, body })
}
