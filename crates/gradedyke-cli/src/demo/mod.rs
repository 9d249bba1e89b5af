//! `gradedyke demo`: everything in one process, through the real HTTP path.

mod agents;
mod tally;

use std::time::{Duration, Instant};

use eyre::WrapErr;
use gradedyke_world::{Config, KESTREL, MODEL, OPERATOR, World};

use crate::{Failure, logs, no_more, runtime};
use agents::Journeys;

/// Longest time for the instances to get ready.
const READY: Duration = Duration::from_secs(30);

/// Runs the demo.
pub fn command(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let stay = args.contains("--stay");
    let instances = args.opt_value_from_str("--instances")?.unwrap_or(3);
    no_more(args)?;
    if instances == 0 {
        return Err(Failure::Usage("--instances 0: use 1 or more".to_owned()));
    }
    logs::start("error");
    runtime()?.block_on(show(instances, stay))
}

async fn show(instances: usize, stay: bool) -> Result<(), Failure> {
    let began = Instant::now();
    println!("starting a platform, 3 model engines, 2 plain services and {instances} instances");
    let config = Config {
        instances,
        ..Config::default()
    };
    let world = tokio::time::timeout(READY, World::start(config)).await;
    let world = world.wrap_err("the instances did not get ready in time")??;
    for process in world.processes.iter().flatten() {
        let addresses = process.addresses();
        println!(
            "  instance {} callers={} admin={}",
            process.kernel().settings.id,
            addresses
                .caller
                .map_or("none".to_owned(), |a| a.to_string()),
            addresses.admin
        );
    }
    let ready_ms = began.elapsed().as_millis();
    println!("ready after {ready_ms} ms");
    let journeys = Journeys::run(&world).await?;
    let figures = tally::count(&world, &journeys).await;
    let gain = agents::compare_routing(&world).await?;
    println!("{gain}");
    println!("{figures}");
    if stay {
        print_curl(&world);
        tokio::signal::ctrl_c()
            .await
            .wrap_err("cannot wait for a signal")?;
    }
    let right = figures.right();
    world.stop().await;
    if right {
        return Ok(());
    }
    Err(Failure::Failed(eyre::eyre!(
        "a figure is not right, see above"
    )))
}

/// Prints curl lines to try.
fn print_curl(world: &World) {
    let entry = world.entry(0);
    let admin = world.processes.iter().flatten().next();
    let admin = admin.map_or_else(gradedyke_world::loopback, |p| p.addresses().admin);
    println!(
        r#"still listening; try these, then stop with ctrl-c:
  ID=$(curl -s http://{entry}/v1/programs -H 'authorization: Bearer {KESTREL}' \
    -d '{{"agent":"minutes"}}' | sed 's/.*"id":"\([^"]*\)".*/\1/')
  curl -N http://{entry}/v1/chat/completions -H 'authorization: Bearer {KESTREL}' \
    -H "gradedyke-program: $ID" -d '{{"model":"{MODEL}","stream":true,
    "messages":[{{"role":"user","content":"Draft the minutes."}}]}}'
  curl -s http://{entry}/v1/programs/$ID/history -H 'authorization: Bearer {KESTREL}'
  curl -s -XPOST http://{entry}/v1/programs/$ID/end -H 'authorization: Bearer {KESTREL}'
  curl -s http://{admin}/admin/v1/status -H 'authorization: Bearer {OPERATOR}'
  curl -s http://{admin}/metrics"#
    );
}
