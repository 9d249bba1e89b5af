//! Measures the CPU time and bytes for sharing the usage of a client account between an entry
//! and a keeper, by the size of the deployment.
//!
//! Uses one thread and no network. Reports the minimum of several rounds, because other work
//! on the machine only makes a round slower.

use std::time::Duration;

use gradedyke_policy::account::{Account, Allowance};
use gradedyke_policy::allowance::Limiter;
use gradedyke_turns::message;
use gradedyke_turns::record::Id;
use gradedyke_turns::usage::Aggregator;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Sizes of deployments: entries, client accounts, and requests per second.
const DEPLOYMENT_SIZES: [(u64, usize, u64); 3] =
    [(58, 76, 2_300), (300, 300, 6_000), (1_400, 1_100, 12_000)];
/// Length of the window over which requests are counted against an allowance.
const ALLOWANCE_WINDOW: Duration = Duration::from_secs(5);
/// Number of exchanges between entry and keeper in a round.
const EXCHANGES_PER_ROUND: u64 = 2_000;
/// Number of rounds, of which the fastest is reported.
const ROUND_COUNT: u32 = 7;

/// Creates client accounts with an allowance.
fn new_accounts(count: usize) -> eyre::Result<Vec<Account>> {
    let account = |number| {
        let name = format!("account{number}");
        let name = Id::parse(&name).ok_or_else(|| eyre::eyre!("invalid ID: {name}"))?;
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

/// Charges one request to a client account, reports it to a keeper, and records the keeper's
/// sum over all entries. Returns the size of the encoded report in bytes.
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

/// Measures a deployment of the given size.
fn measure_one((entries, count, rate): (u64, usize, u64), rounds: u32) -> eyre::Result<Value> {
    let accounts = new_accounts(count)?;
    let start = Instant::now();
    let limiters = (0..entries).map(|n| Limiter::new(n, ALLOWANCE_WINDOW, start));
    let limiters: Vec<Limiter> = limiters.collect();
    let mut aggregator = Aggregator::default();
    let mut min_us = f64::INFINITY;
    let mut bytes = 0;
    let mut number = 0;
    let mut run_exchanges = |exchanges: u64, aggregator: &mut Aggregator| {
        let mut bytes = 0;
        for _ in 0..exchanges {
            number += 1;
            let now = start + Duration::from_micros(number * 1_000_000 / rate);
            // Varies the combination of entry and account.
            let limiter = &limiters[usize::try_from(number * 7 % entries).unwrap_or_default()];
            let account = &accounts[usize::try_from(number * 31).unwrap_or_default() % count];
            bytes += exchange(limiter, aggregator, account, now);
        }
        bytes
    };
    // Fills one whole window before the measurement.
    run_exchanges(rate * ALLOWANCE_WINDOW.as_secs(), &mut aggregator);
    for _ in 0..rounds {
        let started = std::time::Instant::now();
        bytes = run_exchanges(EXCHANGES_PER_ROUND, &mut aggregator);
        min_us = min_us.min(started.elapsed().as_secs_f64() * 1e6 / EXCHANGES_PER_ROUND as f64);
    }
    Ok(json!({
        "entries": entries, "accounts": count, "requests_per_s": rate,
        "exchange_us": min_us, "report_bytes": bytes as f64 / EXCHANGES_PER_ROUND as f64,
    }))
}

/// Runs the experiment, with only one round of the smallest size if `short`.
pub fn measure(short: bool) -> eyre::Result<Value> {
    let (sizes, rounds) = if short {
        (1, 1)
    } else {
        (DEPLOYMENT_SIZES.len(), ROUND_COUNT)
    };
    let rows = DEPLOYMENT_SIZES.into_iter().take(sizes);
    let rows: eyre::Result<Vec<Value>> = rows.map(|size| measure_one(size, rounds)).collect();
    Ok(Value::Array(rows?))
}
