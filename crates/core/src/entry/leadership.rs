//! Leader election, and the lease under which a leader may act.
//!
//! The leader appends to its topic in the store only on the condition that no other
//! instance has written since, so each successful append proves that no other instance
//! has become leader before it. After an append the leader may act for at most
//! `LEADER_LEASE`. This bounds how long a successor has to wait if it cannot reach an
//! upstream itself.
//!
//! Upstreams refuse a leader that was replaced once they have heard a later one, but forget
//! that when they restart. A leader that may have been replaced therefore sends orders only
//! on connections from before: they lead to processes that remember, or are closed. So does
//! one that has taken over from such a leader, which tells it that an upstream has answered
//! since it had connected to it.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_macros::data;

use super::era::Era;
use crate::time::{Time, min_with_drift};

/// Time after its last successful append during which a leader may grant keys. It
/// covers outages of the store of up to 10 s.
pub const LEADER_LEASE: Duration = Duration::from_secs(12);

/// Interval between the leader's appends while nothing changes.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);

/// Time without a heartbeat after which another instance checks the leader's record.
/// Heartbeats are sent every 250 ms, so two may be lost.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(750);

/// Time without a change of the leader's topic after which another instance may take
/// over. A leader that is only unreachable from this instance stays leader, since
/// otherwise the instances on both sides of a network partition would keep replacing
/// each other.
pub const STALE_RECORD_AGE: Duration = Duration::from_millis(1_200);

/// Difference between the campaign delays of consecutive candidates.
pub const CAMPAIGN_STAGGER: Duration = Duration::from_millis(250);

/// Role of an instance in the election.
#[data(plain)]
pub enum Role {
    /// Another instance is leader, or there is none.
    Follower,
    /// This instance is leader of `epoch`.
    Leader {
        /// Epoch of the leadership; the first is 1.
        epoch: u64,
        /// Time at which the last successful append was sent.
        confirmed_at: Time,
    },
}

/// State of leader election, as known to one instance.
#[data(plain)]
pub struct Leadership {
    role: Role,
    /// Highest known epoch and the name of its leader.
    highest_epoch: u64,
    leader: Option<String>,
    /// Highest epoch in which this process has led; 0 if it never has.
    highest_led: u64,
    /// Time until which this instance may connect to upstreams as the leader.
    connect_until: Time,
    /// Upstreams that were connected to at the given time and have answered the leader
    /// before since.
    verified: (Vec<SocketAddr>, Time),
    /// Time from which the heartbeat timeout is counted. Heartbeats of a leader that
    /// cannot reach the store do not advance it, unless they announce a new epoch.
    last_heartbeat: Time,
    /// Earliest time of the next campaign.
    campaign_after: Time,
    /// Last seen era and end of the leader's topic, and when they were first seen.
    last_topic_end: Option<((Era, u64), Time)>,
    /// Whether the leader has stepped down.
    vacant: bool,
}

impl Leadership {
    /// Creates the state of an instance that has just started.
    pub fn new(now: Time) -> Leadership {
        Leadership {
            role: Role::Follower,
            highest_epoch: 0,
            leader: None,
            highest_led: 0,
            connect_until: now,
            verified: (Vec::new(), now),
            last_heartbeat: now,
            campaign_after: now,
            last_topic_end: None,
            vacant: false,
        }
    }

    /// Epoch in which this instance may act as leader now; `None` if it is not leader or
    /// its lease has expired.
    pub fn active_epoch(&self, now: Time) -> Option<u64> {
        match self.role {
            Role::Leader {
                epoch,
                confirmed_at,
            } if now < confirmed_at + LEADER_LEASE => Some(epoch),
            _ => None,
        }
    }

    /// Epoch of which this instance is leader, even if its lease has expired; `None` if
    /// it is a follower.
    pub fn epoch(&self) -> Option<u64> {
        match self.role {
            Role::Leader { epoch, .. } => Some(epoch),
            Role::Follower => None,
        }
    }

    /// Highest known epoch, 0 before any is known.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// Name of the leader of the highest known epoch, even if it has stepped down; `None`
    /// before any epoch is known.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Minimum age of the connection for an order to an upstream that is sent now. It is zero
    /// if the connection may be new.
    pub fn min_connection_age(&self, now: Time, upstream: SocketAddr) -> Duration {
        let (verified, connected_at) = &self.verified;
        match verified.contains(&upstream) {
            true => now.since(self.connect_until.max(*connected_at)),
            false => now.since(self.connect_until),
        }
    }

    /// Whether this instance leads, and no other one can have claimed leadership.
    pub fn is_certain(&self, now: Time) -> bool {
        self.epoch().is_some() && now <= self.connect_until
    }

    /// Records that this instance took over from a leader that stopped, whose last
    /// successful append was sent at `confirmed_at`. `verified` names the upstreams that
    /// have answered that leader since this instance had connected to them, at
    /// `connected_at`.
    pub fn take_over(
        &mut self,
        name: &str,
        epoch: u64,
        confirmed_at: Time,
        verified: Vec<SocketAddr>,
        connected_at: Time,
    ) {
        self.become_leader(name, epoch, confirmed_at);
        self.verified = (verified, connected_at);
    }

