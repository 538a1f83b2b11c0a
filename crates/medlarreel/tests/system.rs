//! Fault injection on a whole club: real `medlarreeld` processes against stand-ins.
//!
//! Results are checked against the run records of the upstreams. Waits have generous
//! bounds, and no duration is asserted.

#[path = "system/checker.rs"]
mod checker;
#[path = "system/cluster.rs"]
mod cluster;
#[path = "system/load.rs"]
mod load;

use std::net::SocketAddr;

use base64::prelude::*;
use medlarreel_core::record::{Body, Record};
use medlarreel_standin::client::ClientRequest;
use medlarreel_standin::upstream::{Drain, FaultChange};
use medlarreel_standin::{list, log};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use checker::check_invariants;
use cluster::{Cluster, DOMAINS, Instance, preset_text, wait_for};
use load::{Calls, Outcome};

/// Callers' addresses of all instances.
fn caller_addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster
        .instances
        .iter()
        .map(|instance| instance.callers)
        .collect()
}

/// Guards against keys that stay unserved after an instance or the control holder is
/// killed, and against a second owner or run during the takeover.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_instances_leave_every_key_served() {
    let mut cluster = Cluster::start("killed-instances", 1).await;
    let calls = Calls::new(&cluster).await;
    let load = calls.start_load();

    let other = (cluster.wait_for_holder().await + 1) % cluster.instances.len();
    let domain = cluster.instances.remove(other).domain;
    calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    let replacement = cluster.spawn_instance(domain).await;
    cluster.instances.push(replacement);
    cluster.wait_until_settled().await;
    calls.target_all_instances(&cluster);
    calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    let holder = cluster.wait_for_holder().await;
    drop(cluster.instances.remove(holder));
    calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;

    load.stop().await;
    check_invariants(&cluster, &calls);
}

/// Guards against keys that stay with a frozen or killed upstream, and against a
/// second owner while the upstream is away and after it returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_upstreams_are_replaced_and_may_return() {
    let mut cluster = Cluster::start("lost-upstreams", 1).await;
    let calls = Calls::new(&cluster).await;
    let owners = calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    let load = calls.start_load();

    let frozen = cluster.upstream_index(&owners[0]);
    cluster.change_upstream(frozen, freeze_change(true));
    let after = calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    assert!(
        !after.contains(&owners[0]),
        "a frozen upstream does not answer"
    );
    cluster.change_upstream(frozen, freeze_change(false));
    let owners = calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;

    let killed = cluster.upstream_index(&owners[1]);
    let address = cluster.kill_upstream(killed).await;
    let after = calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    assert!(
        !after.contains(&owners[1]),
        "a killed upstream does not answer"
    );
    cluster.restart_upstream(killed, address).await;
    calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    // Waits until shards are placed on it again, so that the checker covers them.
    wait_for("runs at the returned upstream", async || {
        calls
            .wait_until_all_served(caller_addresses(&cluster))
            .await;
        (cluster.upstreams[killed].service().summary().runs > 0).then_some(())
    })
    .await;

    load.stop().await;
    check_invariants(&cluster, &calls);
}

fn freeze_change(on: bool) -> FaultChange {
    FaultChange {
        freeze: Some(on),
        ..FaultChange::default()
    }
}

