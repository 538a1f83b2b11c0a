//! Comparison of the callers' answers with the upstreams' own run records.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use medlarreel_standin::upstream::{Run, Upstream};

use crate::cluster::Cluster;
use crate::load::{Calls, Outcome, Sent};

/// A run, the upstream's name and the run of its process.
type Started = (String, u64, Run);

/// Checks invariants 1 and 3 to 5 of the design page over a whole test.
pub fn check(cluster: &Cluster, calls: &Calls) {
    let runs = runs(cluster);
    let sent = calls.sent();
    assert!(
        !runs.is_empty() && !sent.is_empty(),
        "there is something to check"
    );
    one_owner(&runs);
    one_run_per_idempotency_key(&runs);
    let by_path = by_path(&runs);
    for sent in &sent {
        own_answer(sent, &by_path);
        not_run(sent, &by_path);
    }
}

/// Runs of all upstreams, ended ones included, in the order of their start.
pub fn runs(cluster: &Cluster) -> Vec<Started> {
    let live = cluster.upstreams.iter().map(|server| server.service());
    let mut all: Vec<Started> = live.chain(&cluster.ended).flat_map(recorded).collect();
    all.sort_by_key(|(_, _, run)| run.start_us);
    all
}

fn recorded(upstream: &Arc<Upstream>) -> Vec<Started> {
    let runs = upstream.runs(0);
    assert_eq!(runs.forgotten, 0, "the record is complete");
    let tag = |run| (runs.upstream.clone(), runs.incarnation, run);
    runs.runs.into_iter().map(tag).collect()
}

/// Epochs of a shard never go back, and each belongs to one process.
fn one_owner(runs: &[Started]) {
    let mut newest: HashMap<u16, (Vec<u64>, &Started)> = HashMap::new();
    for started in runs {
        let (upstream, incarnation, run) = started;
        let shard = run.shard.expect("the service is keyed");
        let epoch = epoch(run);
        if let Some((highest, other)) = newest.get(&shard) {
            assert!(
                epoch >= *highest,
                "shard {shard} went back: {other:?}, then {started:?}"
            );
            let same = (upstream, incarnation) == (&other.0, &other.1);
            assert!(
                epoch > *highest || same,
                "two owners: {other:?} and {started:?}"
            );
        }
        newest.insert(shard, (epoch, started));
    }
}

/// Epoch as term, round and count.
fn epoch(run: &Run) -> Vec<u64> {
    let text = run.epoch.as_deref().expect("keyed runs name an epoch");
    let parts = text
        .split('.')
        .map(|part| part.parse().expect("epochs are numbers"));
    parts.collect()
}

fn one_run_per_idempotency_key(runs: &[Started]) {
    let mut seen: HashMap<&str, &Started> = HashMap::new();
    for started in runs {
        let Some(key) = started.2.idempotency_key.as_deref() else {
            continue;
        };
        if let Some(other) = seen.insert(key, started) {
            panic!("{key} ran twice: {other:?} and {started:?}");
        }
    }
}

fn by_path(runs: &[Started]) -> BTreeMap<&str, Vec<&Started>> {
    let mut by_path: BTreeMap<&str, Vec<&Started>> = BTreeMap::new();
    for started in runs {
        by_path.entry(&started.2.path).or_default().push(started);
    }
    by_path
}

/// The answer names a run of this very request.
fn own_answer(sent: &Sent, runs: &BTreeMap<&str, Vec<&Started>>) {
    let Outcome::Served(echo) = &sent.outcome else {
        return;
    };
    // A repeated booking may be answered from the result of its first run.
    let paths = (0..=1).map(|attempt| match &sent.idempotency_key {
        Some(key) => format!("/intake/{key}/{attempt}"),
        None => sent.path.clone(),
    });
    let belongs = paths.into_iter().any(|path| {
        let runs = runs.get(path.as_str()).into_iter().flatten();
        let id = |started: &&Started| started.0 == echo.upstream && started.2.number == echo.run;
        runs.copied()
            .any(|started| id(&started) && started.2.request_id == echo.request_id)
    });
    assert!(belongs, "answer to another request: {sent:?}");
    assert_eq!(echo.body_bytes, sent.body_bytes, "whole body: {sent:?}");
}

/// A request reported as not run has no run, and refusals carry a fitting code.
fn not_run(sent: &Sent, runs: &BTreeMap<&str, Vec<&Started>>) {
    let fits = match &sent.outcome {
        Outcome::NotRun(code) => code.starts_with('1'),
        Outcome::Unknown(code) => code.starts_with('2') || code.starts_with('3'),
        Outcome::Served(_) | Outcome::Lost => true,
    };
    assert!(fits, "code and outcome differ: {sent:?}");
    if let (Outcome::NotRun(_), Some(run)) = (&sent.outcome, runs.get(sent.path.as_str())) {
        panic!("reported as not run: {sent:?}, but {run:?}");
    }
}
