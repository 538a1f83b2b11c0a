//! The leader's ledger after the store has come back from a copy.

use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::ledger::{
    CALL_TIMEOUT, CONFIRMATION_TIME, Ledger, Order, OrderKind, Reply, max_lease_duration,
    unknown_grants_end,
};
use medlarreel_core::entry::plan::KeyWeights;
use medlarreel_core::time::Time;

use crate::fixture::{LEASE_DURATION, at, candidates, ms, resume};

const SERVICE: &str = "intake";

/// Epochs of the first leader, and of claims after the store was restored.
const BEFORE: u64 = Era::FIRST.epoch_at(20);
const AFTER: u64 = Era(2).epoch_at(3);

/// Ledger in which upstreams 1 and 2 hold all keys since `now`.
fn held_ledger(now: Time) -> Ledger {
    let mut ledger = Ledger::new(BEFORE, LEASE_DURATION);
    rebalance(&mut ledger, now, 2);
    ledger.acknowledge_record(ledger.record_version());
    reply_to_all(&mut ledger, now, &Reply::Done { handover: None });
    ledger
}

/// Plans the keys for upstreams 1 to `count`.
fn rebalance(ledger: &mut Ledger, now: Time, count: u8) {
    ledger.rebalance(now, SERVICE, &candidates(count), &KeyWeights::default());
}

fn due_orders(ledger: &mut Ledger, now: Time) -> Vec<Order> {
    ledger.take_due_orders(now, usize::MAX, |_| None)
}

fn reply_to_all(ledger: &mut Ledger, now: Time, reply: &Reply) -> Vec<Order> {
    let orders = due_orders(ledger, now);
    for order in &orders {
        ledger.handle_reply(now, now, order, reply);
    }
    orders
}

/// Guards against epochs that repeat or fall when offsets are given out again.
#[test]
fn epochs_of_a_later_era_are_higher() {
    assert!(Era::FIRST.epoch_at(0) > 0);
    assert!(Era(2).epoch_at(0) > Era::FIRST.epoch_at(1 << 31));
    assert_eq!(Era::of_epoch(Era(2).epoch_at(7)), Era(2));
}

/// Guards against two holders of a key: the record of a copy may lack the latest holders.
#[test]
fn leader_without_a_complete_record_waits_for_unknown_grants() {
    let mut ledger = Ledger::without_record(AFTER, LEASE_DURATION, BEFORE, at(0));
    let end = unknown_grants_end(at(0), LEASE_DURATION);

    rebalance(&mut ledger, end - ms(1), 2);
    let early = due_orders(&mut ledger, end - ms(1));
    let needs_record = ledger.needs_record();
    rebalance(&mut ledger, end, 2);
    ledger.acknowledge_record(ledger.record_version());
    let late = due_orders(&mut ledger, end);

    assert!(early.is_empty() && !needs_record);
    assert_eq!(late.len(), 2);
}

/// Guards against a leader that moves keys before it knows that no other leader, whose
/// record was lost, has moved them.
#[test]
fn continuing_leader_only_renews_until_its_grants_are_confirmed() {
    let mut ledger = held_ledger(at(0));
    let before = reply_to_all(&mut ledger, at(1_400), &Reply::Done { handover: None });
    ledger.suspend_moves();
    ledger.continue_in(AFTER, at(2_000));

    rebalance(&mut ledger, at(2_100), 1);
    let renewals = reply_to_all(&mut ledger, at(2_800), &Reply::Done { handover: None });
    let needs_record = ledger.needs_record();
    let confirmed = at(2_000) + CONFIRMATION_TIME;
    rebalance(&mut ledger, confirmed, 1);
    let orders = due_orders(&mut ledger, confirmed);

    let is_grant = |order: &Order| order.kind != OrderKind::Release;
    assert_eq!(renewals.len(), 2);
    assert!(renewals.iter().all(is_grant));
    // Fences of the former epoch, which an upstream refuses if another leader has followed.
    let highest = before.iter().map(|order| order.fence).max().unwrap();
    let next_epoch = before[0].fence + (1 << 20);
    assert!(
        renewals
            .iter()
            .all(|order| order.fence > highest && order.fence < next_epoch)
    );
    assert!(!needs_record && ledger.needs_record());
    assert!(orders.iter().any(|order| !is_grant(order)));
}

