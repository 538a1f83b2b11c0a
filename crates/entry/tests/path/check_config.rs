//! The command that checks a configuration before it is published.

use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::{Value, json};

fn document(version: u64, timeout_s: Value) -> Value {
    json!({
        "version": version,
        "resources": [
            {
                "entryType": "routes",
                "metadata": { "name": "r1" },
                "spec": {
                    "host": "example", "pathPrefix": "/a/", "kind": "safe",
                    "timeoutS": timeout_s, "targetLatencyS": 0.5, "service": "s1",
                },
            },
            { "entryType": "services", "metadata": { "name": "s1" }, "spec": {} },
        ],
    })
}

fn write(name: &str, text: &str) -> PathBuf {
    let name = format!("medlarreel-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn check(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarreel-entry"))
        .args(arguments)
        .output()
        .unwrap()
}

/// Guards against a script that publishes a configuration although the check has failed, and
/// against a check that stops at the first resource that can't be decoded.
#[test]
fn the_exit_code_tells_errors() {
    let mut invalid = document(2, json!("soon"));
    invalid["resources"][1]["spec"] = json!({ "maxConnections": "many" });
    let valid = write("valid.json", &document(1, json!(1.0)).to_string());
    let invalid = write("invalid.json", &invalid.to_string());
    let unreadable = write("unreadable.json", "{");

    let codes = [&valid, &invalid, &unreadable].map(|path| {
        let output = check(&["--check-config", path.to_str().unwrap()]);
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
        )
    });

    let [(valid, _), (invalid, text), (unreadable, _)] = codes;
    assert_eq!((valid, invalid, unreadable), (Some(0), Some(2), Some(2)));
    assert!(text.contains("error: route \"r1\""), "{text}");
    assert!(text.contains("error: service \"s1\""), "{text}");
}

/// Guards against a report that programs can't read, and one that hides what changes.
#[test]
fn json_names_the_differences() {
    let before = write("before.json", &document(1, json!(1.0)).to_string());
    let after = write("after.json", &document(2, json!(2.0)).to_string());

    let output = check(&[
        "--check-config",
        after.to_str().unwrap(),
        "--in-force",
        before.to_str().unwrap(),
        "--json",
    ]);

    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(report["version"], 2);
    assert_eq!(report["problems"], json!([]));
    let changed = &report["differences"][0]["Changed"];
    assert_eq!(changed[0]["Route"], "r1");
    assert_eq!(changed[1][0]["name"], "timeout");
}
