//! HTTP listeners on xitca-web: callers, peers, operators.
//!
//! Each listener has its own worker threads, so that a flood of callers cannot
//! keep peers or operators waiting.

use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use medlarreel_core::code::Code;
use xitca_web::HttpServer;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::http::{Request, RequestExt, Response};
use xitca_web::service::fn_service;

use crate::app::App;
use crate::dispatch::Answer;
use crate::proxy::Refusal;

/// Largest request head, in bytes.
pub const HEAD_LIMIT: usize = 16 * 1024;

/// Most header fields of a request.
pub const HEADER_LIMIT: usize = 64;

/// Pending bytes of a connection's answers before writes are forced.
const WRITE_LIMIT: usize = 256 * 1024;

/// A request read whole.
#[derive(Debug)]
pub struct Incoming {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Worker threads.
    pub workers: usize,
    /// Time in which a request's head must arrive.
    pub head_time: Duration,
    /// Time in which a request's body must arrive.
    pub body_time: Duration,
    /// Idle time after which a connection is closed.
    pub idle_time: Duration,
    /// Largest request body, in bytes.
    pub max_body: usize,
}

/// A running listener.
pub struct Server {
    stop: Box<dyn Fn(bool) + Send + Sync>,
}

impl Server {
    /// Stops accepting; open requests end first if `graceful`.
    pub fn stop(&self, graceful: bool) {
        (self.stop)(graceful);
    }
}

/// Starts a listener in threads of its own.
///
/// # Errors
///
/// If the worker threads cannot be started.
pub fn start<H, F>(
    app: Arc<App>,
    socket: TcpListener,
    limits: Limits,
    handler: H,
) -> std::io::Result<Server>
where
    H: Fn(Arc<App>, Incoming) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer>,
{
    let service = fn_service(move |request: Request<RequestExt<RequestBody>>| {
        let (app, handler) = (Arc::clone(&app), handler.clone());
        async move {
            let answer = match read(request, limits).await {
                Ok(incoming) => handler(app, incoming).await,
                Err(code) => refuse(&app, code),
            };
            Ok::<_, Infallible>(respond(answer))
        }
    });
    let server = HttpServer::serve(service)
        .worker_threads(limits.workers)
        .disable_signal()
        .request_head_timeout(limits.head_time)
        .keep_alive_timeout(limits.idle_time)
        .max_read_buf_size::<HEAD_LIMIT>()
        .max_write_buf_size::<WRITE_LIMIT>()
        .max_request_headers::<HEADER_LIMIT>()
        .listen(socket)?;
    let mut running = server.run();
    let handle = running.handle()?;
    std::thread::spawn(move || running.wait());
    Ok(Server {
        stop: Box::new(move |graceful| handle.stop(graceful)),
    })
}

fn refuse(app: &App, code: Code) -> Answer {
    app.metrics.refused(code);
    let mut answer = Refusal::from(code).answer();
    // The rest of the body has not been read, so the connection cannot go on.
    answer.headers.insert(
        http::header::CONNECTION,
        http::HeaderValue::from_static("close"),
    );
    answer
}

async fn read(request: Request<RequestExt<RequestBody>>, limits: Limits) -> Result<Incoming, Code> {
    let (parts, body) = request.into_parts();
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let reading = read_body(body, limits.max_body);
    let body = tokio::time::timeout(limits.body_time, reading).await;
    let body = body.map_err(|_| Code::SlowRequest)??;
    Ok(Incoming {
        method: parts.method,
        path,
        headers: parts.headers,
        body,
    })
}

async fn read_body(body: RequestExt<RequestBody>, limit: usize) -> Result<Bytes, Code> {
    let (_, body) = body.replace_body(());
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    while let Some(part) = body.as_mut().data().await {
        let part = part.map_err(|_| Code::BadRequest)?;
        if whole.len() + part.len() > limit {
            return Err(Code::BodyTooLarge);
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}

fn respond(answer: Answer) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// Answer with a status and plain text.
pub fn plain(status: StatusCode, text: &str) -> Answer {
    let mut headers = HeaderMap::new();
    let kind = http::HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(http::header::CONTENT_TYPE, kind);
    Answer {
        status,
        headers,
        body: Bytes::copy_from_slice(text.as_bytes()),
    }
}
