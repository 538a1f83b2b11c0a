//! Request path from the listener to an upstream and back.
//!
//! A request to a keyed service is tried at the owner of its key, then at the standby.
//! For other services, the load balancer chooses the upstreams to try. Each upstream is
//! tried through its likely dispatchers. Another attempt is made only if the previous
//! one is known not to have run, or if the request is idempotent.

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

/// Maximum number of upstreams tried for a request to a service that is not keyed.
const MAX_CANDIDATES: usize = 3;

/// Maximum time that a request is held while no upstream owns its shard or no instance
/// dispatches to the upstream, for example during a planned move.
const MAX_HOLD_TIME: Duration = Duration::from_millis(50);

/// Interval between attempts of a held request.
const HOLD_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Time allowed beyond the deadline for another instance's refusal to arrive.
const FORWARD_SLACK: Duration = Duration::from_millis(20);

/// Serves a request from a caller.
pub async fn serve(app: &Arc<App>, head: RequestHead<'_>, body: Bytes) -> BufferedResponse {
    let arrived = app.clock.now();
    let snapshot = app.snapshot();
    let call = match parse_call(app, &snapshot, &head, body) {
        Ok(call) => call,
        Err(code) => {
            app.metrics.count_unparsed_refusal(code);
            return Refusal::from(code).to_response();
        }
    };
    drop(snapshot);
    let outcome = route_call(app, &call).await;
    app.metrics
        .record_finished(&call, &outcome, app.clock.now().since(arrived));
    match outcome {
        Ok(response) => response,
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
    // Counted so that shutdown waits for it. The forwarding instance limits the number.
    let _open = app.open_forwarded_request();
    let snapshot = app.snapshot();
    let outcome = match parse_forwarded(app, &snapshot, &head, body) {
        Ok((call, upstream)) => dispatch(app, &snapshot, &call, upstream).await,
        Err(code) => Err(Refusal::from(code)),
    };
    let mut response = outcome.unwrap_or_else(|refusal| refusal.to_response());
    if let Some(id) = head.headers.get(&call::REQUEST_ID_HEADER) {
        response.headers.insert(call::REQUEST_ID_HEADER, id.clone());
    }
    response
}

fn parse_call(
    app: &App,
    snapshot: &Snapshot,
    head: &RequestHead<'_>,
    body: Bytes,
) -> Result<Call, Code> {
    if app.is_stopping() {
        return Err(Code::Stopping);
    }
    if !snapshot.established {
        return Err(Code::NoState);
    }
    head.check_framing()?;
    Call::parse(head, body, &snapshot.table, &app.home_club, app.clock.now())
}

fn parse_forwarded(
    app: &App,
    snapshot: &Snapshot,
    head: &RequestHead<'_>,
    body: Bytes,
) -> Result<(Call, Upstream), Code> {
    let path = head.path.strip_prefix("/forward").ok_or(Code::BadRequest)?;
    let head = RequestHead { path, ..*head };
    let upstream = head
        .headers
        .get(&call::UPSTREAM_HEADER)
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

/// Tries the candidates, and repeats this while the shard is being moved and the hold
/// time lasts.
async fn route_call(app: &Arc<App>, call: &Call) -> Result<BufferedResponse, Refusal> {
    app.retry_budget.record_request(app.clock.now());
    let hold_until = app.clock.now() + MAX_HOLD_TIME;
    loop {
        // A held request waits for a new snapshot, so each iteration loads it again.
        let snapshot = app.snapshot();
        let refusal = match try_candidates(app, &snapshot, call).await {
            Ok(response) => return Ok(response),
            Err(refusal) => refusal,
        };
        let now = app.clock.now();
        let is_moving = refusal.outcome == Outcome::NotRun
            && matches!(
                refusal.code,
                Code::NoOwner | Code::NotOwner | Code::NotDispatcher
            );
        if !is_moving || now >= hold_until.min(call.deadline) {
            return Err(refusal);
        }
        tokio::time::sleep(HOLD_RETRY_INTERVAL).await;
    }
}

/// Tries each candidate upstream through its likely dispatchers and those that refusals
/// name, each at most once, until one responds or a refusal is final.
async fn try_candidates(
    app: &Arc<App>,
    snapshot: &Snapshot,
    call: &Call,
) -> Result<BufferedResponse, Refusal> {
    let route = snapshot
        .table
        .route(&call.service)
        .ok_or(Code::UnknownService)?;
    let mut last = Refusal::from(Code::NoOwner);
    // Once an attempt may have run, a later refusal cannot change the outcome to not run.
    let mut first_unknown = None;
    let mut tried = Vec::new();
    for upstream in candidates(app, route, call) {
        let mut instances = dispatchers(app, snapshot, upstream);
        while let Some(instance) = instances.pop() {
            if tried.contains(&(upstream, instance)) {
                continue;
            }
            if !tried.is_empty() && !may_retry(app, call, last) {
                return Err(first_unknown.unwrap_or(last));
            }
            tried.push((upstream, instance));
            let upstreams = app.load_balancer.upstreams(route.service);
            let guard = upstreams.map(|upstreams| upstreams.begin_attempt(app.clock, upstream));
            let outcome = send_attempt(app, snapshot, call, upstream, instance).await;
            if let Some(guard) = guard {
                guard.finish(&outcome);
            }
            match outcome {
                Ok(response) => return Ok(response),
                Err(refusal) => last = refusal,
            }
            if last.outcome != Outcome::NotRun {
                first_unknown.get_or_insert(last);
            }
            // The backup dispatcher sends to the same upstream, with the same slots.
            if matches!(last.code, Code::QueueFull | Code::Shed) {
                break;
            }
            instances.extend(last.next);
        }
    }
    Err(first_unknown.unwrap_or(last))
}

/// Returns whether the request may be sent again after the refusal. Charges the retry
/// budget if so, except where the retry adds no load.
fn may_retry(app: &App, call: &Call, last: Refusal) -> bool {
    let now = app.clock.now();
    match last.code {
        Code::BadRequest | Code::Expired | Code::BodyTooLarge | Code::UnknownService => false,
        // Only the owner may serve a key, so its overload is final. Trying the standby
        // as well would add a second, futile refusal for each request under overload.
        Code::QueueFull | Code::Shed if call.shard.is_some() => false,
        // No upstream has done any work for the request, so a retry adds no load.
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
            Some(upstreams) => upstreams.choose(app.clock.now(), &route.upstreams, MAX_CANDIDATES),
            None => Vec::new(),
        },
    }
}

/// Returns the likely dispatchers in reverse order of preference, because the caller
/// takes them from the end. Those with a recent connection failure therefore come first.
fn dispatchers(app: &App, snapshot: &Snapshot, upstream: Upstream) -> Vec<Instance> {
    let Some(target) = snapshot.table.target(upstream) else {
        return Vec::new();
    };
    let recently_failed = |instance: &Instance| {
        *instance != app.me
            && snapshot
                .peer(*instance)
                .is_none_or(|pool| pool.recently_failed())
    };
    let mut likely: Vec<_> = target.dispatchers.iter().rev().copied().collect();
    likely.sort_by_key(|instance| !recently_failed(instance));
    likely
}

/// Sends the request to one dispatcher, which may be this instance.
async fn send_attempt(
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
    let remaining = call.time_left(app.clock.now());
    if remaining.is_zero() {
        return Err(Code::Expired.into());
    }
    let host = pool.address().to_string();
    let mut request = call.forward_request(&host, &app.peer_token, upstream, remaining)?;
    let id = app.next_request_id();
    let headers = request.headers_mut();
    headers.insert(call::REQUEST_ID_HEADER, HeaderValue::from(id));
    let sent = pool
        .exchange(request, remaining + FORWARD_SLACK, call.max_body)
        .await;
    let response = sent.map_err(|error| Refusal::from(error_code(error)))?;
    // Errors from the peer's HTTP server or token check carry no request id.
    if !echoes_request_id(&response, id).unwrap_or(false) {
        return Err(Code::AnswerMismatched.into());
    }
    match Refusal::from_headers(&response.headers) {
        Some(refusal) => Err(refusal),
        None => Ok(keep_end_to_end_headers(response)),
    }
}

/// Sends the request to an upstream that this instance dispatches to, or returns the
/// stored response if its idempotency key already has one.
async fn dispatch(
    app: &Arc<App>,
    snapshot: &Snapshot,
    call: &Call,
    upstream: Upstream,
) -> Result<BufferedResponse, Refusal> {
    let Some(lane) = snapshot.lanes.get(&upstream) else {
        return Err(not_dispatcher_refusal(snapshot, app.me, upstream));
    };
    let club = snapshot
        .state
        .club_named(&call.club)
        .ok_or(Code::BadRequest)?;
    match lane.check_permit(app.clock.now(), call.shard) {
        Ok(_) => {}
        Err(Code::NotDispatcher) => return Err(not_dispatcher_refusal(snapshot, app.me, upstream)),
        Err(code) => return Err(code.into()),
    }
    if call.idempotent {
        return send_with_slot(app, lane, call, club).await;
    }
    let Some(key) = call.idempotency_key else {
        // Without an idempotency key, it is not known whether the previous attempts have
        // run.
        if call.attempt > 1 {
            return Err(Code::KeyUnknown.into());
        }
        return send_with_slot(app, lane, call, club).await;
    };
    // A repeated request may be sent again if the upstream deduplicates requests itself.
    let deduplicates = snapshot.table.route(&call.service);
    let deduplicates = deduplicates.is_some_and(|route| route.limits.deduplicates);
    let attempt = if deduplicates { 1 } else { call.attempt };
    let exclusive_since = lane.exclusive_since(call.shard);
    match lane
        .idempotency()
        .begin(app.clock, key, attempt, exclusive_since)?
    {
        KeyLookup::Answered(response) => Ok(response),
        KeyLookup::FirstRun(first) => {
            let outcome = send_with_slot(app, lane, call, club).await;
            first.finish(&outcome);
            outcome
        }
    }
}

/// Waits for a slot and sends the request.
async fn send_with_slot(
    app: &Arc<App>,
    lane: &Arc<Lane>,
    call: &Call,
    club: Club,
) -> Result<BufferedResponse, Refusal> {
    let slot = lane
        .acquire_slot(app.clock, call.rank, club, call.deadline)
        .await?;
    let mut outcome = send_once(app, lane, call).await;
    // The connection failed or went silent, so an idempotent request is sent again to the
    // same upstream on another one. For a keyed service, no other upstream may serve it.
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

/// Sends the request once. The caller holds a slot.
async fn send_once(app: &App, lane: &Lane, call: &Call) -> Result<BufferedResponse, Refusal> {
    // The wait for a slot may have been long, or the process may have been suspended,
    // so the permit, the epoch and the deadline are checked again. The permit and the
    // epoch are checked once more when the connection is open.
    let now = app.clock.now();
    let epoch = lane.check_permit(now, call.shard)?;
    let remaining = call.time_left(now);
    if remaining.is_zero() {
        return Err(Code::Expired.into());
    }
    let id = app.next_request_id();
    let request = upstream_request(lane, call, epoch, id, remaining.as_millis() as u64)?;
    let sent = lane
        .exchange(
            app.clock,
            call.shard,
            epoch,
            request,
            remaining,
            call.max_body,
        )
        .await;
    if sent.is_ok() {
        lane.count_served(call.shard);
    }
    let response = sent.map_err(|error| Refusal::from(error_code(error)))?;
    check_response(response, id)
}

fn upstream_request(
    lane: &Lane,
    call: &Call,
    epoch: Option<Epoch>,
    id: u64,
    remaining_ms: u64,
) -> Result<http::Request<http_body_util::Full<Bytes>>, Code> {
    let mut headers = call.headers.clone();
    headers.insert(call::REQUEST_ID_HEADER, HeaderValue::from(id));
    headers.insert(call::DEADLINE_HEADER, HeaderValue::from(remaining_ms));
    if let (Some(shard), Some(epoch)) = (call.shard, epoch) {
        headers.insert(call::SHARD_HEADER, HeaderValue::from(shard.index));
        let epoch = HeaderValue::try_from(epoch.to_string()).map_err(|_| Code::BadRequest)?;
        headers.insert(call::EPOCH_HEADER, epoch);
    }
    call.build_request(&call.path, &lane.pool().address().to_string(), headers)
}

/// Checks that the response belongs to the request `id`, and distinguishes refusals by
/// the upstream from other responses.
fn check_response(response: BufferedResponse, id: u64) -> Result<BufferedResponse, Refusal> {
    // Checked first, because a refusal of another request says nothing about this one.
    if !echoes_request_id(&response, id).unwrap_or(true) {
        return Err(Code::AnswerMismatched.into());
    }
    let refused = response.status.is_client_error() || response.status.is_server_error();
    match Refusal::from_headers(&response.headers).filter(|_| refused) {
        Some(refusal) => Err(Refusal {
            next: None,
            ..refusal
        }),
        None => Ok(keep_end_to_end_headers(response)),
    }
}

/// Returns whether the response carries this request's id; `None` if it carries none.
fn echoes_request_id(response: &BufferedResponse, id: u64) -> Option<bool> {
    let echoed = response.headers.get(&call::REQUEST_ID_HEADER)?;
    Some(echoed.as_bytes() == id.to_string().as_bytes())
}

fn keep_end_to_end_headers(mut response: BufferedResponse) -> BufferedResponse {
    response.headers = call::end_to_end_headers(&response.headers);
    response
}

fn not_dispatcher_refusal(snapshot: &Snapshot, me: Instance, upstream: Upstream) -> Refusal {
    let target = snapshot.table.target(upstream);
    let mut likely = target.into_iter().flat_map(|target| &target.dispatchers);
    let next = likely.find(|instance| **instance != me).copied();
    Refusal {
        next,
        ..Code::NotDispatcher.into()
    }
}

fn error_code(error: ExchangeError) -> Code {
    match error {
        ExchangeError::NotSent => Code::Unreachable,
        ExchangeError::PoolFull => Code::Shed,
        ExchangeError::Revoked => Code::NotDispatcher,
        ExchangeError::Lost | ExchangeError::Silent => Code::AnswerLost,
        ExchangeError::TimedOut => Code::AnswerLate,
        ExchangeError::TooLarge => Code::AnswerTooLarge,
    }
}
