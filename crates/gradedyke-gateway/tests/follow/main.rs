//! Simulates entries, a keeper and the key-value store in virtual time, and checks that a
//! configuration change reaches every entry in time while keepers or the store fail.
//!
//! Guards against entries that pass the same data around among themselves, take it for a
//! recent update, and all stop reading the store.

mod network;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use gradedyke_gateway::follow;
use gradedyke_platform::kv::KeyValue;
use gradedyke_turns::mirror::{self, Mirror, Need, Pacing};
use network::{Failure, Network, PeerClient};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use store::{Client, Outage, Store};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time within which a confirmed change must be in force everywhere.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// How long after the end of an outage of the store all entries must be up to date.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time within which entries must detect that the store responds again.
const DETECTION_TIME: Duration = Duration::from_secs(1);
/// Time within which entries must detect it without keepers: the 1.5 s after which they give up
/// a call that the store never answers, and two of their poll intervals of at most 150 ms.
const LONE_DETECTION_TIME: Duration = Duration::from_millis(1_800);
/// Time in which an entry selects the source that it follows. Keepers hold a request for up to
/// 300 ms while nothing changes.
const SOURCE_SELECTION_TIME: Duration = Duration::from_millis(100);
/// Interval at which the state of the entries is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a change must be in force while a part of the platform fails: the propagation
/// limit, and the 5 s by which it may then be exceeded.
const UNHEALED_LIMIT: Duration = Duration::from_millis(7_000);
/// How long a keeper gets no fresh data.
const UNHEALED_TIME: Duration = Duration::from_millis(25_000);
/// Maximum number of listings in that time, however many entries there are.
const MAX_LISTINGS: usize = 20;
/// Number of entries of a small and of a larger deployment.
const ENTRY_COUNTS: [u16; 2] = [8, 58];

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A simulated deployment: the store, a keeper that reads it, and entries.
struct Deployment {
    store: Arc<Store>,
    /// Whether the keeper is cut off from the store.
    keeper_cut_off: Arc<AtomicBool>,
    network: Arc<Network>,
    entries: Vec<Arc<Mirror>>,
    /// The keeper's data.
    keeper: Arc<Mirror>,
    pacing: Option<Pacing>,
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl Deployment {
    fn start(entries: u16) -> Self {
        Self::start_paced(entries, None)
    }

    fn start_paced(entries: u16, pacing: Option<Pacing>) -> Self {
        let mut deployment = Self {
            pacing,
            store: Store::new(Instant::now()),
            keeper_cut_off: Arc::default(),
            network: Arc::new(Network::default()),
            entries: Vec::new(),
            keeper: Mirror::new(&[""]),
            tasks: JoinSet::new(),
            stop: CancellationToken::new(),
        };
        deployment.add_keeper();
        for number in 0..entries {
            deployment.add_entry(address(1_000 + number));
        }
        deployment
    }

    fn add_keeper(&mut self) {
        let mirror = self.keeper.clone();
        self.network.add(address(1), mirror.clone(), true);
        let client = Client::new(self.store.clone());
        self.keeper_cut_off = client.cut_off.clone();
        let (kv, stop) = (Arc::new(client), self.stop.clone());
        let need = || Need::High;
        let timing = mirror::Timing {
            pacing: self.pacing,
            ..follow::KEEPER_TIMING
        };
        let follow = mirror::follow(mirror, kv, String::new(), need, timing, stop);
        self.tasks.spawn(follow);
    }

    fn add_entry(&mut self, own_address: SocketAddr) {
        let mirror = Mirror::with_traced_key(&[""], Some(store::CONFIG_KEY));
        self.network.add(own_address, mirror.clone(), false);
        self.entries.push(mirror.clone());
        let peers = PeerClient {
            network: self.network.clone(),
            own_address,
            cut_off: AtomicBool::new(false),
        };
        let kv: Arc<dyn KeyValue> = Arc::new(Client::new(self.store.clone()));
        let (network, stop) = (self.network.clone(), self.stop.clone());
        let follower = follow::EntryFollower {
            mirror,
            peers: Arc::new(peers),
            propagation_limit: PROPAGATION_LIMIT,
            pacing: self.pacing,
        };
        let sources = move || network.keepers();
        follower.start(&mut self.tasks, &kv, sources, Instant::now(), &stop);
    }

    /// Longest time since the confirmation of a change that some entry has not received.
    fn lag(&self) -> Duration {
        let now = Instant::now();
        let lags = self.entries.iter().map(|m| self.store.lag(m, now));
        lags.max().unwrap_or_default()
    }

    /// Waits until every entry's data was confirmed by a call to the store made after now,
    /// and returns how long that took.
    async fn time_until_confirmed(&self) -> Duration {
        let since = Instant::now();
        let is_confirmed = |m: &Arc<Mirror>| m.complete_as_of().is_some_and(|at| at >= since);
        while !self.entries.iter().all(is_confirmed) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        since.elapsed()
    }

    /// Runs for `time` with a change every `interval`. Returns the maximum [`Self::lag`].
    async fn run_for(&self, time: Duration, interval: Duration) -> Duration {
        let end = Instant::now() + time;
        let mut next_change = Instant::now() + interval;
        let mut worst = Duration::ZERO;
        while Instant::now() < end {
            tokio::time::sleep(POLL_INTERVAL).await;
            worst = worst.max(self.lag());
            if Instant::now() >= next_change {
                self.store.change(Instant::now());
                next_change += interval;
            }
        }
        worst
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

#[tokio::test(start_paused = true)]
async fn changes_arrive_in_time_without_keepers() {
    let paced = Some(follow::CONFIRMED_KEYS_PACING);
    for (entries, failure, pacing) in [
        (ENTRY_COUNTS[0], Failure::Silent, None),
        (ENTRY_COUNTS[0], Failure::Refused, None),
        (ENTRY_COUNTS[1], Failure::Silent, None),
        (ENTRY_COUNTS[1], Failure::Refused, None),
        (ENTRY_COUNTS[0], Failure::Silent, paced),
        (ENTRY_COUNTS[1], Failure::Refused, paced),
    ] {
        // Intervals that place changes at different moments of a failure.
        for interval in [ms(50), ms(250), ms(930)] {
            let deployment = Deployment::start_paced(entries, pacing);
            let mut worst = deployment.run_for(ms(5_000), interval).await;
            for _ in 0..5 {
                deployment.network.set_keeper_failure(Some(failure));
                worst = worst.max(deployment.run_for(ms(7_000), interval).await);
                deployment.network.set_keeper_failure(None);
                worst = worst.max(deployment.run_for(ms(4_000), interval).await);
            }
            assert!(
                worst <= PROPAGATION_LIMIT,
                "{entries} entries, keepers {failure:?}, a change every {interval:?}: {worst:?} late"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn changes_arrive_in_time_while_the_keeper_has_stale_data() {
    for entries in ENTRY_COUNTS {
        let deployment = Deployment::start(entries);
        let interval = ms(50);
        let mut worst = deployment.run_for(ms(5_000), interval).await;
        for _ in 0..5 {
            deployment.keeper_cut_off.store(true, Ordering::Relaxed);
            worst = worst.max(deployment.run_for(ms(7_000), interval).await);
            deployment.keeper_cut_off.store(false, Ordering::Relaxed);
            worst = worst.max(deployment.run_for(ms(4_000), interval).await);
        }
        assert!(
            worst <= PROPAGATION_LIMIT,
            "{entries} entries: {worst:?} late"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn entries_recover_in_time_after_an_outage_of_any_length() {
    // A single entry, which has no neighbours, and several.
    for entries in [1, ENTRY_COUNTS[0]] {
        let deployment = Deployment::start(entries);
        deployment.run_for(ms(5_000), ms(500)).await;
        deployment.network.set_keeper_failure(Some(Failure::Silent));
        for outage_ms in [1_000, 3_000, 6_000, 12_000, 20_000].repeat(5) {
            deployment.run_for(ms(2_000), ms(500)).await;
            deployment.store.set_outage(Some(Outage::Silent));
            deployment.run_for(ms(outage_ms), ms(500)).await;
            deployment.store.set_outage(None);
            let detection_time = deployment.time_until_confirmed().await;
            assert!(
                detection_time <= LONE_DETECTION_TIME,
                "{entries} entries, after {outage_ms} ms: detected after {detection_time:?}"
            );
            let rest = RECOVERY_TIME.saturating_sub(detection_time);
            deployment.run_for(rest, ms(500)).await;
            let lag = deployment.lag();
            assert!(
                lag <= PROPAGATION_LIMIT,
                "{entries} entries, {RECOVERY_TIME:?} after {outage_ms} ms: {lag:?} late"
            );
        }
    }
}

/// Guards against a retry storm: during an outage entries retry rarely, since the keeper
/// retries too and tells them when the store is back.
#[tokio::test(start_paused = true)]
async fn entries_retry_rarely_in_an_outage_while_a_keeper_is_up() {
    let entries = ENTRY_COUNTS[1];
    let deployment = Deployment::start(entries);
    deployment.run_for(ms(5_000), ms(500)).await;
    let calls = || deployment.store.calls.load(Ordering::Relaxed);
    let before = calls();
    deployment.store.set_outage(Some(Outage::Refusing));
    deployment.run_for(ms(6_000), ms(500)).await;
    // Each entry calls at most every 1.25 s once its data is 1.8 s old; the keeper every 0.4 s.
    let max_calls = usize::from(entries) * 5 + 20;
    assert!(calls() - before <= max_calls, "{} calls", calls() - before);
    deployment.store.set_outage(None);
    deployment.run_for(RECOVERY_TIME, ms(500)).await;
    assert!(
        deployment.lag() <= PROPAGATION_LIMIT,
        "{:?} late",
        deployment.lag()
    );
}

/// Guards against entries that keep waiting for unanswered calls, and refuse requests, after
/// the store has recovered.
#[tokio::test(start_paused = true)]
async fn entries_soon_detect_that_a_silent_store_responds_again() {
    let deployment = Deployment::start(ENTRY_COUNTS[1]);
    deployment.run_for(ms(5_000), ms(500)).await;
    for phase in 0..20 {
        deployment.store.set_outage(Some(Outage::Silent));
        deployment
            .run_for(ms(6_000 + 170 * phase), ms(60_000))
            .await;
        deployment.store.set_outage(None);
        let detection_time = deployment.time_until_confirmed().await;
        assert!(
            detection_time <= DETECTION_TIME,
            "phase {phase}: {detection_time:?}"
        );
        deployment.run_for(ms(3_000), ms(60_000)).await;
    }
}

/// After the store has compacted its history, watches fail and a full listing is needed.
/// The keeper lists for all entries; without a keeper each entry does.
#[tokio::test(start_paused = true)]
async fn the_keeper_lists_for_entries_after_a_compaction() {
    for entries in ENTRY_COUNTS {
        let deployment = Deployment::start(entries);
        deployment.run_for(ms(5_000), ms(500)).await;
        let listings = || deployment.store.listings.load(Ordering::Relaxed);
        let before = listings();
        // The keeper is cut off for so long that entries read the store themselves.
        deployment.keeper_cut_off.store(true, Ordering::Relaxed);
        deployment.store.compact();
        deployment.run_for(ms(4_000), ms(250)).await;
        deployment.keeper_cut_off.store(false, Ordering::Relaxed);
        deployment.run_for(RECOVERY_TIME, ms(250)).await;
        assert!(listings() - before <= 3, "{entries} entries");
        assert_eq!(deployment.lag(), Duration::ZERO, "{entries} entries");
        deployment
            .network
            .set_keeper_failure(Some(Failure::Refused));
        deployment.store.compact();
        deployment.run_for(RECOVERY_TIME, ms(250)).await;
        assert!(
            deployment.lag() <= PROPAGATION_LIMIT,
            "{entries} entries, no keeper"
        );
    }
}

/// Guards against entries that stay with a keeper that answers but never gets fresh data, and
/// against a listing by each of them.
#[tokio::test(start_paused = true)]
async fn entries_do_not_depend_on_a_keeper_that_never_recovers() {
    for entries in ENTRY_COUNTS {
        let deployment = Deployment::start(entries);
        deployment.run_for(ms(5_000), ms(250)).await;
        let listings = || deployment.store.listings.load(Ordering::Relaxed);
        let before = listings();
        deployment.keeper_cut_off.store(true, Ordering::Relaxed);
        deployment.run_for(ms(300), ms(250)).await;
        deployment.store.compact();
        let worst = deployment.run_for(UNHEALED_TIME, ms(250)).await;
        assert!(worst <= UNHEALED_LIMIT, "{entries} entries: {worst:?} late");
        // Each has listed the store, or heard from one that has.
        let confirmed = deployment.entries.iter().map(|m| m.complete_as_of());
        let age = confirmed.min().flatten().unwrap().elapsed();
        assert!(age <= UNHEALED_LIMIT, "{entries} entries: data {age:?} old");
        let listings = listings() - before;
        assert!(listings <= MAX_LISTINGS, "{entries} entries: {listings}");
    }
}

/// Guards against an entry whose data arrives late on each hop, so that it refuses requests but
/// does not look for fresher data.
#[tokio::test(start_paused = true)]
async fn entry_that_refuses_outdated_data_reads_the_store() {
    let policy = gradedyke_turns::feed::Policy::new(Instant::now(), ms(0), PROPAGATION_LIMIT);
    tokio::time::advance(ms(10_000)).await;
    let now = Instant::now();
    policy.record_update(true, now);
    // A confirmation that was received just now, of a call that was sent long ago.
    let need = policy.need(Some(ms(10)), Some(now - PROPAGATION_LIMIT - ms(1)), now);
    assert_ne!(need, Need::None);
}

/// Guards against all entries listing the whole store at once when they lose their keepers.
#[tokio::test(start_paused = true)]
async fn entries_that_lose_their_keepers_continue_without_listing() {
    for entries in ENTRY_COUNTS {
        let deployment = Deployment::start(entries);
        deployment.run_for(ms(5_000), ms(500)).await;
        let listings = || deployment.store.listings.load(Ordering::Relaxed);
        let before = listings();
        for failure in [Failure::Silent, Failure::Refused] {
            deployment.network.set_keeper_failure(Some(failure));
            deployment.run_for(ms(7_000), ms(250)).await;
            deployment.network.set_keeper_failure(None);
            deployment.run_for(ms(4_000), ms(250)).await;
        }
        assert_eq!(listings(), before, "{entries} entries");
        assert_eq!(deployment.lag(), Duration::ZERO, "{entries} entries");
    }
}

/// Mean age of the entries' data and number of calls to the store in a minute in which changes
/// are about `interval` apart.
async fn age_and_calls(pacing: Option<Pacing>, interval: Duration) -> (Duration, usize) {
    let deployment = Deployment::start_paced(ENTRY_COUNTS[0], pacing);
    deployment.run_for(ms(5_000), ms(500)).await;
    let calls = || deployment.store.calls.load(Ordering::Relaxed);
    let (before, mut ages) = (calls(), Vec::new());
    let mut random = StdRng::seed_from_u64(1);
    let end = Instant::now() + ms(60_000);
    let mut next_change = Instant::now();
    while Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
        let confirmed = deployment.entries.iter().filter_map(|m| m.complete_as_of());
        ages.extend(confirmed.map(|at| at.elapsed()));
        if Instant::now() >= next_change {
            deployment.store.change(Instant::now());
            let unit: f64 = random.random();
            next_change = Instant::now() + interval.mul_f64(-(1.0 - unit).ln());
        }
    }
    let count = u32::try_from(ages.len()).unwrap();
    (ages.iter().sum::<Duration>() / count, calls() - before)
}

/// Guards against keys that are refused earlier in an outage than necessary, because the data
/// is old when it begins, and against more calls to the store in exchange.
#[tokio::test(start_paused = true)]
async fn paced_calls_keep_the_data_younger_without_more_calls() {
    for interval_ms in [200, 350, 500, 700, 1_000, 2_000, 60_000] {
        let (age, calls) = age_and_calls(None, ms(interval_ms)).await;
        let pacing = Some(follow::CONFIRMED_KEYS_PACING);
        let (paced_age, paced_calls) = age_and_calls(pacing, ms(interval_ms)).await;
        let case = format!("a change every {interval_ms} ms");
        assert!(
            paced_calls as f64 <= 1.1 * calls as f64,
            "{case}: {paced_calls} calls instead of {calls}"
        );
        assert!(
            paced_age <= age.mul_f64(0.85),
            "{case}: {paced_age:?} instead of {age:?}"
        );
    }
}

/// Guards against entries that refuse requests after an outage for as long as their keeper
/// waits for a change before it answers them.
#[tokio::test(start_paused = true)]
async fn entries_learn_the_end_of_an_outage_with_their_keeper() {
    let pacing = Some(follow::CONFIRMED_KEYS_PACING);
    let deployment = Deployment::start_paced(ENTRY_COUNTS[0], pacing);
    deployment.run_for(ms(5_000), ms(60_000)).await;
    for phase in 0..20 {
        deployment.store.set_outage(Some(Outage::Silent));
        deployment
            .run_for(ms(2_500 + 170 * phase), ms(60_000))
            .await;
        let ended = Instant::now();
        deployment.store.set_outage(None);
        // A call that was sent just before the end of the outage may be answered.
        let sent = ended - ms(10);
        let is_confirmed = |m: &Arc<Mirror>| m.complete_as_of() >= Some(sent);
        while !is_confirmed(&deployment.keeper) {
            tokio::time::sleep(ms(1)).await;
        }
        let learned = Instant::now();
        while !deployment.entries.iter().all(is_confirmed) {
            tokio::time::sleep(ms(1)).await;
        }
        assert!(
            learned.elapsed() <= SOURCE_SELECTION_TIME,
            "phase {phase}: {:?} after the keeper",
            learned.elapsed()
        );
        deployment.run_for(ms(3_000), ms(60_000)).await;
    }
}
