//! Stand-in of the policy service. It allows all workers.

use crate::base::{Request, Reply, ok, quoted, serve, sleep_ms};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

pub const DECIDE_MS: u64 = 800;
pub const PER_WORKER_MS: u64 = 50;
pub const VALID_MS: u64 = 3_000;

/// Starts the service; returns its address and the time in microseconds at which the call that is
/// being answered came, or 0.
pub fn start() -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let busy = Arc::new(AtomicU64::new(0));
    let since = Arc::clone(&busy);
    // One call at a time for each calling machine; only the owner calls.
    let turn = Mutex::new(());
    let answer = move |request: &Request| -> Reply {
        let _turn = turn.lock().unwrap();
        since.store(crate::base::micros(), Ordering::SeqCst);
        let body = request.json();
        let workers = body.get("workers").list();
        sleep_ms(DECIDE_MS + PER_WORKER_MS * workers.len() as u64);
        let rows = workers.iter().map(|worker| format!("[{},\"ticket-1\"]", quoted(worker.text())));
        let rows = rows.collect::<Vec<_>>().join(",");
        since.store(0, Ordering::SeqCst);
        ok(format!("{{\"allowed\":[{rows}],\"validMs\":{VALID_MS}}}"))
    };
    std::thread::spawn(move || serve(listener, Arc::new(answer)));
    (address, busy)
}
