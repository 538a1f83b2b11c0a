//! Faults of a whole club: real `medlarreeld` processes against stand-ins.
//!
//! What happened is read from the upstreams' own run records. Waits have
//! generous bounds and no duration is asserted.

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

use checker::check;
use cluster::{Cluster, DOMAINS, Instance, eventually, preset};
use load::{Calls, Outcome};

/// Callers' addresses of all instances.
fn entries(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster
        .instances
        .iter()
        .map(|instance| instance.callers)
        .collect()
}

/// Guards against keys that stay unserved after the loss of an instance, of the
/// control holder too, and against a second owner or run on the way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_instances_leave_every_key_served() {
    let mut cluster = Cluster::start("killed-instances", 1).await;
    let calls = Calls::new(&cluster).await;
    let load = calls.load();

    let other = (cluster.holder().await + 1) % cluster.instances.len();
    let domain = cluster.instances.remove(other).domain;
    calls.serve_all(entries(&cluster)).await;
    let replacement = cluster.spawn(domain).await;
    cluster.instances.push(replacement);
    cluster.settled().await;
    calls.enter(&cluster);
    calls.serve_all(entries(&cluster)).await;
    let holder = cluster.holder().await;
    drop(cluster.instances.remove(holder));
    calls.serve_all(entries(&cluster)).await;

    load.end().await;
    check(&cluster, &calls);
}

/// Guards against keys that stay with a frozen or killed upstream, and against
/// a second owner while it is away and after its return.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_upstreams_are_replaced_and_may_return() {
    let mut cluster = Cluster::start("lost-upstreams", 1).await;
    let calls = Calls::new(&cluster).await;
    let owners = calls.serve_all(entries(&cluster)).await;
    let load = calls.load();

    let frozen = cluster.upstream(&owners[0]);
    cluster.fault(frozen, freeze(true));
    let after = calls.serve_all(entries(&cluster)).await;
    assert!(
        !after.contains(&owners[0]),
        "a frozen upstream answers nothing"
    );
    cluster.fault(frozen, freeze(false));
    let owners = calls.serve_all(entries(&cluster)).await;

    let killed = cluster.upstream(&owners[1]);
    let address = cluster.kill_upstream(killed).await;
    let after = calls.serve_all(entries(&cluster)).await;
    assert!(
        !after.contains(&owners[1]),
        "a killed upstream answers nothing"
    );
    cluster.revive_upstream(killed, address).await;
    calls.serve_all(entries(&cluster)).await;
    // Shards are placed on it again, so that the checker sees it own some.
    eventually("runs at the returned upstream", async || {
        calls.serve_all(entries(&cluster)).await;
        (cluster.upstreams[killed].service().summary().runs > 0).then_some(())
    })
    .await;

    load.end().await;
    check(&cluster, &calls);
}

fn freeze(on: bool) -> FaultChange {
    FaultChange {
        freeze: Some(on),
        ..FaultChange::default()
    }
}

/// Guards against serving that depends on the log: after the start it may stay
/// away while an upstream and the control holder are lost. Presets must not
/// change meanwhile, and what was unknown must settle the same way everywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_served_without_the_log() {
    let mut cluster = Cluster::start("no-log", 2).await;
    let calls = Calls::new(&cluster).await;
    let owners = calls.serve_all(entries(&cluster)).await;

    cluster.log_down(true);
    let body =
        json!({"name": "ordinary", "expected": 1, "text": preset("ordinary", 50), "proposal": 77});
    let refused = cluster.instances[0].act("publish", &body).await;
    assert_eq!(
        (&refused["outcome"], &refused["code"]),
        (&json!("unknown"), &json!(504))
    );
    calls.serve_all(entries(&cluster)).await;
    let lost = cluster.upstream(&owners[0]);
    cluster.kill_upstream(lost).await;
    let after = calls.serve_all(entries(&cluster)).await;
    assert!(
        !after.contains(&owners[0]),
        "a killed upstream answers nothing"
    );
    let holder = cluster.holder().await;
    drop(cluster.instances.remove(holder));
    calls.serve_all(entries(&cluster)).await;
    for instance in &cluster.instances {
        let ordinary = published(instance, "ordinary").await;
        assert_eq!(ordinary["version"], 1, "no change without the log");
    }

    cluster.log_down(false);
    // The append may have had no effect; the same proposal must count once.
    for _ in 0..2 {
        let settled = eventually("outcome after the log's return", async || {
            let outcome = cluster.instances[0].act("publish", &body).await;
            (outcome["outcome"] != "unknown").then_some(outcome)
        })
        .await;
        assert_eq!(settled["outcome"], "accepted", "{settled}");
    }
    for instance in &cluster.instances {
        eventually("agreement on the outcome", async || {
            let outcome = instance.proposal(&json!(77)).await;
            (outcome["outcome"] == "accepted").then_some(())
        })
        .await;
        let ordinary = published(instance, "ordinary").await;
        assert_eq!(ordinary["version"], 2, "published once");
    }
    calls.serve_all(entries(&cluster)).await;
    check(&cluster, &calls);
}

