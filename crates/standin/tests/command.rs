//! Tests of the programs' command lines.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Output, Stdio};

use medlarreel_standin::ports::reserve_ports;

const SERVERS: [&str; 3] = [
    env!("CARGO_BIN_EXE_standin-log"),
    env!("CARGO_BIN_EXE_standin-list"),
    env!("CARGO_BIN_EXE_standin-upstream"),
];

/// Child process that is killed when dropped.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a server program and returns it with the address that it prints.
fn start_server(program: &str, args: &[&str]) -> (ChildGuard, String) {
    let mut child = Command::new(program);
    let child = child
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut child_guard = ChildGuard(child);
    let output = child_guard.0.stdout.take().expect("the output is a pipe");
    let mut line = String::new();
    BufReader::new(output)
        .read_line(&mut line)
        .expect("the output is text");
    let address = line
        .strip_prefix("listening on ")
        .expect("the address is announced");
    (child_guard, address.trim().to_owned())
}

fn run_client(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_standin-client");
    Command::new(program)
        .args(args)
        .output()
        .expect("the client runs")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).trim().to_owned()
}

/// Guards against a usage text that lacks the common options, and against an unknown
/// option that is ignored.
#[test]
fn help_succeeds_and_wrong_options_fail() {
    for program in SERVERS {
        let run_with = |option| Command::new(program).arg(option).output().expect("it runs");
        assert!(
            stdout_text(&run_with("--help")).contains("--listen"),
            "{program}"
        );
        assert!(!run_with("--port").status.success(), "{program}");
    }
}

/// Guards against a client that reports success for a refused request, which would hide
/// failures from scripts.
#[test]
fn the_client_reports_upstream_code_and_outcome() {
    let options = [
        "--name",
        "u1",
        "--service",
        "intake",
        "--slots",
        "1",
        "--work",
        "1ms",
    ];
    let (_server, address) = start_server(SERVERS[2], &options);

    let served = run_client(&["--to", &address, "--path", "/intake/x"]);
    assert_eq!(
        stdout_text(&served),
        "upstream=u1 status=200 code=- outcome=done"
    );
    assert!(served.status.success());

    let refused = [
        "--to",
        &address,
        "--path",
        "/x",
        "--header",
        "medlar-deadline-ms: 0",
    ];
    let refused = run_client(&refused);
    assert_eq!(
        stdout_text(&refused),
        "upstream=- status=503 code=107 outcome=not-run"
    );
    assert!(!refused.status.success());
}

/// Guards against a failed exchange that is reported like a response.
#[tokio::test]
async fn the_client_fails_without_an_answer() {
    let ports = reserve_ports(1).await.expect("a port is free");

    let output = run_client(&["--to", &ports[0].address().to_string(), "--path", "/x"]);

    assert!(stdout_text(&output).contains("outcome=no-answer"));
    assert!(!output.status.success());
}
