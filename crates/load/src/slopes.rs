//! Slope benchmarks and comparisons in virtual time.
//!
//! A slope is the exponent with which a cost grows with the input size: 0 for
//! constant cost, 1 for linear cost.

use std::hint::black_box;
use std::time::Instant;

use getopts::Options;

use crate::Error;

pub mod admission;
pub mod checkpoint;
mod club_simulation;
pub mod dedup;
pub mod dispatcher;
pub mod election;
mod fleet;
pub mod fold;
pub mod frame;
pub mod health;
pub mod holder;
pub mod placement;
pub mod retry;
pub mod route;
pub mod sharing;
pub mod sizes;
pub mod table;

use table::Table;

/// Repetitions of a measurement; the smallest result counts, because it has the
/// least noise.
const REPEATS: usize = 5;

/// Name, help text and function of a subcommand.
type Subcommand = (&'static str, &'static str, fn() -> Vec<Table>);

const SUBCOMMANDS: [Subcommand; 15] = [
    (
        "sharing",
        "ways to share an upstream's slots, in virtual time",
        sharing::tables,
    ),
    (
        "admission",
        "push and next by queue length",
        admission::tables,
    ),
    ("dedup", "begin and finish by entries", dedup::tables),
    ("retry", "earn and decide by requests", retry::tables),
    ("health", "choose and review by upstreams", health::tables),
    (
        "fold",
        "apply by shards and members, and memory",
        fold::tables,
    ),
    (
        "route",
        "table by shards and upstreams, and lookup of a key",
        route::tables,
    ),
    (
        "placement",
        "plan by upstreams and shards",
        placement::tables,
    ),
    (
        "election",
        "renewal of control by members",
        election::tables,
    ),
    (
        "dispatcher",
        "renewal of grants by upstreams, and reports",
        dispatcher::tables,
    ),
    (
        "holder",
        "reports and ticks by members and upstreams",
        holder::tables,
    ),
    (
        "checkpoint",
        "split and assemble by state size",
        checkpoint::tables,
    ),
    ("frame", "encode and decode of datagrams", frame::tables),
    ("wire", "encoded message sizes", sizes::messages),
    ("record", "encoded record sizes", sizes::records),
];

/// Runs the subcommands named by the arguments.
///
/// # Errors
///
/// The command line is invalid.
pub fn main(args: &[String]) -> Result<(), Error> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    let usage = |error: getopts::Fail| Error::Usage(error.to_string());
    let matches = options.parse(args).map_err(usage)?;
    if matches.opt_present("help") || matches.free.is_empty() {
        println!("{}", help_text(&options));
        return Ok(());
    }
    for name in &matches.free {
        let matches_name = |subcommand: &&Subcommand| name == "all" || subcommand.0 == name;
        let selected: Vec<&Subcommand> = SUBCOMMANDS.iter().filter(matches_name).collect();
        if selected.is_empty() {
            return Err(Error::Usage(format!("unknown subcommand {name:?}")));
        }
        let tables = selected.into_iter().flat_map(|subcommand| (subcommand.2)());
        tables.for_each(|table| println!("{table}"));
    }
    Ok(())
}

fn help_text(options: &Options) -> String {
    let mut text = options.usage("Usage: medlar-slopes SUBCOMMAND..");
    text.push_str("\nSubcommands:\n");
    for (name, about, _) in SUBCOMMANDS {
        text.push_str(&format!("    {name:<12}{about}\n"));
    }
    text.push_str("    all         every subcommand\n");
    text.push_str("\nExample:\n    medlar-slopes sharing admission\n");
    text
}

/// Returns the nanoseconds per operation in the fastest of `REPEATS` runs of `work`. Each
/// run performs `operations` operations on its own clone of `start`.
fn measure<S: Clone, T>(start: &S, operations: usize, work: impl Fn(&mut S) -> T) -> f64 {
    measure_warm(start, operations, |_| {}, work)
}

/// Like `measure`, but calls `prepare` on the clone before the measurement starts.
///
/// A cloned collection has no spare capacity, and its first reallocation would
/// dominate the measurement of a large collection.
fn measure_warm<S: Clone, T>(
    start: &S,
    operations: usize,
    prepare: impl Fn(&mut S),
    work: impl Fn(&mut S) -> T,
) -> f64 {
    let run = |_| {
        let mut state = start.clone();
        prepare(&mut state);
        let begin = Instant::now();
        black_box(work(black_box(&mut state)));
        black_box(&state);
        begin.elapsed().as_nanos() as f64 / operations as f64
    };
    (0..REPEATS).map(run).fold(f64::INFINITY, f64::min)
}

/// Heap bytes held by a clone of the value. The clone is leaked, because memory that is
/// freed during the measurement does not count.
fn heap_bytes<S: Clone>(value: &S) -> f64 {
    let info = allocation_counter::measure(|| std::mem::forget(black_box(value.clone())));
    info.bytes_current as f64
}
