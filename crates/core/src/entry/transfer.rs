//! What a leader leaves to those after it: a transfer of its leadership to one other
//! instance, or a report of its grants.
//!
//! A leader that stops goes on leading while it offers its leadership to a successor. The
//! successor connects to the upstreams and answers with a request. If the leader can't be
//! sure that it is still the leader, it goes on until the upstreams have answered it once
//! more, so that the successor's connections lead to the same processes as its own. Then it
//! steps down, and the reply to the request contains the ledger. Any copy of these messages
//! may be lost, repeated, or wait in the socket of a suspended process. So that no two
//! instances resume one epoch, the leader replies to one process only, and a process accepts
//! only a recent reply to its latest request. It counts the age of the leader's last
//! confirmed write from before that request was sent.
//!
//! A ledger that was passed on is not reported. The successor may have granted keys since,
//! also without a record that names it, and only a report of the last leader of a claim
//! tells how long all grants of the claim last.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_macros::data;

use super::leadership::Leadership;
use super::ledger::{Ledger, LedgerSnapshot};
use crate::time::Time;

/// Time for which a leader that may have been replaced waits until all upstreams have
/// answered it since its successor has connected to them.
pub const VERIFICATION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time within which an offer must be answered; then the leader offers its leadership to
/// the next candidate. An instance that is alive answers within a few milliseconds.
pub const OFFER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time from a request until its reply is refused. Requests are sent again while offers
/// arrive, so a reply that is this late was delayed in a suspended process.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of instances that a leader offers its leadership to. With two, it resigns
/// before the other instances miss its heartbeats.
const MAX_CANDIDATES: usize = 2;

/// Number of times that a report is sent to each later leader, with its heartbeats, since
/// messages may be lost.
pub const REPORT_SENDS: u32 = 3;

/// Process of an instance.
#[data(key)]
pub struct Process {
    /// Address of the instance.
    pub address: SocketAddr,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started: u64,
}

/// Offer of a leader that has stopped acting.
#[data(plain)]
pub struct Offer {
    epoch: u64,
    /// Instances that have not been offered the leadership yet, the next one last.
    candidates: Vec<SocketAddr>,
    /// Instance that the leadership is offered to, and the time of its first offer.
    receiver: Option<(SocketAddr, Time)>,
    /// The only process that may take over. Set by its first request.
    successor: Option<Process>,
}

impl Offer {
    /// Offer of the leadership of an epoch to the first of `candidates` that answers.
    pub fn new(epoch: u64, candidates: impl Iterator<Item = SocketAddr>) -> Offer {
        let mut candidates: Vec<SocketAddr> = candidates.take(MAX_CANDIDATES).collect();
        candidates.reverse();
        Offer {
            epoch,
            candidates,
            receiver: None,
            successor: None,
        }
    }

    /// Epoch of the leadership.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether a successor has requested the leadership, so that it may lead now.
    pub fn is_taken(&self) -> bool {
        self.successor.is_some()
    }

    /// Instance to send the offer to now. Returns `None` if none of the candidates has
    /// answered in time; from then on all requests are refused.
    pub fn receiver(&mut self, now: Time) -> Option<SocketAddr> {
        let is_waiting = |(_, since): &(SocketAddr, Time)| now.since(*since) < OFFER_TIMEOUT;
        if !self.is_taken() && !self.receiver.as_ref().is_some_and(is_waiting) {
            self.receiver = self.candidates.pop().map(|next| (next, now));
        }
        self.receiver.map(|(address, _)| address)
    }

    /// Whether to send the ledger to a process that requests the leadership of an epoch.
    /// After the first such request, only the same process receives it.
    pub fn accept_request(&mut self, epoch: u64, process: Process) -> bool {
        let is_receiver = self
            .receiver
            .is_some_and(|(address, _)| address == process.address);
        epoch == self.epoch && is_receiver && *self.successor.get_or_insert(process) == process
    }
}

/// Connections to the upstreams that an instance opens before it takes over an offered
/// leadership. They are opened once for an epoch, since the leader counts from the first
/// request after that.
#[data(plain)]
#[derive(Default)]
pub struct Preparation {
    /// Epoch of the latest offered leadership; 0 before the first.
    epoch: u64,
    /// Time at which the last connection was opened; `None` until then.
    connected_at: Option<Time>,
}

impl Preparation {
    /// Begins to prepare for taking over the leadership of an epoch. Returns false if that
    /// has begun before, or if a later leadership was offered.
    pub fn begin(&mut self, epoch: u64) -> bool {
        let is_new = epoch > self.epoch;
        if is_new {
            *self = Preparation {
                epoch,
                connected_at: None,
            };
        }
        is_new
    }

