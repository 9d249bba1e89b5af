//! The agent programs of the demo, as callers would write them.

use std::time::Instant;

use gradedyke_client::Options;
use gradedyke_world::{World, chat, text_of, user};

/// Minutes drafts and valuations that run beside each other.
const PAIRS: usize = 4;
/// Follow-up questions in a minutes draft.
const FOLLOW_UPS: usize = 3;
/// Programs in each half of the routing comparison.
const COMPARED: usize = 6;
/// Turns of each of them.
const COMPARED_TURNS: usize = 4;

/// One call as its caller saw it.
pub struct Seen {
    /// The program.
    pub program: String,
    /// The request.
    pub request: String,
    /// The text of the answer.
    pub answer: String,
    /// Whether a plain service was called.
    pub service: bool,
}

/// All that the agent programs did.
#[derive(Default)]
pub struct Journeys {
    /// Programs opened, with their budgets in tokens.
    pub programs: Vec<(String, u64)>,
    /// Calls answered.
    pub calls: Vec<Seen>,
}

fn short(text: &str) -> String {
    text.chars().take(40).collect()
}

impl Journeys {
    /// Runs all programs beside each other.
    pub async fn run(world: &World) -> eyre::Result<Self> {
        let mut journeys = Self::default();
        for pair in 0..PAIRS {
            let (minutes, valuation) = tokio::join!(minutes(world, pair), valuation(world, pair));
            for journey in [minutes?, valuation?] {
                journeys.programs.extend(journey.programs);
                journeys.calls.extend(journey.calls);
            }
        }
        Ok(journeys)
    }

    fn saw(&mut self, program: &str, request: &str, answer: String, service: bool) {
        println!("  {program} {request}: {}...", short(&answer));
        self.calls.push(Seen {
            program: program.to_owned(),
            request: request.to_owned(),
            answer,
            service,
        });
    }
}

/// A minutes draft: a long transcript, a sub-agent that checks names, an export
/// that must not be repeated, and a clerk's follow-up questions.
async fn minutes(world: &World, number: usize) -> eyre::Result<Journeys> {
    let caller = world.kestrel();
    let mut journey = Journeys::default();
    let mut entries = (number..).map(|n| world.entry(n));
    let mut entry = || entries.next().unwrap_or_else(|| world.entry(0));
    let budget = 6_000;
    let opened = format!("minutes-{number}");
    let program = caller
        .open(entry(), "minutes", Some(budget), None, &opened)
        .await?;
    println!("kestrel opens minutes draft {program}");
    journey.programs.push((program.clone(), budget));

    let transcript = "The chair opened the meeting and item four was discussed. ".repeat(12);
    let body = chat(&[user(&transcript)]);
    let mut answer = caller
        .stream(entry(), &program, &body, Options::request("draft"))
        .await?;
    let mut pieces = 0;
    while answer.next().await?.is_some() {
        pieces += 1;
    }
    println!("  {program} draft: streamed in {pieces} pieces");
    journey.saw(&program, "draft", answer.text, false);

    let child = caller
        .open(entry(), "minutes", None, Some(&program), "names")
        .await?;
    println!("  {program} opens sub-agent {child}");
    journey.programs.push((child.clone(), budget));
    let body = chat(&[user("Check the names against the members' list.")]);
    let checked = caller
        .chat(entry(), &child, &body, Options::request("check"))
        .await?;
    journey.saw(&child, "check", text_of(&checked), false);
    caller.program(entry(), &child, "end").await?;

    let options = Options::request("export");
    let exported = caller
        .service(
            entry(),
            &program,
            "records/export",
            "{\"draft\":1}",
            options.clone(),
        )
        .await?;
    journey.saw(&program, "export", exported, true);
    // The same request again gives the same answer and runs nothing.
    caller
        .service(
            entry(),
            &program,
            "records/export",
            "{\"draft\":1}",
            options.clone(),
        )
        .await?;

    for turn in 0..FOLLOW_UPS {
        let request = format!("follow-up-{turn}");
        let options = Options {
            append: true,
            ..Options::request(&request)
        };
        let body = chat(&[user("What was decided on item four?")]);
        let answer = caller
            .chat(entry(), &program, &body, options.clone())
            .await?;
        journey.saw(&program, &request, text_of(&answer), false);
    }
    caller.program(entry(), &program, "end").await?;
    println!("kestrel ends {program}");
    Ok(journey)
}

