//! Leave to send suspected requests, which the leader gives to one instance at a time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::suspects::Fingerprint;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::peers::{self, Message};
use crate::state::State;

/// Time after which a request for leave is repeated, since messages may be lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of times that leave is requested. If there is no reply, the leader is lost, and the
/// request is sent without its leave, but only one at a time at this instance.
const MAX_REQUESTS: u32 = 3;

/// Interval at which a request that waits for the trial of another one is looked at again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Only request of its kind that this instance sends or asks leave for, until it is dropped.
pub struct Trial {
    state: Rc<State>,
    fingerprint: Fingerprint,
    has_leave: bool,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let mut pending = self.state.local_trials.pending.borrow_mut();
        pending.remove(&self.fingerprint);
        drop(pending);
        if !self.has_leave {
            return;
        }
        self.state.suspects_changed.notify_waiters();
        // It may be dropped outside of a task, so that the end is reported by another one.
        let mut outbox = self.state.crash_outbox.borrow_mut();
        outbox.ended_trials.push(self.fingerprint);
        self.state.crash_news.notify_one();
    }
}

/// Reports to the leader that this instance no longer sends a suspected request. A crash is
/// reported first: it ends the trial as well.
pub(super) async fn report_end(state: &State, socket: &UdpSocket, fingerprint: Fingerprint) {
    tokio::time::sleep(super::PROBE_TIMEOUT).await;
    match state.leader_address() {
        Some(leader) => peers::send(socket, leader, &Message::TrialEnd { fingerprint }).await,
        None => end(state, fingerprint, state.settings.borrow().peers),
    }
}

/// Whether a request may be sent now.
pub enum Clearance {
    /// It is not suspected.
    Clear,
    /// It is suspected, but no other one like it is being sent.
    Trial(Trial),
    /// Another one like it is being sent.
    Busy,
}

/// Finds out whether a request may be sent now. Waits until it is known whether an upstream
/// has ended under it, if a connection has.
pub async fn clear(state: &Rc<State>, fingerprint: impl Fn() -> Fingerprint) -> Clearance {
    loop {
        let changed = state.suspects_changed.notified();
        if !state.is_investigated(&fingerprint) {
            break;
        }
        changed.await;
    }
    if state.suspects.borrow().is_empty() || !state.suspects.borrow().is_suspect(fingerprint()) {
        return Clearance::Clear;
    }
    let fingerprint = fingerprint();
    {
        let mut pending = state.local_trials.pending.borrow_mut();
        if pending.contains_key(&fingerprint) {
            return Clearance::Busy;
        }
        pending.insert(fingerprint, None);
    }
    let mut trial = Trial {
        state: Rc::clone(state),
        fingerprint,
        has_leave: false,
    };
    trial.has_leave = request_leave(state, fingerprint).await;
    if !trial.has_leave {
        return Clearance::Busy;
    }
    tracing::info!(%fingerprint, "suspected request sent on trial");
    Clearance::Trial(trial)
}

async fn request_leave(state: &Rc<State>, fingerprint: Fingerprint) -> bool {
    let own_address = state.settings.borrow().peers;
    if state.leadership.borrow().epoch().is_some() {
        return begin(state, fingerprint, own_address);
    }
    let Some(socket) = state.trial_socket.borrow().clone() else {
        return true;
    };
    for _ in 0..MAX_REQUESTS {
        let Some(leader) = state.leader_address() else {
            return true;
        };
        let (sender, receiver) = oneshot::channel();
        state
            .local_trials
            .pending
            .borrow_mut()
            .insert(fingerprint, Some(sender));
        peers::send(&socket, leader, &Message::TrialRequest { fingerprint }).await;
        if let Ok(Ok(granted)) = tokio::time::timeout(REPLY_TIMEOUT, receiver).await {
            return granted;
        }
    }
    true
}

/// Gives an instance leave to send a suspected request, as the leader.
pub fn begin(state: &State, fingerprint: Fingerprint, instance: SocketAddr) -> bool {
    let now = state.clock.now();
    let mut trials = state.trials.borrow_mut();
    trials.begin(now, fingerprint, instance)
}

/// Records that a trial of an instance has ended, as the leader.
pub fn end(state: &State, fingerprint: Fingerprint, instance: SocketAddr) {
    state.trials.borrow_mut().end_of(fingerprint, instance);
}

/// Handles the leader's reply to a request for leave.
pub fn receive_reply(state: &State, fingerprint: Fingerprint, granted: bool) {
    let mut pending = state.local_trials.pending.borrow_mut();
    let waiting = pending.get_mut(&fingerprint).and_then(Option::take);
    if let Some(waiting) = waiting {
        // The receiver may have timed out meanwhile and asked again.
        waiting.send(granted).ok();
    }
}

impl State {
    /// Waits until the trial of another request may have ended.
    pub async fn wait_for_trial(&self) {
        let changed = self.suspects_changed.notified();
        tokio::time::timeout(RETRY_INTERVAL, changed).await.ok();
    }

    /// Whether it is not known yet if an upstream has ended under a request.
    fn is_investigated(&self, fingerprint: impl Fn() -> Fingerprint) -> bool {
        let lost = self.lost_connections.borrow();
        !lost.is_empty() && {
            let fingerprint = fingerprint();
            lost.values()
                .any(|requests| requests.contains(&fingerprint))
        }
    }
}
