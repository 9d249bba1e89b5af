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
