//! Logs: one line of key=value pairs for each event, on standard error.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
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

/// The queue of lines.
pub struct Queue {
    // Dropping it empties the queue.
    _guard: WorkerGuard,
    dropped: ErrorCounter,
    told: usize,
}

impl Queue {
    /// Says how many lines were dropped, if that has grown since it was last
    /// said.
    pub fn tell(&mut self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > self.told {
            tracing::warn!(
                event = "log_lines_dropped",
                total = dropped,
                remedy = "read standard output faster, or raise the level"
            );
            self.told = dropped;
        }
    }
}

/// Starts to write events to standard output through a queue of bounded length:
/// nothing ever waits for the reader. Lines beyond it are dropped, and counted.
pub fn start_bounded(level: &str) -> Queue {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
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
    Queue {
        _guard: guard,
        dropped,
        told: 0,
    }
}