/// Guards against serving that depends on the log. The log becomes unavailable after
/// the start, and an upstream and the control holder are killed meanwhile. Presets must
/// not change without the log, and unknown outcomes must later settle the same way
/// everywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_served_without_the_log() {
    let mut cluster = Cluster::start("no-log", 2).await;
    let calls = Calls::new(&cluster).await;
    let owners = calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;

    cluster.set_log_down(true);
    let body = json!({"name": "ordinary", "expected": 1, "text": preset_text("ordinary", 50), "proposal": 77});
    let refused = cluster.instances[0].perform_action("publish", &body).await;
    assert_eq!(
        (&refused["outcome"], &refused["code"]),
        (&json!("unknown"), &json!(504))
    );
    calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    let lost = cluster.upstream_index(&owners[0]);
    cluster.kill_upstream(lost).await;
    let after = calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    assert!(
        !after.contains(&owners[0]),
        "a killed upstream does not answer"
    );
    let holder = cluster.wait_for_holder().await;
    drop(cluster.instances.remove(holder));
    calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    for instance in &cluster.instances {
        let ordinary = published_preset(instance, "ordinary").await;
        assert_eq!(ordinary["version"], 1, "no change without the log");
    }

    cluster.set_log_down(false);
    // The first append may or may not have taken effect; the proposal must count once.
    for _ in 0..2 {
        let settled = wait_for("outcome after the log's return", async || {
            let outcome = cluster.instances[0].perform_action("publish", &body).await;
            (outcome["outcome"] != "unknown").then_some(outcome)
        })
        .await;
        assert_eq!(settled["outcome"], "accepted", "{settled}");
    }
    for instance in &cluster.instances {
        wait_for("agreement on the outcome", async || {
            let outcome = instance.proposal(&json!(77)).await;
            (outcome["outcome"] == "accepted").then_some(())
        })
        .await;
        let ordinary = published_preset(instance, "ordinary").await;
        assert_eq!(ordinary["version"], 2, "published once");
    }
    calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    check_invariants(&cluster, &calls);
}

/// Guards against an instance that resumes after a pause and acts on leases that have
/// expired meanwhile, both as control holder and as plain dispatcher.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_instances_do_not_act_on_expired_leases() {
    let cluster = Cluster::start("paused-instances", 1).await;
    let calls = Calls::new(&cluster).await;
    let load = calls.start_load();

    let holder = cluster.wait_for_holder().await;
    for step in 0..2 {
        let paused = (holder + step) % cluster.instances.len();
        let others = (0..cluster.instances.len()).filter(|index| *index != paused);
        let others = others.map(|index| cluster.instances[index].callers);
        cluster.instances[paused].signal("STOP");
        calls.wait_until_all_served(others.collect()).await;
        cluster.instances[paused].signal("CONT");
        calls
            .wait_until_all_served(caller_addresses(&cluster))
            .await;
    }

    load.stop().await;
    check_invariants(&cluster, &calls);
}

/// Current version of a preset as known to an instance.
async fn published_preset(instance: &Instance, name: &str) -> Value {
    let presets = instance.query("/control/presets").await;
    let presets = presets["presets"].as_array().cloned().unwrap_or_default();
    let preset = presets.into_iter().find(|preset| preset["name"] == name);
    preset.unwrap_or(Value::Null)
}

/// Guards against lost requests and members during a rollout, and against a club
/// without control holder or a shard with two owners after all instances are lost at
/// once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_stay_served_when_all_instances_are_replaced() {
    let mut cluster = Cluster::start("replaced-instances", 1).await;
    let calls = Calls::new(&cluster).await;
    let load = calls.start_load();

    for domain in DOMAINS {
        let replacement = cluster.spawn_instance(domain).await;
        cluster.instances.push(replacement);
        cluster.wait_until_settled().await;
        let mut old = cluster.instances.remove(0);
        assert_eq!(old.domain, domain);
        calls.target_all_instances(&cluster);
        old.signal("TERM");
        assert_eq!(old.exit_code().await, Some(0), "no request is cut off");
        cluster.wait_until_settled().await;
        calls
            .wait_until_all_served(caller_addresses(&cluster))
            .await;
    }
    load.stop().await;
    cluster.instances.clear();
    for domain in DOMAINS {
        let instance = cluster.spawn_instance(domain).await;
        cluster.instances.push(instance);
    }
    cluster.wait_until_settled().await;
    calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;

    check_invariants(&cluster, &calls);
}

