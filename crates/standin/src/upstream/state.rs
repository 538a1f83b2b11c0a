//! Decisions of an upstream about grants and requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use medlarreel_core::code::Code;
use medlarreel_core::grant::{self, Register};
use medlarreel_core::ids::Epoch;
use medlarreel_core::preset::Fencing;
use medlarreel_core::time::Time;
use serde::{Deserialize, Serialize};

use super::Config;
use super::dedup::{Seen, Table};
use super::fault::{Drain, FaultChange, Faults, LoadReport};
use super::run::{Call, Ledger, Phase, Runs};

/// Largest reading of the clock at the start, in microseconds. Clocks of
/// different upstreams start at random readings, so that a sender which
/// confuses them is noticed.
const MAX_CLOCK_START: u64 = 1_000_000_000_000;

/// Ordinary answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the upstream.
    pub upstream: String,
    /// Its service.
    pub service: String,
    /// Request id of the run; of the first run for a repeated key.
    pub request_id: Option<String>,
    /// Shard that the request named.
    pub shard: Option<u16>,
    /// Epoch that the request named.
    pub epoch: Option<String>,
    /// Number of the run.
    pub run: u64,
    /// Length of the request's body.
    pub body_bytes: usize,
    /// Whether this is the stored answer to a repeated idempotency key.
    pub deduplicated: bool,
}

/// Counters and grants.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the upstream.
    pub upstream: String,
    /// Its service.
    pub service: String,
    /// Run of its process.
    pub incarnation: u64,
    /// Its clock, in microseconds.
    pub clock: Time,
    /// Faults in force.
    pub faults: Faults,
    /// Requests that run.
    pub in_flight: u16,
    /// Most requests that ran at a time so far.
    pub peak_in_flight: u16,
    /// Requests that it can run at a time.
    pub slots: u16,
    /// Requests that the grant in force allows at a time.
    pub allowance: u16,
    /// Runs that started while at least `allowance` others ran; checked only.
    pub over_allowance: u64,
    /// Shards held under an unexpired lease.
    pub shards: Vec<(u16, Epoch)>,
    /// Grants accepted.
    pub grants_accepted: u64,
    /// Grants refused.
    pub grants_refused: u64,
    /// Runs started.
    pub runs: u64,
    /// Requests refused, by code.
    pub refusals: BTreeMap<u16, u64>,
    /// Connections open, without silent ones.
    pub connections: usize,
    /// Connections refused at the limit.
    pub connections_refused: u64,
}

/// What happens to a request.
pub(super) enum Verdict {
    Refuse(Code),
    Repeat(Echo),
    Run { number: u64, work: Duration },
}

/// State of one upstream, behind its lock.
#[derive(Debug)]
pub(super) struct State {
    started: Instant,
    clock_start: Time,
    register: Register,
    faults: Faults,
    first_run: Option<Instant>,
    in_flight: u16,
    ledger: Ledger,
    keys: Table,
    deduplicates: bool,
    draft: Summary,
}

impl State {
    pub(super) fn new(config: &Config) -> State {
        let register = Register::new(rand::random());
        let faults = Faults {
            work_ms: millis(config.work_time),
            cold_ms: millis(config.cold_start),
            ..Faults::default()
        };
        State {
            started: Instant::now(),
            clock_start: Time(rand::random_range(0..MAX_CLOCK_START)),
            faults,
            first_run: None,
            in_flight: 0,
            ledger: Ledger::new(config.max_recorded_runs),
            keys: Table::default(),
            deduplicates: config.deduplicates,
            draft: Summary::new(config, register.incarnation()),
            register,
        }
    }

    pub(super) fn change_faults(&mut self, change: FaultChange) -> Faults {
        self.faults.apply(&change);
        if change.cold_ms.is_some() {
            self.first_run = None;
        }
        self.faults
    }

    pub(super) fn faults(&self) -> Faults {
        self.faults
    }

    /// Decides about a grant.
    pub(super) fn grant(&mut self, request: &grant::Request) -> grant::Response {
        let now = self.now();
        let accepted = self.register.try_accept(now, request).is_ok();
        self.draft.grants_accepted += u64::from(accepted);
        self.draft.grants_refused += u64::from(!accepted);
        grant::Response {
            accepted,
            ..self.query()
        }
    }

    /// Answer to a query of the grants.
    pub(super) fn query(&self) -> grant::Response {
        let clock = self.now();
        grant::Response {
            incarnation: self.register.incarnation(),
            clock,
            accepted: false,
            version: self.register.version(),
            shards: self.register.held_shards(clock),
            in_flight: self.in_flight,
            slots: self.draft.slots,
            draining: self.is_draining(),
        }
    }

