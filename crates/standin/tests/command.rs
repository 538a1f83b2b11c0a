//! Command lines of the programs.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Output, Stdio};

use medlarreel_standin::server::free_ports;

const SERVERS: [&str; 3] = [
    env!("CARGO_BIN_EXE_standin-log"),
    env!("CARGO_BIN_EXE_standin-list"),
    env!("CARGO_BIN_EXE_standin-upstream"),
];

/// Process that ends with the test.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a server and returns it with the address that it prints.
fn launch(program: &str, args: &[&str]) -> (Running, String) {
    let mut child = Command::new(program);
    let child = child
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut running = Running(child);
    let output = running.0.stdout.take().expect("the output is a pipe");
    let mut line = String::new();
    BufReader::new(output)
        .read_line(&mut line)
        .expect("the output is text");
    let address = line
        .strip_prefix("listening on ")
        .expect("the address is announced");
    (running, address.trim().to_owned())
}

fn client(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_standin-client");
    Command::new(program)
        .args(args)
        .output()
        .expect("the client runs")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).trim().to_owned()
}

/// Guards against a wrong option that is ignored.
#[test]
fn help_succeeds_and_wrong_options_fail() {
    for program in SERVERS {
        let run = |option| Command::new(program).arg(option).output().expect("it runs");
        assert!(text(&run("--help")).contains("--listen"), "{program}");
        assert!(!run("--port").status.success(), "{program}");
    }
}

/// Guards against a client that reports success for a refusal, which would let
/// a run with failures pass.
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
    let (_server, address) = launch(SERVERS[2], &options);

    let served = client(&["--to", &address, "--path", "/intake/x"]);
    assert_eq!(text(&served), "upstream=u1 status=200 code=- outcome=done");
    assert!(served.status.success());

    let refused = [
        "--to",
        &address,
        "--path",
        "/x",
        "--header",
        "medlar-deadline-ms: 0",
    ];
    let refused = client(&refused);
    assert_eq!(
        text(&refused),
        "upstream=- status=503 code=107 outcome=not-run"
    );
    assert!(!refused.status.success());
}

/// Guards against a lost answer that looks like an answer.
#[tokio::test]
async fn the_client_fails_without_an_answer() {
    let port = free_ports(1).await.expect("a port is free")[0];

    let output = client(&["--to", &format!("127.0.0.1:{port}"), "--path", "/x"]);

    assert!(text(&output).contains("outcome=no-answer"));
    assert!(!output.status.success());
}

/// Guards against one port that is handed out to two instances.
#[tokio::test]
async fn free_ports_are_distinct() {
    let mut ports = free_ports(18).await.expect("ports are free");

    ports.sort_unstable();
    ports.dedup();

    assert_eq!(ports.len(), 18);
}
