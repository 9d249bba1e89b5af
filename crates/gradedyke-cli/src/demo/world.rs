//! The demo's world: stand-ins and instances on loopback ports.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::WrapErr;
use gradedyke::Process;
use gradedyke_base::settings::instance::Instance;
use gradedyke_base::settings::tree::hash_key;
use gradedyke_standin::engine::{self, Engine};
use gradedyke_standin::platform::{self, Platform};
use gradedyke_standin::service::Service;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::admin::Admin;

/// The operator's key.
pub const OPERATOR: &str = "demo-operator";
/// The key of Kestrel Minutes.
pub const KESTREL: &str = "demo-kestrel";
/// The key of Jordan.
pub const JORDAN: &str = "demo-jordan";
/// The model that both users' programs call.
pub const MODEL: &str = "demo-7b";
/// Engines in the demo.
const ENGINES: usize = 3;

/// Stand-ins and instances.
pub struct World {
    /// The instances.
    pub processes: Vec<Process>,
    /// The model engines.
    pub engines: Vec<Arc<Engine>>,
    /// The records service of Kestrel Minutes.
    pub records: Service,
    /// The orders service of Jordan.
    pub orders: Service,
    stop: CancellationToken,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl World {
    /// Starts everything and waits until callers may come.
    pub async fn start(instances: usize) -> eyre::Result<Self> {
        let stop = CancellationToken::new();
        let platform = Arc::new(platform::Listener(Platform::start()));
        let platform = gradedyke_standin::serve(platform, loopback(), &stop).await?;
        let mut engines = Vec::new();
        let mut backends = serde_json::Map::new();
        for number in 1..=ENGINES {
            let engine = Engine::start(engine::Config::default());
            let listener = Arc::new(engine::Listener(engine.clone()));
            let address = gradedyke_standin::serve(listener, loopback(), &stop).await?;
            let settings = json!({
                "kind": "engine", "address": address, "data_centre": format!("demo-{number}"),
                "models": [MODEL], "checks_fencing": true,
            });
            backends.insert(format!("engine-{number}"), settings);
            engines.push(engine);
        }
        let records = Service::default();
        let orders = Service::default();
        for (name, service) in [("records", &records), ("orders", &orders)] {
            let listener = Arc::new(service.clone());
            let address = gradedyke_standin::serve(listener, loopback(), &stop).await?;
            let settings = json!({
                "kind": "service", "address": address, "data_centre": "demo-1",
                "service": name, "outcome_path": "/outcomes/{key}",
            });
            backends.insert(name.to_owned(), settings);
        }
        let mut processes = Vec::new();
        for number in 1..=instances {
            let process = Process::start(instance(number, instances, platform)?);
            processes.push(process.await.wrap_err("an instance cannot start")?);
        }
        let world = Self {
            processes,
            engines,
            records,
            orders,
            stop,
        };
        world.apply(&backends).await?;
        for process in &world.processes {
            process.ready().await;
        }
        Ok(world)
    }

    async fn apply(
        &self,
        backends: &serde_json::Map<String, serde_json::Value>,
    ) -> eyre::Result<()> {
        let account = |key: &str, agents: serde_json::Value| json!({ "keys": [{ "hash": hash_key(key) }], "agents": agents });
        let tree = json!({
            "defaults": { "budget_tokens": 20_000, "max_tokens": 64 },
            "operators": [{ "hash": hash_key(OPERATOR) }],
            "accounts": {
                "kestrel": account(KESTREL, json!({
                    "minutes": { "models": [MODEL], "services": ["records"] },
                    "minutes-plain": { "models": [MODEL], "policy": { "routing": "round_robin" } },
                })),
                "jordan": account(JORDAN, json!({
                    "valuation": { "models": [MODEL], "services": ["orders"] },
                })),
            },
            "backends": backends,
        });
        let admin = Admin::new(self.processes[0].addresses().admin, OPERATOR);
        admin.apply(tree.to_string(), Some(0)).await?;
        Ok(())
    }

    /// The callers' address of an instance, counted round.
    pub fn entry(&self, number: usize) -> SocketAddr {
        let process = &self.processes[number % self.processes.len()];
        process.addresses().caller.unwrap_or_else(loopback)
    }

    /// Prints curl lines to try.
    pub fn print_curl(&self) {
        let entry = self.entry(0);
        let admin = self.processes[0].addresses().admin;
        println!("still listening; try, then stop with ctrl-c:");
        println!(
            "  ID=$(curl -s http://{entry}/v1/programs -H 'authorization: Bearer {KESTREL}' \\"
        );
        println!("    -d '{{\"agent\":\"minutes\"}}' | sed 's/.*\"id\":\"\\([^\"]*\\)\".*/\\1/')");
        println!(
            "  curl -N http://{entry}/v1/chat/completions -H 'authorization: Bearer {KESTREL}' \\"
        );
        println!("    -H \"gradedyke-program: $ID\" -d '{{\"model\":\"{MODEL}\",\"stream\":true,");
        println!("    \"messages\":[{{\"role\":\"user\",\"content\":\"Draft the minutes.\"}}]}}'");
        println!(
            "  curl -s http://{entry}/v1/programs/$ID/history -H 'authorization: Bearer {KESTREL}'"
        );
        println!(
            "  curl -s -XPOST http://{entry}/v1/programs/$ID/end -H 'authorization: Bearer {KESTREL}'"
        );
        println!("  curl -s http://{admin}/admin/v1/status -H 'authorization: Bearer {OPERATOR}'");
        println!("  curl -s http://{admin}/metrics");
    }

    /// Stops everything.
    pub async fn stop(self) {
        for process in self.processes {
            process.stop().await;
        }
        self.stop.cancel();
    }
}

fn instance(number: usize, instances: usize, platform: SocketAddr) -> eyre::Result<Instance> {
    let settings = json!({
        "id": format!("demo-{number}"),
        "deployment": "demo",
        "data_centre": format!("demo-{number}"),
        "roles": ["entry", "owner", "keeper", "admin"],
        "listen": { "caller": loopback(), "peer": loopback(), "admin": loopback() },
        "platform": { "key_value": [platform] },
        "copies": instances.min(3),
        "operator_hash": hash_key(OPERATOR),
    });
    Ok(Instance::read("demo", &settings.to_string())?)
}
