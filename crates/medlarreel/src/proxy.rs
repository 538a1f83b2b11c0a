//! The path of a request, from listener to upstream and back.
//!
//! A request is tried at the owner of its key, then at the standby; at each of
//! them through the likely dispatchers. Only attempts that are known not to
//! have run lead on to the next, except for idempotent requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use medlarreel_core::code::{Code, Outcome};
use medlarreel_core::ids::{Club, Epoch, Instance, Upstream};
use medlarreel_core::retry::Attempt;
use medlarreel_core::route::Route;

use crate::app::{App, Snapshot};
use crate::dispatch::idempotency::KeyLookup;
use crate::dispatch::{BufferedResponse, ExchangeError, Lane};

pub mod call;
pub mod load_balancer;
pub mod refusal;
pub mod retries;

pub use call::{Call, RequestHead};
pub use refusal::Refusal;

/// Upstreams tried for a request to a service that is not keyed.
const CHOICES: usize = 3;

/// Time that a request is held while its shard has no dispatcher or owner, as
/// during a planned move.
const HOLD: Duration = Duration::from_millis(50);

/// Time between attempts of a held request.
const HOLD_STEP: Duration = Duration::from_millis(10);

/// Time beyond the deadline in which another instance's refusal may arrive.
const FORWARD_SLACK: Duration = Duration::from_millis(20);

/// Serves a request that arrived from a caller.
pub async fn serve(app: &Arc<App>, head: RequestHead<'_>, body: Bytes) -> BufferedResponse {
    let arrived = app.clock.now();
    let snapshot = app.snapshot();
    let call = match read(app, &snapshot, &head, body) {
        Ok(call) => call,
        Err(code) => {
            app.metrics.refused(code);
            return Refusal::from(code).to_response();
        }
    };
    drop(snapshot);
    let outcome = route(app, &call).await;
    app.metrics
        .finished(&call, &outcome, app.clock.now().since(arrived));
    match outcome {
        Ok(answer) => answer,
        Err(refusal) => Refusal {
            next: None,
            ..refusal
        }
        .to_response(),
    }
}

/// Serves a request that another instance forwarded.
pub async fn serve_forwarded(
    app: &Arc<App>,
    head: RequestHead<'_>,
    body: Bytes,
) -> BufferedResponse {
    // A shutdown waits for these as well; the forwarding instance limits them.
    let _open = app.open_forwarded();
    let snapshot = app.snapshot();
    let outcome = match read_forwarded(app, &snapshot, &head, body) {
        Ok((call, upstream)) => dispatch(app, &snapshot, &call, upstream).await,
        Err(code) => Err(Refusal::from(code)),
    };
    let mut answer = outcome.unwrap_or_else(|refusal| refusal.to_response());
    if let Some(id) = head.headers.get(&call::REQUEST_ID) {
        answer.headers.insert(call::REQUEST_ID, id.clone());
    }
    answer
}

fn read(app: &App, snapshot: &Snapshot, head: &RequestHead<'_>, body: Bytes) -> Result<Call, Code> {
    if app.is_stopping() {
        return Err(Code::Stopping);
    }
    if !snapshot.established {
        return Err(Code::NoState);
    }
    head.check_framing()?;
    Call::parse(head, body, &snapshot.table, &app.home_club, app.clock.now())
}

fn read_forwarded(
    app: &App,
    snapshot: &Snapshot,
    head: &RequestHead<'_>,
    body: Bytes,
) -> Result<(Call, Upstream), Code> {
    let path = head.path.strip_prefix("/forward").ok_or(Code::BadRequest)?;
    let head = RequestHead { path, ..*head };
    let upstream = head
        .headers
        .get(&call::UPSTREAM)
        .and_then(|value| value.to_str().ok());
    let upstream = upstream
        .and_then(|text| text.parse().ok())
        .ok_or(Code::BadRequest)?;
    let call = Call::parse(
        &head,
        body,
        &snapshot.table,
        &app.home_club,
        app.clock.now(),
    )?;
    Ok((call, Upstream(upstream)))
}

