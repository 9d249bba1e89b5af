//! Begins attempts: reserves budget and reads the conversation that is continued.

use std::sync::PoisonError;
use std::time::Duration;

use gradedyke_base::retry::Backoff;
use tokio::time::Instant;

use super::gathered::CollectedReplies;
use super::{BeginParams, BeginResponse, Coordinator, Error};
use crate::message::{self, Begin, Reply, Request};
use crate::record::{Record, Reserved, Settled};
use crate::view::{Member, View};

/// How long to wait for the nearest replica's copy of the conversation after a majority has
/// answered, before it is requested from another replica.
const CONVERSATION_WAIT: Duration = Duration::from_millis(25);
/// First delay before a retry while no majority answers.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Delay before the only retry after a rejection by overloaded replicas. Longer than
/// [`MIN_RETRY_DELAY`], so that retries do not add to the overload. With retries every 40 ms
/// replicas got seven requests for one, and had more to do the more they rejected.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between retries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(160);
/// Time after the loss of the majority during which failed attempts are retried. After that,
/// attempts fail at once.
const QUORUM_LOSS_GRACE: Duration = Duration::from_millis(1_500);

impl Coordinator {
    /// Reserves the tokens that an attempt may use and reads the conversation it continues. Retries
    /// for a short time while no majority answers, because replicas may be restarting.
    ///
    /// # Errors
    ///
    /// Any [`Error`]. A reservation that replicas may have stored is settled as unused in
    /// the background.
    pub async fn begin(&self, params: &BeginParams) -> Result<BeginResponse, Error> {
        let mut maybe_reserved = false;
        let result = self.begin_with_retries(params, &mut maybe_reserved).await;
        if result.is_err()
            && maybe_reserved
            && let Some((reserved, _)) = &params.reservation
        {
            self.settle(Settled::release(reserved));
        }
        result
    }

