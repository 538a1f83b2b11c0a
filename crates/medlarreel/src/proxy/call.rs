//! Parsed and validated requests.
//!
//! `Call::parse` reads both requests from callers and requests that another instance
//! forwarded. Internal headers of the incoming request never reach an upstream.

use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body_util::Full;
use medlarreel_core::code::Code;
use medlarreel_core::dedup;
use medlarreel_core::ids::{Shard, Upstream};
use medlarreel_core::preset::Rank;
use medlarreel_core::route::{Route, RoutingTable};
use medlarreel_core::time::Time;
use xxhash_rust::xxh3::xxh3_128;

/// Key that determines the shard. Set by callers; required by keyed services.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("medlar-key");
/// Priority rank of the request. Set by callers; defaults to `archive`.
pub const RANK_HEADER: HeaderName = HeaderName::from_static("medlar-rank");
/// Club to which the caller belongs. Set by callers; defaults to the instance's club.
pub const CLUB_HEADER: HeaderName = HeaderName::from_static("medlar-club");
/// Time until the deadline, in milliseconds. Set by callers; defaults to the preset's
/// value for the rank and is limited to `MAX_TIME_LIMIT`.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("medlar-deadline-ms");
/// Number of this attempt, starting at 1. Set by callers; defaults to 1.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("medlar-attempt");
/// Id of the attempt, unique within the sending instance and echoed in the response.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("medlar-request-id");
/// Shard of the key. Sent only to upstreams.
pub const SHARD_HEADER: HeaderName = HeaderName::from_static("medlar-shard");
/// Fencing epoch of the shard. Sent only to upstreams.
pub const EPOCH_HEADER: HeaderName = HeaderName::from_static("medlar-epoch");
/// Target upstream of a forwarded request.
pub const UPSTREAM_HEADER: HeaderName = HeaderName::from_static("medlar-upstream");
/// Token that authenticates requests between instances.
pub const PEER_TOKEN_HEADER: HeaderName = HeaderName::from_static("medlar-peer");
/// The caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Maximum time until the deadline. A longer one is shortened to this.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(60);

/// Maximum length of a key or idempotency key.
const MAX_KEY_BYTES: usize = 1_024;

/// Headers that apply to a single connection or are set anew for each hop.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Validated request with its complete body.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// End-to-end headers of the caller.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Name of the service.
    pub service: String,
    /// Shard of the key; `None` for services that are not keyed.
    pub shard: Option<Shard>,
    /// Key as sent by the caller, if any; only keyed services use it.
    pub key: Option<HeaderValue>,
    /// Priority rank.
    pub rank: Rank,
    /// Name of the caller's club.
    pub club: String,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Number of this attempt, starting at 1.
    pub attempt: u32,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Hash of the idempotency key, scoped by service and club; `None` without a key.
    pub idempotency_key: Option<dedup::KeyHash>,
    /// Maximum size of the response body, in bytes.
    pub max_body: usize,
}

/// Method, path and headers of a request.
#[derive(Debug)]
pub struct RequestHead<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// All headers.
    pub headers: &'a HeaderMap,
}

impl RequestHead<'_> {
    /// Returns the name of the service, which is the first path segment.
    pub fn service(&self) -> &str {
        let path = self.path.strip_prefix('/').unwrap_or(self.path);
        path.split(['/', '?']).next().unwrap_or("")
    }

    /// Returns the size on the wire in bytes, without optional whitespace.
    pub fn size(&self) -> usize {
        // Each field adds a colon, a space and CRLF.
        let fields = self.headers.iter();
        let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + 4);
        // The request line adds two spaces, the version and CRLF, and the empty line that
        // ends the head adds another CRLF.
        self.method.as_str().len() + self.path.len() + 14 + fields.sum::<usize>()
    }

    /// Rejects message framing that HTTP implementations interpret differently, and the
    /// methods `CONNECT` and `TRACE`.
    ///
    /// # Errors
    ///
    /// `Code::BadRequest` in both cases.
    pub fn check_framing(&self) -> Result<(), Code> {
        let lengths = self.headers.get_all(CONTENT_LENGTH).iter().count();
        let mut codings = self.headers.get_all(TRANSFER_ENCODING).iter();
        let chunked = codings.next();
        let only_chunked =
            chunked.is_none_or(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
        let both = chunked.is_some() && lengths > 0;
        // The HTTP library also accepts a sign before the digits.
        let length = self.headers.get(CONTENT_LENGTH);
        let digits = |value: &HeaderValue| value.as_bytes().iter().all(u8::is_ascii_digit);
        let signed = !length.is_none_or(digits);
        if lengths > 1 || both || signed || !only_chunked || codings.next().is_some() {
            return Err(Code::BadRequest);
        }
        match *self.method {
            Method::CONNECT | Method::TRACE => Err(Code::BadRequest),
            _ => Ok(()),
        }
    }
}

