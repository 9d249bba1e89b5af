//! Times that are learned from answers: of a service, and how much slower one of
//! its servers is.
//!
//! Each estimate begins with a stated value that counts as a few observations and
//! follows what is observed from there; older observations fade. So a deployment
//! with other engines or services is learned within some tens of answers, and
//! nothing here has to be set.

use std::ops::Add;

/// Share of its weight that an observation keeps when another comes: a hundred
/// count, which an entry sees within seconds under load.
const FADE: f64 = 0.99;

/// A straight line through pairs of numbers, by least squares. While the pairs say
/// little of its slope, that stays near the first one.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    /// The first slope.
    prior: f64,
    /// The spread of `x` that has the pairs count as much as the first slope.
    trust: f64,
}

impl Line {
    /// A line that begins as `intercept + slope * x`, which counts as `weight`
    /// pairs spread evenly at both ends of `0..=span`.
    ///
    /// ```
    /// use gradedyke_gateway::estimate::Line;
    ///
    /// let mut line = Line::new(10.0, 0.5, 100.0, 10.0);
    /// assert!((line.at(100.0) - 60.0).abs() < 1e-6);
    /// for x in 0..1_000 {
    ///     let x = f64::from(x % 100);
    ///     line.add(x, 20.0 + x);
    /// }
    /// assert!((line.slope() - 1.0).abs() < 0.2);
    /// // Pairs at one place say nothing of the slope.
    /// let mut line = Line::new(10.0, 0.5, 100.0, 10.0);
    /// for _ in 0..1_000 {
    ///     line.add(4.0, 50.0);
    /// }
    /// assert!((line.slope() - 0.5).abs() < 0.01);
    /// assert!((line.at(4.0) - 50.0).abs() < 0.1);
    /// ```
    pub fn new(intercept: f64, slope: f64, span: f64, weight: f64) -> Self {
        let mut line = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
            prior: slope,
            trust: weight * span * span / 4.0,
        };
        line.put(0.0, intercept, weight);
        line
    }

    fn put(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    /// Takes a pair in.
    pub fn add(&mut self, x: f64, y: f64) {
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= FADE;
        }
        self.put(x, y, 1.0);
    }

    /// How much `y` rises with `x`; never less than nothing.
    pub fn slope(&self) -> f64 {
        let spread = self.xx - self.x * self.x / self.weight;
        let common = self.xy - self.x * self.y / self.weight;
        let slope = (common + self.trust * self.prior) / (spread + self.trust);
        slope.max(0.0)
    }

    /// What is expected at `x`.
    pub fn at(&self, x: f64) -> f64 {
        let mean = self.x / self.weight;
        self.y / self.weight + self.slope() * (x - mean)
    }
}

/// An average over late observations.
#[derive(Clone, Copy, Debug)]
pub struct Mean {
    weight: f64,
    sum: f64,
}

impl Mean {
    /// An average that begins as `value` and counts as `weight` observations.
    ///
    /// ```
    /// use gradedyke_gateway::estimate::Mean;
    ///
    /// let mut mean = Mean::new(100.0, 4.0);
    /// for _ in 0..1_000 {
    ///     mean.add(20.0);
    /// }
    /// assert!((mean.get() - 20.0).abs() < 0.1);
    /// ```
    pub fn new(value: f64, weight: f64) -> Self {
        Self {
            weight,
            sum: value * weight,
        }
    }

    /// Takes an observation in.
    pub fn add(&mut self, value: f64) {
        self.weight = self.weight * FADE + 1.0;
        self.sum = self.sum * FADE + value;
    }

    /// The average.
    pub fn get(&self) -> f64 {
        self.sum / self.weight
    }
}

/// How long answers of a server took relative to what was expected, added up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Answers.
    pub answers: u32,
    /// Their times relative to what was expected, in hundredths.
    pub hundredths: u32,
}

impl Add for Pace {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            answers: self.answers + other.answers,
            hundredths: self.hundredths + other.hundredths,
        }
    }
}

/// Answers as expected that count besides those that were seen, so that a single one
/// does not make a server slow.
const AS_EXPECTED: f64 = 8.0;
/// The most that one answer counts, relative to what was expected.
const SLOWEST: f64 = 20.0;

impl Pace {
    /// One answer that took `ratio` times as long as expected.
    pub fn of(ratio: f64) -> Self {
        Self {
            answers: 1,
            hundredths: (ratio.clamp(0.0, SLOWEST) * 100.0) as u32,
        }
    }

    /// How slow the server is; 1 is as expected.
    ///
    /// ```
    /// use gradedyke_gateway::estimate::Pace;
    ///
    /// let pace = Pace::of(5.0) + Pace::of(5.0);
    /// assert_eq!(pace.slowness(), 1.8);
    /// assert_eq!(Pace::default().slowness(), 1.0);
    /// ```
    pub fn slowness(self) -> f64 {
        let sum = f64::from(self.hundredths) / 100.0;
        (sum + AS_EXPECTED) / (f64::from(self.answers) + AS_EXPECTED)
    }
}

