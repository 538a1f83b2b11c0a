//! Tests of the order in which responses use the link.

use std::time::Duration;

use medlarreel_core::entry::link::{Link, PIECE_BYTES, Permit, Transfer};
use medlarreel_core::time::Time;

use crate::fixture::{at, ms};

/// Rate of the narrowest links, in bits per second.
const RATE: f64 = 10e6;

/// Size of a large response, in bytes.
const LARGE: usize = 90_000;

fn open(link: &mut Link, rank: u8) -> Transfer {
    link.open(at(0), "bundle", rank, at(0), at(60_000)).unwrap()
}

/// Opens a transfer of a large response that is there.
fn begin(link: &mut Link, rank: u8) -> Transfer {
    let transfer = open(link, rank);
    link.begin(at(0), transfer, "bundle", LARGE);
    transfer
}

/// Writes all pieces of the transfers, each of which asks again when it was told to. Returns
/// the time at which each has written its last one.
fn write_all(link: &mut Link, transfers: &[Transfer]) -> Vec<Time> {
    let mut due: Vec<(Time, usize)> = transfers.iter().map(|_| (at(0), LARGE)).collect();
    let mut done = vec![at(0); transfers.len()];
    while let Some(next) = (0..due.len())
        .filter(|number| due[*number].1 > 0)
        .min_by_key(|number| due[*number].0)
    {
        let (now, left) = due[next];
        let piece = left.min(PIECE_BYTES);
        match link.request(now, transfers[next], piece) {
            Permit::Granted if left == piece => {
                link.close(transfers[next]);
                (due[next].1, done[next]) = (0, now);
            }
            Permit::Granted => due[next].1 -= piece,
            Permit::Later(at) => due[next].0 = at.max(now + ms(1)),
        }
    }
    done
}

/// Guards against a link that large responses fill, so that a small one waits behind them.
#[test]
fn backlog_of_large_responses_stays_short() {
    let mut link = Link::new(Some(RATE));
    let transfers: Vec<Transfer> = (0..20).map(|_| begin(&mut link, 1)).collect();
    let mut written = 0;

    for now in 0..1_000 {
        for transfer in &transfers {
            if link.request(at(now), *transfer, PIECE_BYTES) == Permit::Granted {
                written += PIECE_BYTES;
            }
        }

        let carried = RATE / 8.0 * (now as f64 + 1.0) / 1_000.0;
        let waiting = Duration::from_secs_f64((written as f64 - carried).max(0.0) * 8.0 / RATE);
        assert!(waiting < ms(50), "{waiting:?} wait after {now} ms");
    }
    let whole = RATE / 8.0 * 0.8;
    assert!(written as f64 > whole, "{written} of {whole} bytes");
}

/// Guards against large responses that all become late because they share the link.
#[test]
fn urgent_and_early_responses_are_complete_first() {
    let mut link = Link::new(Some(RATE));
    let transfers = [2, 1, 1, 0].map(|rank| begin(&mut link, rank));

    let done = write_all(&mut link, &transfers);

    assert!(
        done[3] < done[1] && done[1] < done[2] && done[2] < done[0],
        "{done:?}"
    );
}

/// Guards against a slow caller, or an answer that is still to come, that holds up the others.
#[test]
fn transfer_that_is_not_ready_holds_up_nobody() {
    let mut link = Link::new(Some(RATE));
    let _slow = begin(&mut link, 0);
    let other = begin(&mut link, 1);

    let permit = link.request(at(0), other, PIECE_BYTES);

    assert_eq!(permit, Permit::Granted);
}

/// Guards against a request that is run although its response can't arrive in time, and
/// against the refusal of one whose response can, or is small.
#[test]
fn request_is_refused_if_its_response_cannot_cross_the_link() {
    let mut link = Link::new(Some(RATE));
    for _ in 0..10 {
        begin(&mut link, 1);
    }

    let late = link.open(at(0), "bundle", 1, at(0), at(500));
    let in_time = link.open(at(0), "bundle", 1, at(0), at(2_000));
    let urgent = link.open(at(0), "bundle", 0, at(0), at(500));
    let small = link.open(at(0), "lookup", 1, at(0), at(500));

    // Eleven responses of 90 kB take 880 ms of the usable part.
    assert_eq!(late.map_err(|after| after.as_millis()), Err(380));
    assert!(in_time.is_ok() && urgent.is_ok() && small.is_ok());
}

/// Guards against the effect of a setting that is not there.
#[test]
fn link_of_unknown_rate_delays_and_refuses_nothing() {
    let mut link = Link::new(None);
    let transfers: Vec<Transfer> = (0..20).map(|_| begin(&mut link, 1)).collect();

    let permits = transfers.iter();
    let mut permits = permits.map(|transfer| link.request(at(0), *transfer, PIECE_BYTES));
    let all_granted = permits.all(|permit| permit == Permit::Granted);
    let opened = link.open(at(0), "bundle", 1, at(0), at(1));

    assert!(all_granted && opened.is_ok());
}

/// Guards against bytes of requests that have ended and still count as pending.
#[test]
fn ended_transfers_are_not_pending() {
    let mut link = Link::new(Some(RATE));
    let transfers = [begin(&mut link, 1), begin(&mut link, 1)];
    let before = link.pending();
    let small = open(&mut link, 1);
    link.begin(at(0), small, "lookup", 100);

    link.close(transfers[0]);
    write_all(&mut link, &transfers[1..]);

    assert_eq!(before, 2 * LARGE);
    assert_eq!(link.pending(), 0);
}
