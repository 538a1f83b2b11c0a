//! Votes inside a failure domain for services with `isolation = keep`.
//!
//! `LeaseExtension` is an instance's side. As a dispatcher it extends its dispatch
//! lease with the support of a majority of its failure domain's admitted
//! members. As a member it supports the extensions of others, or promises the
//! control holder to support none. `PromiseCollector` is the holder's side: it shows
//! when no dispatcher of the failure domain can have an extension any more.
//!
//! A dispatcher extends only a lease that is still valid. When every earlier
//! support of a majority has ended, no new one has been given since, and the
//! holder's own lease to the dispatcher has expired as well, then the dispatcher
//! has no right left and can regain it only from the holder.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::ids::Instance;
use crate::time::{Time, max_with_drift, min_with_drift};
use crate::wire::Message;

/// Length of an extension, equal to that of a dispatch lease.
pub const EXTENSION_DURATION: Duration = Duration::from_millis(2_400);

/// Time for which a member promises the holder to support no extension. Longer
/// than an extension with its margins, so that a promise covers all support
/// that the member has given before.
pub const PROMISE_DURATION: Duration = Duration::from_millis(2_500);

/// Longest promise that a member gives.
pub const MAX_PROMISE_DURATION: Duration = Duration::from_millis(5_000);

/// Interval of questions for support, and for promises.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// Rest of a dispatch lease at which its extension begins: two renewals by the
/// holder are missing.
pub const EXTENSION_THRESHOLD: Duration = Duration::from_millis(1_600);

/// Number of questions whose answers are still counted; spans an extension.
const QUESTIONS: usize = 8;

/// Times at which the last questions were sent, by nonce.
///
/// Nonces count up from the random instance id, so that an answer meant for
/// another instance, for instance one at the same address before, matches none.
#[derive(Clone, Debug)]
struct Questions {
    nonce: u64,
    sent: VecDeque<(u64, Time)>,
    next: Time,
}

impl Questions {
    fn new(me: Instance) -> Questions {
        Questions {
            nonce: me.0,
            sent: VecDeque::new(),
            next: Time(0),
        }
    }

    /// Nonce of a new question if one is due.
    fn ask(&mut self, now: Time) -> Option<u64> {
        if now < self.next {
            return None;
        }
        self.next = now + REQUEST_INTERVAL;
        self.nonce = self.nonce.wrapping_add(1);
        self.sent.push_back((self.nonce, now));
        if self.sent.len() > QUESTIONS {
            self.sent.pop_front();
        }
        Some(self.nonce)
    }

    fn sent_at(&self, nonce: u64) -> Option<Time> {
        let question = self.sent.iter().find(|(known, _)| *known == nonce);
        question.map(|&(_, at)| at)
    }
}

/// An instance's part in the votes of its failure domain.
#[derive(Clone, Debug)]
pub struct LeaseExtension {
    me: Instance,
    members: BTreeSet<Instance>,
    /// Membership version that `members` belongs to.
    version: u32,
    /// End of the last support that this member gave.
    supported: Time,
    /// End of the last promise that this member gave.
    promised: Time,
    questions: Questions,
    /// Sending time of the last question that each member supported.
    support: BTreeMap<Instance, Time>,
    /// End of this dispatcher's own extension.
    extended: Time,
}

impl LeaseExtension {
    /// State of a process that started at `now`.
    ///
    /// A process that ran under the same identity before may have given support
    /// and promises until its end.
    pub fn new(me: Instance, now: Time) -> LeaseExtension {
        LeaseExtension {
            me,
            members: BTreeSet::new(),
            version: 0,
            supported: now + max_with_drift(EXTENSION_DURATION),
            promised: now + max_with_drift(MAX_PROMISE_DURATION),
            questions: Questions::new(me),
            support: BTreeMap::new(),
            extended: Time(0),
        }
    }

    /// Takes over the admitted members of the instance's own failure domain.
    pub fn set_members(&mut self, version: u32, members: impl IntoIterator<Item = Instance>) {
        self.version = version;
        self.members = members.into_iter().collect();
        self.support
            .retain(|member, _| self.members.contains(member));
    }

    /// End of the dispatch lease, given the end of the lease from the holder.
    pub fn lease_end(&self, lease: Time) -> Time {
        self.extended.max(lease)
    }

    /// Asks for support if the lease is about to end without the holder.
    pub fn tick(&mut self, now: Time, lease: Time) -> Vec<(Instance, Message)> {
        let valid = now < self.lease_end(lease);
        if !valid || now + EXTENSION_THRESHOLD < lease || !self.members.contains(&self.me) {
            return Vec::new();
        }
        let Some(nonce) = self.questions.ask(now) else {
            return Vec::new();
        };
        if self.supports(now) {
            self.support.insert(self.me, now);
            self.extend_own(now, lease);
        }
        let others = self.members.iter().filter(|&&member| member != self.me);
        others
            .map(|&member| (member, Message::ExtensionRequest(nonce, self.version)))
            .collect()
    }

