//! Tests of the transfer of leadership and of the reports of stopped leaders.

use medlarreel_core::entry::era::{Era, is_same_claim, transferred_epoch};
use medlarreel_core::entry::ledger::LedgerSnapshot;
use medlarreel_core::entry::map::OwnerMap;
use medlarreel_core::entry::transfer::{
    FinalReport, OFFER_TIMEOUT, Offer, Preparation, Process, REPLY_TIMEOUT, REPORT_SENDS, Request,
};

use crate::fixture::{address, at, ms};

/// Process of instance `number` that started at `started`.
fn process(number: u8, started: u64) -> Process {
    Process {
        address: address(number),
        started,
    }
}

/// Offer of epoch 7 to instances 1, 2 and 3.
fn offer() -> Offer {
    Offer::new(7, (1..=3).map(address))
}

/// Report of the leader of epoch 7.
fn report() -> FinalReport {
    let snapshot = LedgerSnapshot {
        owners: OwnerMap::default(),
        highest_fence: 0,
        is_confirmed: true,
    };
    FinalReport::new(7, snapshot)
}

/// Guards against a report that ends leases which a successor has granted since.
#[test]
fn ledger_that_was_passed_on_is_not_reported() {
    let mut report = report();

    let is_passed_on = report.pass_on().is_some();

    assert!(is_passed_on);
    assert_eq!(report.repeat(30), None);
    assert!(report.pass_on().is_some(), "the reply may have been lost");
}

/// Guards against a successor that grants keys after a later leader has relied on the
/// report that no grant follows.
#[test]
fn ledger_that_was_reported_is_not_passed_on() {
    let mut report = report();

    let is_reported = report.repeat(30).is_some();

    assert!(is_reported);
    assert_eq!(report.pass_on(), None);
}

/// Guards against a leader that never hears how long the grants before it last because a
/// message was lost, and against reports without end.
#[test]
fn report_is_repeated_to_each_later_leader() {
    let mut report = report();

    let own = report.repeat(7).is_some();
    let later = [30, 40].map(|epoch| (0..9).filter(|_| report.repeat(epoch).is_some()).count());
    let earlier = report.repeat(30).is_some();

    let sends = REPORT_SENDS as usize;
    assert_eq!((own, later, earlier), (false, [sends, sends], false));
}

/// Guards against an epoch that names two processes, or one that another claim has.
#[test]
fn each_transfer_has_an_epoch_of_its_claim() {
    let claims = [0, 1].map(|offset| Era::FIRST.epoch_at(offset));

    let transfers = std::iter::successors(Some(claims[0]), |epoch| transferred_epoch(*epoch));
    let epochs: Vec<u64> = transfers.take(100).collect();

    assert!((8..100).contains(&epochs.len()), "{epochs:?}");
    assert!(epochs.is_sorted_by(|before, after| before < after));
    let is_of_claim = |epoch: &u64| is_same_claim(*epoch, claims[0]) && *epoch < claims[1];
    assert!(epochs.iter().all(is_of_claim));
}

/// Guards against two successors: the request of the first one arrives only after the
/// leader has turned to the next.
#[test]
fn only_the_current_receiver_may_take_over() {
    let mut offer = offer();

    let first = offer.receiver(at(0));
    let second = offer.receiver(at(0) + OFFER_TIMEOUT);
    let late = offer.accept_request(7, process(1, 1));
    let current = offer.accept_request(7, process(2, 1));

    assert_eq!([first, second], [Some(address(1)), Some(address(2))]);
    assert_eq!([late, current], [false, true]);
}

/// Guards against a leader that turns to another successor after the first may lead.
#[test]
fn offer_stays_with_a_successor_that_has_answered() {
    let mut offer = offer();
    offer.receiver(at(0));

    assert!(offer.accept_request(7, process(1, 1)));

    assert_eq!(offer.receiver(at(9_000)), Some(address(1)));
    assert!(offer.accept_request(7, process(1, 1)));
}

/// Guards against a restarted successor that resumes the state from before its previous
/// process led.
#[test]
fn restarted_successor_is_refused() {
    let mut offer = offer();
    offer.receiver(at(0));

    assert!(offer.accept_request(7, process(1, 1)));

    assert!(!offer.accept_request(7, process(1, 2)));
}

/// Guards against a successor of a leader that has resigned.
#[test]
fn requests_are_refused_after_the_last_offer_has_expired() {
    let mut offer = offer();
    offer.receiver(at(0));
    offer.receiver(at(0) + OFFER_TIMEOUT);

    let receiver = offer.receiver(at(0) + OFFER_TIMEOUT * 2);

    assert_eq!(receiver, None);
    assert!((1..=3).all(|number| !offer.accept_request(7, process(number, 1))));
}

/// Guards against a request for another epoch that is answered with this one.
#[test]
fn request_for_another_epoch_is_refused() {
    let mut offer = offer();
    offer.receiver(at(0));

    assert!(!offer.accept_request(6, process(1, 1)));

    assert!(!offer.is_taken());
}

/// Guards against counting the age of a reply from a later copy of its request.
#[test]
fn repeated_request_keeps_its_nonce_and_time() {
    let mut request = Request::default();

    let nonces = [request.send(at(0), 7, 1), request.send(at(100), 7, 2)];
    let sent = request.close(at(200), 7, 1);

    assert_eq!(nonces, [1, 1]);
    assert_eq!(sent, Some(at(0)));
}

/// Guards against a reply that has waited in the socket of a suspended process, and
/// against one to an earlier request.
#[test]
fn late_reply_is_refused() {
    let mut request = Request::default();
    request.send(at(0), 7, 1);

    let nonce = request.send(at(0) + REPLY_TIMEOUT, 7, 2);
    let earlier = request.close(at(0) + REPLY_TIMEOUT, 7, 1);
    let late = request.close(at(0) + REPLY_TIMEOUT * 2, 7, 2);

    assert_eq!(nonce, 2);
    assert_eq!([earlier, late], [None, None]);
}

/// Guards against accepting copies of a reply, or a reply for another epoch.
#[test]
fn reply_is_accepted_once() {
    let mut request = Request::default();
    request.send(at(0), 7, 1);

    let other = request.close(at(10), 8, 1);
    let first = request.close(at(10) + ms(10), 7, 1);
    let copy = request.close(at(10) + ms(10), 7, 1);

    assert_eq!([other, first, copy], [None, Some(at(0)), None]);
}

/// Guards against connections that are opened after the leader has begun to count from them:
/// a copy of an offer arrives after a later leadership was offered.
#[test]
fn connections_are_opened_once_for_an_offered_leadership() {
    let mut preparation = Preparation::default();

    let begun = [7, 7, 9, 7].map(|epoch| preparation.begin(epoch));
    preparation.finish(7, at(100));
    preparation.finish(9, at(200));
    preparation.finish(9, at(300));

    assert_eq!(begun, [true, false, true, false]);
    assert_eq!(preparation.connected_at(7), None);
    assert_eq!(preparation.connected_at(9), Some(at(200)));
}
