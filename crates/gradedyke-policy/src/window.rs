//! Sliding-window sums.

use std::ops::Add;
use std::time::Duration;

use tokio::time::Instant;

/// Duration of one bucket. A sum covers two buckets and the gap between them, which is at least
/// one and less than three bucket durations. A bucket starts with the first value that is added
/// after the previous one has ended. Faults of servers mostly last 4 to 8 s.
pub const BUCKET_DURATION: Duration = Duration::from_secs(3);

/// A sum over the last one to three bucket durations, kept in two buckets.
#[derive(Clone, Debug)]
pub struct Window<T> {
    bucket_duration: Duration,
    /// When the current bucket started.
    started: Option<Instant>,
    current: T,
    previous: T,
}

impl<T: Default> Default for Window<T> {
    fn default() -> Self {
        Self::new(BUCKET_DURATION)
    }
}

impl<T: Default> Window<T> {
    /// Creates a window with buckets of another length than [`BUCKET_DURATION`].
    ///
    /// ```
    /// use gradedyke_policy::window::Window;
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// let mut window = Window::new(Duration::from_millis(500));
    /// window.add(2, now);
    /// assert_eq!(window.sum(now + Duration::from_millis(900)), 2);
    /// assert_eq!(window.sum(now + Duration::from_millis(1_600)), 0);
    /// ```
    pub fn new(bucket_duration: Duration) -> Self {
        Self {
            bucket_duration,
            started: None,
            current: T::default(),
            previous: T::default(),
        }
    }
}

impl<T: Add<Output = T> + Copy + Default> Window<T> {
    /// Starts a new bucket if the current one is too old.
    fn rotate(&mut self, now: Instant) {
        let age = self
            .started
            .map(|started| now.saturating_duration_since(started));
        match age {
            Some(age) if age < self.bucket_duration => return,
            Some(age) if age < 2 * self.bucket_duration => self.previous = self.current,
            _ => self.previous = T::default(),
        }
        self.current = T::default();
        self.started = Some(now);
    }

    /// Adds a value to the current bucket.
    pub fn add(&mut self, value: T, now: Instant) {
        self.rotate(now);
        self.current = self.current + value;
    }

    /// The sum of both buckets at `now`.
    ///
    /// ```
    /// use gradedyke_policy::window::Window;
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// let mut window = Window::default();
    /// window.add(2, now);
    /// assert_eq!(window.sum(now + Duration::from_secs(2)), 2);
    /// assert_eq!(window.sum(now + Duration::from_secs(9)), 0);
    /// ```
    pub fn sum(&self, now: Instant) -> T {
        let mut window = self.clone();
        window.rotate(now);
        window.current + window.previous
    }
}
