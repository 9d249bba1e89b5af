//! Owners of shared prompt parts: agreement between entries and stability.

use gradedyke_policy::owners::{self, Demand, Orders};
use gradedyke_policy::prefix::Part;
use gradedyke_turns::record::Id;

const CAPACITY_TOKENS: u64 = 220_527;

fn part(name: &str, tokens: u64) -> Part {
    let id = Id::parse(name).unwrap();
    Part { id, tokens }
}

fn engine_hash(engine: usize) -> u64 {
    owners::hash(&Id::parse(&format!("engine-{engine}/1")).unwrap())
}

/// The first `count` of some engines for a part.
fn owners_among(part: &Part, engines: impl Iterator<Item = usize>, count: usize) -> Vec<usize> {
    let score = |e: &usize| owners::score(owners::hash(&part.id), engine_hash(*e), 1.0);
    let mut engines: Vec<usize> = engines.collect();
    engines.sort_by(|a, b| score(a).total_cmp(&score(b)));
    engines.truncate(count);
    engines
}

/// Demand in which the part 0 of 16 has the given share of the requests.
fn demand(requests: usize, percent_of_first: usize) -> Demand {
    let mut demand = Demand::default();
    for n in 0..requests {
        let index = if n % 100 < percent_of_first {
            0
        } else {
            n % 16
        };
        let own = part(&format!("talk{n}"), 840);
        demand.record(&[part(&format!("rules{index}"), 12_600), own]);
    }
    demand
}

/// Guards against a lost or added engine moving the parts of others.
#[test]
fn lost_engine_moves_only_its_share() {
    let parts: Vec<Part> = (0..64).map(|n| part(&format!("rules{n}"), 1)).collect();
    let mut moved = 0;
    for part in &parts {
        let before = owners_among(part, 0..48, 12);
        let after = owners_among(part, (0..48).filter(|e| *e != 7), 12);
        let added: Vec<_> = after.iter().filter(|e| !before.contains(e)).collect();
        assert_eq!(added.len(), usize::from(before.contains(&7)));
        moved += added.len();
    }
    // A quarter of the parts, as each has a quarter of the engines as owners.
    assert!((8..=24).contains(&moved), "{moved}");
}

/// Guards against a small change of an engine's weight moving the others' parts.
#[test]
fn weight_moves_only_its_engine() {
    for part in 0..1_000 {
        let first = |weight: f64| {
            let weight_of = |e: usize| if e == 3 { weight } else { 1.0 };
            let score = |e: &usize| owners::score(part, engine_hash(*e), weight_of(*e));
            (0..48).min_by(|a, b| score(a).total_cmp(&score(b)))
        };
        let (before, after) = (first(1.0), first(1.2));
        assert!(before == after || after == Some(3));
    }
}

/// Guards against a number of owners that ignores demand or memory.
#[test]
fn number_of_owners_follows_demand() {
    let count = |demand: &Demand, name: &str| {
        demand
            .owner_count(&part(name, 0).id, 48, CAPACITY_TOKENS)
            .unwrap()
    };
    let even = demand(800, 0);
    let total: usize = (0..16).map(|n| count(&even, &format!("rules{n}"))).sum();
    let owned_tokens = total as u64 * 12_600;
    assert!(owned_tokens <= 48 * CAPACITY_TOKENS * 3 / 10, "{total}");
    let skewed = demand(800, 90);
    assert_eq!(count(&skewed, "rules0"), 48);
    assert!(count(&skewed, "rules3") < 12);
}

/// Guards against an effect on deployments whose engines can cache all shared parts.
#[test]
fn parts_that_fit_have_no_owners() {
    assert!(demand(800, 0).fills_caches(CAPACITY_TOKENS));
    assert!(!demand(800, 0).fills_caches(4 * 16 * 12_600 + 1));
    assert!(!demand(800, 0).fills_caches(0));
    // The parts of single conversations are not shared.
    let mut demand = Demand::default();
    for n in 0..100 {
        let own = [part(&format!("talk{n}"), 9_000), part("branch", 100)];
        demand.record(&[&[part("rules", 500)], &own[..]].concat());
    }
    assert_eq!(demand.shared_size().0, 1);
}

/// Guards against a part that is not recognized as shared because it was first seen behind another
/// part, and against an overflow of the lengths that callers state.
#[test]
fn part_that_begins_a_prompt_is_shared() {
    let mut demand = Demand::default();
    let (rules, talk) = (part("rules", u64::MAX), part("talk", 1));
    demand.record(&[part("header", u64::MAX), rules.clone(), talk.clone()]);
    assert_eq!(demand.shared_size().0, 1);
    demand.record(&[rules, talk]);
    assert_eq!(demand.shared_size(), (2, u64::MAX));
}

/// Guards against orders that become outdated as engines come and go.
#[test]
fn cached_orders_follow_the_set_of_engines() {
    let (demand, rules) = (demand(100, 0), part("rules0", 12_600));
    let mut orders = Orders::default();
    for engine in 0..200 {
        orders.insert(engine, engine_hash(engine));
        orders.prepare(&rules.id, &demand);
    }
    for engine in 50..100 {
        orders.remove(engine);
    }
    let expected = owners_among(&rules, (0..50).chain(100..200), 200);
    let order: Vec<usize> = orders.of(&rules.id).iter().map(|(_, e)| *e).collect();
    assert_eq!(order, expected);
}
