//! When an instance leads, and how long a leader may act.
//!
//! The leader's record in the store is written only under the condition that
//! nobody else wrote in between, so each append proves that no other instance
//! has taken over before it. Between appends the leader acts on for at most
//! `LEADER_LEASE`, which bounds what a successor has to wait for where it can't reach
//! an upstream itself.

use std::time::Duration;

use medlarreel_macros::data;

use crate::time::Time;

/// Time after its last successful append during which a leader may grant keys.
/// It covers outages of the store of up to 10 s.
pub const LEADER_LEASE: Duration = Duration::from_secs(12);

/// Time between the leader's appends while nothing changes.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);

/// Silence of the leader after which another instance looks at its record. Beats
/// are sent every 250 ms, so this allows for two lost ones.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(750);

/// Time for which the leader's record must stay the same before another instance
/// stands. A leader that is only out of this instance's sight keeps the lead,
/// since instances on two sides of a cut would take it from each other.
pub const STALE_RECORD_AGE: Duration = Duration::from_millis(1_200);

/// Difference between the delays of two instances that could stand next.
pub const CAMPAIGN_STAGGER: Duration = Duration::from_millis(250);

/// What an instance believes about the lead.
#[data(plain)]
pub enum Role {
    /// Somebody else leads, or nobody.
    Follower,
    /// This instance leads under `epoch`.
    Leader {
        /// Epoch of its lead, from 1.
        epoch: u64,
        /// Time before its last successful append was sent.
        confirmed: Time,
    },
}

/// Belief about who leads.
#[data(plain)]
pub struct Leadership {
    role: Role,
    /// Highest epoch that is known, and its leader's name.
    highest: u64,
    leader: Option<String>,
    heard: Time,
    stand_at: Time,
    /// End of the leader's topic, and the time at which it was first seen.
    seen: Option<(u64, Time)>,
    /// Whether the leader has given its lead up.
    vacant: bool,
}

impl Leadership {
    /// Belief of an instance that has just started.
    pub fn new(now: Time) -> Leadership {
        Leadership {
            role: Role::Follower,
            highest: 0,
            leader: None,
            heard: now,
            stand_at: now,
            seen: None,
            vacant: false,
        }
    }

    /// Epoch under which this instance may act now.
    pub fn active_epoch(&self, now: Time) -> Option<u64> {
        match self.role {
            Role::Leader { epoch, confirmed } if now < confirmed + LEADER_LEASE => Some(epoch),
            _ => None,
        }
    }

    /// Epoch under which this instance leads, whether it may act or not.
    pub fn epoch(&self) -> Option<u64> {
        match self.role {
            Role::Leader { epoch, .. } => Some(epoch),
            Role::Follower => None,
        }
    }

    /// Highest epoch that is known.
    pub fn highest_epoch(&self) -> u64 {
        self.highest
    }

    /// Name of the leader of the highest epoch.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Notes that this instance became leader, by a record sent at `sent`.
    pub fn become_leader(&mut self, name: &str, epoch: u64, sent: Time) {
        self.vacant = false;
        self.highest = epoch;
        self.leader = Some(name.to_owned());
        self.role = Role::Leader {
            epoch,
            confirmed: sent,
        };
    }

    /// Notes a successful append of the leader, sent at `sent`.
    pub fn confirm(&mut self, sent: Time) {
        if let Role::Leader { confirmed, .. } = &mut self.role {
            *confirmed = sent.max(*confirmed);
        }
    }

    /// Time of the leader's last successful append.
    pub fn confirmed_at(&self) -> Option<Time> {
        match self.role {
            Role::Leader { confirmed, .. } => Some(confirmed),
            Role::Follower => None,
        }
    }

    /// Gives up the lead.
    pub fn step_down(&mut self, now: Time) {
        self.role = Role::Follower;
        self.heard = now;
    }

    /// Notes a sign of life of the leader of an epoch; true if it is news.
    ///
    /// `able` tells whether that leader reaches the store. One that doesn't is
    /// replaced as if it were silent.
    pub fn observe_heartbeat(&mut self, now: Time, epoch: u64, leader: &str, able: bool) -> bool {
        if epoch < self.highest {
            return false;
        }
        let news = epoch > self.highest;
        if news {
            self.vacant = false;
            self.highest = epoch;
            self.leader = Some(leader.to_owned());
            if self.epoch().is_some_and(|mine| mine < epoch) {
                self.role = Role::Follower;
            }
        }
        if epoch > 0 && self.leader.as_deref() != Some(leader) {
            // A leader that stops may pass its epoch on.
            self.leader = Some(leader.to_owned());
        }
        if able || news {
            self.heard = now;
        }
        news
    }

    /// Notes that the leader has given up its lead of an epoch.
    pub fn observe_resignation(&mut self, now: Time, epoch: u64) {
        if epoch == self.highest {
            self.heard = now - HEARTBEAT_TIMEOUT;
            self.vacant = true;
        }
    }

    /// Whether the leader's topic, which ends at `end`, shows that nobody leads.
    pub fn is_leader_inactive(&mut self, now: Time, end: u64) -> bool {
        match self.seen {
            _ if self.vacant => true,
            Some((seen, since)) if seen == end => now.since(since) >= STALE_RECORD_AGE,
            _ => {
                self.seen = Some((end, now));
                false
            }
        }
    }

    /// Whether this instance looks at the leader's record now, to stand if nobody
    /// leads; `place` is its place among those that could.
    pub fn should_campaign(&self, now: Time, place: u32, store_reachable: bool) -> bool {
        let patience = match self.leader {
            Some(_) => HEARTBEAT_TIMEOUT + CAMPAIGN_STAGGER * place,
            None => CAMPAIGN_STAGGER * place,
        };
        let silent = now.since(self.heard) >= patience;
        self.epoch().is_none() && store_reachable && silent && now >= self.stand_at
    }

    /// Puts off the next attempt after one that failed.
    pub fn postpone_campaign(&mut self, until: Time) {
        self.stand_at = until;
    }
}