/// Tries the candidates until one answers or the time is over.
async fn route(app: &Arc<App>, call: &Call) -> Result<BufferedResponse, Refusal> {
    app.retry_budget.record_request(app.clock.now());
    let hold_until = app.clock.now() + HOLD;
    loop {
        // Each pass reads a new snapshot, since the held request waits for it.
        let snapshot = app.snapshot();
        let refusal = match pass(app, &snapshot, call).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        let now = app.clock.now();
        let moving = refusal.outcome == Outcome::NotRun
            && matches!(
                refusal.code,
                Code::NoOwner | Code::NotOwner | Code::NotDispatcher
            );
        if !moving || now >= hold_until.min(call.deadline) {
            return Err(refusal);
        }
        tokio::time::sleep(HOLD_STEP).await;
    }
}

/// Tries each candidate once.
async fn pass(
    app: &Arc<App>,
    snapshot: &Snapshot,
    call: &Call,
) -> Result<BufferedResponse, Refusal> {
    let route = snapshot
        .table
        .route(&call.service)
        .ok_or(Code::UnknownService)?;
    let mut last = Refusal::from(Code::NoOwner);
    // Once an attempt may have run, no later refusal makes the request not run.
    let mut unknown = None;
    let mut tried = Vec::new();
    for upstream in candidates(app, route, call) {
        let mut instances = dispatchers(app, snapshot, upstream);
        while let Some(instance) = instances.pop() {
            if tried.contains(&(upstream, instance)) {
                continue;
            }
            if !tried.is_empty() && !may_retry(app, call, last) {
                return Err(unknown.unwrap_or(last));
            }
            tried.push((upstream, instance));
            let members = app.load_balancer.upstreams(route.service);
            let trial = members.map(|members| members.begin_attempt(app.clock, upstream));
            let outcome = attempt(app, snapshot, call, upstream, instance).await;
            if let Some(trial) = trial {
                trial.finish(&outcome);
            }
            match outcome {
                Ok(answer) => return Ok(answer),
                Err(refusal) => last = refusal,
            }
            if last.outcome != Outcome::NotRun {
                unknown.get_or_insert(last);
            }
            // The backup dispatcher has the same slots behind it.
            if matches!(last.code, Code::QueueFull | Code::Shed) {
                break;
            }
            instances.extend(last.next);
        }
    }
    Err(unknown.unwrap_or(last))
}

/// Whether the request may be sent again after the refusal.
fn may_retry(app: &App, call: &Call, last: Refusal) -> bool {
    let now = app.clock.now();
    match last.code {
        Code::BadRequest | Code::Expired | Code::BodyTooLarge | Code::UnknownService => false,
        // Only the owner may serve a key, so its overload is final. In a flood
        // each such refusal used to be followed by a futile one of the standby.
        Code::QueueFull | Code::Shed if call.shard.is_some() => false,
        // Nothing was done for the request yet, so trying elsewhere adds no load.
        Code::Unreachable | Code::NotDispatcher | Code::NotOwner | Code::NoOwner => {
            now < call.deadline && last.outcome == Outcome::NotRun
        }
        _ => {
            let (outcome, idempotent, deadline) = (last.outcome, call.idempotent, call.deadline);
            app.retry_budget.try_spend(
                now,
                &Attempt {
                    outcome,
                    idempotent,
                    deadline,
                },
            )
        }
    }
}

fn candidates(app: &App, route: &Route, call: &Call) -> Vec<Upstream> {
    match call.shard {
        Some(shard) => {
            let place = route.place(shard);
            place.owner.into_iter().chain(place.standby).collect()
        }
        None => match app.load_balancer.upstreams(route.service) {
            Some(members) => members.choose(app.clock.now(), &route.upstreams, CHOICES),
            None => Vec::new(),
        },
    }
}

