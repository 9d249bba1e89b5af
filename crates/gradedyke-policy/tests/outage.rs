//! Simulates callers that are refused in outages of the key-value store, in virtual time.

use std::time::Duration;

use gradedyke_policy::MIN_RETRY_AFTER;
use gradedyke_policy::outage::{self, History};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Greatest age of the data at which keys are used, with the shortest revocation time and 5 s.
const MAX_KEY_AGES_MS: [u64; 2] = [2_900, 4_900];
/// Time left of the callers, in seconds.
const TIME_LEFT_S: [u64; 2] = [3, 1];
/// Interval between callers: 30 per second.
const CALLER_INTERVAL: Duration = Duration::from_nanos(33_333_333);
/// Range of the factor that the gateway applies to other delays to spread callers.
const JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Factors of successive callers differ by this fraction of the range, so that they are evenly
/// distributed and the counts show what is expected rather than chance.
const GOLDEN_RATIO: f64 = 0.618_033_988_75;
/// Length of the intervals in which requests are counted.
const SLOT_MS: u128 = 100;
/// Time after the end of an outage in which requests are counted.
const OBSERVED: Duration = Duration::from_secs(3);
/// Number of runs of each outage, with different seeds.
const RUN_COUNT: u64 = 20;
/// Error of the count in one slot, as a factor: the randomness of the delays in [`RUN_COUNT`]
/// runs. With 200 runs the busiest slot of all cases has 2.02 times the usual requests.
const COUNT_ERROR: f64 = 1.05;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What callers got in some outages of the same length.
#[derive(Default)]
struct Outcome {
    /// Callers served at their second try, by their time left.
    served: [usize; 2],
    /// Sum of the waits of callers that were refused.
    waited: Duration,
    /// Requests in the time after the outage, by slot.
    requests: Vec<usize>,
}

/// Simulates an outage that begins at `start`, when the last call was answered. Without a
/// history, callers are told the shortest delay.
fn simulate(
    history: Option<&History>,
    start: Instant,
    length: Duration,
    max_key_age: Duration,
    seed: u64,
    outcome: &mut Outcome,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let end = start + length;
    let cycle = CALLER_INTERVAL * u32::try_from(TIME_LEFT_S.len()).unwrap();
    let mut now = start + cycle.mul_f64(random.random());
    let phase: f64 = random.random();
    outcome.requests.resize(30, 0);
    let slot = |at: Instant| {
        let since = at.checked_duration_since(end)?.as_millis() / SLOT_MS;
        usize::try_from(since).ok()
    };
    for number in 0.. {
        if now >= end + OBSERVED {
            return;
        }
        let class = number % TIME_LEFT_S.len();
        let time_left = Duration::from_secs(TIME_LEFT_S[class]);
        let mut arrivals = vec![now];
        if now < end && now - start > max_key_age {
            let unit = (phase + GOLDEN_RATIO * (number / TIME_LEFT_S.len()) as f64).fract();
            let between =
                |range: std::ops::Range<f64>| range.start + (range.end - range.start) * unit;
            let told = match history {
                Some(history) => {
                    let delay = history.delay(start, now, time_left, max_key_age).wait;
                    delay.mul_f64(between(outage::JITTER))
                }
                None => MIN_RETRY_AFTER.mul_f64(between(JITTER)),
            };
            let wait = told.min(time_left / 3);
            let back = now + wait;
            outcome.waited += wait;
            outcome.served[class] += usize::from(back >= end);
            arrivals.push(back);
        }
        for slot in arrivals.into_iter().filter_map(slot) {
            if let Some(count) = outcome.requests.get_mut(slot) {
                *count += 1;
            }
        }
        now += CALLER_INTERVAL;
    }
}

/// A process that has seen some outages of the given lengths.
fn history_of(lengths: &[Duration], now: Instant) -> History {
    let history = History::default();
    let mut at = now;
    for length in lengths {
        history.record_confirmation(at);
        at += *length;
        history.record_confirmation(at);
        at += ms(600);
    }
    history
}

/// Guards against callers that use up their tries during an outage, and against callers that
/// return in a burst after it.
#[test]
fn callers_return_to_a_working_service_and_spread() {
    let start = Instant::now();
    let histories: [&[u64]; 3] = [&[], &[5_300], &[3_200, 6_000, 5_100]];
    let usual = 0.1 / CALLER_INTERVAL.as_secs_f64() * RUN_COUNT as f64;
    for (max_key_age, former) in MAX_KEY_AGES_MS
        .into_iter()
        .flat_map(|age| histories.map(|h| (ms(age), h)))
    {
        let former: Vec<Duration> = former.iter().map(|l| ms(*l)).collect();
        let [mut planned_total, mut shortest_total] = [0, 0];
        for length in (1_000..=20_000).step_by(500).map(ms) {
            let [mut planned, mut shortest] = [Outcome::default(), Outcome::default()];
            for seed in 0..RUN_COUNT {
                let history = history_of(&former, start);
                let (key_age, start) = (max_key_age, start + ms(60_000));
                simulate(Some(&history), start, length, key_age, seed, &mut planned);
                simulate(None, start, length, key_age, seed, &mut shortest);
            }
            let case = format!("former {former:?}, keys until {max_key_age:?}, {length:?}");
            let (p, s) = (planned.served, shortest.served);
            assert!(
                p[0] >= s[0] && p[1] >= s[1],
                "{case}: {p:?} instead of {s:?}"
            );
            let busiest = planned.requests.iter().max().copied().unwrap_or_default();
            assert!(
                busiest as f64 <= 2.0 * usual * COUNT_ERROR,
                "{case}: {busiest} of {usual}"
            );
            if length <= ms(10_000) {
                planned_total += p.iter().sum::<usize>();
                shortest_total += s.iter().sum::<usize>();
            }
        }
        assert!(
            planned_total as f64 >= 1.3 * shortest_total as f64,
            "former {former:?}, keys until {max_key_age:?}: {planned_total} of {shortest_total}"
        );
    }
}

/// Guards against delays that ignore how long former outages lasted: callers would wait for the
/// rest of their time although the end of the outage is near.
#[test]
fn former_outages_shorten_the_wait() {
    let start = Instant::now();
    let outcome = |former: &[Duration]| {
        let mut outcome = Outcome::default();
        let history = history_of(former, start);
        let start = start + ms(60_000);
        simulate(Some(&history), start, ms(5_300), ms(4_900), 1, &mut outcome);
        outcome
    };
    let (with, without) = (outcome(&[ms(5_300)]), outcome(&[]));
    assert_eq!(with.served, without.served);
    let (with, without) = (with.waited, without.waited);
    assert!(
        with < without.mul_f64(0.9),
        "{with:?}, {without:?} without history"
    );
}
