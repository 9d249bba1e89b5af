//! Measures the CPU time of choosing a server, by the number of servers, and compares the
//! policies `cost` and `least_loaded`, and `cost` with and without owners of shared prompt parts
//! where these fill the engines' caches.
//!
//! Uses one thread and no network. Reports the minimum of several rounds, because other work
//! on the machine only makes a round slower.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use gradedyke_gateway::fleet::{Fleet, Query, Server};
use gradedyke_policy::mechanism::{Mechanism, Mechanisms};
use gradedyke_policy::placement;
use gradedyke_policy::prefix::Part;
use gradedyke_turns::record::Id;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Numbers of servers to measure with.
const SERVER_COUNTS: [usize; 4] = [12, 50, 3_600, 10_000];
/// Number of rounds, of which the fastest is reported.
const ROUND_COUNT: u32 = 7;
/// Number of choices in a round times the number of servers, so that all rounds take a similar
/// time.
const CHOICES_TIMES_SERVERS: usize = 400_000;

/// The prompts of the requests, which begin with one of several shared parts.
#[derive(Clone, Copy)]
struct Prompts {
    shared_parts: usize,
    shared_tokens: u64,
    cache_capacity_tokens: u64,
}

/// One small shared part, which each engine can cache.
const SMALL_PROMPTS: Prompts = Prompts {
    shared_parts: 1,
    shared_tokens: 500,
    cache_capacity_tokens: 100_000,
};
/// Shared parts that fill most of an engine's cache.
const LARGE_PROMPTS: Prompts = Prompts {
    shared_parts: 16,
    shared_tokens: 12_600,
    cache_capacity_tokens: 220_527,
};

fn id(text: &str) -> eyre::Result<Id> {
    Id::parse(text).ok_or_else(|| eyre::eyre!("invalid ID: {text}"))
}

/// Creates a fleet with the given number of idle servers.
fn new_fleet(policy: &str, enabled: Mechanisms, servers: usize) -> eyre::Result<Arc<Fleet>> {
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
fn choice_us(
    policy: &str,
    enabled: Mechanisms,
    prompts: Prompts,
    servers: usize,
    rounds: u32,
) -> eyre::Result<f64> {
    let start = Instant::now();
    let fleet = new_fleet(policy, enabled, servers)?;
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
                part(
                    &format!("rules{}", number % prompts.shared_parts),
                    prompts.shared_tokens,
                )?,
                part(&format!("talk{}", number % 64), 800)?,
            ];
            let query = Query {
                service: "engines",
                request_id: &request,
                excluded: &[],
                cached_on: None,
                prompt_tokens: prompts.shared_tokens + 800,
                cached_tokens: 0,
                parts: &parts,
                session: None,
                is_engine: true,
                cache_capacity_tokens: prompts.cache_capacity_tokens,
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
        let all = Mechanisms::default();
        let without_owners = Mechanisms::all_except(&[Mechanism::PrefixOwners]);
        let small = |policy| choice_us(policy, all, SMALL_PROMPTS, servers, rounds);
        let large = |enabled| choice_us("cost", enabled, LARGE_PROMPTS, servers, rounds);
        let (least_loaded_us, cost_us) = (small("least_loaded")?, small("cost")?);
        let (with_owners_us, without_owners_us) = (large(all)?, large(without_owners)?);
        rows.push(json!({
            "servers": servers, "least_loaded_us": least_loaded_us, "cost_us": cost_us,
            "ratio": cost_us / least_loaded_us, "large_prompts_us": with_owners_us,
            "large_prompts_without_owners_us": without_owners_us,
            "owners_ratio": with_owners_us / without_owners_us,
        }));
    }
    Ok(Value::Array(rows))
}
