//! What a record is about, read from its bytes without copying what was said.

use serde::Deserialize;

use crate::record::{Kind, Record};

/// What a record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outline<'a> {
    /// Its kind.
    pub kind: Kind,
    /// The request.
    pub request: &'a str,
    /// The program whose budget it concerns, if any.
    pub program: Option<&'a str>,
}

/// A [`Record`] that borrows from its bytes. The order of variants and fields is
/// the one that is written.
#[derive(Deserialize)]
enum Borrowed<'a> {
    Reserved(#[serde(borrow)] Use<'a>),
    Settled(#[serde(borrow)] Use<'a>),
    Turn(#[serde(borrow)] Turn<'a>),
}

#[derive(Deserialize)]
struct Use<'a> {
    program: &'a str,
    request: &'a str,
}

#[derive(Deserialize)]
struct Turn<'a> {
    request: &'a str,
    _parent: Option<&'a str>,
    _input: &'a [u8],
    _output: &'a [u8],
    _server: &'a str,
    program: Option<&'a str>,
}

impl<'a> Outline<'a> {
    /// Reads it from a record's bytes; `None` where these are no record.
    pub fn read(bytes: &'a [u8]) -> Option<Self> {
        // What follows the fields wanted is left unread.
        let (record, _) = postcard::take_from_bytes(bytes).ok()?;
        Some(match record {
            Borrowed::Reserved(reserved) => Self::of_use(Kind::Reserved, &reserved),
            Borrowed::Settled(settled) => Self::of_use(Kind::Settled, &settled),
            Borrowed::Turn(turn) => Self {
                kind: Kind::Turn,
                request: turn.request,
                program: turn.program,
            },
        })
    }

    fn of_use(kind: Kind, of: &Use<'a>) -> Self {
        Self {
            kind,
            request: of.request,
            program: Some(of.program),
        }
    }
}

impl<'a> From<&'a Record> for Outline<'a> {
    fn from(record: &'a Record) -> Self {
        let (kind, request, program) = match record {
            Record::Reserved(r) => (Kind::Reserved, &r.request, Some(&r.program)),
            Record::Settled(r) => (Kind::Settled, &r.request, Some(&r.program)),
            Record::Turn(r) => (Kind::Turn, &r.request, r.program.as_ref()),
        };
        Self {
            kind,
            request: request.as_str(),
            program: program.map(|p| p.as_str()),
        }
    }
}
