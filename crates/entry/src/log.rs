//! Log lines on standard output, without ever blocking on it.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Lines that wait to be written; more are dropped and counted.
const BUFFERED_LINES: usize = 2_048;

/// Starts logging; the guard writes the last lines when it is dropped.
pub fn start() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES)
        .finish(std::io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(tracing::Level::INFO)
        .with_writer(writer)
        .init();
    guard
}
