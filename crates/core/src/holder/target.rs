//! Intended and observed state of each upstream, as the holder keeps it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use medlarreel_macros::data;

use super::Holder;
use crate::ids::{Ballot, Epoch, Instance, Upstream, Version};
use crate::time::Time;
use crate::wire::UpstreamObservation;

/// Time without a response to any of its dispatchers after which an upstream counts as
/// lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Age up to which a dispatcher's observation of an upstream is used.
const OBSERVATION_MAX_AGE: Duration = Duration::from_millis(1_000);

/// Time since an upstream's last known response after which it counts as lost. Longer
/// than it takes to replace both of its dispatchers.
const UNHEARD_TIMEOUT: Duration = Duration::from_millis(1_800);

/// The holder's newest order for an upstream.
#[data(plain)]
pub(super) struct Order {
    pub(super) version: Version,
    pub(super) incarnation: u64,
    /// Shared, because every tick clones the order to check whether to send it again.
    pub(super) shards: Arc<BTreeMap<u16, Epoch>>,
    pub(super) allowance: u16,
    pub(super) primary: Instance,
    pub(super) backup: Option<Instance>,
}

/// An instance that may send grants or requests to the upstream, as its current or
/// former dispatcher or by an order of an earlier holder.
#[data(plain)]
pub(super) struct Sender {
    /// Session of the instance when it was last sent an order.
    pub(super) session: u32,
    /// Whether it is only assumed, not reported, to serve the upstream by an older order.
    pub(super) presumed: bool,
    /// Whether it may send to the upstream; false for the backup of an unchecked one.
    pub(super) may_send: bool,
    /// Version that it has acknowledged.
    pub(super) acked: Option<Version>,
    /// Version that was last sent to it, and when.
    pub(super) last_sent: Option<(Version, Time)>,
    /// Version of the last `Stop` that was sent to it, and when.
    pub(super) stop_sent: Option<(Version, Time)>,
    /// Version of the acknowledged stop, and the time by which its last older grant has
    /// ended.
    pub(super) stopped: Option<(Version, Time)>,
}

impl Sender {
    pub(super) fn new(session: u32, presumed: bool) -> Sender {
        Sender {
            session,
            presumed,
            may_send: true,
            acked: None,
            last_sent: None,
            stop_sent: None,
            stopped: None,
        }
    }

    pub(super) fn is_stopped(&self, now: Time, version: Version) -> bool {
        self.stopped
            .is_some_and(|(stopped, end)| stopped >= version && now >= end)
    }
}

/// Orders for one upstream, the evidence of what it may still hold, and observations.
#[data(plain)]
#[derive(Default)]
pub(super) struct Target {
    /// Indexes and epochs of the shards that it is to hold.
    pub(super) shards: BTreeMap<u16, Epoch>,
    /// Slots that it is to have.
    pub(super) allowance: u16,
    /// Primary and backup dispatcher that it is to have.
    pub(super) roles: Option<(Instance, Option<Instance>)>,
    pub(super) order: Option<Order>,
    /// Version of this holder's first order.
    pub(super) first_version: Option<Version>,
    /// Instances that may send grants or requests to it.
    pub(super) senders: BTreeMap<Instance, Sender>,
    /// Highest version of this holder that the upstream has accepted.
    pub(super) accepted: Option<Version>,
    /// Whether the upstream is known to follow an order of this holder's term.
    pub(super) follows_term: bool,
    /// Whether members that may serve it without having reported so were added to
    /// `senders`.
    pub(super) members_presumed: bool,
    /// When this holder learned of an operator's release.
    pub(super) released: Option<Time>,
    /// Allowances that may be in force, by version; `None` for orders of earlier holders.
    pub(super) possible_allowances: Vec<(Option<Version>, u16)>,
    /// Version of the stop that an unchecked upstream's dispatchers have yet to confirm.
    pub(super) halt_version: Option<Version>,
    /// Run of the upstream's process that responded last; 0 before the first response.
    pub(super) incarnation: u64,
    /// Whether it reports that it drains, or the platform lists it as leaving.
    pub(super) draining: bool,
    /// Whether plans may use it, and since when its usability has differed from that.
    pub(super) eligible: bool,
    pub(super) eligibility_change_since: Option<Time>,
    /// Requests by shard since the plan was last reviewed.
    pub(super) loads: BTreeMap<u16, u64>,
    /// Time of its newest known response.
    last_response: Option<Time>,
    /// When each dispatcher last reported on it, and whether it was silent then.
    observations: BTreeMap<Instance, (Time, bool)>,
}