/// Likely dispatchers, the best one last; those that cannot be reached first.
fn dispatchers(app: &App, snapshot: &Snapshot, upstream: Upstream) -> Vec<Instance> {
    let Some(target) = snapshot.table.target(upstream) else {
        return Vec::new();
    };
    let suspect = |instance: &Instance| {
        *instance != app.me
            && snapshot
                .peer(*instance)
                .is_none_or(|pool| pool.recently_failed())
    };
    let mut likely: Vec<_> = target.dispatchers.iter().rev().copied().collect();
    likely.sort_by_key(|instance| !suspect(instance));
    likely
}

/// Sends the request to one dispatcher, which may be this instance.
async fn attempt(
    app: &Arc<App>,
    snapshot: &Snapshot,
    call: &Call,
    upstream: Upstream,
    instance: Instance,
) -> Result<BufferedResponse, Refusal> {
    if instance == app.me {
        return dispatch(app, snapshot, call, upstream).await;
    }
    let pool = snapshot.peer(instance).ok_or(Code::Unreachable)?;
    let left = call.time_left(app.clock.now());
    if left.is_zero() {
        return Err(Code::Expired.into());
    }
    let host = pool.address().to_string();
    let mut request = call.forward_request(&host, &app.peer_token, upstream, left)?;
    let id = app.next_request_id();
    let headers = request.headers_mut();
    headers.insert(call::REQUEST_ID, HeaderValue::from(id));
    let sent = pool
        .exchange(request, left + FORWARD_SLACK, call.max_body)
        .await;
    let answer = sent.map_err(|failure| Refusal::from(failed(failure)))?;
    // Refusals of the peer's HTTP server or token check carry no identity.
    if !echoes(&answer, id).unwrap_or(false) {
        return Err(Code::AnswerMismatched.into());
    }
    match Refusal::from_headers(&answer.headers) {
        Some(refusal) => Err(refusal),
        None => Ok(end_to_end(answer)),
    }
}

/// Runs the request at an upstream that this instance dispatches for.
async fn dispatch(
    app: &Arc<App>,
    snapshot: &Snapshot,
    call: &Call,
    upstream: Upstream,
) -> Result<BufferedResponse, Refusal> {
    let Some(lane) = snapshot.lanes.get(&upstream) else {
        return Err(not_dispatcher(snapshot, app.me, upstream));
    };
    let club = snapshot
        .state
        .club_named(&call.club)
        .ok_or(Code::BadRequest)?;
    match lane.check_permit(app.clock.now(), call.shard) {
        Ok(_) => {}
        Err(Code::NotDispatcher) => return Err(not_dispatcher(snapshot, app.me, upstream)),
        Err(code) => return Err(code.into()),
    }
    if call.idempotent {
        return send(app, lane, call, club).await;
    }
    let Some(key) = call.idempotency_key else {
        // Nothing tells whether the attempts before this one have run.
        if call.attempt > 1 {
            return Err(Code::KeyUnknown.into());
        }
        return send(app, lane, call, club).await;
    };
    // Upstreams that recognise repeats are asked again; others are not.
    let deduplicates = snapshot.table.route(&call.service);
    let deduplicates = deduplicates.is_some_and(|route| route.limits.deduplicates);
    let attempt = if deduplicates { 1 } else { call.attempt };
    let covered = lane.exclusive_since(call.shard);
    match lane.idempotency().begin(app.clock, key, attempt, covered)? {
        KeyLookup::Answered(answer) => Ok(answer),
        KeyLookup::FirstRun(first) => {
            let outcome = send(app, lane, call, club).await;
            first.finish(&outcome);
            outcome
        }
    }
}

/// Waits for a slot and sends the request.
async fn send(
    app: &Arc<App>,
    lane: &Arc<Lane>,
    call: &Call,
    club: Club,
) -> Result<BufferedResponse, Refusal> {
    let slot = lane
        .acquire_slot(app.clock, call.rank, club, call.deadline)
        .await?;
    let mut outcome = send_once(app, lane, call).await;
    // The connection was at fault, so an idempotent request is sent again on a
    // fresh one; a key has no other upstream to go to.
    if matches!(&outcome, Err(refusal) if refusal.code == Code::AnswerLost)
        && let Err(refusal) = &outcome
        && call.idempotent
        && may_retry(app, call, *refusal)
    {
        let first = *refusal;
        outcome = send_once(app, lane, call).await;
        if matches!(&outcome, Err(again) if again.outcome == Outcome::NotRun) {
            outcome = Err(first);
        }
    }
    drop(slot);
    outcome
}

