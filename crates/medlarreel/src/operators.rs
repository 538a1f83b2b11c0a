//! Operators' address: health, metrics, status page and control.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use medlarreel_core::code::Code;
use medlarreel_core::record::{Body, Released};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::app::{App, same};
use crate::control::{Handle, Verdict};
use crate::dispatch::Answer;
use crate::listen::{Incoming, plain};

mod queries;

/// What the operators' listener works with.
#[derive(Clone, Debug)]
pub struct Operators {
    /// Way to the control thread.
    pub control: Handle,
    /// Token that actions need.
    pub token: Arc<str>,
}

#[derive(Deserialize)]
struct Publish {
    name: String,
    expected: u32,
    text: String,
}

#[derive(Deserialize)]
struct Activate {
    name: String,
    version: u32,
    expected: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Release {
    Upstream(String),
    Domain(String),
}

impl Operators {
    /// Serves a request on the operators' listener.
    pub async fn serve(self, app: Arc<App>, incoming: Incoming) -> Answer {
        let (path, query) = incoming.path.split_once('?').unwrap_or((&incoming.path, ""));
        let query: HashMap<_, _> = form(query).collect();
        match (&incoming.method, path) {
            (&Method::GET, "/healthz") => plain(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => readiness(&app),
            (&Method::GET, "/metrics") => metrics(&app),
            (&Method::GET, "/") => queries::page(&app),
            (&Method::GET, path) => queries::answer(&app, path, &query),
            (&Method::POST, path) if self.authorized(&incoming.headers) => {
                self.act(path, &incoming.body).await
            }
            (&Method::POST, _) => error(Code::Unauthorized, "give the operator token"),
            _ => error(Code::UnknownCommand, "see docs/protocol.md"),
        }
    }

    async fn act(&self, path: &str, body: &Bytes) -> Answer {
        let record = match path {
            "/control/publish" => serde_json::from_slice(body).map(
                |Publish { name, expected, text }| Body::Publish { name, expected, text },
            ),
            "/control/activate" => serde_json::from_slice(body).map(
                |Activate { name, version, expected }| Body::Activate { name, version, expected },
            ),
            "/control/release" => serde_json::from_slice(body).map(|release| {
                Body::Release(match release {
                    Release::Upstream(name) => Released::Upstream(name),
                    Release::Domain(name) => Released::Domain(name),
                })
            }),
            _ => return error(Code::UnknownCommand, "see docs/protocol.md"),
        };
        match record {
            Ok(record) => verdict(self.control.propose(record).await),
            Err(_) => error(Code::BadRequest, "the body is not the JSON that docs/protocol.md asks for"),
        }
    }

    fn authorized(&self, headers: &HeaderMap) -> bool {
        let given = headers.get(header::AUTHORIZATION).map_or(&[][..], HeaderValue::as_bytes);
        given.strip_prefix(b"Bearer ").is_some_and(|token| same(token, self.token.as_bytes()))
    }
}

fn readiness(app: &App) -> Answer {
    if app.ready() {
        plain(StatusCode::OK, "ready\n")
    } else {
        plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn metrics(app: &App) -> Answer {
    let mut answer = plain(StatusCode::OK, &app.metrics.encode());
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    answer.headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// JSON form of a proposal's fate.
fn verdict(verdict: Verdict) -> Answer {
    let outcome = match (verdict.offset, verdict.rejected) {
        (None, _) => "unknown",
        (Some(_), None) => "accepted",
        (Some(_), Some(_)) => "rejected",
    };
    let unknown = verdict.offset.is_none().then_some(Code::ProposalUnknown);
    let code = verdict.rejected.or(unknown);
    let status = code.map_or(200, Code::status);
    let body = json!({
        "proposal": verdict.proposal.0,
        "outcome": outcome,
        "code": code.map(Code::number),
        "text": code.map(Code::text),
        "offset": verdict.offset.map(|offset| offset.0),
    });
    json_answer(status, &body)
}

/// JSON form of a refusal.
fn error(code: Code, hint: &str) -> Answer {
    let body = json!({ "code": code.number(), "text": code.text(), "hint": hint });
    json_answer(code.status(), &body)
}

fn json_answer(status: u16, body: &Value) -> Answer {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Answer { status, headers, body: Bytes::from(body.to_string()) }
}

/// Pairs of a query string; percent-encoding is resolved.
fn form(query: &str) -> impl Iterator<Item = (String, String)> + '_ {
    form_urlencoded::parse(query.as_bytes()).map(|(name, value)| (name.into(), value.into()))
}