    /// Decides about a request, and records its start if it is to run.
    pub(super) fn begin(&mut self, config: &Config, call: Call) -> Verdict {
        if let Some(code) = self.refuses(config, &call) {
            return self.refuse(code);
        }
        match self.seen(&call) {
            Some(Seen::Running) => return self.refuse(Code::KeyInProgress),
            Some(Seen::Cancelled) => return self.refuse(Code::KeyUnknown),
            Some(Seen::Done(echo)) => return Verdict::Repeat(echo.clone()),
            None => {}
        }
        if self.faults.shed || self.in_flight >= config.slots {
            return self.refuse(Code::Shed);
        }
        let checked = config.fencing == Fencing::Checked;
        let over = checked && self.in_flight >= self.register.allowance(self.now());
        self.draft.over_allowance += u64::from(over);
        self.in_flight += 1;
        self.draft.peak_in_flight = self.draft.peak_in_flight.max(self.in_flight);
        let key = call.idempotency_key.clone().filter(|_| self.deduplicates);
        if let Some(key) = key {
            self.keys.set(&key, Seen::Running);
        }
        let number = self.ledger.start(call, self.is_draining());
        let work = self.work(config);
        Verdict::Run { number, work }
    }

    /// Ends a run and frees its slot.
    pub(super) fn end(&mut self, number: u64, phase: Phase) {
        self.in_flight -= 1;
        self.ledger.end(number, phase);
        let key = self
            .ledger
            .find(number)
            .and_then(|run| run.idempotency_key.clone());
        if let Some(key) = key.filter(|_| self.deduplicates && phase == Phase::Cancelled) {
            self.keys.set(&key, Seen::Cancelled);
        }
    }

    /// Answer to a finished run; stored if its key is to be remembered.
    pub(super) fn echo(&mut self, config: &Config, number: u64, body_bytes: usize) -> Echo {
        let run = self.ledger.find(number).cloned();
        let echo = Echo {
            upstream: config.name.clone(),
            service: config.service.clone(),
            request_id: run.as_ref().and_then(|run| run.request_id.clone()),
            shard: run.as_ref().and_then(|run| run.shard),
            epoch: run.as_ref().and_then(|run| run.epoch.clone()),
            run: number,
            body_bytes,
            deduplicated: false,
        };
        let key = run.and_then(|run| run.idempotency_key);
        if let Some(key) = key.filter(|_| self.deduplicates) {
            self.keys.set(&key, Seen::Done(echo.clone()));
        }
        echo
    }

    /// Delay of the next answer, and whether it is lost.
    pub(super) fn delivery(&mut self) -> (Duration, bool) {
        let lost = crate::fault::consume_one(&mut self.faults.lose_answers);
        (Duration::from_millis(self.faults.late_ms), lost)
    }

    /// Load report, which may be false.
    pub(super) fn load(&self, config: &Config) -> LoadReport {
        let (in_flight, slots) = (self.in_flight, config.slots);
        self.faults.load.unwrap_or(LoadReport { in_flight, slots })
    }

    pub(super) fn runs(&self, after: u64) -> Runs {
        Runs {
            upstream: self.draft.upstream.clone(),
            incarnation: self.register.incarnation(),
            total: self.ledger.total(),
            forgotten: self.ledger.forgotten(),
            runs: self.ledger.after(after),
        }
    }

    pub(super) fn summary(&self, (connections, refused): (usize, u64)) -> Summary {
        let clock = self.now();
        Summary {
            clock,
            faults: self.faults,
            in_flight: self.in_flight,
            allowance: self.register.allowance(clock),
            shards: self.register.held_shards(clock),
            runs: self.ledger.total(),
            connections,
            connections_refused: refused,
            ..self.draft.clone()
        }
    }

    fn now(&self) -> Time {
        self.clock_start + self.started.elapsed()
    }

    fn is_draining(&self) -> bool {
        self.faults.drain != Drain::Off
    }

    /// Reason why the request may not be run at all.
    fn refuses(&self, config: &Config, call: &Call) -> Option<Code> {
        if call.has_expired() {
            return Some(Code::Expired);
        }
        if config.fencing == Fencing::Checked && !self.owns(config, call) {
            return Some(Code::NotOwner);
        }
        (self.faults.drain == Drain::Refuse).then_some(Code::Stopping)
    }

    fn owns(&self, config: &Config, call: &Call) -> bool {
        let keyed = config.keyed || call.shard.is_some() || call.epoch.is_some();
        let claim = call.claim();
        !keyed || claim.is_some_and(|(index, epoch)| self.register.admits(self.now(), index, epoch))
    }

    fn seen(&self, call: &Call) -> Option<&Seen> {
        self.keys.get(call.idempotency_key.as_deref()?)
    }

    fn refuse(&mut self, code: Code) -> Verdict {
        *self.draft.refusals.entry(code.number()).or_default() += 1;
        Verdict::Refuse(code)
    }

    fn work(&mut self, config: &Config) -> Duration {
        let first = *self.first_run.get_or_insert_with(Instant::now);
        let cold = first.elapsed() < Duration::from_millis(self.faults.cold_ms);
        let work = Duration::from_millis(self.faults.work_ms);
        if cold {
            work * config.cold_factor
        } else {
            work
        }
    }
}

impl Summary {
    fn new(config: &Config, incarnation: u64) -> Summary {
        Summary {
            upstream: config.name.clone(),
            service: config.service.clone(),
            incarnation,
            clock: Time(0),
            faults: Faults::default(),
            in_flight: 0,
            peak_in_flight: 0,
            slots: config.slots,
            allowance: 0,
            over_allowance: 0,
            shards: Vec::new(),
            grants_accepted: 0,
            grants_refused: 0,
            runs: 0,
            refusals: BTreeMap::new(),
            connections: 0,
            connections_refused: 0,
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
