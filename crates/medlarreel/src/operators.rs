//! HTTP interface for operators: health, metrics, status page and control API.

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

/// Request handler of the operators' listener.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    /// Handle of the control thread.
    pub control: Handle,
    /// Bearer token that actions require.
    pub token: Arc<str>,
}

/// Change to propose, with the id chosen by the operator, if any.
#[derive(Debug)]
struct ProposedChange {
    proposal: Option<u64>,
    body: Body,
}

impl OperatorApi {
    /// Serves a request on the operators' listener. Queries need no token.
    pub async fn serve(self, app: Arc<App>, incoming: IncomingRequest) -> BufferedResponse {
        let (path, query) = incoming
            .path
            .split_once('?')
            .unwrap_or((&incoming.path, ""));
        let query: HashMap<_, _> = query_pairs(query).collect();
        match (&incoming.method, path) {
            (&Method::GET, "/healthz") => plain_text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => readiness_response(&app),
            (&Method::GET, "/metrics") => metrics_response(&app),
            (&Method::GET, path) => queries::respond(&app, path, &query),
            (&Method::POST, path) if self.is_authorized(&incoming.headers) => {
                self.perform_action(path, &incoming.body).await
            }
            (&Method::POST, _) => error_response(Code::Unauthorized),
            _ => error_response(Code::UnknownCommand),
        }
    }

    async fn perform_action(&self, path: &str, body: &Bytes) -> BufferedResponse {
        let change = match path {
            "/control/publish" => parse_publish(body),
            "/control/activate" => parse_activate(body),
            "/control/release" => parse_release(body),
            _ => Err(Code::UnknownCommand),
        };
        match change {
            Ok(ProposedChange { proposal, body }) => {
                outcome_response(self.control.propose(proposal.map(Proposal), body).await)
            }
            Err(code) => error_response(code),
        }
    }

    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let value = headers
            .get(header::AUTHORIZATION)
            .map_or(&[][..], HeaderValue::as_bytes);
        value
            .strip_prefix(b"Bearer ")
            .is_some_and(|token| constant_time_eq(token, self.token.as_bytes()))
    }
}

fn parse_publish(body: &Bytes) -> Result<ProposedChange, Code> {
    let api::PublishRequest {
        name,
        expected,
        text,
        proposal,
    } = decode_json(body)?;
    Ok(ProposedChange {
        proposal,
        body: Body::Publish {
            name,
            expected,
            text,
        },
    })
}

fn parse_activate(body: &Bytes) -> Result<ProposedChange, Code> {
    let api::ActivateRequest {
        name,
        version,
        expected,
        proposal,
    } = decode_json(body)?;
    Ok(ProposedChange {
        proposal,
        body: Body::Activate {
            name,
            version,
            expected,
        },
    })
}

fn parse_release(body: &Bytes) -> Result<ProposedChange, Code> {
    let released = match decode_json(body)? {
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
    Ok(ProposedChange {
        proposal: released.0,
        body: Body::Release(released.1),
    })
}

fn decode_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, Code> {
    serde_json::from_slice(body).map_err(|_| Code::BadRequest)
}

fn readiness_response(app: &App) -> BufferedResponse {
    if app.is_ready() {
        plain_text(StatusCode::OK, "ready\n")
    } else {
        plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn metrics_response(app: &App) -> BufferedResponse {
    let mut response = plain_text(StatusCode::OK, &app.metrics.encode(app, &app.snapshot()));
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    response
        .headers
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Builds the JSON response for the outcome of a proposal.
fn outcome_response(status: ProposalStatus) -> BufferedResponse {
    let outcome = match (status.offset, status.rejected) {
        (None, _) => api::Verdict::Unknown,
        (Some(_), None) => api::Verdict::Accepted,
        (Some(_), Some(_)) => api::Verdict::Rejected,
    };
    let unknown = status.offset.is_none().then_some(Code::ProposalUnknown);
    let code = status.rejected.or(unknown);
    let body = api::ProposalOutcome {
        proposal: status.proposal.0,
        outcome,
        code: code.map(Code::number),
        offset: status.offset.map(|offset| offset.0),
    };
    json_response(code.map_or(200, Code::status), &body)
}

/// Builds the JSON response for a refusal.
fn error_response(code: Code) -> BufferedResponse {
    json_response(code.status(), &api::ErrorBody::from(code))
}

fn json_response<T: Serialize>(status: u16, body: &T) -> BufferedResponse {
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

/// Percent-decoded name and value pairs of a query string.
fn query_pairs(query: &str) -> impl Iterator<Item = (String, String)> + '_ {
    form_urlencoded::parse(query.as_bytes()).map(|(name, value)| (name.into(), value.into()))
}
