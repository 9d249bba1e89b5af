//! Processor time of one choice of a server, by the number of servers, and relative to
//! the naive policy. One thread, no network; the least of several rounds, because
//! other work on the machine only adds.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use gradedyke_gateway::fleet::{Fleet, Query, Server};
use gradedyke_gateway::mechanism::Mechanisms;
use gradedyke_gateway::placement;
use gradedyke_gateway::prefix::Part;
use gradedyke_turns::record::Id;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Numbers of servers: a small deployment, a grown one, and the one aimed at.
const SERVERS: [usize; 3] = [12, 50, 3_600];
/// Rounds, of which the least counts.
const ROUNDS: u32 = 7;
/// Choices of a round over all servers together.
const CHECKED: usize = 400_000;

fn id(text: &str) -> eyre::Result<Id> {
    Id::parse(text).ok_or_else(|| eyre::eyre!("{text} is no name"))
}

fn fleet(policy: &str, servers: usize) -> eyre::Result<Arc<Fleet>> {
    let enabled = Mechanisms::default();
    let chosen = placement::policies(enabled).remove(policy);
    let chosen = chosen.ok_or_else(|| eyre::eyre!("no policy {policy}"))?;
    let fleet = Fleet::new("here", None, chosen, enabled);
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

/// Microseconds for a choice.
fn choice_us(policy: &str, servers: usize, rounds: u32) -> eyre::Result<f64> {
    let start = Instant::now();
    let fleet = fleet(policy, servers)?;
    let part = |name: &str, tokens| -> eyre::Result<Part> {
        Ok(Part {
            id: id(name)?,
            tokens,
        })
    };
    let count = CHECKED / servers;
    let mut least = f64::INFINITY;
    for round in 0..rounds {
        let began = std::time::Instant::now();
        for number in 0..count {
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
        let us = began.elapsed().as_secs_f64() * 1e6 / count as f64;
        least = least.min(us);
    }
    Ok(least)
}

/// Measures all of it; `short` with one round.
pub fn measure(short: bool) -> eyre::Result<Value> {
    let rounds = if short { 1 } else { ROUNDS };
    let mut rows = Vec::new();
    for servers in SERVERS {
        let naive = choice_us("least_loaded", servers, rounds)?;
        let whole = choice_us("cost", servers, rounds)?;
        rows.push(json!({
            "servers": servers, "least_loaded_us": naive, "cost_us": whole,
            "ratio": whole / naive,
        }));
    }
    Ok(Value::Array(rows))
}
