//! The agent programs of the demo, written like callers' own programs.

use std::time::Instant;

use gradedyke_client::Options;
use gradedyke_world::{Deployment, chat_body, response_text, user_message};

/// Number of pairs of a minutes draft and a valuation; the two of a pair run concurrently.
const PROGRAM_PAIRS: usize = 4;
/// Number of follow-up questions in a minutes draft.
const FOLLOW_UP_QUESTIONS: usize = 3;
/// Number of programs per routing policy in the comparison.
const COMPARED_PROGRAMS: usize = 6;
/// Number of turns of each of these programs.
const COMPARED_TURNS: usize = 4;

/// A completed call, as its caller saw it.
pub struct Call {
    /// The program ID.
    pub program: String,
    /// The request ID.
    pub request: String,
    /// The text of the response.
    pub response: String,
    /// Whether it is a call to a plain service.
    pub is_service: bool,
}

/// What the agent programs did.
#[derive(Default)]
pub struct History {
    /// IDs of the programs and sub-agents opened, with their budgets in tokens.
    pub programs: Vec<(String, u64)>,
    /// Completed calls.
    pub calls: Vec<Call>,
}

fn truncate(text: &str) -> String {
    text.chars().take(40).collect()
}

impl History {
    /// Runs all pairs of programs, one pair after the other.
    pub async fn run(deployment: &Deployment) -> eyre::Result<Self> {
        let mut history = Self::default();
        for pair in 0..PROGRAM_PAIRS {
            let (minutes, valuation) =
                tokio::join!(minutes(deployment, pair), valuation(deployment, pair));
            for part in [minutes?, valuation?] {
                history.programs.extend(part.programs);
                history.calls.extend(part.calls);
            }
        }
        Ok(history)
    }

    fn record_call(&mut self, program: &str, request: &str, response: String, is_service: bool) {
        println!("  {program} {request}: {}...", truncate(&response));
        self.calls.push(Call {
            program: program.to_owned(),
            request: request.to_owned(),
            response,
            is_service,
        });
    }
}

/// Runs a minutes draft: a long transcript, a sub-agent that checks names, an export that
/// must run only once, and follow-up questions.
async fn minutes(deployment: &Deployment, number: usize) -> eyre::Result<History> {
    let caller = deployment.kestrel_caller();
    let mut history = History::default();
    let mut entries = (number..).map(|n| deployment.entry_address(n));
    let mut entry = || {
        entries
            .next()
            .unwrap_or_else(|| deployment.entry_address(0))
    };
    let budget = 6_000;
    let open_request = format!("minutes-{number}");
    let program = caller
        .open_program(entry(), "minutes", Some(budget), None, &open_request)
        .await?;
    println!("kestrel opens minutes draft {program}");
    history.programs.push((program.clone(), budget));

    let transcript = "The chair opened the meeting and item four was discussed. ".repeat(12);
    let body = chat_body(&[user_message(&transcript)]);
    let mut response = caller
        .stream(entry(), &program, &body, Options::request("draft"))
        .await?;
    let mut chunks = 0;
    while response.next().await?.is_some() {
        chunks += 1;
    }
    println!("  {program} draft: streamed in {chunks} chunks");
    history.record_call(&program, "draft", response.text, false);

    let child = caller
        .open_program(entry(), "minutes", None, Some(&program), "names")
        .await?;
    println!("  {program} opens sub-agent {child}");
    history.programs.push((child.clone(), budget));
    let body = chat_body(&[user_message("Check the names against the members' list.")]);
    let checked = caller
        .chat(entry(), &child, &body, Options::request("check"))
        .await?;
    history.record_call(&child, "check", response_text(&checked), false);
    caller.program_action(entry(), &child, "end").await?;

    let options = Options::request("export");
    let exported = caller
        .call_service(
            entry(),
            &program,
            "records/export",
            "{\"draft\":1}",
            options.clone(),
        )
        .await?;
    history.record_call(&program, "export", exported, true);
    // A retry of the request returns the same response without running the call again.
    caller
        .call_service(
            entry(),
            &program,
            "records/export",
            "{\"draft\":1}",
            options.clone(),
        )
        .await?;

    for turn in 0..FOLLOW_UP_QUESTIONS {
        let request = format!("follow-up-{turn}");
        let options = Options {
            append: true,
            ..Options::request(&request)
        };
        let body = chat_body(&[user_message("What was decided on item four?")]);
        let response = caller
            .chat(entry(), &program, &body, options.clone())
            .await?;
        history.record_call(&program, &request, response_text(&response), false);
    }
    caller.program_action(entry(), &program, "end").await?;
    println!("kestrel ends {program}");
    Ok(history)
}