/// Guards against a leader that relies on its grants although another leader, whose record
/// was lost, has replaced it.
#[test]
fn refused_confirmation_makes_the_leader_wait() {
    let mut ledger = held_ledger(at(0));
    ledger.suspend_moves();
    ledger.continue_in(AFTER, at(2_000));

    let renewals = due_orders(&mut ledger, at(2_000));
    ledger.handle_reply(at(2_010), at(2_000), &renewals[0], &Reply::Fenced);
    rebalance(&mut ledger, at(10_000), 2);
    let orders = due_orders(&mut ledger, at(10_000));

    assert!(orders.is_empty());
    assert_eq!(ledger.snapshot(at(10_000)), None);
}

/// Guards against waiting for grants that the leader before has reported.
#[test]
fn waiting_leader_takes_over_the_grants_that_are_reported() {
    let mut stopped = held_ledger(at(0));
    let last = reply_to_all(&mut stopped, at(1_400), &Reply::Done { handover: None });
    let mut ledger = Ledger::without_record(AFTER, LEASE_DURATION, BEFORE, at(2_000));

    let report = stopped.snapshot(at(2_100)).unwrap();
    ledger.handle_predecessor_stop(BEFORE - 1, at(2_200), &report);
    let ignored = due_orders(&mut ledger, at(2_200));
    ledger.handle_predecessor_stop(BEFORE, at(2_200), &report);
    let renewals = due_orders(&mut ledger, at(2_200));

    assert!(ignored.is_empty());
    assert_eq!(renewals.len(), 2);
    for (renewal, last) in renewals.iter().zip(&last) {
        assert_eq!((&renewal.owner, renewal.first), (&last.owner, last.first));
        assert!(renewal.fence > last.fence);
    }
    assert!(ledger.is_settled(SERVICE));
}

/// Guards against a wait for a leader that cannot exist, and against one that is too short
/// for what it has sent.
#[test]
fn grants_of_a_leader_that_has_ended_last_for_a_lease() {
    let mut ledger = Ledger::without_record(AFTER, LEASE_DURATION, BEFORE, at(0));
    let end = at(1_000) + CALL_TIMEOUT + max_lease_duration(LEASE_DURATION);

    ledger.expect_no_former_leader(at(1_000));
    ledger.expect_no_former_leader(at(3_000));
    rebalance(&mut ledger, end - ms(1), 2);
    let early = ledger.needs_record();
    rebalance(&mut ledger, end, 2);

    assert!(!early && ledger.needs_record());
}

/// Ledger that asks upstreams 1 and 2, the owners before, to release all keys. They are
/// known to be the only ones from 2 s on.
fn sweeping_ledger() -> Ledger {
    let mut ledger = Ledger::without_record(AFTER, LEASE_DURATION, BEFORE, at(0));
    let known_owners = held_ledger(at(0)).view(at(0), true);
    ledger.start_sweep(at(0), at(2_000), known_owners);
    for candidate in candidates(2) {
        ledger.add_possible_holder(SERVICE, candidate.owner, false);
    }
    ledger
}

/// Guards against keys without an owner for many seconds although all upstreams that may
/// hold them have released them.
#[test]
fn released_keys_go_back_to_their_owners() {
    let mut ledger = sweeping_ledger();
    let token = Reply::Done {
        handover: Some("token".into()),
    };

    let releases = reply_to_all(&mut ledger, at(500), &token);
    rebalance(&mut ledger, at(1_900), 2);
    let early = ledger.needs_record();
    rebalance(&mut ledger, at(2_000), 2);
    ledger.acknowledge_record(ledger.record_version());
    let grants = due_orders(&mut ledger, at(2_000));

    let is_release = |order: &Order| order.kind == OrderKind::Release;
    assert_eq!(releases.len(), 2);
    assert!(releases.iter().all(is_release));
    assert!(!early);
    let granted: Vec<_> = grants.iter().map(|order| &order.owner).collect();
    let former: Vec<_> = candidates(2).into_iter().map(|one| one.owner).collect();
    assert_eq!(granted, former.iter().collect::<Vec<_>>());
    let handover = Some("token".to_owned());
    let kind = OrderKind::Grant {
        hold: LEASE_DURATION,
        handover,
    };
    assert!(grants.iter().all(|order| order.kind == kind));
}

