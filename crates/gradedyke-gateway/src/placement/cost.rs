//! The policy in use: the least delay, in milliseconds, to the request and to those
//! beside it.
//!
//! An engine reads a prompt between the tokens of the requests that run there, so
//! each token that is read anew delays all of them. A policy that weighs only the
//! request's own delay sends the turns of busy engines elsewhere, where their
//! conversations are read again; the reading makes queues, and queues make it send
//! more away. Counting the others' delay keeps conversations where they are unless
//! the queue there costs more than everyone's reading.

use std::sync::Arc;

use super::{Candidate, Plugin, Policy};
use crate::mechanism::{Enabled, Mechanism};

/// Weighs what a request waits against what it costs others, what may fail there,
/// and the way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// The mechanisms that are on.
    pub enabled: Enabled,
}

/// What the way to another data centre costs: the time of a round trip, and the
/// price of the bytes.
const FAR_MS: f64 = 6.0;
/// What a resting connection saves: opening one, and its price. Less than the
/// work of a call at a plain service, so that it never outweighs a queue.
const WARM_MS: f64 = 15.0;

/// Slowness up to which a server counts as one like the others: the average of its
/// last answers, whose lengths differ, goes that far by chance. Without it there were
/// 2,842 new connections to servers a day in place of 2,190 (one whole day each; what runs
/// beside a request was weighed otherwise too).
const DOUBT: f64 = 1.5;

/// What it costs that a request which must not run twice is lost at a plain
/// service, in milliseconds: its program, the shortest of which take 2 s.
const LOST_ONCE_MS: f64 = 5_000.0;
/// What it costs that a turn is lost: its caller sends it again after 0.1 to 0.4 s
/// and has waited in vain, and a third loss ends its program. At an engine that
/// loses one turn in twenty it stays below the reading of a prompt (100 ms).
const LOST_TURN_MS: f64 = 1_500.0;
/// What it costs that a request is lost that can be sent to another server.
const LOST_MS: f64 = 200.0;

/// Engines that hold nothing of a prompt and are weighed for it all the same. What
/// entries know of the load is as old as the last turn of each, so that all of them see
/// the same few idle engines and send what has to be read there together. With 128
/// engines and 259 entries, modelled, at a burst of nine tenths of what the engines can
/// do: turns of the burst take 330 ms with a sample of 8 and 413 with all, 317 with 4
/// and 325 with 6; with 10 engines nothing changes. In a deployment of that size a burst of
/// three times the load left none of 2,100 programs late, and 438 without (one run each).
const SAMPLE: usize = 8;
/// Those of them that stand in the entry's own data centre, if there are so many: the
/// way to others costs more.
const NEAR: usize = 4;

impl Cost {
    /// The places of the candidates that are weighed: all engines that hold some of the
    /// prompt, and a sample of the others, another one for each request.
    fn weighed(self, candidates: &[Candidate]) -> Vec<usize> {
        let places = 0..candidates.len();
        let engines = candidates.iter().all(|c| c.engine);
        if !engines || !self.enabled.has(Mechanism::Sample) {
            return places.collect();
        }
        let most = candidates.iter().map(|c| c.unread_tokens).max();
        let holds = |place: &usize| Some(candidates[*place].unread_tokens) < most;
        let (mut weighed, mut others): (Vec<usize>, Vec<usize>) = places.partition(holds);
        others.sort_unstable_by_key(|place| candidates[*place].draw);
        let near = others.iter().filter(|place| candidates[**place].near);
        let near: Vec<usize> = near.copied().take(NEAR).collect();
        others.retain(|place| !near.contains(place));
        others.truncate(SAMPLE - near.len());
        weighed.extend(near);
        weighed.extend(others);
        weighed
    }

    /// What is expected to be lost by failures.
    fn loss(candidate: &Candidate) -> f64 {
        let loss = match (candidate.engine, candidate.repeatable) {
            (true, _) => LOST_TURN_MS,
            (false, false) => LOST_ONCE_MS,
            (false, true) => LOST_MS,
        };
        candidate.risk * loss
    }

    /// The delay by the work there, for this request and for those beside it.
    fn work(self, candidate: &Candidate) -> f64 {
        let weigh = |mechanism, value| self.enabled.weigh(mechanism, value);
        let times = &candidate.times;
        let wait = weigh(Mechanism::Waiting, candidate.wait_ms());
        // Nothing at a plain service.
        let read = candidate.unread_tokens as f64 * times.read_ms;
        let others = f64::from(candidate.running()) * read;
        times.answer_ms
            + wait
            + weigh(Mechanism::Reading, read)
            + weigh(Mechanism::ReadingForOthers, others)
    }

    fn of(self, candidate: &Candidate) -> f64 {
        let when = |mechanism, holds: bool, value: f64| {
            let value = if holds { value } else { 0.0 };
            self.enabled.weigh(mechanism, value)
        };
        let far = when(Mechanism::Distance, !candidate.near, FAR_MS);
        let warm = when(Mechanism::Warm, candidate.warm, WARM_MS);
        let slow = (candidate.slowness / DOUBT).max(1.0) - 1.0;
        let slow = 1.0 + self.enabled.weigh(Mechanism::Slowness, slow);
        let loss = self.enabled.weigh(Mechanism::Risk, Self::loss(candidate));
        loss + self.work(candidate) * slow + far - warm
    }
}

impl Policy for Cost {
    fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        let key = |c: &Candidate| (self.of(c), c.draw);
        let places = self.weighed(candidates).into_iter();
        places.min_by(|a, b| {
            let (a, b) = (key(&candidates[*a]), key(&candidates[*b]));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        })
    }
}

inventory::submit! {
    Plugin {
        name: "cost",
        build: |enabled| Arc::new(Cost { enabled }),
    }
}
