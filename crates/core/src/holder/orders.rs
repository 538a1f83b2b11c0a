//! Choice of dispatchers, and the messages that carry orders to them.

use std::sync::Arc;
use std::time::Duration;

use super::ledger::shard;
use super::target::{Order, Renewer};
use super::{Action, Holder, View};
use crate::ids::{Epoch, Instance, Upstream, Version};
use crate::placement::dispatchers_by_preference;
use crate::preset::Isolation;
use crate::time::Time;
use crate::wire::{Assignment, Message};

/// Interval at which unacknowledged orders are repeated.
const REPEAT: Duration = Duration::from_millis(100);

impl Holder {
    /// Chooses the dispatcher and backup of each upstream.
    pub(super) fn appoint(&mut self, view: &View) {
        for &upstream in &view.upstreams {
            let domain = view.state.domain(view.domain(upstream));
            let members = view.state.club(view.club).members.iter();
            let live = members.filter(|member| {
                let peer = self.peers.get(&member.instance);
                member.domain == domain
                    && peer.is_some_and(|peer| peer.known && peer.is_live(view.now))
            });
            let live: Vec<Instance> = live.map(|member| member.instance).collect();
            let ordered =
                dispatchers_by_preference(&view.state.upstream(upstream).server.name, &live);
            let target = self.target(upstream);
            if let Some(&primary) = ordered.first() {
                let roles = Some((primary, ordered.get(1).copied()));
                if target.roles != roles {
                    target.roles = roles;
                    target.forget_sights();
                }
            }
        }
    }

    /// Issues a new order for each upstream that shall hold something else than before.
    pub(super) fn issue(&mut self, view: &View) {
        for &upstream in &view.upstreams {
            self.date_unissued(view, upstream);
            if !self.differs(upstream) {
                continue;
            }
            if view.is_checked(upstream) || !self.must_halt(view, upstream) {
                self.order(view, upstream);
            }
        }
    }

    /// Dates endings at an upstream that has no dispatcher to be ordered anything.
    fn date_unissued(&mut self, view: &View, upstream: Upstream) {
        if self.targets[&upstream].roles.is_none() {
            let service = view.state.upstream(upstream).service;
            let (ballot, count) = (self.ballot, 0);
            self.date_endings(service, upstream, Version { ballot, count });
        }
    }

    fn differs(&self, upstream: Upstream) -> bool {
        let target = &self.targets[&upstream];
        let Some((primary, backup)) = target.roles else {
            return false;
        };
        target.order.as_ref().is_none_or(|order| {
            *order.shards != target.shards
                || order.allowance != target.allowance
                || order.incarnation != target.incarnation
                || (order.primary, order.backup) != (primary, backup)
        })
    }

    /// Stops the dispatchers of an unchecked upstream before it loses a shard
    /// or gets another dispatcher; true until they have stopped.
    fn must_halt(&mut self, view: &View, upstream: Upstream) -> bool {
        let target = &self.targets[&upstream];
        let primary = target.roles.map(|(primary, _)| primary);
        let mild = match &target.order {
            Some(order) => {
                let kept = |entry: (&u16, &Epoch)| target.shards.get(entry.0) == Some(entry.1);
                order.shards.iter().all(kept) && Some(order.primary) == primary
            }
            // The dispatchers of an earlier holder may be others.
            None => {
                let mut senders = target.renewers.iter().filter(|(_, entry)| entry.sends);
                senders.all(|(&sender, _)| Some(sender) == primary)
                    && self.is_accounted(view, upstream)
            }
        };
        let halting = target.halting;
        if mild && halting.is_none() {
            return false;
        }
        let version = match halting {
            Some(version) => version,
            None => self.next_version(),
        };
        let service = view.state.upstream(upstream).service;
        self.date_endings(service, upstream, version);
        let ended = self.has_ended(view, upstream, version);
        self.target(upstream).halting = (!ended).then_some(version);
        !ended
    }

    fn order(&mut self, view: &View, upstream: Upstream) {
        let version = self.next_version();
        let service = view.state.upstream(upstream).service;
        let target = self.target(upstream);
        let Some((primary, backup)) = target.roles else {
            return;
        };
        target.first = target.first.or(Some(version));
        target.issued.push((Some(version), target.allowance));
        target.order = Some(Order {
            version,
            incarnation: target.incarnation,
            shards: Arc::new(target.shards.clone()),
            allowance: target.allowance,
            primary,
            backup,
        });
        self.date_endings(service, upstream, version);
    }

    /// Sends orders and stops to the instances that have not acknowledged them.
    pub(super) fn remind(&mut self, view: &View) {
        for &upstream in &view.upstreams {
            self.forget_former(view, upstream);
            self.send_order(view, upstream);
            if let Some(version) = self.stop_wanted(view, upstream) {
                self.send_stops(view, upstream, version);
            }
        }
    }

