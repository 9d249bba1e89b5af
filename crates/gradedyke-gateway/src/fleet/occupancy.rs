//! Requests in flight and slots of a whole service, over all entries.

use std::collections::HashMap;
use std::time::Duration;

use gradedyke_policy::admission::Occupancy;
use tokio::time::Instant;

/// How long a sum is used for admission. Others' requests are known with a delay of about 100 ms
/// anyway, and a sum over 10,000 servers costs about as much as a choice among them.
const SUM_TTL: Duration = Duration::from_millis(30);
/// How long a sum is used where no new one is worth its cost.
const OLD_SUM_TTL: Duration = Duration::from_millis(500);
/// Weight of a new observation of this entry's share of the requests in flight.
const SHARE_WEIGHT: f64 = 0.1;

/// What a sum over the usable servers of a service found.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sums {
    /// Requests in flight from this entry.
    pub(super) own: u32,
    /// Requests in flight from other entries, as last reported.
    pub(super) others: u32,
    pub(super) slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct ServiceSums {
    summed_at: Instant,
    occupancy: Option<Occupancy>,
    /// When the reports that the sum contains were received; `None` if it contains none.
    received_at: Option<Instant>,
    /// This entry's share of the requests in flight, while others' were known.
    own_share: Option<f64>,
}

/// The last sums of each service.
#[derive(Debug, Default)]
pub(super) struct Cache(HashMap<String, ServiceSums>);

impl Cache {
    /// The last sum and its age.
    fn last(&self, service: &str, now: Instant) -> Option<(Option<Occupancy>, Duration)> {
        let sums = self.0.get(service)?;
        let age = now.saturating_duration_since(sums.summed_at);
        Some((sums.occupancy, age))
    }

    /// The occupancy as of the last sum; `None` if a new sum is due.
    pub(super) fn recent(&self, service: &str, now: Instant) -> Option<Option<Occupancy>> {
        let (occupancy, age) = self.last(service, now)?;
        (age < SUM_TTL).then_some(occupancy)
    }

    /// The occupancy as of a sum that may be up to [`OLD_SUM_TTL`] old.
    pub(super) fn last_known(&self, service: &str, now: Instant) -> Option<Occupancy> {
        let (occupancy, age) = self.last(service, now)?;
        occupancy.filter(|_| age < OLD_SUM_TTL)
    }

    /// Age of the reports of other entries that the last sum contains; `None` if it contains none.
    pub(super) fn report_age(&self, service: &str, now: Instant) -> Option<Duration> {
        let received_at = self.0.get(service)?.received_at?;
        Some(now.saturating_duration_since(received_at))
    }

    /// Stores a new sum. `received_at` says when others' requests were reported, if they are
    /// known. If they are not, this entry's requests are scaled by its share when they last were;
    /// if they never were, the occupancy is unknown.
    pub(super) fn update(
        &mut self,
        service: &str,
        sums: Sums,
        received_at: Option<Instant>,
        now: Instant,
    ) -> Option<Occupancy> {
        let has_peer_load = received_at.is_some();
        let known_share = self.0.get(service).and_then(|s| s.own_share);
        let total = sums.own.saturating_add(sums.others);
        let own_share = match has_peer_load && total > 0 {
            true => {
                let share = f64::from(sums.own) / f64::from(total);
                Some(known_share.map_or(share, |known| known + (share - known) * SHARE_WEIGHT))
            }
            false => known_share,
        };
        let in_flight = match has_peer_load {
            true => Some(total),
            // An entry whose share was nearly 0 knows too little to refuse anything.
            false => own_share.filter(|s| *s > 1e-3).map(|s| scale(sums.own, s)),
        };
        let occupancy = in_flight.map(|in_flight| Occupancy {
            in_flight,
            slots: sums.slots,
        });
        let sums = ServiceSums {
            summed_at: now,
            occupancy,
            received_at,
            own_share,
        };
        match self.0.get_mut(service) {
            Some(known) => *known = sums,
            None => drop(self.0.insert(service.to_owned(), sums)),
        }
        occupancy
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scale(own: u32, share: f64) -> u32 {
    (f64::from(own) / share).round() as u32
}
