//! Records on disk that are not in the index yet.
//!
//! A replica that starts serves from here at once: what is asked for is read from
//! disk when it is asked for, while all the rest is taken in one segment after the
//! other. Reading all of it first would take 1.4 s for 107,000 records on 0.3 of a
//! core, in which programs run out of time.

use std::collections::HashSet;

use crate::log::{Place, Segment, Table};
use crate::record::Id;

/// Records on disk by program and by turn.
#[derive(Debug, Default)]
pub struct Archive {
    /// The oldest segment first.
    tables: Vec<(Segment, Table)>,
    /// Programs whose records have all been taken in.
    taken: HashSet<Id>,
}

impl Archive {
    /// The records that `tables` tell of, the oldest segment first.
    ///
    /// ```
    /// use gradedyke_turns::archive::Archive;
    /// use gradedyke_turns::log::Table;
    ///
    /// let mut archive = Archive::new(vec![(1, Table::default()), (2, Table::default())]);
    /// assert_eq!(archive.newest(), Some(2));
    /// archive.remove(2);
    /// assert_eq!(archive.newest(), Some(1));
    /// ```
    pub fn new(tables: Vec<(Segment, Table)>) -> Self {
        Self {
            tables,
            taken: HashSet::new(),
        }
    }

    /// Whether nothing is left to be taken in.
    pub fn is_empty(&self) -> bool {
        self.tables.is_empty()
    }

    /// The newest segment that is left. Programs under way have their records there.
    pub fn newest(&self) -> Option<Segment> {
        self.tables.last().map(|(segment, _)| *segment)
    }

    /// Forgets a segment whose records have all been taken in, and with the last one
    /// what was asked for meanwhile.
    pub fn remove(&mut self, segment: Segment) {
        self.tables.retain(|(s, _)| *s != segment);
        if self.tables.is_empty() {
            self.taken = HashSet::new();
        }
    }

    /// Notes that all records of a program have been taken in.
    pub fn note(&mut self, program: &Id) {
        self.taken.insert(program.clone());
    }

    /// Where records of a program may be that have not been taken in.
    pub fn program(&self, program: &Id) -> Vec<Place> {
        if self.taken.contains(program) {
            return Vec::new();
        }
        let tables = self.tables.iter();
        let places = tables.flat_map(|(segment, table)| table.program(*segment, program));
        places.collect()
    }

    /// Where a turn may be.
    pub fn turn(&self, request: &Id) -> Vec<Place> {
        let tables = self.tables.iter();
        let places = tables.flat_map(|(segment, table)| table.turn(*segment, request));
        places.collect()
    }
}
