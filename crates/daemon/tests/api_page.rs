//! The page `docs/api.md`.

mod common;

use common::fleet::{TestFleet, team_key};
use common::raw_backend::{RawBackend, Reaction};
use tokio::process::Command;

/// Guards against a page whose lines do not work, or whose responses have changed.
#[tokio::test]
async fn lines_work() {
    let backend = RawBackend::start(|request| {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        Reaction::Send(request.answer("200 OK", &body))
    })
    .await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let key = team_key().header();
    let key = key.strip_prefix("Bearer ").expect("bearer");
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/api.md");
    let page = std::fs::read_to_string(page).expect("page");
    let lines: Vec<&str> = page.lines().collect();
    let mut checked = 0;
    for pair in lines.windows(2) {
        if !pair[0].starts_with("curl ") {
            continue;
        }
        let output = Command::new("sh")
            .args(["-c", pair[0]])
            .env("ENTRY", entry.address().to_string())
            .env("KEY", key)
            .output()
            .await
            .expect("shell");
        let text = String::from_utf8_lossy(&output.stdout);
        let expected = match pair[1].strip_prefix("# ") {
            Some(code) => format!("sesamedeal-code: {code}\r\n"),
            None => "HTTP/1.1 200 OK\r\n".to_owned(),
        };
        assert!(text.contains(&expected), "{}: {text}", pair[0]);
        checked += 1;
    }
    assert_eq!(checked, 13);
}