    /// Answers a dispatcher that asks for support.
    ///
    /// One that knows an older membership than this member gets none, so that
    /// majorities of memberships that differ by more than one change are not
    /// in use at the same time.
    pub fn handle_extension_request(
        &mut self,
        now: Time,
        from: Instance,
        nonce: u64,
        version: u32,
    ) -> Message {
        let known = version >= self.version && self.members.contains(&from);
        Message::ExtensionResponse(nonce, known && self.supports(now))
    }

    /// Counts the answer of a member; `lease` ends the lease from the holder.
    pub fn handle_extension_response(
        &mut self,
        now: Time,
        lease: Time,
        from: Instance,
        nonce: u64,
        granted: bool,
    ) {
        let counts = granted && self.members.contains(&from);
        let Some(since) = self.questions.sent_at(nonce).filter(|_| counts) else {
            return;
        };
        let entry = self.support.entry(from).or_insert(since);
        *entry = since.max(*entry);
        self.extend_own(now, lease);
    }

    /// Promises the holder to support no extension for `length`, unless support
    /// given before outlasts it. The answer is `None` if no promise is given.
    pub fn handle_promise_request(
        &mut self,
        now: Time,
        nonce: u64,
        length: Duration,
    ) -> Option<Message> {
        let covers = self.supported <= now + min_with_drift(length);
        if !covers || length > MAX_PROMISE_DURATION || !self.members.contains(&self.me) {
            return None;
        }
        self.promised = self.promised.max(now + max_with_drift(length));
        Some(Message::Promise(nonce))
    }

    /// Gives support unless a promise forbids it.
    fn supports(&mut self, now: Time) -> bool {
        let free = self.promised <= now && self.members.contains(&self.me);
        if free {
            self.supported = now + max_with_drift(EXTENSION_DURATION);
        }
        free
    }

    /// Extends the own lease if it is valid and a majority supports that.
    fn extend_own(&mut self, now: Time, lease: Time) {
        if self.lease_end(lease) <= now {
            return;
        }
        let mut since: Vec<Time> = self.support.values().copied().collect();
        since.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(&decisive) = since.get(self.members.len() / 2) {
            self.extended = self
                .extended
                .max(decisive + min_with_drift(EXTENSION_DURATION));
        }
    }
}

/// Unbroken promise of one member, in the holder's clock.
#[derive(Clone, Copy, Debug)]
struct Promise {
    /// Time after the first answer; the promise was in force from then on.
    since: Time,
    /// Time until which the promise is certainly in force.
    until: Time,
}

/// The holder's collection of promises from one failure domain.
#[derive(Clone, Debug)]
pub struct PromiseCollector {
    /// Memberships that a dispatcher of the failure domain may know. It counts
    /// a majority of one of them, so a majority of each must promise.
    rosters: Vec<BTreeSet<Instance>>,
    questions: Questions,
    promises: BTreeMap<Instance, Promise>,
}

impl PromiseCollector {
    /// Begins to collect promises from the failure domain's admitted members.
    pub fn new(me: Instance, members: impl IntoIterator<Item = Instance>) -> PromiseCollector {
        PromiseCollector {
            rosters: vec![members.into_iter().collect()],
            questions: Questions::new(me),
            promises: BTreeMap::new(),
        }
    }

    /// Adds another membership that a dispatcher may know.
    pub fn add_membership(&mut self, members: impl IntoIterator<Item = Instance>) {
        let roster: BTreeSet<Instance> = members.into_iter().collect();
        if !self.rosters.contains(&roster) {
            self.rosters.push(roster);
        }
    }

    /// Asks the members for promises, or for their renewal, when due.
    pub fn tick(&mut self, now: Time) -> Vec<(Instance, Message)> {
        let Some(nonce) = self.questions.ask(now) else {
            return Vec::new();
        };
        let members: BTreeSet<Instance> = self.rosters.iter().flatten().copied().collect();
        let message = Message::PromiseRequest(nonce, PROMISE_DURATION);
        let asked = members.into_iter();
        asked.map(|member| (member, message.clone())).collect()
    }

    /// Counts the promise of a member.
    pub fn handle_promise(&mut self, now: Time, from: Instance, nonce: u64) {
        let known = self.rosters.iter().any(|roster| roster.contains(&from));
        let Some(sent) = self.questions.sent_at(nonce).filter(|_| known) else {
            return;
        };
        let until = sent + min_with_drift(PROMISE_DURATION);
        let before = self.promises.get(&from);
        // A late answer does not show that no support was given in between.
        let unbroken = before.filter(|promise| now <= promise.until);
        let promise = Promise {
            since: unbroken.map_or(now, |promise| promise.since),
            until: unbroken.map_or(until, |promise| promise.until.max(until)),
        };
        self.promises.insert(from, promise);
    }

    /// Whether no dispatcher has an extension at `now`, and none can obtain one
    /// once the holder's own leases to the dispatchers have expired too.
    pub fn excludes_extensions(&self, now: Time) -> bool {
        let promised = |member: &&Instance| {
            self.promises.get(member).is_some_and(|promise| {
                now < promise.until && promise.since + max_with_drift(PROMISE_DURATION) <= now
            })
        };
        self.rosters
            .iter()
            .all(|roster| roster.iter().filter(promised).count() > roster.len() / 2)
    }
}
