//! Measures the CPU time and bytes to send a copy of the platform's key-value service to a
//! process that has none, by the number of keys.
//!
//! Uses one thread and no network. Reports the minimum of several rounds, because other work
//! on the machine only makes a round slower.

use gradedyke_turns::message::{self, Reply};
use gradedyke_turns::mirror::{Cursor, Item, Mirror};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Numbers of keys to measure with.
const KEY_COUNTS: [usize; 4] = [1_000, 3_000, 10_000, 20_000];
/// Number of rounds, of which the fastest is reported.
const ROUND_COUNT: u32 = 5;

/// Returns an item like those with which backend servers register.
fn registration(number: usize) -> Item {
    let (a, b) = (number / 250 % 250, number % 250);
    let id = blake3::hash(&number.to_le_bytes()).to_hex();
    let value = json!({
        "name": "engine-of-this-service", "address": format!("10.{}.{a}.{b}:8264", number % 5),
        "place": format!("north-{}", number % 5), "build": "v1", "parallel": 6,
        "condition": "taking requests", "warming_ms": 0, "kind": "both",
        "holds": [{ "name": "m", "build": 1, "adapters": [] }], "orders": 0,
        "began": 1_767_638_800_000_u64 + number as u64 * 37,
    });
    Item {
        key: format!("backends/i-{}", &id[..10]),
        value: Some(value.to_string().into()),
        revision: 1 + number as u64,
    }
}

/// CPU time of sender and receiver, and the size of the listing.
#[derive(Clone, Copy)]
struct Costs {
    sender_us: f64,
    receiver_us: f64,
    bytes: usize,
    pages: usize,
}

/// Transfers all items of `source` to a new mirror, and returns the costs.
fn transfer(source: &Mirror) -> eyre::Result<Costs> {
    let mirror = Mirror::new(&[""]);
    let mut cursor = Cursor::default();
    let mut items = Vec::new();
    let mut costs = Costs {
        sender_us: 0.0,
        receiver_us: 0.0,
        bytes: 0,
        pages: 0,
    };
    loop {
        let now = Instant::now();
        let started = std::time::Instant::now();
        let reply = message::encode(&Reply::News(source.update_since(&cursor, now, now)));
        costs.sender_us += started.elapsed().as_secs_f64() * 1e6;
        costs.bytes += reply.len();
        costs.pages += 1;
        let started = std::time::Instant::now();
        let Some(Reply::News(update)) = message::decode(&reply) else {
            eyre::bail!("the reply is not an update");
        };
        items.append(&mut update.items.decode()?);
        (cursor.boot, cursor.change, cursor.listing) = (update.boot, update.next, update.more);
        let more = update.more;
        if !more {
            mirror.apply_update(update, std::mem::take(&mut items), now, now);
        }
        costs.receiver_us += started.elapsed().as_secs_f64() * 1e6;
        if !more {
            return Ok(costs);
        }
    }
}

/// Measures the transfer of a listing with `keys` keys.
fn measure_one(keys: usize, rounds: u32) -> eyre::Result<Value> {
    let source = Mirror::new(&[""]);
    let items = (0..keys).map(registration).collect();
    source.apply_listing("", items, keys as u64, Instant::now());
    let first = transfer(&source)?;
    let mut min = first;
    for _ in 0..rounds {
        let next = transfer(&source)?;
        min.sender_us = min.sender_us.min(next.sender_us);
        min.receiver_us = min.receiver_us.min(next.receiver_us);
    }
    Ok(json!({
        "keys": keys, "bytes": min.bytes, "pages": min.pages,
        "telling_the_first_us": first.sender_us.round(),
        "telling_us": min.sender_us.round(), "hearing_us": min.receiver_us.round(),
    }))
}

/// Runs the experiment, with only the smallest listing and one round if `short`.
pub fn measure(short: bool) -> eyre::Result<Value> {
    let (key_counts, rounds) = match short {
        true => (&KEY_COUNTS[..1], 1),
        false => (&KEY_COUNTS[..], ROUND_COUNT),
    };
    let rows = key_counts.iter().map(|keys| measure_one(*keys, rounds));
    Ok(Value::Array(rows.collect::<eyre::Result<_>>()?))
}
