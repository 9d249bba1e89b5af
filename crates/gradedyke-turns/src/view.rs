//! Who the replicas are.
//!
//! The view is one value in the platform's key-value service, changed only by
//! compare-and-swap and by one member at a time, so that a majority of one view
//! and a majority of the next always share a member. Requests carry the version
//! of the view they were sent under; a replica that knows a later one refuses.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Key of the view in the key-value service.
pub const KEY: &str = "gradedyke/view";

/// Replicas that watch the platform's service: one, and another for when that
/// is lost.
const WATCHERS: usize = 2;

/// Identity of a replica's disk. A disk that was lost comes back with another.
pub type Disk = u64;

/// A replica in the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its instance's name.
    pub name: String,
    /// The identity of its disk.
    pub disk: Disk,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it holds all there is, and so counts for a majority. One that
    /// does not is sent everything and brings itself up to date.
    pub active: bool,
}

/// The replicas at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Rises by one with each change; 0 before the first.
    pub version: u64,
    /// Disks that may be lost at the same time with nothing lost.
    pub tolerate: usize,
    /// The replicas.
    pub members: Vec<Member>,
}

impl View {
    /// The members that count.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.active)
    }

    /// How many active members must be reached: a majority, and so many that one
    /// of them has each record that is left after the losses tolerated.
    ///
    /// ```
    /// use gradedyke_turns::view::View;
    ///
    /// let view = View { tolerate: 1, ..View::default() };
    /// assert_eq!(view.quorum(), 1);
    /// assert_eq!(view.copies(), 2);
    /// ```
    pub fn quorum(&self) -> usize {
        let active = self.active().count();
        let majority = active / 2 + 1;
        majority.max(active.min(self.copies()))
    }

    /// How many members, active or not, must have a record on disk before it
    /// counts as kept: one more than the disks that may be lost.
    pub fn copies(&self) -> usize {
        self.tolerate + 1
    }

    /// Whether the members that `up` picks are enough to begin and keep records.
    pub fn enough(&self, up: impl Fn(&Member) -> bool) -> bool {
        let active = self.active().filter(|m| up(m)).count();
        let all = self.members.iter().filter(|m| up(m)).count();
        active >= self.quorum() && all >= self.copies()
    }

    /// The members that watch the platform's service for all: the first does, the
    /// next stands by for it.
    pub fn watchers(&self) -> impl Iterator<Item = &Member> {
        self.active().take(WATCHERS)
    }

    /// The member with this disk.
    pub fn find(&self, disk: Disk) -> Option<&Member> {
        self.members.iter().find(|m| m.disk == disk)
    }

    /// The view after this one, with other members.
    pub fn next(&self, members: Vec<Member>) -> Self {
        Self {
            version: self.version + 1,
            tolerate: self.tolerate,
            members,
        }
    }
}
