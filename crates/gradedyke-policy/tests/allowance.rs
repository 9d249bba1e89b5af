//! Simulates rate limits of client accounts over many entries in virtual time, with the
//! limiting code of entries and keepers and a simple network between them.

use std::collections::VecDeque;
use std::time::Duration;

use gradedyke_policy::account::{Account, Allowance};
use gradedyke_policy::allowance::{Charge, Decision, Limiter, Snapshot};
use gradedyke_turns::record::Id;
use gradedyke_turns::usage::{self, Aggregator, Report, Total};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Length of the windows to which the allowances apply.
const WINDOW: Duration = Duration::from_secs(5);
/// Number of requests that a program makes, one after the other.
const REQUESTS_PER_PROGRAM: u32 = 16;
/// Time between two requests of a program.
const REQUEST_INTERVAL_MS: u64 = 150;
/// Minimum latency from an entry to a keeper.
const MIN_KEEPER_LATENCY_MS: u64 = 2;

/// Demand of the accounts.
#[derive(Clone, Copy)]
struct Load {
    entries: usize,
    accounts: usize,
    /// Allowance of each account, in requests per second, without a burst.
    requests_per_s: f64,
    /// Demand of the first account, as a multiple of its allowance.
    first_demand: f64,
    /// Demand of each other account, as a multiple of its allowance.
    other_demand: f64,
}

/// A request that waits for the keepers' response.
struct PendingReport {
    arrival_ms: u64,
    entry: usize,
    program: usize,
    charge: Charge,
    report: Report,
    snapshot: Snapshot,
}

struct Program {
    account: usize,
    entry: usize,
    /// Requests that remain to be sent.
    remaining: u32,
    /// When the next request is sent.
    next_ms: u64,
}

/// Results of one account.
#[derive(Clone, Default)]
struct Outcome {
    /// Times at which requests were admitted, in milliseconds.
    admitted_ms: Vec<u64>,
    started: u32,
    completed: u32,
    refused: u32,
}

struct Simulation {
    rng: StdRng,
    start: Instant,
    accounts: Vec<Account>,
    limiters: Vec<Limiter>,
    aggregators: Vec<Aggregator>,
    pending: VecDeque<PendingReport>,
    programs: Vec<Program>,
    outcomes: Vec<Outcome>,
    /// Number of tool calls for which the keepers were asked.
    tool_call_queries: u64,
    /// Number of requests that a new program is expected to need; 0 disables the refusal of
    /// programs at their first request.
    planned: u32,
}

fn account(number: usize, requests_per_s: f64) -> Account {
    Account {
        name: Id::parse(&format!("account{number}")).unwrap(),
        priority: None,
        allowance: Some(Allowance {
            requests_per_s,
            burst: 0.0,
        }),
        allowed_regions: None,
    }
}

/// Maximum number of requests in a window of an account with this allowance.
fn limit(requests_per_s: f64) -> usize {
    let allowance = Allowance {
        requests_per_s,
        burst: 0.0,
    };
    usize::try_from(gradedyke_policy::allowance::limit(&allowance, WINDOW)).unwrap()
}

