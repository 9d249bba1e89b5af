//! How the members of a view stand over data centres.
//!
//! A data centre is lost as a whole now and then. Spread evenly, 2t + 1 members
//! in three or more data centres survive that with a quorum. Every replica may
//! take a vacant place, so the rule is one of precedence: those whose data
//! centre has the fewest members go first.

use std::collections::BTreeMap;

use crate::view::Member;

/// Members by data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spread<'a> {
    counts: BTreeMap<&'a str, usize>,
}

impl<'a> Spread<'a> {
    /// How `members` stand over `data_centres`, which may lack some of theirs.
    ///
    /// ```
    /// use gradedyke_turns::membership::spread::Spread;
    ///
    /// let known = ["north".to_owned(), "south".to_owned()];
    /// let spread = Spread::new([], &known);
    /// assert!(spread.is_fewest("north"));
    /// assert!(!spread.lacks("north"));
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
    pub fn is_fewest(&self, data_centre: &str) -> bool {
        let own = self.count(data_centre);
        self.counts.values().all(|count| *count >= own)
    }

    /// Whether no data centre has more members than this one.
    pub fn is_most(&self, data_centre: &str) -> bool {
        let own = self.count(data_centre);
        self.counts.values().all(|count| *count <= own)
    }

    /// Whether a member more here and one less elsewhere would be more even:
    /// some data centre has at least two more.
    pub fn lacks(&self, data_centre: &str) -> bool {
        let own = self.count(data_centre);
        self.counts.values().any(|count| *count >= own + 2)
    }
}
