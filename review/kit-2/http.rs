//! HTTP/1.1 server and client of the stand-ins, over loopback.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the caller has closed the connection.
    pub is_gone: Box<dyn Fn() -> bool>,
}

impl Request {
    pub fn header(&self, name: &str) -> String {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    pub fn param(&self, name: &str) -> String {
        let mut query = self.query.iter();
        let found = query.find(|(key, _)| key == name);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }
}

pub type Handler = Arc<dyn Fn(&Request) -> (u16, String) + Send + Sync>;

/// A server that can be taken down, with its connections, and brought up again.
pub struct Server {
    pub addr: SocketAddr,
    up: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    handler: Handler,
}

impl Server {
    pub fn start(handler: Handler) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let server = Server {
            addr,
            up: Arc::new(AtomicBool::new(true)),
            open: Arc::default(),
            handler,
        };
        server.accept(listener);
        server
    }

    fn accept(&self, listener: TcpListener) {
        let (up, open, handler) = (self.up.clone(), self.open.clone(), self.handler.clone());
        listener.set_nonblocking(true).expect("a socket option");
        thread::spawn(move || {
            while up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        stream.set_nodelay(true).ok();
                        if let Ok(copy) = stream.try_clone() {
                            open.lock().unwrap().push(copy);
                        }
                        let handler = handler.clone();
                        thread::spawn(move || serve(stream, &handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Ends the server as a killed process does.
    pub fn kill(&self) {
        self.up.store(false, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
        thread::sleep(Duration::from_millis(5));
    }

    pub fn restart(&self) {
        let listener = TcpListener::bind(self.addr).expect("the same port again");
        self.up.store(true, Ordering::SeqCst);
        self.accept(listener);
    }
}

fn serve(mut stream: TcpStream, handler: &Handler) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        let (status, body) = handler(&request);
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let (head, mut body) = read_message(stream, buffer)?;
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let target = first.nth(1)?.to_owned();
    let headers = header_lines(lines);
    let length = content_length(&headers);
    read_body(stream, &mut body, length)?;
    *buffer = body.split_off(length);
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let copy = stream.try_clone().ok()?;
    Some(Request {
        is_gone: Box::new(move || {
            copy.set_nonblocking(true).ok();
            let peeked = copy.peek(&mut [0]);
            copy.set_nonblocking(false).ok();
            matches!(peeked, Ok(0))
                || matches!(peeked, Err(error) if error.kind() != ErrorKind::WouldBlock)
        }),
        path: path.to_owned(),
        query: query
            .map(|(key, value)| (key.to_owned(), unescape(value)))
            .collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Reads up to the end of a head; returns it and what came after it.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 16_384];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let rest = buffer.split_off(end + 4);
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            return Some((head, rest));
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend(&chunk[..count]),
        }
    }
}

fn read_body(stream: &mut TcpStream, body: &mut Vec<u8>, length: usize) -> Option<()> {
    let mut chunk = [0; 16_384];
    while body.len() < length {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => body.extend(&chunk[..count]),
        }
    }
    Some(())
}

fn header_lines<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

fn content_length(headers: &[(String, String)]) -> usize {
    let mut headers = headers.iter();
    let found = headers.find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        if byte == b'%' && rest.len() >= 2 {
            let digits = std::str::from_utf8(&rest[..2]).unwrap_or("3f");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            rest = &rest[2..];
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request on a new connection; `None` if no complete answer comes within `limit`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    text += "\r\n";
    stream.write_all((text + body).as_bytes()).ok()?;
    let (head, mut rest) = read_message(&mut stream, &mut Vec::new())?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let length = content_length(&header_lines(lines));
    read_body(&mut stream, &mut rest, length)?;
    Some((status, String::from_utf8_lossy(&rest).into_owned()))
}
