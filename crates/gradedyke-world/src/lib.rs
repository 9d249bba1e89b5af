//! A whole deployment on loopback ports in one process: stand-ins for what
//! surrounds gradedyke, and instances with every role. The demo, the tests and
//! the load tool run on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{OptionExt, WrapErr};
use gradedyke::{Process, current};
use gradedyke_base::settings::check;
use gradedyke_base::settings::instance::Instance;
use gradedyke_base::settings::tree::hash_key;
use gradedyke_client::Caller;
use gradedyke_standin::engine::{self, Engine};
use gradedyke_standin::platform::{self, Platform};
use gradedyke_standin::service::Service;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

/// The operator's key.
pub const OPERATOR: &str = "demo-operator";
/// The key of Kestrel Minutes.
pub const KESTREL: &str = "demo-kestrel";
/// The key of Jordan.
pub const JORDAN: &str = "demo-jordan";
/// The model that both users' programs call.
pub const MODEL: &str = "demo-7b";
/// Longest time for one call of a caller.
const CALL: Duration = Duration::from_secs(60);

/// What a world consists of.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of instances, each with every role.
    pub instances: usize,
    /// The engines.
    pub engines: Vec<engine::Config>,
    /// Length of the instances' leases, in milliseconds.
    pub lease_ms: u64,
    /// Limits towards callers, as in an instance's settings.
    pub limits: Value,
    /// Values for all programs, as in the tree's `defaults`.
    pub defaults: Value,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            instances: 3,
            engines: vec![engine::Config::default(); 3],
            lease_ms: 2_000,
            limits: json!({ "leave_ms": 0 }),
            defaults: json!({ "budget_tokens": 20_000, "max_tokens": 64 }),
        }
    }
}

/// Stand-ins and instances.
pub struct World {
    /// The platform.
    pub platform: Arc<Platform>,
    /// Where the platform listens.
    pub platform_address: SocketAddr,
    /// The instances; one that was taken out leaves its place empty.
    pub processes: Vec<Option<Process>>,
    /// The model engines.
    pub engines: Vec<Arc<Engine>>,
    /// The records service of Kestrel Minutes.
    pub records: Service,
    /// The orders service of Jordan.
    pub orders: Service,
    /// The tree in force.
    pub tree: Value,
    config: Config,
    stop: CancellationToken,
}

