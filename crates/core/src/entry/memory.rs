//! Budget of the memory that bodies and connections of callers hold.
//!
//! What is held for callers is bounded by one figure, whichever stage it is in: request
//! bodies that arrive, wait or are in flight, responses that arrive from upstreams, and
//! responses that callers are reading. A holder takes bytes as they arrive, so a body that
//! is announced and never sent takes none.
//!
//! When the budget is full, the holders that make least progress are evicted, which closes
//! their connections: first bodies that stall and responses that nobody reads. Bodies of
//! requests that wait or are in flight are never evicted, since those requests may run; they
//! end by their deadlines. Parts of the budget are kept from large request bodies and from
//! large responses, so that small requests are served while those have used theirs.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarreel_macros::data;

use crate::time::Time;

/// Size up to which a body is small, in bytes. Ordinary requests and their responses have a
/// few kilobytes.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Memory of the process itself that bodies never use, in bytes: the program, its view of a
/// fleet, its buffers for logs and for connections to upstreams.
const PROCESS_BYTES: u64 = 16_000_000;

/// Divisor of the memory that is kept besides for what grows with the size of the machine,
/// such as the number of requests and the gaps that the allocator leaves.
const PROCESS_DIVISOR: u64 = 10;

/// Divisor of the part of the budget that large request bodies don't use. What remains on a
/// machine of 120 MB holds a body of 64 MiB.
const REQUEST_RESERVE_DIVISOR: usize = 8;

/// Divisor of the part of the budget that large responses don't use. What remains on a
/// machine of 120 MB holds a body of 64 MiB and a response of 16 MiB.
const RESPONSE_RESERVE_DIVISOR: usize = 16;

/// Time after which a holder without progress counts as stalled, and before which its rate
/// is not judged. A lost packet is sent again after 200 ms to 1 s.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Identifier of a holder of memory.
#[data(key)]
pub struct Holder(u64);

/// What a holder holds memory for.
#[data(key)]
pub enum Stage {
    /// A request body that arrives from a caller.
    Reading,
    /// A request body that is complete; the request waits or is in flight.
    Kept,
    /// A response that arrives from an upstream.
    Receiving,
    /// A response that a caller reads.
    Writing,
}

/// Answer to a holder that needs more memory.
#[data(key)]
pub enum Reply {
    /// The bytes are taken.
    Granted,
    /// Another holder is evicted; the bytes are to be requested again once it has released
    /// its own.
    Evict(Holder),
    /// The bytes are to be requested again once some are released.
    Wait,
    /// The holder is evicted itself.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    stage: Stage,
    bytes: usize,
    is_large: bool,
    is_evicted: bool,
    /// Start of the stage.
    since: Time,
    /// Time of the last progress in the stage.
    progress: Time,
    /// Bytes taken while reading, or released while writing, in the stage.
    moved: usize,
}

impl Entry {
    /// Whether the holder can be made to end without breaking a promise.
    fn is_evictable(&self) -> bool {
        !self.is_evicted && matches!(self.stage, Stage::Reading | Stage::Writing)
    }

    fn is_stalled(&self, now: Time) -> bool {
        now.since(self.progress) >= STALL_TIME
    }

    /// Progress in bytes per second; 0 if stalled.
    fn rate(&self, now: Time) -> f64 {
        match self.is_stalled(now) {
            true => 0.0,
            false => self.moved as f64 / now.since(self.since).as_secs_f64(),
        }
    }
}

/// Memory that is held for callers.
#[derive(Clone, Debug)]
pub struct Budget {
    capacity: usize,
    held: usize,
    /// Bytes of evicted holders that are not released yet.
    ending: usize,
    holders: BTreeMap<Holder, Entry>,
    next: u64,
}

