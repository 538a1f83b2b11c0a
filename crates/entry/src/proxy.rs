//! Path of a request: route, place in the queue, upstream, answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use medlarreel_core::code::Outcome;
use medlarreel_core::entry::queue::{Decision, Reason, Run, Ticket, Waiting};
use medlarreel_core::entry::room::{Ending, Load};
use medlarreel_core::entry::routes::Route;
use medlarreel_core::ids::Upstream;
use medlarreel_core::retry::{Attempt, Verdict};
use medlarreel_core::time::Time;
use tokio::sync::oneshot;

use crate::error::Error;
use crate::link::{Answer, Link};
use crate::platform::headers;
use crate::state::State;

/// Time kept back from a caller's deadline for the answer's way.
const RETURN_RESERVE: Duration = Duration::from_millis(5);

/// Longest time for a connection to an upstream; across failure domains it takes
/// a few milliseconds, and a lost packet is sent again after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Most connections that are tried in vain for one request.
const MAX_CONNECTS: u32 = 3;

/// Pause before a request is sent again to the owner of its key.
const SAME_PAUSE: Duration = Duration::from_millis(30);

/// Part of its remaining time after which a refused caller comes back at the latest.
const RETURN_PART: u32 = 3;

/// Reason of a refusal by an upstream that doesn't hold the key.
const NOT_OWNER: &str = "not the owner";

/// Header fields that concern one connection only.
const PER_CONNECTION: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request read whole, with all that decides about it.
struct Exchange {
    id: String,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    route: Route,
    service: String,
    key: Option<u16>,
    arrived: Time,
    /// Time by which the caller gets an answer.
    deadline: Time,
}

