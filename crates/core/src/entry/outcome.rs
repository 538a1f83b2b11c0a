//! What is known of the sends of one request, and which response that permits.
//!
//! A response that promises that the request has not run, and never will, is given only
//! while this is certain for each send: no byte of it was written, or the upstream has
//! said that it did not run it. In doubt a request may have run. A request that has
//! reached no upstream is never answered as if it might have run, since its caller could
//! not repeat it then.

use medlarreel_macros::data;

use crate::ids::Upstream;

/// How one send ended.
#[data(key)]
pub enum Ending {
    /// Nothing was written, since there is no connection or too little time is left.
    NotWritten,
    /// The upstream closed a new connection at once, as one does that is at its connection
    /// limit. Nothing was written.
    NotAccepted,
    /// The upstream has said that it did not run the request.
    NotExecuted,
    /// The upstream does not hold the key of the request and did not run it.
    NotOwner,
    /// The request was written, and there is no response that can be trusted.
    Doubtful,
    /// The upstream sent a complete, valid response.
    Answered,
}

/// What is known of the runs of a request.
#[data(key)]
pub enum Verdict {
    /// It has not run, and nothing is under way that could run it.
    NotRun,
    /// It may have run, or may still run.
    Unknown,
}

/// Why a request is answered without a response of an upstream.
#[data(key)]
pub enum Cause {
    /// It is refused, or not sent again after a failed send.
    GivenUp,
    /// Its deadline or the end of a shutdown has passed.
    Deadline,
}

/// Response that a request gets if no upstream's response can be passed on.
#[data(key)]
pub enum Reply {
    /// The request has not run and will not run.
    Refusal,
    /// The request may have run; sending it failed.
    Failure,
    /// The request may have run; there was no response in time.
    Timeout,
}

/// Where the current send is.
#[data(key)]
#[derive(Default)]
enum Stage {
    /// No send is under way, or nothing of it has been written yet.
    #[default]
    Unwritten,
    /// The request may have been written, and its response is awaited.
    Written,
}

/// Sends of one request so far.
#[data(plain)]
#[derive(Default)]
pub struct Progress {
    stage: Stage,
    /// Whether an earlier send may have run without a usable response.
    is_doubtful: bool,
    tried: Vec<Upstream>,
    arrivals: u32,
    refused_by_owner: u32,
    connect_failures: u32,
    closed_connects: u32,
}

impl Progress {
    /// Records that the request is about to be written to an upstream. From now on it may
    /// run, whatever becomes of the connection.
    pub fn begin_write(&mut self, upstream: Upstream) {
        self.stage = Stage::Written;
        self.arrivals += 1;
        if !self.tried.contains(&upstream) {
            self.tried.push(upstream);
        }
    }

    /// Records how the current send has ended. One that was begun and that the connection
    /// has handed back unwritten ends as `NotWritten`.
    pub fn end(&mut self, ending: Ending) {
        let was_written = self.stage == Stage::Written;
        self.stage = Stage::Unwritten;
        match ending {
            Ending::NotWritten => {
                self.connect_failures += 1;
                self.arrivals -= u32::from(was_written);
            }
            Ending::NotAccepted => self.closed_connects += 1,
            Ending::NotOwner => self.refused_by_owner += 1,
            Ending::Doubtful => self.is_doubtful = true,
            Ending::NotExecuted | Ending::Answered => {}
        }
    }

    /// What is known of the runs of the request.
    pub fn verdict(&self) -> Verdict {
        match self.stage == Stage::Written || self.is_doubtful {
            true => Verdict::Unknown,
            false => Verdict::NotRun,
        }
    }

    /// Response that the request gets if it ends now for `cause`.
    pub fn reply(&self, cause: Cause) -> Reply {
        match (self.verdict(), cause) {
            (Verdict::NotRun, _) => Reply::Refusal,
            (Verdict::Unknown, Cause::GivenUp) => Reply::Failure,
            (Verdict::Unknown, Cause::Deadline) => Reply::Timeout,
        }
    }

    /// Upstreams that the request was written to.
    pub fn tried(&self) -> &[Upstream] {
        &self.tried
    }

    /// Number of times that the request was written to an upstream.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Number of times that it was written to an upstream that may have run it: all but
    /// those that did not hold its key.
    pub fn attempts(&self) -> u32 {
        self.arrivals - self.refused_by_owner
    }

    /// Number of sends before which no connection was established.
    pub fn connect_failures(&self) -> u32 {
        self.connect_failures
    }

    /// Number of new connections that an upstream has closed at once.
    pub fn closed_connects(&self) -> u32 {
        self.closed_connects
    }
}
