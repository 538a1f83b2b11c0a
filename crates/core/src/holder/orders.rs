//! Choice of dispatchers, and the messages that carry orders to them.

use std::sync::Arc;
use std::time::Duration;

use super::shard_table::shard;
use super::target::{Order, Sender};
use super::{Action, Holder, View};
use crate::ids::{Epoch, Instance, Upstream, Version};
use crate::placement::dispatchers_by_preference;
use crate::preset::Isolation;
use crate::time::Time;
use crate::wire::{Assignment, Message};

/// Interval at which unacknowledged orders and stops are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

impl Holder {
    /// Chooses the primary and backup dispatcher of each upstream.
    pub(super) fn choose_dispatchers(&mut self, view: &View) {
        for &upstream in &view.upstreams {
            let domain = view.state.domain(view.domain(upstream));
            let members = view.state.club(view.club).members.iter();
            let live = members.filter(|member| {
                let peer = self.peers.get(&member.instance);
                member.domain == domain
                    && peer.is_some_and(|peer| peer.fully_reported && peer.is_live(view.now))
            });
            let live: Vec<Instance> = live.map(|member| member.instance).collect();
            let ordered =
                dispatchers_by_preference(&view.state.upstream(upstream).spec.name, &live);
            let target = self.target(upstream);
            if let Some(&primary) = ordered.first() {
                let roles = Some((primary, ordered.get(1).copied()));
                if target.roles != roles {
                    target.roles = roles;
                    target.forget_former_observations();
                }
            }
        }
    }

    /// Issues a new order for each upstream whose intended state differs from its last
    /// order.
    pub(super) fn issue_orders(&mut self, view: &View) {
        for &upstream in &view.upstreams {
            self.set_ending_without_dispatcher(view, upstream);
            if !self.needs_new_order(upstream) {
                continue;
            }
            if view.is_checked(upstream) || !self.halt_if_needed(view, upstream) {
                self.issue_order(view, upstream);
            }
        }
    }

    /// Sets the ending version of shards at an upstream that has no dispatcher, since no
    /// order will be issued there. Count 0 is newer than all orders of earlier holders.
    fn set_ending_without_dispatcher(&mut self, view: &View, upstream: Upstream) {
        if self.targets[&upstream].roles.is_none() {
            let service = view.state.upstream(upstream).service;
            let (ballot, count) = (self.ballot, 0);
            self.set_ending_version(service, upstream, Version { ballot, count });
        }
    }

