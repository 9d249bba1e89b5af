//! Measures the time from the start of a keeper with records on its disk to its first replies,
//! by the number of records.
//!
//! Uses one process and no network. The files are in the page cache, so the time does not
//! include reads from a physical disk.

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

/// Numbers of records to measure with.
const RECORD_COUNTS: [usize; 3] = [10_000, 100_000, 1_000_000];
/// Number of turns in a program. Each turn has two records.
const TURNS_PER_PROGRAM: usize = 4;
/// Size of the input of a turn, in bytes.
const TURN_INPUT_BYTES: usize = 560;
/// Number of records that are appended concurrently.
const APPEND_BATCH_LEN: usize = 4_096;
/// CPU share of a keeper, in cores, for which a projected time is reported.
const KEEPER_CORES: f64 = 0.3;

fn id(text: &str) -> eyre::Result<Id> {
    Id::parse(text).ok_or_else(|| eyre!("invalid ID: {text}"))
}

/// Returns the ID of a program. IDs are spread evenly.
fn program_id(number: usize) -> eyre::Result<Id> {
    id(&format!(
        "{:016x}",
        number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
    ))
}

/// Returns the ID of a program's request. IDs are spread evenly.
fn request_id(program: usize, turn: usize) -> eyre::Result<Id> {
    let hash = (program * TURNS_PER_PROGRAM + turn).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    id(&format!("{hash:016x}"))
}

/// Returns the reservation and the turn record of a program's turn.
fn turn_records(program: usize, turn: usize) -> eyre::Result<[Record; 2]> {
    let reservation = Reserved {
        program: program_id(program)?,
        request: request_id(program, turn)?,
        tokens: 50,
        keep_ms: 60_000,
    };
    let parent = match turn {
        0 => None,
        _ => Some(request_id(program, turn - 1)?),
    };
    let turn_record = Turn {
        request: request_id(program, turn)?,
        parent,
        input: Bytes::from(vec![b'x'; TURN_INPUT_BYTES]),
        output: Bytes::new(),
        server: id("i-0123456789")?,
        program: Some(program_id(program)?),
        tokens: 30,
        keep_ms: 60_000,
    };
    Ok([Record::Reserved(reservation), Record::Turn(turn_record)])
}

/// Writes `count` records to a new disk in `folder`, and returns the number of programs.
async fn write_records(folder: &Path, count: usize) -> eyre::Result<usize> {
    drop(Replica::open(
        folder,
        Mirror::new(&[]),
        CancellationToken::new(),
    )?);
    let log = Log::open(folder)?.0;
    let programs = count / (2 * TURNS_PER_PROGRAM);
    let mut batch = Vec::new();
    // Interleaves the programs, as concurrent programs do in service.
    for turn in 0..TURNS_PER_PROGRAM {
        for program in 0..programs {
            batch.extend(turn_records(program, turn)?);
            if batch.len() >= APPEND_BATCH_LEN {
                append_batch(&log, &mut batch).await?;
            }
        }
    }
    append_batch(&log, &mut batch).await?;
    Ok(programs)
}

/// Appends the records of a batch to the log, and clears the batch.
async fn append_batch(log: &Log, batch: &mut Vec<Record>) -> eyre::Result<()> {
    let results = join_all(batch.iter().map(|r| log.append(r))).await;
    results.into_iter().collect::<Result<Vec<_>, _>>()?;
    batch.clear();
    Ok(())
}

/// Begins a turn, and returns whether the reply contains the conversation that it continues.
async fn begin_turn(
    dispatcher: &Dispatcher,
    program: Id,
    parent: Option<Id>,
) -> eyre::Result<bool> {
    let reservation = Reserved {
        program,
        request: id("new")?,
        tokens: 50,
        keep_ms: 60_000,
    };
    let request = Request::Begin(Begin {
        view: 0,
        reserve: Some(reservation),
        parent,
        nearest: true,
        load: Report::default(),
        usage: None,
        first: false,
        patience_ms: 1_000,
    });
    let reply = dispatcher
        .handle(message::encode(&request), Instant::now().into())
        .await;
    match message::decode(&reply) {
        Some(Reply::Began { parent, .. }) => Ok(matches!(parent, Some(Found::Whole(_)))),
        reply => Err(eyre!(
            "unexpected reply to the request to begin a turn: {reply:?}"
        )),
    }
}

fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}

/// Measures with `count` records.
async fn measure_one(count: usize) -> eyre::Result<Value> {
    let folder = tempfile::tempdir()?;
    let programs = write_records(folder.path(), count).await?;
    let started = Instant::now();
    let stop = CancellationToken::new();
    let mirror = Mirror::new(&[]);
    let replica = Replica::open(folder.path(), mirror.clone(), stop)?;
    let opened_ms = elapsed_ms(started);
    let (_ready, receiver) = watch::channel(Some(replica));
    let dispatcher = Arc::new(Dispatcher::new(mirror, receiver));
    begin_turn(&dispatcher, id("unheard-of")?, None).await?;
    let new_program_ms = elapsed_ms(started);
    let last = request_id(programs / 2, TURNS_PER_PROGRAM - 1)?;
    let has_conversation = begin_turn(&dispatcher, program_id(programs / 2)?, Some(last)).await?;
    if !has_conversation {
        return Err(eyre!("the reply contains no conversation"));
    }
    let old_program_ms = elapsed_ms(started);
    Ok(json!({
        "records": count, "opened_ms": opened_ms, "new_program_ms": new_program_ms,
        "old_program_ms": old_program_ms,
        "old_program_ms_at_0.3_of_a_core": old_program_ms / KEEPER_CORES,
    }))
}

/// Runs the experiment, with only the smallest number of records if `short`.
pub async fn run(short: bool) -> eyre::Result<Value> {
    let sizes = if short { 1 } else { RECORD_COUNTS.len() };
    let mut rows = Vec::new();
    for count in &RECORD_COUNTS[..sizes] {
        rows.push(measure_one(*count).await?);
    }
    Ok(Value::Array(rows))
}
