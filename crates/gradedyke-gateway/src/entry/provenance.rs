//! Which configuration decided a request, for logs.

use std::time::Duration;

use gradedyke_turns::mirror::Source;

/// The configuration that decided a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Provenance {
    /// Its version; `None` if there was no configuration.
    pub version: Option<u64>,
    /// Greatest possible age of the data when the request arrived; `None` if the platform's store
    /// never confirmed the data.
    pub age: Option<Duration>,
    /// From where the process received it; `None` if there was no configuration.
    pub source: Option<Source>,
}

impl Provenance {
    /// The age in milliseconds.
    pub(super) fn age_ms(&self) -> Option<u128> {
        self.age.map(|age| age.as_millis())
    }

    /// The source as text.
    pub(super) fn source_text(&self) -> Option<String> {
        self.source.map(|source| source.to_string())
    }
}
