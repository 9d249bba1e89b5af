//! `gradedyke explain`: shows how the latency of programs is composed, from the logs of
//! all instances.
//!
//! Each request leaves these log events: `placed` has the time waited for the keepers;
//! `stream_ended` has the time to the first event (the engine's queue and prompt
//! processing) and from there to the last; `answered` has the time of a plain service.
//! The rest of a turn's time was spent on storing it and on failed attempts.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use crate::{Failure, expect_no_more_args};

/// One request, reconstructed from log lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The request ID.
    pub id: String,
    /// The program ID.
    pub program: String,
    /// Number of attempts at backend servers.
    pub attempts: u32,
    /// The outcome.
    pub end: String,
    /// The time of day when it ended, in milliseconds since midnight UTC.
    pub ended_ms: f64,
    /// Total latency, in milliseconds.
    pub total_ms: f64,
    /// Time before the first attempt, in milliseconds.
    pub keepers_ms: f64,
    /// Time from placement to the first event, in milliseconds.
    pub first_ms: f64,
    /// Time from the first event to the last, in milliseconds.
    pub events_ms: f64,
    /// Whether it is a turn, that is, a model call.
    pub turn: bool,
}

/// The latency of requests by component: sums or means, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Breakdown {
    /// Number of requests.
    pub requests: u32,
    /// Waiting for the keepers before a turn is sent.
    pub keepers_ms: f64,
    /// Queueing and prompt processing at the engine, up to the first event.
    pub first_ms: f64,
    /// From the first event to the last.
    pub events_ms: f64,
    /// Storing the turn, and failed attempts.
    pub rest_ms: f64,
    /// Calls of plain services.
    pub calls_ms: f64,
    /// Number of failed requests.
    pub failed: u32,
}

impl Breakdown {
    fn add(&mut self, request: &Request) {
        self.requests += 1;
        self.failed += u32::from(!matches!(request.end.as_str(), "whole" | "answered"));
        if !request.turn {
            self.calls_ms += request.total_ms;
            return;
        }
        let accounted_ms = request.keepers_ms + request.first_ms + request.events_ms;
        self.keepers_ms += request.keepers_ms;
        self.first_ms += request.first_ms;
        self.events_ms += request.events_ms;
        self.rest_ms += (request.total_ms - accounted_ms).max(0.0);
    }

    fn format(&self) -> String {
        format!(
            "requests={} failed={} keepers_ms={:.0} first_ms={:.0} events_ms={:.0} rest_ms={:.0} calls_ms={:.0}",
            self.requests,
            self.failed,
            self.keepers_ms,
            self.first_ms,
            self.events_ms,
            self.rest_ms,
            self.calls_ms
        )
    }
}

/// Parses the `key=value` pairs of a line; values may be quoted.
fn parse_pairs(line: &str) -> HashMap<&str, &str> {
    let mut pairs = HashMap::new();
    let mut remainder = line;
    while let Some((before, after)) = remainder.split_once('=') {
        let key = before.rsplit(' ').next().unwrap_or(before);
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.insert(key, value);
        remainder = next;
    }
    pairs
}

/// Parses a timestamp like `2026-01-28T23:30:43.992Z`; returns the time of day, in
/// milliseconds since midnight.
fn parse_time_of_day_ms(timestamp: &str) -> Option<f64> {
    let clock = timestamp.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = clock.split(':');
    let mut next_part = || parts.next()?.parse::<f64>().ok();
    Some(((next_part()? * 60.0 + next_part()?) * 60.0 + next_part()?) * 1e3)
}

fn parse_ms(pairs: &HashMap<&str, &str>, key: &str) -> f64 {
    // A missing duration means that no time was spent.
    pairs.get(key).and_then(|v| v.parse().ok()).unwrap_or(0.0)
}

/// Reconstructs requests from log lines; returns them in the order in which they ended.
/// The lines aren't kept in memory, so that long logs can be read.
pub fn parse_requests(lines: impl Iterator<Item = impl AsRef<str>>) -> Vec<Request> {
    let mut in_progress: HashMap<String, Request> = HashMap::new();
    let mut ended = Vec::new();
    for line in lines {
        let pairs = parse_pairs(line.as_ref());
        let (Some(event), Some(id)) = (pairs.get("event"), pairs.get("request")) else {
            continue;
        };
        let request = in_progress.entry((*id).to_owned()).or_default();
        if *event == "placed" {
            record_placed(request, &pairs);
        }
        if matches!(*event, "stream_ended" | "answered" | "refused") {
            let mut request = in_progress.remove(*id).unwrap_or_default();
            request.id = (*id).to_owned();
            record_end(&mut request, event, &pairs);
            ended.push(request);
        }
    }
    ended.sort_by(|a, b| a.ended_ms.total_cmp(&b.ended_ms));
    ended
}