/// A valuation: two model calls and an order that must not be repeated.
async fn valuation(world: &World, number: usize) -> eyre::Result<Journeys> {
    let caller = world.jordan();
    let mut journey = Journeys::default();
    let mut entries = (number + 1..).map(|n| world.entry(n));
    let mut entry = || entries.next().unwrap_or_else(|| world.entry(0));
    let budget = 3_000;
    let opened = format!("valuation-{number}");
    let program = caller
        .open(entry(), "valuation", Some(budget), None, &opened)
        .await?;
    println!("jordan opens valuation {program}");
    journey.programs.push((program.clone(), budget));

    let first = user("Value this copy: first edition, spine worn.");
    let body = chat(std::slice::from_ref(&first));
    let valued = caller
        .chat(entry(), &program, &body, Options::request("value"))
        .await?;
    journey.saw(&program, "value", text_of(&valued), false);

    let options = Options {
        repeatable: Some(false),
        ..Options::request("order")
    };
    let ordered = caller
        .service(
            entry(),
            &program,
            "orders/place",
            "{\"copy\":7}",
            options.clone(),
        )
        .await?;
    journey.saw(&program, "order", ordered, true);

    // An existing client repeats the whole conversation.
    let message = valued["choices"][0]["message"].clone();
    let body = chat(&[first, message, user("List it at that price.")]);
    let listed = caller
        .chat(entry(), &program, &body, Options::request("list"))
        .await?;
    journey.saw(&program, "list", text_of(&listed), false);
    caller.program(entry(), &program, "end").await?;
    println!("jordan ends {program}");
    Ok(journey)
}

/// Runs the same programs under each routing policy and tells what the second
/// one gains.
pub async fn compare_routing(world: &World) -> eyre::Result<String> {
    let (naive_ms, naive_wasted) = compared(world, "minutes-plain").await?;
    let (ms, wasted) = compared(world, "minutes").await?;
    Ok(format!(
        "routing round_robin_ms={naive_ms} prefix_ms={ms} ratio={:.2} \
         round_robin_wasted_tokens={naive_wasted} prefix_wasted_tokens={wasted}",
        ms as f64 / naive_ms.max(1) as f64
    ))
}

/// Runs programs of several turns under an agent program's routing; returns the
/// time and the prompt tokens that were computed again.
async fn compared(world: &World, agent: &str) -> eyre::Result<(u128, u64)> {
    let began = Instant::now();
    let programs = (0..COMPARED).map(|number| turns(world, agent, number));
    let mut wasted = 0;
    for program in futures_util::future::join_all(programs).await {
        wasted += wasted_by(world, &program?);
    }
    Ok((began.elapsed().as_millis(), wasted))
}

async fn turns(world: &World, agent: &str, number: usize) -> eyre::Result<String> {
    let caller = world.kestrel();
    let entry = world.entry(number);
    let opened = format!("{agent}-compared-{number}");
    let program = caller.open(entry, agent, None, None, &opened).await?;
    // Each program has a transcript of its own, so that none warms another's
    // cache.
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
        let body = chat(&[user(content)]);
        caller.chat(entry, &program, &body, options.clone()).await?;
    }
    caller.program(entry, &program, "end").await?;
    Ok(program)
}

/// Prompt tokens of a program that an engine computed although some engine had
/// computed them before, by the engines' records. The longest prompt holds
/// every shorter one, so its length is what had to be computed.
fn wasted_by(world: &World, program: &str) -> u64 {
    let attempt = format!("{program}:");
    let runs = world.engines.iter().flat_map(|engine| engine.runs());
    let runs: Vec<_> = runs
        .filter(|run| run.attempt.starts_with(&attempt))
        .collect();
    let computed: u64 = runs.iter().map(|r| r.prompt_tokens - r.cached_tokens).sum();
    let needed = runs.iter().map(|r| r.prompt_tokens).max().unwrap_or(0);
    computed.saturating_sub(needed)
}
