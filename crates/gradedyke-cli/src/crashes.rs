//! `gradedyke crashes`: tells of requests under which backend servers ended.

use std::cmp::Reverse;
use std::net::SocketAddr;

use gradedyke_peer::Client;
use gradedyke_turns::crash::{self, Fingerprint, MAX_ENDED_SERVERS, Registry};
use tokio::time::Instant;

use crate::{Failure, build_runtime};

/// Prints the requests that the processes at the given addresses know, or clears one of them.
pub fn command(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let cleared: Option<Fingerprint> = args.opt_value_from_str("--clear")?;
    let mut addresses: Vec<SocketAddr> = Vec::new();
    while let Some(address) = args.opt_free_from_str()? {
        addresses.push(address);
    }
    if addresses.is_empty() {
        return Err(Failure::Usage(
            "no address; give the peer addresses of keepers or entries".to_owned(),
        ));
    }
    build_runtime()?.block_on(run(&addresses, cleared))
}

async fn run(addresses: &[SocketAddr], cleared: Option<Fingerprint>) -> Result<(), Failure> {
    let registry = Registry::default();
    let clients: Vec<Client> = addresses.iter().map(|a| Client::new(*a)).collect();
    for client in &clients {
        let fetched = crash::fetch(client, &registry).await;
        fetched.map_err(|e| Failure::Failed(e.into()))?;
    }
    if let Some(fingerprint) = cleared {
        let report = registry.clear(fingerprint, Instant::now());
        let report = report.ok_or_else(|| {
            Failure::Failed(eyre::eyre!(
                "{fingerprint} is not known there; list the known ones without --clear"
            ))
        })?;
        for client in &clients {
            let sent = crash::send(client, vec![report.clone()]).await;
            sent.map_err(|e| Failure::Failed(e.into()))?;
        }
        println!("cleared={fingerprint} processes={}", clients.len());
        return Ok(());
    }
    let mut entries = registry.entries(Instant::now());
    entries.sort_by_key(|e| (Reverse(e.count), Reverse(e.ended), e.age));
    for entry in entries {
        let is_refused = entry.count >= MAX_ENDED_SERVERS;
        let state = if is_refused { "refused" } else { "suspect" };
        println!(
            "fingerprint={} state={state} counted={} ended={} age_s={:.1}",
            entry.fingerprint,
            entry.count,
            entry.ended,
            entry.age.as_secs_f64()
        );
    }
    Ok(())
}
