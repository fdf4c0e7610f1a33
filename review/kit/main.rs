//! Stand-ins and cases of the independent review.
//!
//!     kit platform STORE CLOUD BEAT_MS
//!     kit worker LISTEN OPTIONS
//!     kit case NAME RECORD
//!
//! A case exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` it leaves the disruption out.

mod advice;
mod base;
mod cases;
mod fleet;
mod platform;
mod worker;

use std::net::TcpListener;

/// Ends this process when the one that started it has ended.
fn end_with_parent() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let word = |at: usize| args.get(at).cloned().unwrap_or_default();
    let listen = |at: usize| TcpListener::bind(word(at)).expect("the address is free");
    match word(1).as_str() {
        "platform" => {
            end_with_parent();
            platform::run(listen(2), listen(3), word(4).parse().unwrap());
        }
        "worker" => {
            end_with_parent();
            worker::run(listen(2), worker::options(&args));
        }
        "case" => std::process::exit(cases::run(&word(2), &word(3))),
        _ => std::process::exit(2),
    }
}
