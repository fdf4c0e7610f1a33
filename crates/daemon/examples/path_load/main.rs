//! Throughput and added latency of the request path on loopback, next to a plain pass-through in
//! the same run. Usage: `path_load [callers] [seconds]`.

mod fleet;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fleet::entry;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep, sleep_until};

const WORKERS: usize = 16;
const ANSWER_BYTES: usize = 10_000;
const ECHOED: [&str; 2] = ["sesamedeal-request-id", "sesamedeal-attempt"];

fn runtime(name: &str, threads: usize) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(threads)
        .thread_name(name)
        .enable_all();
    builder.build().expect("runtime")
}

/// Processor time used so far by the threads of a name. Unlike throughput, it hardly depends on
/// what else runs on the machine.
fn processor_time(name: &str) -> Duration {
    let mut ticks: i64 = 0;
    for task in std::fs::read_dir("/proc/self/task").expect("tasks") {
        let path = task.expect("task").path().join("stat");
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let Some((head, tail)) = text.rsplit_once(") ") else {
            continue;
        };
        if head.ends_with(&format!("({name}")) {
            let fields: Vec<i64> = tail
                .split(' ')
                .filter_map(|field| field.parse().ok())
                .collect();
            // Without the state letter, user and system time are the fields 11 and 12.
            ticks += fields[10] + fields[11];
        }
    }
    Duration::from_millis(ticks.unsigned_abs() * 10)
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address")
}

/// Serves requests with a function on a free port.
async fn serve<F, A>(answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = TcpListener::bind(loopback()).await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).expect("nodelay");
            let answer = answer.clone();
            let service = service_fn(move |request| {
                let answer = answer(request);
                async move { Ok::<_, std::convert::Infallible>(answer.await) }
            });
            let connection = server::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move { drop(connection.await) });
        }
    });
    address
}

async fn backend() -> SocketAddr {
    let body = Bytes::from(vec![b'x'; ANSWER_BYTES]);
    serve(move |request| {
        let body = body.clone();
        async move {
            let mut response = Response::new(Full::new(body));
            for name in ECHOED {
                if let Some(value) = request.headers().get(name) {
                    response.headers_mut().insert(name, value.clone());
                }
            }
            drop(request.into_body().collect().await);
            response
        }
    })
    .await
}

/// A pass-through without any rule: it sends each request to the next backend server.
async fn pass_through(backends: Vec<SocketAddr>) -> SocketAddr {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let next = Arc::new(AtomicUsize::new(0));
    serve(move |request| {
        let (client, next, backends) = (client.clone(), Arc::clone(&next), backends.clone());
        async move {
            let body = request
                .into_body()
                .collect()
                .await
                .expect("body")
                .to_bytes();
            let index = next.fetch_add(1, Ordering::Relaxed) % backends.len();
            let uri = format!("http://{}/run", backends[index]);
            let request = Request::post(uri).body(Full::new(body)).expect("request");
            let response = client.request(request).await.expect("answer");
            let body = response.into_body().collect().await.expect("body");
            Response::new(Full::new(body.to_bytes()))
        }
    })
    .await
}

/// One caller with a connection of its own; returns the latencies of its requests. With a pace,
/// each request starts at its planned time, and its latency counts from there.
async fn caller(address: SocketAddr, until: Instant, pace: Option<Duration>) -> Vec<Duration> {
    let stream = TcpStream::connect(address).await.expect("connection");
    stream.set_nodelay(true).expect("nodelay");
    let (mut sender, connection) = client::handshake(TokioIo::new(stream))
        .await
        .expect("client");
    tokio::spawn(async move { drop(connection.await) });
    let mut latencies = Vec::new();
    let mut planned = Instant::now();
    while planned < until {
        if let Some(pace) = pace {
            planned += pace;
            sleep_until(planned).await;
        } else {
            planned = Instant::now();
        }
        let begin = Instant::now();
        let request = Request::post("/v1/queues/swap/jobs")
            .header("host", "load")
            .body(Full::new(Bytes::from_static(b"{}")))
            .expect("request");
        let response = sender.send_request(request).await.expect("answer");
        assert_eq!(response.status(), 200);
        let body = response
            .into_body()
            .collect()
            .await
            .expect("body")
            .to_bytes();
        assert_eq!(body.len(), ANSWER_BYTES);
        latencies.push(begin.elapsed());
    }
    latencies
}

async fn load(
    address: SocketAddr,
    callers: usize,
    time: Duration,
    rate: Option<f64>,
) -> (f64, Duration, Duration) {
    let begin = Instant::now();
    let until = begin + time;
    let pace = rate.map(|rate| Duration::from_secs_f64(callers as f64 / rate));
    let mut tasks = Vec::new();
    for index in 0..callers {
        if let Some(pace) = pace {
            sleep(pace / u32::try_from(callers).expect("callers")).await;
        }
        let _: usize = index;
        tasks.push(tokio::spawn(caller(address, until, pace)));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.expect("caller"));
    }
    let elapsed = begin.elapsed().as_secs_f64();
    all.sort_unstable();
    let at = |part: f64| all[((all.len() - 1) as f64 * part) as usize];
    (all.len() as f64 / elapsed, at(0.5), at(0.99))
}

fn main() {
    let arguments: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let callers = arguments.first().map_or(64, |callers| *callers as usize);
    let time = Duration::from_secs(arguments.get(1).copied().unwrap_or(3));
    let (backs, load_side) = (runtime("backs", 2), runtime("load", 2));
    let (middle, other) = (runtime("entry", 3), runtime("plain", 3));
    let backends: Vec<SocketAddr> = (0..WORKERS).map(|_| backs.block_on(backend())).collect();
    let entry = middle.block_on(entry(&backends));
    let plain = other.block_on(pass_through(backends));
    std::thread::sleep(Duration::from_secs(4));
    load_side.block_on(async {
        load(entry.address(), callers, Duration::from_secs(1), None).await;
        load(plain, callers, Duration::from_secs(1), None).await;
        for round in 0..3 {
            let before = processor_time("plain");
            let (through, ..) = load(plain, callers, time, None).await;
            let plain_cost = (processor_time("plain") - before).as_secs_f64() * 1e6;
            let before = processor_time("entry");
            let (ours, ..) = load(entry.address(), callers, time, None).await;
            let entry_cost = (processor_time("entry") - before).as_secs_f64() * 1e6;
            let seconds = time.as_secs_f64();
            println!(
                "processor time per request: pass-through {:.1} µs, entry {:.1} µs",
                plain_cost / (through * seconds),
                entry_cost / (ours * seconds)
            );
            let rate = through.min(ours) / 2.0;
            let (_, base, base99) = load(plain, callers, time, Some(rate)).await;
            let (_, own, own99) = load(entry.address(), callers, time, Some(rate)).await;
            println!(
                "round {round}: pass-through {through:.0}/s, entry {ours:.0}/s ({:.0}%); at {rate:.0}/s: median {base:?} and {own:?}, p99 {base99:?} and {own99:?}",
                100.0 * ours / through
            );
        }
    });
    std::process::exit(0);
}