/// Guards against a paused instance that acts on leases which ended meanwhile,
/// both as control holder and as a mere dispatcher.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_instances_do_no_harm_when_they_continue() {
    let cluster = Cluster::start("paused-instances", 1).await;
    let calls = Calls::new(&cluster).await;
    let load = calls.load();

    let holder = cluster.holder().await;
    for step in 0..2 {
        let paused = (holder + step) % cluster.instances.len();
        let others = (0..cluster.instances.len()).filter(|index| *index != paused);
        let others = others.map(|index| cluster.instances[index].callers);
        cluster.instances[paused].signal("STOP");
        calls.serve_all(others.collect()).await;
        cluster.instances[paused].signal("CONT");
        calls.serve_all(entries(&cluster)).await;
    }

    load.end().await;
    check(&cluster, &calls);
}

/// A preset as an instance knows it.
async fn published(instance: &Instance, name: &str) -> Value {
    let presets = instance.query("/control/presets").await;
    let presets = presets["presets"].as_array().cloned().unwrap_or_default();
    let preset = presets.into_iter().find(|preset| preset["name"] == name);
    preset.unwrap_or(Value::Null)
}

/// Guards against lost requests and members in a rollout, and against a club
/// that stays without a holder, or a shard with two owners, after all instances
/// were lost at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_instances_are_replaced_one_by_one_and_at_once() {
    let mut cluster = Cluster::start("replaced-instances", 1).await;
    let calls = Calls::new(&cluster).await;
    let load = calls.load();

    for domain in DOMAINS {
        let replacement = cluster.spawn(domain).await;
        cluster.instances.push(replacement);
        cluster.settled().await;
        let mut old = cluster.instances.remove(0);
        assert_eq!(old.domain, domain);
        calls.enter(&cluster);
        old.signal("TERM");
        assert_eq!(old.exit_code().await, Some(0), "no request is cut off");
        cluster.settled().await;
        calls.serve_all(entries(&cluster)).await;
    }
    load.end().await;
    cluster.instances.clear();
    for domain in DOMAINS {
        let instance = cluster.spawn(domain).await;
        cluster.instances.push(instance);
    }
    cluster.settled().await;
    calls.serve_all(entries(&cluster)).await;

    check(&cluster, &calls);
}

