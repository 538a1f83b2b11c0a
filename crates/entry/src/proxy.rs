//! Path of a request: route, place in the queue, upstream, answer.

mod answer;
mod request;
mod send;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use medlarreel_core::code::Outcome;
use medlarreel_core::entry::queue::{Decision, FinishedSend, QueuedRequest, Reason, Ticket};
use medlarreel_core::entry::upstream_state::SendResult;
use medlarreel_core::ids::Upstream;
use medlarreel_core::retry::{Attempt, RetryDecision};
use tokio::sync::oneshot;

use answer::{pass_on, plain, refusal};
use request::{Exchange, count_key, read};
use send::{Sent, send};

use crate::state::State;

/// Most connections that are tried in vain for one request.
const MAX_CONNECTS: u32 = 3;

/// Pause before a request is sent again to the owner of its key.
const SAME_PAUSE: Duration = Duration::from_millis(30);

/// Part of its remaining time after which a refused caller comes back at the latest.
const RETURN_PART: u32 = 3;

/// Serves a request.
pub async fn serve_request(state: &Rc<State>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let arrived = state.clock.now();
    let exchange = match read(state, request, arrived).await {
        Ok(exchange) => exchange,
        Err(response) => return *response,
    };
    state.earn_retry_budget(arrived, &exchange.service);
    count_key(state, &exchange);
    let mut open = Open {
        state,
        exchange: &exchange,
        progress: Progress::default(),
        answered: false,
    };
    let left = exchange.deadline.since(arrived);
    let ran = tokio::time::timeout(left, run(state, &exchange, &mut open.progress)).await;
    let mut response = ran.unwrap_or_else(|_| late(state, &exchange, &open.progress));
    open.answered = true;
    let took = state.clock.now().since(arrived);
    state.metrics.latency.observe(took.as_secs_f64());
    if state.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// What is known about a request's sends.
#[derive(Default)]
struct Progress {
    /// Whether an upstream has the request now.
    under_way: bool,
    /// Whether an earlier send may have run.
    unresolved: bool,
    tried: Vec<Upstream>,
    sends: u32,
    connects: u32,
}

/// A request from its arrival to its answer; dropped early if the caller leaves.
struct Open<'a> {
    state: &'a State,
    exchange: &'a Exchange,
    progress: Progress,
    answered: bool,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let now = self.state.clock.now();
        let waited_ms = now.since(self.exchange.arrived).as_millis() as u64;
        self.state
            .metrics
            .count_request(&self.exchange.route.name, "left");
        tracing::info!(
            id = self.exchange.id,
            route = self.exchange.route.name,
            key = self.exchange.key,
            sends = self.progress.sends,
            waited_ms,
            "caller left"
        );
    }
}

impl Progress {
    /// Whether the request may run or have run at an upstream.
    fn may_run(&self) -> bool {
        self.under_way || self.unresolved
    }
}

async fn run(
    state: &Rc<State>,
    exchange: &Exchange,
    progress: &mut Progress,
) -> Response<Full<Bytes>> {
    loop {
        let (upstream, expected) = match place(state, exchange, progress).await {
            Decision::Send {
                upstream, expected, ..
            } => (upstream, expected),
            Decision::Refuse { reason, after } => {
                return refuse(state, exchange, progress, reason, after);
            }
        };
        let sent = send(state, exchange, upstream, progress).await;
        let (outcome, why) = match sent {
            Sent::Answered(answer) => {
                state
                    .metrics
                    .count_request(&exchange.route.name, "answered");
                return pass_on(exchange, answer);
            }
            Sent::NotRun(why) => (Outcome::NotRun, why.to_owned()),
            Sent::Unreached(why) => (Outcome::NotRun, why),
            Sent::Unknown(why) => (Outcome::Unknown, why),
        };
        if !sends_again(state, exchange, progress, outcome, &why, expected) {
            return give_up(state, exchange, progress, outcome, &why);
        }
        if exchange.key.is_some() {
            tokio::time::sleep(SAME_PAUSE).await;
        }
    }
}

/// Waits for a place at an upstream.
async fn place(state: &Rc<State>, exchange: &Exchange, progress: &Progress) -> Decision {
    let ticket = state.new_ticket();
    let waiting = QueuedRequest {
        ticket,
        service: exchange.service.clone(),
        key: exchange.key,
        route: exchange.route.name.clone(),
        rank: exchange.route.rank,
        arrived: exchange.arrived,
        deadline: exchange.deadline,
        tried: progress.tried.clone(),
    };
    let now = state.clock.now();
    let offered = state
        .queue
        .borrow_mut()
        .enqueue(now, waiting, state.as_ref());
    if let Err(decision) = offered {
        return decision;
    }
    let (sender, receiver) = oneshot::channel();
    state.waiters.borrow_mut().insert(ticket, sender);
    let mut place = Place {
        state,
        ticket,
        receiver,
        decided: false,
    };
    state.dispatch_decisions();
    let decision = (&mut place.receiver).await;
    place.decided = true;
    decision.unwrap_or(Decision::Refuse {
        reason: Reason::NoUpstream,
        after: Duration::ZERO,
    })
}