    /// Begins with retries; sets `maybe_reserved` if a replica may have stored the reservation.
    async fn begin_with_retries(
        &self,
        params: &BeginParams,
        maybe_reserved: &mut bool,
    ) -> Result<BeginResponse, Error> {
        let try_deadline = params.deadline.min(Instant::now() + params.try_timeout);
        let mut has_retried_busy = false;
        let mut backoff = Backoff::unlimited(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        loop {
            let view = self.view();
            let started = Instant::now();
            let Some(result) = self.try_begin(&view, params, maybe_reserved).await else {
                continue;
            };
            let is_starting = matches!(result, Err(Error::Starting));
            let no_quorum = is_starting || matches!(result, Err(Error::NoQuorum { .. }));
            let now = Instant::now();
            if matches!(result, Err(Error::Busy))
                && !has_retried_busy
                && now + BUSY_RETRY_DELAY < try_deadline
            {
                has_retried_busy = true;
                tokio::time::sleep(BUSY_RETRY_DELAY).await;
                continue;
            }
            // No retry while a majority is reachable but slow: that would add to its load.
            let is_unreachable = is_starting || !self.is_majority_reachable();
            let should_retry = no_quorum && is_unreachable && self.mark_quorum_lost(now);
            if should_retry && now + MIN_RETRY_DELAY < params.deadline {
                tokio::time::sleep(backoff.next_delay(rand::random())).await;
                continue;
            }
            if !no_quorum {
                self.clear_quorum_lost(now);
            }
            return result.map(|response| BeginResponse {
                elapsed: now - started,
                ..response
            });
        }
    }

    /// Records that no majority answers. Returns whether the majority was lost less than
    /// [`QUORUM_LOSS_GRACE`] ago.
    fn mark_quorum_lost(&self, now: Instant) -> bool {
        let mut lost_since = self
            .quorum_lost_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if lost_since.is_none() {
            tracing::warn!(event = "keepers_lost", view = self.view.borrow().version);
        }
        let since = *lost_since.get_or_insert(now);
        now.saturating_duration_since(since) < QUORUM_LOSS_GRACE
    }

    /// Records that a majority answers again.
    fn clear_quorum_lost(&self, now: Instant) {
        let mut lost_since = self
            .quorum_lost_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(since) = lost_since.take() {
            tracing::info!(
                event = "keepers_regained",
                view = self.view.borrow().version,
                after_ms = (now - since).as_millis()
            );
        }
    }

    /// Makes one try; `None` if a replica reported that `view` is stale.
    async fn try_begin(
        &self,
        view: &View,
        params: &BeginParams,
        maybe_reserved: &mut bool,
    ) -> Option<Result<BeginResponse, Error>> {
        let nearest = self.nearest_member(view).map(|m| m.disk);
        let patience_ms = u32::try_from(params.try_timeout.as_millis()).unwrap_or(u32::MAX);
        let request = |member: &Member| {
            message::encode(&Request::Begin(Begin {
                view: view.version,
                reserve: params.reservation.as_ref().map(|(r, _)| r.clone()),
                parent: params.parent.clone(),
                nearest: Some(member.disk) == nearest,
                load: params.load.clone(),
                usage: params.usage.clone(),
                first: params.is_first_turn,
                patience_ms,
            }))
        };
        let mut collected = CollectedReplies::new(view);
        let mut replies = self.send_to_all(view, request);
        let deadline = params.deadline.min(Instant::now() + params.try_timeout);
        let mut conversation_deadline = None;
        while !collected.is_complete(params) {
            let until = conversation_deadline.unwrap_or(deadline);
            let Ok(Some((member, reply))) =
                tokio::time::timeout_at(until, replies.receiver.recv()).await
            else {
                break;
            };
            if let Some(Reply::Stale(view)) = &reply {
                self.update_view(view);
                *maybe_reserved = true;
                return None;
            }
            collected.add(&member, reply);
            if collected.has_quorum()
                && conversation_deadline.is_none()
                && !collected.parent_holders.is_empty()
            {
                conversation_deadline = Some(deadline.min(Instant::now() + CONVERSATION_WAIT));
            }
        }
        replies.close(&self.unclaimed_load);
        *maybe_reserved |= collected.may_have_executed();
        self.record_pressure(collected.pressure(), Instant::now());
        Some(
            self.build_response(collected, params, replies.member_count)
                .await,
        )
    }

    /// Checks that the used budget is known, although records may be missing. A program that
    /// continues no turn and of which no attempt is known begins now, which is recorded for its
    /// later attempts.
    async fn check_attempts(
        &self,
        collected: &CollectedReplies,
        reserved: &Reserved,
        params: &BeginParams,
    ) -> Result<(), Error> {
        let Some(version) = collected.incomplete_since else {
            return Ok(());
        };
        if collected.has_all_attempts() {
            return Ok(());
        }
        if params.parent.is_some() || !collected.is_first_attempt(reserved) {
            return Err(Error::RecordsAbsent);
        }
        let first = Record::Settled(Settled::first_attempt(reserved, version));
        self.store(&first, None, params.deadline).await.map(|_| ())
    }

    /// Returns the result of one try from its replies.
    async fn build_response(
        &self,
        collected: CollectedReplies,
        params: &BeginParams,
        member_count: usize,
    ) -> Result<BeginResponse, Error> {
        let (acknowledged, needed) = (collected.active_acks, collected.required_acks);
        if !collected.has_quorum() && collected.is_any_starting {
            return Err(Error::Starting);
        }
        if !collected.has_quorum() && collected.is_any_busy {
            return Err(Error::Busy);
        }
        if !collected.has_quorum() {
            return Err(Error::NoQuorum {
                acknowledged,
                needed,
            });
        }
        if let Some((reserved, budget)) = &params.reservation {
            collected.check_budget(reserved, *budget)?;
            self.check_attempts(&collected, reserved, params).await?;
        }
        let program_attempts = collected.program_attempts();
        let unclaimed_load = self.unclaimed_load.take();
        let load = collected.load.or(unclaimed_load);
        let usage = collected.usage;
        if params.parent.is_none() {
            return Ok(BeginResponse {
                load,
                usage,
                program_attempts,
                ..BeginResponse::default()
            });
        }
        let members_without_parent = collected.members_without_parent;
        let transcript = match collected.transcript {
            Some(transcript) => Ok(transcript),
            None if !collected.parent_holders.is_empty() => {
                let (holders, bytes) = (collected.parent_holders, collected.conversation_bytes);
                self.read_conversation(&holders, bytes, params).await
            }
            None if collected.incomplete_since.is_some() => Err(Error::RecordsAbsent),
            None if members_without_parent == member_count && member_count >= needed => {
                Err(Error::TurnNotFound)
            }
            None => Err(Error::Indeterminate),
        };
        transcript.map(|transcript| BeginResponse {
            transcript: Some(transcript),
            load,
            usage,
            program_attempts,
            ..BeginResponse::default()
        })
    }
}
