//! Time from the start of a keeper over a full disk to its first answers, by the
//! number of records. One process, no network; the disk's files are in the
//! machine's cache, so this is the processor's part of it.

use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use eyre::eyre;
use futures_util::future::join_all;
use gradedyke_peer::Handler;
use gradedyke_turns::desk::Dispatcher;
use gradedyke_turns::load::Report;
use gradedyke_turns::log::Log;
use gradedyke_turns::message::{self, Begin, Found, Reply, Request};
use gradedyke_turns::mirror::Mirror;
use gradedyke_turns::record::{Id, Record, Reserved, Turn};
use gradedyke_turns::replica::Replica;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Records on the disk: half a minute of a small deployment, of one with three
/// hundred instances, and ten times that.
const RECORDS: [usize; 3] = [10_000, 100_000, 1_000_000];
/// Turns of a program, each with a reservation of its own.
const TURNS: usize = 4;
/// Bytes of a turn: 25 MB in 44,700 turns, as a keeper held after 34 s of 150
/// programs a second.
const BODY: usize = 560;
/// Records appended at a time.
const BATCH: usize = 4_096;
/// Share of a core that a keeper has in the deployments of today.
const CORE: f64 = 0.3;

fn id(text: &str) -> eyre::Result<Id> {
    Id::parse(text).ok_or_else(|| eyre!("{text} is no name"))
}

fn program(number: usize) -> eyre::Result<Id> {
    id(&format!(
        "{:016x}",
        number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
    ))
}

fn request(program: usize, turn: usize) -> eyre::Result<Id> {
    let mixed = (program * TURNS + turn).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    id(&format!("{mixed:016x}"))
}

/// The two records of a turn.
fn records(number: usize, turn: usize) -> eyre::Result<[Record; 2]> {
    let reserved = Reserved {
        program: program(number)?,
        request: request(number, turn)?,
        tokens: 50,
        keep_ms: 60_000,
    };
    let parent = match turn {
        0 => None,
        _ => Some(request(number, turn - 1)?),
    };
    let kept = Turn {
        request: request(number, turn)?,
        parent,
        input: Bytes::from(vec![b'x'; BODY]),
        output: Bytes::new(),
        server: id("i-0123456789")?,
        program: Some(program(number)?),
        tokens: 30,
        keep_ms: 60_000,
    };
    Ok([Record::Reserved(reserved), Record::Turn(kept)])
}

async fn fill(folder: &Path, count: usize) -> eyre::Result<usize> {
    drop(Replica::open(
        folder,
        Mirror::new(&[]),
        CancellationToken::new(),
    )?);
    let log = Log::open(folder)?.0;
    let programs = count / (2 * TURNS);
    let mut batch = Vec::new();
    // Turn by turn, so that a program's records lie far apart, as in service.
    for turn in 0..TURNS {
        for number in 0..programs {
            batch.extend(records(number, turn)?);
            if batch.len() >= BATCH {
                append(&log, &mut batch).await?;
            }
        }
    }
    append(&log, &mut batch).await?;
    Ok(programs)
}

async fn append(log: &Log, batch: &mut Vec<Record>) -> eyre::Result<()> {
    let appended = join_all(batch.iter().map(|r| log.append(r))).await;
    appended.into_iter().collect::<Result<Vec<_>, _>>()?;
    batch.clear();
    Ok(())
}

/// Asks for a turn, and tells whether the conversation it continues was told.
async fn begin(dispatcher: &Dispatcher, program: Id, parent: Option<Id>) -> eyre::Result<bool> {
    let reserve = Reserved {
        program,
        request: id("new")?,
        tokens: 50,
        keep_ms: 60_000,
    };
    let begin = Request::Begin(Begin {
        view: 0,
        reserve: Some(reserve),
        parent,
        nearest: true,
        load: Report::default(),
        usage: None,
        first: false,
        patience_ms: 1_000,
    });
    let reply = dispatcher
        .handle(message::encode(&begin), Instant::now().into())
        .await;
    match message::decode(&reply) {
        Some(Reply::Began { parent, .. }) => Ok(matches!(parent, Some(Found::Whole(_)))),
        reply => Err(eyre!("not begun: {reply:?}")),
    }
}

fn ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}

async fn one(count: usize) -> eyre::Result<Value> {
    let folder = tempfile::tempdir()?;
    let programs = fill(folder.path(), count).await?;
    let began = Instant::now();
    let stop = CancellationToken::new();
    let mirror = Mirror::new(&[]);
    let replica = Replica::open(folder.path(), mirror.clone(), stop)?;
    let opened_ms = ms(began);
    let (_ready, receiver) = watch::channel(Some(replica));
    let dispatcher = Arc::new(Dispatcher::new(mirror, receiver));
    begin(&dispatcher, id("unheard-of")?, None).await?;
    let new_ms = ms(began);
    let last = request(programs / 2, TURNS - 1)?;
    let told = begin(&dispatcher, program(programs / 2)?, Some(last)).await?;
    if !told {
        return Err(eyre!("the conversation was not told"));
    }
    let old_ms = ms(began);
    Ok(json!({
        "records": count, "opened_ms": opened_ms, "new_program_ms": new_ms,
        "old_program_ms": old_ms, "old_program_ms_at_0.3_of_a_core": old_ms / CORE,
    }))
}

/// Measures all of it; `short` without the longest history.
pub async fn run(short: bool) -> eyre::Result<Value> {
    let most = if short { 1 } else { RECORDS.len() };
    let mut rows = Vec::new();
    for count in &RECORDS[..most] {
        rows.push(one(*count).await?);
    }
    Ok(Value::Array(rows))
}
