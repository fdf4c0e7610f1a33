//! Runs a case of the review: `fleet CASE RECORD TEMP`. `TROUBLE=0` leaves out the disruption. Exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod record;
mod store;
mod worker;
mod world;

use std::process::ExitCode;

use record::Record;

/// What became of a case.
pub enum Verdict {
    Broken(String),
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path, temp] = args.as_slice() else {
        eprintln!("fleet CASE RECORD TEMP");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(path) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let verdict = match case.as_str() {
        "many-ends" => cases::many_ends(record, temp, has_trouble),
        "full-record" => cases::full_record(record, temp, has_trouble),
        "quota-takeover" => cases::quota_takeover(record, temp, has_trouble),
        "repeated-job" => cases::repeated_job(record, temp, has_trouble),
        "slow-load" => cases::slow_load(record, temp, has_trouble),
        "moved-queue" => cases::moved_queue(record, temp, has_trouble),
        "stale-config" => cases::stale_config(record, temp, has_trouble),
        "dropped-route" => cases::dropped_route(record, temp, has_trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    match verdict {
        Verdict::Broken(what) => {
            println!("BROKEN: {what}");
            ExitCode::from(1)
        }
        Verdict::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Verdict::NotRun(why) => {
            println!("not run: {why}");
            ExitCode::from(2)
        }
    }
}
