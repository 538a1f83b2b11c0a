//! HTTP listeners on xitca-web: callers, peers, operators.
//!
//! Each listener has its own worker threads, so that a flood of callers cannot
//! keep peers or operators waiting.

use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use medlarreel_core::code::Code;
use xitca_web::HttpServer;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::http::{Request, RequestExt, Response};
use xitca_web::service::fn_service;

use crate::app::{App, BodyMemory};
use crate::dispatch::BufferedResponse;
use crate::proxy::{Refusal, RequestHead};

/// Sizes of the HTTP library's read buffer, in bytes. A head that does not fit
/// is refused before it has arrived whole.
const SMALL_BUFFER: usize = 16 * 1024;
const MEDIUM_BUFFER: usize = 64 * 1024;
const LARGE_BUFFER: usize = 260 * 1024;

/// Most header fields of a caller's request.
pub const MAX_HEADERS: usize = 64;

/// Most header fields of a request between instances, which carries its own.
pub const MAX_PEER_HEADERS: usize = MAX_HEADERS + 16;

/// Bytes that the headers of instances add to a caller's head at most: the
/// peer token, the names of service and club, and numbers.
pub const MAX_PEER_HEAD_OVERHEAD: usize = 4 * 1024;

/// Pending bytes of a connection's answers before writes are forced.
const WRITE_LIMIT: usize = 256 * 1024;

/// Time between looks at whether a listener's threads have ended.
const END_STEP: Duration = Duration::from_millis(5);

/// A request read whole.
#[derive(Debug)]
pub struct IncomingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl IncomingRequest {
    /// Head of the request.
    pub fn head(&self) -> RequestHead<'_> {
        RequestHead {
            method: &self.method,
            path: &self.path,
            headers: &self.headers,
        }
    }
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Worker threads.
    pub workers: usize,
    /// Time in which a request's head must arrive.
    pub head_timeout: Duration,
    /// Time in which a request's body must arrive.
    pub body_timeout: Duration,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Largest request head, in bytes.
    pub max_head_size: usize,
    /// Most header fields.
    pub max_headers: usize,
    /// Whether the limit of open requests applies, from the end of the head on.
    pub limit_open_requests: bool,
}

/// A running listener.
pub struct Server {
    stop: Box<dyn Fn(bool) + Send + Sync>,
    thread: JoinHandle<()>,
}

impl Server {
    /// Stops accepting; open requests end first if `graceful`.
    pub fn stop(&self, graceful: bool) {
        (self.stop)(graceful);
    }

    /// Waits until all answers of a stopped listener have been written.
    pub async fn wait_stopped(&self) {
        while !self.thread.is_finished() {
            tokio::time::sleep(END_STEP).await;
        }
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
    H: Fn(Arc<App>, IncomingRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = BufferedResponse>,
{
    if limits.max_head_size <= SMALL_BUFFER {
        run::<SMALL_BUFFER, _, _>(app, socket, limits, handler)
    } else if limits.max_head_size <= MEDIUM_BUFFER {
        run::<MEDIUM_BUFFER, _, _>(app, socket, limits, handler)
    } else {
        run::<LARGE_BUFFER, _, _>(app, socket, limits, handler)
    }
}

fn run<const BUFFER: usize, H, F>(
    app: Arc<App>,
    socket: TcpListener,
    limits: Limits,
    handler: H,
) -> std::io::Result<Server>
where
    H: Fn(Arc<App>, IncomingRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = BufferedResponse>,
{
    let service = fn_service(move |request: Request<RequestExt<RequestBody>>| {
        let (app, handler) = (Arc::clone(&app), handler.clone());
        async move {
            let answer = serve(&app, request, limits, handler).await;
            Ok::<_, Infallible>(respond(answer))
        }
    });
    let server = HttpServer::serve(service)
        .worker_threads(limits.workers)
        .disable_signal()
        .request_head_timeout(limits.head_timeout)
        .keep_alive_timeout(limits.idle_timeout)
        .max_read_buf_size::<BUFFER>()
        .max_write_buf_size::<WRITE_LIMIT>()
        .max_request_headers::<MAX_PEER_HEADERS>()
        .listen(socket)?;
    let mut running = server.run();
    let handle = running.handle()?;
    let thread = std::thread::spawn(move || {
        // The workers report their own errors; the threads have ended then.
        running.wait().ok();
    });
    Ok(Server {
        stop: Box::new(move |graceful| handle.stop(graceful)),
        thread,
    })
}

/// Checks the head, reads the body within the limits and passes both on.
async fn serve<H, F>(
    app: &Arc<App>,
    request: Request<RequestExt<RequestBody>>,
    limits: Limits,
    handler: H,
) -> BufferedResponse
where
    H: Fn(Arc<App>, IncomingRequest) -> F,
    F: Future<Output = BufferedResponse>,
{
    // Counted before the body is read, since bodies take memory.
    let open = limits.limit_open_requests.then(|| app.open_request());
    if matches!(open, Some(None)) {
        return refuse(app, Code::TooManyRequests);
    }
    let mut memory = app.body_memory();
    match read(request, limits, &mut memory).await {
        Ok(incoming) => handler(Arc::clone(app), incoming).await,
        Err(code) => refuse(app, code),
    }
}

fn refuse(app: &App, code: Code) -> BufferedResponse {
    app.metrics.refused(code);
    let mut answer = Refusal::from(code).to_response();
    // The rest of the body has not been read, so the connection cannot go on.
    answer.headers.insert(
        http::header::CONNECTION,
        http::HeaderValue::from_static("close"),
    );
    answer
}

async fn read(
    request: Request<RequestExt<RequestBody>>,
    limits: Limits,
    memory: &mut BodyMemory<'_>,
) -> Result<IncomingRequest, Code> {
    let (parts, body) = request.into_parts();
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let head = RequestHead {
        method: &parts.method,
        path: &path,
        headers: &parts.headers,
    };
    // The head decides where the body ends, so it is checked first.
    head.check_framing()?;
    if head.size() > limits.max_head_size || parts.headers.len() > limits.max_headers {
        return Err(Code::HeadTooLarge);
    }
    let reading = read_body(body, limits.max_body, memory);
    let body = tokio::time::timeout(limits.body_timeout, reading).await;
    let body = body.map_err(|_| Code::SlowRequest)??;
    Ok(IncomingRequest {
        method: parts.method,
        path,
        headers: parts.headers,
        body,
    })
}

async fn read_body(
    body: RequestExt<RequestBody>,
    limit: usize,
    memory: &mut BodyMemory<'_>,
) -> Result<Bytes, Code> {
    let (_, body) = body.replace_body(());
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    while let Some(part) = body.as_mut().data().await {
        let part = part.map_err(|_| Code::BadRequest)?;
        if whole.len() + part.len() > limit {
            return Err(Code::BodyTooLarge);
        }
        if !memory.grow(part.len()) {
            return Err(Code::TooManyRequests);
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}

fn respond(answer: BufferedResponse) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// Answer with a status and plain text.
pub fn plain_text(status: StatusCode, text: &str) -> BufferedResponse {
    let mut headers = HeaderMap::new();
    let kind = http::HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(http::header::CONTENT_TYPE, kind);
    BufferedResponse {
        status,
        headers,
        body: Bytes::copy_from_slice(text.as_bytes()),
    }
}
