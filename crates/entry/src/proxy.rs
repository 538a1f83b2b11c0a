//! Handling of callers' requests: routing, queueing, sending to an upstream, responding.

mod request;
mod response;
mod send;

use std::rc::Rc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use medlarreel_core::code::Outcome;
use medlarreel_core::entry::outcome::{Cause, Ending, Progress, Reply, Verdict};
use medlarreel_core::entry::queue::arrival::{MIN_RETRY_AFTER, Standing};
use medlarreel_core::entry::queue::{
    Decision, FinishedSend, QueuedRequest, RETRY_AFTER_DIVISOR, Reason, Ticket,
};
use medlarreel_core::entry::upstream_state::SendResult;
use medlarreel_core::ids::Upstream;
use medlarreel_core::retry::{Attempt, RetryDecision};
use medlarreel_core::time::Time;
use tokio::sync::oneshot;

use request::{RoutedRequest, count_keyed_request, read_request};
use response::{empty_response, forwarded_response, refusal_response, with_connection_close};
use send::send_to_upstream;

use crate::body;
use crate::crashes::trials::{self, Clearance};
use crate::link::Transfer;
use crate::platform::headers;
use crate::state::State;

/// Number of connection failures up to which a request that was never sent is retried.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Number of upstreams that may close a new connection at once before a request that was
/// never sent is refused. They are at their connection limit, and further attempts would
/// keep them there.
const MAX_CLOSED_CONNECTS: u32 = 1;

/// `Retry-After` of a request that is refused because this instance is shutting down. Other
/// instances can serve it at once.
const STOPPED_RETRY_AFTER: Duration = MIN_RETRY_AFTER;

/// Number of average run times that must remain before the end of a shutdown for a request to
/// be sent.
const STOP_LEAD_RUNS: u32 = 3;

/// Serves a caller's request and returns the response by its deadline.
pub async fn serve_request(
    state: &Rc<State>,
    incoming: Request<Incoming>,
) -> Response<body::Response> {
    let arrived = state.clock.now();
    let request = match read_request(state, incoming, arrived).await {
        Ok(request) => request,
        Err(response) => return *response,
    };
    if state.refusing.get() {
        tracing::info!(id = request.id, reason = "shutdown", "request refused");
        state.metrics.count_request(&request.route.name, "stopping");
        return with_connection_close(refusal_response(Some(STOPPED_RETRY_AFTER)));
    }
    let standing = judge_caller(state, &request);
    state.earn_retry_budget(arrived, &request.service);
    count_keyed_request(state, &request);
    let run_time = state.queue.borrow().expected_run_time(&request.route.name);
    let (route, deadline) = (&request.route, request.deadline);
    let transfer = state.link.open(&route.name, route.rank, run_time, deadline);
    let mut transfer = match transfer {
        Ok(transfer) => Some(transfer),
        Err(after) => return refuse_for_link(state, &request, after),
    };
    let mut open_request = OpenRequest {
        state,
        request: &request,
        progress: Progress::default(),
        answered: false,
    };
    let remaining = request.deadline.since(arrived);
    let served = tokio::time::timeout(
        remaining,
        send_with_retries(
            state,
            &request,
            standing,
            &mut open_request.progress,
            &mut transfer,
        ),
    );
    let result = tokio::select! {
        result = served => result.ok(),
        () = state.wait_for_stop(Duration::ZERO) => None,
    };
    let mut response =
        result.unwrap_or_else(|| deadline_response(state, &request, &open_request.progress));
    open_request.answered = true;
    let elapsed = state.clock.now().since(arrived);
    state.metrics.latency.observe(elapsed.as_secs_f64());
    if state.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// A request that has not been answered yet. It is dropped unanswered if the caller
/// leaves, which is then counted and logged.
struct OpenRequest<'a> {
    state: &'a State,
    request: &'a RoutedRequest,
    progress: Progress,
    answered: bool,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let now = self.state.clock.now();
        let waited_ms = now.since(self.request.arrived).as_millis() as u64;
        self.state
            .metrics
            .count_request(&self.request.route.name, "left");
        tracing::info!(
            id = self.request.id,
            route = self.request.route.name,
            key = self.request.key,
            sends = self.progress.arrivals(),
            waited_ms,
            "caller left"
        );
    }
}

