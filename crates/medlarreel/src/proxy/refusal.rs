//! Refusals and their HTTP form.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use medlarreel_core::code::{Code, Outcome};
use medlarreel_core::ids::Instance;

use crate::dispatch::BufferedResponse;

/// Header with the number of the result code.
pub const CODE: HeaderName = HeaderName::from_static("medlar-code");

/// Header with the outcome.
pub const OUTCOME: HeaderName = HeaderName::from_static("medlar-outcome");

/// Header that names the instance to try next, between instances only.
pub const NEXT_INSTANCE: HeaderName = HeaderName::from_static("medlar-try");

/// Why a request brought no answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Numbered result code.
    pub code: Code,
    /// What is known about the run.
    pub outcome: Outcome,
    /// Instance that may know better.
    pub next: Option<Instance>,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Refusal {
        let outcome = code.outcome().unwrap_or(Outcome::Unknown);
        Refusal {
            code,
            outcome,
            next: None,
        }
    }
}

impl Refusal {
    /// Reads a refusal from an answer's headers.
    pub fn from_headers(headers: &HeaderMap) -> Option<Refusal> {
        let outcome = Outcome::parse(text(headers, &OUTCOME)?)?;
        let number: u16 = text(headers, &CODE)?.parse().ok()?;
        let code = Code::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)?;
        let next = text(headers, &NEXT_INSTANCE)
            .and_then(|id| id.parse().ok())
            .map(Instance);
        Some(Refusal {
            code,
            outcome,
            next,
        })
    }

    /// HTTP form of the refusal.
    pub fn to_response(&self) -> BufferedResponse {
        let number = self.code.number();
        let status = StatusCode::from_u16(self.code.status());
        let mut headers = HeaderMap::new();
        headers.insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(CODE, HeaderValue::from(number));
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.text()));
        if let Some(next) = self.next {
            headers.insert(NEXT_INSTANCE, HeaderValue::from(next.0));
        }
        let body = serde_json::json!({
            "code": number,
            "outcome": self.outcome.text(),
            "text": self.code.text(),
        });
        BufferedResponse {
            status: status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
            headers,
            body: Bytes::from(body.to_string()),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
