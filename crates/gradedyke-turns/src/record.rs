//! Immutable records of attempts and turns.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Identifier, for example of a request, program, client account or backend server, chosen by its
/// creator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(Arc<str>);

/// Longest identifier, in bytes.
const MAX_ID_BYTES: usize = 200;

impl Id {
    /// Creates an identifier from `text`; `None` if it is empty, longer than 200 bytes or has
    /// characters other than printable ASCII without spaces.
    ///
    /// ```
    /// use gradedyke_turns::record::Id;
    ///
    /// assert!(Id::parse("9c41d07be2a35f68").is_some());
    /// assert!(Id::parse("two words").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let is_valid_length = !text.is_empty() && text.len() <= MAX_ID_BYTES;
        let is_graphic = text.bytes().all(|b| b.is_ascii_graphic());
        (is_valid_length && is_graphic).then(|| Self(text.into()))
    }

    /// Qualifies this identifier with `scope`. The results are equal only for the same
    /// identifier in the same scope, and never equal to a parsed identifier.
    ///
    /// ```
    /// use gradedyke_turns::record::Id;
    ///
    /// let id = |text| Id::parse(text).unwrap();
    /// assert_ne!(id("t").scoped_to(&id("a")), id("t").scoped_to(&id("b")));
    /// assert_eq!(Id::parse(id("t").scoped_to(&id("a")).as_str()), None);
    /// ```
    #[must_use]
    pub fn scoped_to(&self, scope: &Id) -> Self {
        // Parsed identifiers contain no spaces.
        Self(format!("{} {}", scope.0, self.0).into())
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A reservation of tokens of a program's budget for an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserved {
    /// The program.
    pub program: Id,
    /// The request.
    pub request: Id,
    /// The largest number of tokens that the attempt may use.
    pub tokens: u32,
    /// How long the program's attempts count against its budget, in milliseconds.
    pub keep_ms: u32,
}

/// The final token use of an attempt; replaces its reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The program.
    pub program: Id,
    /// The request.
    pub request: Id,
    /// Largest number of tokens that may have reached the caller.
    pub tokens: u32,
    /// How long the program's attempts count against its budget, in milliseconds.
    pub keep_ms: u32,
}

/// Maximum size of a turn's input and output together, in bytes. Leaves room in a message for the
/// other fields of the record and of the request.
pub const MAX_TURN_BYTES: usize = gradedyke_peer::MAX_MESSAGE_BYTES - (1 << 20);

/// A turn whose response is complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Its request. Later turns refer to the turn by it.
    pub request: Id,
    /// The turn it continues.
    pub parent: Option<Id>,
    /// The caller's input.
    pub input: Bytes,
    /// The part of the response that belongs to the conversation.
    pub output: Bytes,
    /// ID of the incarnation of the backend server that ran the turn and has it in its cache.
    pub server: Id,
    /// The program whose budget the turn used, if it has one.
    pub program: Option<Id>,
    /// Number of tokens of the response; replaces the reservation.
    pub tokens: u32,
    /// How long the turn is retained, in milliseconds.
    pub keep_ms: u32,
}

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Tokens were reserved.
    Reserved(Reserved),
    /// The token use of an attempt is final.
    Settled(Settled),
    /// A turn was completed.
    Turn(Turn),
}

/// The kind of a [`Record`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// [`Record::Reserved`].
    Reserved,
    /// [`Record::Settled`].
    Settled,
    /// [`Record::Turn`].
    Turn,
}

/// Unique key of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The kind.
    pub kind: Kind,
    /// The request that the record belongs to.
    pub request: Id,
}

impl Settled {
    /// Creates the record that releases the whole reservation.
    pub fn release(reserved: &Reserved) -> Self {
        Self {
            program: reserved.program.clone(),
            request: reserved.request.clone(),
            tokens: 0,
            keep_ms: reserved.keep_ms,
        }
    }
}

/// Separates the parts of the request's ID in a record of [`Settled::first_attempt`]. Parsed
/// identifiers contain no spaces.
const FIRST_ATTEMPT_SEPARATOR: &str = " first attempt in ";

impl Settled {
    /// Creates the record that states that no attempt of a program had been known before the
    /// attempt `reserved` began in the view `version`, so that all attempts of the program are
    /// known to replicas that continued without others before that version. It uses no tokens.
    ///
    /// ```
    /// use gradedyke_turns::record::{Id, Reserved, Settled};
    ///
    /// let id = |text| Id::parse(text).unwrap();
    /// let (program, request) = (id("p"), id("r"));
    /// let reserved = Reserved { program, request, tokens: 10, keep_ms: 60_000 };
    /// let first = Settled::first_attempt(&reserved, 7);
    /// assert_eq!(first.tokens, 0);
    /// assert_eq!(Settled::first_attempt_version(&first.request), Some(7));
    /// assert_eq!(Settled::first_attempt_version(&reserved.request), None);
    /// ```
    pub fn first_attempt(reserved: &Reserved, version: u64) -> Self {
        let request = format!("{}{FIRST_ATTEMPT_SEPARATOR}{version}", reserved.program);
        Self {
            request: Id(request.into()),
            ..Self::release(reserved)
        }
    }

    /// Returns the view of a record of [`Self::first_attempt`], given the ID of its request;
    /// `None` for other records.
    pub fn first_attempt_version(request: &Id) -> Option<u64> {
        let (_, version) = request.0.rsplit_once(FIRST_ATTEMPT_SEPARATOR)?;
        version.parse().ok()
    }
}

impl Record {
    /// Returns the record's key.
    pub fn key(&self) -> Key {
        let (kind, request) = match self {
            Record::Reserved(r) => (Kind::Reserved, &r.request),
            Record::Settled(r) => (Kind::Settled, &r.request),
            Record::Turn(r) => (Kind::Turn, &r.request),
        };
        Key {
            kind,
            request: request.clone(),
        }
    }

    /// Returns the size of the turn's input and output in bytes; 0 for other records.
    pub fn body_bytes(&self) -> usize {
        match self {
            Record::Reserved(_) | Record::Settled(_) => 0,
            Record::Turn(turn) => turn.input.len() + turn.output.len(),
        }
    }

    /// Whether the record is small enough to be stored and sent to other replicas.
    ///
    /// ```
    /// use gradedyke_turns::record::{Id, MAX_TURN_BYTES, Record, Turn};
    ///
    /// let turn = |input_bytes| Record::Turn(Turn {
    ///     request: Id::parse("r").unwrap(),
    ///     parent: None,
    ///     input: vec![0; input_bytes].into(),
    ///     output: "done".into(),
    ///     server: Id::parse("s").unwrap(),
    ///     program: None,
    ///     tokens: 1,
    ///     keep_ms: 60_000,
    /// });
    /// assert!(turn(MAX_TURN_BYTES - 4).is_storable());
    /// assert!(!turn(MAX_TURN_BYTES).is_storable());
    /// ```
    pub fn is_storable(&self) -> bool {
        self.body_bytes() <= MAX_TURN_BYTES
    }

    /// Returns how long the record is retained.
    pub fn retention(&self) -> Duration {
        let ms = match self {
            Record::Reserved(r) => r.keep_ms,
            Record::Settled(r) => r.keep_ms,
            Record::Turn(r) => r.keep_ms,
        };
        Duration::from_millis(ms.into())
    }
}
