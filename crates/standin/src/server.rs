//! Listener, connections and answers of the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::error::Error;
use crate::gate::{AdmittedConnection, Gate};

/// Largest request body, in bytes.
const MAX_BODY: usize = 16 << 20;

/// Whole answer.
pub type Reply = Response<Full<Bytes>>;

/// What a stand-in does with a request.
pub trait Service: Send + Sync + 'static {
    /// Answers a request. `Error::ResponseDropped` closes the connection without an answer;
    /// other errors become answers of their own.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, Error>> + Send;
}

/// A running stand-in. Dropping it stops the server and cuts its connections.
#[derive(Debug)]
pub struct Server<S> {
    address: SocketAddr,
    service: Arc<S>,
    task: JoinHandle<Infallible>,
}

impl<S> Server<S> {
    /// Address of the listener, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// State of the stand-in, for direct use in a test.
    pub fn service(&self) -> &Arc<S> {
        &self.service
    }

    /// Cuts all connections and frees the listener's port before it returns.
    pub async fn stop(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl<S> Drop for Server<S> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a server behind a gate.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start<S: Service>(
    listen: SocketAddr,
    service: S,
    gate: Arc<Gate>,
) -> Result<Server<S>, Error> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let service = Arc::new(service);
    let task = tokio::spawn(accept(listener, service.clone(), gate));
    Ok(Server {
        address,
        service,
        task,
    })
}

async fn accept<S: Service>(listener: TcpListener, service: Arc<S>, gate: Arc<Gate>) -> Infallible {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    // Without this, small answers may wait for an acknowledgement.
                    let _ = stream.set_nodelay(true);
                    let registered = gate.register();
                    let (service, gate) = (service.clone(), gate.clone());
                    connections.spawn(async move {
                        if let Some(entry) = gate.admit(stream, registered).await {
                            converse(entry, service, &gate).await;
                        }
                    });
                }
                // Out of descriptors: accepting again at once would spin.
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn converse<S: Service>(entry: AdmittedConnection, service: Arc<S>, gate: &Gate) {
    let connection = entry.connection();
    let handler = service_fn(move |request| exchange(service.clone(), request));
    let exchange = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(entry.stream), handler);
    AdmittedConnection::drive(gate, connection, entry.permit, exchange).await;
}

async fn exchange<S: Service>(service: Arc<S>, request: Request<Incoming>) -> Result<Reply, Error> {
    match service.handle(request).await {
        Err(Error::ResponseDropped) => Err(Error::ResponseDropped),
        Err(error @ Error::NotFound(_)) => Ok(text(404, &error.to_string())),
        Err(error) => Ok(text(400, &error.to_string())),
        Ok(reply) => Ok(reply),
    }
}

/// Plain text answer.
pub fn text(status: u16, text: &str) -> Reply {
    reply(status, "text/plain", Bytes::from(format!("{text}\n")))
}

/// JSON answer.
pub fn json(status: u16, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).expect("answers have string keys");
    reply(status, "application/json", Bytes::from(body))
}

fn reply(status: u16, kind: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = StatusCode::from_u16(status).expect("statuses are constants");
    let kind = header::HeaderValue::from_static(kind);
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// Reads a whole request body.
///
/// # Errors
///
/// The body is too large or breaks off.
pub async fn read_body(body: Incoming) -> Result<Bytes, Error> {
    let collected = Limited::new(body, MAX_BODY).collect().await;
    let collected = collected.map_err(|error| Error::Malformed(error.to_string()))?;
    Ok(collected.to_bytes())
}

/// Number in a query such as `from=7&max=100`, or `default` if it is absent.
///
/// # Errors
///
/// The parameter is not a number.
pub fn query_param<T: FromStr>(query: Option<&str>, name: &str, default: T) -> Result<T, Error> {
    let pairs = query.unwrap_or_default().split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    match pairs.find(|(key, _)| *key == name) {
        None => Ok(default),
        Some((_, value)) => {
            let malformed = |_| Error::Malformed(format!("{name} is not a number"));
            value.parse().map_err(malformed)
        }
    }
}

/// Address that lets the system choose a port on the loopback interface.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Binds `count` ports for TCP and UDP on the loopback interface, frees them
/// again and returns their numbers.
///
/// # Errors
///
/// A socket cannot be bound.
pub async fn free_ports(count: usize) -> Result<Vec<u16>, Error> {
    let mut held = Vec::new();
    while held.len() < count {
        let listener = TcpListener::bind(any_port()).await?;
        let address = listener.local_addr()?;
        // The port may be taken for UDP alone; the next one is tried then.
        if let Ok(socket) = tokio::net::UdpSocket::bind(address).await {
            held.push((listener, socket, address.port()));
        }
    }
    Ok(held.iter().map(|(_, _, port)| *port).collect())
}

/// Opens a connection with small packets sent at once.
pub(crate) async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
