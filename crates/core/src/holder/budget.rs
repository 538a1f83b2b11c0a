//! Division of the club's slots between its upstreams.
//!
//! A slot moves to another upstream only once no order that allots it to the
//! previous one can be in force.

use super::{Holder, View};
use crate::ids::{Upstream, Version};

impl Holder {
    /// Sets the slot allowance of each upstream.
    pub(super) fn divide_slots(&mut self, view: &View) {
        let upstreams = &view.upstreams;
        for &upstream in upstreams {
            self.drop_ended_allowances(view, upstream);
        }
        let used: u32 = upstreams
            .iter()
            .map(|&key| self.reserved_slots(view, key))
            .sum();
        // Until the fold contains this holder's `Lead` record, it may lack a decrease
        // of the limit that the predecessor confirmed.
        let limit = view.state.club_limit(view.club);
        let wanted = self.proportional_shares(view, limit);
        let mut free = limit.saturating_sub(used);
        for (&upstream, wanted) in upstreams.iter().zip(wanted) {
            let reserved = self.reserved_slots(view, upstream);
            let growth = u32::from(wanted).saturating_sub(reserved).min(free);
            free -= growth;
            // While the slots in use may exceed the limit, or the limit is not certain,
            // no allowance exceeds the smallest one that may be in force.
            let max_allowance = if view.lead_recorded && used <= limit {
                reserved + growth
            } else {
                self.least_allowance(upstream)
            };
            self.target(upstream).allowance = wanted.min(max_allowance as u16);
        }
    }

    /// Smallest allowance that may be in force; 0 if none is known.
    fn least_allowance(&self, upstream: Upstream) -> u32 {
        let issued = self.targets[&upstream].possible_allowances.iter();
        let least = issued.map(|(_, allowance)| *allowance).min();
        u32::from(least.unwrap_or(0))
    }

    /// Slots that may be in use at all upstreams of the club.
    pub(super) fn total_reserved_slots(&self, view: &View) -> u32 {
        let upstreams = view.upstreams.iter();
        upstreams.map(|&key| self.reserved_slots(view, key)).sum()
    }

    /// Allowance that each upstream gets once all slots are free: the slots of its
    /// service, or a share in proportion to them if the limit is smaller than their sum.
    /// An upstream that is not alive gets 0.
    fn proportional_shares(&self, view: &View, limit: u32) -> Vec<u16> {
        let slots = |&upstream: &Upstream| {
            let alive = self.targets[&upstream].is_alive(view.now);
            let limits = view.upstream_limits(upstream).filter(|_| alive);
            limits.map_or(0, |limits| u32::from(limits.slots))
        };
        let slots: Vec<u32> = view.upstreams.iter().map(slots).collect();
        let total: u32 = slots.iter().sum();
        if total <= limit {
            return slots.into_iter().map(|part| part as u16).collect();
        }
        let mut before = 0;
        let parts = slots.into_iter().map(|part| {
            // Rounding the running sum allots every slot of the limit.
            let start = before * limit / total;
            before += part;
            (before * limit / total - start) as u16
        });
        parts.collect()
    }

    /// Drops allowances of orders that can no longer be in force.
    fn drop_ended_allowances(&mut self, view: &View, upstream: Upstream) {
        let Some(oldest) = self.oldest_in_force(view, upstream) else {
            return;
        };
        let target = self.target(upstream);
        target
            .possible_allowances
            .retain(|(version, _)| *version >= Some(oldest));
    }

    /// Oldest version that may be in force at the upstream; `None` if that is not known.
    fn oldest_in_force(&self, view: &View, upstream: Upstream) -> Option<Version> {
        let target = &self.targets[&upstream];
        let order = target.order.as_ref()?;
        if self.has_right_ended(view, upstream, order.version) {
            return Some(order.version);
        }
        if view.is_checked(upstream) {
            return target.accepted;
        }
        // Only the primary dispatcher sends to an unchecked upstream, and it keeps to
        // the allowance that it has acknowledged.
        let acked = target.senders.get(&order.primary)?.acked;
        acked.filter(|version| version.ballot == self.ballot)
    }

    /// Largest allowance that may be in force at the upstream.
    fn reserved_slots(&self, view: &View, upstream: Upstream) -> u32 {
        let target = &self.targets[&upstream];
        let issued = target
            .possible_allowances
            .iter()
            .map(|(_, allowance)| *allowance);
        let issued = u32::from(issued.max().unwrap_or(0));
        if self.knows_all_orders(view, upstream) {
            issued
        } else {
            issued.max(max_published_slots(view, upstream))
        }
    }

    /// Whether all orders that may be in force at the upstream are known.
    pub(super) fn knows_all_orders(&self, view: &View, upstream: Upstream) -> bool {
        let target = &self.targets[&upstream];
        let presumed = target.senders.values().any(|sender| sender.presumed);
        let known = target.follows_term || self.excludes_earlier_terms(view, upstream);
        let first_version = target.first_version;
        (known && !presumed)
            || target.is_released()
            || first_version
                .is_some_and(|first_version| self.has_right_ended(view, upstream, first_version))
    }
}

/// Largest number of slots that the active or any published preset gives the
/// upstream.
fn max_published_slots(view: &View, upstream: Upstream) -> u32 {
    let name = &view.state.upstream(upstream).spec.service;
    let presets = view.state.presets().values();
    let services = presets.filter_map(|published| published.preset.service(name));
    let active = view.upstream_limits(upstream).map(|limits| limits.slots);
    let slots = services.map(|limits| limits.slots).chain(active);
    slots.max().map_or(0, u32::from)
}