/// Judges by the time that the caller has left whether it has been refused before.
fn judge_caller(state: &State, request: &RoutedRequest) -> Standing {
    let patience = headers::parse_u64(&request.headers, &headers::DEADLINE_MS);
    let patience = patience.map(Duration::from_millis);
    let route = &request.route;
    let standing = state.queue.borrow_mut().judge(
        request.arrived,
        &route.name,
        patience,
        route.target_latency,
    );
    state.metrics.count_arrival(&route.name, standing.arrival);
    standing
}

async fn send_with_retries(
    state: &Rc<State>,
    request: &RoutedRequest,
    standing: Standing,
    progress: &mut Progress,
    transfer: &mut Option<Transfer>,
) -> Response<body::Response> {
    loop {
        let decision = match wait_for_upstream(state, request, standing, progress).await {
            Ok(decision) => decision,
            Err(until) => return refuse_suspect(state, request, progress, until),
        };
        let (upstream, expected) = match decision {
            Decision::Send {
                upstream, expected, ..
            } => (upstream, expected),
            Decision::Refuse { reason, after } => {
                return refuse_request(state, request, progress, reason, after);
            }
        };
        let assignment = Assignment::new(state, upstream);
        let clearance = trials::clear(state, || request.fingerprint()).await;
        let trial = match clearance {
            Clearance::Clear => None,
            Clearance::Trial(trial) => Some(trial),
            Clearance::Busy => {
                drop(assignment);
                state.wait_for_trial().await;
                continue;
            }
        };
        if let Some(until) = state.blocked_until(|| request.fingerprint()) {
            drop(assignment);
            return refuse_suspect(state, request, progress, until);
        }
        assignment.begin_send();
        let sent = send_to_upstream(state, request, upstream, progress).await;
        drop(trial);
        let (ending, why) = match sent {
            Ok(response) => {
                progress.end(Ending::Answered);
                state.metrics.count_request(&request.route.name, "answered");
                if state.clock.now() > standing.target {
                    let metrics = &state.metrics;
                    metrics.count_late_answer(&request.route.name, standing.arrival);
                }
                return forwarded_response(request, response, transfer.take());
            }
            Err(failure) => (failure.ending, failure.why),
        };
        progress.end(ending);
        let outcome = match ending {
            Ending::Doubtful => Outcome::Unknown,
            _ => Outcome::NotRun,
        };
        if !approve_resend(state, request, progress, outcome, &why, expected) {
            return give_up(state, request, progress, &why);
        }
    }
}

/// Queues the request and waits until it is assigned to an upstream or refused.
///
/// # Errors
///
/// Returns the time until which the request is blocked, if it is.
async fn wait_for_upstream(
    state: &Rc<State>,
    request: &RoutedRequest,
    standing: Standing,
    progress: &Progress,
) -> Result<Decision, Time> {
    let fingerprint = || request.fingerprint();
    if let Some(until) = state.blocked_until(fingerprint) {
        return Err(until);
    }
    let ticket = state.new_ticket();
    let queued = QueuedRequest {
        ticket,
        service: request.service.clone(),
        key: request.key,
        route: request.route.name.clone(),
        rank: request.route.rank,
        arrived: request.arrived,
        deadline: request.deadline,
        tried: progress.tried().to_vec(),
        standing,
    };
    let now = state.clock.now();
    let enqueued = state
        .queue
        .borrow_mut()
        .enqueue(now, queued, state.as_ref());
    if let Err(decision) = enqueued {
        return Ok(decision);
    }
    let (sender, receiver) = oneshot::channel();
    state.waiters.borrow_mut().insert(ticket, sender);
    let mut entry = QueueEntry {
        state,
        ticket,
        receiver,
        decided: false,
    };
    state.dispatch_decisions();
    // A request that is sent too late in a shutdown would be cut off.
    let lead = state.queue.borrow().expected_run_time(&request.route.name) * STOP_LEAD_RUNS;
    // Checked first: the request may be blocked after it was assigned, but not sent yet.
    let decision = tokio::select! {
        biased;
        until = state.wait_until_blocked(fingerprint) => return Err(until),
        () = state.wait_for_stop(lead) => return Ok(Decision::Refuse {
            reason: Reason::Stopping,
            after: STOPPED_RETRY_AFTER,
        }),
        decision = &mut entry.receiver => decision,
    };
    entry.decided = true;
    Ok(decision.unwrap_or(Decision::Refuse {
        reason: Reason::NoUpstream,
        after: Duration::ZERO,
    }))
}