    /// Forgets former dispatchers once the upstream refuses their grants.
    fn forget_former(&mut self, view: &View, upstream: Upstream) {
        let checked = view.is_checked(upstream);
        let target = self.targets.entry(upstream).or_default();
        let Some(order) = target.order.as_ref().filter(|_| checked) else {
            return;
        };
        if target.accepted >= Some(order.version) {
            let roles = [Some(order.primary), order.backup];
            target.renewers.retain(|key, _| roles.contains(&Some(*key)));
        }
    }

    fn send_order(&mut self, view: &View, upstream: Upstream) {
        let target = &self.targets[&upstream];
        let Some(order) = target.order.clone().filter(|_| target.halting.is_none()) else {
            return;
        };
        let checked = view.is_checked(upstream);
        let roles = [Some(order.primary), order.backup];
        // Former dispatchers are told once, so that they stop early.
        let former = target.renewers.keys().copied();
        let former = former.filter(|key| checked && !roles.contains(&Some(*key)));
        let former: Vec<Instance> = former.collect();
        for instance in roles.into_iter().flatten() {
            self.send_order_to(view, upstream, &order, instance, true);
        }
        for instance in former {
            self.send_order_to(view, upstream, &order, instance, false);
        }
    }

    fn send_order_to(
        &mut self,
        view: &View,
        upstream: Upstream,
        order: &Order,
        instance: Instance,
        repeat: bool,
    ) {
        let peer = self.peers.get(&instance);
        let Some(peer) = peer.filter(|peer| peer.is_leased(view.now)) else {
            return;
        };
        let target = self.targets.entry(upstream).or_default();
        let renewer = target
            .renewers
            .entry(instance)
            .or_insert(Renewer::new(peer.session, false));
        if !renewer.is_due(view.now, order.version, peer.session, repeat) {
            return;
        }
        // All senders of an unchecked upstream stopped before another one was named.
        renewer.sends = view.is_checked(upstream) || instance == order.primary;
        renewer.presumed &= !renewer.sends;
        renewer.session = peer.session;
        renewer.told = Some((order.version, view.now));
        let assignment = assignment(view, upstream, order, peer.session);
        let message = Message::Assign(assignment);
        self.outbox.push(Action::Send(instance, message));
    }

    /// Version for which stops are to be sent: to move shards of an upstream
    /// that cannot or does not confirm a newer order itself.
    fn stop_wanted(&self, view: &View, upstream: Upstream) -> Option<Version> {
        let target = &self.targets[&upstream];
        if target.halting.is_some() {
            return target.halting;
        }
        let version = target.order.as_ref()?.version;
        let lost = !target.is_alive(view.now);
        (lost && view.is_checked(upstream) && !self.has_ended(view, upstream, version))
            .then_some(version)
    }

    fn send_stops(&mut self, view: &View, upstream: Upstream, version: Version) {
        let target = self.targets.entry(upstream).or_default();
        for (&instance, renewer) in &mut target.renewers {
            let stopped = renewer.stopped.is_some_and(|(known, _)| known >= version);
            let asked = renewer.asked.filter(|(asked, _)| *asked == version);
            if stopped || asked.is_some_and(|(_, at)| !is_due(at, view.now)) {
                continue;
            }
            renewer.asked = Some((version, view.now));
            let message = Message::Stop(upstream, version);
            self.outbox.push(Action::Send(instance, message));
        }
    }
}

impl Renewer {
    /// Whether the instance is to be sent the order.
    fn is_due(&self, now: Time, version: Version, session: u32, repeat: bool) -> bool {
        if self.session != session {
            return true;
        }
        let told = self.told.filter(|(told, _)| *told == version);
        let waited = told.is_none_or(|(_, at)| repeat && is_due(at, now));
        self.acked != Some(version) && waited
    }
}

fn assignment(view: &View, upstream: Upstream, order: &Order, session: u32) -> Assignment {
    let entry = view.state.upstream(upstream);
    let shards = order.shards.iter();
    Assignment {
        version: order.version,
        upstream,
        incarnation: order.incarnation,
        session,
        fencing: entry.server.fencing,
        isolation: if view.lapses(upstream) {
            Isolation::Lapse
        } else {
            Isolation::Keep
        },
        shards: shards
            .map(|(&index, &epoch)| (shard(entry.service, usize::from(index)), epoch))
            .collect(),
        allowance: order.allowance,
        primary: order.primary,
        backup: order.backup,
    }
}

fn is_due(at: Time, now: Time) -> bool {
    now.since(at) >= REPEAT
}
