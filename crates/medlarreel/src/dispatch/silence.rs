//! Detection of silent connections.
//!
//! An exchange without a response may mean slow work, a stopped upstream, or a
//! connection that has gone silent: still open, but no longer delivering data. To
//! distinguish these cases, the detector probes the upstream: it queries the number
//! of requests in flight there, on a new connection. If the upstream repeatedly
//! reports fewer than this dispatcher has open, some requests or their responses are
//! stuck on the way. No new request is started during a probe, because requests that
//! start and finish would mask the missing ones. `docs/limits.md` lists the cases
//! that this method cannot detect.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use tokio::sync::oneshot;

use super::pool::{BufferedResponse, ExchangeError, Pool, SendCheck};

/// Time without a response after which the upstream is probed.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Interval between two probes, and between checks of whether one is due.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Time without new requests before the upstream is probed. It lets short requests
/// finish and requests that were just sent arrive.
const SETTLE_TIME: Duration = Duration::from_millis(25);

/// Wait after a report, so that responses that were already on their way can arrive.
const ARRIVAL_GRACE: Duration = Duration::from_millis(20);

/// Time until an exchange that the upstream has accounted for is checked again. At
/// this interval, `SETTLE_TIME` pauses new requests for less than 3% of the time.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// As `RECHECK_INTERVAL`, for a report that counts more requests than are open here.
const UNCLEAR_RECHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of the query of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum size of a report, which also lists the shards of the upstream.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// Consecutive reports that must be short of requests before an exchange is aborted.
const REQUIRED_MISSES: u32 = 2;

/// Tracks the open exchanges of one upstream and aborts those on silent connections.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    state: Mutex<State>,
    probing: AtomicBool,
}

#[derive(Debug, Default)]
struct State {
    exchanges: HashMap<u64, Exchange>,
    next_id: u64,
    /// By how many the open exchanges exceeded the number in the last report, less those
    /// aborted since.
    missing: usize,
}

#[derive(Debug)]
struct Exchange {
    /// When the request was sent; `None` before that.
    sent_at: Option<Instant>,
    /// Whether some report counted at least as many requests as were open here, and so
    /// accounted for the exchange. Exchanges without such a report are aborted first.
    accounted_for: bool,
    /// When the exchange is checked next; `None` until the request is sent.
    next_check: Option<Instant>,
    /// Number of consecutive reports that counted too few requests.
    misses: u32,
    abort: oneshot::Sender<()>,
}

/// Load report of an upstream; other fields are ignored.
#[derive(Deserialize)]
struct Report {
    in_flight: usize,
}

/// Guard of an open exchange, which is deregistered on drop.
struct ExchangeGuard<'a> {
    detector: &'a SilenceDetector,
    id: u64,
}

impl Drop for ExchangeGuard<'_> {
    fn drop(&mut self) {
        self.detector.lock().exchanges.remove(&self.id);
    }
}

/// Exclusive right to probe: one exchange probes on behalf of all.
struct ProbeGuard<'a>(&'a AtomicBool);

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Callback that pauses (`true`) or resumes (`false`) the start of new requests.
pub type PauseFn<'a> = &'a (dyn Fn(bool) + Sync);

/// Guard that prevents the start of new requests until dropped.
struct PauseGuard<'a>(PauseFn<'a>);

impl<'a> PauseGuard<'a> {
    fn new(pause: PauseFn<'a>) -> PauseGuard<'a> {
        pause(true);
        PauseGuard(pause)
    }
}

impl Drop for PauseGuard<'_> {
    fn drop(&mut self) {
        (self.0)(false);
    }
}

impl SilenceDetector {
    /// Returns the number of exchanges that have no response yet.
    pub fn in_flight(&self) -> usize {
        self.lock().exchanges.len()
    }

    /// Sends a request and reads the response, unless the connection goes silent.
    ///
    /// # Errors
    ///
    /// As `Pool::exchange_if`, and `ExchangeError::Silent`, after which the request
    /// may have run.
    pub async fn exchange(
        &self,
        pool: &Pool,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_body: usize,
        check: SendCheck<'_>,
        pause: PauseFn<'_>,
    ) -> Result<BufferedResponse, ExchangeError> {
        let (guard, aborted) = self.register();
        let check = || check() && self.mark_sent(guard.id);
        tokio::select! {
            biased;
            outcome = pool.exchange_if(request, timeout, max_body, &check) => outcome,
            _ = aborted => {
                // Other connections opened earlier may have the same fault.
                pool.close_idle();
                Err(ExchangeError::Silent)
            }
            () = self.probe_when_due(pool, guard.id, pause) => Err(ExchangeError::Silent),
        }
    }

    fn register(&self) -> (ExchangeGuard<'_>, oneshot::Receiver<()>) {
        let (abort, aborted) = oneshot::channel();
        let mut state = self.lock();
        state.next_id += 1;
        let id = state.next_id;
        let exchange = Exchange {
            sent_at: None,
            accounted_for: false,
            next_check: None,
            misses: 0,
            abort,
        };
        state.exchanges.insert(id, exchange);
        drop(state);
        (ExchangeGuard { detector: self, id }, aborted)
    }

