//! Cost of the admission queue by its length.

use medlarreel_core::admission::{Limits, Queue, SlotRequest};
use medlarreel_core::ids::Club;
use medlarreel_core::preset::Rank;
use medlarreel_core::time::Time;

use super::table::{Table, slope};
use super::{heap_bytes, measure};

const OPERATIONS: u64 = 10_000;

/// Cost of push, next with done, and cancel at several lengths.
pub fn tables() -> Vec<Table> {
    let columns = [
        "waiting",
        "push ns",
        "slope",
        "next+done ns",
        "slope",
        "cancel ns",
        "full push ns",
        "bytes/entry",
    ];
    let mut table = Table::new("admission, by queue length", &columns);
    let (mut pushes, mut nexts) = (None, None);
    for length in [0, 100, 1_000, 10_000, 100_000, 1_000_000] {
        let queue = filled(length);
        let push = measure(&queue, OPERATIONS as usize, |queue| {
            push_many(queue, length)
        });
        let next = measure(&queue, OPERATIONS.min(length).max(1) as usize, |queue| {
            serve_many(queue, OPERATIONS.min(length));
        });
        let cancel = measure(&queue, OPERATIONS.min(length).max(1) as usize, |queue| {
            (0..OPERATIONS.min(length)).all(|id| queue.cancel(id));
        });
        let full = measure(&bounded(&queue, length), OPERATIONS as usize, |queue| {
            push_many(queue, length);
        });
        let size = length as f64;
        let bytes = heap_bytes(&queue) / size.max(1.0);
        let known = length > 0;
        table.row(vec![
            length.to_string(),
            format!("{push:.0}"),
            slope(pushes, size, push),
            if known {
                format!("{next:.0}")
            } else {
                "-".to_owned()
            },
            slope(nexts, size, next),
            if known {
                format!("{cancel:.0}")
            } else {
                "-".to_owned()
            },
            if known {
                format!("{full:.0}")
            } else {
                "-".to_owned()
            },
            if known {
                format!("{bytes:.0}")
            } else {
                "-".to_owned()
            },
        ]);
        if known {
            (pushes, nexts) = (Some((size, push)), Some((size, next)));
        }
    }
    vec![table, fast_path()]
}

/// Cost of a request that finds the queue empty and a slot free.
fn fast_path() -> Table {
    let queue = Queue::new(limits(64, 6));
    let cost = measure(&queue, OPERATIONS as usize, |queue| {
        for id in 0..OPERATIONS {
            queue.push(Time(id), ticket(id));
            queue.start_next(Time(id));
            queue.finish(Time(id), id);
        }
    });
    let mut table = Table::new("admission, empty queue and free slot", &["operation", "ns"]);
    table.row(vec!["push+next+done".to_owned(), format!("{cost:.0}")]);
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

fn ticket(id: u64) -> SlotRequest {
    // Deadlines in scattered order, so that inserts do not all go to one end.
    let scatter = id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    SlotRequest {
        id,
        rank: Rank::ALL[(id % 3) as usize],
        club: Club((id % 2) as u16),
        deadline: Time(1_000_000_000_000 + scatter),
    }
}

fn filled(length: u64) -> Queue {
    let mut queue = Queue::new(limits(u32::MAX, 0));
    (0..length).for_each(|id| drop(queue.push(Time(0), ticket(id))));
    queue.set_limits(Time(0), limits(u32::MAX, 1));
    queue
}

fn bounded(queue: &Queue, length: u64) -> Queue {
    let mut queue = queue.clone();
    queue.set_limits(Time(0), limits(length as u32, 1));
    queue
}

fn push_many(queue: &mut Queue, length: u64) {
    for id in length..length + OPERATIONS {
        queue.push(Time(1), ticket(id));
    }
}

fn serve_many(queue: &mut Queue, count: u64) {
    for turn in 0..count {
        if let Some(id) = queue.start_next(Time(turn)) {
            queue.finish(Time(turn + 1), id);
        }
    }
}