/// Guards against two concurrent proposals that are both reported as accepted, and
/// against instances that disagree about the winner, also when the response of the log
/// to the append is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_racing_operators_wins() {
    const NAMES: [&str; 3] = ["calm", "peaks", "repairs"];
    let cluster = Cluster::start("racing-operators", 1).await;
    for name in NAMES {
        let body = json!({"name": name, "expected": 0, "text": preset_text(name, 100)});
        let outcome = cluster.instances[0].perform_action("publish", &body).await;
        assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    }

    for round in 1..=4 {
        let bodies = (0..3).map(|operator| {
            let text = preset_text("ordinary", 100 + round * 10 + operator);
            json!({"name": "ordinary", "expected": round, "text": text})
        });
        let winner = propose_concurrently(&cluster, "publish", bodies.collect()).await;
        for instance in &cluster.instances {
            let ordinary = wait_for("the new version everywhere", async || {
                let ordinary = published_preset(instance, "ordinary").await;
                (ordinary["version"] == round + 1).then_some(ordinary)
            });
            assert_eq!(ordinary.await["text"], winner["text"]);
        }
        let bodies = NAMES.map(|name| json!({"name": name, "version": 1, "expected": round}));
        let winner = propose_concurrently(&cluster, "activate", bodies.to_vec()).await;
        for instance in &cluster.instances {
            let status = wait_for("the activation everywhere", async || {
                let status = instance.status().await;
                (status["activations"] == round + 1).then_some(status)
            });
            assert_eq!(status.await["preset"]["name"], winner["name"]);
        }
    }

    for (id, expected, outcome) in [(501, 5, "accepted"), (502, 5, "rejected")] {
        cluster.log.service().change_faults(log::FaultChange {
            lose_answers: Some(1),
            ..log::FaultChange::default()
        });
        let text = preset_text("ordinary", 300);
        let body = json!({"name": "ordinary", "expected": expected, "text": text, "proposal": id});
        cluster.instances[0].perform_action("publish", &body).await;
        for instance in &cluster.instances {
            let settled = wait_for("a settled outcome", async || {
                let settled = instance.proposal(&json!(id)).await;
                (settled["outcome"] != "unknown").then_some(settled)
            });
            assert_eq!(settled.await["outcome"], outcome);
        }
    }
}

/// Sends one body to each instance concurrently and returns the only accepted one.
async fn propose_concurrently(cluster: &Cluster, command: &str, bodies: Vec<Value>) -> Value {
    let [one, two, three] = &cluster.instances[..] else {
        panic!("one instance in each domain");
    };
    let outcomes = tokio::join!(
        one.perform_action(command, &bodies[0]),
        two.perform_action(command, &bodies[1]),
        three.perform_action(command, &bodies[2]),
    );
    let outcomes = [outcomes.0, outcomes.1, outcomes.2];
    let accepted = |index: &usize| outcomes[*index]["outcome"] == "accepted";
    let winners: Vec<usize> = (0..3).filter(accepted).collect();
    assert_eq!(winners.len(), 1, "one winner: {outcomes:?}");
    let refused = outcomes.iter().filter(|outcome| outcome["code"] == 500);
    assert_eq!(
        refused.count(),
        2,
        "the others are rejected with the reason: {outcomes:?}"
    );
    bodies[winners[0]].clone()
}

/// Guards against an instance that cannot start after the log has trimmed the oldest
/// records, or that restores a different state from a checkpoint.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn newcomers_start_from_a_checkpoint_when_the_log_is_trimmed() {
    let mut cluster = Cluster::start("trimmed-log", 1).await;
    let calls = Calls::new(&cluster).await;
    let peaks = json!({"name": "peaks", "expected": 0, "text": preset_text("peaks", 70)});
    let outcome = cluster.instances[0].perform_action("publish", &peaks).await;
    assert_eq!(outcome["outcome"], "accepted");

    let trim_offset = wait_for("a checkpoint that contains the preset", async || {
        for instance in &cluster.instances {
            // Stale proposals grow the log without changing the state.
            let stale = json!({"name": "peaks", "expected": 9, "text": ""});
            for _ in 0..32 {
                instance.perform_action("publish", &stale).await;
            }
        }
        let offset = outcome["offset"]
            .as_u64()
            .expect("accepted outcomes have one");
        newest_checkpoint(&cluster)
            .await
            .filter(|trim_offset| *trim_offset > offset)
    })
    .await;
    cluster.log.service().change_faults(log::FaultChange {
        trim: [("control".to_owned(), trim_offset)].into(),
        ..log::FaultChange::default()
    });
    // No peer remains from which the state could be copied.
    cluster.instances.clear();
    for domain in DOMAINS {
        let restarted = cluster.spawn_instance(domain).await;
        cluster.instances.push(restarted);
    }
    cluster.wait_until_settled().await;

    for restarted in &cluster.instances {
        assert_eq!(
            published_preset(restarted, "peaks").await["text"],
            peaks["text"]
        );
        assert_eq!(restarted.status().await["activations"], 1);
    }
    calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    check_invariants(&cluster, &calls);
}

