//! Metrics of an instance as text.

use medlarreel_entry::metrics::Metrics;

/// Guards against the name of a route that ends its label, or the line that it is in.
#[test]
fn names_of_routes_are_escaped() {
    let metrics = Metrics::default();

    metrics.count_request("a\"b\\c\nd", "done");

    let text = metrics.encode().unwrap();
    let line = r#"medlarreel_requests_total{route="a\"b\\c\nd",outcome="done"} 1"#;
    assert!(text.lines().any(|found| found == line), "{text}");
}
