//! Estimates of response times, learned from observed responses: for a service, and for
//! one of its servers relative to the service.
//!
//! Each estimate starts at a prior, which counts as a few observations. The weight of
//! observations decays exponentially, so the estimate follows changes.

use std::ops::Add;

/// Factor by which the weight of earlier observations shrinks with each new one. The
/// total weight converges to 100.
const DECAY_FACTOR: f64 = 0.99;

/// A least-squares line through weighted points. The slope stays near its prior until the
/// `x` values of the points are spread widely enough to determine it.
#[derive(Clone, Copy, Debug)]
pub struct LinearFit {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    prior_slope: f64,
    /// Weight of the prior slope, as a sum of squared deviations of `x`.
    prior_spread: f64,
}

impl LinearFit {
    /// Creates a fit with the prior `intercept + slope * x`. The prior slope counts as
    /// `weight` points, half of them at each end of `0..=span`.
    ///
    /// ```
    /// use gradedyke_policy::estimate::LinearFit;
    ///
    /// let mut fit = LinearFit::new(10.0, 0.5, 100.0, 10.0);
    /// assert!((fit.predict(100.0) - 60.0).abs() < 1e-6);
    /// for x in 0..1_000 {
    ///     let x = f64::from(x % 100);
    ///     fit.add(x, 20.0 + x);
    /// }
    /// assert!((fit.slope() - 1.0).abs() < 0.2);
    /// // Points with equal `x` do not change the slope.
    /// let mut fit = LinearFit::new(10.0, 0.5, 100.0, 10.0);
    /// for _ in 0..1_000 {
    ///     fit.add(4.0, 50.0);
    /// }
    /// assert!((fit.slope() - 0.5).abs() < 0.01);
    /// assert!((fit.predict(4.0) - 50.0).abs() < 0.1);
    /// ```
    pub fn new(intercept: f64, slope: f64, span: f64, weight: f64) -> Self {
        let mut fit = Self {
            weight: 0.0,
            sum_x: 0.0,
            sum_y: 0.0,
            sum_xx: 0.0,
            sum_xy: 0.0,
            prior_slope: slope,
            prior_spread: weight * span * span / 4.0,
        };
        fit.add_weighted(0.0, intercept, weight);
        fit
    }

    fn add_weighted(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.sum_x += weight * x;
        self.sum_y += weight * y;
        self.sum_xx += weight * x * x;
        self.sum_xy += weight * x * y;
    }

    /// Adds a point.
    pub fn add(&mut self, x: f64, y: f64) {
        for sum in [
            &mut self.weight,
            &mut self.sum_x,
            &mut self.sum_y,
            &mut self.sum_xx,
            &mut self.sum_xy,
        ] {
            *sum *= DECAY_FACTOR;
        }
        self.add_weighted(x, y, 1.0);
    }

    /// The slope of the line, at least 0.
    pub fn slope(&self) -> f64 {
        let spread_x = self.sum_xx - self.sum_x * self.sum_x / self.weight;
        let spread_xy = self.sum_xy - self.sum_x * self.sum_y / self.weight;
        let slope =
            (spread_xy + self.prior_spread * self.prior_slope) / (spread_x + self.prior_spread);
        slope.max(0.0)
    }

    /// The value of the line at `x`.
    pub fn predict(&self, x: f64) -> f64 {
        let mean_x = self.sum_x / self.weight;
        self.sum_y / self.weight + self.slope() * (x - mean_x)
    }
}

/// An exponentially decaying average.
#[derive(Clone, Copy, Debug)]
pub struct DecayingMean {
    weight: f64,
    sum: f64,
}

impl DecayingMean {
    /// Creates an average that starts at `value`, which counts as `weight` observations.
    ///
    /// ```
    /// use gradedyke_policy::estimate::DecayingMean;
    ///
    /// let mut mean = DecayingMean::new(100.0, 4.0);
    /// for _ in 0..1_000 {
    ///     mean.add(20.0);
    /// }
    /// assert!((mean.value() - 20.0).abs() < 0.1);
    /// ```
    pub fn new(value: f64, weight: f64) -> Self {
        Self {
            weight,
            sum: value * weight,
        }
    }

    /// Adds an observation.
    pub fn add(&mut self, value: f64) {
        self.weight = self.weight * DECAY_FACTOR + 1.0;
        self.sum = self.sum * DECAY_FACTOR + value;
    }

    /// The current average.
    pub fn value(&self) -> f64 {
        self.sum / self.weight
    }
}

/// Sum of observed times of a server (responses, or gaps between events), each divided by the
/// expected time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyRatioSum {
    /// Number of observations.
    pub responses: u32,
    /// Sum of the ratios of observed to expected time, each in hundredths.
    pub ratio_hundredths: u32,
}