/// First offset after the newest complete checkpoint in the log, if any.
async fn newest_checkpoint(cluster: &Cluster) -> Option<u64> {
    let mut from = 0;
    let mut newest = None;
    loop {
        let request = ClientRequest::get(&format!("/streams/control?from={from}&max=1000"));
        let page: log::Page = cluster::send(request, cluster.log.address())
            .await?
            .json()
            .ok()?;
        for record in &page.records {
            let data = BASE64_STANDARD.decode(&record.data).ok()?;
            let record = Record::decode(&data).ok()?;
            if let Body::Checkpoint(chunk) = record.body
                && chunk.index + 1 == chunk.count
            {
                newest = Some(chunk.end_offset.0);
            }
        }
        from += page.records.len() as u64;
        if page.records.is_empty() {
            return newest;
        }
    }
}

/// Guards against new requests at a leaving upstream, whether it announces this itself
/// or only the lagging list does, and against requests cut off meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_upstreams_end_their_work_and_get_no_more() {
    let cluster = Cluster::start("draining-upstreams", 1).await;
    let calls = Calls::new(&cluster).await;
    let load = calls.start_load();
    for announced_by_list in [false, true] {
        let owners = calls
            .wait_until_all_served(caller_addresses(&cluster))
            .await;
        let keys = calls.keys();
        let leaving = owners[0].clone();
        let index = cluster.upstream_index(&leaving);
        let upstream = cluster.upstreams[index].service();

        let with_work_ms = |ms| FaultChange {
            work_ms: Some(ms),
            ..FaultChange::default()
        };
        upstream.change_faults(with_work_ms(1_500));
        let in_flight = tokio::spawn({
            let (calls, to) = (calls.clone(), cluster.instances[0].callers);
            let key = keys[0].clone();
            async move { calls.send_read(&key, to).await }
        });
        wait_for("a request in flight", async || {
            (upstream.summary().in_flight > 0).then_some(())
        })
        .await;
        if announced_by_list {
            let lag_ms = Some(1_000);
            cluster.list.service().change_faults(&list::FaultChange {
                lag_ms,
                ..list::FaultChange::default()
            });
            let (name, state) = (leaving.clone(), list::InstanceState::Leaving);
            cluster
                .list
                .service()
                .change_state(&list::StateChange { name, state })
                .expect("it is listed");
        } else {
            let drain = Some(Drain::Announce);
            upstream.change_faults(FaultChange {
                drain,
                ..FaultChange::default()
            });
        }
        let outcome = in_flight.await.expect("the caller does not panic");
        assert!(matches!(outcome, Outcome::Served(_)), "{outcome:?}");
        upstream.change_faults(with_work_ms(2));
        wait_for("no new runs at the leaving upstream", async || {
            let runs_before = upstream.summary().runs;
            let owners = calls
                .wait_until_all_served(caller_addresses(&cluster))
                .await;
            let idle = upstream.summary().runs == runs_before && upstream.summary().in_flight == 0;
            (idle && !owners.contains(&leaving)).then_some(())
        })
        .await;
        let runs_before = upstream.summary().runs;
        for _ in 0..3 {
            calls
                .wait_until_all_served(caller_addresses(&cluster))
                .await;
        }
        assert_eq!(
            upstream.summary().runs,
            runs_before,
            "no new runs afterwards"
        );
    }
    load.stop().await;
    assert_nothing_cut_off(&cluster, &calls);
    check_invariants(&cluster, &calls);
}

