//! The other instances, and the way of messages to them.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::relay::{self, Branch, Receiver};
use medlarreel_core::time::Time;

use super::State;

/// Time without a message after which an instance no longer counts as alive. Reports are
/// sent every second.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Another instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// UDP address for messages between instances.
    pub address: SocketAddr,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Processor time allotted to it in its settings, in percent of a core.
    pub cpu_percent: u32,
    /// Failure domain that it runs in.
    pub domain: String,
    /// Era of the store in which its process has joined the others.
    pub first_era: Era,
    /// Time of the last message from it; `None` if this instance has received none.
    pub last_heard: Option<Time>,
}

impl Member {
    /// Whether a message from the instance was received recently.
    pub fn is_alive(&self, now: Time) -> bool {
        let heard = self.last_heard;
        heard.is_some_and(|heard| now.since(heard) < LIVENESS_TIMEOUT)
    }
}

impl State {
    /// Adds an instance that has introduced itself. Returns what was known of an instance
    /// with its name.
    pub fn add_member(&self, name: String, member: Member) -> Option<Member> {
        let mut members = self.members.borrow_mut();
        let previous = members.insert(name, member);
        self.metrics.members.set(members.len() as i64);
        previous
    }

    /// Adds an instance from the list of instances, unless it is known. Returns whether it
    /// was added.
    pub fn add_listed_member(&self, name: String, member: Member) -> bool {
        let known_start = {
            let members = self.members.borrow();
            members.get(&name).map(|known| known.started)
        };
        let is_new = known_start.is_none_or(|started| started < member.started);
        if is_new {
            self.add_member(name, member);
        }
        is_new
    }

    /// Whether this instance and all others have started in `era`, so that no process is left
    /// that may have led before.
    pub fn have_all_started_in(&self, era: Era) -> bool {
        let members = self.members.borrow();
        self.first_era.get() == era && members.values().all(|member| member.first_era == era)
    }

    /// Address of the leader of the highest known epoch, if it is another instance.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let leadership = self.leadership.borrow();
        let members = self.members.borrow();
        members
            .get(leadership.leader()?)
            .map(|member| member.address)
    }

    /// Names and addresses of the other instances of this instance's failure domain.
    pub fn neighbours(&self) -> Vec<(String, SocketAddr)> {
        let domain = self.settings.borrow().domain.clone();
        let members = self.members.borrow();
        let neighbours = members.iter().filter(|(_, member)| member.domain == domain);
        neighbours
            .map(|(name, member)| (name.clone(), member.address))
            .collect()
    }

    /// Plans the way of the next broadcast message.
    pub fn plan_broadcast(&self) -> Vec<Branch> {
        let now = self.clock.now();
        let round = self.broadcasts.get();
        self.broadcasts.set(round + 1);
        let members = self.members.borrow();
        let receivers: Vec<Receiver<'_>> = members
            .values()
            .map(|member| Receiver {
                address: member.address,
                domain: &member.domain,
                cpu_percent: member.cpu_percent,
                alive: member.is_alive(now),
            })
            .collect();
        relay::plan_branches(&receivers, round)
    }
}