/// Runs a valuation: two model calls and an order that must run only once.
async fn valuation(deployment: &Deployment, number: usize) -> eyre::Result<History> {
    let caller = deployment.jordan_caller();
    let mut history = History::default();
    let mut entries = (number + 1..).map(|n| deployment.entry_address(n));
    let mut entry = || {
        entries
            .next()
            .unwrap_or_else(|| deployment.entry_address(0))
    };
    let budget = 3_000;
    let open_request = format!("valuation-{number}");
    let program = caller
        .open_program(entry(), "valuation", Some(budget), None, &open_request)
        .await?;
    println!("jordan opens valuation {program}");
    history.programs.push((program.clone(), budget));

    let first = user_message("Value this copy: first edition, spine worn.");
    let body = chat_body(std::slice::from_ref(&first));
    let valued = caller
        .chat(entry(), &program, &body, Options::request("value"))
        .await?;
    history.record_call(&program, "value", response_text(&valued), false);

    let options = Options {
        repeatable: Some(false),
        ..Options::request("order")
    };
    let ordered = caller
        .call_service(
            entry(),
            &program,
            "orders/place",
            "{\"copy\":7}",
            options.clone(),
        )
        .await?;
    history.record_call(&program, "order", ordered, true);

    // Without `append`, a call sends the whole conversation, as unmodified clients do.
    let message = valued["choices"][0]["message"].clone();
    let body = chat_body(&[first, message, user_message("List it at that price.")]);
    let listed = caller
        .chat(entry(), &program, &body, Options::request("list"))
        .await?;
    history.record_call(&program, "list", response_text(&listed), false);
    caller.program_action(entry(), &program, "end").await?;
    println!("jordan ends {program}");
    Ok(history)
}

/// Runs the same programs under both routing policies; returns a line with the latency and
/// the wasted tokens of each.
pub async fn compare_routing(deployment: &Deployment) -> eyre::Result<String> {
    let (round_robin_ms, round_robin_wasted) = run_compared(deployment, "minutes-plain").await?;
    let (prefix_ms, prefix_wasted) = run_compared(deployment, "minutes").await?;
    Ok(format!(
        "routing round_robin_ms={round_robin_ms} prefix_ms={prefix_ms} ratio={:.2} \
         round_robin_wasted_tokens={round_robin_wasted} prefix_wasted_tokens={prefix_wasted}",
        prefix_ms as f64 / round_robin_ms.max(1) as f64
    ))
}

/// Runs programs of several turns under the routing policy of `agent`; returns the elapsed
/// time in milliseconds and the number of prompt tokens processed more than once.
async fn run_compared(deployment: &Deployment, agent: &str) -> eyre::Result<(u128, u64)> {
    let started_at = Instant::now();
    let programs = (0..COMPARED_PROGRAMS).map(|number| run_turns(deployment, agent, number));
    let mut wasted = 0;
    for program in futures_util::future::join_all(programs).await {
        wasted += wasted_tokens(deployment, &program?);
    }
    Ok((started_at.elapsed().as_millis(), wasted))
}

async fn run_turns(deployment: &Deployment, agent: &str, number: usize) -> eyre::Result<String> {
    let caller = deployment.kestrel_caller();
    let entry = deployment.entry_address(number);
    let open_request = format!("{agent}-compared-{number}");
    let program = caller
        .open_program(entry, agent, None, None, &open_request)
        .await?;
    // Each program has a different transcript, so that programs don't share cached prefixes.
    let transcript = format!(
        "{agent} {number} {}",
        "Item four was discussed. ".repeat(150)
    );
    for turn in 0..COMPARED_TURNS {
        let content = if turn == 0 { &transcript } else { "And then?" };
        let options = Options {
            append: true,
            ..Options::request(turn.to_string())
        };
        let body = chat_body(&[user_message(content)]);
        caller.chat(entry, &program, &body, options.clone()).await?;
    }
    caller.program_action(entry, &program, "end").await?;
    Ok(program)
}

/// Returns the number of prompt tokens of a program that engines processed more than once,
/// according to the engines' records. Each prompt extends the one before, so only the
/// length of the longest prompt had to be processed.
fn wasted_tokens(deployment: &Deployment, program: &str) -> u64 {
    let attempt_prefix = format!("{program}:");
    let runs = deployment.engines.iter().flat_map(|engine| engine.runs());
    let runs: Vec<_> = runs
        .filter(|run| run.attempt.starts_with(&attempt_prefix))
        .collect();
    let processed: u64 = runs.iter().map(|r| r.prompt_tokens - r.cached_tokens).sum();
    let needed = runs.iter().map(|r| r.prompt_tokens).max().unwrap_or(0);
    processed.saturating_sub(needed)
}
