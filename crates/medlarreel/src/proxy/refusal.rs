//! Refusals and their representation in HTTP.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use medlarreel_core::code::{Code, Outcome};
use medlarreel_core::ids::Instance;

use crate::dispatch::BufferedResponse;

/// Header with the number of the result code.
pub const CODE_HEADER: HeaderName = HeaderName::from_static("medlar-code");

/// Header that says whether the request ran, as the text of an `Outcome`.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("medlar-outcome");

/// Header with the instance to try next. Used only between instances.
pub const NEXT_INSTANCE_HEADER: HeaderName = HeaderName::from_static("medlar-try");

/// Result of a request that an instance or upstream refused, or whose response was lost
/// or unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Numbered result code.
    pub code: Code,
    /// What is known about whether the request ran.
    pub outcome: Outcome,
    /// Other instance that may be able to serve the request; `None` if none is known.
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
    /// Parses a refusal from the headers of a response; `None` if the code or the outcome
    /// is missing or invalid.
    pub fn from_headers(headers: &HeaderMap) -> Option<Refusal> {
        let outcome = Outcome::parse(header_text(headers, &OUTCOME_HEADER)?)?;
        let number: u16 = header_text(headers, &CODE_HEADER)?.parse().ok()?;
        let code = Code::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)?;
        let next = header_text(headers, &NEXT_INSTANCE_HEADER)
            .and_then(|id| id.parse().ok())
            .map(Instance);
        Some(Refusal {
            code,
            outcome,
            next,
        })
    }

    /// Converts the refusal to an HTTP response.
    pub fn to_response(&self) -> BufferedResponse {
        let number = self.code.number();
        let status = StatusCode::from_u16(self.code.status());
        let mut headers = HeaderMap::new();
        headers.insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(CODE_HEADER, HeaderValue::from(number));
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome.text()),
        );
        if let Some(next) = self.next {
            headers.insert(NEXT_INSTANCE_HEADER, HeaderValue::from(next.0));
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

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