/// Guards against requests that are lost when an instance shuts down, whether it received
/// them from callers or dispatches them for another instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_loses_no_request() {
    // Few enough that the slots of the upstreams take all of them at once.
    const REQUESTS_IN_FLIGHT: usize = 16;
    let mut cluster = Cluster::start("graceful-shutdown", 1).await;
    let calls = Calls::new(&cluster).await;
    let holder = cluster.wait_for_holder().await;
    let mut stopping = cluster.instances.remove(holder);
    // A load balancer would first stop sending new requests to the stopping instance.
    calls.target_all_instances(&cluster);
    for server in &cluster.upstreams {
        server.service().change_faults(FaultChange {
            work_ms: Some(1_500),
            ..FaultChange::default()
        });
    }
    let runs = || {
        let runs = cluster
            .upstreams
            .iter()
            .map(|server| server.service().summary().runs);
        runs.sum::<u64>()
    };
    let runs_before = runs();
    let mut in_flight = JoinSet::new();
    for key in calls.keys().into_iter().take(REQUESTS_IN_FLIGHT) {
        let (calls, to) = (calls.clone(), stopping.callers);
        in_flight.spawn(async move { calls.send_read(&key, to).await });
    }
    wait_for("requests in flight", async || {
        (runs() >= runs_before + REQUESTS_IN_FLIGHT as u64).then_some(())
    })
    .await;
    let load = calls.start_load();
    stopping.signal("TERM");
    assert_eq!(stopping.exit_code().await, Some(0), "no request is cut off");
    for outcome in in_flight.join_all().await {
        assert!(matches!(outcome, Outcome::Served(_)), "{outcome:?}");
    }
    for server in &cluster.upstreams {
        server.service().change_faults(FaultChange {
            work_ms: Some(2),
            ..FaultChange::default()
        });
    }
    calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;

    load.stop().await;
    assert_nothing_cut_off(&cluster, &calls);
    check_invariants(&cluster, &calls);
}

/// Asserts that every request has a response with a known outcome.
fn assert_nothing_cut_off(cluster: &Cluster, calls: &Calls) {
    let sent = calls.sent();
    let runs = checker::all_runs(cluster);
    let cut_off = sent
        .iter()
        .filter(|sent| matches!(sent.outcome, Outcome::Lost | Outcome::Unknown(_)))
        .map(|sent| (sent, runs.iter().find(|(_, _, run)| run.path == sent.path)));
    let cut_off: Vec<_> = cut_off.collect();
    assert!(
        cut_off.is_empty(),
        "{} of {} cut off: {cut_off:?}",
        cut_off.len(),
        sent.len()
    );
}

/// Guards against instances that keep or revert to a former preset.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_preset_switch_reaches_all_and_survives_restarts() {
    let mut cluster = Cluster::start("preset-switch", 1).await;
    let calls = Calls::new(&cluster).await;
    let peaks = json!({"name": "peaks", "expected": 0, "text": preset_text("peaks", 70)});
    let switch = json!({"name": "peaks", "version": 1, "expected": 1});
    assert_eq!(
        cluster.instances[0].perform_action("publish", &peaks).await["outcome"],
        "accepted"
    );
    assert_eq!(
        cluster.instances[1]
            .perform_action("activate", &switch)
            .await["outcome"],
        "accepted"
    );
    for instance in &cluster.instances {
        wait_for("the preset everywhere", async || {
            (instance.status().await["preset"]["name"] == "peaks").then_some(())
        })
        .await;
    }

    for domain in DOMAINS {
        drop(cluster.instances.remove(0));
        let restarted = cluster.spawn_instance(domain).await;
        cluster.instances.push(restarted);
        let restarted = cluster.instances.last().expect("it was just added");
        wait_for("readiness after the restart", async || {
            for instance in &cluster.instances {
                let status = instance.status().await;
                let reverted = status["ready"] == true && status["preset"]["name"] != "peaks";
                assert!(!reverted, "reverted: {status}");
            }
            restarted.is_ready().await.then_some(())
        })
        .await;
        cluster.wait_until_settled().await;
    }
    for instance in &cluster.instances {
        let status = instance.status().await;
        assert_eq!(
            (&status["preset"]["name"], &status["activations"]),
            (&json!("peaks"), &json!(2))
        );
    }
    calls
        .wait_until_all_served(caller_addresses(&cluster))
        .await;
    check_invariants(&cluster, &calls);
}
