//! An answer while it comes in.
//!
//! The text is kept once, whatever the number of readers; each reader takes
//! what has come since its own offset. A slow reader thus gets larger pieces,
//! never a longer queue, and a reader that comes back goes on at its offset.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::wire::Outcome;

/// How an answer under way ends.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// With an outcome.
    Outcome(Outcome),
    /// Here without one: ask the program's owner again.
    Moved,
}

/// What has come since a reader's offset.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// New text.
    pub text: String,
    /// The end, if there.
    pub end: Option<End>,
}

#[derive(Debug, Default)]
struct State {
    text: String,
    end: Option<End>,
    read: bool,
}

/// An answer under way.
#[derive(Debug)]
pub struct Answer {
    /// Hash of the work as the caller sent it.
    pub fingerprint: String,
    /// The model that answers; empty for a plain service.
    pub model: String,
    /// Cancels the call.
    pub cancel: CancellationToken,
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl Answer {
    /// An answer of which nothing has come yet.
    pub fn new(fingerprint: String, model: String, cancel: CancellationToken) -> Self {
        Self {
            fingerprint,
            model,
            cancel,
            state: Mutex::default(),
            changed: watch::Sender::new(()),
        }
    }

    /// An answer that is whole already.
    pub fn ended(fingerprint: String, outcome: Outcome) -> Self {
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

    /// Writes text at a byte offset. Text that is there already must be the
    /// same; tells whether it is.
    ///
    /// ```
    /// use gradedyke::owner::answer::Answer;
    ///
    /// let answer = Answer::new(String::new(), String::new(), Default::default());
    /// assert!(answer.write(0, "two "));
    /// assert!(answer.write(0, "two words"));
    /// assert!(!answer.write(0, "three"));
    /// assert_eq!(answer.text(), "two words");
    /// ```
    pub fn write(&self, offset: usize, text: &str) -> bool {
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

    /// Bytes of text so far.
    pub fn len(&self) -> usize {
        self.lock().text.len()
    }

    /// Whether no text has come.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The text so far.
    pub fn text(&self) -> String {
        self.lock().text.clone()
    }

    /// Begins the text anew, unless a reader has had some of it already: then
    /// what comes must repeat it.
    pub fn restart(&self) {
        let mut state = self.lock();
        if !state.read {
            state.text.clear();
        }
    }

    /// Ends the answer. A second end is ignored.
    pub fn finish(&self, end: End) {
        let mut state = self.lock();
        if let (End::Outcome(Outcome::Chat(completion)), true) = (&end, state.text.is_empty()) {
            state.text.clone_from(&completion.content);
        }
        state.end.get_or_insert(end);
        drop(state);
        self.changed.send_replace(());
    }

    /// Follows changes.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// What has come since `offset`, or `None` when the text cannot be cut
    /// there.
    ///
    /// ```
    /// use gradedyke::owner::answer::Answer;
    ///
    /// let answer = Answer::new(String::new(), String::new(), Default::default());
    /// answer.write(0, "two words");
    /// assert_eq!(answer.since(4).unwrap().text, "words");
    /// assert!(answer.since(40).is_none());
    /// ```
    pub fn since(&self, offset: usize) -> Option<News> {
        let mut state = self.lock();
        let text = state.text.get(offset..)?.to_owned();
        state.read |= !text.is_empty();
        Some(News {
            text,
            end: state.end.clone(),
        })
    }

    /// BLAKE3 of the first `length` bytes of the text, if there are so many.
    pub fn hash(&self, length: usize) -> Option<String> {
        let state = self.lock();
        let head = state.text.as_bytes().get(..length)?;
        Some(blake3::hash(head).to_hex().to_string())
    }

    /// The end, if it has come.
    pub fn end(&self) -> Option<End> {
        self.lock().end.clone()
    }
}
