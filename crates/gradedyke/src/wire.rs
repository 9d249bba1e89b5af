//! The messages between an entry and an owner.
//!
//! Short questions travel as JSON-RPC ([`crate::owner::rpc`]). A call does not
//! fit that: its answer is a stream that may last minutes, must stop when the
//! reader is slow, and costs a JSON-RPC notification for each token. So a call
//! is one HTTP exchange: the request's body is a [`Call`] in JSON, the reply's
//! body a sequence of [`Frame`]s in postcard, each behind its length.
//! `record/` holds the measurement that led to this.

use bytes::{Bytes, BytesMut};
use gradedyke_backend::chat::{self, Completion};
use gradedyke_backend::service;
use gradedyke_base::id;
use gradedyke_base::problem::Problem;
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Header of the reply to a call that names the model that answers.
pub const MODEL: &str = "gradedyke-model";

/// Path of calls on the listener for peers.
pub const CALLS: &str = "/calls";

/// Largest frame: a whole answer.
pub const MAX_FRAME: usize = 64 << 20;

/// How a chat request's messages relate to the program's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum History {
    /// They repeat the history and go on from there, as existing clients do.
    #[default]
    Whole,
    /// They are only what is new.
    Append,
}

/// What a call is to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Work {
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

impl Work {
    /// The model that is called; empty for a plain service.
    pub fn model(&self) -> &str {
        match self {
            Work::Chat { request, .. } => &request.model,
            Work::Service { .. } => "",
        }
    }
}

/// A call on its way from an entry to the program's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    /// The client account, which the entry has authenticated.
    pub account: id::Account,
    /// The program.
    pub program: id::Program,
    /// The request, by which a repeat is known.
    pub request: id::Request,
    /// The caller's number for the call's place in the program, from 1.
    #[serde(default)]
    pub sequence: Option<u64>,
    /// What to do; `None` only fetches the answer of a call issued before.
    pub work: Option<Work>,
    /// Bytes of text that the caller has already.
    #[serde(default)]
    pub offset: u64,
    /// BLAKE3 of those bytes, if the entry has seen them pass.
    #[serde(default)]
    pub seen: Option<String>,
    /// Whether to send only the end, not the text as it comes.
    #[serde(default)]
    pub whole: bool,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// A model's whole answer.
    Chat(Completion),
    /// A plain service's answer.
    Service(service::Reply),
    /// It failed, for good.
    Failed(Problem),
}

/// A part of an answer on its way to the entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Text, which begins at this offset.
    Text(u64, String),
    /// The end: an [`Outcome`] in JSON, which postcard cannot carry.
    End(Vec<u8>),
}

/// What a stream of frames fails with.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not frames.
    #[error("the peer sent what is no frame ({0}); run the same version everywhere")]
    Malformed(String),
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(error.to_string())
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

impl Frame {
    /// The frame that carries how a call ended.
    pub fn end(outcome: &Outcome) -> Self {
        let json = serde_json::to_vec(outcome);
        Self::End(json.expect("an outcome has only strings, numbers and maps with string keys"))
    }

    /// The frame's bytes, with the length before them.
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
    /// The frame is over [`MAX_FRAME`].
    pub fn encode(&self) -> Result<Bytes, Error> {
        let bytes = postcard::to_stdvec(self).map_err(malformed)?;
        let mut buffer = BytesMut::with_capacity(bytes.len() + 4);
        codec()
            .encode(Bytes::from(bytes), &mut buffer)
            .map_err(malformed)?;
        Ok(buffer.freeze())
    }
}

/// Reads frames from bytes as they come.
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
    /// A reader at the beginning of a stream.
    pub fn new() -> Self {
        Self {
            buffer: BytesMut::new(),
            codec: codec(),
        }
    }

    /// Takes in bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole frame, if it has arrived.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`]; the stream cannot be read on.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.codec.decode(&mut self.buffer).map_err(malformed)? else {
            return Ok(None);
        };
        postcard::from_bytes(&bytes).map(Some).map_err(malformed)
    }
}
