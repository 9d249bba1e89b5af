//! Logs: one line of key=value pairs for each event, on standard error.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// The variable that chooses which events are written.
const VARIABLE: &str = "GRADEDYKE_LOG";

/// Starts to write events of `level` and above, or what the variable says.
pub fn start(level: &str) {
    let filter = EnvFilter::try_from_env(VARIABLE).unwrap_or_else(|_| EnvFilter::new(level));
    let layer = tracing_logfmt::builder()
        .with_span_path(false)
        .layer()
        .with_writer(std::io::stderr);
    // A second start in one process changes nothing.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}

/// Lines that may wait for a reader of standard output that is slow. Each has
/// some 200 bytes, so that they take less than a megabyte.
const LINES: usize = 4_096;

/// Starts to write events to standard output through a queue of bounded length:
/// nothing ever waits for the reader. Lines beyond it are dropped, and counted.
/// The queue is emptied when the guard is dropped.
pub fn start_bounded(level: &str) -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES)
        .finish(std::io::stdout());
    let filter = EnvFilter::try_from_env(VARIABLE).unwrap_or_else(|_| EnvFilter::new(level));
    let layer = tracing_logfmt::builder()
        .with_span_path(false)
        .layer()
        .with_writer(writer);
    // A second start in one process changes nothing.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
    guard
}
