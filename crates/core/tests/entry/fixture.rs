//! Fixtures shared by the tests.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use medlarreel_core::entry::directory::Registration;
use medlarreel_core::entry::era::transferred_epoch;
use medlarreel_core::entry::ledger::{Ledger, LedgerSnapshot};
use medlarreel_core::entry::map::Owner;
use medlarreel_core::entry::plan::Candidate;
use medlarreel_core::time::Time;

/// Time `ms` milliseconds after the start of a test.
pub fn at(ms: u64) -> Time {
    Time(60_000_000 + ms * 1_000)
}

/// Duration of `ms` milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Address of upstream `number`.
pub fn address(number: u8) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, number), 8_000).into()
}

/// First incarnation of upstream `number`.
pub fn owner(number: u8) -> Owner {
    Owner {
        id: format!("u{number}"),
        born: 1,
        address: address(number),
    }
}

/// Upstreams 1 to `count` as candidates of equal capacity.
pub fn candidates(count: u8) -> Vec<Candidate> {
    let candidate = |number| Candidate {
        owner: owner(number),
        capacity: 6.0,
    };
    (1..=count).map(candidate).collect()
}

/// Duration of a lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);

/// Ledger of the leader to which a stopped one has passed its claim on.
pub fn resume(snapshot: &LedgerSnapshot, now: Time) -> Ledger {
    let epoch = transferred_epoch(snapshot.owners.epoch).unwrap();
    Ledger::resume(epoch, snapshot, LEASE_DURATION, now)
}

/// Registration of upstream `number`.
pub fn registration(number: u8) -> Registration {
    Registration {
        id: format!("u{number}"),
        service: "intake".into(),
        address: address(number),
        domain: "a".into(),
        slots: 6,
        draining: false,
        warmup: Duration::ZERO,
        sequence: 1,
        born: 1,
    }
}
