//! `medlarctl` against a minimal fake instance.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use medlarreel::ctl::{CommandOutput, ExitCode, run};
use medlarreel::operators::advice::advice;
use medlarreel_core::code::Code;
use serde_json::{Value, json};

const TOKEN: &str = "0123456789abcdef";
const PRESET_PATH: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/presets/ordinary.ini"
);

/// Path prefix, status and JSON body of the responses of the fake.
type ScriptedResponses = Vec<(&'static str, u16, Value)>;

/// Requests received by the fake, as `METHOD path body`.
type ReceivedRequests = Arc<Mutex<Vec<String>>>;

/// Starts a fake instance. It closes the connection of a request without a scripted
/// response.
fn start_fake_instance(script: ScriptedResponses) -> (SocketAddr, ReceivedRequests) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback address is free");
    let address = listener.local_addr().expect("listener has an address");
    let received = ReceivedRequests::default();
    let request_log = Arc::clone(&received);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve(stream, &script, &request_log);
        }
    });
    (address, received)
}

fn serve(mut stream: TcpStream, script: &ScriptedResponses, request_log: &ReceivedRequests) {
    let mut reader = BufReader::new(stream.try_clone().expect("stream can be cloned"));
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap_or(0) == 0 {
            return;
        }
    }
    let lower_head = head.to_lowercase();
    let length = lower_head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |text| text.parse().expect("length is a number"))];
    reader.read_exact(&mut body).expect("body follows");
    let mut words = head.split(' ');
    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let body = String::from_utf8(body).expect("body is text");
    let record = format!("{method} {path} {body}");
    request_log.lock().expect("no panic before").push(record);
    let is_authorized = method == "GET" || head.contains(&format!("Bearer {TOKEN}"));
    let refusal = (
        "",
        401,
        json!({"code": 600, "text": "a token is required", "hint": "add it"}),
    );
    let entry = script.iter().find(|(prefix, ..)| path.starts_with(prefix));
    if let Some((_, status, response)) = entry
        .filter(|_| is_authorized)
        .or((!is_authorized).then_some(&refusal))
    {
        let response = response.to_string();
        let length = response.len();
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
        let _ = stream.write_all(format!("{head}{response}").as_bytes());
    }
}

fn run_ctl(args: &[&str]) -> CommandOutput {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    run(&args)
}

/// Runs a command against an instance with the operator token.
fn run_against(instance: SocketAddr, args: &[&str]) -> CommandOutput {
    let instance = instance.to_string();
    let options = ["--instance", &instance, "--token", TOKEN];
    run_ctl(&[args, &options].concat())
}

fn status_body(preset: &str, activations: u32) -> Value {
    json!({
        "instance": 7, "club": "kashmir", "domain": "loft-a", "ready": true, "next": 42,
        "log_reachable": true, "activations": activations,
        "preset": {"name": preset, "version": 2, "since": 40, "budget": 232, "club_slots": 150},
        "holder": {"instance": 7, "peers": "127.0.0.1:7001", "term": 1, "round": 3},
        "members": [{"instance": 7, "domain": "loft-a", "peers": "127.0.0.1:7001", "heard": true}],
        "upstreams": [{
            "name": "intake-1\u{1b}[2J", "service": "intake", "domain": "loft-a",
            "address": "127.0.0.1:8001", "dispatcher": null, "in_flight": 2, "waiting": 1,
            "allowance": 6, "health": "alive", "lease": "held", "lease_left_ms": 700
        }],
        "services": [{"name": "intake", "shards": 1024, "unowned": 1024, "owners": []}],
        "ranks": [], "audit": []
    })
}

fn presets_body() -> Value {
    json!({"presets": [{"name": "ordinary", "version": 4, "text": ""}]})
}

fn outcome_body(outcome: &str, code: Option<u16>) -> Value {
    json!({"proposal": 123, "outcome": outcome, "code": code, "offset": 9})
}

