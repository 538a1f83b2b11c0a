//! Startup and graceful shutdown of one instance.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Context, Result};
use http::HeaderValue;
use medlarreel_core::ids::Instance;
use medlarreel_core::record::Member;

use crate::app::App;
use crate::clock::Clock;
use crate::control::{self, Handle, Setup};
use crate::dispatch::BufferedResponse;
use crate::listen::{
    self, IncomingRequest, Limits, MAX_HEADERS, MAX_PEER_HEAD_OVERHEAD_BYTES, MAX_PEER_HEADERS,
    Server,
};
use crate::operators::OperatorApi;
use crate::peers;
use crate::platform::grants::HttpGrantClient;
use crate::platform::list::HttpUpstreamList;
use crate::platform::log::HttpLog;
use crate::proxy;
use crate::settings::Settings;

/// Threads that serve peers, in addition to those that serve callers.
const PEER_WORKER_THREADS: usize = 2;

/// Largest request body on the callers' and peers' listeners, in bytes. It equals the
/// largest `max_body` of a preset; the limit of the service is checked later.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Largest request body on the operators' listener, in bytes.
const MAX_OPERATOR_BODY_BYTES: usize = 256 * 1024;

/// Largest request head on the operators' listener, in bytes.
const MAX_OPERATOR_HEAD_BYTES: usize = 16 * 1024;

/// Timeout for receiving a request body, and for a head from a peer or operator.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which open requests are counted during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time that the instance keeps serving after it reports not ready, so that the load
/// balancer notices.
const READINESS_GRACE: Duration = Duration::from_millis(500);

/// Time that peers may still forward requests after the leases are handed over.
/// Without it, requests that arrive while the connections close are lost.
const PEER_FORWARD_GRACE: Duration = Duration::from_millis(500);

/// Timeout for writing the last responses once all requests have ended.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Exit code of a shutdown that was forced, exceeded the drain time or cut off requests.
pub const EXIT_REQUESTS_CUT_OFF: i32 = 3;

/// A running instance.
pub struct Daemon {
    app: Arc<App>,
    control: Handle,
    caller_server: Server,
    peer_server: Server,
    drain_timeout: Duration,
}

impl Daemon {
    /// Opens the listeners and starts all threads.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound, a secret is unusable or a thread cannot be started.
    pub fn start(settings: &Settings) -> Result<Daemon> {
        let clock = Clock::start();
        // Instance ids are sent as JSON numbers, which are exact only below 2^53.
        let instance_id = Instance(rand::random::<u64>() >> 11);
        let secret = settings.security.cluster_secret.expose().to_owned();
        let token = peer_token(&secret).wrap_err("the cluster secret cannot be used")?;
        let home_club = settings.instance.club.clone();
        let domain = settings.instance.domain.clone();
        let max_open_requests = settings.limits.open_requests;
        let app = Arc::new(App::new(
            instance_id,
            home_club.clone(),
            domain.clone(),
            clock,
            token,
            max_open_requests,
        ));
        let member = Member {
            instance: instance_id,
            club: home_club,
            domain,
            peers: settings.listen.peers,
        };
        let peer_socket = bind_udp(settings.listen.peers)?;
        let control = control::start(Setup {
            member,
            app: Arc::clone(&app),
            log: Arc::new(HttpLog::new(
                &http_url(settings.platform.log),
                &settings.platform.stream,
            )),
            list: Arc::new(HttpUpstreamList::new(&http_url(settings.platform.list))),
            grant_client: Arc::new(HttpGrantClient::new()),
            secret: Bytes::from(secret),
            socket: peer_socket,
        })?;
        let caller_server = serve_callers(&app, settings)?;
        let peer_server = serve_peers(&app, settings)?;
        serve_operators(&app, settings, control.clone())?;
        tracing::info!(instance = instance_id.0, callers = %settings.listen.callers, "instance started");
        Ok(Daemon {
            app,
            control,
            caller_server,
            peer_server,
            drain_timeout: settings.limits.drain,
        })
    }

    /// State shared by the threads of this instance.
    pub fn app(&self) -> &Arc<App> {
        &self.app
    }

