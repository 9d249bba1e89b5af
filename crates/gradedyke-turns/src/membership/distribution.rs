//! How the members of a view are distributed over data centres.
//!
//! An outage can affect a whole data centre. If 2t + 1 members, with t the
//! number of tolerated disk losses, are distributed evenly over three or more data
//! centres, a quorum survives the loss of one. Any replica may fill a vacancy, but
//! those whose data centre has the fewest members have priority.

use std::collections::BTreeMap;

use crate::view::Member;

/// Number of members in each data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Distribution<'a> {
    counts: BTreeMap<&'a str, usize>,
}

impl<'a> Distribution<'a> {
    /// Counts `members` in each of `data_centres` and in any other that a member is in.
    ///
    /// ```
    /// use gradedyke_turns::membership::distribution::Distribution;
    ///
    /// let known = ["north".to_owned(), "south".to_owned()];
    /// let distribution = Distribution::new([], &known);
    /// assert!(distribution.has_fewest("north"));
    /// assert!(!distribution.is_underrepresented("north"));
    /// ```
    pub fn new(members: impl IntoIterator<Item = &'a Member>, data_centres: &'a [String]) -> Self {
        let known = data_centres.iter().map(|d| (d.as_str(), 0));
        let mut counts: BTreeMap<&str, usize> = known.collect();
        for member in members {
            *counts.entry(&member.data_centre).or_default() += 1;
        }
        Self { counts }
    }

    fn count(&self, data_centre: &str) -> usize {
        self.counts.get(data_centre).copied().unwrap_or_default()
    }

    /// Whether no data centre has fewer members than this one.
    pub fn has_fewest(&self, data_centre: &str) -> bool {
        let own = self.count(data_centre);
        self.counts.values().all(|count| *count >= own)
    }

    /// Whether no data centre has more members than this one.
    pub fn has_most(&self, data_centre: &str) -> bool {
        let own = self.count(data_centre);
        self.counts.values().all(|count| *count <= own)
    }

    /// Whether some data centre has at least two more members than this one, so that
    /// moving a member here makes the distribution more even.
    pub fn is_underrepresented(&self, data_centre: &str) -> bool {
        let own = self.count(data_centre);
        self.counts.values().any(|count| *count >= own + 2)
    }
}