/// Guards against two operators who both believe that their version won, and
/// against instances that disagree about it; also when the log's answer to the
/// append is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_racing_operators_wins() {
    const NAMES: [&str; 3] = ["calm", "peaks", "repairs"];
    let cluster = Cluster::start("racing-operators", 1).await;
    for name in NAMES {
        let body = json!({"name": name, "expected": 0, "text": preset(name, 100)});
        let outcome = cluster.instances[0].act("publish", &body).await;
        assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    }

    for round in 1..=4 {
        let bodies = (0..3).map(|operator| {
            let text = preset("ordinary", 100 + round * 10 + operator);
            json!({"name": "ordinary", "expected": round, "text": text})
        });
        let winner = one_winner(&cluster, "publish", bodies.collect()).await;
        for instance in &cluster.instances {
            let ordinary = eventually("the new version everywhere", async || {
                let ordinary = published(instance, "ordinary").await;
                (ordinary["version"] == round + 1).then_some(ordinary)
            });
            assert_eq!(ordinary.await["text"], winner["text"]);
        }
        let bodies = NAMES.map(|name| json!({"name": name, "version": 1, "expected": round}));
        let winner = one_winner(&cluster, "activate", bodies.to_vec()).await;
        for instance in &cluster.instances {
            let status = eventually("the activation everywhere", async || {
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
        let text = preset("ordinary", 300);
        let body = json!({"name": "ordinary", "expected": expected, "text": text, "proposal": id});
        cluster.instances[0].act("publish", &body).await;
        for instance in &cluster.instances {
            let settled = eventually("a settled outcome", async || {
                let settled = instance.proposal(&json!(id)).await;
                (settled["outcome"] != "unknown").then_some(settled)
            });
            assert_eq!(settled.await["outcome"], outcome);
        }
    }
}

/// Sends one body through each instance at once; exactly one must be accepted.
async fn one_winner(cluster: &Cluster, command: &str, bodies: Vec<Value>) -> Value {
    let [one, two, three] = &cluster.instances[..] else {
        panic!("one instance in each domain");
    };
    let outcomes = tokio::join!(
        one.act(command, &bodies[0]),
        two.act(command, &bodies[1]),
        three.act(command, &bodies[2]),
    );
    let outcomes = [outcomes.0, outcomes.1, outcomes.2];
    let accepted = |index: &usize| outcomes[*index]["outcome"] == "accepted";
    let winners: Vec<usize> = (0..3).filter(accepted).collect();
    assert_eq!(winners.len(), 1, "one winner: {outcomes:?}");
    let refused = outcomes.iter().filter(|outcome| outcome["code"] == 500);
    assert_eq!(refused.count(), 2, "the others learn why: {outcomes:?}");
    bodies[winners[0]].clone()
}

/// Guards against an instance that cannot start once the log has dropped the
/// oldest records, or that starts from a checkpoint with another state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn newcomers_start_from_a_checkpoint_when_the_log_is_trimmed() {
    let mut cluster = Cluster::start("trimmed-log", 1).await;
    let calls = Calls::new(&cluster).await;
    let peaks = json!({"name": "peaks", "expected": 0, "text": preset("peaks", 70)});
    let outcome = cluster.instances[0].act("publish", &peaks).await;
    assert_eq!(outcome["outcome"], "accepted");

    let upto = eventually("a checkpoint that contains the preset", async || {
        for instance in &cluster.instances {
            // Stale proposals fill the log without changing anything.
            let stale = json!({"name": "peaks", "expected": 9, "text": ""});
            for _ in 0..32 {
                instance.act("publish", &stale).await;
            }
        }
        let offset = outcome["offset"]
            .as_u64()
            .expect("accepted outcomes have one");
        newest_checkpoint(&cluster)
            .await
            .filter(|upto| *upto > offset)
    })
    .await;
    cluster.log.service().change_faults(log::FaultChange {
        trim: [("control".to_owned(), upto)].into(),
        ..log::FaultChange::default()
    });
    // No peer is left that could pass the state on.
    cluster.instances.clear();
    for domain in DOMAINS {
        let newcomer = cluster.spawn(domain).await;
        cluster.instances.push(newcomer);
    }
    cluster.settled().await;

    for newcomer in &cluster.instances {
        assert_eq!(published(newcomer, "peaks").await["text"], peaks["text"]);
        assert_eq!(newcomer.status().await["activations"], 1);
    }
    calls.serve_all(entries(&cluster)).await;
    check(&cluster, &calls);
}

/// First offset after the newest complete checkpoint in the log, if any.
async fn newest_checkpoint(cluster: &Cluster) -> Option<u64> {
    let mut from = 0;
    let mut newest = None;
    loop {
        let ask = ClientRequest::get(&format!("/streams/control?from={from}&max=1000"));
        let page: log::Page = cluster::send(ask, cluster.log.address())
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

/// Guards against new work at an upstream that leaves, whether it says so
/// itself or only a lagging list does, and against requests cut off by that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_upstreams_end_their_work_and_get_no_more() {
    let cluster = Cluster::start("draining-upstreams", 1).await;
    let calls = Calls::new(&cluster).await;
    let load = calls.load();
    for by_list in [false, true] {
        let owners = calls.serve_all(entries(&cluster)).await;
        let keys = calls.keys();
        let leaving = owners[0].clone();
        let index = cluster.upstream(&leaving);
        let upstream = cluster.upstreams[index].service();

        let slow = |ms| FaultChange {
            work_ms: Some(ms),
            ..FaultChange::default()
        };
        upstream.change_faults(slow(1_500));
        let in_flight = tokio::spawn({
            let (calls, to) = (calls.clone(), cluster.instances[0].callers);
            let key = keys[0].clone();
            async move { calls.read(&key, to).await }
        });
        eventually("a request in flight", async || {
            (upstream.summary().in_flight > 0).then_some(())
        })
        .await;
        if by_list {
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
        upstream.change_faults(slow(2));
        eventually("no new runs at the leaving upstream", async || {
            let before = upstream.summary().runs;
            let owners = calls.serve_all(entries(&cluster)).await;
            let idle = upstream.summary().runs == before && upstream.summary().in_flight == 0;
            (idle && !owners.contains(&leaving)).then_some(())
        })
        .await;
        let before = upstream.summary().runs;
        for _ in 0..3 {
            calls.serve_all(entries(&cluster)).await;
        }
        assert_eq!(upstream.summary().runs, before, "nothing new ever after");
    }
    load.end().await;
    nothing_cut_off(&cluster, &calls);
    check(&cluster, &calls);
}

/// Guards against requests that are lost when an instance is told to end, be it
/// their entry or their dispatcher.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_loses_no_request() {
    // Few enough that the upstreams' slots take all of them at once.
    const IN_FLIGHT: usize = 16;
    let mut cluster = Cluster::start("graceful-shutdown", 1).await;
    let calls = Calls::new(&cluster).await;
    let holder = cluster.holder().await;
    let mut ending = cluster.instances.remove(holder);
    // A balancer stops sending new requests to it first.
    calls.enter(&cluster);
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
    let before = runs();
    let mut in_flight = JoinSet::new();
    for key in calls.keys().into_iter().take(IN_FLIGHT) {
        let (calls, to) = (calls.clone(), ending.callers);
        in_flight.spawn(async move { calls.read(&key, to).await });
    }
    eventually("requests in flight", async || {
        (runs() >= before + IN_FLIGHT as u64).then_some(())
    })
    .await;
    let load = calls.load();
    ending.signal("TERM");
    assert_eq!(ending.exit_code().await, Some(0), "no request is cut off");
    for outcome in in_flight.join_all().await {
        assert!(matches!(outcome, Outcome::Served(_)), "{outcome:?}");
    }
    for server in &cluster.upstreams {
        server.service().change_faults(FaultChange {
            work_ms: Some(2),
            ..FaultChange::default()
        });
    }
    calls.serve_all(entries(&cluster)).await;

    load.end().await;
    nothing_cut_off(&cluster, &calls);
    check(&cluster, &calls);
}

/// No caller was left without an answer or with an unknown outcome.
fn nothing_cut_off(cluster: &Cluster, calls: &Calls) {
    let sent = calls.sent();
    let runs = checker::runs(cluster);
    let cut = sent
        .iter()
        .filter(|sent| matches!(sent.outcome, Outcome::Lost | Outcome::Unknown(_)))
        .map(|sent| (sent, runs.iter().find(|(_, _, run)| run.path == sent.path)));
    let cut: Vec<_> = cut.collect();
    assert!(
        cut.is_empty(),
        "{} of {} cut off: {cut:?}",
        cut.len(),
        sent.len()
    );
}

/// Guards against instances that stay with, or return to, a former preset.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_preset_switch_reaches_all_and_survives_restarts() {
    let mut cluster = Cluster::start("preset-switch", 1).await;
    let calls = Calls::new(&cluster).await;
    let peaks = json!({"name": "peaks", "expected": 0, "text": preset("peaks", 70)});
    let switch = json!({"name": "peaks", "version": 1, "expected": 1});
    assert_eq!(
        cluster.instances[0].act("publish", &peaks).await["outcome"],
        "accepted"
    );
    assert_eq!(
        cluster.instances[1].act("activate", &switch).await["outcome"],
        "accepted"
    );
    for instance in &cluster.instances {
        eventually("the preset everywhere", async || {
            (instance.status().await["preset"]["name"] == "peaks").then_some(())
        })
        .await;
    }

    for domain in DOMAINS {
        drop(cluster.instances.remove(0));
        let restarted = cluster.spawn(domain).await;
        cluster.instances.push(restarted);
        let restarted = cluster.instances.last().expect("it was just added");
        eventually("readiness after the restart", async || {
            for instance in &cluster.instances {
                let status = instance.status().await;
                let reverted = status["ready"] == true && status["preset"]["name"] != "peaks";
                assert!(!reverted, "reverted: {status}");
            }
            restarted.ready().await.then_some(())
        })
        .await;
        cluster.settled().await;
    }
    for instance in &cluster.instances {
        let status = instance.status().await;
        assert_eq!(
            (&status["preset"]["name"], &status["activations"]),
            (&json!("peaks"), &json!(2))
        );
    }
    calls.serve_all(entries(&cluster)).await;
    check(&cluster, &calls);
}