/// A place in the queue, given up when its request is dropped.
struct Place<'a> {
    state: &'a Rc<State>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Decision>,
    decided: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        self.state.waiters.borrow_mut().remove(&self.ticket);
        let mut queue = self.state.queue.borrow_mut();
        queue.cancel(self.ticket);
        // A decision may have been made that nobody has taken yet.
        if let Ok(Decision::Send { upstream, .. }) = self.receiver.try_recv() {
            let now = self.state.clock.now();
            let run = FinishedSend {
                upstream,
                route: "",
                service: "",
                result: SendResult::CallerLeft,
                load: None,
                took: Duration::ZERO,
            };
            queue.record_finished(now, &run);
        }
    }
}

/// Whether a request is sent once more, within its limits and the budget.
fn sends_again(
    state: &State,
    exchange: &Exchange,
    progress: &Progress,
    outcome: Outcome,
    why: &str,
    expected: Duration,
) -> bool {
    let now = state.clock.now();
    let useful = exchange.deadline.since(now) > expected / 2;
    let attempt = Attempt {
        outcome,
        idempotent: exchange.route.idempotent,
        deadline: exchange.deadline,
    };
    // A send without a connection reached nobody and costs no budget.
    let free = progress.sends == 0;
    let verdict = match (useful, free) {
        (false, _) => RetryDecision::Late,
        (true, true) if progress.connects <= MAX_CONNECTS => RetryDecision::Send,
        (true, true) => RetryDecision::Spent,
        (true, false) if progress.sends >= exchange.route.max_attempts => RetryDecision::Spent,
        (true, false) => {
            let mut budgets = state.retry_budgets.borrow_mut();
            budgets
                .for_service(now, &exchange.service)
                .decide(now, &attempt)
        }
    };
    if verdict == RetryDecision::Send {
        state.metrics.count_resend(&exchange.route.name, why);
    }
    let left_ms = exchange.deadline.since(now).as_millis() as u64;
    tracing::info!(
        id = exchange.id,
        route = exchange.route.name,
        why,
        sends = progress.sends,
        left_ms,
        verdict = ?verdict,
        "send failed"
    );
    verdict == RetryDecision::Send
}

fn give_up(
    state: &State,
    exchange: &Exchange,
    progress: &Progress,
    outcome: Outcome,
    why: &str,
) -> Response<Full<Bytes>> {
    let not_run = outcome == Outcome::NotRun && !progress.may_run();
    let kind = if not_run { "refused" } else { "failed" };
    state.metrics.count_request(&exchange.route.name, kind);
    tracing::info!(
        id = exchange.id,
        route = exchange.route.name,
        key = exchange.key,
        why,
        not_run,
        "request given up"
    );
    match not_run {
        true => refusal(retry_after(state, exchange, Duration::from_millis(100))),
        false => plain(StatusCode::BAD_GATEWAY),
    }
}

fn refuse(
    state: &State,
    exchange: &Exchange,
    progress: &Progress,
    reason: Reason,
    after: Duration,
) -> Response<Full<Bytes>> {
    let now = state.clock.now();
    let waited_ms = now.since(exchange.arrived).as_millis() as u64;
    let version = state.owner_map.borrow().revision();
    tracing::info!(
        id = exchange.id,
        route = exchange.route.name,
        key = exchange.key,
        reason = ?reason,
        waited_ms,
        owners = ?version,
        waiting = state.queue.borrow().len(),
        "request refused"
    );
    state.metrics.count_request(&exchange.route.name, "refused");
    match progress.may_run() {
        true => plain(StatusCode::BAD_GATEWAY),
        false => refusal(retry_after(state, exchange, after)),
    }
}

/// Answer at the deadline.
fn late(state: &State, exchange: &Exchange, progress: &Progress) -> Response<Full<Bytes>> {
    tracing::info!(
        id = exchange.id,
        route = exchange.route.name,
        key = exchange.key,
        sends = progress.sends,
        "deadline passed"
    );
    state.metrics.count_request(&exchange.route.name, "late");
    match progress.may_run() {
        true => plain(StatusCode::GATEWAY_TIMEOUT),
        false => refusal(None),
    }
}

/// Time after which the caller should come back, within what it honours.
fn retry_after(state: &State, exchange: &Exchange, after: Duration) -> Option<Duration> {
    let left = exchange.deadline.since(state.clock.now());
    (!left.is_zero()).then(|| after.min(left / RETURN_PART))
}
