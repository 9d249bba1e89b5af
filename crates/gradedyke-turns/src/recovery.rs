//! Recovery of a replica's index from disk while the replica already serves.
//!
//! Records that a request needs are loaded before it is answered
//! (`Replica::load_for_request`): all records of its program, and the turns that it
//! continues. The others are loaded in the background ([`Replica::recover`]), newest
//! segment first. Until all records are loaded, the replica tells its followers that
//! it has more records, syncs from no other replica, and expires nothing.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::log;
use crate::log::Location;
use crate::record::{Id, Record, Turn};
use crate::replica::Replica;

/// Number of records indexed at a time in the background. Requests wait meanwhile. 0.5 ms on a
/// whole core, at the 2 µs per record that `gradedyke-load run recovery` shows.
const BATCH_RECORDS: usize = 256;
/// Pause after each batch, in which requests are handled. Twice the time of a batch on 0.3 of a
/// core, so that requests get two thirds of it; 107,000 records take 2.8 s.
const BATCH_PAUSE: Duration = Duration::from_millis(3);

impl Replica {
    /// Loads from disk the records needed to answer a request of `program` that continues
    /// `turn`, unless they are in the index already.
    ///
    /// # Errors
    ///
    /// [`log::Error::Read`] if they can't be read. It is then unknown how many tokens
    /// the program used and whether the turn exists.
    pub(crate) async fn load_for_request(
        &self,
        program: Option<&Id>,
        turn: Option<&Id>,
    ) -> Result<(), log::Error> {
        if self.is_recovered() {
            return Ok(());
        }
        if let Some(program) = program {
            self.load_program(program).await?;
        }
        let Some(turn) = turn else {
            return Ok(());
        };
        // A turn that is still missing after it was looked up isn't on disk.
        let mut looked_up = HashSet::new();
        loop {
            let missing = self.index().first_missing_ancestor(turn);
            let Some(missing) = missing else {
                return Ok(());
            };
            if !looked_up.insert(missing.clone()) {
                return Ok(());
            }
            let locations = self.pending_segments().find_turn(&missing);
            let loaded = self.load_records(locations).await?;
            // The preceding turns usually belong to the same program.
            for record in loaded {
                if let Record::Turn(Turn { program, .. }) = record
                    && let Some(program) = program
                {
                    self.load_program(&program).await?;
                }
            }
        }
    }

    /// Loads all records of a program.
    async fn load_program(&self, program: &Id) -> Result<(), log::Error> {
        let locations = self.pending_segments().find_program(program);
        self.load_records(locations).await?;
        self.pending_segments().mark_indexed(program);
        Ok(())
    }

    /// Reads the records at `locations`, adds them to the index and returns them.
    async fn load_records(&self, locations: Vec<Location>) -> Result<Vec<Record>, log::Error> {
        if locations.is_empty() {
            return Ok(Vec::new());
        }
        let records = self.read(locations.clone()).await?;
        let now = Instant::now();
        let mut index = self.index();
        for (record, location) in records.iter().zip(locations) {
            index.apply_stored(record, location, true, now);
        }
        Ok(records)
    }

    /// Adds records that were read from disk to the index.
    fn index_batch(&self, batch: &[(Record, Location)]) {
        let now = Instant::now();
        let mut index = self.index();
        for (record, location) in batch {
            // Bodies aren't held in memory until a request needs them.
            index.apply_stored(record, *location, false, now);
        }
    }

    /// Loads all records from disk, and then marks the replica as recovered.
    pub async fn recover(self: Arc<Self>) {
        let mut records = 0;
        loop {
            let Some(segment) = self.pending_segments().newest_segment() else {
                break;
            };
            let log = self.log.clone();
            let result = tokio::task::spawn_blocking(move || log.read_segment(segment)).await;
            let segment_records = match result {
                Ok(Ok(segment_records)) => segment_records,
                Ok(Err(error)) => {
                    tracing::error!(event = "replica_stops", %error);
                    self.stop.cancel();
                    return;
                }
                // The process is stopping.
                Err(_) => return,
            };
            records += segment_records.len();
            for batch in segment_records.chunks(BATCH_RECORDS) {
                self.index_batch(batch);
                tokio::time::sleep(BATCH_PAUSE).await;
            }
            self.pending_segments().remove_segment(segment);
        }
        self.recovered.send_replace(true);
        let (turns, programs) = self.index().turn_and_program_counts();
        tracing::info!(event = "records_read", records, turns, programs);
    }
}