/// How one send ended.
enum Sent {
    /// A whole answer of the upstream.
    Answered(Answer),
    /// The upstream didn't run the request.
    NotRun(&'static str),
    /// No connection was made.
    Unreached(String),
    /// The request may have run.
    Unknown(String),
}

/// Serves a request.
pub async fn serve(state: &Rc<State>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let arrived = state.clock.now();
    let exchange = match read(state, request, arrived).await {
        Ok(exchange) => exchange,
        Err(response) => return *response,
    };
    state.budget.borrow_mut().earn(arrived);
    count_key(state, &exchange);
    let mut progress = Progress::default();
    let left = exchange.deadline.since(arrived);
    let ran = tokio::time::timeout(left, run(state, &exchange, &mut progress)).await;
    let mut response = ran.unwrap_or_else(|_| late(state, &exchange, &progress));
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

impl Progress {
    /// Whether the request may run or have run at an upstream.
    fn may_run(&self) -> bool {
        self.under_way || self.unresolved
    }
}

async fn read(
    state: &State,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<Exchange, Box<Response<Full<Bytes>>>> {
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&headers::ATTEMPT);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-").to_owned();
    let table = Rc::clone(&state.table.borrow());
    if !table.is_known() {
        tracing::info!(id, reason = "no configuration", "request refused");
        state.metrics.request("-", "no_configuration");
        return Err(Box::new(refusal(Some(Duration::from_millis(300)))));
    }
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let Some(route) = table.find(host, parts.uri.path()) else {
        let version = table.config().version;
        tracing::info!(id, host, path = parts.uri.path(), version, "no route");
        state.metrics.request("-", "no_route");
        return Err(Box::new(plain(StatusCode::NOT_FOUND)));
    };
    let service = state.split.borrow_mut().next(route).map(ToOwned::to_owned);
    let service = service.unwrap_or_default();
    let keyed = table.service(&service).is_some_and(|service| service.keyed);
    let key = headers::number(&parts.headers, &headers::KEY);
    let key = key.and_then(|key| u16::try_from(key).ok());
    if keyed && key.is_none() {
        tracing::info!(
            id,
            route = route.name,
            reason = "no key",
            "request rejected"
        );
        state.metrics.request(&route.name, "no_key");
        return Err(Box::new(plain(StatusCode::BAD_REQUEST)));
    }
    let patience = headers::number(&parts.headers, &headers::DEADLINE);
    let patience = patience.map(Duration::from_millis);
    let patience = patience.map(|time| time.saturating_sub(RETURN_RESERVE));
    let patience = patience.map_or(route.timeout, |time| time.min(route.timeout));
    let limit = table.config().limits.body_bytes;
    let reading = Limited::new(body, limit).collect();
    let body = match tokio::time::timeout(patience, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            tracing::info!(id, route = route.name, %error, "request body not read");
            let response = match error.is::<http_body_util::LengthLimitError>() {
                true => plain(StatusCode::PAYLOAD_TOO_LARGE),
                false => plain(StatusCode::BAD_REQUEST),
            };
            return Err(Box::new(closing(response)));
        }
        Err(_) => {
            tracing::info!(id, route = route.name, "request body too slow");
            return Err(Box::new(closing(plain(StatusCode::REQUEST_TIMEOUT))));
        }
    };
    let path = parts.uri.path_and_query();
    Ok(Exchange {
        id,
        method: parts.method,
        path: path.map_or("/", |path| path.as_str()).to_owned(),
        headers: parts.headers,
        body,
        route: route.clone(),
        service,
        key: key.filter(|_| keyed),
        arrived,
        deadline: arrived + patience,
    })
}

fn count_key(state: &State, exchange: &Exchange) {
    if let Some(key) = exchange.key {
        let mut busy = state.busy.borrow_mut();
        let keys = busy.entry(exchange.service.clone()).or_default();
        *keys.entry(key).or_default() += 1;
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
                state.metrics.request(&exchange.route.name, "answered");
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
    let ticket = state.ticket();
    let waiting = Waiting {
        ticket,
        service: exchange.service.clone(),
        key: exchange.key,
        route: exchange.route.name.clone(),
        rank: exchange.route.rank,
        deadline: exchange.deadline,
        tried: progress.tried.clone(),
    };
    let now = state.clock.now();
    let offered = state.queue.borrow_mut().offer(now, waiting, state.as_ref());
    if let Err(decision) = offered {
        return decision;
    }
    let (sender, receiver) = oneshot::channel();
    state.tickets.borrow_mut().insert(ticket, sender);
    let mut place = Place {
        state,
        ticket,
        receiver,
        decided: false,
    };
    state.pump();
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
        self.state.tickets.borrow_mut().remove(&self.ticket);
        let mut queue = self.state.queue.borrow_mut();
        queue.cancel(self.ticket);
        // A decision may have been made that nobody has taken yet.
        if let Ok(Decision::Send { upstream, .. }) = self.receiver.try_recv() {
            let now = self.state.clock.now();
            let run = Run {
                upstream,
                route: "",
                service: "",
                ending: Ending::Left,
                load: None,
                took: Duration::ZERO,
            };
            queue.finish(now, &run);
        }
    }
}

/// A request at an upstream; counted as ended when it is dropped.
struct Flight<'a> {
    state: &'a Rc<State>,
    exchange: &'a Exchange,
    upstream: Upstream,
    started: Time,
    ending: Ending,
    load: Option<Load>,
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let run = Run {
            upstream: self.upstream,
            route: &self.exchange.route.name,
            service: &self.exchange.service,
            ending: self.ending,
            load: self.load,
            took: now.since(self.started),
        };
        let expected = self.state.queue.borrow().expected(run.route);
        if self.ending == Ending::Ran && self.exchange.key.is_some() {
            self.state.ran(self.upstream, run.took, expected);
        }
        self.state.queue.borrow_mut().finish(now, &run);
        self.state.pump();
    }
}

