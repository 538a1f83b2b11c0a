//! Detection of silent connections.
//!
//! An exchange without an answer may be slow work, a stopped upstream, or a
//! connection that has gone silent. They are told apart by asking the upstream
//! on a fresh connection how many requests it runs: if it repeatedly names
//! fewer than this dispatcher has open, some requests or their answers are
//! stuck on the way. No request is sent meanwhile, since requests that come and
//! go would hide the ones that are missing. `docs/limits.md` says what this
//! cannot find.

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

/// Time without an answer after which the upstream is asked.
const QUIET: Duration = Duration::from_millis(500);

/// Time between two questions, and between looks at whether one is due.
const PAUSE: Duration = Duration::from_millis(50);

/// Time without new requests before the upstream is asked: quick requests end,
/// and those just sent arrive.
const SETTLE: Duration = Duration::from_millis(25);

/// Time after the report in which answers that were on their way arrive.
const ARRIVAL: Duration = Duration::from_millis(20);

/// Time until an exchange that the upstream has accounted for is checked again.
/// At most 3% of the time is spent without new requests then.
const RECHECK: Duration = Duration::from_secs(1);

/// The same where the report counted requests that are not known here.
const RECHECK_UNCLEAR: Duration = Duration::from_millis(300);

/// Longest wait for the upstream's state.
const ASK_LIMIT: Duration = Duration::from_millis(100);

/// Largest state that is read, in bytes; it lists the shards held.
const MAX_STATE: usize = 1024 * 1024;

/// Consecutive answers that must miss a request.
const MISSES: u32 = 2;

/// Open exchanges of one upstream.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    state: Mutex<State>,
    asking: AtomicBool,
}

#[derive(Debug, Default)]
struct State {
    open: HashMap<u64, Open>,
    next: u64,
    /// Requests that the last report missed.
    missing: usize,
}

#[derive(Debug)]
struct Open {
    /// When the request was sent; `None` before.
    sent: Option<Instant>,
    /// Whether a report has accounted for it once. Such an exchange is given up
    /// only after those that were never seen.
    seen: bool,
    /// When it is checked next; `None` until it is sent.
    due: Option<Instant>,
    /// Consecutive reports that named too few requests.
    misses: u32,
    give_up: oneshot::Sender<()>,
}

/// State of an upstream, as far as it is used here.
#[derive(Deserialize)]
struct Report {
    in_flight: usize,
}

/// An exchange that counts as open until dropped.
struct Entry<'a> {
    silence: &'a SilenceDetector,
    id: u64,
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.silence.lock().open.remove(&self.id);
    }
}

/// Right to ask; one exchange asks for all.
struct Asking<'a>(&'a AtomicBool);

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Pauses or resumes the start of new requests.
pub type PauseFn<'a> = &'a (dyn Fn(bool) + Sync);

/// No request is started while this exists.
struct Paused<'a>(PauseFn<'a>);

impl<'a> Paused<'a> {
    fn new(gate: PauseFn<'a>) -> Paused<'a> {
        gate(true);
        Paused(gate)
    }
}

impl Drop for Paused<'_> {
    fn drop(&mut self) {
        (self.0)(false);
    }
}

impl SilenceDetector {
    /// Exchanges without an answer yet.
    pub fn in_flight(&self) -> usize {
        self.lock().open.len()
    }

    /// Sends a request and reads the answer, unless the connection goes silent.
    ///
    /// # Errors
    ///
    /// As `Pool::exchange_if`, and `ExchangeError::Silent`; the request may have run
    /// then.
    pub async fn exchange(
        &self,
        pool: &Pool,
        request: Request<Full<Bytes>>,
        time: Duration,
        max_body: usize,
        check: SendCheck<'_>,
        gate: PauseFn<'_>,
    ) -> Result<BufferedResponse, ExchangeError> {
        let (entry, given_up) = self.enter();
        let check = || check() && self.sent(entry.id);
        tokio::select! {
            biased;
            outcome = pool.exchange_if(request, time, max_body, &check) => outcome,
            _ = given_up => {
                // Connections opened before may share the fault.
                pool.close_idle();
                Err(ExchangeError::Silent)
            }
            () = self.watch(pool, entry.id, gate) => Err(ExchangeError::Silent),
        }
    }

    fn enter(&self) -> (Entry<'_>, oneshot::Receiver<()>) {
        let (give_up, given_up) = oneshot::channel();
        let mut state = self.lock();
        state.next += 1;
        let id = state.next;
        let open = Open {
            sent: None,
            seen: false,
            due: None,
            misses: 0,
            give_up,
        };
        state.open.insert(id, open);
        drop(state);
        (Entry { silence: self, id }, given_up)
    }