/// Guards against publishing without the version check or with a different text.
#[test]
fn publish_sends_the_text_with_the_version_that_it_saw() {
    let script = vec![
        ("/control/presets", 200, presets_body()),
        ("/control/publish", 200, outcome_body("accepted", None)),
    ];
    let (instance, received) = start_fake_instance(script);

    let output = run_against(instance, &["publish", PRESET_PATH]);

    assert_eq!(
        (output.exit_code, output.stderr.as_str()),
        (ExitCode::Done, "")
    );
    assert_eq!(
        output.stdout,
        "preset ordinary version 5 published (proposal 123, offset 9)\n"
    );
    let sent = received.lock().expect("no panic before")[1].clone();
    let body = sent
        .strip_prefix("POST /control/publish ")
        .expect("action follows the query");
    let body: Value = serde_json::from_str(body).expect("body is JSON");
    assert_eq!(
        (&body["name"], &body["expected"]),
        (&json!("ordinary"), &json!(4))
    );
    assert_eq!(
        body["text"],
        std::fs::read_to_string(PRESET_PATH).expect("example exists")
    );
    assert!(body["proposal"].is_u64());
}

/// Guards against an activation that overrides another operator's activation.
#[test]
fn activate_sends_the_activation_count_and_reports_a_conflict() {
    let script = vec![
        ("/control/presets", 200, presets_body()),
        ("/control/status", 200, status_body("peaks", 17)),
        (
            "/control/activate",
            409,
            outcome_body("rejected", Some(500)),
        ),
    ];
    let (instance, received) = start_fake_instance(script);

    let output = run_against(instance, &["activate", "ordinary"]);

    assert_eq!(output.exit_code, ExitCode::Rejected);
    assert!(
        output
            .stderr
            .starts_with("code 500: another proposal came first (proposal 123)\n")
    );
    let sent = received.lock().expect("no panic before")[2].clone();
    assert!(sent.contains("\"version\":4,\"expected\":17,"), "{sent}");
}

/// Guards against reporting an action as done or failed when its response was lost.
#[test]
fn a_lost_response_to_an_action_is_unknown_and_names_the_proposal() {
    let (instance, received) = start_fake_instance(Vec::new());

    let output = run_against(instance, &["release", "--upstream", "intake-1"]);

    assert_eq!(output.exit_code, ExitCode::Unknown);
    let sent = received.lock().expect("no panic before")[0].clone();
    let body: Value =
        serde_json::from_str(sent.splitn(3, ' ').last().expect("body")).expect("JSON");
    assert_eq!(body["upstream"], "intake-1");
    let hint = format!("medlarctl proposal {} --instance", body["proposal"]);
    assert!(output.stderr.contains(&hint), "{}", output.stderr);
}

/// Guards against reporting uncertain refusals as certain ones.
#[test]
fn each_response_to_an_action_has_its_exit_code() {
    let failure = |code: u16| json!({"code": code, "text": "text", "hint": "hint"});
    let cases = [
        (200, outcome_body("accepted", None), ExitCode::Done),
        (200, outcome_body("unknown", Some(504)), ExitCode::Unknown),
        (404, outcome_body("rejected", Some(506)), ExitCode::Rejected),
        (503, failure(505), ExitCode::Unknown),
        (503, failure(104), ExitCode::Unreachable),
        (404, failure(506), ExitCode::Rejected),
        (500, json!("broken"), ExitCode::Unknown),
    ];
    for (http, response, exit) in cases {
        let (instance, _) = start_fake_instance(vec![("/control/release", http, response.clone())]);
        let output = run_against(instance, &["release", "--domain", "loft-b"]);
        assert_eq!(output.exit_code, exit, "{http} {response}");
    }
}

/// Guards against an outcome that cannot be queried later.
#[test]
fn proposal_reports_the_outcome() {
    let script = vec![(
        "/control/proposal?id=123",
        200,
        outcome_body("rejected", Some(502)),
    )];
    let (instance, _) = start_fake_instance(script);

    let output = run_against(instance, &["proposal", "123", "--json"]);

    assert_eq!(output.exit_code, ExitCode::Rejected);
    let json: Value = serde_json::from_str(&output.stdout).expect("output is JSON");
    assert_eq!(
        (&json["code"], &json["proposal"]),
        (&json!(502), &json!(123))
    );
}