/// Guards against two holders of a key: an upstream that does not answer may hold any.
#[test]
fn upstream_that_does_not_release_its_keys_is_waited_for() {
    let mut ledger = sweeping_ledger();
    let end = unknown_grants_end(at(0), LEASE_DURATION);

    let releases = due_orders(&mut ledger, at(500));
    let done = Reply::Done { handover: None };
    ledger.handle_reply(at(510), at(500), &releases[0], &done);
    ledger.handle_reply(at(510), at(500), &releases[1], &Reply::NotSent);
    rebalance(&mut ledger, end - ms(1), 2);
    let early = due_orders(&mut ledger, end - ms(1));
    rebalance(&mut ledger, end, 2);
    let needs_record = ledger.needs_record();

    assert!(early.iter().all(|order| order.owner == releases[1].owner));
    assert!(early.iter().all(|order| order.kind == OrderKind::Release));
    assert!(needs_record);
}

/// Guards against waiting with all keys for an upstream that leaves without an answer, and
/// against granting those that it owned.
#[test]
fn only_the_keys_of_a_leaving_upstream_are_waited_for() {
    let mut ledger = sweeping_ledger();
    let releases = due_orders(&mut ledger, at(500));
    let done = Reply::Done { handover: None };
    ledger.handle_reply(at(510), at(500), &releases[0], &done);

    ledger.add_possible_holder(SERVICE, releases[1].owner.clone(), true);
    rebalance(&mut ledger, at(2_000), 1);
    ledger.acknowledge_record(ledger.record_version());
    let orders = due_orders(&mut ledger, at(2_000));
    rebalance(&mut ledger, at(2_100), 1);
    ledger.acknowledge_record(ledger.record_version());
    let later = due_orders(&mut ledger, at(2_100));

    let is_grant = |order: &&Order| order.kind != OrderKind::Release;
    let granted: Vec<_> = orders.iter().filter(is_grant).collect();
    assert_eq!(granted.len(), 1);
    assert_eq!(granted[0].owner, releases[0].owner);
    assert!(
        later
            .iter()
            .filter(is_grant)
            .all(|order| order.last < u16::MAX)
    );
}

/// Guards against a successor that replaces its grants by the older report of a leader whose
/// grants its predecessor has taken over, and uses the predecessor's fences again.
#[test]
fn resumed_leader_has_the_grants_that_its_predecessor_took_over() {
    let stopped = held_ledger(at(0));
    let report = stopped.snapshot(at(2_000)).unwrap();
    let mut predecessor = Ledger::without_record(AFTER, LEASE_DURATION, BEFORE, at(2_000));
    predecessor.handle_predecessor_stop(BEFORE, at(2_100), &report);
    let used = reply_to_all(&mut predecessor, at(2_100), &Reply::Done { handover: None });

    let snapshot = predecessor.snapshot(at(2_200)).unwrap();
    let mut ledger = resume(&snapshot, at(2_300));
    ledger.handle_predecessor_stop(BEFORE, at(2_400), &report);
    let renewals = due_orders(&mut ledger, at(2_400));

    let highest = used.iter().map(|order| order.fence).max().unwrap();
    assert_eq!(renewals.len(), 2);
    assert!(
        renewals.iter().all(|order| order.fence > highest),
        "{highest}: {renewals:?}"
    );
}

/// Guards against a successor to which keys seem free whose first grant was sent before the
/// restore: their owner is recorded again, but may hold them already.
#[test]
fn snapshot_after_recovery_contains_grants_that_were_sent() {
    let mut ledger = Ledger::new(BEFORE, LEASE_DURATION);
    rebalance(&mut ledger, at(0), 1);
    ledger.acknowledge_record(ledger.record_version());
    let sent = due_orders(&mut ledger, at(0));
    ledger.handle_reply(at(1_000), at(0), &sent[0], &Reply::Unknown);
    ledger.suspend_moves();
    ledger.continue_in(AFTER, at(1_000));

    let end = at(1_000) + CONFIRMATION_TIME;
    rebalance(&mut ledger, end, 1);
    let snapshot = ledger.snapshot(end).unwrap();

    let ranges = &snapshot.owners.services[SERVICE];
    assert_eq!(ranges[0].owner.as_ref(), Some(&sent[0].owner));
}
