//! Reads conversations, whole if they fit in a page and otherwise page by page.

use super::Replica;
use crate::body::Body;
use crate::conversation::{Conversation, Page, Transcript, TurnBody};
use crate::message::{FULL_PAGE_BYTES, Found, Reply};
use crate::record::{Id, Record};

/// Returns the body of a turn; `None` for records of other kinds.
fn turn_body(record: Record) -> Option<Body> {
    match record {
        Record::Turn(turn) => Some(Body {
            input: turn.input,
            output: turn.output,
        }),
        Record::Reserved(_) | Record::Settled(_) => None,
    }
}

impl Replica {
    /// Looks up a turn, with its conversation if `with_conversation` and if that fits in a page.
    pub(super) async fn find_turn(&self, id: &Id, with_conversation: bool) -> Found {
        if !self.index().has_turn(id) {
            return Found::Missing;
        }
        // Other replicas may have ancestors that are missing here.
        if !with_conversation || !self.index().has_turn_and_ancestors(id) {
            return Found::Here;
        }
        let Some(conversation) = self.conversation(id) else {
            return Found::Here;
        };
        let bytes = conversation.byte_len();
        if bytes > FULL_PAGE_BYTES {
            return Found::Large(bytes as u64);
        }
        let transcript = self.transcript(&conversation, true).await;
        transcript.map_or(Found::Here, Found::Whole)
    }

    /// Returns the reply to [`Request::Chain`].
    pub(super) async fn chain_reply(&self, id: &Id) -> Reply {
        if let Err(error) = self.load_for_request(None, Some(id)).await {
            return Reply::Failed(error.to_string());
        }
        match self.conversation(id) {
            None => Reply::Chain(None),
            Some(conversation) if conversation.byte_len() <= FULL_PAGE_BYTES => {
                Reply::Chain(self.transcript(&conversation, true).await)
            }
            Some(conversation) => Reply::ChainPage(self.chain_page(&conversation, 0).await),
        }
    }

    /// Returns the reply to [`Request::ChainPage`].
    pub(super) async fn chain_page_reply(&self, id: &Id, from: u32) -> Reply {
        if let Err(error) = self.load_for_request(None, Some(id)).await {
            return Reply::Failed(error.to_string());
        }
        match self.conversation(id) {
            Some(conversation) => Reply::ChainPage(self.chain_page(&conversation, from).await),
            None => Reply::ChainPage(None),
        }
    }

    /// Returns the turns of a conversation from number `from` on, up to a full page. They are not
    /// cached, because one large conversation would replace the bodies of many small ones.
    async fn chain_page(&self, conversation: &Conversation, from: u32) -> Option<Page> {
        let (page, next) = conversation.page(from as usize, FULL_PAGE_BYTES);
        Some(Page {
            body: self.transcript(&page, false).await?.body,
            next: next.and_then(|n| u32::try_from(n).ok()),
            conversation_bytes: conversation.byte_len() as u64,
            server: conversation.server.clone(),
        })
    }

    /// Returns the conversation up to and including a turn, if this replica has all of it.
    fn conversation(&self, id: &Id) -> Option<Conversation> {
        self.index().conversation(id)
    }

    /// Returns the text of a conversation; `None` if the disk fails. Caches the bodies that were
    /// read from disk if `cache_bodies` is set.
    async fn transcript(
        &self,
        conversation: &Conversation,
        cache_bodies: bool,
    ) -> Option<Transcript> {
        let stored = conversation.disk_locations();
        if stored.is_empty() {
            return conversation.transcript(&[]);
        }
        let records = self.try_read(stored).await?;
        let bodies: Vec<Body> = records.into_iter().filter_map(turn_body).collect();
        let transcript = conversation.transcript(&bodies);
        if !cache_bodies {
            return transcript;
        }
        let turns = conversation.turns.iter();
        let read_turns = turns.filter(|(_, turn)| matches!(turn, TurnBody::OnDisk(_)));
        let mut index = self.index();
        for ((request, _), body) in read_turns.zip(bodies) {
            index.cache_body(request, body);
        }
        transcript
    }
}
