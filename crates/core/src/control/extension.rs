//! Extension of dispatch leases by a majority of a failure domain's members, for
//! services with `isolation = keep`.
//!
//! `LeaseExtension` is the side of an instance. As a dispatcher, it extends its
//! dispatch lease with the support of a majority of its failure domain's admitted
//! members. As a member, it supports the extensions of others, or promises the
//! control holder to support none. `PromiseCollector` is the side of the holder:
//! it determines when no dispatcher of the failure domain can have an extension.
//!
//! A dispatcher extends only a lease that is still valid. Once all earlier
//! support of a majority has expired, no new support has been given since, and
//! the dispatcher's lease from the holder has expired too, the dispatcher has no
//! valid lease and can obtain one only from the holder.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::ids::Instance;
use crate::time::{Time, max_with_drift, min_with_drift};
use crate::wire::Message;

/// Duration of an extension, equal to that of a dispatch lease.
pub const EXTENSION_DURATION: Duration = Duration::from_millis(2_400);

/// Time for which a member promises the holder to support no extension. It is
/// longer than an extension with its clock drift margins, so that a promise
/// outlasts all support that the member gave before.
pub const PROMISE_DURATION: Duration = Duration::from_millis(2_500);

/// Longest duration for which a member gives a promise.
pub const MAX_PROMISE_DURATION: Duration = Duration::from_millis(5_000);

/// Interval between requests for support, and between requests for promises.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// Remaining time of a dispatch lease at which its extension begins. By then, two
/// renewals by the holder have been missed.
pub const EXTENSION_THRESHOLD: Duration = Duration::from_millis(1_600);

/// Number of requests whose responses are still counted. At one request per
/// `REQUEST_INTERVAL`, they span the duration of an extension.
const MAX_TRACKED_REQUESTS: usize = 8;

/// Times at which the most recent requests were sent, by nonce.
///
/// Nonces count up from the random instance id. A response to another instance,
/// such as a former one at the same address, therefore matches no request.
#[derive(Clone, Debug)]
struct SentRequests {
    nonce: u64,
    sent: VecDeque<(u64, Time)>,
    next_at: Time,
}

impl SentRequests {
    fn new(local_instance: Instance) -> SentRequests {
        SentRequests {
            nonce: local_instance.0,
            sent: VecDeque::new(),
            next_at: Time(0),
        }
    }

    /// Records a new request if one is due and returns its nonce.
    fn record_if_due(&mut self, now: Time) -> Option<u64> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + REQUEST_INTERVAL;
        self.nonce = self.nonce.wrapping_add(1);
        self.sent.push_back((self.nonce, now));
        if self.sent.len() > MAX_TRACKED_REQUESTS {
            self.sent.pop_front();
        }
        Some(self.nonce)
    }

    fn sent_at(&self, nonce: u64) -> Option<Time> {
        let request = self
            .sent
            .iter()
            .find(|(sent_nonce, _)| *sent_nonce == nonce);
        request.map(|&(_, at)| at)
    }
}

/// State of one instance as a dispatcher and a member of its failure domain.
#[derive(Clone, Debug)]
pub struct LeaseExtension {
    local_instance: Instance,
    members: BTreeSet<Instance>,
    /// Membership version of `members`.
    version: u32,
    /// End of the last support that this member gave.
    support_end: Time,
    /// End of the last promise that this member gave.
    promise_end: Time,
    requests: SentRequests,
    /// Time at which the newest request granted by each member was sent.
    support: BTreeMap<Instance, Time>,
    /// End of this dispatcher's extension.
    extension_end: Time,
}

impl LeaseExtension {
    /// Creates the state of a process that started at `now`.
    ///
    /// An earlier process with the same identity may have given support and
    /// promises until it ended, so both are assumed to be in force.
    pub fn new(local_instance: Instance, now: Time) -> LeaseExtension {
        LeaseExtension {
            local_instance,
            members: BTreeSet::new(),
            version: 0,
            support_end: now + max_with_drift(EXTENSION_DURATION),
            promise_end: now + max_with_drift(MAX_PROMISE_DURATION),
            requests: SentRequests::new(local_instance),
            support: BTreeMap::new(),
            extension_end: Time(0),
        }
    }

    /// Sets the admitted members of the instance's failure domain, as of this version of
    /// the club's membership.
    pub fn set_members(&mut self, version: u32, members: impl IntoIterator<Item = Instance>) {
        self.version = version;
        self.members = members.into_iter().collect();
        self.support
            .retain(|member, _| self.members.contains(member));
    }

    /// Returns the end of the dispatch lease, given that of the lease from the
    /// holder.
    pub fn lease_end(&self, holder_lease_end: Time) -> Time {
        self.extension_end.max(holder_lease_end)
    }

    /// Requests support if the lease is about to expire without renewal by the
    /// holder.
    pub fn tick(&mut self, now: Time, holder_lease_end: Time) -> Vec<(Instance, Message)> {
        let is_valid = now < self.lease_end(holder_lease_end);
        if !is_valid
            || now + EXTENSION_THRESHOLD < holder_lease_end
            || !self.members.contains(&self.local_instance)
        {
            return Vec::new();
        }
        let Some(nonce) = self.requests.record_if_due(now) else {
            return Vec::new();
        };
        if self.try_support(now) {
            self.support.insert(self.local_instance, now);
            self.extend_own_lease(now, holder_lease_end);
        }
        let others = self
            .members
            .iter()
            .filter(|&&member| member != self.local_instance);
        others
            .map(|&member| (member, Message::ExtensionRequest(nonce, self.version)))
            .collect()
    }