    /// Notes that the request is about to be sent; false if it was given up.
    fn sent(&self, id: u64) -> bool {
        match self.lock().open.get_mut(&id) {
            Some(open) => {
                let now = Instant::now();
                open.sent = Some(now);
                open.due = Some(now + QUIET);
                true
            }
            None => false,
        }
    }

    /// Asks the upstream while the exchange has no answer. Does not end.
    async fn watch(&self, pool: &Pool, id: u64, gate: PauseFn<'_>) {
        tokio::time::sleep(QUIET).await;
        loop {
            if self.is_due(id)
                && let Some(_asking) = self.ask_alone()
            {
                self.check(pool, gate).await;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn check(&self, pool: &Pool, gate: PauseFn<'_>) {
        let settled = Instant::now();
        let paused = Paused::new(gate);
        tokio::time::sleep(SETTLE).await;
        let reported = ask(pool).await;
        drop(paused);
        if let Some(reported) = reported {
            tokio::time::sleep(ARRIVAL).await;
            self.judge(settled, reported);
        }
    }

    fn is_due(&self, id: u64) -> bool {
        let state = self.lock();
        let due = state.open.get(&id).and_then(|open| open.due);
        due.is_some_and(|due| Instant::now() >= due)
    }

    fn ask_alone(&self) -> Option<Asking<'_>> {
        let busy = self.asking.swap(true, Ordering::AcqRel);
        (!busy).then(|| Asking(&self.asking))
    }

    /// Compares the exchanges that were sent before `settled` and are still open
    /// with what the upstream has reported.
    fn judge(&self, settled: Instant, reported: usize) {
        let now = Instant::now();
        let mut state = self.lock();
        let certain = state.compare(now, settled, reported);
        for id in state.stuck(now, settled, certain) {
            if let Some(open) = state.open.remove(&id) {
                state.missing -= 1;
                // The exchange may have ended meanwhile.
                open.give_up.send(()).ok();
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
    /// Notes a report and returns how many exchanges the last two have missed.
    fn compare(&mut self, now: Instant, settled: Instant, reported: usize) -> usize {
        let open = self.open.values_mut();
        let mut open: Vec<_> = open.filter(|open| open.before(settled)).collect();
        let missing = open.len().saturating_sub(reported);
        let recheck = match open.len() == reported {
            true => RECHECK,
            false if missing > 0 => PAUSE,
            false => RECHECK_UNCLEAR,
        };
        for open in &mut open {
            open.misses = if missing > 0 { open.misses + 1 } else { 0 };
            open.seen |= open.misses == 0;
            open.due = open.due.max(Some(now + recheck));
        }
        missing.min(std::mem::replace(&mut self.missing, missing))
    }

    /// The `count` exchanges that are most likely stuck, as far as they are quiet.
    fn stuck(&self, now: Instant, settled: Instant, count: usize) -> Vec<u64> {
        let open = self.open.iter().filter(|(_, open)| open.before(settled));
        let mut order: Vec<_> = open.map(|(id, open)| (open.seen, open.sent, *id)).collect();
        order.sort_unstable();
        order.truncate(count);
        let quiet = |id: &u64| {
            let open = &self.open[id];
            open.misses >= MISSES && open.sent.is_some_and(|sent| now >= sent + QUIET)
        };
        order.into_iter().map(|(.., id)| id).filter(quiet).collect()
    }
}

impl Open {
    fn before(&self, time: Instant) -> bool {
        self.sent.is_some_and(|sent| sent < time)
    }
}

/// Requests in flight as the upstream reports them; `None` without an answer.
async fn ask(pool: &Pool) -> Option<usize> {
    // Upstreams that take no grants report their load elsewhere.
    for path in ["/medlar/grant", "/medlar/load"] {
        let host = pool.address().to_string();
        let request = Request::get(path).header(http::header::HOST, host);
        let request = request.body(Full::default()).ok()?;
        let answer = pool.exchange_once(request, ASK_LIMIT, MAX_STATE).await;
        let answer = answer.ok()?;
        if answer.status == StatusCode::OK {
            let report: Report = serde_json::from_slice(&answer.body).ok()?;
            return Some(report.in_flight);
        }
        if answer.status != StatusCode::NOT_FOUND {
            return None;
        }
    }
    None
}
