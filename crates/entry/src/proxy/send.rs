//! One send of a request to an upstream, and what its answer means.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use medlarreel_core::entry::queue::FinishedSend;
use medlarreel_core::entry::upstream_state::{ReportedLoad, SendResult};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

use super::Progress;
use super::answer::forwarded;
use super::request::Exchange;
use crate::connection::BufferedResponse;
use crate::error::Error;
use crate::platform::headers;
use crate::state::State;

/// Longest time for a connection to an upstream; across failure domains it takes
/// a few milliseconds, and a lost packet is sent again after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Reason of a refusal by an upstream that doesn't hold the key.
pub(super) const NOT_OWNER: &str = "not the owner";

/// How one send ended.
pub(super) enum Sent {
    /// A whole answer of the upstream.
    Answered(BufferedResponse),
    /// The upstream didn't run the request.
    NotRun(&'static str),
    /// No connection was made.
    Unreached(String),
    /// The request may have run.
    Unknown(String),
}

/// A request at an upstream; counted as ended when it is dropped.
struct Flight<'a> {
    state: &'a Rc<State>,
    exchange: &'a Exchange,
    upstream: Upstream,
    started: Time,
    ending: SendResult,
    load: Option<ReportedLoad>,
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let run = FinishedSend {
            upstream: self.upstream,
            route: &self.exchange.route.name,
            service: &self.exchange.service,
            result: self.ending,
            load: self.load,
            took: now.since(self.started),
        };
        let expected = self.state.queue.borrow().expected_run_time(run.route);
        if self.ending == SendResult::Ran && self.exchange.key.is_some() {
            self.state
                .record_run_time(self.upstream, run.took, expected);
        }
        self.state.queue.borrow_mut().record_finished(now, &run);
        self.state.dispatch_decisions();
    }
}

pub(super) async fn send(
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
        ending: SendResult::CallerLeft,
        load: None,
    };
    let Some((address, id)) = state
        .directory
        .borrow()
        .get(upstream)
        .map(|record| (record.registration.address, record.registration.id.clone()))
    else {
        return Sent::NotRun("upstream unknown");
    };
    let now = state.clock.now();
    let limit = CONNECT_LIMIT.min(exchange.deadline.since(now));
    let idempotent = exchange.route.idempotent;
    let link = state
        .pool
        .get_or_connect(now, Some(upstream), idempotent, address, limit);
    let mut link = match link.await {
        Ok(link) => link,
        Err(error) => {
            flight.ending = SendResult::ConnectFailed;
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
    let answer = match link.send_request(request, left).await {
        Ok(answer) => answer,
        Err(Error::NotSent(why)) => {
            progress.under_way = false;
            progress.sends -= 1;
            progress.connects += 1;
            return Sent::Unreached(why);
        }
        Err(error) => {
            flight.ending = SendResult::Failed;
            (progress.under_way, progress.unresolved) = (false, true);
            return Sent::Unknown(error.to_string());
        }
    };
    progress.under_way = false;
    flight.load = headers::parse_load(&answer.headers);
    let verdict = examine(exchange, &answer);
    flight.ending = match &verdict {
        Ok(true) => SendResult::Ran,
        Ok(false) => SendResult::Refused,
        Err(_) => SendResult::Failed,
    };
    match verdict {
        Ok(true) => {
            let now = state.clock.now();
            state.return_connection(now, upstream, link, &answer.headers);
            Sent::Answered(answer)
        }
        Ok(false) => {
            let now = state.clock.now();
            state.return_connection(now, upstream, link, &answer.headers);
            match answer.status {
                StatusCode::MISDIRECTED_REQUEST => Sent::NotRun(NOT_OWNER),
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
fn examine(exchange: &Exchange, answer: &BufferedResponse) -> Result<bool, &'static str> {
    let id = answer.headers.get(&headers::ATTEMPT_ID);
    let signed = answer.headers.contains_key(&headers::RESPONSE_SIGNATURE);
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
    fields.insert(headers::DEADLINE_MS, (left.as_millis() as u64).into());
    fields.insert(headers::TARGET_INSTANCE, HeaderValue::try_from(target)?);
    *request.headers_mut() = fields;
    Ok(request)
}
