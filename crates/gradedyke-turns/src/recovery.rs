//! How a replica takes in what is on its disk while it serves already.
//!
//! What a request needs is taken in before it is answered (`Replica::recall`):
//! all records of its program, and the turns that it continues. The rest follows
//! in the background ([`Replica::recover`]), the newest segment first. Until all
//! is in, the replica tells others that it has more to tell, follows nobody, and
//! forgets nothing.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::log;
use crate::log::Place;
use crate::record::{Id, Record, Turn};
use crate::replica::Replica;

/// Records taken in at a time while requests wait: 0.5 ms on a whole core, at the 2 µs
/// for a record that `gradedyke-load run recovery` shows where all are read first.
const PORTION: usize = 256;
/// Rest after each portion, twice the time of one on 0.3 of a core, so that requests
/// get two thirds of it. 107,000 records take 2.8 s so, from the log of a keeper.
const REST: Duration = Duration::from_millis(3);

impl Replica {
    /// Takes in from disk what a request about `program` that continues `turn`
    /// needs, unless it is there.
    ///
    /// # Errors
    ///
    /// [`log::Error::Read`] when the disk does not give it back; nothing may then
    /// be said of what the program used or whether the turn exists.
    pub(crate) async fn recall(
        &self,
        program: Option<&Id>,
        turn: Option<&Id>,
    ) -> Result<(), log::Error> {
        if self.recovered() {
            return Ok(());
        }
        if let Some(program) = program {
            self.take_program(program).await?;
        }
        let Some(turn) = turn else {
            return Ok(());
        };
        // Each is looked for once: one that is nowhere ends the conversation.
        let mut asked = HashSet::new();
        loop {
            let missing = self.index().missing(turn);
            let Some(missing) = missing else {
                return Ok(());
            };
            if !asked.insert(missing.clone()) {
                return Ok(());
            }
            let places = self.archive().turn(&missing);
            let taken = self.take_in(places).await?;
            // The turns before it are its program's as a rule.
            for record in taken {
                if let Record::Turn(Turn { program, .. }) = record
                    && let Some(program) = program
                {
                    self.take_program(&program).await?;
                }
            }
        }
    }

    /// Takes in all records of a program.
    async fn take_program(&self, program: &Id) -> Result<(), log::Error> {
        let places = self.archive().program(program);
        self.take_in(places).await?;
        self.archive().note(program);
        Ok(())
    }

    /// Takes in the records at `places`, and returns them.
    async fn take_in(&self, places: Vec<Place>) -> Result<Vec<Record>, log::Error> {
        if places.is_empty() {
            return Ok(Vec::new());
        }
        let records = self.read(places.clone()).await?;
        let now = Instant::now();
        let mut index = self.index();
        for (record, place) in records.iter().zip(places) {
            index.recover(record, place, true, now);
        }
        Ok(records)
    }

    fn take_portion(&self, portion: &[(Record, Place)]) {
        let now = Instant::now();
        let mut index = self.index();
        for (record, place) in portion {
            // What was said stays on disk until somebody asks for it.
            index.recover(record, *place, false, now);
        }
    }

    /// Takes in all that is on disk, and then tells so.
    pub async fn recover(self: Arc<Self>) {
        let mut records = 0;
        loop {
            let Some(segment) = self.archive().newest() else {
                break;
            };
            let log = self.log.clone();
            let read = tokio::task::spawn_blocking(move || log.records(segment)).await;
            let found = match read {
                Ok(Ok(found)) => found,
                Ok(Err(error)) => {
                    tracing::error!(event = "replica_stops", %error);
                    self.stop.cancel();
                    return;
                }
                // The process is stopping.
                Err(_) => return,
            };
            records += found.len();
            for portion in found.chunks(PORTION) {
                self.take_portion(portion);
                tokio::time::sleep(REST).await;
            }
            self.archive().remove(segment);
        }
        self.recovered.send_replace(true);
        let (turns, programs) = self.index().sizes();
        tracing::info!(event = "records_read", records, turns, programs);
    }
}
