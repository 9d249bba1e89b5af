//! Admission of programs while the servers of a service are full, and whether a program can
//! still end in time.

use std::time::Duration;

use gradedyke_policy::MIN_RETRY_AFTER;
use gradedyke_policy::admission::{self, Beginning, Decision, Occupancy};
use gradedyke_policy::mechanism::Mechanism;
use gradedyke_policy::throttle;
use gradedyke_turns::record::Id;
use tokio::time::Instant;

use super::Entry;
use super::call::Call;
use super::refusal::Refusal;

/// Callers obey a retry delay only up to this part of the time that they have left.
const OBEYED_DELAY_RATIO: f64 = 1.0 / 3.0;

/// What is known of whether a request begins its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Begins,
    Continues,
    /// The request may begin a program or continue one.
    Unknown,
    /// The reply of the keepers will tell.
    KnownLater,
}

/// Stage of the request before the keepers were asked. A request without a parent may be that
/// of a sub-agent of a program under way; the number of the program's attempts tells, which is
/// known if it has a budget.
fn stage(call: &Call) -> Stage {
    let stores_turns = call.route.retention.is_some();
    if stores_turns && call.meta.parent.is_some() {
        return Stage::Continues;
    }
    if call.meta.token_budget.is_some() && call.meta.program.is_some() {
        return Stage::KnownLater;
    }
    match stores_turns {
        true => Stage::Begins,
        false => Stage::Unknown,
    }
}

impl Entry {
    /// Decides before the keepers are asked whether the request is served now.
    ///
    /// # Errors
    ///
    /// [`Refusal::ServiceFull`]
    pub(super) fn admit_request(&self, call: &Call, now: Instant) -> Result<(), Refusal> {
        match stage(call) {
            Stage::Begins => self.admit_program(call, now),
            Stage::Unknown => self.admit_by_hash(call, now),
            Stage::Continues | Stage::KnownLater => Ok(()),
        }
    }

    /// Decides whether the request is served now, when the keepers know this many
    /// `program_attempts` of its program.
    ///
    /// # Errors
    ///
    /// [`Refusal::ServiceFull`]
    pub(super) fn admit_begun(
        &self,
        call: &Call,
        program_attempts: usize,
        now: Instant,
    ) -> Result<(), Refusal> {
        if stage(call) != Stage::KnownLater || program_attempts > 1 {
            return Ok(());
        }
        self.admit_program(call, now)
    }

    /// The occupancy of the call's service, if admission depends on it.
    fn occupancy(&self, call: &Call, now: Instant) -> Option<Occupancy> {
        let is_enabled = self.mechanisms.is_enabled(Mechanism::CapacityAdmission);
        if !is_enabled || call.engine().is_none() {
            return None;
        }
        self.fleet.occupancy(&call.service, now)
    }

    fn admit_program(&self, call: &Call, now: Instant) -> Result<(), Refusal> {
        let Some(occupancy) = self.occupancy(call, now) else {
            return Ok(());
        };
        let program = call.meta.program.as_ref().map(|p| call.scoped_id(p));
        let time_left = call.program_time_left(now);
        let slack = time_left.map_or(Some(Duration::MAX), |left| {
            self.progress.beginning_slack(&call.route.name, left, now)
        });
        let beginning = Beginning {
            program: program.as_ref(),
            rank: call.priority(),
            slack,
            max_delay: call.time_left(now).mul_f64(OBEYED_DELAY_RATIO),
        };
        let turns = self.progress.turns_per_program(&call.route.name, now);
        let decision = self
            .admission
            .decide(&call.service, occupancy, turns, &beginning, now);
        let waiting = self.admission.waiting(&call.service);
        metrics::gauge!("gradedyke_programs_waiting", "service" => call.service.clone())
            .set(waiting as f64);
        metrics::gauge!("gradedyke_service_occupancy", "service" => call.service.clone())
            .set(f64::from(occupancy.in_flight) / f64::from(occupancy.slots.max(1)));
        if !occupancy.is_full() && decision == Decision::Admitted {
            return Ok(());
        }
        let (outcome, position, retry_after) = match decision {
            Decision::Admitted => ("admitted", None, None),
            Decision::Refused {
                position,
                retry_after,
            } => ("refused", Some(position), Some(retry_after)),
        };
        let report_age = self.fleet.occupancy_report_age(&call.service, now);
        tracing::info!(event = "program_admission", request = %call.id,
            program = call.meta.program.as_ref().map_or("none", Id::as_str), outcome,
            service = call.service, in_flight = occupancy.in_flight, slots = occupancy.slots,
            report_age_ms = report_age.map(|a| a.as_millis()), rank = beginning.rank,
            slack_ms = slack.map(|s| s.as_millis()), left_ms = time_left.map(|l| l.as_millis()),
            turns, waiting, position, retry_after_ms = retry_after.map(|a| a.as_millis()));
        metrics::counter!("gradedyke_program_admissions_total", "outcome" => outcome).increment(1);
        match retry_after {
            None => Ok(()),
            Some(retry_after) => Err(Refusal::ServiceFull(retry_after)),
        }
    }