/// Usual times at a service, in milliseconds, as a policy weighs them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// An answer, without waiting and without the reading of its prompt.
    pub answer_ms: f64,
    /// To the first event of an answer; 0 at a plain service.
    pub first_ms: f64,
    /// From one event to the next, with nothing beside it; 0 at a plain service.
    pub gap_ms: f64,
    /// What each request that runs beside it adds to that.
    pub gap_beside_ms: f64,
    /// Events of an answer after its first.
    pub events: f64,
    /// Reading a token of a prompt.
    pub read_ms: f64,
}

impl Times {
    /// From one event to the next, with `beside` others there, in milliseconds.
    pub fn gap_ms(&self, beside: u32) -> f64 {
        self.gap_ms + f64::from(beside) * self.gap_beside_ms
    }

    /// An answer with `beside` others there, in milliseconds.
    pub fn answer_ms(&self, beside: u32) -> f64 {
        self.answer_ms + self.events * f64::from(beside) * self.gap_beside_ms
    }
}

/// What was observed of an answer of a model engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stream {
    /// Other requests that were in progress there when it was sent.
    pub beside: u32,
    /// Requests that the engine runs at a time.
    pub slots: u32,
    /// Tokens of its prompt that had to be read.
    pub unread: u64,
    /// Time to the first event, in milliseconds.
    pub first_ms: f64,
    /// Time from the first event to the last, in milliseconds.
    pub rest_ms: f64,
    /// Events after the first.
    pub events: u32,
}

/// Reading a token at first: the slower of the engines met so far reads 38 in a
/// millisecond.
const READ_MS: f64 = 1.0 / 38.0;
/// Time to the first event with nothing to read, at first: the way, and a step.
const FIRST_MS: f64 = 15.0;
/// Time between two events at first, alone: eight steps of 4 ms.
const GAP_MS: f64 = 32.0;
/// What each request beside it adds to that at first: its share of the others' reading
/// is learned, and a little is right for engines that are hardly used.
const GAP_BESIDE_MS: f64 = 0.3;
/// Events of an answer at first.
const EVENTS: f64 = 8.0;
/// Time of a call at a plain service at first: those met so far take 26 to 312 ms.
const CALL_MS: f64 = 200.0;
/// Least time that is expected of anything.
const LEAST_MS: f64 = 0.1;
/// Observations for which a first value counts.
const PRIOR: f64 = 10.0;
/// Prompt tokens over which the first value of reading holds.
const READ_SPAN: f64 = 2_000.0;
/// Requests side by side over which the first value of gaps holds.
const GAP_SPAN: f64 = 16.0;

/// What was learned of a service.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Time to the first event over the tokens that had to be read.
    read: Line,
    /// Time between events over the requests beside it.
    gap: Line,
    events: Mean,
    /// Time to the head of a plain service's answer.
    call: Mean,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            read: Line::new(FIRST_MS, READ_MS, READ_SPAN, PRIOR),
            gap: Line::new(GAP_MS, GAP_BESIDE_MS, GAP_SPAN, PRIOR),
            events: Mean::new(EVENTS, PRIOR),
            call: Mean::new(CALL_MS, PRIOR),
        }
    }
}

impl Service {
    /// How long the time between two events of an engine is relative to what is
    /// expected with `beside` others there.
    pub fn ratio(&self, beside: u32, slots: u32, gap_ms: f64) -> f64 {
        let expected = self.gap.at(f64::from(beside.min(slots)));
        gap_ms / expected.max(LEAST_MS)
    }

    /// Takes in an answer of an engine.
    pub fn stream(&mut self, stream: &Stream) {
        // What waited for a place says nothing of reading.
        if stream.beside < stream.slots / 2 {
            self.read.add(stream.unread as f64, stream.first_ms);
        }
        self.events.add(f64::from(stream.events));
        if stream.events > 0 {
            let beside = f64::from(stream.beside.min(stream.slots));
            let gap = stream.rest_ms / f64::from(stream.events);
            self.gap.add(beside, gap);
        }
    }

    /// Takes in an answer of a plain service. Returns how long it took relative to
    /// what was expected.
    pub fn call(&mut self, ms: f64) -> f64 {
        let expected = self.call.get();
        self.call.add(ms);
        ms / expected.max(LEAST_MS)
    }

    /// Usual times at the service.
    pub fn times(&self, engine: bool) -> Times {
        if !engine {
            return Times {
                answer_ms: self.call.get(),
                first_ms: 0.0,
                gap_ms: 0.0,
                gap_beside_ms: 0.0,
                events: 0.0,
                read_ms: 0.0,
            };
        }
        let events = self.events.get();
        let first_ms = self.read.at(0.0).max(0.0);
        let gap_ms = self.gap.at(0.0).max(0.0);
        Times {
            answer_ms: first_ms + events * gap_ms,
            first_ms,
            gap_ms,
            gap_beside_ms: self.gap.slope(),
            events,
            read_ms: self.read.slope(),
        }
    }
}
