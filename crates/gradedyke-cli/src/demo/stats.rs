//! Statistics of the demo, from the records of the stand-in servers.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use gradedyke_world::Deployment;

use super::agents::History;

/// Timeout for engines to release the pins of ended programs.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// The statistics of the demo.
#[derive(Debug, Default)]
pub struct Stats {
    programs: usize,
    calls: usize,
    lost: usize,
    doubled: usize,
    over_budget: usize,
    held_blocks_after_end: usize,
}

impl Stats {
    /// Returns whether nothing was lost, run twice, over budget or left pinned.
    pub fn is_ok(&self) -> bool {
        let violations = [
            self.lost,
            self.doubled,
            self.over_budget,
            self.held_blocks_after_end,
        ];
        self.programs > 0 && self.calls > 0 && violations.iter().all(|count| *count == 0)
    }
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "programs={} calls={} lost={} doubled={} over_budget={} held_blocks_after_end={}",
            self.programs,
            self.calls,
            self.lost,
            self.doubled,
            self.over_budget,
            self.held_blocks_after_end
        )
    }
}

/// Computes the statistics from the demo's calls and the stand-in servers' records.
pub async fn collect(deployment: &Deployment, history: &History) -> Stats {
    let mut stats = Stats {
        programs: history.programs.len(),
        calls: history.calls.len(),
        ..Stats::default()
    };
    let runs: Vec<_> = deployment.engines.iter().flat_map(|e| e.runs()).collect();
    let services = deployment
        .records
        .runs()
        .into_iter()
        .chain(deployment.orders.runs());
    let services: Vec<_> = services.collect();
    for call in &history.calls {
        let key = format!("{}:{}", call.program, call.request);
        let was_run = if call.is_service {
            let run_count = services.iter().filter(|run| run.key == key).count();
            stats.doubled += run_count.saturating_sub(1);
            run_count > 0
        } else {
            let attempt_prefix = format!("{key}:");
            let is_complete = |run: &&_| -> bool {
                let run: &gradedyke_standin::engine::Record = run;
                run.attempt.starts_with(&attempt_prefix) && run.is_complete
            };
            let complete: Vec<_> = runs.iter().filter(is_complete).collect();
            complete.iter().any(|run| run.text == call.response)
        };
        stats.lost += usize::from(!was_run);
    }
    stats.over_budget = count_over_budget(history, &runs);
    stats.held_blocks_after_end = count_pins(deployment).await;
    stats
}

/// Returns the number of programs that, with their sub-agents, used more tokens than their
/// budget, according to the engines' records.
fn count_over_budget(history: &History, runs: &[gradedyke_standin::engine::Record]) -> usize {
    let mut spent: BTreeMap<&str, u64> = BTreeMap::new();
    for run in runs {
        let program = run.attempt.split(':').next().unwrap_or_default();
        let root = program.split('.').next().unwrap_or_default();
        *spent.entry(root).or_default() += run.prompt_tokens + run.completion_tokens;
    }
    let is_over_budget = |(program, budget): &&(String, u64)| {
        spent
            .get(program.as_str())
            .is_some_and(|spent| spent > budget)
    };
    history.programs.iter().filter(is_over_budget).count()
}

/// Returns the number of pins that engines still have after all programs have ended.
async fn count_pins(deployment: &Deployment) -> usize {
    let _ = tokio::time::timeout(RELEASE_TIMEOUT, deployment.wait_until_released()).await;
    deployment.engines.iter().map(|e| e.pins().len()).sum()
}
