//! The view: the current set of replicas.
//!
//! The view is a single value in the platform's key-value store. It is changed
//! only by compare-and-swap. Why no record is lost in a change is described in
//! [`crate::membership`]. Requests carry the version of the view they were sent
//! under; a replica that knows a later one rejects them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Key of the view in the key-value store.
pub const VIEW_KEY: &str = "gradedyke/view";

/// Maximum number of replicas that watch the platform's key-value store: one and
/// a standby.
const MAX_WATCHERS: usize = 2;

/// ID of a replica's disk. A replica that lost its disk gets a new one.
pub type DiskId = u64;

/// A replica that is part of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of its instance.
    pub name: String,
    /// The ID of its disk.
    pub disk: DiskId,
    /// The address on which it serves peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it has synced all records and counts towards the quorum. Inactive
    /// members receive new records while they sync the earlier ones.
    pub active: bool,
}

/// Members that the others continued without although a record may be only on their disks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Absence {
    /// The version of the first view without them.
    pub version: u64,
    /// Those whose records the other replicas don't have yet.
    pub members: Vec<Member>,
    /// From how many of them the others must copy all records, whichever they are, before no
    /// record is missing.
    pub required: usize,
}

/// A version of the set of replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Incremented with each change; 0 before the first change.
    pub version: u64,
    /// How many disks may be lost at the same time without losing records.
    pub tolerate: usize,
    /// The replicas, in the order in which they joined.
    pub members: Vec<Member>,
    /// The least number of active members that have each record of earlier versions on disk; 0 if
    /// unknown.
    #[serde(default)]
    pub copies: usize,
    /// Former members that may have the only copies of a record, oldest first. Meanwhile the
    /// members can't tell that a turn doesn't exist, nor what a program of earlier versions used.
    #[serde(default)]
    pub absences: Vec<Absence>,
}

impl View {
    /// Returns the active members.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.active)
    }

    /// Returns how many active members must acknowledge: a majority, and enough that each
    /// record is on at least one of them after the tolerated losses.
    ///
    /// ```
    /// use gradedyke_turns::view::View;
    ///
    /// let view = View { tolerate: 1, ..View::default() };
    /// assert_eq!(view.quorum_size(), 1);
    /// assert_eq!(view.required_copies(), 2);
    /// ```
    pub fn quorum_size(&self) -> usize {
        let active = self.active().count();
        let majority = active / 2 + 1;
        majority.max(active.min(self.required_copies()))
    }

    /// Returns the least number of active members that have each record, of earlier versions or
    /// of this one; 0 if unknown.
    pub fn known_copies(&self) -> usize {
        self.copies.min(self.quorum_size())
    }

    /// Returns from how many active members a replica must sync to have every record: so many that
    /// one of them has it, whichever they are. At most a quorum, which has every record in any
    /// case.
    ///
    /// ```
    /// use gradedyke_turns::view::{Member, View};
    ///
    /// let member = |disk| Member {
    ///     name: format!("m{disk}"),
    ///     disk,
    ///     address: "127.0.0.1:9".parse().unwrap(),
    ///     data_centre: "here".to_owned(),
    ///     active: true,
    /// };
    /// let members = vec![member(1), member(2)];
    /// let view = |copies| View {
    ///     version: 1,
    ///     tolerate: 1,
    ///     members: members.clone(),
    ///     copies,
    ///     absences: Vec::new(),
    /// };
    /// // A record may be on either member only.
    /// assert_eq!(view(1).sync_quorum(), 2);
    /// // Each record is on both.
    /// assert_eq!(view(2).sync_quorum(), 1);
    /// ```
    pub fn sync_quorum(&self) -> usize {
        let active = self.active().count();
        let quorum = self.quorum_size().min(active);
        match self.known_copies() {
            0 => quorum,
            copies => quorum.min(active + 1 - copies),
        }
    }

    /// Returns how many members, active or not, must have a record on disk before it
    /// is considered stored: one more than the number of disks that may be lost.
    pub fn required_copies(&self) -> usize {
        self.tolerate + 1
    }

    /// Whether the members for which `is_up` returns true are enough to read and store
    /// records.
    pub fn has_quorum(&self, is_up: impl Fn(&Member) -> bool) -> bool {
        let active = self.active().filter(|m| is_up(m)).count();
        let all = self.members.iter().filter(|m| is_up(m)).count();
        active >= self.quorum_size() && all >= self.required_copies()
    }

    /// Returns the members that watch the store on behalf of all processes: the first
    /// watches it, the second is its standby.
    pub fn watchers(&self) -> impl Iterator<Item = &Member> {
        self.active().take(MAX_WATCHERS)
    }

    /// Returns the member with this disk.
    pub fn find(&self, disk: DiskId) -> Option<&Member> {
        self.members.iter().find(|m| m.disk == disk)
    }

    /// Returns the next version of this view, with the given members. Its copies are those that
    /// this view is known to have, less one for each active member that is left out: a record may
    /// be on any of them. Members that are active only in the next version are not counted.
    pub fn with_members(&self, members: Vec<Member>) -> Self {
        let is_left_out = |m: &&Member| !members.iter().any(|n| n.disk == m.disk);
        let left_out = self.active().filter(is_left_out).count();
        Self {
            version: self.version + 1,
            tolerate: self.tolerate,
            copies: self.known_copies().saturating_sub(left_out),
            members,
            absences: self.absences.clone(),
        }
    }

    /// Returns the version since which records may be missing; `None` if none is.
    pub fn incomplete_since(&self) -> Option<u64> {
        self.absences.iter().map(|a| a.version).max()
    }

    /// Whether the disk may have records that no member has.
    pub fn is_absent(&self, disk: DiskId) -> bool {
        let mut absent = self.absences.iter().flat_map(|a| &a.members);
        absent.any(|m| m.disk == disk)
    }

    /// Whether the instance `name` was left out with another disk than `disk`. It has lost that
    /// one.
    pub fn has_lost_disk(&self, name: &str, disk: DiskId) -> bool {
        let mut absent = self.absences.iter().flat_map(|a| &a.members);
        absent.any(|m| m.name == name && m.disk != disk)
    }

    /// Notes that members have all records of `disk`.
    pub fn mark_copied(&mut self, disk: DiskId) {
        for absence in &mut self.absences {
            let count = absence.members.len();
            absence.members.retain(|m| m.disk != disk);
            absence.required -= (count - absence.members.len()).min(absence.required);
        }
        self.absences.retain(|a| a.required > 0);
    }

    /// Notes that the instance `name` has only `disk`. A record that was on no other disk than
    /// those lost doesn't exist any more.
    pub fn mark_lost(&mut self, name: &str, disk: DiskId) {
        for absence in &mut self.absences {
            absence.members.retain(|m| m.name != name || m.disk == disk);
            absence.required = absence.required.min(absence.members.len());
        }
        self.absences.retain(|a| a.required > 0);
    }
}
