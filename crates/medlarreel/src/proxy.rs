//! The path of a request, from listener to upstream and back.
//!
//! A request is tried at the owner of its key, then at the standby; at each of
//! them through the likely dispatchers. Only attempts that are known not to
//! have run lead on to the next, except for idempotent requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use medlarreel_core::code::{Code, Outcome};
use medlarreel_core::ids::{Instance, Upstream};
use medlarreel_core::route::{Route, Table};

use crate::app::App;
use crate::dispatch::{Answer, Failure};

pub mod call;
pub mod refusal;

pub use call::{Call, Head};
pub use refusal::Refusal;

/// Upstreams tried for a request to a service that is not keyed.
const CHOICES: usize = 3;

/// Time that a request is held while its shard has no dispatcher or owner, as
/// during a planned move.
const HOLD: Duration = Duration::from_millis(50);

/// Time between attempts of a held request.
const HOLD_STEP: Duration = Duration::from_millis(10);

/// Time beyond the deadline that a forwarded request's refusal may take.
const FORWARD_SLACK: Duration = Duration::from_millis(20);

/// Serves a request that arrived from a caller.
pub async fn serve(app: &Arc<App>, head: Head<'_>, body: Bytes) -> Answer {
    let table = app.table();
    let started = app.clock.now();
    let call = match Call::read(&head, body, &table, &app.home, started) {
        Ok(call) => call,
        Err(code) => {
            app.metrics.refused(head.service(), code);
            return Refusal::from(code).answer();
        }
    };
    let outcome = route(app, &table, &call).await;
    app.metrics.finished(&call, &outcome, app.clock.now().since(started));
    match outcome {
        Ok(answer) => answer,
        Err(refusal) => Refusal { next: None, ..refusal }.answer(),
    }
}

/// Serves a request that another instance forwarded.
pub async fn serve_forwarded(app: &Arc<App>, head: Head<'_>, body: Bytes) -> Answer {
    let table = app.table();
    let outcome = match forwarded(app, &table, &head, body) {
        Ok((call, upstream)) => dispatch(app, &table, &call, upstream).await,
        Err(code) => Err(Refusal::from(code)),
    };
    outcome.unwrap_or_else(|refusal| refusal.answer())
}

fn forwarded(
    app: &App,
    table: &Table,
    head: &Head<'_>,
    body: Bytes,
) -> Result<(Call, Upstream), Code> {
    let path = head.path.strip_prefix("/forward").ok_or(Code::BadRequest)?;
    let head = Head { path, ..*head };
    let upstream = head.headers.get(&call::UPSTREAM).and_then(|value| value.to_str().ok());
    let upstream = upstream.and_then(|text| text.parse().ok()).ok_or(Code::BadRequest)?;
    let call = Call::read(&head, body, table, &app.home, app.clock.now())?;
    Ok((call, Upstream(upstream)))
}

/// Tries the candidates until one answers or the time is over.
async fn route(app: &Arc<App>, table: &Table, call: &Call) -> Result<Answer, Refusal> {
    app.retries.arrived(app.clock.now());
    let hold_until = app.clock.now() + HOLD;
    loop {
        let refusal = match pass(app, table, call).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        let now = app.clock.now();
        let moving = matches!(refusal.code, Code::NoOwner | Code::NotOwner | Code::NotDispatcher);
        if !moving || now >= hold_until.min(call.deadline) {
            return Err(refusal);
        }
        tokio::time::sleep(HOLD_STEP).await;
    }
}

/// Tries each candidate once.
async fn pass(app: &Arc<App>, table: &Table, call: &Call) -> Result<Answer, Refusal> {
    let route = table.route(&call.service).ok_or(Code::UnknownService)?;
    let mut last = Refusal::from(Code::NoOwner);
    let mut first = true;
    for upstream in candidates(app, route, call) {
        for instance in dispatchers(table, upstream) {
            let now = app.clock.now();
            if !first && !app.retries.take(now) {
                return Err(last);
            }
            first = false;
            match attempt(app, table, call, upstream, instance).await {
                Ok(answer) => return Ok(answer),
                Err(refusal) => last = refusal,
            }
            if !may_retry(app, call, last) {
                return Err(last);
            }
            if let Some(next) = last.next.filter(|next| *next != instance) {
                match attempt(app, table, call, upstream, next).await {
                    Ok(answer) => return Ok(answer),
                    Err(refusal) => last = refusal,
                }
                if !may_retry(app, call, last) {
                    return Err(last);
                }
            }
        }
    }
    Err(last)
}

fn may_retry(app: &App, call: &Call, refusal: Refusal) -> bool {
    let safe = match refusal.outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => call.idempotent,
        Outcome::Failed => false,
    };
    let futile = matches!(refusal.code, Code::BadRequest | Code::Expired | Code::BodyTooLarge);
    safe && !futile && app.clock.now() < call.deadline
}

