//! Data centres and regions.

use std::collections::HashMap;

/// The data centre of this entry and the region of each data centre.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// The data centre of this entry.
    pub data_centre: String,
    /// Maps the name of a data centre to its region.
    pub regions: HashMap<String, String>,
}

impl From<&str> for Topology {
    fn from(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            regions: HashMap::new(),
        }
    }
}

impl Topology {
    /// Whether a data centre is in one of the `allowed` regions; `None` allows all. A data
    /// centre of unknown region is in none of them.
    ///
    /// ```
    /// use gradedyke_gateway::fleet::Topology;
    ///
    /// let regions = [("a".to_owned(), "north".to_owned())].into();
    /// let topology = Topology { data_centre: "a".to_owned(), regions };
    /// let north = ["north".to_owned()];
    /// assert!(topology.is_in_regions(None, "b"));
    /// assert!(topology.is_in_regions(Some(&north), "a"));
    /// assert!(!topology.is_in_regions(Some(&north), "b"));
    /// ```
    pub fn is_in_regions(&self, allowed: Option<&[String]>, data_centre: &str) -> bool {
        let Some(allowed) = allowed else {
            return true;
        };
        let region = self.regions.get(data_centre);
        region.is_some_and(|region| allowed.contains(region))
    }
}