impl Add for LatencyRatioSum {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            responses: self.responses + other.responses,
            ratio_hundredths: self.ratio_hundredths + other.ratio_hundredths,
        }
    }
}

/// Number of observations with a ratio of 1 that are added to the observed ones, so that a
/// single slow response has little effect.
const PRIOR_OBSERVATIONS: f64 = 8.0;
/// Upper limit on the ratio of a single response.
const MAX_LATENCY_RATIO: f64 = 20.0;

impl LatencyRatioSum {
    /// A single response that took `ratio` times as long as expected.
    pub fn from_ratio(ratio: f64) -> Self {
        Self {
            responses: 1,
            ratio_hundredths: (ratio.clamp(0.0, MAX_LATENCY_RATIO) * 100.0) as u32,
        }
    }

    /// The average ratio of observed to expected time, including the prior observations of 1.
    ///
    /// ```
    /// use gradedyke_policy::estimate::LatencyRatioSum;
    ///
    /// let sum = LatencyRatioSum::from_ratio(5.0) + LatencyRatioSum::from_ratio(5.0);
    /// assert_eq!(sum.slowness(), 1.8);
    /// assert_eq!(LatencyRatioSum::default().slowness(), 1.0);
    /// ```
    pub fn slowness(self) -> f64 {
        let sum = f64::from(self.ratio_hundredths) / 100.0;
        (sum + PRIOR_OBSERVATIONS) / (f64::from(self.responses) + PRIOR_OBSERVATIONS)
    }
}

/// Expected times at a service, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// For an engine, the time of a complete response without queueing, without reading the
    /// prompt and without concurrent requests; for a plain service, the time to the response
    /// head.
    pub unloaded_response_ms: f64,
    /// Time to the first event, without queueing and without reading the prompt; 0 for a
    /// plain service.
    pub first_event_ms: f64,
    /// Time between events if the server runs no other requests; 0 for a plain service.
    pub unloaded_event_gap_ms: f64,
    /// Increase of the time between events with each concurrent request.
    pub gap_per_concurrent_ms: f64,
    /// Number of events of a response after the first.
    pub events: f64,
    /// Time to read one token of a prompt.
    pub read_ms_per_token: f64,
}

impl Times {
    /// The times of a server that takes `ratio` times as long as its service.
    ///
    /// ```
    /// use gradedyke_policy::estimate::ServiceEstimate;
    ///
    /// let times = ServiceEstimate::default().times(true);
    /// assert_eq!(times.scaled(0.5).response_ms(3), 0.5 * times.response_ms(3));
    /// ```
    pub fn scaled(self, ratio: f64) -> Self {
        Self {
            unloaded_response_ms: self.unloaded_response_ms * ratio,
            first_event_ms: self.first_event_ms * ratio,
            unloaded_event_gap_ms: self.unloaded_event_gap_ms * ratio,
            gap_per_concurrent_ms: self.gap_per_concurrent_ms * ratio,
            events: self.events,
            read_ms_per_token: self.read_ms_per_token * ratio,
        }
    }

    /// Time between events with `concurrent` other requests running, in milliseconds.
    pub fn event_gap_ms(&self, concurrent: u32) -> f64 {
        self.unloaded_event_gap_ms + f64::from(concurrent) * self.gap_per_concurrent_ms
    }

    /// Total time of a response with `concurrent` other requests running, in milliseconds.
    pub fn response_ms(&self, concurrent: u32) -> f64 {
        self.unloaded_response_ms + self.events * f64::from(concurrent) * self.gap_per_concurrent_ms
    }
}

/// Observed times of a streamed response of a model engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Number of other requests in flight at the server when the request was sent.
    pub concurrent: u32,
    /// Number of requests that the engine runs concurrently.
    pub slots: u32,
    /// Number of prompt tokens that were not cached.
    pub uncached_tokens: u64,
    /// Time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Time from the first event to the last, in milliseconds.
    pub remaining_ms: f64,
    /// Number of events after the first.
    pub events: u32,
    /// How long the server was assumed to take relative to its service; 1 if the servers were
    /// treated as equal.
    pub pace_ratio: f64,
}

