//! HTTP client for the operators' address of one instance.

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

/// Timeout for opening a connection, far above what an address on the same
/// network needs.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for a whole request. An action is answered only once its record has
/// been read back from the log.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest response body, in bytes. All presets with their texts fit.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// HTTP client bound to one instance.
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    instance: SocketAddr,
    token: Option<String>,
}

/// Why a request has no response.
pub enum RequestError {
    /// The request was not sent.
    NotSent(String),
    /// No response arrived; the request may have taken effect.
    NoResponse(String),
}

/// Status and body of a response.
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

impl Client {
    /// Creates a client that sends the token, if any, with each request.
    pub fn new(instance: SocketAddr, token: Option<String>) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Client {
            http,
            instance,
            token,
        }
    }

    /// Operators' address of the instance.
    pub fn instance(&self) -> SocketAddr {
        self.instance
    }

    /// Sends a query and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// If the instance is unreachable, refuses the query or sends a malformed response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let response = self
            .send_with_timeout(Method::GET, path, Bytes::new())
            .await;
        let response = response.map_err(|error| match error {
            RequestError::NotSent(detail) | RequestError::NoResponse(detail) => {
                CommandError::unreachable(self.instance, &detail)
            }
        })?;
        match serde_json::from_slice(&response.body) {
            Ok(value) if response.status.is_success() => Ok(value),
            _ => Err(self.response_error(&response)),
        }
    }

    /// Sends an action with a JSON body.
    ///
    /// # Errors
    ///
    /// If no response arrived. The variant tells whether the action may have taken
    /// effect.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Response, RequestError> {
        let body =
            serde_json::to_vec(body).map_err(|error| RequestError::NotSent(error.to_string()))?;
        self.send_with_timeout(Method::POST, path, body.into())
            .await
    }

    /// Converts an unsuccessful response to an error.
    pub fn response_error(&self, response: &Response) -> CommandError {
        match serde_json::from_slice::<ErrorBody>(&response.body) {
            Ok(body) => CommandError::refused(body),
            Err(_) => CommandError::unreachable(
                self.instance,
                &format!(
                    "status {} without a readable answer",
                    response.status.as_u16()
                ),
            ),
        }
    }

    async fn send_with_timeout(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, RequestError> {
        let uri = format!("http://{}{path}", self.instance);
        let mut request = Request::builder().method(method).uri(uri);
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| RequestError::NotSent(error.to_string()))?;
        let timeout_secs = REQUEST_TIMEOUT.as_secs();
        match tokio::time::timeout(REQUEST_TIMEOUT, self.send_request(request)).await {
            Ok(result) => result,
            Err(_) => Err(RequestError::NoResponse(format!(
                "no answer within {timeout_secs} s"
            ))),
        }
    }

    async fn send_request(&self, request: Request<Full<Bytes>>) -> Result<Response, RequestError> {
        let result = self.http.request(request).await;
        let response = result.map_err(|error| match error.is_connect() {
            true => RequestError::NotSent(root_cause(&error)),
            false => RequestError::NoResponse(root_cause(&error)),
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| RequestError::NoResponse(root_cause(&*error)))?;
        Ok(Response {
            status,
            body: body.to_bytes(),
        })
    }
}

/// Text of the innermost cause of an error, which names the actual fault.
fn root_cause(error: &(dyn std::error::Error + 'static)) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes.last().map(ToString::to_string).unwrap_or_default()
}

/// Percent-encodes text for use as a query value.
pub fn percent_encode(text: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let encoded = text.bytes().map(|byte| match is_unreserved(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    });
    encoded.collect()
}
