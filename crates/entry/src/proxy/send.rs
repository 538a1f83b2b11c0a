//! Sending a request to an upstream once, and classifying the outcome.

use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use medlarreel_core::entry::outcome::{Ending, Progress};
use medlarreel_core::entry::queue::FinishedSend;
use medlarreel_core::entry::upstream_state::{ReportedLoad, SendResult};
use medlarreel_core::entry::warmup;
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

use super::request::RoutedRequest;
use super::response::end_to_end_headers;
use crate::body::Payload;
use crate::connection::BufferedResponse;
use crate::crashes;
use crate::error::Error;
use crate::platform::headers::{self, Sender};
use crate::pool::Usage;
use crate::state::State;

/// Timeout for establishing a connection to an upstream. Connecting takes a few
/// milliseconds across failure domains, and a lost packet is retransmitted after a
/// second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time by which the deadline that an upstream is given is before that of the request. The
/// upstream's word that it has not begun must arrive before the caller is answered: a round
/// trip between failure domains, and some milliseconds for a busy instance to handle it.
const UPSTREAM_RESERVE: Duration = Duration::from_millis(15);

/// A send without a response that can be passed on.
pub(super) struct Failure {
    /// How the send ended.
    pub(super) ending: Ending,
    /// Reason for the log and for the label of the `resends` metric.
    pub(super) why: String,
}

impl Failure {
    fn new(ending: Ending, why: impl Into<String>) -> Failure {
        let why = why.into();
        Failure { ending, why }
    }
}

/// A request that is being sent to an upstream. Dropping it records its result in the
/// queue, also if the caller leaves and the task is cancelled.
struct InFlightSend<'a> {
    state: &'a Rc<State>,
    request: &'a RoutedRequest,
    upstream: Upstream,
    started: Time,
    /// `CallerLeft`, which does not count against the upstream, until the outcome is
    /// known.
    result: SendResult,
    load: Option<ReportedLoad>,
    /// Whether the upstream may be running the request, since its response was given up or
    /// says no more than that the deadline has passed.
    is_unanswered: bool,
}

/// Bytes of a request body in flight to an upstream, which end with the send.
struct BodyInFlight<'a> {
    state: &'a State,
    upstream: Upstream,
    bytes: usize,
}

impl<'a> BodyInFlight<'a> {
    /// Adds a body; `None` if there is no room for it at the upstream.
    fn begin(state: &'a State, upstream: Upstream, bytes: usize) -> Option<BodyInFlight<'a>> {
        let limit = state.route_table.borrow().config().limits.body_bytes;
        let mut bodies = state.bodies_in_flight.borrow_mut();
        let fits = bodies.begin(upstream, bytes, limit);
        fits.then(|| BodyInFlight {
            state,
            upstream,
            bytes,
        })
    }
}

impl Drop for BodyInFlight<'_> {
    fn drop(&mut self) {
        let mut bodies = self.state.bodies_in_flight.borrow_mut();
        bodies.end(self.upstream, self.bytes);
    }
}

impl Drop for InFlightSend<'_> {
    fn drop(&mut self) {
        if self.is_unanswered {
            let fingerprint = self.request.fingerprint();
            crashes::record_abandoned(self.state, self.upstream, fingerprint);
        }
        let now = self.state.clock.now();
        let finished = FinishedSend {
            upstream: self.upstream,
            route: &self.request.route.name,
            service: &self.request.service,
            result: self.result,
            load: self.load,
            took: now.since(self.started),
        };
        let expected = self.state.queue.borrow().expected_run_time(finished.route);
        if self.result == SendResult::Ran && self.request.key.is_some() {
            self.state
                .record_run_time(self.upstream, finished.took, expected);
        }
        self.state
            .queue
            .borrow_mut()
            .record_finished(now, &finished);
        self.state.dispatch_decisions();
    }
}

