//! The kind and IDs of an encoded record, decoded without copying its body.

use serde::Deserialize;

use crate::record::{Kind, Record};

/// Kind and IDs of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordIds<'a> {
    /// Kind of the record.
    pub kind: Kind,
    /// ID of the request.
    pub request: &'a str,
    /// ID of the program whose budget the record affects, if any.
    pub program: Option<&'a str>,
}

/// A [`Record`] that borrows from its encoded bytes. The order of variants and fields
/// must match that of [`Record`].
#[derive(Deserialize)]
enum BorrowedRecord<'a> {
    Reserved(#[serde(borrow)] BorrowedReservation<'a>),
    Settled(#[serde(borrow)] BorrowedReservation<'a>),
    Turn(#[serde(borrow)] BorrowedTurn<'a>),
}

#[derive(Deserialize)]
struct BorrowedReservation<'a> {
    program: &'a str,
    request: &'a str,
}

#[derive(Deserialize)]
struct BorrowedTurn<'a> {
    request: &'a str,
    _parent: Option<&'a str>,
    _input: &'a [u8],
    _output: &'a [u8],
    _server: &'a str,
    program: Option<&'a str>,
}

impl<'a> RecordIds<'a> {
    /// Decodes the outline of a record from the record's encoded bytes. Returns `None` if
    /// they are not a valid record.
    pub fn decode(bytes: &'a [u8]) -> Option<Self> {
        // The remaining fields are not decoded.
        let (record, _) = postcard::take_from_bytes(bytes).ok()?;
        Some(match record {
            BorrowedRecord::Reserved(reserved) => Self::from_reservation(Kind::Reserved, &reserved),
            BorrowedRecord::Settled(settled) => Self::from_reservation(Kind::Settled, &settled),
            BorrowedRecord::Turn(turn) => Self {
                kind: Kind::Turn,
                request: turn.request,
                program: turn.program,
            },
        })
    }

    fn from_reservation(kind: Kind, reservation: &BorrowedReservation<'a>) -> Self {
        Self {
            kind,
            request: reservation.request,
            program: Some(reservation.program),
        }
    }
}

impl<'a> From<&'a Record> for RecordIds<'a> {
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
