//! Divides requests among servers of similar cost when the load figures are out of date.
//!
//! Entries that see the same figures would all choose the server with the lowest cost. Each entry
//! therefore assumes that a random share of the other entries' requests that it hasn't seen yet
//! precedes its own. Placed one after the other where they cost least, these raise the lowest
//! costs to a common level (water-filling). The request is then placed at this load. Among equal
//! costs, the probability of a server is inversely proportional to the increase of its cost with
//! each request. All entries together thus load the servers evenly, and a request that one server
//! suits better than the others, such as the next turn of a conversation, still goes there.

/// The cost of a request at a server, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Cost of this request at the known load.
    pub own_ms: f64,
    /// Cost of a typical request of another entry at the known load.
    pub typical_ms: f64,
    /// Increase of the typical cost with each further request.
    pub slope_ms: f64,
    /// A random number that differs between requests and servers.
    pub hash: u64,
}

/// Lower limit on the increase of a cost, so that quotients stay finite.
const MIN_SLOPE_MS: f64 = 0.01;
/// Difference up to which costs are treated as equal: costs that were raised to the same level
/// differ by rounding.
const TIE_MS: f64 = 0.001;

impl Cost {
    fn slope_ms(&self) -> f64 {
        self.slope_ms.max(MIN_SLOPE_MS)
    }

    /// Cost of this request once other requests have raised the typical cost to `level_ms`.
    fn own_at_level_ms(&self, level_ms: f64) -> f64 {
        self.own_ms + (level_ms - self.typical_ms).max(0.0)
    }

    /// Arrival time of a random process whose rate is the number of requests that the server takes
    /// until its cost has risen by 1 ms.
    fn arrival(&self) -> f64 {
        -uniform(self.hash).ln() * self.slope_ms()
    }
}

/// Maps a hash to a number between 0 and 1, both excluded.
fn uniform(hash: u64) -> f64 {
    (hash as f64 + 1.0) / (u64::MAX as f64 + 4_096.0)
}

/// The level to which `requests` typical requests raise the lowest costs, if each goes to the
/// server where it costs least.
///
/// ```
/// use gradedyke_policy::placement::spread::{Cost, level_ms};
///
/// let cost = |typical_ms| Cost { own_ms: 0.0, typical_ms, slope_ms: 10.0, hash: 0 };
/// // The first server alone takes 2 requests, then both take 1.
/// assert_eq!(level_ms(&[cost(120.0), cost(100.0)], 4.0), 130.0);
/// assert_eq!(level_ms(&[cost(120.0), cost(100.0)], 0.0), 100.0);
/// ```
pub fn level_ms(costs: &[Cost], requests: f64) -> f64 {
    let mut sorted: Vec<(f64, f64)> = costs.iter().map(|c| (c.typical_ms, c.slope_ms())).collect();
    sorted.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let mut level_ms = sorted.first().map_or(0.0, |(typical_ms, _)| *typical_ms);
    // Requests that raise the level by 1 ms, and requests that are left.
    let (mut per_ms, mut left) = (0.0, requests);
    for (typical_ms, slope_ms) in sorted {
        let taken = per_ms * (typical_ms - level_ms);
        if taken > left {
            break;
        }
        left -= taken;
        level_ms = typical_ms;
        per_ms += 1.0 / slope_ms;
    }
    level_ms + if per_ms > 0.0 { left / per_ms } else { 0.0 }
}

/// Chooses a server, where other entries have sent `unseen` requests since the load was known.
///
/// ```
/// use gradedyke_policy::placement::spread::{Cost, choose};
///
/// let chosen = |unseen: f64| {
///     let request = |n: u64| {
///         let cost = |index: u64, ms| {
///             let hash = (n * 3 + index + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
///             Cost { own_ms: ms, typical_ms: ms, slope_ms: 10.0, hash }
///         };
///         choose(&[cost(0, 100.0), cost(1, 110.0), cost(2, 200.0)], unseen)
///     };
///     let count = |index| (0..1_000).filter(|n| request(*n) == Some(index)).count();
///     [count(0), count(1), count(2)]
/// };
/// assert_eq!(chosen(0.0), [1_000, 0, 0]);
/// // The first server takes 2 of 3 requests until it costs 20 ms more, the second one.
/// let [first, second, third] = chosen(3.0);
/// assert!((600..730).contains(&first) && first + second == 1_000 && third == 0);
/// ```
pub fn choose(costs: &[Cost], unseen: f64) -> Option<usize> {
    let hash = costs.iter().fold(0_u64, |sum, c| sum.wrapping_add(c.hash));
    let level_ms = level_ms(costs, uniform(hash) * unseen);
    let at_level = |cost: &Cost| cost.own_at_level_ms(level_ms);
    let lowest_ms = costs.iter().map(at_level).min_by(f64::total_cmp)?;
    let equal = costs
        .iter()
        .enumerate()
        .filter(|(_, cost)| at_level(cost) <= lowest_ms + TIE_MS);
    let first = equal.min_by(|(_, a), (_, b)| a.arrival().total_cmp(&b.arrival()));
    first.map(|(index, _)| index)
}
