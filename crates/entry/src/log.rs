//! Non-blocking JSON logging to standard output.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Maximum number of buffered log lines; further lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 2_048;

/// Initializes logging of events of level INFO and above. The returned guard flushes
/// buffered lines when it is dropped; the counter holds the number of dropped lines.
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