/// An entry in the queue, which is cancelled if the request is dropped.
struct QueueEntry<'a> {
    state: &'a Rc<State>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Decision>,
    decided: bool,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        self.state.waiters.borrow_mut().remove(&self.ticket);
        self.state.queue.borrow_mut().cancel(self.ticket);
        // The request may have been assigned already without its task having seen it.
        if let Ok(Decision::Send { upstream, .. }) = self.receiver.try_recv() {
            drop(Assignment::new(self.state, upstream));
        }
    }
}

/// Capacity at an upstream that was assigned to a request, which is given back if the request
/// is dropped before it is sent.
struct Assignment<'a> {
    state: &'a State,
    upstream: Upstream,
    is_used: bool,
}

impl<'a> Assignment<'a> {
    fn new(state: &'a State, upstream: Upstream) -> Assignment<'a> {
        Assignment {
            state,
            upstream,
            is_used: false,
        }
    }

    /// The send gives the capacity back from now on.
    fn begin_send(mut self) {
        self.is_used = true;
    }
}

impl Drop for Assignment<'_> {
    fn drop(&mut self) {
        if self.is_used {
            return;
        }
        let finished = FinishedSend {
            upstream: self.upstream,
            route: "",
            service: "",
            result: SendResult::CallerLeft,
            load: None,
            took: Duration::ZERO,
        };
        let now = self.state.clock.now();
        self.state
            .queue
            .borrow_mut()
            .record_finished(now, &finished);
    }
}

/// Decides whether a request is sent again, given its limits and the retry budget, and
/// logs the decision. A resend is counted and charged to the budget; a request that has
/// never been sent costs nothing.
fn approve_resend(
    state: &State,
    request: &RoutedRequest,
    progress: &Progress,
    outcome: Outcome,
    why: &str,
    expected: Duration,
) -> bool {
    let now = state.clock.now();
    let is_in_time = request.deadline.since(now) > expected / 2;
    let attempt = Attempt {
        outcome,
        idempotent: request.route.idempotent,
        deadline: request.deadline,
    };
    // A failed connection reached no upstream and costs no retry budget.
    let never_sent = progress.arrivals() == 0;
    let decision = match (is_in_time, never_sent) {
        (false, _) => RetryDecision::Late,
        (true, true)
            if progress.connect_failures() <= MAX_CONNECT_FAILURES
                && progress.closed_connects() <= MAX_CLOSED_CONNECTS =>
        {
            RetryDecision::Send
        }
        (true, true) => RetryDecision::Spent,
        // The limit is on upstreams that may run the request.
        (true, false) if progress.attempts() >= request.route.max_attempts => RetryDecision::Spent,
        (true, false) => {
            let mut budgets = state.retry_budgets.borrow_mut();
            budgets
                .for_service(now, &request.service)
                .decide(now, &attempt)
        }
    };
    if decision == RetryDecision::Send {
        state.metrics.count_resend(&request.route.name, why);
    }
    let left_ms = request.deadline.since(now).as_millis() as u64;
    tracing::info!(
        id = request.id,
        route = request.route.name,
        why,
        sends = progress.arrivals(),
        left_ms,
        verdict = ?decision,
        "send failed"
    );
    decision == RetryDecision::Send
}