/// Sends the request under a slot that is held.
async fn send_once(app: &App, lane: &Lane, call: &Call) -> Result<BufferedResponse, Refusal> {
    // The wait for the slot may have been long, or the process paused: the
    // lease, the epoch and the deadline are checked again, and the lease and
    // the epoch once more when the connection is open.
    let now = app.clock.now();
    let epoch = lane.check_permit(now, call.shard)?;
    let left = call.time_left(now);
    if left.is_zero() {
        return Err(Code::Expired.into());
    }
    let id = app.next_request_id();
    let request = upstream_request(lane, call, epoch, id, left.as_millis() as u64)?;
    let sent = lane
        .exchange(app.clock, call.shard, epoch, request, left, call.max_body)
        .await;
    if sent.is_ok() {
        lane.count_served(call.shard);
    }
    let answer = sent.map_err(|failure| Refusal::from(failed(failure)))?;
    check_answer(answer, id)
}

fn upstream_request(
    lane: &Lane,
    call: &Call,
    epoch: Option<Epoch>,
    id: u64,
    left_ms: u64,
) -> Result<http::Request<http_body_util::Full<Bytes>>, Code> {
    let mut headers = call.headers.clone();
    headers.insert(call::REQUEST_ID, HeaderValue::from(id));
    headers.insert(call::DEADLINE, HeaderValue::from(left_ms));
    if let (Some(shard), Some(epoch)) = (call.shard, epoch) {
        headers.insert(call::SHARD, HeaderValue::from(shard.index));
        let epoch = HeaderValue::try_from(epoch.to_string()).map_err(|_| Code::BadRequest)?;
        headers.insert(call::EPOCH, epoch);
    }
    call.build_request(&call.path, &lane.pool().address().to_string(), headers)
}

/// Separates refusals of the upstream from its answers.
fn check_answer(answer: BufferedResponse, id: u64) -> Result<BufferedResponse, Refusal> {
    // Checked first: a refusal of another request says nothing about this one.
    if !echoes(&answer, id).unwrap_or(true) {
        return Err(Code::AnswerMismatched.into());
    }
    let refused = answer.status.is_client_error() || answer.status.is_server_error();
    match Refusal::from_headers(&answer.headers).filter(|_| refused) {
        Some(refusal) => Err(Refusal {
            next: None,
            ..refusal
        }),
        None => Ok(end_to_end(answer)),
    }
}

/// Whether the answer names this request; `None` if it names none.
fn echoes(answer: &BufferedResponse, id: u64) -> Option<bool> {
    let echoed = answer.headers.get(&call::REQUEST_ID)?;
    Some(echoed.as_bytes() == id.to_string().as_bytes())
}

fn end_to_end(mut answer: BufferedResponse) -> BufferedResponse {
    answer.headers = call::end_to_end(&answer.headers);
    answer
}

fn not_dispatcher(snapshot: &Snapshot, me: Instance, upstream: Upstream) -> Refusal {
    let target = snapshot.table.target(upstream);
    let mut likely = target.into_iter().flat_map(|target| &target.dispatchers);
    let next = likely.find(|instance| **instance != me).copied();
    Refusal {
        next,
        ..Code::NotDispatcher.into()
    }
}

fn failed(failure: ExchangeError) -> Code {
    match failure {
        ExchangeError::NotSent => Code::Unreachable,
        ExchangeError::PoolFull => Code::Shed,
        ExchangeError::Revoked => Code::NotDispatcher,
        ExchangeError::Lost | ExchangeError::Silent => Code::AnswerLost,
        ExchangeError::TimedOut => Code::AnswerLate,
        ExchangeError::TooLarge => Code::AnswerTooLarge,
    }
}
