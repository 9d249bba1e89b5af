//! Items in their encoding for transfer: encoded and compressed once for all receivers.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Item;

/// Size from which an encoding is compressed, in bytes.
const COMPRESSION_THRESHOLD_BYTES: usize = 1 << 10;

/// Largest size of decompressed items, in bytes. Anything larger is rejected before it is
/// decompressed. A page has at least one item, whatever its size, so this is the size of the
/// largest message.
const MAX_DECOMPRESSED_BYTES: usize = gradedyke_peer::MAX_MESSAGE_BYTES;

/// Failure to decompress or decode packed items.
#[derive(Clone, Debug, thiserror::Error)]
#[error("packed items cannot be decoded ({0}); run the same version on all instances")]
pub struct Error(String);

/// Encoded items, compressed if they are large.
///
/// ```
/// use gradedyke_turns::mirror::{Item, PackedItems};
///
/// let item = Item { key: "key".to_owned(), value: None, revision: 3 };
/// let packed = PackedItems::from(vec![item.clone()]);
/// assert_eq!(packed.decode().unwrap(), [item]);
/// assert!(PackedItems::default().decode().unwrap().is_empty());
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PackedItems {
    /// Empty if there are no items.
    bytes: Bytes,
    compressed: bool,
}

impl From<lz4_flex::block::DecompressError> for Error {
    fn from(error: lz4_flex::block::DecompressError) -> Self {
        Self(error.to_string())
    }
}

impl From<Vec<Item>> for PackedItems {
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
        let compressed = encoded.len() >= COMPRESSION_THRESHOLD_BYTES;
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

impl PackedItems {
    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Size of the encoding in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Decompresses and decodes the items.
    ///
    /// # Errors
    ///
    /// [`Error`] if they cannot be decoded, which means that another version encoded them.
    pub fn decode(&self) -> Result<Vec<Item>, Error> {
        if self.is_empty() {
            return Ok(Vec::new());
        }
        if !self.compressed {
            return decode(&self.bytes);
        }
        let (size, compressed) = lz4_flex::block::uncompressed_size(&self.bytes)?;
        if size > MAX_DECOMPRESSED_BYTES {
            return Err(Error(format!(
                "size of {size} bytes exceeds the limit of {MAX_DECOMPRESSED_BYTES}"
            )));
        }
        decode(&lz4_flex::decompress(compressed, size)?)
    }
}

fn decode(encoded: &[u8]) -> Result<Vec<Item>, Error> {
    postcard::from_bytes(encoded).map_err(|e| Error(e.to_string()))
}