impl Call {
    /// Parses and validates a request whose body has been read completely.
    ///
    /// # Errors
    ///
    /// Returns the code with which the request is refused.
    pub fn parse(
        head: &RequestHead<'_>,
        body: Bytes,
        table: &RoutingTable,
        home_club: &str,
        now: Time,
    ) -> Result<Call, Code> {
        let preset = table.preset.as_ref().ok_or(Code::NoPreset)?;
        let service = head.service().to_owned();
        let route = table.route(&service).ok_or(Code::UnknownService)?;
        if body.len() > route.limits.max_body as usize {
            return Err(Code::BodyTooLarge);
        }
        let rank = parse_header(head.headers, &RANK_HEADER, Rank::parse)?.unwrap_or(Rank::Archive);
        let club = header_text(head.headers, &CLUB_HEADER)?
            .unwrap_or(home_club)
            .to_owned();
        if !preset.clubs.iter().any(|entry| entry.name == club) {
            return Err(Code::BadRequest);
        }
        let key = head.headers.get(&KEY_HEADER).cloned();
        let shard = shard_for(route, key.as_ref())?;
        let time_limit = parse_header(head.headers, &DEADLINE_HEADER, |text| text.parse().ok())?;
        let time_limit = time_limit.map(Duration::from_millis);
        let time_limit = time_limit
            .unwrap_or(preset.ranks[rank.index()].deadline)
            .min(MAX_TIME_LIMIT);
        let attempt =
            parse_header(head.headers, &ATTEMPT_HEADER, |text| text.parse().ok())?.unwrap_or(1);
        let idempotency_key = idempotency_key_hash(head.headers, &service, &club)?;
        Ok(Call {
            method: head.method.clone(),
            path: head.path.to_owned(),
            headers: end_to_end_headers(head.headers),
            body,
            service,
            shard,
            key,
            rank,
            club,
            deadline: now + time_limit,
            attempt,
            idempotent: is_idempotent(head.method),
            idempotency_key,
            max_body: route.limits.max_body as usize,
        })
    }

    /// Returns the time until the deadline; zero once it has passed.
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Builds a request that forwards this one to the instance at `peer`, a host and
    /// port. That instance is to send it to `upstream`.
    ///
    /// # Errors
    ///
    /// `Code::BadRequest` if the path or a header is not valid for the next hop.
    pub fn forward_request(
        &self,
        peer: &str,
        token: &HeaderValue,
        upstream: Upstream,
        remaining: Duration,
    ) -> Result<Request<Full<Bytes>>, Code> {
        let mut headers = self.headers.clone();
        headers.insert(PEER_TOKEN_HEADER, token.clone());
        headers.insert(UPSTREAM_HEADER, HeaderValue::from(upstream.0));
        headers.insert(RANK_HEADER, HeaderValue::from_static(self.rank.text()));
        headers.insert(
            CLUB_HEADER,
            HeaderValue::try_from(&self.club).map_err(|_| Code::BadRequest)?,
        );
        headers.insert(
            DEADLINE_HEADER,
            HeaderValue::from(remaining.as_millis() as u64),
        );
        headers.insert(ATTEMPT_HEADER, HeaderValue::from(self.attempt));
        if let Some(key) = &self.key {
            headers.insert(KEY_HEADER, key.clone());
        }
        self.build_request(&format!("/forward{}", self.path), peer, headers)
    }

    /// Builds a request with the given headers and this request's method and body.
    ///
    /// # Errors
    ///
    /// `Code::BadRequest` if the path or host is not valid for the next hop.
    pub fn build_request(
        &self,
        path: &str,
        host: &str,
        headers: HeaderMap,
    ) -> Result<Request<Full<Bytes>>, Code> {
        let builder = Request::builder().method(self.method.clone()).uri(path);
        let request = builder.body(Full::new(self.body.clone()));
        let mut request = request.map_err(|_| Code::BadRequest)?;
        *request.headers_mut() = headers;
        let host = HeaderValue::try_from(host).map_err(|_| Code::BadRequest)?;
        request.headers_mut().insert(HOST, host);
        Ok(request)
    }
}

/// Returns whether requests with this method may safely run more than once.
fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE
    )
}

fn shard_for(route: &Route, key: Option<&HeaderValue>) -> Result<Option<Shard>, Code> {
    match (route.limits.keyed, key) {
        (false, _) => Ok(None),
        (true, None) => Err(Code::MissingKey),
        (true, Some(key)) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(Code::MissingKey),
        (true, Some(key)) => Ok(Some(route.shard(key.as_bytes()))),
    }
}

fn idempotency_key_hash(
    headers: &HeaderMap,
    service: &str,
    club: &str,
) -> Result<Option<dedup::KeyHash>, Code> {
    let Some(key) = headers.get(&IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Code::BadRequest);
    }
    let parts = [service.as_bytes(), club.as_bytes(), key.as_bytes()];
    Ok(Some(dedup::KeyHash(xxh3_128(&parts.join(&b'\0')))))
}

/// Returns the headers to pass on, without hop-by-hop and internal ones and those that
/// the `Connection` header names.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &HeaderName| {
        let internal = name.as_str().starts_with("medlar-");
        !internal
            && !HOP_BY_HOP_HEADERS.contains(name)
            && !connection_headers
                .iter()
                .any(|other| other == name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| is_forwarded(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Code> {
    let value = headers.get(name).map(|value| value.to_str());
    value.transpose().map_err(|_| Code::BadRequest)
}

fn parse_header<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, Code> {
    match header_text(headers, name)? {
        None => Ok(None),
        Some(value) => parse(value).map(Some).ok_or(Code::BadRequest),
    }
}
