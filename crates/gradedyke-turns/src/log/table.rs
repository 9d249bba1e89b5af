//! Where the records of a segment are, by program and by turn.
//!
//! A replica that starts reads these tables, a hundredth of what is on its disk,
//! and fetches the records of a program when somebody asks for it. A name is
//! kept as a hash of eight bytes; whoever reads a record back compares its name,
//! so names that share a hash cost a read and nothing else.

use std::path::{Path, PathBuf};
use std::{fs, io};

use super::{Outline, Place, Segment};
use crate::record::{Id, Kind};

/// Begins the file of a table. Another layout gets another mark, and files with
/// an unknown one are made anew from their segment.
const MARK: [u8; 8] = *b"gdtable1";
/// Bytes of an entry in a file.
const ENTRY: usize = 16;
/// Bytes of the mark, the segment's length, the two counts and the checksum.
const HEAD: usize = 8 + 8 + 4 + 4 + 4;

/// Where one record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    /// Hash of the name it is found by.
    name: u64,
    /// Where it begins in its segment, in bytes.
    at: u32,
    /// Its bytes, with length and checksum.
    bytes: u32,
}

/// Where the records of a segment are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// All records that concern a program's budget, by program.
    programs: Vec<Entry>,
    /// All turns, by request.
    turns: Vec<Entry>,
}

fn hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, c, d, e, f, g, h, ..] = *hash.as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

fn file(folder: &Path, segment: Segment) -> PathBuf {
    folder.join(format!("turns-{segment:08}.table"))
}

impl Table {
    /// Notes where a record is. Call [`Table::sort`] before anything is looked up.
    pub fn add(&mut self, outline: &Outline<'_>, place: Place) {
        let entry = |name: &str| Entry {
            name: hash(name),
            at: place.at,
            bytes: place.bytes,
        };
        self.programs.extend(outline.program.map(entry));
        if outline.kind == Kind::Turn {
            self.turns.push(entry(outline.request));
        }
    }

    /// Puts the entries in the order in which they are looked up.
    ///
    /// ```
    /// use gradedyke_turns::log::{Outline, Place, Table};
    /// use gradedyke_turns::record::{Id, Kind};
    ///
    /// let mut table = Table::default();
    /// let outline = Outline { kind: Kind::Turn, request: "r", program: Some("p") };
    /// let place = Place { segment: 3, at: 100, bytes: 20 };
    /// table.add(&outline, place);
    /// table.sort();
    /// assert_eq!(table.program(3, &Id::parse("p").unwrap()), [place]);
    /// assert_eq!(table.turn(3, &Id::parse("r").unwrap()), [place]);
    /// assert!(table.turn(3, &Id::parse("p").unwrap()).is_empty());
    /// ```
    pub fn sort(&mut self) {
        self.programs.sort_unstable();
        self.turns.sort_unstable();
    }

    /// Where records of a program may be; this is the table of `segment`.
    pub fn program(&self, segment: Segment, program: &Id) -> Vec<Place> {
        find(&self.programs, segment, program)
    }

    /// Where the turn of a request may be; this is the table of `segment`.
    pub fn turn(&self, segment: Segment, request: &Id) -> Vec<Place> {
        find(&self.turns, segment, request)
    }

    /// Writes the table of a segment of `length` bytes beside it, so that it is there
    /// whole or not at all.
    ///
    /// # Errors
    ///
    /// Those of the operating system.
    pub fn save(&self, folder: &Path, segment: Segment, length: u64) -> io::Result<()> {
        let path = file(folder, segment);
        let new = path.with_extension("table-new");
        fs::write(&new, self.encode(length))?;
        fs::File::open(&new)?.sync_all()?;
        fs::rename(&new, &path)
    }

    /// Reads the table of a segment of `length` bytes; `None` if there is no whole
    /// one, or it is one of other bytes.
    pub fn load(folder: &Path, segment: Segment, length: u64) -> Option<Self> {
        Self::decode(&fs::read(file(folder, segment)).ok()?, length)
    }

    /// Removes the table of a segment, if there is one.
    pub fn remove(folder: &Path, segment: Segment) {
        let removed = fs::remove_file(file(folder, segment));
        if let Err(error) = removed
            && error.kind() != io::ErrorKind::NotFound
        {
            tracing::warn!(event = "table_not_removed", segment, %error);
        }
    }

    fn encode(&self, length: u64) -> Vec<u8> {
        let count = self.programs.len() + self.turns.len();
        let mut body = Vec::with_capacity(count * ENTRY);
        for entry in self.programs.iter().chain(&self.turns) {
            body.extend_from_slice(&entry.name.to_le_bytes());
            body.extend_from_slice(&entry.at.to_le_bytes());
            body.extend_from_slice(&entry.bytes.to_le_bytes());
        }
        let count = |entries: &[Entry]| u32::try_from(entries.len()).unwrap_or(u32::MAX);
        let mut bytes = Vec::with_capacity(HEAD + body.len());
        bytes.extend_from_slice(&MARK);
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&count(&self.programs).to_le_bytes());
        bytes.extend_from_slice(&count(&self.turns).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    fn decode(bytes: &[u8], length: u64) -> Option<Self> {
        let body = bytes.strip_prefix(&MARK)?;
        let body = body.strip_prefix(&length.to_le_bytes())?;
        let (programs, body) = number(body)?;
        let (turns, body) = number(body)?;
        let (sum, body) = number(body)?;
        let split = programs as usize * ENTRY;
        let whole = body.len() == split + turns as usize * ENTRY;
        if !whole || crc32fast::hash(body) != sum {
            return None;
        }
        Some(Self {
            programs: entries(&body[..split]),
            turns: entries(&body[split..]),
        })
    }
}

/// The number at the start of `bytes`, and what follows.
fn number(bytes: &[u8]) -> Option<(u32, &[u8])> {
    let (number, rest) = bytes.split_first_chunk()?;
    Some((u32::from_le_bytes(*number), rest))
}

fn entries(bytes: &[u8]) -> Vec<Entry> {
    let (chunks, _) = bytes.as_chunks::<ENTRY>();
    let entry = |chunk: &[u8; ENTRY]| {
        let [a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p] = *chunk;
        Entry {
            name: u64::from_le_bytes([a, b, c, d, e, f, g, h]),
            at: u32::from_le_bytes([i, j, k, l]),
            bytes: u32::from_le_bytes([m, n, o, p]),
        }
    };
    chunks.iter().map(entry).collect()
}

fn find(entries: &[Entry], segment: Segment, name: &Id) -> Vec<Place> {
    let name = hash(name.as_str());
    let from = entries.partition_point(|e| e.name < name);
    let same = entries[from..].iter().take_while(|e| e.name == name);
    let place = |entry: &Entry| Place {
        segment,
        at: entry.at,
        bytes: entry.bytes,
    };
    same.map(place).collect()
}
