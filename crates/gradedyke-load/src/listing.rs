//! What a first listing of the platform's service costs who tells it, who is told it and
//! the network, by the number of its keys. One thread, no network; the least of several
//! rounds, because other work on the machine only adds.

use gradedyke_turns::message::{self, Reply};
use gradedyke_turns::mirror::{Cursor, Item, Mirror};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Keys, ten for each instance of a deployment.
const SIZES: [usize; 4] = [1_000, 3_000, 10_000, 20_000];
/// Rounds, of which the least counts.
const ROUNDS: u32 = 5;

/// An entry such as backend servers write.
fn item(number: usize) -> Item {
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

/// Microseconds at who tells and at who is told, and bytes and pages between them.
#[derive(Clone, Copy)]
struct Costs {
    telling_us: f64,
    hearing_us: f64,
    bytes: usize,
    pages: usize,
}

fn follow(source: &Mirror) -> eyre::Result<Costs> {
    let mirror = Mirror::new(&[""]);
    let mut cursor = Cursor::default();
    let mut items = Vec::new();
    let mut costs = Costs {
        telling_us: 0.0,
        hearing_us: 0.0,
        bytes: 0,
        pages: 0,
    };
    loop {
        let now = Instant::now();
        let began = std::time::Instant::now();
        let reply = message::encode(&Reply::News(source.update_since(&cursor, now, now)));
        costs.telling_us += began.elapsed().as_secs_f64() * 1e6;
        costs.bytes += reply.len();
        costs.pages += 1;
        let began = std::time::Instant::now();
        let Some(Reply::News(update)) = message::decode(&reply) else {
            eyre::bail!("the reply is not understood");
        };
        items.append(&mut update.items.decode()?);
        (cursor.boot, cursor.change, cursor.listing) = (update.boot, update.next, update.more);
        let more = update.more;
        if !more {
            mirror.apply_update(update, std::mem::take(&mut items), now, now);
        }
        costs.hearing_us += began.elapsed().as_secs_f64() * 1e6;
        if !more {
            return Ok(costs);
        }
    }
}

fn measure_one(keys: usize, rounds: u32) -> eyre::Result<Value> {
    let source = Mirror::new(&[""]);
    let items = (0..keys).map(item).collect();
    source.apply_listing("", items, keys as u64, Instant::now());
    let first = follow(&source)?;
    let mut least = first;
    for _ in 0..rounds {
        let next = follow(&source)?;
        least.telling_us = least.telling_us.min(next.telling_us);
        least.hearing_us = least.hearing_us.min(next.hearing_us);
    }
    Ok(json!({
        "keys": keys, "bytes": least.bytes, "pages": least.pages,
        "telling_the_first_us": first.telling_us.round(),
        "telling_us": least.telling_us.round(), "hearing_us": least.hearing_us.round(),
    }))
}

/// Measures a listing at each size.
pub fn measure(short: bool) -> eyre::Result<Value> {
    let (sizes, rounds) = match short {
        true => (&SIZES[..1], 1),
        false => (&SIZES[..], ROUNDS),
    };
    let rows = sizes.iter().map(|keys| measure_one(*keys, rounds));
    Ok(Value::Array(rows.collect::<eyre::Result<_>>()?))
}
