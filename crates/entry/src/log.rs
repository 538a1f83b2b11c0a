//! Log lines on standard output, without ever blocking on it.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that wait to be written; more are dropped and counted.
const MAX_BUFFERED_LINES: usize = 2_048;

/// Starts logging. The guard writes the last lines when it is dropped; the counter
/// tells how many lines were dropped.
pub fn start() -> (WorkerGuard, ErrorCounter) {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(tracing::Level::INFO)
        .with_writer(writer)
        .init();
    (guard, dropped)
}
