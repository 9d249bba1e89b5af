//! Stand-in for a client: takes turns as PROTOCOL.md describes it.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::engine::EVENT_TOKENS;
use crate::http;
use crate::record::{self, Record};

/// Host of all routes.
pub const HOST: &str = "minutes.example";

/// Tokens of each prompt. An input may be large and take few tokens, such as a scanned page.
const PROMPT_TOKENS: u32 = 1_500;

/// A turn to be taken.
#[derive(Clone, Debug)]
pub struct Turn {
    pub path: String,
    pub program: String,
    pub previous: Option<String>,
    pub input: String,
    /// Number of events that the server makes.
    pub events: u32,
    /// Tokens that all turns of the program may generate.
    pub budget: u32,
    /// How long the client waits.
    pub deadline: Duration,
}

/// How an attempt ended.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// ID of the attempt.
    pub request: String,
    /// The status; 0 without an answer.
    pub status: u16,
    /// Whether the whole answer arrived.
    pub is_whole: bool,
    /// Number of events that arrived.
    pub events: u32,
    /// The data of the events, each with a line feed.
    pub output: String,
    retry_after: Option<Duration>,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.status == 200 && self.is_whole
    }
}

/// A client of the entries.
pub struct Client {
    entries: Vec<SocketAddr>,
    record: Arc<Record>,
    /// Attempts of all clients, by which they get IDs.
    count: Arc<AtomicU32>,
    /// The entry to which the platform hands this client's new channels; retries reach others.
    home: usize,
}

impl Client {
    pub fn new(entries: &[SocketAddr], record: &Arc<Record>) -> Arc<Self> {
        let (entries, record) = (entries.to_vec(), record.clone());
        Arc::new(Self {
            entries,
            record,
            count: Arc::default(),
            home: 0,
        })
    }

    /// Another client, whose new channels go to the entry `home`.
    pub fn at(&self, home: usize) -> Arc<Self> {
        let (entries, record) = (self.entries.clone(), self.record.clone());
        Arc::new(Self {
            entries,
            record,
            count: self.count.clone(),
            home,
        })
    }

    /// Makes one attempt, with an ID and a channel of its own, after so many retries.
    pub fn attempt(&self, turn: &Turn, retries: usize) -> Answer {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let request = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + u64::from(number));
        let entry = self.entries[(self.home + retries) % self.entries.len()];
        self.record.line(&format!(
            "client sends {request} to the entry at {entry}, program {}, previous turn {}, input {}",
            turn.program,
            turn.previous.as_deref().unwrap_or("none"),
            record::quoted(&turn.input),
        ));
        let mut answer = Answer {
            request,
            ..Answer::default()
        };
        let result = self.exchange(entry, turn, &mut answer);
        let error = result
            .err()
            .map_or(String::new(), |error| format!(" ({error})"));
        self.record.line(&format!(
            "client gets for {}: status {}, {} events, {}{error}",
            answer.request,
            answer.status,
            answer.events,
            if answer.is_whole {
                "whole"
            } else {
                "not whole"
            },
        ));
        answer
    }

    fn exchange(&self, entry: SocketAddr, turn: &Turn, answer: &mut Answer) -> io::Result<()> {
        let until = Instant::now() + turn.deadline;
        let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let previous = turn.previous.as_ref();
        let previous = previous.map_or(String::new(), |id| {
            format!("X-Gradedyke-Previous-Turn: {id}\r\n")
        });
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\nX-Gradedyke-Request-Id: {}\r\nX-Gradedyke-Model: m\r\n\
             X-Gradedyke-Token-Usage: {PROMPT_TOKENS},{}\r\nX-Gradedyke-Prompt-Prefix: 5c1e07a2:1000,{}:500\r\n\
             X-Gradedyke-Deadline-Ms: {}\r\nX-Gradedyke-Program-Id: {}\r\nX-Gradedyke-Session-Id: {}5e\r\n\
             X-Gradedyke-Program-Deadline: 90000\r\nX-Gradedyke-Token-Budget: {}\r\n{previous}\
             Content-Length: {}\r\n\r\n{}",
            turn.path,
            answer.request,
            turn.events * EVENT_TOKENS,
            &turn.program,
            turn.deadline.as_millis(),
            turn.program,
            turn.program,
            turn.budget,
            turn.input.len(),
            turn.input,
        );
        stream.write_all(head.as_bytes())?;
        let wait = |stream: &TcpStream| {
            let left = until.saturating_duration_since(Instant::now());
            stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))
        };
        wait(&stream)?;
        let mut reader = BufReader::new(stream);
        let head = http::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        answer.status = head.part(1).parse().unwrap_or(0);
        let retry_after = head.header("retry-after").and_then(|s| s.parse().ok());
        answer.retry_after = retry_after.map(Duration::from_secs_f64);
        if answer.status != 200 {
            http::read_body(&mut reader, &head)?;
            answer.is_whole = true;
            return Ok(());
        }
        let mut text = Vec::new();
        loop {
            wait(reader.get_ref())?;
            let Some(chunk) = http::read_chunk(&mut reader)? else {
                break;
            };
            text.extend_from_slice(&chunk);
            let text = String::from_utf8_lossy(&text);
            let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
            answer.output = data.map(|data| format!("{data}\n")).collect();
            answer.events = u32::try_from(text.matches("\n\n").count()).unwrap_or(0);
        }
        answer.is_whole = true;
        Ok(())
    }

    /// Takes a turn: one attempt and, after a promise that it has not run, one more; all that
    /// again up to twice, as clients do. Returns all answers, the last one last.
    pub fn take(&self, turn: &Turn) -> Vec<Answer> {
        let mut answers = Vec::new();
        for try_number in 0..3 {
            if try_number > 0 {
                std::thread::sleep(Duration::from_millis(250));
            }
            for _ in 0..2 {
                let answer = self.attempt(turn, answers.len());
                let (status, success) = (answer.status, answer.is_success());
                let retry_after = answer.retry_after;
                answers.push(answer);
                if success || [400, 401, 402, 403, 404, 413].contains(&status) {
                    return answers;
                }
                if ![408, 421, 429, 503].contains(&status) {
                    break;
                }
                std::thread::sleep(retry_after.unwrap_or(Duration::from_millis(100)));
            }
        }
        answers
    }
}
