//! Recognizes requests with the same content.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Which requests share a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The same request of one program.
    Program,
    /// Requests of any program with the same content.
    Content,
}

impl Scope {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Scope::Program => "program",
            Scope::Content => "content",
        }
    }
}

/// Length of the hash in bytes.
const HASH_BYTES: usize = 16;

/// A cryptographic hash of what a request asks for, so that callers cannot make two requests
/// collide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    scope: Scope,
    hash: [u8; HASH_BYTES],
}

impl Fingerprint {
    /// Hashes the parts of a request. Requests differ if any part does; a part that is `None`
    /// differs from an empty one.
    ///
    /// ```
    /// use gradedyke_turns::crash::{Fingerprint, Scope};
    ///
    /// let hash = |parts: &[Option<&[u8]>]| Fingerprint::new(Scope::Content, parts);
    /// assert_eq!(hash(&[Some(b"a"), Some(b"b")]), hash(&[Some(b"a"), Some(b"b")]));
    /// assert_ne!(hash(&[Some(b"a"), Some(b"b")]), hash(&[Some(b"ab"), Some(b"")]));
    /// assert_ne!(hash(&[None]), hash(&[Some(b"")]));
    /// ```
    pub fn new(scope: Scope, parts: &[Option<&[u8]>]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // The length with a tag separates the parts.
            let len = part.map_or(0, |p| p.len() as u64 + 1);
            hasher.update(&len.to_le_bytes());
            hasher.update(part.unwrap_or_default());
        }
        let mut hash = [0; HASH_BYTES];
        hasher.finalize_xof().fill(&mut hash);
        Self { scope, hash }
    }

    /// Which requests share the fingerprint.
    pub fn scope(&self) -> Scope {
        self.scope
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-", self.scope.name())?;
        for byte in self.hash {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// A text that is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a fingerprint; copy it from the list, as in content-0123456789abcdef0123456789abcdef")]
pub struct ParseError;

impl FromStr for Fingerprint {
    type Err = ParseError;

    /// Parses what `Display` prints.
    ///
    /// ```
    /// use gradedyke_turns::crash::{Fingerprint, Scope};
    ///
    /// let fingerprint = Fingerprint::new(Scope::Program, &[Some(b"a")]);
    /// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    /// assert!("program-zz".parse::<Fingerprint>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (scope, digits) = text.split_once('-').ok_or(ParseError)?;
        let scope = [Scope::Program, Scope::Content]
            .into_iter()
            .find(|s| s.name() == scope);
        let value = u128::from_str_radix(digits, 16).map_err(|_| ParseError)?;
        if digits.len() != 2 * HASH_BYTES {
            return Err(ParseError);
        }
        Ok(Self {
            scope: scope.ok_or(ParseError)?,
            hash: value.to_be_bytes(),
        })
    }
}
