//! Parameters of runs with engines that differ in speed and load that moves between entries.

use std::f64::consts::TAU;

use serde::Deserialize;

/// Engines of the same speed.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Share of the engines.
    pub share: f64,
    /// Factor by which their steps take longer than specified.
    pub step_factor: f64,
    /// The factor after the change of speed, if there is one.
    #[serde(default)]
    pub changed_factor: Option<f64>,
}

/// How engines and entries differ. By default all engines are equally fast and all entries start
/// equally many programs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Uneven {
    /// The engines by speed. Engines beyond the sum of the shares have the specified speed.
    pub groups: Vec<Group>,
    /// When the groups with a `changed_factor` change their speed, in milliseconds since the start
    /// of the run.
    pub change_ms: f64,
    /// By how much the load of each half of the entries rises above and falls below its mean, as
    /// a fraction of the mean. The total load is constant.
    pub moving_load: f64,
}

/// Time in which the load moves from one half of the entries to the other and back.
const MOVING_PERIOD_MS: f64 = 8_000.0;

impl Uneven {
    fn group(&self, engine: usize, engines: usize) -> Option<&Group> {
        let mut end = 0.0;
        self.groups.iter().find(|group| {
            end += group.share * engines as f64;
            (engine as f64) < end.round()
        })
    }

    /// Factor by which an engine's steps take longer than specified, out of `engines`.
    ///
    /// ```
    /// use gradedyke_model::uneven::{Group, Uneven};
    ///
    /// let fast = Group { share: 0.25, step_factor: 0.5, changed_factor: Some(2.0) };
    /// let uneven = Uneven { groups: vec![fast], change_ms: 4_000.0, moving_load: 0.0 };
    /// assert_eq!(uneven.step_factor(1, 8, 0.0), 0.5);
    /// assert_eq!(uneven.step_factor(1, 8, 4_000.0), 2.0);
    /// assert_eq!(uneven.step_factor(2, 8, 0.0), 1.0);
    /// ```
    pub fn step_factor(&self, engine: usize, engines: usize, now_ms: f64) -> f64 {
        let Some(group) = self.group(engine, engines) else {
            return 1.0;
        };
        let changed = group.changed_factor.filter(|_| now_ms >= self.change_ms);
        changed.unwrap_or(group.step_factor)
    }

    /// Share of the programs that the first half of the entries starts.
    pub fn first_half_share(&self, now_ms: f64) -> f64 {
        let phase = TAU * now_ms / MOVING_PERIOD_MS;
        0.5 + 0.5 * self.moving_load * phase.sin()
    }
}
