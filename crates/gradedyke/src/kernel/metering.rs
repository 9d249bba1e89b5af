//! The process-wide metrics recorder and its text output.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKET_BOUNDS_S: [f64; 17] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0,
    180.0, 600.0,
];

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Returns the recorder, installing it on the first call. Returns `None` if
/// another recorder is already installed.
fn recorder() -> Option<&'static PrometheusHandle> {
    let install = || {
        let builder = PrometheusBuilder::new()
            .set_buckets(&BUCKET_BOUNDS_S)
            .ok()?;
        // Fails if the program has already installed a recorder of its own.
        builder.install_recorder().ok()
    };
    RECORDER.get_or_init(install).as_ref()
}

/// Installs the recorder if that has not been done yet.
pub(super) fn install() {
    if let Some(recorder) = recorder() {
        recorder.run_upkeep();
    }
}

/// Returns the metrics in the Prometheus text format.
pub fn render_metrics() -> String {
    recorder().map(PrometheusHandle::render).unwrap_or_default()
}