impl Target {
    /// Whether it has responded recently, and not all current observations call it
    /// silent.
    pub(super) fn is_alive(&self, now: Time) -> bool {
        let Some(last_response) = self.last_response else {
            return false;
        };
        let mut current = self
            .observations
            .values()
            .filter(|(at, _)| now.since(*at) < OBSERVATION_MAX_AGE)
            .peekable();
        let silent = current.peek().is_some() && current.all(|(_, silent)| *silent);
        !silent && now.since(last_response) < UNHEARD_TIMEOUT
    }

    /// Whether the upstream can be given shards.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        self.is_alive(now) && !self.draining && self.incarnation != 0 && self.roles.is_some()
    }

    /// Whether an operator released the upstream and it has not responded since.
    pub(super) fn is_released(&self) -> bool {
        self.released
            .is_some_and(|released| self.last_response.is_none_or(|at| at <= released))
    }

    pub(super) fn handle_assigned(&mut self, from: Instance, version: Version) {
        if let Some(sender) = self.senders.get_mut(&from) {
            sender.acked = sender.acked.max(Some(version));
        }
    }

    pub(super) fn handle_granted(
        &mut self,
        now: Time,
        ballot: Ballot,
        incarnation: u64,
        version: Version,
    ) {
        if self
            .last_response
            .is_none_or(|last_response| last_response <= now)
        {
            self.last_response = Some(now);
            self.incarnation = incarnation;
        }
        self.record_accepted(ballot, version);
    }

    /// Records a version that the upstream has accepted. Versions of other holders are no
    /// evidence, except of the term that it follows.
    fn record_accepted(&mut self, ballot: Ballot, version: Version) {
        self.follows_term |= version.ballot.term == ballot.term;
        if version.ballot == ballot {
            self.accepted = self.accepted.max(Some(version));
        }
    }

    pub(super) fn handle_stopped(&mut self, from: Instance, version: Version, end: Time) {
        if let Some(sender) = self.senders.get_mut(&from) {
            let known = sender.stopped.map(|(known, _)| known);
            if known < Some(version) {
                sender.stopped = Some((version, end));
            }
        }
    }

    pub(super) fn handle_observation(
        &mut self,
        now: Time,
        ballot: Ballot,
        from: Instance,
        session: u32,
        observed: &UpstreamObservation,
    ) {
        if let Some(sender) = self.senders.get_mut(&from) {
            let current = session == sender.session;
            sender.acked = observed.assigned_version.filter(|_| current);
        }
        if let Some(version) = observed.version {
            self.record_accepted(ballot, version);
        }
        for &(index, count) in &observed.loads {
            *self.loads.entry(index).or_insert(0) += u64::from(count);
        }
        let Some(response_age) = observed.response_age else {
            return;
        };
        self.observations
            .insert(from, (now, response_age >= SILENCE_TIMEOUT));
        let last_response = Some(now - response_age);
        if self.last_response <= last_response {
            self.last_response = last_response;
            self.incarnation = observed.incarnation;
            self.draining = observed.draining;
        }
    }

    /// Drops observations of instances that are no longer its dispatchers.
    pub(super) fn forget_former_observations(&mut self) {
        let Some((primary, backup)) = self.roles else {
            return;
        };
        self.observations
            .retain(|&instance, _| instance == primary || Some(instance) == backup);
    }
}

impl Holder {
    /// Handles a dispatcher's observation of an upstream.
    pub(super) fn handle_observation(
        &mut self,
        now: Time,
        from: Instance,
        session: u32,
        observed: &UpstreamObservation,
    ) {
        let ballot = self.ballot;
        let leaving = self.leaving.contains(&observed.upstream);
        let target = self.target(observed.upstream);
        target.handle_observation(now, ballot, from, session, observed);
        target.draining |= leaving;
    }

    pub(super) fn target(&mut self, upstream: Upstream) -> &mut Target {
        self.targets.entry(upstream).or_default()
    }
}