/// Guards against reporting instances with different active presets as the same, and an
/// unreachable instance as success.
#[test]
fn where_compares_the_instances_and_reports_the_unreachable() {
    let (first, _) =
        start_fake_instance(vec![("/control/status", 200, status_body("ordinary", 3))]);
    let (second, _) = start_fake_instance(vec![("/control/status", 200, status_body("peaks", 4))]);
    let (first, second) = (first.to_string(), second.to_string());

    let same = run_ctl(&["where", "--instance", &first, "--instance", &first]);
    let different = run_ctl(&[
        "where",
        "--instance",
        &first,
        "--instance",
        &second,
        "--json",
    ]);
    let unreachable = run_ctl(&["where", "--instance", &first, "--instance", "127.0.0.1:1"]);

    assert_eq!(same.exit_code, ExitCode::Done);
    assert!(
        same.stdout.ends_with("the same at all instances\n"),
        "{}",
        same.stdout
    );
    let json: Value = serde_json::from_str(&different.stdout).expect("output is JSON");
    assert_eq!(json["same"], json!(false));
    assert_eq!(unreachable.exit_code, ExitCode::Unreachable);
    assert!(
        unreachable.stdout.contains("code 113"),
        "{}",
        unreachable.stdout
    );
}

/// Guards against keys that are altered by encoding, and names that control the terminal.
#[test]
fn queries_encode_their_arguments_and_show_plain_text() {
    let owner = json!({"service": "intake", "shard": 5, "owner": "intake-1", "standby": null,
        "dispatcher": "127.0.0.1:7001", "placed": null});
    let entry =
        json!({"offset": 9, "subject": "plan", "cause": "join", "before": "", "after": "x"});
    let script = vec![
        (
            "/control/owner?service=intake&key=a%20%26%2Fb%C3%A9",
            200,
            owner,
        ),
        ("/control/status", 200, status_body("ordinary", 3)),
        ("/control/audit?after=8", 200, json!({"entries": [entry]})),
    ];
    let (instance, _) = start_fake_instance(script);

    let owner = run_against(instance, &["owner", "intake", "a &/bé"]);
    let status = run_against(instance, &["status"]);
    let audit = run_against(instance, &["audit", "--after", "8"]);

    assert!(
        owner.stdout.contains("owner      intake-1\n"),
        "{}",
        owner.stderr
    );
    assert!(status.stdout.contains("intake-1?[2J"), "{}", status.stdout);
    assert_eq!(audit.stdout, "       9 plan: join: x\n");
}

/// Guards against a refused token that is reported as another kind of failure or as
/// success.
#[test]
fn a_wrong_token_is_rejected_with_its_code() {
    let (instance, _) = start_fake_instance(vec![(
        "/control/release",
        200,
        outcome_body("accepted", None),
    )]);
    let instance = instance.to_string();

    let args = [
        "release",
        "--domain",
        "x",
        "--instance",
        &instance,
        "--token",
        "wrong",
    ];
    let output = run_ctl(&args);

    assert_eq!(output.exit_code, ExitCode::Rejected);
    assert!(output.stderr.starts_with("code 600: "), "{}", output.stderr);
}

/// Guards against invalid command lines that are interpreted instead of refused.
#[test]
fn an_invalid_command_line_is_refused_as_a_usage_error() {
    let remote = ["--instance", "127.0.0.1:1"];
    let cases: &[&[&str]] = &[
        &[],
        &["publsh"],
        &["publish"],
        &["publish", PRESET_PATH, remote[0], remote[1]],
        &["activate", "a", "b", remote[0], remote[1], "--token", TOKEN],
        &["release", remote[0], remote[1], "--token", TOKEN],
        &[
            "release",
            "--upstream",
            "a",
            "--domain",
            "b",
            remote[0],
            remote[1],
            "--token",
            TOKEN,
        ],
        &["status"],
        &["status", "--instance", "localhost:7002"],
        &["status", remote[0], remote[1], remote[0], remote[1]],
        &["audit", "--after", "-1", remote[0], remote[1]],
        &[
            "status",
            remote[0],
            remote[1],
            "--token-file",
            "/nonexistent",
        ],
        &["check"],
        &["defaults", "presets"],
        &["codes", "--instance", "127.0.0.1:1"],
    ];
    for case in cases {
        let output = run_ctl(case);
        assert_eq!(output.exit_code, ExitCode::Usage, "{case:?}");
        assert!(output.stderr.starts_with("code "), "{}", output.stderr);
    }
}