fn candidates(app: &App, route: &Route, call: &Call) -> Vec<Upstream> {
    match call.shard {
        Some(shard) => {
            let place = route.place(shard);
            place.owner.into_iter().chain(place.standby).collect()
        }
        None => app.choose(&route.upstreams, CHOICES),
    }
}

fn dispatchers(table: &Table, upstream: Upstream) -> Vec<Instance> {
    table.target(upstream).map(|target| target.dispatchers.clone()).unwrap_or_default()
}

/// Sends the request to one dispatcher, which may be this instance.
async fn attempt(
    app: &Arc<App>,
    table: &Table,
    call: &Call,
    upstream: Upstream,
    instance: Instance,
) -> Result<Answer, Refusal> {
    if instance == app.me {
        return dispatch(app, table, call, upstream).await;
    }
    let address = table.peer(instance).ok_or(Code::Unreachable)?;
    let left = call.left(app.clock.now());
    if left.is_zero() {
        return Err(Code::Expired.into());
    }
    let request = call.forward(&address.to_string(), &app.peer_token, upstream, left)?;
    let pool = app.peer_pool(address);
    let sent = pool.exchange(request, left + FORWARD_SLACK, call.max_body).await;
    let answer = sent.map_err(|failure| Refusal::from(failed(failure)))?;
    match Refusal::parse(&answer.headers) {
        Some(refusal) => Err(refusal),
        None => Ok(answer),
    }
}

/// Waits for a slot at the upstream and sends the request.
async fn dispatch(
    app: &Arc<App>,
    table: &Table,
    call: &Call,
    upstream: Upstream,
) -> Result<Answer, Refusal> {
    let lane = app.lane(upstream).ok_or_else(|| not_dispatcher(table, app.me, upstream))?;
    let route = table.route(&call.service).ok_or(Code::UnknownService)?;
    let club = table.club(&call.club).ok_or(Code::BadRequest)?;
    lane.permit(app.clock.now(), call.shard)?;
    let first = app.dedup_begin(&lane, call, route.limits.deduplicates)?;
    let outcome = send(app, &lane, call, club).await;
    app.dedup_finish(&lane, first, &outcome);
    outcome
}

async fn send(
    app: &Arc<App>,
    lane: &Arc<crate::dispatch::Lane>,
    call: &Call,
    club: usize,
) -> Result<Answer, Refusal> {
    let slot = lane.slot(app.clock, call.rank, club, call.deadline).await?;
    // The wait may have been long: the lease, the epoch and the deadline are
    // checked again right before the send.
    let now = app.clock.now();
    let epoch = lane.permit(now, call.shard)?;
    let left = call.left(now);
    if left.is_zero() {
        return Err(Code::Expired.into());
    }
    let id = app.request_id();
    let mut headers = call.headers.clone();
    headers.insert(call::REQUEST_ID, HeaderValue::from(id));
    headers.insert(call::DEADLINE, HeaderValue::from(left.as_millis() as u64));
    if let (Some(shard), Some(epoch)) = (call.shard, epoch) {
        headers.insert(call::SHARD, HeaderValue::from(shard.index));
        let epoch = HeaderValue::try_from(epoch.to_string()).map_err(|_| Code::BadRequest)?;
        headers.insert(call::EPOCH, epoch);
    }
    let request = call.request(&call.path, &lane.pool().address().to_string(), headers)?;
    let sent = lane.pool().exchange(request, left, call.max_body).await;
    drop(slot);
    lane.observe(app.clock.now(), &sent);
    let answer = sent.map_err(|failure| Refusal::from(failed(failure)))?;
    check_answer(answer, id)
}

/// Separates refusals of the upstream from its answers.
fn check_answer(mut answer: Answer, id: u64) -> Result<Answer, Refusal> {
    if let Some(refusal) = Refusal::parse(&answer.headers) {
        return Err(Refusal { next: None, ..refusal });
    }
    let echoed = answer.headers.get(&call::REQUEST_ID).map(HeaderValue::as_bytes);
    if echoed.is_some_and(|echoed| echoed != id.to_string().as_bytes()) {
        return Err(Code::AnswerMismatched.into());
    }
    answer.headers = strip(&answer.headers);
    Ok(answer)
}

fn strip(headers: &HeaderMap) -> HeaderMap {
    call::end_to_end(headers)
}

fn not_dispatcher(table: &Table, me: Instance, upstream: Upstream) -> Refusal {
    let likely = dispatchers(table, upstream).into_iter().find(|instance| *instance != me);
    Refusal { next: likely, ..Code::NotDispatcher.into() }
}

fn failed(failure: Failure) -> Code {
    match failure {
        Failure::NotSent => Code::Unreachable,
        Failure::Full => Code::Shed,
        Failure::Lost => Code::AnswerLost,
        Failure::Late => Code::AnswerLate,
        Failure::TooLarge => Code::AnswerTooLarge,
    }
}