fn give_up(
    state: &State,
    request: &RoutedRequest,
    progress: &Progress,
    why: &str,
) -> Response<body::Response> {
    let not_run = progress.verdict() == Verdict::NotRun;
    let label = if not_run { "refused" } else { "failed" };
    state.metrics.count_request(&request.route.name, label);
    tracing::info!(
        id = request.id,
        route = request.route.name,
        key = request.key,
        why,
        not_run,
        "request given up"
    );
    let after = retry_after(state, request, MIN_RETRY_AFTER);
    failure_response(progress, Cause::GivenUp, after)
}

fn refuse_request(
    state: &State,
    request: &RoutedRequest,
    progress: &Progress,
    reason: Reason,
    after: Duration,
) -> Response<body::Response> {
    let now = state.clock.now();
    let waited_ms = now.since(request.arrived).as_millis() as u64;
    let owners_revision = state.owner_map.borrow().revision();
    tracing::info!(
        id = request.id,
        route = request.route.name,
        key = request.key,
        reason = ?reason,
        waited_ms,
        left_ms = request.deadline.since(now).as_millis() as u64,
        after_ms = after.as_millis() as u64,
        owners = ?owners_revision,
        waiting = state.queue.borrow().len(),
        "request refused"
    );
    state.metrics.count_request(&request.route.name, "refused");
    state.metrics.count_refusal(&request.route.name, reason);
    let after = retry_after(state, request, after);
    failure_response(progress, Cause::GivenUp, after)
}

/// Refuses a request whose response could not cross the link of this machine in time.
fn refuse_for_link(
    state: &State,
    request: &RoutedRequest,
    after: Duration,
) -> Response<body::Response> {
    tracing::info!(
        id = request.id,
        route = request.route.name,
        reason = "link",
        pending_bytes = state.link.pending(),
        "request refused"
    );
    state.metrics.count_request(&request.route.name, "no_link");
    refusal_response(retry_after(state, request, after))
}

/// Refuses a request that is suspected of crashing upstreams. This attempt has not run,
/// unless it was sent before; earlier ones may have.
fn refuse_suspect(
    state: &State,
    request: &RoutedRequest,
    progress: &Progress,
    until: Time,
) -> Response<body::Response> {
    let after = until.since(state.clock.now());
    tracing::info!(
        id = request.id,
        route = request.route.name,
        key = request.key,
        fingerprint = %request.fingerprint(),
        sends = progress.arrivals(),
        blocked_s = after.as_secs(),
        "request refused: upstreams have ended under it"
    );
    state.metrics.count_request(&request.route.name, "blocked");
    // It will not be served in time, so the delay is not shortened to the deadline.
    failure_response(progress, Cause::GivenUp, Some(after))
}

/// Returns the response for a request whose deadline, or the time of a shutdown, has passed.
fn deadline_response(
    state: &State,
    request: &RoutedRequest,
    progress: &Progress,
) -> Response<body::Response> {
    tracing::info!(
        id = request.id,
        route = request.route.name,
        key = request.key,
        sends = progress.arrivals(),
        stopping = state.stopping.get(),
        "deadline passed"
    );
    let label = match progress.verdict() {
        Verdict::NotRun => "late",
        Verdict::Unknown => "cut",
    };
    state.metrics.count_request(&request.route.name, label);
    failure_response(progress, Cause::Deadline, None)
}

/// Returns the response that is true of what is known of the request's runs. `after` is the
/// `Retry-After` of a refusal.
fn failure_response(
    progress: &Progress,
    cause: Cause,
    after: Option<Duration>,
) -> Response<body::Response> {
    match progress.reply(cause) {
        Reply::Refusal => refusal_response(after),
        Reply::Failure => empty_response(StatusCode::BAD_GATEWAY),
        Reply::Timeout => empty_response(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Limits the delay `after` to the part of the remaining time within which the caller can
/// still retry. Returns `None` if no time remains.
fn retry_after(state: &State, request: &RoutedRequest, after: Duration) -> Option<Duration> {
    let remaining = request.deadline.since(state.clock.now());
    (!remaining.is_zero()).then(|| after.min(remaining / RETRY_AFTER_DIVISOR))
}