/// Prior for the time to read one prompt token. The slowest engines in use read 38 tokens per
/// millisecond.
const PRIOR_READ_MS_PER_TOKEN: f64 = 1.0 / 38.0;
/// Prior for the time to the first event of a fully cached prompt.
const PRIOR_FIRST_EVENT_MS: f64 = 15.0;
/// Prior for the time between events without concurrent requests. Eight steps of 4 ms.
const PRIOR_GAP_MS: f64 = 32.0;
/// Prior for the increase of the time between events with each concurrent request.
const PRIOR_GAP_PER_CONCURRENT_MS: f64 = 0.3;
/// Prior for the number of events after the first.
const PRIOR_EVENTS_PER_RESPONSE: f64 = 8.0;
/// Prior for the time to the response head of a plain service.
const PRIOR_RESPONSE_MS: f64 = 200.0;
/// Lower limit on expected times, so that ratios stay finite.
const MIN_EXPECTED_MS: f64 = 0.1;
/// Lower limit on the pace ratio that observed times are divided by, so that they stay finite.
const MIN_PACE_RATIO: f64 = 0.01;
/// Number of observations that a prior counts as.
const PRIOR_WEIGHT: f64 = 10.0;
/// The `span` of the prior for the time to the first event, in uncached prompt tokens.
const PRIOR_UNCACHED_TOKENS_SPAN: f64 = 2_000.0;
/// The `span` of the prior for the time between events, in concurrent requests.
const PRIOR_CONCURRENT_SPAN: f64 = 16.0;

/// Learned times of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEstimate {
    /// Time to the first event as a function of the tokens to read, in milliseconds.
    first_event: LinearFit,
    /// Time between events as a function of the concurrent requests, in milliseconds.
    gap: LinearFit,
    /// Number of events after the first.
    events: DecayingMean,
    /// Time to the response head of a plain service, in milliseconds.
    response: DecayingMean,
}

impl Default for ServiceEstimate {
    fn default() -> Self {
        Self {
            first_event: LinearFit::new(
                PRIOR_FIRST_EVENT_MS,
                PRIOR_READ_MS_PER_TOKEN,
                PRIOR_UNCACHED_TOKENS_SPAN,
                PRIOR_WEIGHT,
            ),
            gap: LinearFit::new(
                PRIOR_GAP_MS,
                PRIOR_GAP_PER_CONCURRENT_MS,
                PRIOR_CONCURRENT_SPAN,
                PRIOR_WEIGHT,
            ),
            events: DecayingMean::new(PRIOR_EVENTS_PER_RESPONSE, PRIOR_WEIGHT),
            response: DecayingMean::new(PRIOR_RESPONSE_MS, PRIOR_WEIGHT),
        }
    }
}

impl ServiceEstimate {
    /// Ratio of an observed time between events to the time expected with `concurrent`
    /// other requests in flight.
    pub fn gap_ratio(&self, concurrent: u32, slots: u32, event_gap_ms: f64) -> f64 {
        let expected_ms = self.gap.predict(f64::from(concurrent.min(slots)));
        event_gap_ms / expected_ms.max(MIN_EXPECTED_MS)
    }

    /// Records a streamed response of an engine.
    ///
    /// The times are divided by the server's pace ratio. Faster servers get more concurrent
    /// requests, so the fit would otherwise find that events come faster under load.
    pub fn record_stream(&mut self, timing: &Timing) {
        let pace_ratio = timing.pace_ratio.max(MIN_PACE_RATIO);
        // With half the slots or more in use, the time may include waiting for a slot.
        if timing.concurrent < timing.slots / 2 {
            self.first_event.add(
                timing.uncached_tokens as f64,
                timing.first_event_ms / pace_ratio,
            );
        }
        self.events.add(f64::from(timing.events));
        if timing.events > 0 {
            let concurrent = f64::from(timing.concurrent.min(timing.slots));
            let event_gap_ms = timing.remaining_ms / f64::from(timing.events) / pace_ratio;
            self.gap.add(concurrent, event_gap_ms);
        }
    }

    /// Records a response of a plain service, and returns the ratio of its time to the
    /// previously expected time.
    pub fn record_response(&mut self, elapsed_ms: f64) -> f64 {
        let expected_ms = self.response.value();
        self.response.add(elapsed_ms);
        elapsed_ms / expected_ms.max(MIN_EXPECTED_MS)
    }

    /// Expected times at the service. `is_engine` says whether it runs models.
    pub fn times(&self, is_engine: bool) -> Times {
        if !is_engine {
            return Times {
                unloaded_response_ms: self.response.value(),
                first_event_ms: 0.0,
                unloaded_event_gap_ms: 0.0,
                gap_per_concurrent_ms: 0.0,
                events: 0.0,
                read_ms_per_token: 0.0,
            };
        }
        let events = self.events.value();
        let first_event_ms = self.first_event.predict(0.0).max(0.0);
        let unloaded_event_gap_ms = self.gap.predict(0.0).max(0.0);
        Times {
            unloaded_response_ms: first_event_ms + events * unloaded_event_gap_ms,
            first_event_ms,
            unloaded_event_gap_ms,
            gap_per_concurrent_ms: self.gap.slope(),
            events,
            read_ms_per_token: self.first_event.slope(),
        }
    }
}