fn record_placed(request: &mut Request, pairs: &HashMap<&str, &str>) {
    if request.attempts == 0 {
        request.keepers_ms = parse_ms(pairs, "waited_ms");
    }
    request.attempts += 1;
    request.turn = pairs.get("prompt").is_some_and(|p| *p != "0");
    if let Some(program) = pairs.get("program") {
        request.program = (*program).to_owned();
    }
}

fn record_end(request: &mut Request, event: &str, pairs: &HashMap<&str, &str>) {
    let end = match event {
        "stream_ended" => pairs.get("end"),
        "refused" => pairs.get("why"),
        _ => None,
    };
    request.end = end.map_or(event, |e| *e).to_owned();
    request.ended_ms = pairs
        .get("ts")
        .and_then(|t| parse_time_of_day_ms(t))
        .unwrap_or(0.0);
    request.total_ms = parse_ms(pairs, "ms") + parse_ms(pairs, "waited_ms");
    request.first_ms = parse_ms(pairs, "first_ms");
    request.events_ms = parse_ms(pairs, "events_ms");
    if let Some(program) = pairs.get("program").filter(|p| !p.is_empty()) {
        request.program = (*program).to_owned();
    }
}

/// Returns the time during which none of the requests was in progress, in milliseconds.
fn between_ms(requests: &[&Request]) -> f64 {
    let mut spans: Vec<(f64, f64)> = requests
        .iter()
        .map(|r| (r.ended_ms - r.total_ms, r.ended_ms))
        .collect();
    spans.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut latest_end = spans.first().map_or(0.0, |s| s.0);
    let mut between = 0.0;
    for (from, to) in spans {
        between += (from - latest_end).max(0.0);
        latest_end = latest_end.max(to);
    }
    between
}

/// Formats the report on one program: its total, and one line per request.
pub fn format_program(requests: &[Request], program: &str) -> String {
    let selected: Vec<&Request> = requests.iter().filter(|r| r.program == program).collect();
    let mut total = Breakdown::default();
    let mut text = String::new();
    for request in &selected {
        total.add(request);
        text += &format!(
            "  request={} end={} attempts={} total_ms={:.0} keepers_ms={:.0} first_ms={:.0} events_ms={:.0}\n",
            request.id,
            request.end,
            request.attempts,
            request.total_ms,
            request.keepers_ms,
            request.first_ms,
            request.events_ms
        );
    }
    let between = between_ms(&selected);
    let summary = total.format();
    format!("program={program} {summary} between_ms={between:.0}\n{text}")
}

/// Milliseconds per second.
const MS_PER_SECOND: f64 = 1e3;

/// Formats the report on all programs: one line per second, with the means of the
/// requests that ended in it.
pub fn format_seconds(requests: &[Request]) -> String {
    let mut seconds: BTreeMap<u64, Breakdown> = BTreeMap::new();
    let first = requests.first().map_or(0.0, |r| r.ended_ms);
    for request in requests {
        let second = ((request.ended_ms - first) / MS_PER_SECOND) as u64;
        seconds.entry(second).or_default().add(request);
    }
    let line = |(second, total): (&u64, &Breakdown)| {
        let count = f64::from(total.requests.max(1));
        let mean = Breakdown {
            keepers_ms: total.keepers_ms / count,
            first_ms: total.first_ms / count,
            events_ms: total.events_ms / count,
            rest_ms: total.rest_ms / count,
            calls_ms: total.calls_ms / count,
            ..*total
        };
        format!("second={second} {}\n", mean.format())
    };
    seconds.iter().map(line).collect()
}

/// Reads the requests from logs. Invalid UTF-8 is replaced.
fn read_requests(logs: impl BufRead) -> io::Result<Vec<Request>> {
    let mut result = Ok(());
    let lines = logs.split(b'\n').map_while(|line| match line {
        Ok(line) => Some(String::from_utf8_lossy(&line).into_owned()),
        Err(error) => {
            result = Err(error);
            None
        }
    });
    let requests = parse_requests(lines);
    result.map(|()| requests)
}

/// Runs `gradedyke explain`: reads logs from a file or standard input and prints a report.
pub fn command(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let program: Option<String> = args.opt_value_from_str("--program")?;
    let file: Option<PathBuf> = args.opt_free_from_str()?;
    expect_no_more_args(args)?;
    let requests = match file {
        Some(file) => {
            let read_error = |error| {
                let file = file.display();
                Failure::Usage(format!("{file}: cannot be read ({error}); check the path"))
            };
            let opened = File::open(&file).map_err(read_error)?;
            read_requests(BufReader::new(opened)).map_err(read_error)?
        }
        None => read_requests(std::io::stdin().lock()).map_err(|e| Failure::Failed(e.into()))?,
    };
    match program {
        Some(name) if requests.iter().all(|r| r.program != name) => Err(Failure::Usage(format!(
            "the logs have no request of program {name}; give the logs of all instances"
        ))),
        Some(name) => {
            print!("{}", format_program(&requests, &name));
            Ok(())
        }
        None => {
            print!("{}", format_seconds(&requests));
            Ok(())
        }
    }
}
