//! The built `sesamedeal` binary: exit codes and output of `sheet check`.

use std::path::PathBuf;
use std::process::{Command, Stdio};

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn check(file: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sesamedeal"));
    command.args(["sheet", "check", "--json"]).arg(file);
    command
}

/// Guards against example sheets that the command rejects.
#[test]
fn good_sheets() {
    for name in ["trust.csv", "consorcio.csv", "small.csv", "demo.csv"] {
        let output = check(&example(name)).output().expect("command");
        assert_eq!(output.status.code(), Some(0), "{name}");
    }
}

/// Guards against a truncated sheet that passes, or an error without a place and an advice.
#[test]
fn truncated_sheet() {
    let text = std::fs::read_to_string(example("small.csv")).expect("sheet");
    let (kept, _) = text.split_once(",end,").expect("end row");
    let file = tempfile::NamedTempFile::new().expect("temporary file");
    std::fs::write(file.path(), kept).expect("sheet");
    let output = check(&file.path().to_path_buf()).output().expect("command");
    assert_eq!(output.status.code(), Some(32));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("the end row is missing"), "{errors}");
    assert!(
        errors.contains("line ") && errors.contains("what to do: "),
        "{errors}"
    );
}

/// Guards against a panic when the reader of the output has gone, as with `head`.
#[test]
fn closed_pipe() {
    let mut command = check(&example("trust.csv"));
    let mut child = command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("command");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("end");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!errors.contains("panicked"), "{errors}");
    assert_eq!(output.status.code(), Some(0));
}
