//! The metrics recorder of the process, and the page that shows it.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Bounds of the histograms, in seconds: from a millisecond to ten minutes.
const BOUNDS: [f64; 17] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0,
    180.0, 600.0,
];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

fn handle() -> Option<&'static PrometheusHandle> {
    let install = || {
        let builder = PrometheusBuilder::new().set_buckets(&BOUNDS).ok()?;
        // Where the program has installed a recorder of its own, that one serves.
        builder.install_recorder().ok()
    };
    HANDLE.get_or_init(install).as_ref()
}

/// Installs the recorder, once for the process.
pub(super) fn install() {
    if let Some(handle) = handle() {
        handle.run_upkeep();
    }
}

/// The metrics in Prometheus' text format.
pub fn render() -> String {
    handle().map(PrometheusHandle::render).unwrap_or_default()
}
