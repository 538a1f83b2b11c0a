//! Slope benchmarks and comparisons in virtual time.

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

/// Repetitions of a measurement; the smallest counts, as it has the least noise.
const REPEATS: usize = 5;

type Command = (&'static str, &'static str, fn() -> Vec<Table>);

const COMMANDS: [Command; 15] = [
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

/// Runs the command of the given arguments.
///
/// # Errors
///
/// The command line is not valid.
pub fn main(args: &[String]) -> Result<(), Error> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    let usage = |error: getopts::Fail| Error::Usage(error.to_string());
    let matches = options.parse(args).map_err(usage)?;
    if matches.opt_present("help") || matches.free.is_empty() {
        println!("{}", help(&options));
        return Ok(());
    }
    for name in &matches.free {
        let known = |command: &&Command| name == "all" || command.0 == name;
        let chosen: Vec<&Command> = COMMANDS.iter().filter(known).collect();
        if chosen.is_empty() {
            return Err(Error::Usage(format!("unknown subcommand {name:?}")));
        }
        let tables = chosen.into_iter().flat_map(|command| (command.2)());
        tables.for_each(|table| println!("{table}"));
    }
    Ok(())
}

fn help(options: &Options) -> String {
    let mut text = options.usage("Usage: medlar-slopes SUBCOMMAND..");
    text.push_str("\nSubcommands:\n");
    for (name, about, _) in COMMANDS {
        text.push_str(&format!("    {name:<12}{about}\n"));
    }
    text.push_str("    all         every subcommand\n");
    text.push_str("\nExample:\n    medlar-slopes sharing admission\n");
    text
}

/// Nanoseconds per operation of `work`, which performs `operations` of them on
/// a fresh copy of `start`.
fn measure<S: Clone, T>(start: &S, operations: usize, work: impl Fn(&mut S) -> T) -> f64 {
    measure_warm(start, operations, |_| {}, work)
}

/// As `measure`, with unmeasured work on the copy first.
///
/// A copy of a collection has no spare capacity, and its first growth would
/// dominate the measurement of a large one.
fn measure_warm<S: Clone, T>(
    start: &S,
    operations: usize,
    warm: impl Fn(&mut S),
    work: impl Fn(&mut S) -> T,
) -> f64 {
    let run = |_| {
        let mut state = start.clone();
        warm(&mut state);
        let begin = Instant::now();
        black_box(work(black_box(&mut state)));
        black_box(&state);
        begin.elapsed().as_nanos() as f64 / operations as f64
    };
    (0..REPEATS).map(run).fold(f64::INFINITY, f64::min)
}

/// Heap bytes that a copy of a value holds.
fn heap_bytes<S: Clone>(value: &S) -> f64 {
    let info = allocation_counter::measure(|| std::mem::forget(black_box(value.clone())));
    info.bytes_current as f64
}
