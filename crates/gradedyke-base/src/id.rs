//! Typed identifiers.
//!
//! Each kind of identifier has its own type, so that a request can't be passed
//! where a program is expected. Text identifiers are validated when they enter
//! the system ([`Program::parse`] and the like) and trusted afterwards.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::problem::{Kind, Problem};

/// Number of slots that programs hash into.
///
/// A slot is the unit of ownership. The number is large enough to balance load
/// over more than a thousand instances, and small enough that the map from slots
/// to owners fits in a few values of the key-value store.
pub const SLOT_COUNT: u16 = 16_384;

/// Maximum length of a text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Separates a program's identifier from the name of a sub-agent.
const CHILD_SEPARATOR: char = '.';

fn validate(kind: &str, text: &str) -> Result<(), Problem> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if !text.is_empty() && text.len() <= MAX_ID_BYTES && text.chars().all(allowed) {
        return Ok(());
    }
    let message = format!(
        "the {kind} id is empty, longer than {MAX_ID_BYTES} bytes or has a character other than \
         A-Z a-z 0-9 - _ . : ; send one that keeps to these"
    );
    Err(Problem::new(Kind::BadRequest, message))
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Parses an identifier.
            ///
            /// # Errors
            ///
            /// Returns [`Kind::BadRequest`] if `text` is empty, too long or has
            /// characters other than ASCII letters, digits, `-`, `_`, `.` and `:`.
            pub fn parse(text: &str) -> Result<Self, Problem> {
                validate($kind, text)?;
                Ok(Self(text.to_owned()))
            }

            /// Returns the identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Problem;

            fn from_str(text: &str) -> Result<Self, Problem> {
                Self::parse(text)
            }
        }
    };
}

text_id!(
    /// A client account.
    Account,
    "client account"
);
text_id!(
    /// A program or a sub-agent of one.
    ///
    /// A sub-agent's identifier is its parent's followed by a dot and a name, so
    /// that a program and all its sub-agents share one [`Slot`] and one owner.
    Program,
    "program"
);
text_id!(
    /// A caller's request, unique within its program.
    Request,
    "request"
);
text_id!(
    /// An instance on which gradedyke runs.
    Instance,
    "instance"
);
text_id!(
    /// A keeper: an instance and the store that holds its journal replica.
    ///
    /// An instance that restarts with an empty store is a different keeper, so
    /// that it isn't counted as a replica of records that it never stored.
    Keeper,
    "keeper"
);
text_id!(
    /// A backend server.
    Backend,
    "backend server"
);

impl Keeper {
    /// Returns the keeper on `instance` with the store ID `store`.
    ///
    /// ```
    /// use gradedyke_base::id::{Instance, Keeper};
    ///
    /// let instance = Instance::parse("north-1").unwrap();
    /// let keeper = Keeper::new(&instance, "0a1b");
    /// assert_eq!(keeper.parts(), Some(("north-1", "0a1b")));
    /// ```
    pub fn new(instance: &Instance, store: &str) -> Self {
        Self(format!("{instance}{STORE_SEPARATOR}{store}"))
    }

    /// Returns the instance name and the store ID, or `None` if the identifier has no
    /// separator.
    pub fn parts(&self) -> Option<(&str, &str)> {
        self.0.rsplit_once(STORE_SEPARATOR)
    }
}

/// Separates the instance from the store ID in a keeper's identifier.
const STORE_SEPARATOR: char = ':';

/// Number of random or hash bytes in a generated identifier.
const GENERATED_ID_BYTES: usize = 12;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

impl Request {
    /// Generates a random identifier for a request that came without one.
    pub fn generate() -> Self {
        Self(to_hex(&rand::random::<[u8; GENERATED_ID_BYTES]>()))
    }
}

impl Program {
    /// Returns the identifier of the program that `account` opens by `request`.
    ///
    /// It is a hash of both, so a retry of the request through another entry opens
    /// the same program, without shared state.
    ///
    /// ```
    /// use gradedyke_base::id::{Account, Program, Request};
    ///
    /// let account = Account::parse("kestrel").unwrap();
    /// let request = Request::parse("r-1").unwrap();
    /// let first = Program::from_request(&account, &request);
    /// assert_eq!(first, Program::from_request(&account, &request));
    /// ```
    pub fn from_request(account: &Account, request: &Request) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(account.0.as_bytes());
        hasher.update(&[0]);
        hasher.update(request.0.as_bytes());
        Self(to_hex(&hasher.finalize().as_bytes()[..GENERATED_ID_BYTES]))
    }

    /// Returns the identifier of the sub-agent that `request` opens under this program.
    pub fn sub_agent(&self, request: &Request) -> Self {
        let hash = blake3::hash(request.0.as_bytes());
        let name = to_hex(&hash.as_bytes()[..4]);
        Self(format!("{}{CHILD_SEPARATOR}{name}", self.0))
    }

    /// Returns the program that this sub-agent was opened under, or `None` if it is
    /// not a sub-agent.
    pub fn parent(&self) -> Option<Self> {
        let (parent, _) = self.0.rsplit_once(CHILD_SEPARATOR)?;
        Some(Self(parent.to_owned()))
    }

    /// Returns the identifier of the top-level program.
    pub fn root(&self) -> &str {
        self.0.split(CHILD_SEPARATOR).next().unwrap_or(&self.0)
    }

    /// Returns the slot of this program, which all its sub-agents share.
    ///
    /// ```
    /// use gradedyke_base::id::{Program, Request};
    ///
    /// let root = Program::parse("a1").unwrap();
    /// let child = root.sub_agent(&Request::parse("r").unwrap());
    /// assert_eq!(root.slot(), child.slot());
    /// assert_eq!(child.parent(), Some(root));
    /// ```
    pub fn slot(&self) -> Slot {
        let hash = blake3::hash(self.root().as_bytes());
        let bytes = hash.as_bytes();
        Slot(u16::from_le_bytes([bytes[0], bytes[1]]) % SLOT_COUNT)
    }
}

/// A slot: a group of programs that have the same owner and change owner together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slot(pub u16);

/// The ownership epoch of a slot. Operations with an older epoch are rejected.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Returns the rendezvous hashing weight of `node` for `key`; the key is assigned to
/// the node with the highest weight.
///
/// A node's weight doesn't depend on the other nodes, so when a node leaves, only
/// the keys assigned to it move.
pub fn rendezvous_weight(key: &[u8], node: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key);
    hasher.update(&[0]);
    hasher.update(node.as_bytes());
    let hash = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
