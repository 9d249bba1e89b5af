//! Entries that know nothing of each other agree on the owners of shared prompt parts.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use gradedyke_gateway::fleet::{Choice, Fleet, Query, Server};
use gradedyke_policy::mechanism::Mechanisms;
use gradedyke_policy::placement;
use gradedyke_policy::prefix::Part;
use gradedyke_turns::record::Id;
use tokio::time::Instant;

fn id(text: &str) -> Id {
    Id::parse(text).unwrap()
}

/// An entry that knows engines with the numbers `engines`, all idle.
fn entry(engines: impl Iterator<Item = usize>, now: Instant) -> Arc<Fleet> {
    let policy = placement::policies(Mechanisms::default()).remove("cost");
    let fleet = Fleet::new("here", None, policy.unwrap(), Mechanisms::default());
    for number in engines {
        let server = Server {
            id: id(&format!("engine-{number}")),
            started_ms: Some(1),
            service: "engines".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            data_centre: "here".to_owned(),
            slots: 8,
            is_draining: false,
            remaining_warm_up: Duration::ZERO,
        };
        fleet.upsert(server, now);
    }
    fleet
}

/// Chooses an engine for a request with the shared part `part` of 16.
fn choose(fleet: &Arc<Fleet>, part: usize, request: &str, session: &str, now: Instant) -> Choice {
    let new_part = |name: &str, tokens| Part {
        id: id(name),
        tokens,
    };
    let parts = [
        new_part(&format!("rules{part}"), 12_600),
        new_part(session, 840),
    ];
    let query = Query {
        service: "engines",
        request_id: &id(request),
        excluded: &[],
        cached_on: None,
        prompt_tokens: 13_440,
        cached_tokens: 0,
        parts: &parts,
        session: Some(&id(session)),
        is_engine: true,
        cache_capacity_tokens: 220_527,
        is_repeatable: false,
        max_warm_up_rate_per_s: None,
        allowed_regions: None,
        now,
    };
    fleet.choose(&query).unwrap()
}

/// Guards against entries that spread a part over more engines than its owners, or the turns of
/// a session over several engines, also if engines are sampled.
#[test]
fn entries_agree_on_owners_without_messages() {
    let now = Instant::now();
    for engines in [48, 2_000] {
        // The second entry doesn't know the last engine yet.
        let entries = [entry(0..engines, now), entry(0..engines - 1, now)];
        for n in 0..800 {
            let name = format!("r{n}");
            entries
                .iter()
                .for_each(|e| drop(choose(e, n % 16, &name, &name, now)));
        }
        let (mut agreed, mut used) = (0, HashSet::new());
        for n in 0..800 {
            let session = format!("session{n}");
            let chosen = [0, 1].map(|e| {
                let request = format!("{session}-{e}");
                choose(&entries[e], n % 16, &request, &session, now)
                    .id
                    .clone()
            });
            agreed += usize::from(chosen[0] == chosen[1]);
            if n % 16 == 3 {
                used.extend(chosen);
            }
        }
        assert!(agreed >= 720, "{engines} engines: {agreed} sessions");
        // Even demand, a quarter of the caches: 210 owners of 16 parts on 48 engines.
        let max_owners = engines * 210 / 48 / 16 * 5 / 4;
        assert!(used.len() <= max_owners, "{engines}: {} used", used.len());
    }
}