/// Sends a request to an upstream once. `progress` learns when it is written.
///
/// # Errors
///
/// Returns how the send ended if there is no complete, valid response.
pub(super) async fn send_to_upstream(
    state: &Rc<State>,
    request: &RoutedRequest,
    upstream: Upstream,
    progress: &mut Progress,
) -> Result<BufferedResponse, Failure> {
    let mut in_flight_send = InFlightSend {
        state,
        request,
        upstream,
        started: state.clock.now(),
        result: SendResult::CallerLeft,
        load: None,
        is_unanswered: false,
    };
    let Some((address, upstream_id)) = state
        .directory
        .borrow()
        .get(upstream)
        .map(|record| (record.registration.address, record.registration.id.clone()))
    else {
        return Err(Failure::new(Ending::NotWritten, "upstream unknown"));
    };
    let Some(_body) = BodyInFlight::begin(state, upstream, request.body.len()) else {
        let why = "the upstream holds too many bytes";
        return Err(Failure::new(Ending::NotWritten, why));
    };
    let now = state.clock.now();
    let connect_timeout = CONNECT_TIMEOUT.min(request.deadline.since(now));
    let usage = Usage {
        upstream,
        idempotent: request.route.idempotent,
        attempt: &request.id,
        min_age: Duration::ZERO,
        max_idle: state.queue.borrow().max_idle(upstream),
    };
    let connection = state
        .pool
        .get_or_connect(now, Some(usage), address, connect_timeout);
    let mut connection = match connection.await {
        Ok(connection) => connection,
        Err(error) => {
            let (result, ending) = match error {
                Error::NotAccepted => {
                    state.metrics.connections_refused.inc();
                    (SendResult::Refused, Ending::NotAccepted)
                }
                Error::NoListener => {
                    state.record_absence(upstream);
                    (SendResult::ConnectFailed, Ending::NotWritten)
                }
                _ => (SendResult::ConnectFailed, Ending::NotWritten),
            };
            in_flight_send.result = result;
            return Err(Failure::new(ending, error.to_string()));
        }
    };
    state.record_return(upstream);
    let now = state.clock.now();
    if now.since(in_flight_send.started) > warmup::MAX_SEND_DELAY && state.is_cold(now, upstream) {
        // Its permit may have been granted too long ago.
        let why = "connected too late to a cold upstream";
        return Err(Failure::new(Ending::NotWritten, why));
    }
    let remaining = request.deadline.since(now);
    let can_end = state
        .queue
        .borrow()
        .can_end(now, &request.route.name, request.deadline);
    if !can_end {
        state.return_connection(now, upstream, connection, &HeaderMap::new());
        return Err(Failure::new(Ending::NotWritten, "too late to be sent"));
    }
    let outgoing = match build_upstream_request(request, &upstream_id, remaining) {
        Ok(outgoing) => outgoing,
        Err(error) => {
            tracing::error!(id = request.id, %error, "failed to build upstream request");
            return Err(Failure::new(
                Ending::NotWritten,
                "request can't be passed on",
            ));
        }
    };
    let sent_at = now;
    state.link.record_write(request.body.len());
    in_flight_send.is_unanswered = true;
    progress.begin_write(upstream);
    let sent = connection
        .send_request(outgoing, remaining, &state.memory)
        .await;
    in_flight_send.is_unanswered = matches!(sent, Err(Error::NoResponse(_)));
    let response = match sent {
        Ok(response) => response,
        Err(Error::NotSent(why)) => return Err(Failure::new(Ending::NotWritten, why)),
        Err(error) => {
            in_flight_send.result = SendResult::Failed;
            if matches!(error, Error::ConnectionLost(_)) {
                let fingerprint = request.fingerprint();
                tracing::info!(
                    id = request.id,
                    upstream = upstream_id,
                    path = request.path,
                    %fingerprint,
                    "connection lost under a request"
                );
                crashes::record_lost_connection(state, upstream, fingerprint);
            }
            return Err(Failure::new(Ending::Doubtful, error.to_string()));
        }
    };
    in_flight_send.load = headers::parse_load(&response.headers);
    let ran = validate_response(request, &response, connection.has_refused());
    if response.status != StatusCode::MISDIRECTED_REQUEST
        && let Ok(ran) = ran
    {
        let notice = headers::parse_rate_limit(&response.headers);
        state.observe_rate_limit(upstream, sent_at, ran, notice);
        if headers::is_leaving(&response.headers) {
            state.record_leaving(upstream);
        }
        if response.status == StatusCode::SERVICE_UNAVAILABLE
            && let Some(pause) = headers::parse_retry_after(&response.headers)
        {
            tracing::info!(upstream = upstream_id, ?pause, "upstream wants no requests");
            let until = state.clock.now() + pause;
            state.queue.borrow_mut().record_pause(upstream, until);
        }
    }
    if ran.is_ok() {
        record_sender(state, request, upstream, &upstream_id, sent_at, &response);
    }
    in_flight_send.result = match &ran {
        Ok(true) => SendResult::Ran,
        Ok(false) => SendResult::Refused,
        Err(_) => SendResult::Failed,
    };
    match ran {
        Ok(true) => {
            // It may go on running a request whose deadline has passed.
            in_flight_send.is_unanswered = response.status == StatusCode::GATEWAY_TIMEOUT;
            record_ownership(state, request, upstream, true);
            // An upstream may answer 504 for a request that it has not begun to run.
            if !response.status.is_server_error() && !state.suspects.borrow().is_empty() {
                crashes::record_answer(state, request.fingerprint());
            }
            let now = state.clock.now();
            state.return_connection(now, upstream, connection, &response.headers);
            Ok(response)
        }
        Ok(false) => {
            if connection.record_refusal(&request.id) {
                let now = state.clock.now();
                state.return_connection(now, upstream, connection, &response.headers);
            }
            match response.status {
                StatusCode::MISDIRECTED_REQUEST => {
                    record_ownership(state, request, upstream, false);
                    let ending = match request.key {
                        Some(_) => Ending::NotOwner,
                        None => Ending::NotExecuted,
                    };
                    Err(Failure::new(ending, "not the owner"))
                }
                _ => {
                    let why = "refused by the upstream";
                    Err(Failure::new(Ending::NotExecuted, why))
                }
            }
        }
        Err(why) => Err(Failure::new(Ending::Doubtful, why)),
    }
}

