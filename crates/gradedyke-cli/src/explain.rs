//! `gradedyke explain`: what the time of programs went to, from the logs of all
//! instances.
//!
//! A request's time is told by the lines that it leaves: `placed` says how long it
//! waited for the keepers' word, `stream_ended` how long its engine took to the first
//! event (its queue, and the reading of the prompt) and to the last, `answered` how
//! long a plain service took. The rest of a turn's time is that of keeping it.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use crate::{Failure, no_more};

/// One request, as the logs tell of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: String,
    /// Its program.
    pub program: String,
    /// Servers it was sent to.
    pub attempts: u32,
    /// How it ended.
    pub end: String,
    /// When it ended, in milliseconds of its day.
    pub ended_ms: f64,
    /// Its whole time, in milliseconds.
    pub total_ms: f64,
    /// Until it was first placed.
    pub keepers_ms: f64,
    /// From its placement to the first event.
    pub first_ms: f64,
    /// From the first event to the last.
    pub events_ms: f64,
    /// Whether it is a turn.
    pub turn: bool,
}

/// What the time of requests went to, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests.
    pub requests: u32,
    /// The word of the keepers before a turn.
    pub keepers_ms: f64,
    /// Queue at the engine and reading of the prompt, to the first event.
    pub first_ms: f64,
    /// The events after the first.
    pub events_ms: f64,
    /// Keeping the turn, and attempts that failed.
    pub rest_ms: f64,
    /// Plain services.
    pub calls_ms: f64,
    /// Requests that ended otherwise than whole.
    pub failed: u32,
}

impl Share {
    fn add(&mut self, request: &Request) {
        self.requests += 1;
        self.failed += u32::from(!matches!(request.end.as_str(), "whole" | "answered"));
        if !request.turn {
            self.calls_ms += request.total_ms;
            return;
        }
        let known = request.keepers_ms + request.first_ms + request.events_ms;
        self.keepers_ms += request.keepers_ms;
        self.first_ms += request.first_ms;
        self.events_ms += request.events_ms;
        self.rest_ms += (request.total_ms - known).max(0.0);
    }

