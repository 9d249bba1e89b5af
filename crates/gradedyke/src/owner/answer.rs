//! The answer of a call, readable while it is generated.
//!
//! All readers share one copy of the text, and each reads from its own offset. A
//! slow reader thus gets larger pieces instead of a growing queue, and a reader
//! that reconnects continues at its offset.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::wire::Outcome;

/// How an answer ends.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The call ended with this outcome.
    Outcome(Outcome),
    /// The slot moved to another owner, which continues the call: ask that owner.
    Moved,
}

/// The part of an answer after a reader's offset.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Text after the offset.
    pub text: String,
    /// How the answer ended, if it has.
    pub end: Option<End>,
}

#[derive(Debug, Default)]
struct State {
    text: String,
    end: Option<End>,
    was_read: bool,
}

/// The answer of a call in progress or of a call that has ended.
#[derive(Debug)]
pub struct Answer {
    /// Hash of the call as the caller sent it, to detect a reused request id.
    pub fingerprint: String,
    /// The model that generates it; empty for a plain service.
    pub model: String,
    /// Token that cancels the call.
    pub cancel: CancellationToken,
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl Answer {
    /// Creates an empty answer of a call in progress.
    pub fn new(fingerprint: String, model: String, cancel: CancellationToken) -> Self {
        Self {
            fingerprint,
            model,
            cancel,
            state: Mutex::default(),
            changed: watch::Sender::new(()),
        }
    }

    /// Creates the answer of a call that has ended.
    pub fn finished(fingerprint: String, outcome: Outcome) -> Self {
        let model = match &outcome {
            Outcome::Chat(completion) => completion.model.clone(),
            Outcome::Service(_) | Outcome::Failed(_) => String::new(),
        };
        let answer = Self::new(fingerprint, model, CancellationToken::new());
        answer.finish(End::Outcome(outcome));
        answer
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes text at a byte offset. Returns whether it agrees with the text that
    /// is already there; if not, nothing is written.
    ///
    /// ```
    /// use gradedyke::owner::answer::Answer;
    ///
    /// let answer = Answer::new(String::new(), String::new(), Default::default());
    /// assert!(answer.write_at(0, "two "));
    /// assert!(answer.write_at(0, "two words"));
    /// assert!(!answer.write_at(0, "three"));
    /// assert_eq!(answer.text(), "two words");
    /// ```
    pub fn write_at(&self, offset: usize, text: &str) -> bool {
        let mut state = self.lock();
        let Some(known) = state.text.get(offset..) else {
            return false;
        };
        if known.starts_with(text) {
            return true;
        }
        let Some(new) = text.strip_prefix(known) else {
            return false;
        };
        state.text.push_str(new);
        drop(state);
        self.changed.send_replace(());
        true
    }

    /// Returns the length of the text so far, in bytes.
    pub fn len(&self) -> usize {
        self.lock().text.len()
    }

    /// Returns whether there is no text yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the text so far.
    pub fn text(&self) -> String {
        self.lock().text.clone()
    }

    /// Clears the text before another attempt. If a reader has already received
    /// text, it stays and the new attempt must produce the same text.
    pub fn restart(&self) {
        let mut state = self.lock();
        if !state.was_read {
            state.text.clear();
        }
    }

    /// Ends the answer. Any later call is ignored.
    pub fn finish(&self, end: End) {
        let mut state = self.lock();
        if let (End::Outcome(Outcome::Chat(completion)), true) = (&end, state.text.is_empty()) {
            state.text.clone_from(&completion.content);
        }
        state.end.get_or_insert(end);
        drop(state);
        self.changed.send_replace(());
    }

    /// Returns a receiver that is notified of every change.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Reads from byte `offset` on. Returns `None` if the offset is beyond the text
    /// or inside a character.
    ///
    /// ```
    /// use gradedyke::owner::answer::Answer;
    ///
    /// let answer = Answer::new(String::new(), String::new(), Default::default());
    /// answer.write_at(0, "two words");
    /// assert_eq!(answer.read_from(4).unwrap().text, "words");
    /// assert!(answer.read_from(40).is_none());
    /// ```
    pub fn read_from(&self, offset: usize) -> Option<Update> {
        let mut state = self.lock();
        let text = state.text.get(offset..)?.to_owned();
        state.was_read |= !text.is_empty();
        Some(Update {
            text,
            end: state.end.clone(),
        })
    }

    /// Returns the BLAKE3 hash of the first `length` bytes of the text in hex, or
    /// `None` if the text is shorter.
    pub fn prefix_hash(&self, length: usize) -> Option<String> {
        let state = self.lock();
        let head = state.text.as_bytes().get(..length)?;
        Some(blake3::hash(head).to_hex().to_string())
    }

    /// Returns how the answer ended, if it has.
    pub fn end(&self) -> Option<End> {
        self.lock().end.clone()
    }
}