    fn needs_new_order(&self, upstream: Upstream) -> bool {
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

    /// Stops the dispatchers of an unchecked upstream before it loses a shard or gets
    /// another primary dispatcher. Returns true until they have stopped.
    fn halt_if_needed(&mut self, view: &View, upstream: Upstream) -> bool {
        let target = &self.targets[&upstream];
        let primary = target.roles.map(|(primary, _)| primary);
        let needs_no_halt = match &target.order {
            Some(order) => {
                let kept = |entry: (&u16, &Epoch)| target.shards.get(entry.0) == Some(entry.1);
                order.shards.iter().all(kept) && Some(order.primary) == primary
            }
            // An earlier holder may have chosen other dispatchers.
            None => {
                let mut senders = target.senders.iter().filter(|(_, entry)| entry.may_send);
                senders.all(|(&sender, _)| Some(sender) == primary)
                    && self.knows_all_orders(view, upstream)
            }
        };
        let halt_version = target.halt_version;
        if needs_no_halt && halt_version.is_none() {
            return false;
        }
        let version = match halt_version {
            Some(version) => version,
            None => self.next_version(),
        };
        let service = view.state.upstream(upstream).service;
        self.set_ending_version(service, upstream, version);
        let ended = self.has_right_ended(view, upstream, version);
        self.target(upstream).halt_version = (!ended).then_some(version);
        !ended
    }

    fn issue_order(&mut self, view: &View, upstream: Upstream) {
        let version = self.next_version();
        let service = view.state.upstream(upstream).service;
        let target = self.target(upstream);
        let Some((primary, backup)) = target.roles else {
            return;
        };
        target.first_version = target.first_version.or(Some(version));
        target
            .possible_allowances
            .push((Some(version), target.allowance));
        target.order = Some(Order {
            version,
            incarnation: target.incarnation,
            shards: Arc::new(target.shards.clone()),
            allowance: target.allowance,
            primary,
            backup,
        });
        self.set_ending_version(service, upstream, version);
    }

    /// Sends orders and stops to the instances that have not acknowledged them yet.
    pub(super) fn send_unacknowledged(&mut self, view: &View) {
        for &upstream in &view.upstreams {
            self.forget_former_dispatchers(view, upstream);
            self.send_order(view, upstream);
            if let Some(version) = self.stop_version(view, upstream) {
                self.send_stops(view, upstream, version);
            }
        }
    }

    /// Forgets former dispatchers of a checked upstream once it has accepted the newest
    /// order and so refuses their grants.
    fn forget_former_dispatchers(&mut self, view: &View, upstream: Upstream) {
        let checked = view.is_checked(upstream);
        let target = self.targets.entry(upstream).or_default();
        let Some(order) = target.order.as_ref().filter(|_| checked) else {
            return;
        };
        if target.accepted >= Some(order.version) {
            let roles = [Some(order.primary), order.backup];
            target.senders.retain(|key, _| roles.contains(&Some(*key)));
        }
    }

    fn send_order(&mut self, view: &View, upstream: Upstream) {
        let target = &self.targets[&upstream];
        let Some(order) = target
            .order
            .clone()
            .filter(|_| target.halt_version.is_none())
        else {
            return;
        };
        let checked = view.is_checked(upstream);
        let roles = [Some(order.primary), order.backup];
        // Former dispatchers get the order once, so that they stop early.
        let former = target.senders.keys().copied();
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
        let sender = target
            .senders
            .entry(instance)
            .or_insert(Sender::new(peer.session, false));
        if !sender.is_order_due(view.now, order.version, peer.session, repeat) {
            return;
        }
        // At an unchecked upstream, all senders have stopped before another one is
        // named.
        sender.may_send = view.is_checked(upstream) || instance == order.primary;
        sender.presumed &= !sender.may_send;
        sender.session = peer.session;
        sender.last_sent = Some((order.version, view.now));
        let assignment = build_assignment(view, upstream, order, peer.session);
        let message = Message::Assign(assignment);
        self.outbox.push(Action::Send(instance, message));
    }

    /// Version for which stops are to be sent, if any, so that shards can move: the halt
    /// version of an unchecked upstream, which cannot confirm an order, or the newest
    /// order of a lost checked upstream, which does not confirm it.
    fn stop_version(&self, view: &View, upstream: Upstream) -> Option<Version> {
        let target = &self.targets[&upstream];
        if target.halt_version.is_some() {
            return target.halt_version;
        }
        let version = target.order.as_ref()?.version;
        let lost = !target.is_alive(view.now);
        (lost && view.is_checked(upstream) && !self.has_right_ended(view, upstream, version))
            .then_some(version)
    }

    fn send_stops(&mut self, view: &View, upstream: Upstream, version: Version) {
        let target = self.targets.entry(upstream).or_default();
        for (&instance, sender) in &mut target.senders {
            let stopped = sender.stopped.is_some_and(|(known, _)| known >= version);
            let sent = sender.stop_sent.filter(|(sent, _)| *sent == version);
            if stopped || sent.is_some_and(|(_, at)| !is_resend_due(at, view.now)) {
                continue;
            }
            sender.stop_sent = Some((version, view.now));
            let message = Message::Stop(upstream, version);
            self.outbox.push(Action::Send(instance, message));
        }
    }
}

impl Sender {
    /// Whether the order is to be sent to the instance now.
    fn is_order_due(&self, now: Time, version: Version, session: u32, repeat: bool) -> bool {
        if self.session != session {
            return true;
        }
        let last_sent = self.last_sent.filter(|(sent, _)| *sent == version);
        let waited = last_sent.is_none_or(|(_, at)| repeat && is_resend_due(at, now));
        self.acked != Some(version) && waited
    }
}

fn build_assignment(view: &View, upstream: Upstream, order: &Order, session: u32) -> Assignment {
    let entry = view.state.upstream(upstream);
    let shards = order.shards.iter();
    Assignment {
        version: order.version,
        upstream,
        incarnation: order.incarnation,
        session,
        fencing: entry.spec.fencing,
        isolation: if view.has_lapse_isolation(upstream) {
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

fn is_resend_due(at: Time, now: Time) -> bool {
    now.since(at) >= RESEND_INTERVAL
}