impl Budget {
    /// Creates the budget of a process that may use `memory` bytes in total.
    pub fn new(memory: u64) -> Budget {
        let process = PROCESS_BYTES + memory / PROCESS_DIVISOR;
        // At least a quarter, so that a process with very little memory serves something.
        let capacity = memory.saturating_sub(process).max(memory / 4);
        Budget {
            capacity: usize::try_from(capacity).unwrap_or(usize::MAX),
            held: 0,
            ending: 0,
            holders: BTreeMap::new(),
            next: 0,
        }
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Bytes that may be held.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Whether a request body of `length` bytes may begin to arrive.
    pub fn admits(&self, length: usize) -> bool {
        length <= SMALL_BODY_BYTES || self.held + length <= self.limit(Stage::Reading, true)
    }

    /// Opens a holder. `is_large` is whether its body is known to be large.
    pub fn open(&mut self, now: Time, stage: Stage, is_large: bool) -> Holder {
        let holder = Holder(self.next);
        self.next += 1;
        let entry = Entry {
            stage,
            bytes: 0,
            is_large,
            is_evicted: false,
            since: now,
            progress: now,
            moved: 0,
        };
        self.holders.insert(holder, entry);
        holder
    }

    /// Closes a holder, which releases what it still holds.
    pub fn close(&mut self, now: Time, holder: Holder) {
        let bytes = self.holders.get(&holder).map_or(0, |entry| entry.bytes);
        self.release(now, holder, bytes);
        self.holders.remove(&holder);
    }

    /// Begins another stage of a holder. Returns false if it is evicted, and does nothing
    /// then.
    pub fn enter(&mut self, now: Time, holder: Holder, stage: Stage) -> bool {
        let Some(entry) = self.holders.get_mut(&holder) else {
            return false;
        };
        if !entry.is_evicted {
            entry.stage = stage;
            (entry.since, entry.progress, entry.moved) = (now, now, 0);
        }
        !entry.is_evicted
    }

    /// Takes `bytes` for a connection, also beyond the capacity. Returns the holder that is
    /// evicted for it.
    pub fn take(&mut self, now: Time, bytes: usize) -> Option<Holder> {
        self.held += bytes;
        if self.held - self.ending <= self.capacity {
            return None;
        }
        let victim = self.slowest(now, false);
        let victim = victim.or_else(|| self.newest(Stage::Reading))?;
        self.evict(victim);
        Some(victim)
    }

    /// Gives back what was taken for connections.
    pub fn give_back(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Requests `bytes` more for a holder.
    pub fn reserve(&mut self, now: Time, holder: Holder, bytes: usize) -> Reply {
        let Some(entry) = self.holders.get(&holder).copied() else {
            return Reply::Refused;
        };
        if entry.is_evicted {
            return Reply::Refused;
        }
        let is_large = entry.is_large || entry.bytes + bytes > SMALL_BODY_BYTES;
        let limit = self.limit(entry.stage, is_large);
        if self.held + bytes <= limit {
            self.grant(now, holder, bytes, is_large);
            return Reply::Granted;
        }
        if (self.held + bytes).saturating_sub(self.ending) <= limit {
            return Reply::Wait;
        }
        match self.choose_victim(now, holder, entry) {
            Some(victim) => {
                self.evict(victim);
                match victim == holder {
                    true => Reply::Refused,
                    false => Reply::Evict(victim),
                }
            }
            None if entry.stage == Stage::Reading => {
                self.evict(holder);
                Reply::Refused
            }
            None => Reply::Wait,
        }
    }

    /// Releases `bytes` of a holder.
    pub fn release(&mut self, now: Time, holder: Holder, bytes: usize) {
        let Some(entry) = self.holders.get_mut(&holder) else {
            return;
        };
        let bytes = bytes.min(entry.bytes);
        entry.bytes -= bytes;
        entry.progress = now;
        entry.moved += bytes;
        self.held -= bytes;
        if entry.is_evicted {
            self.ending -= bytes;
        }
    }

    fn grant(&mut self, now: Time, holder: Holder, bytes: usize, is_large: bool) {
        self.held += bytes;
        if let Some(entry) = self.holders.get_mut(&holder) {
            entry.bytes += bytes;
            entry.is_large = is_large;
            entry.progress = now;
            entry.moved += bytes;
        }
    }

    fn evict(&mut self, holder: Holder) {
        if let Some(entry) = self.holders.get_mut(&holder) {
            entry.is_evicted = true;
            self.ending += entry.bytes;
        }
    }

    fn limit(&self, stage: Stage, is_large: bool) -> usize {
        let reserve = match (is_large, stage) {
            (false, _) => 0,
            (true, Stage::Reading | Stage::Kept) => self.capacity / REQUEST_RESERVE_DIVISOR,
            (true, Stage::Receiving | Stage::Writing) => self.capacity / RESPONSE_RESERVE_DIVISOR,
        };
        self.capacity - reserve
    }

    /// The holder that is to end so that another one can go on. Request bodies that arrive
    /// displace no response that its caller reads, however slowly.
    fn choose_victim(&self, now: Time, holder: Holder, wanting: Entry) -> Option<Holder> {
        let slowest = self.slowest(now, wanting.stage == Stage::Reading);
        slowest.or_else(|| self.newest(Stage::Reading)).or_else(|| {
            let receiving = |entry: &Entry| entry.stage == Stage::Receiving && !entry.is_evicted;
            let oldest = self.holders.iter().find(|(_, entry)| receiving(entry));
            // Only the oldest response makes others end. Else each of those that arrive at
            // the same time would, and none would be complete.
            let is_oldest = oldest.is_some_and(|(oldest, _)| *oldest == holder);
            let newest = self.newest(Stage::Receiving);
            newest.filter(|newest| is_oldest && *newest != holder)
        })
    }

    /// The holder with the least progress among those that can be judged by now. With
    /// `spares_readers`, a response that its caller reads counts only if it is stalled.
    fn slowest(&self, now: Time, spares_readers: bool) -> Option<Holder> {
        let is_spared = |entry: &Entry| {
            spares_readers && entry.stage == Stage::Writing && !entry.is_stalled(now)
        };
        self.holders
            .iter()
            .filter(|(_, entry)| entry.is_evictable() && entry.bytes > 0)
            .filter(|(_, entry)| now.since(entry.since) >= STALL_TIME && !is_spared(entry))
            .min_by(|(_, one), (_, other)| one.rate(now).total_cmp(&other.rate(now)))
            .map(|(holder, _)| *holder)
    }

    /// The newest holder in a stage that holds bytes and is not evicted.
    fn newest(&self, stage: Stage) -> Option<Holder> {
        let mut newest = self.holders.iter().rev();
        newest
            .find(|(_, entry)| entry.stage == stage && !entry.is_evicted && entry.bytes > 0)
            .map(|(holder, _)| *holder)
    }
}
