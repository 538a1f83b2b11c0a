//! Simulated network of instances that take part in an election, in virtual time.
//!
//! True time is separate from the nodes' clocks, which drift by up to 1%. Until
//! `FAULTS_END_US`, messages are delayed, reordered, lost and duplicated, and nodes
//! pause. All nodes apply one shared log, each with its own lag.

use std::collections::BTreeMap;

use medlarreel_core::control::Election;
use medlarreel_core::fold::{ClubState, State};
use medlarreel_core::ids::{Ballot, Club, Instance, Offset, Proposal};
use medlarreel_core::record::{Author, Body, Member, Record};
use medlarreel_core::time::Time;
use medlarreel_core::wire::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// True time at which all faults of a network end.
pub const FAULTS_END_US: u64 = 9_000_000;
const TICK_US: u64 = 10_000;
const CLUB: &str = "kashmir";

/// Fault of the network or of a node, which is given by its position among the nodes.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Messages from one node to another are lost.
    Cut(usize, usize),
    /// Messages from and to a node are lost.
    Isolate(usize),
    /// The node does nothing and its messages are delayed.
    Pause(usize),
    /// The node reads no records.
    Lag(usize),
    /// Appends are applied only after the fault.
    Outage,
    /// The process ends and another one with a new identity starts.
    Replace(usize),
    /// The process restarts under its old identity, but only votes, because the
    /// ballots and nonces of candidacies require a new identity.
    Restart(usize),
    /// A new process becomes the only voter of a new term.
    Reset,
}

#[derive(Clone, Debug)]
enum Event {
    Tick(Instance),
    /// Recipient, sender and message.
    Deliver(Instance, Instance, Message),
    Append(Record),
    /// Fault and its end in true time.
    Fault(Fault, u64),
}

struct Node {
    election: Election,
    /// Reading of the node's clock at true time 0, in microseconds.
    offset: u64,
    /// Drift of the node's clock, in parts per million.
    drift: i64,
    /// Number of states of `history` that the node has applied.
    applied: usize,
    lagging_until: u64,
    paused_until: u64,
    /// Set by `Fault::Restart`.
    only_votes: bool,
    /// Messages that arrived during a pause, with their senders.
    delayed: Vec<(Instance, Message)>,
    /// Undecided membership change.
    pending_change: Option<(Ballot, Proposal)>,
    announced_ballot: Option<Ballot>,
}

impl Node {
    fn clock(&self, now: u64) -> Time {
        let drift = now as i64 * self.drift / 1_000_000;
        Time((self.offset + now).wrapping_add_signed(drift))
    }
}

/// Simulated network with its nodes and their log.
pub struct Network {
    /// True time, in microseconds.
    pub now: u64,
    /// Messages sent since the start.
    pub sent: u64,
    /// True time from which the network has no faults, in microseconds.
    faults_end: u64,
    rng: StdRng,
    queue: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    nodes: BTreeMap<Instance, Node>,
    /// Sender and recipient whose messages are lost, `None` for any, and until when.
    cuts: Vec<(Option<Instance>, Option<Instance>, u64)>,
    outage_until: u64,
    log_state: State,
    /// State of the club after each record of the log.
    history: Vec<ClubState>,
    /// Index in `history` of the state after each proposal's record.
    decided_at: BTreeMap<Proposal, usize>,
    /// Highest ballot that has held control in the current term.
    highest_ballot: Option<Ballot>,
    /// Whether a node has restarted under its old identity.
    restarted: bool,
}

impl Network {
    pub fn new(seed: u64, size: usize, faults_end: u64) -> Network {
        let mut network = Network {
            now: 0,
            sent: 0,
            faults_end,
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            event_count: 0,
            nodes: BTreeMap::new(),
            cuts: Vec::new(),
            outage_until: 0,
            log_state: State::default(),
            history: Vec::new(),
            decided_at: BTreeMap::new(),
            highest_ballot: None,
            restarted: false,
        };
        let ids: Vec<_> = (0..size).map(|_| network.start_instance()).collect();
        network.reset_term(ids[0]);
        let ballot = network.initial_ballot(ids[0]);
        for &id in &ids[1..] {
            network.append(Body::Admit(author(ballot), member(id)));
        }
        // These admissions were made without election, so all nodes must know them
        // before the run.
        ids.into_iter().for_each(|id| network.catch_up(id));
        network
    }