    /// Records that this instance became leader by a record sent at `sent_at`.
    pub fn become_leader(&mut self, name: &str, epoch: u64, sent_at: Time) {
        self.vacant = false;
        self.highest_epoch = epoch;
        self.highest_led = self.highest_led.max(epoch);
        self.leader = Some(name.to_owned());
        self.role = Role::Leader {
            epoch,
            confirmed_at: sent_at,
        };
        self.connect_until = sole_until(sent_at);
        self.verified.0.clear();
    }

    /// Records a successful append by this instance as leader, sent at `sent_at`.
    pub fn record_append(&mut self, sent_at: Time) {
        if let Role::Leader { confirmed_at, .. } = &mut self.role {
            *confirmed_at = sent_at.max(*confirmed_at);
            self.connect_until = self.connect_until.max(sole_until(sent_at));
        }
    }

    /// Time at which the last successful append was sent, if this instance is leader.
    pub fn confirmed_at(&self) -> Option<Time> {
        match self.role {
            Role::Leader { confirmed_at, .. } => Some(confirmed_at),
            Role::Follower => None,
        }
    }

    /// Makes this instance a follower and restarts the heartbeat timeout.
    pub fn step_down(&mut self, now: Time) {
        self.role = Role::Follower;
        self.last_heartbeat = now;
    }

    /// Whether this instance may take over from the leader of an epoch, which has stopped.
    /// If this process has led that epoch or a later one, it may not: the offered ledger may
    /// lack the orders that this process has sent.
    pub fn accepts_transfer(&self, epoch: u64) -> bool {
        self.epoch().is_none() && epoch >= self.highest_epoch && epoch > self.highest_led
    }

    /// Restarts the heartbeat timeout.
    pub fn restart_heartbeat_timeout(&mut self, now: Time) {
        self.last_heartbeat = now;
    }

    /// Records a heartbeat of the leader of an epoch; returns whether the epoch is new.
    ///
    /// `store_reachable` tells whether that leader can reach the store. A leader that
    /// cannot is replaced as if it sent no heartbeats.
    pub fn observe_heartbeat(
        &mut self,
        now: Time,
        epoch: u64,
        leader: &str,
        store_reachable: bool,
    ) -> bool {
        if epoch < self.highest_epoch {
            return false;
        }
        let is_new = epoch > self.highest_epoch;
        if is_new {
            self.vacant = false;
            self.highest_epoch = epoch;
            self.leader = Some(leader.to_owned());
            if self.epoch().is_some_and(|own| own < epoch) {
                self.role = Role::Follower;
            }
        }
        if epoch > 0 && self.leader.as_deref() != Some(leader) {
            // The name is not known yet if the epoch was read from a record.
            self.leader = Some(leader.to_owned());
        }
        if store_reachable || is_new {
            self.last_heartbeat = now;
        }
        is_new
    }

    /// Records that the leader of an epoch has stepped down, so that other instances do
    /// not wait for its heartbeats. Ignored unless it is the highest known epoch.
    pub fn observe_resignation(&mut self, now: Time, epoch: u64) {
        if epoch == self.highest_epoch {
            self.last_heartbeat = now - HEARTBEAT_TIMEOUT;
            self.vacant = true;
        }
    }

    /// Records that the leader's topic ends at `end` of `era` now; returns whether the
    /// leader is inactive. It is if it has stepped down, or if the topic has not changed for
    /// `STALE_RECORD_AGE` since this instance first saw this end.
    pub fn observe_topic_end(&mut self, now: Time, era: Era, end: u64) -> bool {
        match self.last_topic_end {
            _ if self.vacant => true,
            Some((seen, since)) if seen == (era, end) => now.since(since) >= STALE_RECORD_AGE,
            _ => {
                self.last_topic_end = Some(((era, end), now));
                false
            }
        }
    }

    /// Whether the leader should have been heard by now and was not.
    pub fn is_silent(&self, now: Time) -> bool {
        now.since(self.last_heartbeat) >= HEARTBEAT_TIMEOUT
    }

    /// Whether this instance should check the leader's record now and campaign if there
    /// is no active leader. `position` is the number of candidates that come before it.
    pub fn should_campaign(&self, now: Time, position: u32, store_reachable: bool) -> bool {
        let timeout = match self.leader {
            Some(_) => HEARTBEAT_TIMEOUT + CAMPAIGN_STAGGER * position,
            None => CAMPAIGN_STAGGER * position,
        };
        let timed_out = now.since(self.last_heartbeat) >= timeout;
        self.epoch().is_none() && store_reachable && timed_out && now >= self.campaign_after
    }

    /// Postpones the next campaign after a failed one.
    pub fn postpone_campaign(&mut self, until: Time) {
        self.campaign_after = until;
    }
}

/// Time until which no other instance can have claimed leadership after an append that was
/// sent at `sent_at`.
fn sole_until(sent_at: Time) -> Time {
    sent_at + min_with_drift(STALE_RECORD_AGE)
}