    /// Records that the connections for taking over the leadership of an epoch are open.
    pub fn finish(&mut self, epoch: u64, now: Time) {
        if epoch == self.epoch {
            self.connected_at.get_or_insert(now);
        }
    }

    /// Time at which all connections for taking over the leadership of an epoch were open.
    pub fn connected_at(&self, epoch: u64) -> Option<Time> {
        self.connected_at.filter(|_| epoch == self.epoch)
    }
}

/// Decides whether a leader may step down in favour of a successor that has been connected to
/// the upstreams since `connected_at`. Returns the upstreams whose connections at the successor
/// are known to lead to the same processes as this leader's, or `None` if it is too early.
pub fn step_down_for_successor(
    now: Time,
    connected_at: Time,
    leadership: &Leadership,
    ledger: &Ledger,
) -> Option<Vec<SocketAddr>> {
    // Without a snapshot the successor would not know the possible holders of keys.
    ledger.snapshot(now)?;
    if leadership.is_certain(now) {
        return Some(Vec::new());
    }
    let (verified, is_complete) = ledger.answered_since(connected_at);
    let is_late = now.since(connected_at) >= VERIFICATION_TIMEOUT;
    (is_complete || is_late).then_some(verified)
}

/// Ledger of a leader that has stepped down. It goes to one successor, or as a report to
/// the leaders of later claims.
#[data(plain)]
pub struct FinalReport {
    epoch: u64,
    /// Grants of this leader and its predecessors. Their times count from a later moment
    /// when it is sent again, which is safe.
    snapshot: LedgerSnapshot,
    receiver: Receiver,
    /// Latest epoch to whose leader the report was sent, and how often.
    sent: (u64, u32),
}

/// Who receives a leader's ledger.
#[data(plain)]
enum Receiver {
    /// Nobody has received it yet.
    Undecided,
    /// A successor, which continues from it.
    Successor,
    /// The leaders of later claims.
    LaterLeaders,
}

impl FinalReport {
    /// Report of the leader of `epoch`, which has stepped down.
    pub fn new(epoch: u64, snapshot: LedgerSnapshot) -> FinalReport {
        FinalReport {
            epoch,
            snapshot,
            receiver: Receiver::Undecided,
            sent: (epoch, 0),
        }
    }

    /// Epoch that has ended.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Ledger for the successor; `None` if it was reported.
    pub fn pass_on(&mut self) -> Option<&LedgerSnapshot> {
        if self.receiver == Receiver::LaterLeaders {
            return None;
        }
        self.receiver = Receiver::Successor;
        Some(&self.snapshot)
    }

    /// Report to send to the leader of `epoch`, which has been heard. Returns `None` if that
    /// leader has received it or cannot need it, or if a successor has the ledger.
    pub fn repeat(&mut self, epoch: u64) -> Option<&LedgerSnapshot> {
        if epoch <= self.epoch || self.receiver == Receiver::Successor {
            return None;
        }
        self.receiver = Receiver::LaterLeaders;
        if self.sent.0 < epoch {
            self.sent = (epoch, 0);
        }
        if self.sent.0 != epoch || self.sent.1 >= REPORT_SENDS {
            return None;
        }
        self.sent.1 += 1;
        Some(&self.snapshot)
    }
}

/// Latest request of an instance for an offered leadership.
#[data(plain)]
#[derive(Default)]
pub struct Request {
    /// Epoch, nonce, and the time before the request was first sent; `None` if there is
    /// no open request.
    open: Option<(u64, u64, Time)>,
}

impl Request {
    /// Returns the nonce with which to request the leadership of `epoch` now. It is
    /// `new_nonce`, or that of the open request, which is then sent again.
    pub fn send(&mut self, now: Time, epoch: u64, new_nonce: u64) -> u64 {
        match self.open {
            Some((open, nonce, sent)) if open == epoch && now.since(sent) < REPLY_TIMEOUT => nonce,
            _ => {
                self.open = Some((epoch, new_nonce, now));
                new_nonce
            }
        }
    }

    /// Closes the open request with a reply that echoes `nonce`, and returns the time
    /// before the request was sent. Returns `None` if the reply must be refused.
    pub fn close(&mut self, now: Time, epoch: u64, nonce: u64) -> Option<Time> {
        let (.., sent) = self
            .open
            .take_if(|(open, expected, _)| *open == epoch && *expected == nonce)?;
        (now.since(sent) < REPLY_TIMEOUT).then_some(sent)
    }
}