    pub fn schedule(&mut self, at: u64, fault: Fault, until: u64) {
        self.push(at, Event::Fault(fault, until.min(self.faults_end)));
    }

    /// Runs until true time `until`, and after each event checks that at most one
    /// instance holds control.
    pub fn run(&mut self, until: u64) -> Result<(), String> {
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= until)
        {
            self.now = entry.key().0;
            match entry.remove() {
                Event::Tick(id) => self.tick(id),
                Event::Deliver(to, from, message) => self.deliver(to, from, message),
                Event::Append(record) => self.apply_record(record),
                Event::Fault(fault, until) => self.apply_fault(fault, until),
            }
            self.check_holders()?;
        }
        self.now = until;
        Ok(())
    }

    /// Returns the nodes that hold control of the current term.
    pub fn holders(&self) -> Vec<(Instance, Ballot)> {
        let term = self.club().term;
        let holding = |(&id, node): (&Instance, &Node)| {
            let ballot = node.election.held_ballot(node.clock(self.now))?;
            (ballot.term == term).then_some((id, ballot))
        };
        self.nodes.iter().filter_map(holding).collect()
    }

    /// Returns whether the current members can be expected to elect a holder. This
    /// requires that a majority is running, and that no member only votes. Such a member
    /// still starts candidacies at random times, whose requests are not sent, and its
    /// vote is bound to itself meanwhile.
    pub fn can_elect(&self) -> bool {
        self.has_majority() && self.running_members().all(|node| !node.only_votes)
    }

    pub fn remove_node(&mut self, id: Instance) {
        self.nodes.remove(&id);
    }

    pub fn resign(&mut self, id: Instance) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).expect("node runs");
        node.election.resign(node.clock(now));
    }

    fn check_holders(&mut self) -> Result<(), String> {
        let holders = self.holders();
        if holders.len() > 1 {
            return Err(format!("multiple holders at {}: {holders:?}", self.now));
        }
        let Some(&(_, ballot)) = holders.first() else {
            return Ok(());
        };
        // A voter that restarts under its old identity loses the highest ballot, so
        // the order of ballots is guaranteed only without such restarts.
        if self.highest_ballot.is_some_and(|highest| ballot < highest) && !self.restarted {
            return Err(format!(
                "{ballot:?} follows the higher {:?} at {}",
                self.highest_ballot, self.now
            ));
        }
        self.highest_ballot = self.highest_ballot.max(Some(ballot));
        Ok(())
    }

    fn club(&self) -> &ClubState {
        self.log_state.club(Club(0))
    }

    fn running_members(&self) -> impl Iterator<Item = &Node> {
        let members = &self.club().members;
        members
            .iter()
            .filter_map(|member| self.nodes.get(&member.instance))
    }

    fn has_majority(&self) -> bool {
        self.running_members().count() > self.club().members.len() / 2
    }

    fn push(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.queue.insert((at, self.event_count), event);
    }

    /// Starts an instance that is not a member.
    pub fn start_instance(&mut self) -> Instance {
        let id = Instance(self.rng.random());
        self.insert_node(id);
        self.push(self.now, Event::Tick(id));
        id
    }

    fn insert_node(&mut self, id: Instance) {
        let drift = match self.rng.random_range(0..3) {
            0 => -10_000,
            1 => 10_000,
            _ => self.rng.random_range(-10_000..=10_000),
        };
        let mut node = Node {
            election: Election::new(id, Time(0)),
            offset: self.rng.random_range(0..1 << 40),
            drift,
            applied: 0,
            lagging_until: 0,
            paused_until: 0,
            only_votes: false,
            delayed: Vec::new(),
            pending_change: None,
            announced_ballot: None,
        };
        node.election = Election::new(id, node.clock(self.now));
        self.nodes.insert(id, node);
    }

    fn tick(&mut self, id: Instance) {
        let (now, random) = (self.now, self.rng.random());
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let next = node.paused_until.max(now + TICK_US);
        if node.paused_until <= now {
            self.apply_log(id);
            let node = self.nodes.get_mut(&id).expect("node runs");
            let delayed = std::mem::take(&mut node.delayed);
            let mut messages = node.election.tick(node.clock(now), random);
            messages.retain(|_| !node.only_votes);
            delayed
                .into_iter()
                .for_each(|(from, message)| self.deliver(id, from, message));
            messages
                .into_iter()
                .for_each(|(to, message)| self.send(id, to, message));
            self.act_as_holder(id);
        }
        self.push(next, Event::Tick(id));
    }

    fn apply_log(&mut self, id: Instance) {
        let newest = self.history.len();
        let node = self.nodes.get_mut(&id).expect("node runs");
        if node.lagging_until > self.now || node.applied == newest {
            return;
        }
        let faults_ended = self.now >= self.faults_end;
        node.applied = if faults_ended {
            newest
        } else {
            self.rng.random_range(node.applied + 1..=newest)
        };
        let local_time = node.clock(self.now);
        node.election
            .observe_club(local_time, &self.history[node.applied - 1]);
    }

    /// Lets the holder announce itself in the log and change the membership.
    fn act_as_holder(&mut self, id: Instance) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).expect("node runs");
        let local_time = node.clock(now);
        let Some(ballot) = node.election.held_ballot(local_time) else {
            return;
        };
        if node.announced_ballot != Some(ballot) {
            node.announced_ballot = Some(ballot);
            self.propose(Body::Lead(author(ballot)));
            return;
        }
        let decided = |proposal| {
            self.decided_at
                .get(&proposal)
                .is_some_and(|&at| at < node.applied)
        };
        let undecided = node
            .pending_change
            .is_some_and(|(under, proposal)| under == ballot && !decided(proposal));
        if undecided || !node.election.can_change_membership(local_time) {
            return;
        }
        let known = self.history[node.applied - 1].members.clone();
        if let Some(body) = self.choose_change(ballot, &known) {
            let proposal = self.propose(body);
            let node = self.nodes.get_mut(&id).expect("node runs");
            node.pending_change = Some((ballot, proposal));
        }
    }

    fn choose_change(&mut self, ballot: Ballot, known: &[Member]) -> Option<Body> {
        let is_known = |id| known.iter().any(|member| member.instance == id);
        let gone = known
            .iter()
            .find(|member| !self.nodes.contains_key(&member.instance));
        let fresh = self.nodes.keys().find(|&&id| !is_known(id));
        if let Some(&id) = fresh.filter(|_| gone.is_none() || known.len() < 4) {
            return Some(Body::Admit(author(ballot), member(id)));
        }
        let index = self.rng.random_range(0..known.len());
        let removed = gone.or(Some(&known[index]).filter(|_| {
            known.len() > 3 && self.now < self.faults_end && self.rng.random_ratio(1, 5)
        }))?;
        Some(Body::Remove {
            author: author(ballot),
            instance: removed.instance,
            cause: "test".to_owned(),
        })
    }

    fn propose(&mut self, body: Body) -> Proposal {
        let proposal = Proposal(self.rng.random());
        let delay = self.random_delay();
        let at = (self.now + delay).max(self.outage_until);
        self.push(at, Event::Append(Record { proposal, body }));
        proposal
    }

    fn append(&mut self, body: Body) {
        let proposal = Proposal(self.rng.random());
        self.apply_record(Record { proposal, body });
    }

    fn apply_record(&mut self, record: Record) {
        let offset = self.log_state.next_offset();
        self.decided_at.insert(record.proposal, self.history.len());
        let term = self.log_state.clubs().first().map(|club| club.term);
        let _ = self.log_state.apply(offset, record);
        if term != Some(self.club().term) {
            self.highest_ballot = None;
        }
        self.history.push(self.club().clone());
    }

    fn send(&mut self, from: Instance, to: Instance, message: Message) {
        self.sent += 1;
        let now = self.now;
        let matches = |end: Option<Instance>, id| end.is_none_or(|end| end == id);
        let cut = self.cuts.iter().any(|&(source, target, until)| {
            now < until && matches(source, from) && matches(target, to)
        });
        let copies = if cut || now < self.faults_end && self.rng.random_ratio(1, 20) {
            0
        } else if now < self.faults_end && self.rng.random_ratio(1, 20) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let at = now + self.random_delay();
            self.push(at, Event::Deliver(to, from, message.clone()));
        }
    }

    fn random_delay(&mut self) -> u64 {
        let short = self.rng.random_range(1..3_000);
        if self.now < self.faults_end && self.rng.random_ratio(1, 10) {
            let long = self.rng.random_range(1..1_500_000);
            return long.min(self.faults_end - self.now) + short;
        }
        short
    }

    fn deliver(&mut self, to: Instance, from: Instance, message: Message) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        if node.paused_until > now {
            node.delayed.push((from, message));
            return;
        }
        let local_time = node.clock(now);
        match message {
            Message::VoteRequest(request) => {
                let response = node.election.handle_vote_request(local_time, from, request);
                self.send(to, from, Message::VoteResponse(response));
            }
            Message::VoteResponse(response) if !node.only_votes => node
                .election
                .handle_vote_response(local_time, from, response),
            Message::Resign(ballot) => node.election.handle_resignation(local_time, from, ballot),
            _ => {}
        }
    }

    fn id_at(&self, index: usize) -> Instance {
        let count = self.nodes.len();
        *self.nodes.keys().nth(index % count).expect("nodes exist")
    }

    fn apply_fault(&mut self, fault: Fault, until: u64) {
        match fault {
            Fault::Cut(from, to) => {
                let (from, to) = (self.id_at(from), self.id_at(to));
                self.cuts.push((Some(from), Some(to), until));
            }
            Fault::Isolate(index) => {
                let id = self.id_at(index);
                self.cuts.push((Some(id), None, until));
                self.cuts.push((None, Some(id), until));
            }
            Fault::Pause(index) => self.node_at(index).paused_until = until,
            Fault::Lag(index) => self.node_at(index).lagging_until = until,
            Fault::Outage => self.outage_until = until,
            Fault::Replace(index) => self.replace_node(index),
            Fault::Restart(index) => self.restart_node(index),
            Fault::Reset => {
                let id = self.start_instance();
                self.reset_term(id);
            }
        }
    }

    fn node_at(&mut self, index: usize) -> &mut Node {
        let id = self.id_at(index);
        self.nodes.get_mut(&id).expect("node runs")
    }

    /// Replaces a node unless the members would lose their majority permanently.
    fn replace_node(&mut self, index: usize) {
        let id = self.id_at(index);
        let node = self.nodes.remove(&id).expect("node runs");
        if self.has_majority() {
            self.start_instance();
        } else {
            self.nodes.insert(id, node);
        }
    }

    fn restart_node(&mut self, index: usize) {
        self.restarted = true;
        let id = self.id_at(index);
        self.insert_node(id);
        self.catch_up(id);
        self.nodes.get_mut(&id).expect("node runs").only_votes = true;
    }

    fn catch_up(&mut self, id: Instance) {
        let (now, club) = (self.now, self.club().clone());
        let node = self.nodes.get_mut(&id).expect("node runs");
        node.applied = self.history.len();
        node.election.observe_club(node.clock(now), &club);
    }

    fn reset_term(&mut self, voter: Instance) {
        let expected = self
            .log_state
            .clubs()
            .first()
            .map_or(Offset(0), |club| club.term);
        self.append(Body::Reset {
            club: CLUB.to_owned(),
            expected,
            voter: member(voter),
        });
    }

    /// Returns the ballot under which the first members are admitted before the run.
    fn initial_ballot(&self, instance: Instance) -> Ballot {
        let term = self.club().term;
        Ballot {
            term,
            round: 0,
            instance,
        }
    }
}

fn author(ballot: Ballot) -> Author {
    let club = CLUB.to_owned();
    Author { club, ballot }
}

pub fn member(instance: Instance) -> Member {
    Member {
        instance,
        club: CLUB.to_owned(),
        domain: "a".to_owned(),
        peers: ([127, 0, 0, 1], 1).into(),
    }
}
