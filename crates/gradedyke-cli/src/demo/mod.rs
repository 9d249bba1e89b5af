//! `gradedyke demo`: runs a whole deployment in one process; all calls go over HTTP.

mod agents;
mod stats;

use std::time::{Duration, Instant};

use eyre::WrapErr;
use gradedyke_world::{Config, Deployment, KESTREL_KEY, MODEL_NAME, OPERATOR_KEY};

use crate::{Failure, build_runtime, expect_no_more_args, logs};
use agents::History;

/// Timeout for the instances to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs `gradedyke demo`.
pub fn command(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let keep_running = args.contains("--stay");
    let instances = args.opt_value_from_str("--instances")?.unwrap_or(3);
    expect_no_more_args(args)?;
    if instances == 0 {
        return Err(Failure::Usage("--instances 0: use 1 or more".to_owned()));
    }
    logs::start("error");
    build_runtime()?.block_on(run_demo(instances, keep_running))
}

async fn run_demo(instances: usize, keep_running: bool) -> Result<(), Failure> {
    let started_at = Instant::now();
    println!("starting a platform, 3 model engines, 2 plain services and {instances} instances");
    let config = Config {
        instances,
        ..Config::default()
    };
    let deployment = tokio::time::timeout(READY_TIMEOUT, Deployment::start(config)).await;
    let deployment =
        deployment.wrap_err("the instances did not become ready within the timeout")??;
    for process in deployment.processes.iter().flatten() {
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
    let ready_ms = started_at.elapsed().as_millis();
    println!("ready after {ready_ms} ms");
    let history = History::run(&deployment).await?;
    let stats = stats::collect(&deployment, &history).await;
    let comparison = agents::compare_routing(&deployment).await?;
    println!("{comparison}");
    println!("{stats}");
    if keep_running {
        print_curl(&deployment);
        tokio::signal::ctrl_c()
            .await
            .wrap_err("cannot wait for a signal")?;
    }
    let is_ok = stats.is_ok();
    deployment.stop().await;
    if is_ok {
        return Ok(());
    }
    Err(Failure::Failed(eyre::eyre!(
        "a figure is not as expected; see the last line of the output"
    )))
}

/// Prints curl commands to try.
fn print_curl(deployment: &Deployment) {
    let entry = deployment.entry_address(0);
    let admin = deployment.processes.iter().flatten().next();
    let admin = admin.map_or_else(gradedyke_world::loopback_address, |p| p.addresses().admin);
    println!(
        r#"still listening; try these, then stop with ctrl-c:
  ID=$(curl -s http://{entry}/v1/programs -H 'authorization: Bearer {KESTREL_KEY}' \
    -d '{{"agent":"minutes"}}' | sed 's/.*"id":"\([^"]*\)".*/\1/')
  curl -N http://{entry}/v1/chat/completions -H 'authorization: Bearer {KESTREL_KEY}' \
    -H "gradedyke-program: $ID" -d '{{"model":"{MODEL_NAME}","stream":true,
    "messages":[{{"role":"user","content":"Draft the minutes."}}]}}'
  curl -s http://{entry}/v1/programs/$ID/history -H 'authorization: Bearer {KESTREL_KEY}'
  curl -s -XPOST http://{entry}/v1/programs/$ID/end -H 'authorization: Bearer {KESTREL_KEY}'
  curl -s http://{admin}/admin/v1/status -H 'authorization: Bearer {OPERATOR_KEY}'
  curl -s http://{admin}/metrics"#
    );
}
