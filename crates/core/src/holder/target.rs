//! An upstream as the holder directs it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use medlarreel_macros::data;

use super::Holder;
use crate::ids::{Ballot, Epoch, Instance, Upstream, Version};
use crate::time::Time;
use crate::wire::UpstreamObservation;

/// Silence towards all its dispatchers after which an upstream counts as lost.
const SILENT: Duration = Duration::from_millis(700);

/// Age up to which a dispatcher's view of an upstream counts.
const CURRENT: Duration = Duration::from_millis(1_000);

/// Time without any word of an upstream after which it counts as lost. Longer
/// than the replacement of both its dispatchers takes.
const UNHEARD: Duration = Duration::from_millis(1_800);

/// The holder's newest order for an upstream.
#[data(plain)]
pub(super) struct Order {
    pub(super) version: Version,
    pub(super) incarnation: u64,
    /// Shared, because every tick looks whether the order is to be sent again.
    pub(super) shards: Arc<BTreeMap<u16, Epoch>>,
    pub(super) allowance: u16,
    pub(super) primary: Instance,
    pub(super) backup: Option<Instance>,
}

/// An instance that may renew grants of the upstream, or send to it.
#[data(plain)]
pub(super) struct Renewer {
    /// Session of the instance when it was last sent an order.
    pub(super) session: u32,
    /// Whether it is only assumed to serve the upstream by an older order.
    pub(super) presumed: bool,
    /// Whether it may send to the upstream; false for backups at unchecked ones.
    pub(super) sends: bool,
    /// Version that it follows.
    pub(super) acked: Option<Version>,
    /// Version that it was last told, and when.
    pub(super) told: Option<(Version, Time)>,
    /// Last `Stop` that it was sent.
    pub(super) asked: Option<(Version, Time)>,
    /// Acknowledged stop, and the time at which its last older grant has ended.
    pub(super) stopped: Option<(Version, Time)>,
}

impl Renewer {
    pub(super) fn new(session: u32, presumed: bool) -> Renewer {
        Renewer {
            session,
            presumed,
            sends: true,
            acked: None,
            told: None,
            asked: None,
            stopped: None,
        }
    }

    pub(super) fn is_stopped(&self, now: Time, version: Version) -> bool {
        self.stopped
            .is_some_and(|(stopped, end)| stopped >= version && now >= end)
    }
}

/// Orders, proofs and observations of one upstream.
#[data(plain)]
#[derive(Default)]
pub(super) struct Target {
    /// Shards that it shall hold.
    pub(super) shards: BTreeMap<u16, Epoch>,
    /// Slots that it shall have.
    pub(super) allowance: u16,
    /// Dispatcher and backup that it shall have.
    pub(super) roles: Option<(Instance, Option<Instance>)>,
    pub(super) order: Option<Order>,
    /// First version of this holder.
    pub(super) first: Option<Version>,
    pub(super) renewers: BTreeMap<Instance, Renewer>,
    /// Highest version of this holder that the upstream has accepted.
    pub(super) accepted: Option<Version>,
    /// Whether the upstream follows an order of this holder's term.
    pub(super) secured: bool,
    /// Whether members that may serve it unseen were added to `renewers`.
    pub(super) presumed: bool,
    /// When an operator's release was noted.
    pub(super) released: Option<Time>,
    /// Allowances that may be in force, by version; `None` for older orders.
    pub(super) issued: Vec<(Option<Version>, u16)>,
    /// Version for whose sake an unchecked upstream's dispatchers are stopped.
    pub(super) halting: Option<Version>,
    pub(super) incarnation: u64,
    pub(super) draining: bool,
    /// Whether plans may count on it, and since when it deserves the opposite.
    pub(super) eligible: bool,
    pub(super) differs: Option<Time>,
    /// Requests by shard since the last look at the plan.
    pub(super) loads: BTreeMap<u16, u64>,
    /// Time of the newest answer.
    heard: Option<Time>,
    /// When each dispatcher last reported, and whether the upstream was silent.
    sights: BTreeMap<Instance, (Time, bool)>,
}

impl Target {
    pub(super) fn is_alive(&self, now: Time) -> bool {
        let Some(heard) = self.heard else {
            return false;
        };
        let mut current = self
            .sights
            .values()
            .filter(|(at, _)| now.since(*at) < CURRENT)
            .peekable();
        let silent = current.peek().is_some() && current.all(|(_, silent)| *silent);
        !silent && now.since(heard) < UNHEARD
    }

    /// Whether the upstream can be given shards.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        self.is_alive(now) && !self.draining && self.incarnation != 0 && self.roles.is_some()
    }

    /// Whether an operator vouches that the upstream is gone, and it was not heard since.
    pub(super) fn is_released(&self) -> bool {
        self.released
            .is_some_and(|released| self.heard.is_none_or(|heard| heard <= released))
    }

    pub(super) fn assigned(&mut self, from: Instance, version: Version) {
        if let Some(renewer) = self.renewers.get_mut(&from) {
            renewer.acked = renewer.acked.max(Some(version));
        }
    }

    pub(super) fn granted(
        &mut self,
        now: Time,
        ballot: Ballot,
        incarnation: u64,
        version: Version,
    ) {
        if self.heard.is_none_or(|heard| heard <= now) {
            self.heard = Some(now);
            self.incarnation = incarnation;
        }
        self.accept(ballot, version);
    }

    /// Notes a version that the upstream reports; versions of others prove nothing.
    fn accept(&mut self, ballot: Ballot, version: Version) {
        self.secured |= version.ballot.term == ballot.term;
        if version.ballot == ballot {
            self.accepted = self.accepted.max(Some(version));
        }
    }

    pub(super) fn stopped(&mut self, from: Instance, version: Version, end: Time) {
        if let Some(renewer) = self.renewers.get_mut(&from) {
            let known = renewer.stopped.map(|(known, _)| known);
            if known < Some(version) {
                renewer.stopped = Some((version, end));
            }
        }
    }

    pub(super) fn see(
        &mut self,
        now: Time,
        ballot: Ballot,
        from: Instance,
        session: u32,
        seen: &UpstreamObservation,
    ) {
        if let Some(renewer) = self.renewers.get_mut(&from) {
            let current = session == renewer.session;
            renewer.acked = seen.assigned_version.filter(|_| current);
        }
        if let Some(version) = seen.version {
            self.accept(ballot, version);
        }
        for &(index, count) in &seen.loads {
            *self.loads.entry(index).or_insert(0) += u64::from(count);
        }
        let Some(silence) = seen.response_age else {
            return;
        };
        self.sights.insert(from, (now, silence >= SILENT));
        let heard = Some(now - silence);
        if self.heard <= heard {
            self.heard = heard;
            self.incarnation = seen.incarnation;
            self.draining = seen.draining;
        }
    }

    /// Forgets views of instances that no longer dispatch.
    pub(super) fn forget_sights(&mut self) {
        let Some((primary, backup)) = self.roles else {
            return;
        };
        self.sights
            .retain(|&instance, _| instance == primary || Some(instance) == backup);
    }
}

impl Holder {
    /// Takes in what a dispatcher saw of an upstream.
    pub(super) fn observe(
        &mut self,
        now: Time,
        from: Instance,
        session: u32,
        seen: &UpstreamObservation,
    ) {
        let ballot = self.ballot;
        let leaving = self.leaving.contains(&seen.upstream);
        let target = self.target(seen.upstream);
        target.see(now, ballot, from, session, seen);
        target.draining |= leaving;
    }

    pub(super) fn target(&mut self, upstream: Upstream) -> &mut Target {
        self.targets.entry(upstream).or_default()
    }
}