    /// Shuts the instance down gracefully and returns the exit code.
    ///
    /// Withdraws readiness, hands over leases and control, and waits for requests in
    /// flight to finish, at most for the drain time. Completion of `force` ends the wait
    /// early. The exit code is 0 or `EXIT_REQUESTS_CUT_OFF`.
    pub async fn stop(self, force: impl Future<Output = ()>) -> i32 {
        tracing::info!(open = self.app.open_requests(), "shutdown started");
        self.app.withdraw_readiness();
        let graceful_stop = async {
            tokio::time::sleep(READINESS_GRACE).await;
            self.app.refuse_new_requests();
            self.control.stop().await;
            while self.app.open_requests() > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
            tokio::time::sleep(PEER_FORWARD_GRACE).await;
            while self.app.open_requests() > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
            // Connections to upstreams run on the threads of the listener that opened
            // them, and forwarded requests may use them too. Both servers therefore
            // stop only when no request is open.
            self.caller_server.stop(true);
            self.peer_server.stop(true);
            let servers_stopped = async {
                self.caller_server.wait_stopped().await;
                self.peer_server.wait_stopped().await;
            };
            // Idle connections may keep the threads alive; their responses are already
            // written, so the timeout is ignored.
            tokio::time::timeout(FINAL_WRITE_TIMEOUT, servers_stopped)
                .await
                .ok();
        };
        let finished = tokio::select! {
            outcome = tokio::time::timeout(self.drain_timeout, graceful_stop) => outcome.is_ok(),
            () = force => false,
        };
        self.peer_server.stop(false);
        let cut_off = self.app.open_requests();
        tracing::info!(cut_off, "shutdown finished");
        if finished && cut_off == 0 {
            0
        } else {
            EXIT_REQUESTS_CUT_OFF
        }
    }
}

fn http_url(address: SocketAddr) -> String {
    format!("http://{address}")
}

/// Derives the peer token, so that the secret itself is never sent.
fn peer_token(secret: &str) -> Result<HeaderValue> {
    let token = medlarreel_core::wire::token::peer_token(secret.as_bytes());
    Ok(HeaderValue::try_from(token)?)
}

fn bind_udp(address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address).wrap_err_with(|| format!("cannot open UDP {address}"))
}

fn bind_tcp(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("cannot listen on {address}"))
}

fn serve_callers(app: &Arc<App>, settings: &Settings) -> Result<Server> {
    let limits = Limits {
        workers: usize::from(settings.limits.workers),
        head_timeout: settings.limits.head_timeout,
        body_timeout: BODY_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        max_body: MAX_BODY_BYTES,
        max_head_size: settings.limits.head_size as usize,
        max_headers: MAX_HEADERS,
        limit_open_requests: true,
    };
    let socket = bind_tcp(settings.listen.callers)?;
    Ok(listen::start(
        Arc::clone(app),
        socket,
        limits,
        handle_caller_request,
    )?)
}

async fn handle_caller_request(app: Arc<App>, incoming: IncomingRequest) -> BufferedResponse {
    proxy::serve(&app, incoming.head(), incoming.body.clone()).await
}

fn serve_peers(app: &Arc<App>, settings: &Settings) -> Result<Server> {
    let limits = Limits {
        workers: PEER_WORKER_THREADS,
        head_timeout: BODY_TIMEOUT,
        body_timeout: BODY_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        max_body: MAX_BODY_BYTES,
        max_head_size: settings.limits.head_size as usize + MAX_PEER_HEAD_OVERHEAD_BYTES,
        max_headers: MAX_PEER_HEADERS,
        limit_open_requests: false,
    };
    let socket = bind_tcp(settings.listen.peers)?;
    Ok(listen::start(
        Arc::clone(app),
        socket,
        limits,
        peers::serve,
    )?)
}

fn serve_operators(app: &Arc<App>, settings: &Settings, control: Handle) -> Result<Server> {
    let limits = Limits {
        workers: 1,
        head_timeout: BODY_TIMEOUT,
        body_timeout: BODY_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        max_body: MAX_OPERATOR_BODY_BYTES,
        max_head_size: MAX_OPERATOR_HEAD_BYTES,
        max_headers: MAX_HEADERS,
        limit_open_requests: false,
    };
    let token = settings.security.operator_token.expose().into();
    let operators = OperatorApi { control, token };
    let socket = bind_tcp(settings.listen.operators)?;
    let handler = move |app, incoming| operators.clone().serve(app, incoming);
    Ok(listen::start(Arc::clone(app), socket, limits, handler)?)
}
