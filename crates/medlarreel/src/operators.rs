//! Operators' address: health, metrics, status page and control.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use medlarreel_core::code::Code;
use medlarreel_core::ids::Proposal;
use medlarreel_core::record::{Body, ReleaseTarget};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::app::{App, constant_time_eq};
use crate::control::{Handle, ProposalStatus};
use crate::dispatch::BufferedResponse;
use crate::listen::{IncomingRequest, plain_text};

pub mod advice;
pub mod api;
mod overview;
pub mod page;
mod queries;
pub mod status;

pub use status::Status;

/// What the operators' listener works with.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    /// Way to the control thread.
    pub control: Handle,
    /// Token that actions need.
    pub token: Arc<str>,
}

/// An operator's change and the id that the operator chose for it.
#[derive(Debug)]
struct Change {
    proposal: Option<u64>,
    body: Body,
}

impl OperatorApi {
    /// Serves a request on the operators' listener.
    pub async fn serve(self, app: Arc<App>, incoming: IncomingRequest) -> BufferedResponse {
        let (path, query) = incoming
            .path
            .split_once('?')
            .unwrap_or((&incoming.path, ""));
        let query: HashMap<_, _> = form(query).collect();
        match (&incoming.method, path) {
            (&Method::GET, "/healthz") => plain_text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => readiness(&app),
            (&Method::GET, "/metrics") => metrics(&app),
            (&Method::GET, path) => queries::answer(&app, path, &query),
            (&Method::POST, path) if self.authorized(&incoming.headers) => {
                self.act(path, &incoming.body).await
            }
            (&Method::POST, _) => error(Code::Unauthorized),
            _ => error(Code::UnknownCommand),
        }
    }

    async fn act(&self, path: &str, body: &Bytes) -> BufferedResponse {
        let change = match path {
            "/control/publish" => publish(body),
            "/control/activate" => activate(body),
            "/control/release" => release(body),
            _ => Err(Code::UnknownCommand),
        };
        match change {
            Ok(Change { proposal, body }) => {
                fate(self.control.propose(proposal.map(Proposal), body).await)
            }
            Err(code) => error(code),
        }
    }

    fn authorized(&self, headers: &HeaderMap) -> bool {
        let given = headers
            .get(header::AUTHORIZATION)
            .map_or(&[][..], HeaderValue::as_bytes);
        given
            .strip_prefix(b"Bearer ")
            .is_some_and(|token| constant_time_eq(token, self.token.as_bytes()))
    }
}

fn publish(body: &Bytes) -> Result<Change, Code> {
    let api::PublishRequest {
        name,
        expected,
        text,
        proposal,
    } = decode(body)?;
    Ok(Change {
        proposal,
        body: Body::Publish {
            name,
            expected,
            text,
        },
    })
}

fn activate(body: &Bytes) -> Result<Change, Code> {
    let api::ActivateRequest {
        name,
        version,
        expected,
        proposal,
    } = decode(body)?;
    Ok(Change {
        proposal,
        body: Body::Activate {
            name,
            version,
            expected,
        },
    })
}

fn release(body: &Bytes) -> Result<Change, Code> {
    let released = match decode(body)? {
        api::ReleaseRequest {
            upstream: Some(name),
            domain: None,
            proposal,
        } => (proposal, ReleaseTarget::Upstream(name)),
        api::ReleaseRequest {
            upstream: None,
            domain: Some(name),
            proposal,
        } => (proposal, ReleaseTarget::Domain(name)),
        _ => return Err(Code::BadRequest),
    };
    Ok(Change {
        proposal: released.0,
        body: Body::Release(released.1),
    })
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T, Code> {
    serde_json::from_slice(body).map_err(|_| Code::BadRequest)
}

fn readiness(app: &App) -> BufferedResponse {
    if app.is_ready() {
        plain_text(StatusCode::OK, "ready\n")
    } else {
        plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn metrics(app: &App) -> BufferedResponse {
    let mut answer = plain_text(StatusCode::OK, &app.metrics.encode(app, &app.snapshot()));
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    answer
        .headers
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// JSON form of a proposal's fate.
fn fate(fate: ProposalStatus) -> BufferedResponse {
    let outcome = match (fate.offset, fate.rejected) {
        (None, _) => api::Verdict::Unknown,
        (Some(_), None) => api::Verdict::Accepted,
        (Some(_), Some(_)) => api::Verdict::Rejected,
    };
    let unknown = fate.offset.is_none().then_some(Code::ProposalUnknown);
    let code = fate.rejected.or(unknown);
    let body = api::ProposalOutcome {
        proposal: fate.proposal.0,
        outcome,
        code: code.map(Code::number),
        offset: fate.offset.map(|offset| offset.0),
    };
    json(code.map_or(200, Code::status), &body)
}

/// JSON form of a refusal.
fn error(code: Code) -> BufferedResponse {
    json(code.status(), &api::ErrorBody::from(code))
}

fn json<T: Serialize>(status: u16, body: &T) -> BufferedResponse {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::to_vec(body).unwrap_or_default();
    BufferedResponse {
        status,
        headers,
        body: Bytes::from(body),
    }
}

/// Pairs of a query string; percent-encoding is resolved.
fn form(query: &str) -> impl Iterator<Item = (String, String)> + '_ {
    form_urlencoded::parse(query.as_bytes()).map(|(name, value)| (name.into(), value.into()))
}
