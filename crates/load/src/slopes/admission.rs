//! Cost of admission queue operations by queue length.

use medlarreel_core::admission::{Limits, Queue, SlotRequest};
use medlarreel_core::ids::Club;
use medlarreel_core::preset::Rank;
use medlarreel_core::time::Time;

use super::table::{Table, slope};
use super::{heap_bytes, measure};

const OPERATIONS: u64 = 10_000;

/// Cost of pushing, of starting and finishing, and of cancelling at several lengths.
pub fn tables() -> Vec<Table> {
    let columns = [
        "waiting",
        "push ns",
        "slope",
        "start+finish ns",
        "slope",
        "cancel ns",
        "full push ns",
        "bytes/entry",
    ];
    let mut table = Table::new("admission, by queue length", &columns);
    let (mut previous_push, mut previous_start_finish) = (None, None);
    for length in [0, 100, 1_000, 10_000, 100_000, 1_000_000] {
        let queue = filled_queue(length);
        let push_ns = measure(&queue, OPERATIONS as usize, |queue| {
            push_many(queue, length)
        });
        let start_finish_ns = measure(&queue, OPERATIONS.min(length).max(1) as usize, |queue| {
            start_and_finish_many(queue, OPERATIONS.min(length));
        });
        let cancel_ns = measure(&queue, OPERATIONS.min(length).max(1) as usize, |queue| {
            (0..OPERATIONS.min(length)).all(|id| queue.cancel(id));
        });
        let full_push_ns = measure(&full_queue(&queue, length), OPERATIONS as usize, |queue| {
            push_many(queue, length);
        });
        let size = length as f64;
        let bytes_per_entry = heap_bytes(&queue) / size.max(1.0);
        let has_entries = length > 0;
        table.add_row(vec![
            length.to_string(),
            format!("{push_ns:.0}"),
            slope(previous_push, size, push_ns),
            if has_entries {
                format!("{start_finish_ns:.0}")
            } else {
                "-".to_owned()
            },
            slope(previous_start_finish, size, start_finish_ns),
            if has_entries {
                format!("{cancel_ns:.0}")
            } else {
                "-".to_owned()
            },
            if has_entries {
                format!("{full_push_ns:.0}")
            } else {
                "-".to_owned()
            },
            if has_entries {
                format!("{bytes_per_entry:.0}")
            } else {
                "-".to_owned()
            },
        ]);
        if has_entries {
            (previous_push, previous_start_finish) =
                (Some((size, push_ns)), Some((size, start_finish_ns)));
        }
    }
    vec![table, fast_path()]
}

/// Cost of a request that arrives at an empty queue with a free slot.
fn fast_path() -> Table {
    let queue = Queue::new(limits(64, 6));
    let cost_ns = measure(&queue, OPERATIONS as usize, |queue| {
        for id in 0..OPERATIONS {
            queue.push(Time(id), slot_request(id));
            queue.start_next(Time(id));
            queue.finish(Time(id), id);
        }
    });
    let mut table = Table::new("admission, empty queue and free slot", &["operation", "ns"]);
    table.add_row(vec![
        "push+start+finish".to_owned(),
        format!("{cost_ns:.0}"),
    ]);
    table
}

fn limits(entries: u32, slots: u16) -> Limits {
    Limits {
        max_waiting: entries,
        slots,
        floor_percents: [0, 20, 10],
        weights: vec![(Club(0), 1), (Club(1), 1)],
    }
}

fn slot_request(id: u64) -> SlotRequest {
    // Scattered deadlines, so that insertions are not all at one end of the queue.
    let scattered = id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    SlotRequest {
        id,
        rank: Rank::ALL[(id % 3) as usize],
        club: Club((id % 2) as u16),
        deadline: Time(1_000_000_000_000 + scattered),
    }
}

/// Queue with `length` waiting requests, one free slot and room for more.
fn filled_queue(length: u64) -> Queue {
    let mut queue = Queue::new(limits(u32::MAX, 0));
    (0..length).for_each(|id| drop(queue.push(Time(0), slot_request(id))));
    queue.set_limits(Time(0), limits(u32::MAX, 1));
    queue
}

/// Copy of a queue of the given length that has no room for more requests.
fn full_queue(queue: &Queue, length: u64) -> Queue {
    let mut queue = queue.clone();
    queue.set_limits(Time(0), limits(length as u32, 1));
    queue
}

fn push_many(queue: &mut Queue, length: u64) {
    for id in length..length + OPERATIONS {
        queue.push(Time(1), slot_request(id));
    }
}

fn start_and_finish_many(queue: &mut Queue, count: u64) {
    for microsecond in 0..count {
        if let Some(id) = queue.start_next(Time(microsecond)) {
            queue.finish(Time(microsecond + 1), id);
        }
    }
}