/// A loopback address with a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl World {
    /// Starts the stand-ins alone, with a tree that knows them.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound.
    pub async fn surroundings(config: Config) -> eyre::Result<Self> {
        let stop = CancellationToken::new();
        let platform = Platform::start();
        let listener = Arc::new(platform::Listener(platform.clone()));
        let platform_address = gradedyke_standin::serve(listener, loopback(), &stop).await?;
        let mut engines = Vec::new();
        let mut backends = BTreeMap::new();
        for (number, settings) in config.engines.iter().enumerate() {
            let engine = Engine::start(settings.clone());
            let listener = Arc::new(engine::Listener(engine.clone()));
            let address = gradedyke_standin::serve(listener, loopback(), &stop).await?;
            let settings = json!({
                "kind": "engine", "address": address, "data_centre": data_centre(number),
                "models": [MODEL], "checks_fencing": settings.checks_fencing,
            });
            backends.insert(format!("engine-{}", number + 1), settings);
            engines.push(engine);
        }
        let records = Service::default();
        let orders = Service::default();
        for (name, service) in [("records", &records), ("orders", &orders)] {
            let listener = Arc::new(service.clone());
            let address = gradedyke_standin::serve(listener, loopback(), &stop).await?;
            let settings = json!({
                "kind": "service", "address": address, "data_centre": data_centre(0),
                "service": name, "outcome_path": "/outcomes/{key}",
            });
            backends.insert(name.to_owned(), settings);
        }
        Ok(Self {
            platform,
            platform_address,
            processes: Vec::new(),
            engines,
            records,
            orders,
            tree: tree(&config.defaults, &backends),
            config,
            stop,
        })
    }

    /// Starts everything and waits until callers may come.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound, or the settings cannot be applied.
    pub async fn start(config: Config) -> eyre::Result<Self> {
        let instances = config.instances;
        let mut world = Self::surroundings(config).await?;
        for _ in 0..instances {
            world.add().await?;
        }
        world.apply().await?;
        for process in world.processes.iter().flatten() {
            process.ready().await;
        }
        Ok(world)
    }

    /// Starts one more instance.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound.
    pub async fn add(&mut self) -> eyre::Result<()> {
        let settings = self.instance(self.processes.len())?;
        let process = Process::start(settings).await;
        let process = process.wrap_err("an instance cannot start")?;
        self.processes.push(Some(process));
        Ok(())
    }

    /// The settings of instance `number`.
    ///
    /// # Errors
    ///
    /// The limits of the world's configuration are no limits.
    pub fn instance(&self, number: usize) -> eyre::Result<Instance> {
        let settings = json!({
            "id": format!("demo-{}", number + 1),
            "deployment": "demo",
            "data_centre": data_centre(number),
            "roles": ["entry", "owner", "keeper", "admin"],
            "listen": { "caller": loopback(), "peer": loopback(), "admin": loopback() },
            "platform": { "key_value": [self.platform_address] },
            "copies": self.config.instances.clamp(1, 3),
            "lease_ms": self.config.lease_ms,
            "limits": self.config.limits,
            "operator_hash": hash_key(OPERATOR),
        });
        Ok(Instance::read("world", &settings.to_string())?)
    }

    /// Puts the tree in force after the revision that is.
    ///
    /// # Errors
    ///
    /// The tree has a fault, or the platform does not take it.
    pub async fn apply(&self) -> eyre::Result<u64> {
        let process = self.processes.iter().flatten().next();
        let kv = &process.ok_or_eyre("no instance runs")?.kernel().kv;
        let tree = check::read("world", &self.tree.to_string());
        let tree = tree.map_err(|errors| eyre::eyre!("{errors:?}"))?;
        let (present, _) = current::read(&**kv).await?;
        let applied = current::apply(&**kv, tree, present.revision).await?;
        for process in self.processes.iter().flatten() {
            let mut revision = process.kernel().current.subscribe();
            revision.wait_for(|r| *r >= applied.revision).await?;
        }
        Ok(applied.revision)
    }

    /// The callers' address of an instance, counted round over those that run.
    pub fn entry(&self, number: usize) -> SocketAddr {
        let running: Vec<_> = self.processes.iter().flatten().collect();
        let process = running[number % running.len()];
        process.addresses().caller.unwrap_or_else(loopback)
    }

    /// A caller of Kestrel Minutes.
    pub fn kestrel(&self) -> Caller {
        Caller::new(KESTREL, CALL)
    }

    /// A caller of Jordan.
    pub fn jordan(&self) -> Caller {
        Caller::new(JORDAN, CALL)
    }

    /// Waits until no engine holds memory for any program.
    pub async fn released(&self) {
        for engine in &self.engines {
            engine.until(|e| e.pins().is_empty()).await;
        }
    }

    /// Ends everything at once, so that no instance takes another's slots over
    /// meanwhile.
    pub async fn stop(self) {
        let processes = self.processes.into_iter().flatten();
        let ending: Vec<_> = processes.map(|p| tokio::spawn(p.kill())).collect();
        for process in ending {
            // It has ended either way.
            let _ = process.await;
        }
        self.stop.cancel();
    }
}

fn data_centre(number: usize) -> String {
    format!("demo-{}", number % 3 + 1)
}

fn tree(defaults: &Value, backends: &BTreeMap<String, Value>) -> Value {
    json!({
        "defaults": defaults,
        "operators": [{ "hash": hash_key(OPERATOR) }],
        "accounts": {
            "kestrel": {
                "keys": [{ "hash": hash_key(KESTREL) }],
                "agents": {
                    "minutes": { "models": [MODEL], "services": ["records"] },
                    "minutes-plain": {
                        "models": [MODEL], "policy": { "routing": "round_robin" },
                    },
                },
            },
            "jordan": {
                "keys": [{ "hash": hash_key(JORDAN) }],
                "agents": {
                    "valuation": { "models": [MODEL], "services": ["orders"] },
                },
            },
        },
        "backends": backends,
    })
}

/// A user's message.
pub fn user(content: &str) -> Value {
    json!({ "role": "user", "content": content })
}

/// The body of a model call.
pub fn chat(messages: &[Value]) -> Value {
    json!({ "model": MODEL, "messages": messages })
}

/// The text of a whole answer.
pub fn text_of(answer: &Value) -> String {
    let content = answer["choices"][0]["message"]["content"].as_str();
    content.unwrap_or_default().to_owned()
}
