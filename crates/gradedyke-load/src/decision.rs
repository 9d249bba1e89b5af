//! Measures the CPU time of choosing a server, by the number of servers, and compares the
//! policies `cost` and `least_loaded`.
//!
//! Uses one thread and no network. Reports the minimum of several rounds, because other work
//! on the machine only makes a round slower.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use gradedyke_gateway::fleet::{Fleet, Query, Server};
use gradedyke_policy::mechanism::Mechanisms;
use gradedyke_policy::placement;
use gradedyke_policy::prefix::Part;
use gradedyke_turns::record::Id;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Numbers of servers to measure with.
const SERVER_COUNTS: [usize; 3] = [12, 50, 3_600];
/// Number of rounds, of which the fastest is reported.
const ROUND_COUNT: u32 = 7;
/// Number of choices in a round times the number of servers, so that all rounds take a similar
/// time.
const CHOICES_TIMES_SERVERS: usize = 400_000;

fn id(text: &str) -> eyre::Result<Id> {
    Id::parse(text).ok_or_else(|| eyre::eyre!("invalid ID: {text}"))
}

/// Creates a fleet with the given number of idle servers.
fn new_fleet(policy: &str, servers: usize) -> eyre::Result<Arc<Fleet>> {
    let enabled = Mechanisms::default();
    let placement = placement::policies(enabled).remove(policy);
    let placement = placement.ok_or_else(|| eyre::eyre!("unknown policy: {policy}"))?;
    let fleet = Fleet::new("here", None, placement, enabled);
    for number in 0..servers {
        let server = Server {
            id: id(&format!("i-{number:08x}"))?,
            service: "engines".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            data_centre: "here".to_owned(),
            slots: 16,
            started_ms: None,
            is_draining: false,
            remaining_warm_up: std::time::Duration::ZERO,
        };
        fleet.upsert(server, Instant::now());
    }
    Ok(fleet)
}

/// Measures the time to choose a server, in microseconds.
fn choice_us(policy: &str, servers: usize, rounds: u32) -> eyre::Result<f64> {
    let start = Instant::now();
    let fleet = new_fleet(policy, servers)?;
    let part = |name: &str, tokens| -> eyre::Result<Part> {
        Ok(Part {
            id: id(name)?,
            tokens,
        })
    };
    let choices = CHOICES_TIMES_SERVERS / servers;
    let mut min_us = f64::INFINITY;
    for round in 0..rounds {
        let started = std::time::Instant::now();
        for number in 0..choices {
            let request = id(&format!("{round}-{number}"))?;
            let parts = [
                part("rules", 500)?,
                part(&format!("talk{}", number % 64), 800)?,
            ];
            let query = Query {
                service: "engines",
                request_id: &request,
                excluded: &[],
                cached_on: None,
                prompt_tokens: 1_300,
                cached_tokens: 0,
                parts: &parts,
                is_engine: true,
                cache_capacity_tokens: 100_000,
                is_repeatable: false,
                max_warm_up_rate_per_s: None,
                allowed_regions: None,
                now: start,
            };
            drop(fleet.choose(&query));
        }
        let us = started.elapsed().as_secs_f64() * 1e6 / choices as f64;
        min_us = min_us.min(us);
    }
    Ok(min_us)
}

/// Runs the experiment, with only one round if `short`.
pub fn measure(short: bool) -> eyre::Result<Value> {
    let rounds = if short { 1 } else { ROUND_COUNT };
    let mut rows = Vec::new();
    for servers in SERVER_COUNTS {
        let least_loaded_us = choice_us("least_loaded", servers, rounds)?;
        let cost_us = choice_us("cost", servers, rounds)?;
        rows.push(json!({
            "servers": servers, "least_loaded_us": least_loaded_us, "cost_us": cost_us,
            "ratio": cost_us / least_loaded_us,
        }));
    }
    Ok(Value::Array(rows))
}