async fn send(
    state: &Rc<State>,
    exchange: &Exchange,
    upstream: Upstream,
    progress: &mut Progress,
) -> Sent {
    let mut flight = Flight {
        state,
        exchange,
        upstream,
        started: state.clock.now(),
        ending: Ending::Left,
        load: None,
    };
    let Some((address, id)) = state
        .directory
        .borrow()
        .get(upstream)
        .map(|record| (record.entry.address, record.entry.id.clone()))
    else {
        return Sent::NotRun("upstream unknown");
    };
    let now = state.clock.now();
    let link = match state.pool.take(now, upstream, exchange.route.idempotent) {
        Some(link) => Ok(link),
        None => Link::connect(address, CONNECT_LIMIT.min(exchange.deadline.since(now))).await,
    };
    let mut link = match link {
        Ok(link) => link,
        Err(error) => {
            flight.ending = Ending::Failed;
            progress.connects += 1;
            return Sent::Unreached(error.to_string());
        }
    };
    let now = state.clock.now();
    let left = exchange.deadline.since(now);
    let request = match outgoing(exchange, &id, left) {
        Ok(request) => request,
        Err(error) => {
            tracing::error!(id = exchange.id, %error, "request can't be passed on");
            return Sent::NotRun("request can't be passed on");
        }
    };
    progress.under_way = true;
    progress.sends += 1;
    if !progress.tried.contains(&upstream) {
        progress.tried.push(upstream);
    }
    let answer = match link.exchange(request, left).await {
        Ok(answer) => answer,
        Err(Error::NotSent(why)) => {
            progress.under_way = false;
            progress.sends -= 1;
            progress.connects += 1;
            return Sent::Unreached(why);
        }
        Err(error) => {
            flight.ending = Ending::Failed;
            (progress.under_way, progress.unresolved) = (false, true);
            return Sent::Unknown(error.to_string());
        }
    };
    progress.under_way = false;
    flight.load = headers::load(&answer.headers);
    let verdict = examine(exchange, &answer);
    flight.ending = match &verdict {
        Ok(true) => Ending::Ran,
        Ok(false) => Ending::Refused,
        Err(_) => Ending::Failed,
    };
    match verdict {
        Ok(true) => {
            let now = state.clock.now();
            state.keep(now, upstream, link, &answer.headers);
            Sent::Answered(answer)
        }
        Ok(false) => {
            let now = state.clock.now();
            state.keep(now, upstream, link, &answer.headers);
            match answer.status {
                StatusCode::MISDIRECTED_REQUEST => {
                    if let Some(key) = exchange.key {
                        state.not_held(&exchange.service, key, upstream);
                    }
                    Sent::NotRun(NOT_OWNER)
                }
                _ => Sent::NotRun("refused by the upstream"),
            }
        }
        Err(why) => {
            progress.unresolved = true;
            Sent::Unknown(why.into())
        }
    }
}

/// Whether an answer is that of a run; an error if it can't be trusted.
fn examine(exchange: &Exchange, answer: &Answer) -> Result<bool, &'static str> {
    let id = answer.headers.get(&headers::ATTEMPT);
    let signed = answer.headers.contains_key(&headers::SIGNATURE);
    if id.is_some_and(|id| id.as_bytes() != exchange.id.as_bytes()) {
        return Err("answer to another request");
    }
    if answer.headers.contains_key(&headers::NOT_EXECUTED)
        || answer.status == StatusCode::MISDIRECTED_REQUEST
    {
        return Ok(false);
    }
    if answer.status.is_success() && !(signed && id.is_some()) {
        return Err("answer without the upstream's mark");
    }
    Ok(true)
}

fn outgoing(
    exchange: &Exchange,
    target: &str,
    left: Duration,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(exchange.method.clone())
        .uri(&exchange.path)
        .body(Full::new(exchange.body.clone()))?;
    let mut fields = forwarded(&exchange.headers);
    fields.remove(header::CONTENT_LENGTH);
    fields.remove(header::EXPECT);
    if !exchange.body.is_empty() || exchange.headers.contains_key(header::CONTENT_LENGTH) {
        fields.insert(header::CONTENT_LENGTH, exchange.body.len().into());
    }
    fields.insert(headers::DEADLINE, (left.as_millis() as u64).into());
    fields.insert(headers::TARGET, HeaderValue::try_from(target)?);
    *request.headers_mut() = fields;
    Ok(request)
}

/// Header fields without those that concern one connection.
fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut fields = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in PER_CONNECTION.iter().chain(&named) {
        fields.remove(name);
    }
    fields.remove("keep-alive");
    fields
}

fn pass_on(exchange: &Exchange, answer: Answer) -> Response<Full<Bytes>> {
    let mut fields = forwarded(&answer.headers);
    fields.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = fields;
    if let Ok(id) = HeaderValue::try_from(&exchange.id) {
        response.headers_mut().insert(headers::ATTEMPT, id);
    }
    response
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
        (false, _) => Verdict::Late,
        (true, true) if progress.connects <= MAX_CONNECTS => Verdict::Send,
        (true, true) => Verdict::Spent,
        (true, false) if progress.sends >= exchange.route.max_attempts => Verdict::Spent,
        (true, false) => state.budget.borrow_mut().decide(now, &attempt),
    };
    if verdict == Verdict::Send {
        state.metrics.resend(&exchange.route.name, why);
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
    verdict == Verdict::Send
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
    state.metrics.request(&exchange.route.name, kind);
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
    let version = state.view.borrow().order();
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
    state.metrics.request(&exchange.route.name, "refused");
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
    state.metrics.request(&exchange.route.name, "late");
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

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn closing(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Answer that promises that the request didn't and won't run.
fn refusal(after: Option<Duration>) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    let text = after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(Ok(value)) = text.map(HeaderValue::try_from) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