/// Records whether the upstream holds the key of a request.
fn record_ownership(state: &State, request: &RoutedRequest, upstream: Upstream, held: bool) {
    if let Some(key) = request.key {
        state.record_ownership(upstream, &request.service, key, held);
    }
}

/// Records what a response to a request that was sent at `sent_at` shows about which upstream
/// listens at the address.
fn record_sender(
    state: &State,
    request: &RoutedRequest,
    upstream: Upstream,
    upstream_id: &str,
    sent_at: Time,
    response: &BufferedResponse,
) {
    let fields = &response.headers;
    let sender = match response.status {
        StatusCode::MISDIRECTED_REQUEST if request.key.is_none() => {
            headers::sender(response.status, fields, upstream_id)
        }
        StatusCode::MISDIRECTED_REQUEST => headers::named_sender(fields, upstream_id),
        _ if fields.contains_key(&headers::RESPONSE_SIGNATURE) => Sender::Addressee,
        _ => Sender::Unknown,
    };
    match sender {
        Sender::Addressee => state.record_answer(upstream, sent_at),
        Sender::Another => state.record_displacement(upstream),
        Sender::Unknown => {}
    }
}

/// Whether a response shows that the upstream ran the request. `has_refused` is whether the
/// upstream has refused another request on the connection.
///
/// # Errors
///
/// Returns the reason if the response cannot be trusted to answer this request.
fn validate_response(
    request: &RoutedRequest,
    response: &BufferedResponse,
    has_refused: bool,
) -> Result<bool, &'static str> {
    let id = response.headers.get(&headers::ATTEMPT_ID);
    let is_signed = response.headers.contains_key(&headers::RESPONSE_SIGNATURE);
    if id.is_some_and(|id| id.as_bytes() != request.id.as_bytes()) {
        return Err("answer to another request");
    }
    if response.headers.contains_key(&headers::NOT_EXECUTED)
        || response.status == StatusCode::MISDIRECTED_REQUEST
    {
        if id.is_none() && has_refused {
            return Err("refusal that may be a copy");
        }
        return Ok(false);
    }
    if response.status.is_success() && !(is_signed && id.is_some()) {
        return Err("answer without the upstream's mark");
    }
    Ok(true)
}

fn build_upstream_request(
    request: &RoutedRequest,
    upstream_id: &str,
    remaining: Duration,
) -> Result<Request<Payload>, http::Error> {
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .body(request.body.clone())?;
    let mut fields = end_to_end_headers(&request.headers);
    fields.remove(header::CONTENT_LENGTH);
    fields.remove(header::EXPECT);
    if !request.body.is_empty() || request.headers.contains_key(header::CONTENT_LENGTH) {
        fields.insert(header::CONTENT_LENGTH, request.body.len().into());
    }
    let upstream_deadline = remaining.saturating_sub(UPSTREAM_RESERVE);
    fields.insert(
        headers::DEADLINE_MS,
        (upstream_deadline.as_millis() as u64).into(),
    );
    fields.insert(
        headers::TARGET_INSTANCE,
        HeaderValue::try_from(upstream_id)?,
    );
    *outgoing.headers_mut() = fields;
    Ok(outgoing)
}
