//! State of an upstream, and its decisions about grants and requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use medlarreel_core::code::Code;
use medlarreel_core::grant::{self, Register};
use medlarreel_core::ids::Epoch;
use medlarreel_core::preset::Fencing;
use medlarreel_core::time::Time;
use serde::{Deserialize, Serialize};

use super::Config;
use super::dedup::{KeyState, KeyTable};
use super::fault::{Drain, FaultChange, Faults, LoadReport};
use super::run::{Phase, RequestHead, RunRecorder, Runs};

/// Exclusive upper bound of the clock's initial reading. Each upstream's clock starts
/// at a random reading, so that a sender that confuses the clocks of two upstreams is
/// noticed.
const MAX_CLOCK_START_US: u64 = 1_000_000_000_000;

/// Body of a regular response, which echoes the request. If the record of the run was
/// dropped before the run finished, the optional fields are `None`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the upstream.
    pub upstream: String,
    /// Service that the upstream runs.
    pub service: String,
    /// Request id of the run; for a repeated idempotency key, that of the first run.
    pub request_id: Option<String>,
    /// Shard given in the request.
    pub shard: Option<u16>,
    /// Epoch given in the request.
    pub epoch: Option<String>,
    /// Number of the run.
    pub run: u64,
    /// Length of the request body, in bytes.
    pub body_bytes: usize,
    /// Whether this is the stored response for a repeated idempotency key.
    pub deduplicated: bool,
}

/// Counters and held grants, as `GET /admin/state` returns them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the upstream.
    pub upstream: String,
    /// Service that the upstream runs.
    pub service: String,
    /// Random number chosen at each start of the upstream.
    pub incarnation: u64,
    /// Reading of the upstream's clock, in microseconds.
    pub clock: Time,
    /// Active faults.
    pub faults: Faults,
    /// Number of requests that are running.
    pub in_flight: u16,
    /// Maximum number of requests that have run at a time so far.
    pub peak_in_flight: u16,
    /// Number of requests that can run at a time.
    pub slots: u16,
    /// Number of requests that the current grant allows at a time; 0 without a grant.
    pub allowance: u16,
    /// Number of runs that started while at least `allowance` others were running.
    /// Counted by checked upstreams only.
    pub over_allowance: u64,
    /// Shards held under an unexpired lease, with their epochs.
    pub shards: Vec<(u16, Epoch)>,
    /// Number of grants accepted.
    pub grants_accepted: u64,
    /// Number of grants refused.
    pub grants_refused: u64,
    /// Number of runs started.
    pub runs: u64,
    /// Number of requests refused, by code.
    pub refusals: BTreeMap<u16, u64>,
    /// Number of open ordinary connections, excluding silent ones.
    pub connections: usize,
    /// Number of connections refused because of the limit.
    pub connections_refused: u64,
}

/// Decision about a request.
pub(super) enum Decision {
    /// Refuses the request with this code.
    Refuse(Code),
    /// Repeats the stored response of the run with the same idempotency key.
    Repeat(Echo),
    /// Runs the request under this run number.
    Run { number: u64, work_time: Duration },
}

/// Mutable state of an upstream, guarded by its mutex.
#[derive(Debug)]
pub(super) struct State {
    started: Instant,
    initial_clock: Time,
    register: Register,
    faults: Faults,
    /// Start of the cold start; `None` until the next run starts it.
    cold_start_at: Option<Instant>,
    in_flight: u16,
    run_recorder: RunRecorder,
    key_table: KeyTable,
    deduplicates: bool,
    /// Constant values and counters, which `summary` completes.
    base_summary: Summary,
}

impl State {
    pub(super) fn new(config: &Config) -> State {
        let register = Register::new(rand::random());
        let faults = Faults {
            work_ms: duration_ms(config.work_time),
            cold_ms: duration_ms(config.cold_start),
            ..Faults::default()
        };
        State {
            started: Instant::now(),
            initial_clock: Time(rand::random_range(0..MAX_CLOCK_START_US)),
            faults,
            cold_start_at: None,
            in_flight: 0,
            run_recorder: RunRecorder::new(config.max_recorded_runs),
            key_table: KeyTable::default(),
            deduplicates: config.deduplicates,
            base_summary: Summary::new(config, register.incarnation()),
            register,
        }
    }

    pub(super) fn change_faults(&mut self, change: FaultChange) -> Faults {
        self.faults.apply(&change);
        if change.cold_ms.is_some() {
            self.cold_start_at = None;
        }
        self.faults
    }

    pub(super) fn faults(&self) -> Faults {
        self.faults
    }

    /// Accepts or refuses a grant and returns the resulting state.
    pub(super) fn handle_grant(&mut self, request: &grant::Request) -> grant::Response {
        let now = self.now();
        let accepted = self.register.try_accept(now, request).is_ok();
        self.base_summary.grants_accepted += u64::from(accepted);
        self.base_summary.grants_refused += u64::from(!accepted);
        grant::Response {
            accepted,
            ..self.grant_state()
        }
    }

    /// Returns the state of the grants, as `GET /medlar/grant` reports it.
    pub(super) fn grant_state(&self) -> grant::Response {
        let clock = self.now();
        grant::Response {
            incarnation: self.register.incarnation(),
            clock,
            accepted: false,
            version: self.register.version(),
            shards: self.register.held_shards(clock),
            in_flight: self.in_flight,
            slots: self.base_summary.slots,
            draining: self.is_draining(),
        }
    }