/// Guards against a command without help text or example.
#[test]
fn every_command_has_help_with_an_example() {
    let overview = run_ctl(&["--help"]).stdout;
    let listed = overview.lines().filter_map(|line| line.strip_prefix("  "));
    let names: Vec<_> = listed.filter_map(|line| line.split(' ').next()).collect();

    assert_eq!(names.len(), 11);
    for name in names {
        let help = run_ctl(&[name, "--help"]);
        assert_eq!(help.exit_code, ExitCode::Done);
        assert!(
            help.stdout.contains(&format!("Example: medlarctl {name}")),
            "{name}"
        );
    }
}

/// Guards against validating a file with the rules of the other kind.
#[test]
fn check_tells_settings_from_presets_and_lists_every_mistake() {
    let folder = std::env::temp_dir().join(format!("medlarctl-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("temporary folder can be made");
    let path = folder.join("file.ini").display().to_string();
    let write = |text: &str| std::fs::write(&path, text).expect("file can be written");

    let valid = run_ctl(&["check", PRESET_PATH]);
    write(&run_ctl(&["defaults", "settings"]).stdout);
    let settings = run_ctl(&["check", &path]);
    write("[preset]\nname = X\n");
    let preset = run_ctl(&["check", &path, "--json"]);
    std::fs::remove_dir_all(&folder).expect("temporary folder can be removed");

    assert_eq!(valid.exit_code, ExitCode::Done);
    assert!(valid.stdout.ends_with("valid preset\n"));
    assert_eq!(settings.exit_code, ExitCode::Mistakes);
    assert!(
        settings.stderr.contains(&format!("{path}:")),
        "{}",
        settings.stderr
    );
    assert_eq!(settings.stderr.matches("code 405").count(), 2);
    let json: Value = serde_json::from_str(&preset.stdout).expect("output is JSON");
    assert_eq!(json["mistakes"][0]["code"], 408);
    assert_eq!(json["mistakes"][1]["line"], 2);
}

/// Guards against codes missing from the list.
#[test]
fn codes_lists_every_code() {
    let output = run_ctl(&["codes"]).stdout;

    assert_eq!(output.lines().count(), Code::ALL.len());
    for code in Code::ALL {
        assert!(output.contains(&format!("{} ", code.number())));
    }
}

/// Guards against a documented table of codes that differs from the codes in the source.
#[test]
fn the_table_of_result_codes_is_complete() {
    let table = include_str!("../../../docs/result-codes.md");
    let row = |code: &Code| {
        let status = Some(code.status()).filter(|status| *status > 0);
        let status = status.map_or(String::new(), |status| status.to_string());
        let outcome = code.outcome().map_or("", |outcome| outcome.text());
        let (number, text) = (code.number(), code.text());
        format!(
            "| {number} | {status} | {outcome} | {text} | {} |",
            advice(*code)
        )
    };

    let expected: Vec<_> = Code::ALL.iter().map(row).collect();
    let numbered = |line: &&str| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit();
    let listed: Vec<_> = table.lines().filter(numbered).collect();

    assert_eq!(listed, expected);
}

/// Guards against a binary that drops the exit code or mixes up the output streams.
#[test]
fn the_binary_passes_on_exit_code_and_streams() {
    let binary = env!("CARGO_BIN_EXE_medlarctl");
    let output = std::process::Command::new(binary).arg("nothing").output();
    let output = output.expect("binary runs");

    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
    assert!(output.stderr.starts_with(b"code 602: "));
}