    /// Decides by a hash of the program, so that it is admitted whole or not at all.
    fn admit_by_hash(&self, call: &Call, now: Instant) -> Result<(), Refusal> {
        let Some(occupancy) = self.occupancy(call, now) else {
            return Ok(());
        };
        let program = call.meta.program.as_ref();
        let sample = program.map_or_else(rand::random, throttle::hash_fraction);
        if !occupancy.is_full() {
            return Ok(());
        }
        let is_admitted = admission::admits_unknown(occupancy, sample);
        let outcome = if is_admitted { "admitted" } else { "refused" };
        let report_age = self.fleet.occupancy_report_age(&call.service, now);
        tracing::info!(event = "program_admission", request = %call.id,
            program = program.map_or("none", Id::as_str), outcome,
            service = call.service, in_flight = occupancy.in_flight, slots = occupancy.slots,
            report_age_ms = report_age.map(|a| a.as_millis()), sample);
        metrics::counter!("gradedyke_program_admissions_total", "outcome" => outcome).increment(1);
        match is_admitted {
            true => Ok(()),
            false => Err(Refusal::ServiceFull(MIN_RETRY_AFTER)),
        }
    }

    /// Records a turn that begins as number `turn` of its program; 0 if the number is not known.
    /// Returns whether the program can no longer end in time, if its urgency depends on that.
    pub(super) fn record_turn(&self, call: &Call, turn: usize, now: Instant) -> bool {
        let route = &call.route.name;
        if turn > 0 {
            self.progress.record_turn(route, turn, now);
        }
        if !self.mechanisms.is_enabled(Mechanism::SlackUrgency) {
            return false;
        }
        let Some(time_left) = call.program_time_left(now) else {
            return false;
        };
        self.progress.record_deadline();
        // Without the number of the turn only a program without any time left is late.
        if turn == 0 {
            return time_left.is_zero();
        }
        let is_late = self.progress.slack(route, turn, time_left, now).is_none();
        if is_late {
            let needed = self.progress.remaining(route, turn, now);
            tracing::info!(event = "program_late", request = %call.id,
                program = call.meta.program.as_ref().map_or("none", Id::as_str), turn,
                left_ms = time_left.as_millis(), needed_ms = needed.map(|n| n.as_millis()));
            metrics::counter!("gradedyke_late_turns_total").increment(1);
        }
        is_late
    }

    /// Records that a turn ended: its room at the service is free, and its time is what a turn of
    /// the route takes if the service is not full.
    pub(super) fn record_turn_end(&self, call: &Call, now: Instant) {
        self.admission.record_turn_end(&call.service, now);
        let occupancy = self.fleet.last_occupancy(&call.service, now);
        let is_full = occupancy.is_some_and(Occupancy::is_full);
        let time = now.saturating_duration_since(call.arrived);
        self.progress
            .record_turn_time(&call.route.name, time, is_full);
    }
}