    /// Decides about a request, and records the start of its run if it is to be run.
    pub(super) fn begin_run(&mut self, config: &Config, request: RequestHead) -> Decision {
        if let Some(code) = self.refusal_code(config, &request) {
            return self.record_refusal(code);
        }
        match self.key_state(&request) {
            Some(KeyState::Running) => return self.record_refusal(Code::KeyInProgress),
            Some(KeyState::Cancelled) => return self.record_refusal(Code::KeyUnknown),
            Some(KeyState::Done(echo)) => return Decision::Repeat(echo.clone()),
            None => {}
        }
        if self.faults.shed || self.in_flight >= config.slots {
            return self.record_refusal(Code::Shed);
        }
        let checked = config.fencing == Fencing::Checked;
        let exceeds_allowance = checked && self.in_flight >= self.register.allowance(self.now());
        self.base_summary.over_allowance += u64::from(exceeds_allowance);
        self.in_flight += 1;
        self.base_summary.peak_in_flight = self.base_summary.peak_in_flight.max(self.in_flight);
        let key = request
            .idempotency_key
            .clone()
            .filter(|_| self.deduplicates);
        if let Some(key) = key {
            self.key_table.set(&key, KeyState::Running);
        }
        let number = self.run_recorder.record_start(request, self.is_draining());
        let work_time = self.next_work_time(config);
        Decision::Run { number, work_time }
    }

    /// Ends a run and frees its slot.
    pub(super) fn end_run(&mut self, number: u64, phase: Phase) {
        self.in_flight -= 1;
        self.run_recorder.record_end(number, phase);
        let key = self
            .run_recorder
            .find_run(number)
            .and_then(|run| run.idempotency_key.clone());
        if let Some(key) = key.filter(|_| self.deduplicates && phase == Phase::Cancelled) {
            self.key_table.set(&key, KeyState::Cancelled);
        }
    }

    /// Builds the response to a finished run, and stores it if the upstream
    /// deduplicates and the request has an idempotency key.
    pub(super) fn build_echo(&mut self, config: &Config, number: u64, body_bytes: usize) -> Echo {
        let run = self.run_recorder.find_run(number).cloned();
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
            self.key_table.set(&key, KeyState::Done(echo.clone()));
        }
        echo
    }

    /// Returns the delay of the next response and whether it is dropped, which uses up
    /// one of `Faults::lose_answers`.
    pub(super) fn consume_response_faults(&mut self) -> (Duration, bool) {
        let drop_response = crate::fault::consume_fault(&mut self.faults.lose_answers);
        (Duration::from_millis(self.faults.late_ms), drop_response)
    }

    /// Returns the load report, which an injected fault may replace.
    pub(super) fn load_report(&self, config: &Config) -> LoadReport {
        let (in_flight, slots) = (self.in_flight, config.slots);
        self.faults.load.unwrap_or(LoadReport { in_flight, slots })
    }

    pub(super) fn runs(&self, after: u64) -> Runs {
        Runs {
            upstream: self.base_summary.upstream.clone(),
            incarnation: self.register.incarnation(),
            total: self.run_recorder.total(),
            forgotten: self.run_recorder.forgotten_count(),
            runs: self.run_recorder.runs_after(after),
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
            runs: self.run_recorder.total(),
            connections,
            connections_refused: refused,
            ..self.base_summary.clone()
        }
    }

    fn now(&self) -> Time {
        self.initial_clock + self.started.elapsed()
    }

    fn is_draining(&self) -> bool {
        self.faults.drain != Drain::Off
    }

    /// Returns the code of the refusal if the request's deadline, its grant or the
    /// drain state forbids running it.
    fn refusal_code(&self, config: &Config, request: &RequestHead) -> Option<Code> {
        if request.has_expired() {
            return Some(Code::Expired);
        }
        if config.fencing == Fencing::Checked && !self.admits(config, request) {
            return Some(Code::NotOwner);
        }
        (self.faults.drain == Drain::Refuse).then_some(Code::Stopping)
    }

    /// Whether a request needs no grant, or the held grants cover its shard and epoch.
    fn admits(&self, config: &Config, request: &RequestHead) -> bool {
        let keyed = config.keyed || request.shard.is_some() || request.epoch.is_some();
        let shard_and_epoch = request.shard_and_epoch();
        !keyed
            || shard_and_epoch
                .is_some_and(|(index, epoch)| self.register.admits(self.now(), index, epoch))
    }

    fn key_state(&self, request: &RequestHead) -> Option<&KeyState> {
        self.key_table.get(request.idempotency_key.as_deref()?)
    }

    fn record_refusal(&mut self, code: Code) -> Decision {
        *self.base_summary.refusals.entry(code.number()).or_default() += 1;
        Decision::Refuse(code)
    }

    /// Work time of a run that starts now. Begins the cold start if it has not begun.
    fn next_work_time(&mut self, config: &Config) -> Duration {
        let cold_start_at = *self.cold_start_at.get_or_insert_with(Instant::now);
        let cold = cold_start_at.elapsed() < Duration::from_millis(self.faults.cold_ms);
        let work_time = Duration::from_millis(self.faults.work_ms);
        if cold {
            work_time * config.cold_factor
        } else {
            work_time
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

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
