//! Processor time and bytes that the use of client accounts costs an exchange between an
//! entry and a keeper, by the size of the deployment. One thread, no network; the least
//! of several rounds, because other work on the machine only adds.

use std::time::Duration;

use gradedyke_gateway::account::{Account, Allowance};
use gradedyke_gateway::allowance::Limiter;
use gradedyke_turns::message;
use gradedyke_turns::record::Id;
use gradedyke_turns::usage::Aggregator;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Deployments: entries, accounts, and requests a second. The first is the users' of
/// today, the last the one aimed at.
const SIZES: [(u64, usize, u64); 3] = [(58, 76, 2_300), (300, 300, 6_000), (1_400, 1_100, 12_000)];
/// Windows of allowances.
const WINDOW: Duration = Duration::from_secs(5);
/// Exchanges of a round.
const EXCHANGES: u64 = 2_000;
/// Rounds, of which the least counts.
const ROUNDS: u32 = 7;

fn accounts(count: usize) -> eyre::Result<Vec<Account>> {
    let account = |number| {
        let name = format!("account{number}");
        let name = Id::parse(&name).ok_or_else(|| eyre::eyre!("{name} is no name"))?;
        let allowance = Allowance {
            requests_per_s: 1_000.0,
            burst: 0.0,
        };
        Ok(Account {
            name,
            priority: None,
            allowance: Some(allowance),
            allowed_regions: None,
        })
    };
    (0..count).map(account).collect()
}

/// An entry's request of an account: what it tells a keeper, and the sum that answers it.
/// Returns the bytes of the report.
fn exchange(
    limiter: &Limiter,
    aggregator: &mut Aggregator,
    account: &Account,
    now: Instant,
) -> usize {
    let Some(charge) = limiter.charge(account, 0, now) else {
        return 0;
    };
    let (report, snapshot) = limiter.report(&charge, now);
    let bytes = message::encode(&report).len();
    aggregator.record_report(report, now);
    let sum = aggregator.total(charge.account, now);
    limiter.record_sum(snapshot, sum, now);
    bytes
}

fn measure_one((entries, count, rate): (u64, usize, u64), rounds: u32) -> eyre::Result<Value> {
    let accounts = accounts(count)?;
    let start = Instant::now();
    let limiters = (0..entries).map(|n| Limiter::new(n, WINDOW, start));
    let limiters: Vec<Limiter> = limiters.collect();
    let mut aggregator = Aggregator::default();
    let mut least = f64::INFINITY;
    let mut bytes = 0;
    let mut number = 0;
    let mut play = |exchanges: u64, aggregator: &mut Aggregator| {
        let mut bytes = 0;
        for _ in 0..exchanges {
            number += 1;
            let now = start + Duration::from_micros(number * 1_000_000 / rate);
            // Accounts and entries in another order each time round.
            let limiter = &limiters[usize::try_from(number * 7 % entries).unwrap_or_default()];
            let account = &accounts[usize::try_from(number * 31).unwrap_or_default() % count];
            bytes += exchange(limiter, aggregator, account, now);
        }
        bytes
    };
    // A whole window first.
    play(rate * WINDOW.as_secs(), &mut aggregator);
    for _ in 0..rounds {
        let began = std::time::Instant::now();
        bytes = play(EXCHANGES, &mut aggregator);
        least = least.min(began.elapsed().as_secs_f64() * 1e6 / EXCHANGES as f64);
    }
    Ok(json!({
        "entries": entries, "accounts": count, "requests_per_s": rate,
        "exchange_us": least, "report_bytes": bytes as f64 / EXCHANGES as f64,
    }))
}

/// Measures all of it; `short` with one round of the first size.
pub fn measure(short: bool) -> eyre::Result<Value> {
    let (sizes, rounds) = if short { (1, 1) } else { (SIZES.len(), ROUNDS) };
    let rows = SIZES.into_iter().take(sizes);
    let rows: eyre::Result<Vec<Value>> = rows.map(|size| measure_one(size, rounds)).collect();
    Ok(Value::Array(rows?))
}