    /// Records that the request is about to be sent; false if it has been aborted.
    fn mark_sent(&self, id: u64) -> bool {
        match self.lock().exchanges.get_mut(&id) {
            Some(exchange) => {
                let now = Instant::now();
                exchange.sent_at = Some(now);
                exchange.next_check = Some(now + QUIET_TIME);
                true
            }
            None => false,
        }
    }

    /// Probes the upstream whenever a check of the exchange is due. Never returns.
    async fn probe_when_due(&self, pool: &Pool, id: u64, pause: PauseFn<'_>) {
        tokio::time::sleep(QUIET_TIME).await;
        loop {
            if self.is_check_due(id)
                && let Some(_guard) = self.try_start_probe()
            {
                self.probe(pool, pause).await;
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    async fn probe(&self, pool: &Pool, pause: PauseFn<'_>) {
        let cutoff = Instant::now();
        let guard = PauseGuard::new(pause);
        tokio::time::sleep(SETTLE_TIME).await;
        let reported = query_in_flight(pool).await;
        drop(guard);
        if let Some(reported) = reported {
            tokio::time::sleep(ARRIVAL_GRACE).await;
            self.abort_stuck(cutoff, reported);
        }
    }

    fn is_check_due(&self, id: u64) -> bool {
        let state = self.lock();
        let due = state
            .exchanges
            .get(&id)
            .and_then(|exchange| exchange.next_check);
        due.is_some_and(|due| Instant::now() >= due)
    }

    fn try_start_probe(&self) -> Option<ProbeGuard<'_>> {
        let busy = self.probing.swap(true, Ordering::AcqRel);
        (!busy).then(|| ProbeGuard(&self.probing))
    }

    /// Compares the number of open exchanges sent before `cutoff` with the number that
    /// the upstream reported, and aborts the exchanges that are stuck.
    fn abort_stuck(&self, cutoff: Instant, reported: usize) {
        let now = Instant::now();
        let mut state = self.lock();
        let confirmed = state.record_report(now, cutoff, reported);
        for id in state.stuck_exchanges(now, cutoff, confirmed) {
            if let Some(exchange) = state.exchanges.remove(&id) {
                state.missing -= 1;
                // The exchange may have finished in the meantime.
                exchange.abort.send(()).ok();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    /// Records the number of requests in flight that the upstream reported. Returns by
    /// how many the open exchanges sent before `cutoff` exceed that number, or the excess
    /// over the previous report if that was smaller.
    fn record_report(&mut self, now: Instant, cutoff: Instant, reported: usize) -> usize {
        let open = self.exchanges.values_mut();
        let mut open: Vec<_> = open
            .filter(|exchange| exchange.sent_before(cutoff))
            .collect();
        let missing = open.len().saturating_sub(reported);
        let recheck = match open.len() == reported {
            true => RECHECK_INTERVAL,
            false if missing > 0 => PROBE_INTERVAL,
            false => UNCLEAR_RECHECK_INTERVAL,
        };
        for exchange in &mut open {
            exchange.misses = if missing > 0 { exchange.misses + 1 } else { 0 };
            exchange.accounted_for |= exchange.misses == 0;
            exchange.next_check = exchange.next_check.max(Some(now + recheck));
        }
        missing.min(std::mem::replace(&mut self.missing, missing))
    }

    /// Takes the `count` exchanges most likely to be stuck, those that no report has
    /// accounted for first, then the oldest. Returns those among them that have had
    /// `REQUIRED_MISSES` and have been without a response for `QUIET_TIME`.
    fn stuck_exchanges(&self, now: Instant, cutoff: Instant, count: usize) -> Vec<u64> {
        let open = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.sent_before(cutoff));
        let mut order: Vec<_> = open
            .map(|(id, exchange)| (exchange.accounted_for, exchange.sent_at, *id))
            .collect();
        order.sort_unstable();
        order.truncate(count);
        let quiet = |id: &u64| {
            let exchange = &self.exchanges[id];
            exchange.misses >= REQUIRED_MISSES
                && exchange
                    .sent_at
                    .is_some_and(|sent| now >= sent + QUIET_TIME)
        };
        order.into_iter().map(|(.., id)| id).filter(quiet).collect()
    }
}

impl Exchange {
    fn sent_before(&self, time: Instant) -> bool {
        self.sent_at.is_some_and(|sent| sent < time)
    }
}

/// Queries the upstream's number of requests in flight; `None` without a valid response.
async fn query_in_flight(pool: &Pool) -> Option<usize> {
    // Upstreams that do not accept grants report their load on the second path.
    for path in ["/medlar/grant", "/medlar/load"] {
        let host = pool.address().to_string();
        let request = Request::get(path).header(http::header::HOST, host);
        let request = request.body(Full::default()).ok()?;
        let response = pool
            .exchange_once(request, PROBE_TIMEOUT, MAX_REPORT_BYTES)
            .await;
        let response = response.ok()?;
        if response.status == StatusCode::OK {
            let report: Report = serde_json::from_slice(&response.body).ok()?;
            return Some(report.in_flight);
        }
        if response.status != StatusCode::NOT_FOUND {
            return None;
        }
    }
    None
}
