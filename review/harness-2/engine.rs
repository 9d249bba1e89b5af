//! Stand-in for a model server: streams events, and may be slow for a time.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::record::{self, Record};
use crate::store::Store;

/// Tokens of one event.
pub const EVENT_TOKENS: u32 = 3;
/// How often the server checks how far it has come.
const SLICE: Duration = Duration::from_millis(5);
/// How often a server writes its entry in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub previous: Option<String>,
    pub body: String,
}

/// A running model server.
pub struct Engine {
    pub id: String,
    address: SocketAddr,
    /// Time from one event to the next.
    step: Duration,
    /// When the server is slow, and how many times as long an event then takes.
    slow: Mutex<Option<(Instant, Instant, f64)>>,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Engine {
    /// Starts a server that keeps its entry in `store` up to date.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        step: Duration,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            step,
            slow: Mutex::default(),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let served = engine.clone();
        http::serve(listener, move |head, body, stream| {
            served.handle(head, &body, stream)
        });
        let (store, entry) = (store.clone(), engine.clone());
        let (service, zone) = (service.to_owned(), zone.to_owned());
        std::thread::spawn(move || {
            for call_seq in 1.. {
                store.put(
                    &format!("servers/{}", entry.id),
                    &entry.entry(&service, &zone, call_seq),
                );
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(engine)
    }

    fn entry(&self, service: &str, zone: &str, call_seq: u32) -> String {
        let address = self.address;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"call_seq":{call_seq}}}"#
        )
    }

    /// From now on and for this time, an event takes `factor` times as long.
    pub fn slow_down(&self, time: Duration, factor: f64) {
        let now = Instant::now();
        *self.slow.lock().unwrap() = Some((now, now + time, factor));
    }

    /// The requests that this server ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// How much work is done in a slice of time at `now`.
    fn progress(&self, now: Instant) -> Duration {
        match *self.slow.lock().unwrap() {
            Some((from, to, factor)) if from <= now && now < to => SLICE.div_f64(factor),
            _ => SLICE,
        }
    }

    fn handle(&self, head: &Head, body: &[u8], stream: &mut TcpStream) -> io::Result<()> {
        if head.part(0) == "GET" {
            return http::respond(stream, 200, "{}");
        }
        let request = head
            .header("x-gradedyke-request-id")
            .unwrap_or_default()
            .to_owned();
        if head
            .header("x-gradedyke-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            let text = format!(
                "HTTP/1.1 421 X\r\nX-Gradedyke-Request-Id: {request}\r\nX-Gradedyke-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes());
        }
        let body = String::from_utf8_lossy(body).into_owned();
        let previous = head.header("x-gradedyke-previous-turn").map(str::to_owned);
        self.record.line(&format!(
            "server {} runs {request}, previous turn {}, body {}",
            self.id,
            previous.as_deref().unwrap_or("none"),
            record::quoted(&body),
        ));
        self.runs.lock().unwrap().push(Run {
            request: request.clone(),
            previous,
            body,
        });
        let usage = head.header("x-gradedyke-token-usage").unwrap_or_default();
        let tokens: u32 = usage
            .split(',')
            .nth(1)
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        let streamed = self.stream(&request, tokens / EVENT_TOKENS, stream);
        let end = if streamed.is_ok() {
            "whole"
        } else {
            "its channel was closed"
        };
        self.record
            .line(&format!("server {} ends {request}: {end}", self.id));
        streamed
    }

    fn stream(&self, request: &str, events: u32, stream: &mut TcpStream) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Gradedyke-Request-Id: {request}\r\nX-Gradedyke-Server-Stamp: {}.{request}\r\nX-Gradedyke-Weight-Versions: 1\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=events {
            let mut done = Duration::ZERO;
            while done < self.step {
                std::thread::sleep(SLICE);
                done += self.progress(Instant::now());
            }
            let event = format!("id: {number}\ndata: {request}-{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
