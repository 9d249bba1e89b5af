//! Reads conversations from the members that have them.
//!
//! A conversation that fits in a page comes with the reply to the request that begins the
//! attempt, or in one further reply. A larger one is read page by page, so that no message grows
//! with the conversation, and put together here.

use bytes::BytesMut;
use tokio::time::Instant;

use super::{BeginParams, Coordinator, Error};
use crate::conversation::{MAX_CONVERSATION_BYTES, Transcript};
use crate::detour::ReplicaClient;
use crate::message::{self, FULL_PAGE_BYTES, Reply, Request};
use crate::record::Id;
use crate::view::Member;

/// Why a member did not return the whole conversation.
enum Failure {
    /// It failed, or does not have all of it. Another member may return it.
    Unavailable,
    /// The conversation is too large, whichever member is asked.
    TooLarge(Error),
}

/// Returns an error if the conversation of this size leaves no room for the new input.
fn check_size(bytes: u64, params: &BeginParams) -> Result<(), Error> {
    let limit = MAX_CONVERSATION_BYTES.saturating_sub(params.input_bytes) as u64;
    if bytes > limit {
        return Err(Error::ConversationTooLarge { bytes, limit });
    }
    Ok(())
}

impl Coordinator {
    /// Reads the conversation from the first of `holders` that returns all of it. `bytes` is its
    /// size, if it is known to have several pages.
    ///
    /// # Errors
    ///
    /// [`Error::ConversationTooLarge`], or [`Error::Indeterminate`] if no member returned it in
    /// time.
    pub(super) async fn read_conversation(
        &self,
        holders: &[Member],
        bytes: Option<u64>,
        params: &BeginParams,
    ) -> Result<Transcript, Error> {
        let Some(turn) = &params.parent else {
            return Err(Error::Indeterminate);
        };
        check_size(bytes.unwrap_or_default(), params)?;
        let first_page_deadline = match bytes {
            Some(_) => params.conversation_deadline,
            None => params
                .conversation_deadline
                .min(Instant::now() + params.try_timeout),
        };
        for holder in holders {
            let read = PagedRead {
                client: self
                    .replica_client(&self.view(), holder.address)
                    .expecting(bytes.map_or(FULL_PAGE_BYTES, |b| b as usize)),
                turn,
                params,
            };
            match read.run(first_page_deadline).await {
                Ok(transcript) => return Ok(transcript),
                Err(Failure::TooLarge(error)) => return Err(error),
                Err(Failure::Unavailable) => {
                    tracing::info!(event = "conversation_not_read", %turn, replica = holder.name,
                        bytes);
                }
            }
        }
        Err(Error::Indeterminate)
    }
}

/// Reads a conversation from one member.
struct PagedRead<'a> {
    client: ReplicaClient,
    /// The last turn of the conversation.
    turn: &'a Id,
    params: &'a BeginParams,
}

impl PagedRead<'_> {
    /// Reads all pages, the first one until `first_page_deadline`.
    async fn run(&self, first_page_deadline: Instant) -> Result<Transcript, Failure> {
        let first = Request::Chain(self.turn.clone());
        let mut page = match self.call(&first, first_page_deadline).await {
            Some(Reply::Chain(Some(transcript))) => return Ok(transcript),
            Some(Reply::ChainPage(Some(page))) => page,
            _ => return Err(Failure::Unavailable),
        };
        check_size(page.conversation_bytes, self.params).map_err(Failure::TooLarge)?;
        let capacity = usize::try_from(page.conversation_bytes).unwrap_or_default();
        let mut body = BytesMut::with_capacity(capacity + self.params.input_bytes);
        loop {
            body.extend_from_slice(&page.body);
            let Some(from) = page.next else {
                return Ok(Transcript {
                    body: body.freeze(),
                    server: page.server,
                });
            };
            let turn = self.turn.clone();
            let request = Request::ChainPage { turn, from };
            let deadline = self.params.conversation_deadline;
            page = match self.call(&request, deadline).await {
                Some(Reply::ChainPage(Some(page))) => page,
                _ => return Err(Failure::Unavailable),
            };
        }
    }

    async fn call(&self, request: &Request, deadline: Instant) -> Option<Reply> {
        let call = self
            .client
            .call(message::encode(request), self.params.try_timeout);
        let reply = tokio::time::timeout_at(deadline, call).await;
        message::decode(&reply.ok()??)
    }
}
