//! Checks the responses seen by callers against the run records of the upstreams.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use medlarreel_standin::upstream::{Run, Upstream};

use crate::cluster::Cluster;
use crate::load::{Calls, Outcome, SentRequest};

/// Name of the upstream, incarnation of its process, and the run.
type UpstreamRun = (String, u64, Run);

/// Checks over a whole test that each shard has one owner at a time, that no idempotency
/// key runs twice, that each response belongs to its request, and that no request
/// reported as not run has a run: invariants 1 and 3 to 5 of `docs/design.md`.
pub fn check_invariants(cluster: &Cluster, calls: &Calls) {
    let runs = all_runs(cluster);
    let sent = calls.sent();
    assert!(
        !runs.is_empty() && !sent.is_empty(),
        "there is something to check"
    );
    check_one_owner(&runs);
    check_one_run_per_idempotency_key(&runs);
    let by_path = group_by_path(&runs);
    for sent in &sent {
        check_response_matches_request(sent, &by_path);
        check_not_run(sent, &by_path);
    }
}

/// Runs of all upstreams, including killed ones, ordered by start time.
pub fn all_runs(cluster: &Cluster) -> Vec<UpstreamRun> {
    let live = cluster.upstreams.iter().map(|server| server.service());
    let mut all: Vec<UpstreamRun> = live
        .chain(&cluster.killed_upstreams)
        .flat_map(recorded_runs)
        .collect();
    all.sort_by_key(|(_, _, run)| run.start_us);
    all
}

fn recorded_runs(upstream: &Arc<Upstream>) -> Vec<UpstreamRun> {
    let runs = upstream.runs(0);
    assert_eq!(runs.forgotten, 0, "the record is complete");
    let tag = |run| (runs.upstream.clone(), runs.incarnation, run);
    runs.runs.into_iter().map(tag).collect()
}

/// Epochs of a shard never decrease, and each epoch belongs to one process.
fn check_one_owner(runs: &[UpstreamRun]) {
    let mut latest_by_shard: HashMap<u16, (Vec<u64>, &UpstreamRun)> = HashMap::new();
    for upstream_run in runs {
        let (upstream, incarnation, run) = upstream_run;
        let shard = run.shard.expect("the service is keyed");
        let epoch = parse_epoch(run);
        if let Some((highest, other)) = latest_by_shard.get(&shard) {
            assert!(
                epoch >= *highest,
                "shard {shard} went back: {other:?}, then {upstream_run:?}"
            );
            let same_process = (upstream, incarnation) == (&other.0, &other.1);
            assert!(
                epoch > *highest || same_process,
                "two owners: {other:?} and {upstream_run:?}"
            );
        }
        latest_by_shard.insert(shard, (epoch, upstream_run));
    }
}

/// Parses an epoch into term, round and count.
fn parse_epoch(run: &Run) -> Vec<u64> {
    let text = run.epoch.as_deref().expect("keyed runs name an epoch");
    let parts = text
        .split('.')
        .map(|part| part.parse().expect("epochs are numbers"));
    parts.collect()
}

fn check_one_run_per_idempotency_key(runs: &[UpstreamRun]) {
    let mut seen: HashMap<&str, &UpstreamRun> = HashMap::new();
    for upstream_run in runs {
        let Some(key) = upstream_run.2.idempotency_key.as_deref() else {
            continue;
        };
        if let Some(other) = seen.insert(key, upstream_run) {
            panic!("{key} ran twice: {other:?} and {upstream_run:?}");
        }
    }
}

fn group_by_path(runs: &[UpstreamRun]) -> BTreeMap<&str, Vec<&UpstreamRun>> {
    let mut by_path: BTreeMap<&str, Vec<&UpstreamRun>> = BTreeMap::new();
    for upstream_run in runs {
        by_path
            .entry(&upstream_run.2.path)
            .or_default()
            .push(upstream_run);
    }
    by_path
}

/// The response names a run of the same request.
fn check_response_matches_request(sent: &SentRequest, runs: &BTreeMap<&str, Vec<&UpstreamRun>>) {
    let Outcome::Served(echo) = &sent.outcome else {
        return;
    };
    // A repeated booking may be answered with the result of its first run.
    let paths = (0..=1).map(|index| match &sent.idempotency_key {
        Some(key) => format!("/intake/{key}/{index}"),
        None => sent.path.clone(),
    });
    let matches_run = paths.into_iter().any(|path| {
        let runs = runs.get(path.as_str()).into_iter().flatten();
        let id = |upstream_run: &&UpstreamRun| {
            upstream_run.0 == echo.upstream && upstream_run.2.number == echo.run
        };
        runs.copied()
            .any(|upstream_run| id(&upstream_run) && upstream_run.2.request_id == echo.request_id)
    });
    assert!(matches_run, "answer to another request: {sent:?}");
    assert_eq!(echo.body_bytes, sent.body_bytes, "whole body: {sent:?}");
}

/// A request reported as not run has no run, and the code matches the outcome.
fn check_not_run(sent: &SentRequest, runs: &BTreeMap<&str, Vec<&UpstreamRun>>) {
    let code_matches = match &sent.outcome {
        Outcome::NotRun(code) => code.starts_with('1'),
        Outcome::Unknown(code) => code.starts_with('2') || code.starts_with('3'),
        Outcome::Served(_) | Outcome::Lost => true,
    };
    assert!(code_matches, "code and outcome differ: {sent:?}");
    if let (Outcome::NotRun(_), Some(run)) = (&sent.outcome, runs.get(sent.path.as_str())) {
        panic!("reported as not run: {sent:?}, but {run:?}");
    }
}
