//! Items as they travel: encoded and compressed once, for all who are told the same.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Item;

/// Encoded bytes from which on compression is worth its time.
const COMPRESSED_BYTES: usize = 1 << 10;

/// Most bytes of encoded items: a page, and the largest value that may fill it, with room to
/// spare. Nothing is unpacked that says it is larger.
const LARGEST_BYTES: usize = 4 << 20;

/// Why packed items cannot be taken apart.
#[derive(Clone, Debug, thiserror::Error)]
#[error("packed items cannot be read ({0}); run the same version everywhere")]
pub struct Error(String);

/// Encoded items.
///
/// ```
/// use gradedyke_turns::mirror::{Item, Packed};
///
/// let item = Item { key: "key".to_owned(), value: None, revision: 3 };
/// let packed = Packed::from(vec![item.clone()]);
/// assert_eq!(packed.unpack().unwrap(), [item]);
/// assert!(Packed::default().unpack().unwrap().is_empty());
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Packed {
    /// None where there are no items.
    bytes: Bytes,
    compressed: bool,
}

impl From<lz4_flex::block::DecompressError> for Error {
    fn from(error: lz4_flex::block::DecompressError) -> Self {
        Self(error.to_string())
    }
}

impl From<Vec<Item>> for Packed {
    fn from(items: Vec<Item>) -> Self {
        if items.is_empty() {
            return Self::default();
        }
        let encoded = match postcard::to_stdvec(&items) {
            Ok(encoded) => encoded,
            Err(error) => {
                tracing::error!(event = "items_not_encoded", %error, remedy = "report this");
                return Self::default();
            }
        };
        let compressed = encoded.len() >= COMPRESSED_BYTES;
        let bytes = match compressed {
            true => lz4_flex::compress_prepend_size(&encoded),
            false => encoded,
        };
        Self {
            bytes: bytes.into(),
            compressed,
        }
    }
}

impl Packed {
    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Their size in bytes, as they travel.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// The items.
    ///
    /// # Errors
    ///
    /// [`Error`] when another version packed them.
    pub fn unpack(&self) -> Result<Vec<Item>, Error> {
        if self.is_empty() {
            return Ok(Vec::new());
        }
        if !self.compressed {
            return decode(&self.bytes);
        }
        let (size, compressed) = lz4_flex::block::uncompressed_size(&self.bytes)?;
        if size > LARGEST_BYTES {
            return Err(Error(format!("{size} bytes are more than {LARGEST_BYTES}")));
        }
        decode(&lz4_flex::decompress(compressed, size)?)
    }
}

fn decode(encoded: &[u8]) -> Result<Vec<Item>, Error> {
    postcard::from_bytes(encoded).map_err(|e| Error(e.to_string()))
}
