//! When an entry treats the engines of a service by their own pace.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use gradedyke_gateway::fleet::{Fleet, Query, Server};
use gradedyke_policy::mechanism::Mechanisms;
use gradedyke_policy::placement;
use gradedyke_turns::record::Id;
use tokio::time::Instant;

const ENGINES: usize = 16;

fn id(text: &str) -> Id {
    Id::parse(text).unwrap()
}

/// An entry that knows 16 engines, of which the last 6 are in another data centre.
fn entry(now: Instant) -> Arc<Fleet> {
    let policy = placement::policies(Mechanisms::default()).remove("cost");
    let fleet = Fleet::new("here", None, policy.unwrap(), Mechanisms::default());
    for number in 0..ENGINES {
        let data_centre = if number < 10 { "here" } else { "there" };
        let server = Server {
            id: id(&format!("engine-{number}")),
            started_ms: Some(1),
            service: "engines".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            data_centre: data_centre.to_owned(),
            slots: 8,
            is_draining: false,
            remaining_warm_up: Duration::ZERO,
        };
        fleet.upsert(server, now);
    }
    fleet
}

/// Runs two requests at each eligible engine, which take `gap_ms(engine)` for an event. Returns
/// whether the engines' paces were told apart.
fn run(fleet: &Arc<Fleet>, gap_ms: impl Fn(usize) -> u64, now: Instant) -> bool {
    let (mut tried, mut choices) = (Vec::new(), Vec::new());
    loop {
        let query = Query {
            service: "engines",
            request_id: &id("request"),
            excluded: &tried,
            cached_on: None,
            prompt_tokens: 1_000,
            cached_tokens: 0,
            parts: &[],
            session: None,
            is_engine: true,
            cache_capacity_tokens: 0,
            is_repeatable: false,
            max_warm_up_rate_per_s: None,
            allowed_regions: None,
            now,
        };
        let Some(choice) = fleet.choose(&query) else {
            break;
        };
        let number = choice.id.as_str().trim_start_matches("engine-").parse();
        let gap = Duration::from_millis(gap_ms(number.unwrap()));
        (0..2).for_each(|_| fleet.record_event_gap(choice.key, 0, gap, now));
        tried.push(choice.key);
        choices.push(choice);
    }
    choices.iter().any(|choice| choice.candidate.pace.is_some())
}

/// Guards against engines that are treated by their pace for as long as others are evacuated, as
/// nothing is observed of these.
#[test]
fn evacuated_engines_do_not_prolong_a_difference() {
    let start = Instant::now();
    let fleet = entry(start);
    let at = |tenth: u64| start + Duration::from_millis(100 * tenth);
    let uneven_ms = |engine| if engine < 4 { 10 } else { 40 };
    let told_apart = (0..30).fold(false, |_, n| run(&fleet, uneven_ms, at(n)));
    assert!(told_apart);
    fleet.set_evacuated("there", true);
    let told_apart = (30..180).fold(true, |_, n| run(&fleet, |_| 20, at(n)));
    assert!(!told_apart);
}
