//! Requests to an instance's operators' address.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::CommandError;
use crate::operators::api::ErrorBody;

/// Time to open a connection; an address on the same network answers in far less.
const CONNECT: Duration = Duration::from_secs(2);

/// Time for a whole exchange; an action waits for its record to be read back.
const EXCHANGE: Duration = Duration::from_secs(15);

/// Largest answer, in bytes; all presets with their texts fit.
const MAX_ANSWER: usize = 32 * 1024 * 1024;

/// Client of one instance.
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    instance: SocketAddr,
    token: Option<String>,
}

/// Why an exchange brought no answer.
pub enum Lost {
    /// Nothing was sent.
    Unsent(String),
    /// The request may have had an effect.
    Unanswered(String),
}

/// Status and body of an answer.
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
}

impl Client {
    /// Client that sends the token, if any, with each request.
    pub fn new(instance: SocketAddr, token: Option<String>) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Client {
            http,
            instance,
            token,
        }
    }

    /// Address of the instance.
    pub fn instance(&self) -> SocketAddr {
        self.instance
    }

    /// Answer to a query, decoded.
    ///
    /// # Errors
    ///
    /// Unreachable instance, refusal, or an answer of another form.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let answer = self.exchange(Method::GET, path, Bytes::new()).await;
        let answer = answer.map_err(|lost| match lost {
            Lost::Unsent(detail) | Lost::Unanswered(detail) => {
                CommandError::unreachable(self.instance, &detail)
            }
        })?;
        match serde_json::from_slice(&answer.body) {
            Ok(value) if answer.status.is_success() => Ok(value),
            _ => Err(self.refusal(&answer)),
        }
    }

    /// Answer to an action.
    ///
    /// # Errors
    ///
    /// Whether the action may have been received.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, Lost> {
        let body = serde_json::to_vec(body).map_err(|error| Lost::Unsent(error.to_string()))?;
        self.exchange(Method::POST, path, body.into()).await
    }

    /// Problem that a refused request reports.
    pub fn refusal(&self, answer: &Answer) -> CommandError {
        match serde_json::from_slice::<ErrorBody>(&answer.body) {
            Ok(failure) => CommandError::refused(failure),
            Err(_) => CommandError::unreachable(
                self.instance,
                &format!(
                    "status {} without a readable answer",
                    answer.status.as_u16()
                ),
            ),
        }
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Lost> {
        let uri = format!("http://{}{path}", self.instance);
        let mut request = Request::builder().method(method).uri(uri);
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Lost::Unsent(error.to_string()))?;
        let limit = EXCHANGE.as_secs();
        match tokio::time::timeout(EXCHANGE, self.send(request)).await {
            Ok(result) => result,
            Err(_) => Err(Lost::Unanswered(format!("no answer within {limit} s"))),
        }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Answer, Lost> {
        let response = self.http.request(request).await;
        let response = response.map_err(|error| match error.is_connect() {
            true => Lost::Unsent(describe(&error)),
            false => Lost::Unanswered(describe(&error)),
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER)
            .collect()
            .await;
        let body = body.map_err(|error| Lost::Unanswered(describe(&*error)))?;
        Ok(Answer {
            status,
            body: body.to_bytes(),
        })
    }
}

/// Innermost cause of an error, which names the fault itself.
fn describe(error: &(dyn std::error::Error + 'static)) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes.last().map(ToString::to_string).unwrap_or_default()
}

/// Text as a query value.
pub fn encode(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let encoded = text.bytes().map(|byte| match plain(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    });
    encoded.collect()
}
