//! Counters and latency histograms, and the page that shows them.
//!
//! The recorder is our own: the usual exporter calibrates a clock for up to
//! 200 ms at its start, which a process that is restarted under load does not
//! have, and keeps every sample until somebody asks. Here a histogram is a
//! fixed row of counters.

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

/// Bounds of the histograms, in seconds: from a millisecond, the least that the
/// way between two processes takes, to a minute, above any route's limit.
const BOUNDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0, 15.0, 60.0,
];
/// Microseconds in a second, in which sums are kept.
const MICROS: f64 = 1e6;
/// Connections to the page at a time: scrapers are few.
const CONNECTIONS: usize = 16;

/// Samples by upper bound, the last row for those above all bounds.
#[derive(Default)]
struct Row {
    counts: [AtomicU64; BOUNDS.len() + 1],
    micros: AtomicU64,
}

impl HistogramFn for Row {
    fn record(&self, seconds: f64) {
        let place = BOUNDS.partition_point(|bound| *bound < seconds);
        self.counts[place].fetch_add(1, Ordering::Relaxed);
        let micros = (seconds * MICROS).max(0.0) as u64;
        self.micros.fetch_add(micros, Ordering::Relaxed);
    }
}

/// All metrics of the process, by name and labels.
#[derive(Default)]
struct Register {
    counters: Mutex<BTreeMap<Key, Arc<AtomicU64>>>,
    gauges: Mutex<BTreeMap<Key, Arc<AtomicU64>>>,
    histograms: Mutex<BTreeMap<Key, Arc<Row>>>,
}

fn held<T: Default>(all: &Mutex<BTreeMap<Key, Arc<T>>>, key: &Key) -> Arc<T> {
    let mut all = all.lock().unwrap_or_else(PoisonError::into_inner);
    all.entry(key.clone()).or_default().clone()
}

struct Shared(Arc<Register>);

impl Recorder for Shared {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        Counter::from_arc(held(&self.0.counters, key))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::from_arc(held(&self.0.gauges, key))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::from_arc(held(&self.0.histograms, key))
    }
}

static REGISTER: OnceLock<Arc<Register>> = OnceLock::new();

/// Installs the recorder, once for the process.
pub fn install() {
    REGISTER.get_or_init(|| {
        let register = Arc::new(Register::default());
        if let Err(error) = metrics::set_global_recorder(Shared(register.clone())) {
            tracing::warn!(event = "metrics_not_installed", %error,
                remedy = "another recorder of this process serves");
        }
        register
    });
}

/// A key's labels, with `more` behind them, as the text format wants them.
fn labels(key: &Key, more: Option<String>) -> String {
    let own = key.labels();
    let own = own.map(|l| format!("{}=\"{}\"", l.key(), l.value()));
    let all: Vec<String> = own.chain(more).collect();
    if all.is_empty() {
        return String::new();
    }
    format!("{{{}}}", all.join(","))
}

impl Register {
    fn render(&self) -> String {
        let mut text = String::new();
        self.numbers(&mut text);
        let rows = self.histograms.lock();
        let rows = rows.unwrap_or_else(PoisonError::into_inner);
        for (key, row) in rows.iter() {
            histogram(&mut text, key, row);
        }
        text
    }

    fn numbers(&self, text: &mut String) {
        let counters = self.counters.lock();
        let counters = counters.unwrap_or_else(PoisonError::into_inner);
        for (key, value) in counters.iter() {
            let value = value.load(Ordering::Relaxed);
            line(text, key.name(), &labels(key, None), &value.to_string());
        }
        let gauges = self.gauges.lock();
        let gauges = gauges.unwrap_or_else(PoisonError::into_inner);
        for (key, value) in gauges.iter() {
            let value = f64::from_bits(value.load(Ordering::Relaxed));
            line(text, key.name(), &labels(key, None), &value.to_string());
        }
    }
}

fn line(text: &mut String, name: &str, labels: &str, value: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{name}{labels} {value}");
}

fn histogram(text: &mut String, key: &Key, row: &Row) {
    let bounds = BOUNDS.iter().map(ToString::to_string);
    let bounds = bounds.chain(["+Inf".to_owned()]);
    let bucket = format!("{}_bucket", key.name());
    let mut count = 0;
    for (bound, own) in bounds.zip(&row.counts) {
        count += own.load(Ordering::Relaxed);
        let labels = labels(key, Some(format!("le=\"{bound}\"")));
        line(text, &bucket, &labels, &count.to_string());
    }
    let own = labels(key, None);
    let sum = row.micros.load(Ordering::Relaxed) as f64 / MICROS;
    line(text, &format!("{}_sum", key.name()), &own, &sum.to_string());
    let name = format!("{}_count", key.name());
    line(text, &name, &own, &count.to_string());
}

/// The metrics in Prometheus' text format.
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
    REGISTER.get().map(|r| r.render()).unwrap_or_default()
}

struct Page;

#[async_trait]
impl Handler for Page {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        reply::bytes_of(StatusCode::OK, "text/plain; version=0.0.4", render())
    }
}

/// Serves the page on `address` until `stop`.
pub async fn serve(address: SocketAddr, stop: CancellationToken) {
    let config = Config {
        connections: CONNECTIONS,
        ..Config::default()
    };
    match Server::bind(address, config).await {
        Ok(server) => server.serve(Arc::new(Page), stop).await,
        Err(error) => tracing::warn!(event = "metrics_not_served", %address, %error,
            remedy = "free the address or change listen.metrics"),
    }
}
