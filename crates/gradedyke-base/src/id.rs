//! Typed identifiers.
//!
//! Identifiers are separate types so that a request can never be passed where
//! a program is meant. Text identifiers are checked when they enter the system
//! ([`Program::parse`] and the like); inside it they are trusted.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::problem::{Kind, Problem};

/// Number of slots that programs hash into.
///
/// Slots are the unit of ownership. 16,384 gives about a dozen slots to each
/// of 1,400 instances, which keeps the imbalance between them tolerable, and
/// the whole map still fits a few values of the key-value service.
pub const SLOTS: u16 = 16_384;

/// Longest accepted text identifier, in bytes.
pub const MAX_TEXT: usize = 128;

/// Separates a program's root from the path of its sub-agents.
const CHILD_MARK: char = '.';

fn check(what: &str, text: &str) -> Result<(), Problem> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if !text.is_empty() && text.len() <= MAX_TEXT && text.chars().all(allowed) {
        return Ok(());
    }
    let message = format!(
        "the {what} id is empty, longer than {MAX_TEXT} bytes or has a character other than \
         A-Z a-z 0-9 - _ . : ; send one that keeps to these"
    );
    Err(Problem::new(Kind::BadRequest, message))
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Checks `text` and makes an identifier of it.
            ///
            /// # Errors
            ///
            /// Refuses text that is empty, too long or has unusual characters.
            pub fn parse(text: &str) -> Result<Self, Problem> {
                check($what, text)?;
                Ok(Self(text.to_owned()))
            }

            /// The identifier as text.
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
    /// A program, or a sub-agent under one.
    ///
    /// A sub-agent's identifier extends its parent's by a dot and a name, so
    /// that a whole tree of programs shares one [`Slot`] and thus one owner.
    Program,
    "program"
);
text_id!(
    /// A request of a caller, unique within its program.
    Request,
    "request"
);
text_id!(
    /// An instance on which gradedyke runs.
    Instance,
    "instance"
);
text_id!(
    /// A keeper: an instance and the store it keeps the journal in.
    ///
    /// An instance that comes back with an empty store is another keeper. Taken
    /// for the old one it would count as a copy of what it never had.
    Keeper,
    "keeper"
);
text_id!(
    /// A backend server.
    Backend,
    "backend server"
);

impl Keeper {
    /// The keeper on `instance` whose store has the given identity.
    ///
    /// ```
    /// use gradedyke_base::id::{Instance, Keeper};
    ///
    /// let instance = Instance::parse("north-1").unwrap();
    /// let keeper = Keeper::new(&instance, "0a1b");
    /// assert_eq!(keeper.parts(), Some(("north-1", "0a1b")));
    /// ```
    pub fn new(instance: &Instance, store: &str) -> Self {
        Self(format!("{instance}{STORE_MARK}{store}"))
    }

    /// The names of the instance and of its store.
    pub fn parts(&self) -> Option<(&str, &str)> {
        self.0.rsplit_once(STORE_MARK)
    }
}

/// Separates a keeper's instance from its store.
const STORE_MARK: char = ':';

/// Number of random or hashed bytes in a fresh identifier.
const FRESH_BYTES: usize = 12;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

impl Request {
    /// A fresh identifier for a request that came without one.
    pub fn fresh() -> Self {
        Self(hex(&rand::random::<[u8; FRESH_BYTES]>()))
    }
}

impl Program {
    /// The identifier of the program that `request` of `account` opens.
    ///
    /// It is a hash, so a request that is repeated through another entry opens
    /// the same program again and no state is needed to recognise it.
    ///
    /// ```
    /// use gradedyke_base::id::{Account, Program, Request};
    ///
    /// let account = Account::parse("kestrel").unwrap();
    /// let request = Request::parse("r-1").unwrap();
    /// let first = Program::opened(&account, &request);
    /// assert_eq!(first, Program::opened(&account, &request));
    /// ```
    pub fn opened(account: &Account, request: &Request) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(account.0.as_bytes());
        hasher.update(&[0]);
        hasher.update(request.0.as_bytes());
        Self(hex(&hasher.finalize().as_bytes()[..FRESH_BYTES]))
    }

    /// The identifier of the sub-agent that `request` opens under this program.
    pub fn child(&self, request: &Request) -> Self {
        let hash = blake3::hash(request.0.as_bytes());
        let name = hex(&hash.as_bytes()[..4]);
        Self(format!("{}{CHILD_MARK}{name}", self.0))
    }

    /// The program this sub-agent was opened under, or `None` for a root.
    pub fn parent(&self) -> Option<Self> {
        let (parent, _) = self.0.rsplit_once(CHILD_MARK)?;
        Some(Self(parent.to_owned()))
    }

    /// The program at the top of this one's tree.
    pub fn root(&self) -> &str {
        self.0.split(CHILD_MARK).next().unwrap_or(&self.0)
    }

    /// The slot of this program, the same for its whole tree.
    ///
    /// ```
    /// use gradedyke_base::id::{Program, Request};
    ///
    /// let root = Program::parse("a1").unwrap();
    /// let child = root.child(&Request::parse("r").unwrap());
    /// assert_eq!(root.slot(), child.slot());
    /// assert_eq!(child.parent(), Some(root));
    /// ```
    pub fn slot(&self) -> Slot {
        let hash = blake3::hash(self.root().as_bytes());
        let bytes = hash.as_bytes();
        Slot(u16::from_le_bytes([bytes[0], bytes[1]]) % SLOTS)
    }
}

/// A slot: the unit in which programs change owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slot(pub u16);

/// An ownership epoch of a slot. A higher one fences off every lower one.
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

/// Rendezvous weight of `node` for `key`: the node with the highest one wins.
///
/// Each node's weight is independent of the others, so when a node goes, only
/// what it held moves.
pub fn weight(key: &[u8], node: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key);
    hasher.update(&[0]);
    hasher.update(node.as_bytes());
    let hash = hasher.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(head)
}
