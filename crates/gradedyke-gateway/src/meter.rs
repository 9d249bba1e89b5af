//! Metrics recorder, and the page that exports the metrics in Prometheus' text format.
//!
//! A histogram is a fixed array of counters. The usual exporter calibrates a clock for up to
//! 200 ms at its start, which delays a process that is restarted under load, and keeps every
//! sample until the page is read.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

use async_trait::async_trait;
use gradedyke_http::body::Body;
use gradedyke_http::server::Config;
use gradedyke_http::{Handler, Server, reply};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics::{
    Counter, Gauge, Histogram, HistogramFn, Key, KeyName, Metadata, Recorder, SharedString, Unit,
};
use tokio_util::sync::CancellationToken;

/// Upper bounds of the histogram buckets, in seconds.
const HISTOGRAM_BOUNDS_S: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0, 15.0, 60.0,
];
/// Microseconds per second; sums are stored in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;
/// Maximum number of connections to the metrics page.
const MAX_CONNECTIONS: usize = 16;

/// Sample counts by bucket; the last bucket has no upper bound.
#[derive(Default)]
struct HistogramData {
    counts: [AtomicU64; HISTOGRAM_BOUNDS_S.len() + 1],
    sum_micros: AtomicU64,
}

impl HistogramFn for HistogramData {
    fn record(&self, seconds: f64) {
        let bucket = HISTOGRAM_BOUNDS_S.partition_point(|bound| *bound < seconds);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        let micros = (seconds * MICROS_PER_SECOND).max(0.0) as u64;
        self.sum_micros.fetch_add(micros, Ordering::Relaxed);
    }
}

/// All metrics of the process, by name and labels.
#[derive(Default)]
struct Registry {
    counters: Mutex<BTreeMap<Key, Arc<AtomicU64>>>,
    gauges: Mutex<BTreeMap<Key, Arc<AtomicU64>>>,
    histograms: Mutex<BTreeMap<Key, Arc<HistogramData>>>,
}

fn get_or_default<T: Default>(metrics: &Mutex<BTreeMap<Key, Arc<T>>>, key: &Key) -> Arc<T> {
    let mut metrics = metrics.lock().unwrap_or_else(PoisonError::into_inner);
    metrics.entry(key.clone()).or_default().clone()
}

struct SharedRegistry(Arc<Registry>);

impl Recorder for SharedRegistry {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        Counter::from_arc(get_or_default(&self.0.counters, key))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::from_arc(get_or_default(&self.0.gauges, key))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::from_arc(get_or_default(&self.0.histograms, key))
    }
}

static REGISTRY: OnceLock<Arc<Registry>> = OnceLock::new();

/// Installs the recorder for the process; further calls do nothing.
pub fn install() {
    REGISTRY.get_or_init(|| {
        let registry = Arc::new(Registry::default());
        if let Err(error) = metrics::set_global_recorder(SharedRegistry(registry.clone())) {
            tracing::warn!(event = "metrics_not_installed", %error,
                remedy = "another recorder is installed in this process and is used instead");
        }
        registry
    });
}

/// Formats a key's labels, followed by `extra_label`, for the text format.
fn format_labels(key: &Key, extra_label: Option<String>) -> String {
    let labels = key.labels();
    let labels = labels.map(|l| format!("{}=\"{}\"", l.key(), l.value()));
    let all: Vec<String> = labels.chain(extra_label).collect();
    if all.is_empty() {
        return String::new();
    }
    format!("{{{}}}", all.join(","))
}

impl Registry {
    fn render(&self) -> String {
        let mut text = String::new();
        self.render_scalars(&mut text);
        let histograms = self.histograms.lock();
        let histograms = histograms.unwrap_or_else(PoisonError::into_inner);
        for (key, histogram) in histograms.iter() {
            write_histogram(&mut text, key, histogram);
        }
        text
    }

    fn render_scalars(&self, text: &mut String) {
        let counters = self.counters.lock();
        let counters = counters.unwrap_or_else(PoisonError::into_inner);
        for (key, value) in counters.iter() {
            let value = value.load(Ordering::Relaxed);
            write_sample(
                text,
                key.name(),
                &format_labels(key, None),
                &value.to_string(),
            );
        }
        let gauges = self.gauges.lock();
        let gauges = gauges.unwrap_or_else(PoisonError::into_inner);
        for (key, value) in gauges.iter() {
            let value = f64::from_bits(value.load(Ordering::Relaxed));
            write_sample(
                text,
                key.name(),
                &format_labels(key, None),
                &value.to_string(),
            );
        }
    }
}

fn write_sample(text: &mut String, name: &str, labels: &str, value: &str) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "{name}{labels} {value}");
}

fn write_histogram(text: &mut String, key: &Key, histogram: &HistogramData) {
    let bounds = HISTOGRAM_BOUNDS_S.iter().map(ToString::to_string);
    let bounds = bounds.chain(["+Inf".to_owned()]);
    let bucket = format!("{}_bucket", key.name());
    let mut count = 0;
    for (bound, samples) in bounds.zip(&histogram.counts) {
        count += samples.load(Ordering::Relaxed);
        let labels = format_labels(key, Some(format!("le=\"{bound}\"")));
        write_sample(text, &bucket, &labels, &count.to_string());
    }
    let labels = format_labels(key, None);
    let sum = histogram.sum_micros.load(Ordering::Relaxed) as f64 / MICROS_PER_SECOND;
    write_sample(
        text,
        &format!("{}_sum", key.name()),
        &labels,
        &sum.to_string(),
    );
    let name = format!("{}_count", key.name());
    write_sample(text, &name, &labels, &count.to_string());
}

/// Renders all metrics in Prometheus' text format.
///
/// ```
/// gradedyke_gateway::meter::install();
/// metrics::counter!("things_total", "kind" => "a").increment(2);
/// metrics::histogram!("time_seconds").record(0.003);
/// let page = gradedyke_gateway::meter::render();
/// assert!(page.contains("things_total{kind=\"a\"} 2"));
/// assert!(page.contains("time_seconds_bucket{le=\"0.005\"} 1"));
/// ```
pub fn render() -> String {
    REGISTRY.get().map(|r| r.render()).unwrap_or_default()
}

struct MetricsPage;

#[async_trait]
impl Handler for MetricsPage {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        reply::with_bytes(StatusCode::OK, "text/plain; version=0.0.4", render())
    }
}

/// Serves the metrics page on `address` until `stop`.
pub async fn serve(address: SocketAddr, stop: CancellationToken) {
    let config = Config {
        max_connections: MAX_CONNECTIONS,
        ..Config::default()
    };
    match Server::bind(address, config).await {
        Ok(server) => server.serve(Arc::new(MetricsPage), stop).await,
        Err(error) => tracing::warn!(event = "metrics_not_served", %address, %error,
            remedy = "free the address or change listen.metrics"),
    }
}
