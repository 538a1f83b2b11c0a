//! Division of the club's slots between its upstreams.
//!
//! A slot is given to another upstream only once no order that gave it to the
//! first can be in force.

use super::{Holder, View};
use crate::ids::{Upstream, Version};

impl Holder {
    /// Sets the allowance of each upstream.
    pub(super) fn divide(&mut self, view: &View) {
        let upstreams = &view.upstreams;
        for &upstream in upstreams {
            self.note_ended(view, upstream);
        }
        let used: u32 = upstreams.iter().map(|&key| self.reserved(view, key)).sum();
        // Without its own `Lead`, the fold may lack a decrease that the
        // predecessor confirmed.
        let limit = view.state.club_limit(view.club);
        let wanted = self.shares(view, limit);
        let mut free = limit.saturating_sub(used);
        for (&upstream, wanted) in upstreams.iter().zip(wanted) {
            let reserved = self.reserved(view, upstream);
            let growth = u32::from(wanted).saturating_sub(reserved).min(free);
            free -= growth;
            // While more may be in use than the limit, or the limit is not known
            // for sure, no allowance exceeds the smallest that may be in force.
            let most = if view.led && used <= limit {
                reserved + growth
            } else {
                self.least_allowance(upstream)
            };
            self.target(upstream).allowance = wanted.min(most as u16);
        }
    }

    fn least_allowance(&self, upstream: Upstream) -> u32 {
        let issued = self.targets[&upstream].issued.iter();
        let least = issued.map(|(_, allowance)| *allowance).min();
        u32::from(least.unwrap_or(0))
    }

    /// Slots that may be in use at all upstreams of the club.
    pub(super) fn slots_reserved(&self, view: &View) -> u32 {
        let upstreams = view.upstreams.iter();
        upstreams.map(|&key| self.reserved(view, key)).sum()
    }

    /// Allowance of each upstream once all slots are free: all its slots, or a
    /// part in proportion to them.
    fn shares(&self, view: &View, limit: u32) -> Vec<u16> {
        let slots = |&upstream: &Upstream| {
            let alive = self.targets[&upstream].is_alive(view.now);
            let limits = view.limits_of(upstream).filter(|_| alive);
            limits.map_or(0, |limits| u32::from(limits.slots))
        };
        let slots: Vec<u32> = view.upstreams.iter().map(slots).collect();
        let total: u32 = slots.iter().sum();
        if total <= limit {
            return slots.into_iter().map(|part| part as u16).collect();
        }
        let mut before = 0;
        let parts = slots.into_iter().map(|part| {
            // Rounding of the running sum spends every slot of the limit.
            let start = before * limit / total;
            before += part;
            (before * limit / total - start) as u16
        });
        parts.collect()
    }

    /// Drops allowances of orders that can no longer be in force.
    fn note_ended(&mut self, view: &View, upstream: Upstream) {
        let Some(newest) = self.newest_in_force(view, upstream) else {
            return;
        };
        let target = self.target(upstream);
        target
            .issued
            .retain(|(version, _)| *version >= Some(newest));
    }

    /// Newest version for which nothing older is in force.
    fn newest_in_force(&self, view: &View, upstream: Upstream) -> Option<Version> {
        let target = &self.targets[&upstream];
        let order = target.order.as_ref()?;
        if self.has_ended(view, upstream, order.version) {
            return Some(order.version);
        }
        if view.is_checked(upstream) {
            return target.accepted;
        }
        // Only the dispatcher sends, and it keeps the allowance that it has acknowledged.
        let acked = target.renewers.get(&order.primary)?.acked;
        acked.filter(|version| version.ballot == self.ballot)
    }

    /// Largest allowance that may be in force.
    fn reserved(&self, view: &View, upstream: Upstream) -> u32 {
        let target = &self.targets[&upstream];
        let issued = target.issued.iter().map(|(_, allowance)| *allowance);
        let issued = u32::from(issued.max().unwrap_or(0));
        if self.is_accounted(view, upstream) {
            issued
        } else {
            issued.max(largest_slots(view, upstream))
        }
    }

    /// Whether all orders that may be in force at the upstream are known.
    pub(super) fn is_accounted(&self, view: &View, upstream: Upstream) -> bool {
        let target = &self.targets[&upstream];
        let presumed = target.renewers.values().any(|renewer| renewer.presumed);
        let known = target.secured || self.knows_predecessors(view, upstream);
        let first = target.first;
        (known && !presumed)
            || target.is_released()
            || first.is_some_and(|first| self.has_ended(view, upstream, first))
    }
}

/// Most slots that any published preset gives the upstream.
fn largest_slots(view: &View, upstream: Upstream) -> u32 {
    let name = &view.state.upstream(upstream).server.service;
    let presets = view.state.presets().values();
    let services = presets.filter_map(|published| published.preset.service(name));
    let active = view.limits_of(upstream).map(|limits| limits.slots);
    let slots = services.map(|limits| limits.slots).chain(active);
    slots.max().map_or(0, u32::from)
}