    fn text(&self) -> String {
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

/// The `key=value` pairs of a line; values may be quoted.
fn pairs(line: &str) -> HashMap<&str, &str> {
    let mut pairs = HashMap::new();
    let mut rest = line;
    while let Some((before, after)) = rest.split_once('=') {
        let key = before.rsplit(' ').next().unwrap_or(before);
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.insert(key, value);
        rest = next;
    }
    pairs
}

/// Milliseconds of the day in a time like `2026-01-28T23:30:43.992Z`.
fn day_ms(time: &str) -> Option<f64> {
    let clock = time.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = clock.split(':');
    let mut part = || parts.next()?.parse::<f64>().ok();
    Some(((part()? * 60.0 + part()?) * 60.0 + part()?) * 1e3)
}

fn number(pairs: &HashMap<&str, &str>, key: &str) -> f64 {
    // A time that a line does not have is none that was spent.
    pairs.get(key).and_then(|v| v.parse().ok()).unwrap_or(0.0)
}

/// The requests that lines tell of, in the order of their ends. Of the lines only
/// what they tell is held, so that logs of any length can be read.
pub fn requests(lines: impl Iterator<Item = impl AsRef<str>>) -> Vec<Request> {
    let mut open: HashMap<String, Request> = HashMap::new();
    let mut ended = Vec::new();
    for line in lines {
        let pairs = pairs(line.as_ref());
        let (Some(event), Some(id)) = (pairs.get("event"), pairs.get("request")) else {
            continue;
        };
        let request = open.entry((*id).to_owned()).or_default();
        if *event == "placed" {
            placed(request, &pairs);
        }
        if matches!(*event, "stream_ended" | "answered" | "refused") {
            let mut request = open.remove(*id).unwrap_or_default();
            request.id = (*id).to_owned();
            end(&mut request, event, &pairs);
            ended.push(request);
        }
    }
    ended.sort_by(|a, b| a.ended_ms.total_cmp(&b.ended_ms));
    ended
}

fn placed(request: &mut Request, pairs: &HashMap<&str, &str>) {
    if request.attempts == 0 {
        request.keepers_ms = number(pairs, "waited_ms");
    }
    request.attempts += 1;
    request.turn = pairs.get("prompt").is_some_and(|p| *p != "0");
    if let Some(program) = pairs.get("program") {
        request.program = (*program).to_owned();
    }
}

fn end(request: &mut Request, event: &str, pairs: &HashMap<&str, &str>) {
    let end = match event {
        "stream_ended" => pairs.get("end"),
        "refused" => pairs.get("why"),
        _ => None,
    };
    request.end = end.map_or(event, |e| *e).to_owned();
    request.ended_ms = pairs.get("ts").and_then(|t| day_ms(t)).unwrap_or(0.0);
    request.total_ms = number(pairs, "ms") + number(pairs, "waited_ms");
    request.first_ms = number(pairs, "first_ms");
    request.events_ms = number(pairs, "events_ms");
    if let Some(program) = pairs.get("program").filter(|p| !p.is_empty()) {
        request.program = (*program).to_owned();
    }
}

/// Time in which none of these requests was in progress, in milliseconds.
fn between_ms(requests: &[&Request]) -> f64 {
    let mut spans: Vec<(f64, f64)> = requests
        .iter()
        .map(|r| (r.ended_ms - r.total_ms, r.ended_ms))
        .collect();
    spans.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut until = spans.first().map_or(0.0, |s| s.0);
    let mut between = 0.0;
    for (from, to) in spans {
        between += (from - until).max(0.0);
        until = until.max(to);
    }
    between
}

/// What is said of one program.
pub fn program(requests: &[Request], program: &str) -> String {
    let own: Vec<&Request> = requests.iter().filter(|r| r.program == program).collect();
    let mut share = Share::default();
    let mut text = String::new();
    for request in &own {
        share.add(request);
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
    let between = between_ms(&own);
    let head = share.text();
    format!("program={program} {head} between_ms={between:.0}\n{text}")
}

/// Milliseconds in a second.
const SECOND_MS: f64 = 1e3;

/// What is said of all programs, by the second in which requests ended: means of the
/// requests.
pub fn seconds(requests: &[Request]) -> String {
    let mut seconds: BTreeMap<u64, Share> = BTreeMap::new();
    let first = requests.first().map_or(0.0, |r| r.ended_ms);
    for request in requests {
        let second = ((request.ended_ms - first) / SECOND_MS) as u64;
        seconds.entry(second).or_default().add(request);
    }
    let line = |(second, share): (&u64, &Share)| {
        let count = f64::from(share.requests.max(1));
        let mean = Share {
            keepers_ms: share.keepers_ms / count,
            first_ms: share.first_ms / count,
            events_ms: share.events_ms / count,
            rest_ms: share.rest_ms / count,
            calls_ms: share.calls_ms / count,
            ..*share
        };
        format!("second={second} {}\n", mean.text())
    };
    seconds.iter().map(line).collect()
}

/// The requests in logs. Bytes that are no text stand for themselves.
fn read(logs: impl BufRead) -> io::Result<Vec<Request>> {
    let mut failed = Ok(());
    let lines = logs.split(b'\n').map_while(|line| match line {
        Ok(line) => Some(String::from_utf8_lossy(&line).into_owned()),
        Err(error) => {
            failed = Err(error);
            None
        }
    });
    let requests = requests(lines);
    failed.map(|()| requests)
}

/// Reads logs from a file, or from standard input, and tells.
pub fn command(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let named: Option<String> = args.opt_value_from_str("--program")?;
    let file: Option<PathBuf> = args.opt_free_from_str()?;
    no_more(args)?;
    let requests = match file {
        Some(file) => {
            let unread = |error| {
                let file = file.display();
                Failure::Usage(format!("{file}: cannot be read ({error}); check the path"))
            };
            let opened = File::open(&file).map_err(unread)?;
            read(BufReader::new(opened)).map_err(unread)?
        }
        None => read(std::io::stdin().lock()).map_err(|e| Failure::Failed(e.into()))?,
    };
    match named {
        Some(name) if requests.iter().all(|r| r.program != name) => Err(Failure::Usage(format!(
            "the logs have no request of program {name}; give the logs of all instances"
        ))),
        Some(name) => {
            print!("{}", program(&requests, &name));
            Ok(())
        }
        None => {
            print!("{}", seconds(&requests));
            Ok(())
        }
    }
}