impl Simulation {
    fn new(load: &Load, planned: u32, seed: u64) -> Self {
        let start = Instant::now();
        let entries = 0..load.entries as u64;
        let accounts = 0..load.accounts;
        Self {
            rng: StdRng::seed_from_u64(seed),
            start,
            accounts: accounts.map(|n| account(n, load.requests_per_s)).collect(),
            limiters: entries.map(|n| Limiter::new(n, WINDOW, start)).collect(),
            aggregators: (0..5).map(|_| Aggregator::default()).collect(),
            pending: VecDeque::new(),
            programs: Vec::new(),
            outcomes: vec![Outcome::default(); load.accounts],
            tool_call_queries: 0,
            planned,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn run(&mut self, load: &Load, from_ms: u64, to_ms: u64) {
        for ms in from_ms..to_ms {
            self.start_programs(load, ms);
            self.deliver_reports(ms);
            self.send_due_requests(ms);
        }
    }

    /// Starts new programs at random, at the rate of `load`.
    fn start_programs(&mut self, load: &Load, ms: u64) {
        for number in 0..load.accounts {
            let demand = if number == 0 {
                load.first_demand
            } else {
                load.other_demand
            };
            let starts_per_ms =
                load.requests_per_s * demand / f64::from(REQUESTS_PER_PROGRAM) / 1e3;
            if self.rng.random_bool(starts_per_ms.min(1.0)) {
                let entry = self.rng.random_range(0..load.entries);
                self.programs.push(Program {
                    account: number,
                    entry,
                    remaining: REQUESTS_PER_PROGRAM,
                    next_ms: ms,
                });
            }
        }
    }

    /// Sends the requests that are due.
    fn send_due_requests(&mut self, ms: u64) {
        for index in 0..self.programs.len() {
            let program = &self.programs[index];
            if program.remaining > 0 && program.next_ms == ms {
                self.send_request(index, ms);
            }
        }
    }

    fn send_request(&mut self, index: usize, ms: u64) {
        let program = &self.programs[index];
        // Turns and tool calls alternate.
        let (is_program_start, is_turn) = (
            program.remaining == REQUESTS_PER_PROGRAM,
            program.remaining.is_multiple_of(2),
        );
        let planned = if is_program_start { self.planned } else { 0 };
        let (entry, now) = (program.entry, self.at(ms));
        let limiter = &self.limiters[entry];
        let account = &self.accounts[program.account];
        let charge = limiter.charge(account, planned, now).unwrap();
        match limiter.check(&charge, now) {
            Decision::Exceeded => {
                limiter.refund(&charge);
                self.refuse(index);
            }
            Decision::Within if !is_turn => self.admit(index, ms),
            Decision::Within | Decision::Unknown => {
                let (report, snapshot) = limiter.report(&charge, now);
                self.tool_call_queries += u64::from(!is_turn);
                let jitter_ms = self.rng.random_range(0..4);
                self.pending.push_back(PendingReport {
                    arrival_ms: ms + MIN_KEEPER_LATENCY_MS + jitter_ms,
                    entry,
                    program: index,
                    charge,
                    report,
                    snapshot,
                });
                // The program sends nothing else until the response arrives.
                self.programs[index].next_ms = u64::MAX;
            }
        }
    }

    /// Delivers the reports that are due to the keepers, and decides by their responses.
    fn deliver_reports(&mut self, ms: u64) {
        for _ in 0..self.pending.len() {
            let Some(pending) = self.pending.pop_front() else {
                break;
            };
            if pending.arrival_ms > ms {
                self.pending.push_back(pending);
                continue;
            }
            let now = self.at(ms);
            let mut sum = Total::default();
            for aggregator in &mut self.aggregators {
                aggregator.record_report(pending.report.clone(), now);
                sum = sum.max(aggregator.total(pending.charge.account, now));
            }
            let limiter = &self.limiters[pending.entry];
            limiter.record_sum(pending.snapshot, sum, now);
            if pending.charge.is_within(sum) {
                self.admit(pending.program, ms);
            } else {
                limiter.refund(&pending.charge);
                self.refuse(pending.program);
            }
        }
    }

    fn admit(&mut self, index: usize, ms: u64) {
        let program = &mut self.programs[index];
        let outcome = &mut self.outcomes[program.account];
        outcome.admitted_ms.push(ms);
        outcome.started += u32::from(program.remaining == REQUESTS_PER_PROGRAM);
        program.remaining -= 1;
        outcome.completed += u32::from(program.remaining == 0);
        program.next_ms = ms + REQUEST_INTERVAL_MS;
    }

    fn refuse(&mut self, index: usize) {
        let program = &mut self.programs[index];
        self.outcomes[program.account].refused += 1;
        program.remaining = 0;
    }

    /// Maximum number of requests of an account in any window.
    fn max_in_window(&self, account: usize) -> usize {
        let mut admitted_ms = self.outcomes[account].admitted_ms.clone();
        admitted_ms.sort_unstable();
        let window_ms = u64::try_from(WINDOW.as_millis()).unwrap();
        let in_window = |from: usize| {
            let end = admitted_ms[from] + window_ms;
            admitted_ms.partition_point(|at| *at < end) - from
        };
        (0..admitted_ms.len()).map(in_window).max().unwrap_or(0)
    }
}

const LOADS: [Load; 4] = [
    // One account that exceeds its allowance among others that stay within theirs.
    Load {
        entries: 8,
        accounts: 8,
        requests_per_s: 60.0,
        first_demand: 4.0,
        other_demand: 0.6,
    },
    Load {
        entries: 58,
        accounts: 16,
        requests_per_s: 60.0,
        first_demand: 7.5,
        other_demand: 0.6,
    },
    // A larger allowance.
    Load {
        entries: 58,
        accounts: 4,
        requests_per_s: 280.0,
        first_demand: 7.5,
        other_demand: 0.6,
    },
    // More entries than requests per window in the allowance.
    Load {
        entries: 300,
        accounts: 4,
        requests_per_s: 20.0,
        first_demand: 7.5,
        other_demand: 0.5,
    },
];

#[tokio::test]
async fn no_window_exceeds_the_allowance_by_more_than_five_percent() {
    for (number, load) in LOADS.iter().enumerate() {
        // If programs need more requests than planned, running programs reach the limit.
        for (seed, planned) in [
            (0, REQUESTS_PER_PROGRAM),
            (1, REQUESTS_PER_PROGRAM),
            (2, REQUESTS_PER_PROGRAM / 2),
            (3, 0),
        ] {
            let mut simulation = Simulation::new(load, planned, seed);
            simulation.run(load, 0, 12_000);
            for account in 0..load.accounts {
                let (max_requests, limit) = (
                    simulation.max_in_window(account),
                    limit(load.requests_per_s),
                );
                let excess = max_requests.saturating_sub(limit);
                assert!(
                    excess <= limit / 20 + 2,
                    "{max_requests} requests in a window, limit {limit}, load {number}, seed {seed}"
                );
            }
        }
    }
}

#[tokio::test]
async fn requests_within_the_allowance_are_admitted_and_rarely_ask_the_keepers() {
    let load = Load {
        entries: 58,
        accounts: 16,
        requests_per_s: 280.0,
        first_demand: 0.6,
        other_demand: 0.6,
    };
    let mut simulation = Simulation::new(&load, REQUESTS_PER_PROGRAM, 1);
    simulation.run(&load, 0, 10_000);
    let refused: u32 = simulation.outcomes.iter().map(|o| o.refused).sum();
    let admitted: usize = simulation
        .outcomes
        .iter()
        .map(|o| o.admitted_ms.len())
        .sum();
    assert_eq!(refused, 0);
    // Half of the requests are tool calls; at most a quarter of these ask the keepers.
    assert!(
        simulation.tool_call_queries * 8 <= admitted as u64,
        "{} of {admitted}",
        simulation.tool_call_queries
    );
}

#[tokio::test]
async fn an_account_over_its_allowance_still_completes_programs() {
    // Number of completed programs; the allowance suffices for 45 in 12 s.
    let completed = |planned| {
        let load = LOADS[1];
        let mut simulation = Simulation::new(&load, planned, 7);
        simulation.run(&load, 0, 12_000);
        simulation.outcomes[0].completed
    };
    // If programs are not refused at their first turn, most are interrupted in the middle.
    let (with_planning, without_planning) = (completed(REQUESTS_PER_PROGRAM), completed(0));
    assert!(with_planning >= 25, "{with_planning} programs completed");
    assert!(
        without_planning * 2 <= with_planning,
        "{without_planning} programs completed without planning, {with_planning} with it"
    );
}

/// Maximum number of requests in any window of an account at its limit, when all processes
/// are killed 0.25 s after keepers saved the usage and restart 0.3 s later. With `restored`
/// the keepers load the saved usage.
fn max_requests_around_restart(seed: u64, restored: bool) -> usize {
    let load = LOADS[1];
    // Without planned requests, running programs reach the limit.
    let mut simulation = Simulation::new(&load, 0, seed);
    simulation.run(&load, 0, 2_750);
    let saved = simulation.aggregators[0].export(simulation.at(2_750));
    simulation.run(&load, 2_750, 3_000);
    let now = simulation.at(3_300);
    let entries = 0..load.entries as u64;
    let entries = entries.map(|n| Limiter::new(1_000 + n, WINDOW, now));
    simulation.limiters = entries.collect();
    simulation.aggregators = (0..5).map(|_| Aggregator::default()).collect();
    if restored {
        for aggregator in &mut simulation.aggregators {
            aggregator.restore(saved.clone(), now);
        }
    }
    simulation.pending.clear();
    simulation.programs.clear();
    simulation.run(&load, 3_300, 10_000);
    simulation.max_in_window(0)
}

#[tokio::test]
async fn restarted_keepers_restore_usage_from_disk() {
    let limit = limit(LOADS[1].requests_per_s);
    for seed in 0..4 {
        // Usage since the last save is lost.
        let restored = max_requests_around_restart(seed, true);
        assert!(restored <= limit * 11 / 10, "{restored} of {limit}");
        let unrestored = max_requests_around_restart(seed, false);
        assert!(unrestored >= limit * 13 / 10, "{unrestored} of {limit}");
    }
}

#[tokio::test]
async fn usage_survives_a_keeper_that_lost_its_disk_and_is_reported_again() {
    let now = Instant::now();
    let limiter = Limiter::new(1, WINDOW, now);
    let limited = account(0, 10.0);
    let mut charge = None;
    for _ in 0..30 {
        charge = limiter.charge(&limited, 0, now);
    }
    let charge = charge.unwrap();
    let (report, _) = limiter.report(&charge, now);
    let (mut intact, mut empty) = (Aggregator::default(), Aggregator::default());
    intact.record_report(report, now);
    let (asked, later) = (charge.account, now + Duration::from_millis(1_100));
    let sum = intact.total(asked, later).max(empty.total(asked, later));
    assert_eq!(sum.requests, 30);
    // The report for another account's turn includes the usage again.
    let other = limiter.charge(&account(1, 10.0), 0, later).unwrap();
    empty.record_report(limiter.report(&other, later).0, later);
    assert_eq!(empty.total(asked, later).requests, 30);
}

#[test]
fn usage_expires_after_the_window_and_not_before() {
    let mut counter = usage::Counter::default();
    let one = Total {
        requests: 1,
        planned: 0,
    };
    counter.add(3, one);
    counter.add(4, one);
    assert_eq!(counter.window_buckets(4), [one, one]);
    // The current bucket is incomplete, so `BUCKETS_PER_WINDOW + 1` buckets are kept.
    assert_eq!(counter.window_buckets(23).len(), 21);
    assert_eq!(counter.window_buckets(24).len(), 21);
    assert_eq!(counter.window_buckets(25), []);
    counter.subtract(3, one);
    assert_eq!(counter.window_buckets(26), []);
}

#[tokio::test]
async fn a_program_that_needs_more_than_the_limit_starts_if_no_other_has_started() {
    let now = Instant::now();
    let limiter = Limiter::new(1, WINDOW, now);
    // The limit is 10 requests per window, and a program needs 16.
    let limited = account(0, 2.0);
    let mut aggregator = Aggregator::default();
    let mut try_start = |at: Instant| {
        let charge = limiter.charge(&limited, REQUESTS_PER_PROGRAM, at).unwrap();
        let (report, snapshot) = limiter.report(&charge, at);
        aggregator.record_report(report, at);
        let sum = aggregator.total(charge.account, at);
        limiter.record_sum(snapshot, sum, at);
        let within = charge.is_within(sum);
        if !within {
            limiter.refund(&charge);
        }
        within
    };
    assert!(try_start(now));
    assert!(!try_start(now + Duration::from_secs(1)));
    assert!(try_start(now + Duration::from_secs(6)));
}
