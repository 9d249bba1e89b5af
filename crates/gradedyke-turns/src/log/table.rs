//! Locations of the records of a segment by program and by turn.
//!
//! A replica reads these tables when it starts, and reads the records of a program from
//! disk when a request needs them. An ID is stored as a 64-bit hash. A hash collision
//! only causes an unneeded read, since each record contains its full IDs.

use std::path::{Path, PathBuf};
use std::{fs, io};

use super::{Location, RecordIds, Segment};
use crate::record::{Id, Kind};

/// First bytes of a table file. They change with the file format; a table in another
/// format is rebuilt from its segment.
const FILE_MAGIC: [u8; 8] = *b"gdtable1";
/// Size of an encoded row in bytes.
const ROW_BYTES: usize = 16;
/// Size of a file's header in bytes: magic, segment length, two row counts, checksum.
const HEADER_BYTES: usize = 8 + 8 + 4 + 4 + 4;

/// Location of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TableRow {
    /// Hash of the program ID or request ID.
    id_hash: u64,
    /// Offset of the record in its segment, in bytes.
    offset: u32,
    /// Length of the record with its header, in bytes.
    len: u32,
}

/// Locations of the records of a segment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Records that affect a program's budget, sorted by program.
    programs: Vec<TableRow>,
    /// Turns, sorted by request.
    turns: Vec<TableRow>,
}

fn hash_id(id: &str) -> u64 {
    let hash = blake3::hash(id.as_bytes());
    let [a, b, c, d, e, f, g, h, ..] = *hash.as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

fn table_path(folder: &Path, segment: Segment) -> PathBuf {
    folder.join(format!("turns-{segment:08}.table"))
}

impl Table {
    /// Inserts the location of a record. Call [`Table::sort`] before the first lookup.
    pub fn insert(&mut self, outline: &RecordIds<'_>, location: Location) {
        let row = |id: &str| TableRow {
            id_hash: hash_id(id),
            offset: location.offset,
            len: location.len,
        };
        self.programs.extend(outline.program.map(row));
        if outline.kind == Kind::Turn {
            self.turns.push(row(outline.request));
        }
    }

    /// Sorts the rows for lookup.
    ///
    /// ```
    /// use gradedyke_turns::log::{Location, RecordIds, Table};
    /// use gradedyke_turns::record::{Id, Kind};
    ///
    /// let mut table = Table::default();
    /// let outline = RecordIds { kind: Kind::Turn, request: "r", program: Some("p") };
    /// let location = Location { segment: 3, offset: 100, len: 20 };
    /// table.insert(&outline, location);
    /// table.sort();
    /// assert_eq!(table.find_program(3, &Id::parse("p").unwrap()), [location]);
    /// assert_eq!(table.find_turn(3, &Id::parse("r").unwrap()), [location]);
    /// assert!(table.find_turn(3, &Id::parse("p").unwrap()).is_empty());
    /// ```
    pub fn sort(&mut self) {
        self.programs.sort_unstable();
        self.turns.sort_unstable();
    }

    /// Returns the candidate locations of a program's records. `segment` is the segment
    /// that this table belongs to.
    pub fn find_program(&self, segment: Segment, program: &Id) -> Vec<Location> {
        find_rows(&self.programs, segment, program)
    }

    /// Returns the candidate locations of a request's turn. `segment` is the segment that
    /// this table belongs to.
    pub fn find_turn(&self, segment: Segment, request: &Id) -> Vec<Location> {
        find_rows(&self.turns, segment, request)
    }

    /// Writes the table of a segment of `segment_len` bytes to `folder`, atomically: to a
    /// temporary file that is then renamed.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn save(&self, folder: &Path, segment: Segment, segment_len: u64) -> io::Result<()> {
        let path = table_path(folder, segment);
        let temporary_path = path.with_extension("table-new");
        fs::write(&temporary_path, self.encode(segment_len))?;
        fs::File::open(&temporary_path)?.sync_all()?;
        fs::rename(&temporary_path, &path)
    }

    /// Loads the table of a segment of `segment_len` bytes. Returns `None` if the table is
    /// missing, is corrupt or was saved for another segment length.
    pub fn load(folder: &Path, segment: Segment, segment_len: u64) -> Option<Self> {
        Self::decode(&fs::read(table_path(folder, segment)).ok()?, segment_len)
    }

    /// Removes the table of a segment, if there is one.
    pub fn remove(folder: &Path, segment: Segment) {
        let removed = fs::remove_file(table_path(folder, segment));
        if let Err(error) = removed
            && error.kind() != io::ErrorKind::NotFound
        {
            tracing::warn!(event = "table_not_removed", segment, %error);
        }
    }

    fn encode(&self, segment_len: u64) -> Vec<u8> {
        let count = self.programs.len() + self.turns.len();
        let mut body = Vec::with_capacity(count * ROW_BYTES);
        for row in self.programs.iter().chain(&self.turns) {
            body.extend_from_slice(&row.id_hash.to_le_bytes());
            body.extend_from_slice(&row.offset.to_le_bytes());
            body.extend_from_slice(&row.len.to_le_bytes());
        }
        let count = |rows: &[TableRow]| u32::try_from(rows.len()).unwrap_or(u32::MAX);
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.extend_from_slice(&FILE_MAGIC);
        bytes.extend_from_slice(&segment_len.to_le_bytes());
        bytes.extend_from_slice(&count(&self.programs).to_le_bytes());
        bytes.extend_from_slice(&count(&self.turns).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    fn decode(bytes: &[u8], segment_len: u64) -> Option<Self> {
        let body = bytes.strip_prefix(&FILE_MAGIC)?;
        let body = body.strip_prefix(&segment_len.to_le_bytes())?;
        let (program_count, body) = split_u32(body)?;
        let (turn_count, body) = split_u32(body)?;
        let (checksum, body) = split_u32(body)?;
        let program_bytes = program_count as usize * ROW_BYTES;
        let is_complete = body.len() == program_bytes + turn_count as usize * ROW_BYTES;
        if !is_complete || crc32fast::hash(body) != checksum {
            return None;
        }
        Some(Self {
            programs: decode_rows(&body[..program_bytes]),
            turns: decode_rows(&body[program_bytes..]),
        })
    }
}

/// Decodes the little-endian `u32` at the start of `bytes`. Returns it and the remaining
/// bytes.
fn split_u32(bytes: &[u8]) -> Option<(u32, &[u8])> {
    let (value, rest) = bytes.split_first_chunk()?;
    Some((u32::from_le_bytes(*value), rest))
}

fn decode_rows(bytes: &[u8]) -> Vec<TableRow> {
    let (chunks, _) = bytes.as_chunks::<ROW_BYTES>();
    let row = |chunk: &[u8; ROW_BYTES]| {
        let [a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p] = *chunk;
        TableRow {
            id_hash: u64::from_le_bytes([a, b, c, d, e, f, g, h]),
            offset: u32::from_le_bytes([i, j, k, l]),
            len: u32::from_le_bytes([m, n, o, p]),
        }
    };
    chunks.iter().map(row).collect()
}

/// Returns the locations of the rows with the hash of `id`. `rows` must be sorted.
fn find_rows(rows: &[TableRow], segment: Segment, id: &Id) -> Vec<Location> {
    let id_hash = hash_id(id.as_str());
    let first = rows.partition_point(|r| r.id_hash < id_hash);
    let matching = rows[first..].iter().take_while(|r| r.id_hash == id_hash);
    let location = |row: &TableRow| Location {
        segment,
        offset: row.offset,
        len: row.len,
    };
    matching.map(location).collect()
}
