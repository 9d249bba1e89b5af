//! The messages between an entry and an owner.
//!
//! Short requests use JSON-RPC ([`crate::owner::rpc`]). A call is one HTTP
//! exchange instead, because its answer is a stream that may last minutes and
//! needs backpressure, and a JSON-RPC notification per token would be costly.
//! The request's body is a [`Call`] in JSON. The response's body is a sequence
//! of [`Frame`]s in postcard, each preceded by its length.

use bytes::{Bytes, BytesMut};
use gradedyke_backend::chat::{self, Completion};
use gradedyke_backend::service;
use gradedyke_base::id;
use gradedyke_base::problem::Problem;
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Response header of a call: the model that answers.
pub const MODEL_HEADER: &str = "gradedyke-model";

/// Path of calls on the listener for peers.
pub const CALLS_PATH: &str = "/calls";

/// Maximum size of a frame, in bytes. The last frame holds a complete answer.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// How a chat request's messages relate to the program's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum History {
    /// They repeat the history, followed by new messages, as existing clients
    /// do.
    #[default]
    Whole,
    /// They are only the new messages.
    Append,
}

/// The operation that a call requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Operation {
    /// A model call.
    Chat {
        /// The request.
        request: chat::Request,
        /// How its messages relate to the history.
        history: History,
    },
    /// A call to a plain service.
    Service {
        /// The service's name.
        service: String,
        /// The call.
        call: service::Call,
        /// Whether it may run more than once.
        repeatable: bool,
    },
}

impl Operation {
    /// Returns the name of the called model, or an empty string for a plain
    /// service.
    pub fn model(&self) -> &str {
        match self {
            Operation::Chat { request, .. } => &request.model,
            Operation::Service { .. } => "",
        }
    }
}

/// A call that an entry sends to the program's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    /// The client account that the entry has authenticated.
    pub account: id::Account,
    /// The program that the call belongs to.
    pub program: id::Program,
    /// The request id, by which a repeated request is recognized.
    pub request: id::Request,
    /// The caller's sequence number for the call within the program, from 1.
    #[serde(default)]
    pub sequence: Option<u64>,
    /// The operation. `None` only fetches the answer of an earlier call.
    pub work: Option<Operation>,
    /// Number of bytes of text that the caller has already received.
    #[serde(default)]
    pub offset: u64,
    /// BLAKE3 hash of those bytes, if they were relayed by this entry.
    #[serde(default, rename = "seen")]
    pub text_hash: Option<String>,
    /// Whether to send only the outcome and not the text as it is generated.
    #[serde(default, rename = "whole")]
    pub outcome_only: bool,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// A model's complete answer.
    Chat(Completion),
    /// A plain service's response.
    Service(service::Reply),
    /// The call failed permanently.
    Failed(Problem),
}

/// A part of an answer that an owner sends to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Text, preceded by its offset in bytes within the whole answer.
    Text(u64, String),
    /// The last frame: an [`Outcome`] in JSON, because it contains JSON values,
    /// which postcard does not support.
    End(Vec<u8>),
}

/// An error of encoding or decoding frames.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a valid frame, or the frame is too large.
    #[error("invalid frame ({0}); make sure that all instances run the same version")]
    Malformed(String),
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(error.to_string())
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

impl Frame {
    /// Creates the last frame of an answer from the call's outcome.
    pub fn end(outcome: &Outcome) -> Self {
        let json = serde_json::to_vec(outcome);
        Self::End(json.expect("an outcome has only strings, numbers and maps with string keys"))
    }

    /// Encodes the frame, preceded by its length.
    ///
    /// ```
    /// use gradedyke::wire::{Frame, Reader};
    ///
    /// let frame = Frame::Text(0, "hello".to_owned());
    /// let mut reader = Reader::new();
    /// reader.feed(&frame.encode().unwrap());
    /// assert_eq!(reader.next().unwrap(), Some(frame));
    /// ```
    ///
    /// # Errors
    ///
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> Result<Bytes, Error> {
        let bytes = postcard::to_stdvec(self).map_err(malformed)?;
        let mut buffer = BytesMut::with_capacity(bytes.len() + 4);
        codec()
            .encode(Bytes::from(bytes), &mut buffer)
            .map_err(malformed)?;
        Ok(buffer.freeze())
    }
}

/// Decodes frames from a stream of bytes.
#[derive(Debug)]
pub struct Reader {
    buffer: BytesMut,
    codec: LengthDelimitedCodec,
}

impl Default for Reader {
    fn default() -> Self {
        Self::new()
    }
}

impl Reader {
    /// Creates a reader at the start of a stream.
    pub fn new() -> Self {
        Self {
            buffer: BytesMut::new(),
            codec: codec(),
        }
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame, or `None` if it has not been received completely.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`]. The rest of the stream cannot be decoded.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.codec.decode(&mut self.buffer).map_err(malformed)? else {
            return Ok(None);
        };
        postcard::from_bytes(&bytes).map(Some).map_err(malformed)
    }
}
