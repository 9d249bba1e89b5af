//! Counts what the demo did from the stand-ins' own records, not from ours.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use gradedyke_world::World;

use super::agents::Journeys;

/// Longest time for engines to be rid of ended programs' memory.
const RELEASE: Duration = Duration::from_secs(10);

/// The figures of the demo.
#[derive(Debug, Default)]
pub struct Figures {
    programs: usize,
    calls: usize,
    lost: usize,
    doubled: usize,
    over_budget: usize,
    held_blocks_after_end: usize,
}

impl Figures {
    /// Whether all is as promised.
    pub fn right(&self) -> bool {
        let wrong = [
            self.lost,
            self.doubled,
            self.over_budget,
            self.held_blocks_after_end,
        ];
        self.programs > 0 && self.calls > 0 && wrong.iter().all(|figure| *figure == 0)
    }
}

impl fmt::Display for Figures {
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

/// Counts the figures.
pub async fn count(world: &World, journeys: &Journeys) -> Figures {
    let mut figures = Figures {
        programs: journeys.programs.len(),
        calls: journeys.calls.len(),
        ..Figures::default()
    };
    let runs: Vec<_> = world.engines.iter().flat_map(|e| e.runs()).collect();
    let services = world.records.runs().into_iter().chain(world.orders.runs());
    let services: Vec<_> = services.collect();
    for call in &journeys.calls {
        let key = format!("{}:{}", call.program, call.request);
        let found = if call.service {
            let ran = services.iter().filter(|run| run.key == key).count();
            figures.doubled += ran.saturating_sub(1);
            ran > 0
        } else {
            let attempt = format!("{key}:");
            let ours = |run: &&_| -> bool {
                let run: &gradedyke_standin::engine::Run = run;
                run.attempt.starts_with(&attempt) && run.whole
            };
            let whole: Vec<_> = runs.iter().filter(ours).collect();
            whole.iter().any(|run| run.text == call.answer)
        };
        figures.lost += usize::from(!found);
    }
    figures.over_budget = over_budget(journeys, &runs);
    figures.held_blocks_after_end = held(world).await;
    figures
}

/// Programs whose tree spent more, by the engines' records, than its budget.
fn over_budget(journeys: &Journeys, runs: &[gradedyke_standin::engine::Run]) -> usize {
    let mut spent: BTreeMap<&str, u64> = BTreeMap::new();
    for run in runs {
        let program = run.attempt.split(':').next().unwrap_or_default();
        let root = program.split('.').next().unwrap_or_default();
        *spent.entry(root).or_default() += run.prompt_tokens + run.completion_tokens;
    }
    let over = |(program, budget): &&(String, u64)| {
        spent
            .get(program.as_str())
            .is_some_and(|spent| spent > budget)
    };
    journeys.programs.iter().filter(over).count()
}

/// Blocks that engines still hold when every program has ended.
async fn held(world: &World) -> usize {
    let _ = tokio::time::timeout(RELEASE, world.released()).await;
    world.engines.iter().map(|e| e.pins().len()).sum()
}
