//! Logging: one line of `key=value` pairs for each event, on standard error or output.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// The environment variable that sets the log filter.
const FILTER_VARIABLE: &str = "GRADEDYKE_LOG";

/// Starts logging to standard error, at `level` unless the environment variable sets a
/// filter.
pub fn start(level: &str) {
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(level));
    let layer = tracing_logfmt::builder()
        .with_span_path(false)
        .layer()
        .with_writer(std::io::stderr);
    // Fails if logging was started before; the first configuration stays.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}

/// Maximum number of queued log lines. At some 200 bytes per line, a full queue takes
/// less than a megabyte.
const MAX_QUEUED_LINES: usize = 4_096;

/// The queue of log lines that are to be written to standard output.
pub struct Queue {
    // Writes the queued lines when it is dropped.
    _guard: WorkerGuard,
    dropped: ErrorCounter,
    reported: usize,
}

impl Queue {
    /// Logs the total number of dropped lines if it has grown since the last call.
    pub fn log_dropped_lines(&mut self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > self.reported {
            tracing::warn!(
                event = "log_lines_dropped",
                total = dropped,
                remedy = "read standard output faster, or raise the level"
            );
            self.reported = dropped;
        }
    }
}

/// Starts logging to standard output through a bounded queue, so that a slow reader
/// never blocks the process. If the queue is full, lines are dropped and counted.
pub fn start_bounded(level: &str) -> Queue {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(level));
    let layer = tracing_logfmt::builder()
        .with_span_path(false)
        .layer()
        .with_writer(writer);
    // Fails if logging was started before; the first configuration stays.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
    Queue {
        _guard: guard,
        dropped,
        reported: 0,
    }
}
