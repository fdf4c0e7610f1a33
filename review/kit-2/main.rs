//! Runs one case of the review: `standin CASE FOLDER`. Exits with 1 if the rule was broken, with 0
//! if it held and with 2 if the case could not run. With TROUBLE=0 there is no disruption.

mod cases;
mod http;
mod json;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("sesamedeal-case-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let code = cases::run(name, folder, &temporary, is_troubled);
    if std::env::var("KEEP_LOGS").is_err() {
        std::fs::remove_dir_all(&temporary).ok();
    }
    ExitCode::from(code)
}
