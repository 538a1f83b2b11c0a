//! HTTP listeners for callers, peers and operators, based on xitca-web.
//!
//! Each listener has its own worker threads, so that excess load from callers does not
//! delay peers or operators.

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

/// Sizes of the HTTP library's read buffer, in bytes. A request head that does not fit
/// is refused before it has arrived completely. The largest buffer fits the highest
/// `head_size` setting, 256 KiB, plus `MAX_PEER_HEAD_OVERHEAD_BYTES`.
const SMALL_READ_BUFFER_BYTES: usize = 16 * 1024;
const MEDIUM_READ_BUFFER_BYTES: usize = 64 * 1024;
const LARGE_READ_BUFFER_BYTES: usize = 260 * 1024;

/// Maximum number of header fields in a request from a caller or operator.
pub const MAX_HEADERS: usize = 64;

/// Maximum number of header fields in a request between instances, which has additional
/// internal headers.
pub const MAX_PEER_HEADERS: usize = MAX_HEADERS + 16;

/// Maximum number of bytes that forwarding adds to the head of a caller's request: the
/// peer token, the names of service and club, and numbers.
pub const MAX_PEER_HEAD_OVERHEAD_BYTES: usize = 4 * 1024;

/// Maximum number of response bytes pending on a connection before writes are forced.
const MAX_WRITE_BUFFER_BYTES: usize = 256 * 1024;

/// Interval between checks of whether the threads of a listener have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Request with its complete body.
#[derive(Debug)]
pub struct IncomingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl IncomingRequest {
    /// Returns the head of the request.
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
    /// Number of worker threads.
    pub workers: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Time within which a request body must arrive.
    pub body_timeout: Duration,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum size of a request head, in bytes.
    pub max_head_size: usize,
    /// Maximum number of header fields.
    pub max_headers: usize,
    /// Whether `App::max_open_requests` applies. A request counts as open once its head
    /// has arrived.
    pub limit_open_requests: bool,
}

/// A running listener.
pub struct Server {
    stop: Box<dyn Fn(bool) + Send + Sync>,
    thread: JoinHandle<()>,
}

impl Server {
    /// Stops accepting connections; if `graceful`, open requests are still completed.
    pub fn stop(&self, graceful: bool) {
        (self.stop)(graceful);
    }

    /// Waits until a stopped listener has written all responses and its threads have
    /// ended.
    pub async fn wait_stopped(&self) {
        while !self.thread.is_finished() {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

/// Starts a listener on its own threads.
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
    if limits.max_head_size <= SMALL_READ_BUFFER_BYTES {
        run_server::<SMALL_READ_BUFFER_BYTES, _, _>(app, socket, limits, handler)
    } else if limits.max_head_size <= MEDIUM_READ_BUFFER_BYTES {
        run_server::<MEDIUM_READ_BUFFER_BYTES, _, _>(app, socket, limits, handler)
    } else {
        run_server::<LARGE_READ_BUFFER_BYTES, _, _>(app, socket, limits, handler)
    }
}

fn run_server<const READ_BUFFER_BYTES: usize, H, F>(
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
            let response = handle_request(&app, request, limits, handler).await;
            Ok::<_, Infallible>(http_response(response))
        }
    });
    let server = HttpServer::serve(service)
        .worker_threads(limits.workers)
        .disable_signal()
        .request_head_timeout(limits.head_timeout)
        .keep_alive_timeout(limits.idle_timeout)
        .max_read_buf_size::<READ_BUFFER_BYTES>()
        .max_write_buf_size::<MAX_WRITE_BUFFER_BYTES>()
        .max_request_headers::<MAX_PEER_HEADERS>()
        .listen(socket)?;
    let mut running = server.run();
    let handle = running.handle()?;
    let thread = std::thread::spawn(move || {
        // Returns once the workers have ended; they report their errors themselves.
        running.wait().ok();
    });
    Ok(Server {
        stop: Box::new(move |graceful| handle.stop(graceful)),
        thread,
    })
}

/// Checks the head, reads the body within the limits and calls the handler.
async fn handle_request<H, F>(
    app: &Arc<App>,
    request: Request<RequestExt<RequestBody>>,
    limits: Limits,
    handler: H,
) -> BufferedResponse
where
    H: Fn(Arc<App>, IncomingRequest) -> F,
    F: Future<Output = BufferedResponse>,
{
    // Counted before the body is read, because bodies use memory.
    let open = limits.limit_open_requests.then(|| app.open_request());
    if matches!(open, Some(None)) {
        return refuse(app, Code::TooManyRequests);
    }
    let mut memory = app.body_memory();
    match read_request(request, limits, &mut memory).await {
        Ok(incoming) => handler(Arc::clone(app), incoming).await,
        Err(code) => refuse(app, code),
    }
}

fn refuse(app: &App, code: Code) -> BufferedResponse {
    app.metrics.count_unparsed_refusal(code);
    let mut response = Refusal::from(code).to_response();
    // The rest of the body has not been read, so the connection cannot be reused.
    response.headers.insert(
        http::header::CONNECTION,
        http::HeaderValue::from_static("close"),
    );
    response
}

async fn read_request(
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
    // Checked first, because the head determines where the body ends.
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
    let mut buffer = BytesMut::new();
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| Code::BadRequest)?;
        if buffer.len() + chunk.len() > limit {
            return Err(Code::BodyTooLarge);
        }
        if !memory.grow(chunk.len()) {
            return Err(Code::TooManyRequests);
        }
        buffer.extend_from_slice(&chunk);
    }
    Ok(buffer.freeze())
}

fn http_response(buffered: BufferedResponse) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(buffered.body));
    *response.status_mut() = buffered.status;
    *response.headers_mut() = buffered.headers;
    response
}

/// Builds a response with a status and plain text.
pub fn plain_text(status: StatusCode, text: &str) -> BufferedResponse {
    let mut headers = HeaderMap::new();
    let content_type = http::HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(http::header::CONTENT_TYPE, content_type);
    BufferedResponse {
        status,
        headers,
        body: Bytes::copy_from_slice(text.as_bytes()),
    }
}