    /// Responds to a dispatcher's request for support.
    ///
    /// Support is refused to a dispatcher that knows an older membership than
    /// this member. Majorities of memberships that differ by more than one change
    /// are therefore never in use at the same time.
    pub fn handle_extension_request(
        &mut self,
        now: Time,
        from: Instance,
        nonce: u64,
        membership_version: u32,
    ) -> Message {
        let is_eligible = membership_version >= self.version && self.members.contains(&from);
        Message::ExtensionResponse(nonce, is_eligible && self.try_support(now))
    }

    /// Counts a member's response. `holder_lease_end` is the end of the lease from
    /// the holder.
    pub fn handle_extension_response(
        &mut self,
        now: Time,
        holder_lease_end: Time,
        from: Instance,
        nonce: u64,
        granted: bool,
    ) {
        let is_counted = granted && self.members.contains(&from);
        let Some(sent_at) = self.requests.sent_at(nonce).filter(|_| is_counted) else {
            return;
        };
        let entry = self.support.entry(from).or_insert(sent_at);
        *entry = sent_at.max(*entry);
        self.extend_own_lease(now, holder_lease_end);
    }

    /// Promises the holder to support no extension for `duration`.
    ///
    /// Returns `None` if this member's earlier support outlasts the promise, if
    /// `duration` exceeds `MAX_PROMISE_DURATION`, or if this instance is not admitted.
    pub fn handle_promise_request(
        &mut self,
        now: Time,
        nonce: u64,
        duration: Duration,
    ) -> Option<Message> {
        let covers_support = self.support_end <= now + min_with_drift(duration);
        if !covers_support
            || duration > MAX_PROMISE_DURATION
            || !self.members.contains(&self.local_instance)
        {
            return None;
        }
        self.promise_end = self.promise_end.max(now + max_with_drift(duration));
        Some(Message::Promise(nonce))
    }

    /// Gives support unless a promise forbids it. Returns whether it was given.
    fn try_support(&mut self, now: Time) -> bool {
        let is_free = self.promise_end <= now && self.members.contains(&self.local_instance);
        if is_free {
            self.support_end = now + max_with_drift(EXTENSION_DURATION);
        }
        is_free
    }

    /// Extends this dispatcher's lease if it is valid and a majority supports it.
    fn extend_own_lease(&mut self, now: Time, holder_lease_end: Time) {
        if self.lease_end(holder_lease_end) <= now {
            return;
        }
        let mut sent_times: Vec<Time> = self.support.values().copied().collect();
        sent_times.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(&decisive) = sent_times.get(self.members.len() / 2) {
            self.extension_end = self
                .extension_end
                .max(decisive + min_with_drift(EXTENSION_DURATION));
        }
    }
}

/// Uninterrupted promise of one member, in the holder's clock.
#[derive(Clone, Copy, Debug)]
struct Promise {
    /// Arrival of the first response. The promise was in force from then on.
    since: Time,
    /// Time until which the promise is guaranteed to be in force.
    until: Time,
}

/// Collects the promises of one failure domain's members for the holder.
#[derive(Clone, Debug)]
pub struct PromiseCollector {
    /// Memberships that a dispatcher of the failure domain may know. The dispatcher
    /// counts a majority of one of them, so a majority of each must promise.
    memberships: Vec<BTreeSet<Instance>>,
    requests: SentRequests,
    promises: BTreeMap<Instance, Promise>,
}

impl PromiseCollector {
    /// Creates a collector for the failure domain's admitted members.
    pub fn new(
        local_instance: Instance,
        members: impl IntoIterator<Item = Instance>,
    ) -> PromiseCollector {
        PromiseCollector {
            memberships: vec![members.into_iter().collect()],
            requests: SentRequests::new(local_instance),
            promises: BTreeMap::new(),
        }
    }

    /// Adds another membership that a dispatcher may know.
    pub fn add_membership(&mut self, members: impl IntoIterator<Item = Instance>) {
        let membership: BTreeSet<Instance> = members.into_iter().collect();
        if !self.memberships.contains(&membership) {
            self.memberships.push(membership);
        }
    }

    /// Requests promises, or their renewal, from the members when due.
    pub fn tick(&mut self, now: Time) -> Vec<(Instance, Message)> {
        let Some(nonce) = self.requests.record_if_due(now) else {
            return Vec::new();
        };
        let members: BTreeSet<Instance> = self.memberships.iter().flatten().copied().collect();
        let message = Message::PromiseRequest(nonce, PROMISE_DURATION);
        let recipients = members.into_iter();
        recipients.map(|member| (member, message.clone())).collect()
    }

    /// Counts the promise of a member.
    pub fn handle_promise(&mut self, now: Time, from: Instance, nonce: u64) {
        let is_known = self
            .memberships
            .iter()
            .any(|membership| membership.contains(&from));
        let Some(sent) = self.requests.sent_at(nonce).filter(|_| is_known) else {
            return;
        };
        let until = sent + min_with_drift(PROMISE_DURATION);
        let previous = self.promises.get(&from);
        // After a gap, the member may have given support since the last promise.
        let unbroken = previous.filter(|promise| now <= promise.until);
        let promise = Promise {
            since: unbroken.map_or(now, |promise| promise.since),
            until: unbroken.map_or(until, |promise| promise.until.max(until)),
        };
        self.promises.insert(from, promise);
    }

    /// Returns whether it is certain that no dispatcher has an extension at `now`, and
    /// that none can obtain one after its lease from the holder has expired too.
    pub fn excludes_extensions(&self, now: Time) -> bool {
        let has_promised = |member: &&Instance| {
            self.promises.get(member).is_some_and(|promise| {
                now < promise.until && promise.since + max_with_drift(PROMISE_DURATION) <= now
            })
        };
        self.memberships
            .iter()
            .all(|membership| membership.iter().filter(has_promised).count() > membership.len() / 2)
    }
}
