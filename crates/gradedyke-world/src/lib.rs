//! A whole deployment in one process, on loopback ports: stand-in servers for the
//! platform, engines and services, and instances with every role. Used by the demo,
//! tests and the load tool.

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

/// API key of the operator.
pub const OPERATOR_KEY: &str = "demo-operator";
/// API key of the client account Kestrel Minutes.
pub const KESTREL_KEY: &str = "demo-kestrel";
/// API key of the client account Jordan.
pub const JORDAN_KEY: &str = "demo-jordan";
/// The model that the programs of both client accounts call.
pub const MODEL_NAME: &str = "demo-7b";
/// Timeout of a caller's request.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Configuration of a [`Deployment`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of instances, each with every role.
    pub instances: usize,
    /// Configurations of the stand-in engines, one per engine.
    pub engines: Vec<engine::Config>,
    /// Duration of the instances' leases, in milliseconds.
    pub lease_ms: u64,
    /// The value of `limits` in the instances' settings.
    pub limits: Value,
    /// The value of `defaults` in the settings tree.
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

/// A running deployment: stand-in servers and instances.
pub struct Deployment {
    /// The stand-in platform.
    pub platform: Arc<Platform>,
    /// The address of the platform.
    pub platform_address: SocketAddr,
    /// The instances; `None` for one that was removed.
    pub processes: Vec<Option<Process>>,
    /// The stand-in engines.
    pub engines: Vec<Arc<Engine>>,
    /// The stand-in service `records`, used by Kestrel Minutes.
    pub records: Service,
    /// The stand-in service `orders`, used by Jordan.
    pub orders: Service,
    /// The settings tree that [`Deployment::apply_settings`] applies.
    pub tree: Value,
    config: Config,
    stop: CancellationToken,
}

/// Returns the IPv4 loopback address with port 0, so that a free port is selected.
pub fn loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Deployment {
    /// Starts only the stand-in servers, and builds a settings tree that lists them.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound.
    pub async fn start_stand_ins(config: Config) -> eyre::Result<Self> {
        let stop = CancellationToken::new();
        let platform = Platform::start();
        let handler = Arc::new(platform::PlatformHandler(platform.clone()));
        let platform_address = gradedyke_standin::serve(handler, loopback_address(), &stop).await?;
        let mut engines = Vec::new();
        let mut backends = BTreeMap::new();
        for (number, settings) in config.engines.iter().enumerate() {
            let engine = Engine::start(settings.clone());
            let handler = Arc::new(engine::EngineHandler(engine.clone()));
            let address = gradedyke_standin::serve(handler, loopback_address(), &stop).await?;
            let settings = json!({
                "kind": "engine", "address": address, "data_centre": data_centre(number),
                "models": [MODEL_NAME], "checks_fencing": settings.checks_fencing,
            });
            backends.insert(format!("engine-{}", number + 1), settings);
            engines.push(engine);
        }
        let records = Service::default();
        let orders = Service::default();
        for (name, service) in [("records", &records), ("orders", &orders)] {
            let handler = Arc::new(service.clone());
            let address = gradedyke_standin::serve(handler, loopback_address(), &stop).await?;
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
            tree: settings_tree(&config.defaults, &backends),
            config,
            stop,
        })
    }

    /// Starts everything and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound or the settings can't be applied.
    pub async fn start(config: Config) -> eyre::Result<Self> {
        let instances = config.instances;
        let mut deployment = Self::start_stand_ins(config).await?;
        for _ in 0..instances {
            deployment.add_instance().await?;
        }
        deployment.apply_settings().await?;
        for process in deployment.processes.iter().flatten() {
            process.wait_ready().await;
        }
        Ok(deployment)
    }

    /// Starts another instance.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound.
    pub async fn add_instance(&mut self) -> eyre::Result<()> {
        let settings = self.instance_settings(self.processes.len())?;
        let process = Process::start(settings).await;
        let process = process.wrap_err("failed to start an instance")?;
        self.processes.push(Some(process));
        Ok(())
    }

    /// Returns the settings of instance `number`, counted from 0.
    ///
    /// # Errors
    ///
    /// Fails if the configuration has invalid limits.
    pub fn instance_settings(&self, number: usize) -> eyre::Result<Instance> {
        let settings = json!({
            "id": format!("demo-{}", number + 1),
            "deployment": "demo",
            "data_centre": data_centre(number),
            "roles": ["entry", "owner", "keeper", "admin"],
            "listen": { "caller": loopback_address(), "peer": loopback_address(), "admin": loopback_address() },
            "platform": { "key_value": [self.platform_address] },
            "copies": self.config.instances.clamp(1, 3),
            "lease_ms": self.config.lease_ms,
            "limits": self.config.limits,
            "operator_hash": hash_key(OPERATOR_KEY),
        });
        Ok(Instance::read("world", &settings.to_string())?)
    }

    /// Applies the settings tree and waits until all instances use it; returns its revision.
    ///
    /// # Errors
    ///
    /// Fails if the tree is invalid or the platform rejects it.
    pub async fn apply_settings(&self) -> eyre::Result<u64> {
        let process = self.processes.iter().flatten().next();
        let kv = &process.ok_or_eyre("no instance is running")?.kernel().kv;
        let tree = check::read("world", &self.tree.to_string());
        let tree = tree.map_err(|errors| eyre::eyre!("{errors:?}"))?;
        let (active, _) = current::read(&**kv).await?;
        let applied = current::apply(&**kv, tree, active.revision).await?;
        for process in self.processes.iter().flatten() {
            let mut revision = process.kernel().active_settings.subscribe();
            revision.wait_for(|r| *r >= applied.revision).await?;
        }
        Ok(applied.revision)
    }

    /// Returns the caller address of running instance `number`, modulo their number.
    pub fn entry_address(&self, number: usize) -> SocketAddr {
        let running: Vec<_> = self.processes.iter().flatten().collect();
        let process = running[number % running.len()];
        process.addresses().caller.unwrap_or_else(loopback_address)
    }

    /// Creates a caller of the client account Kestrel Minutes.
    pub fn kestrel_caller(&self) -> Caller {
        Caller::new(KESTREL_KEY, CALL_TIMEOUT)
    }

    /// Creates a caller of the client account Jordan.
    pub fn jordan_caller(&self) -> Caller {
        Caller::new(JORDAN_KEY, CALL_TIMEOUT)
    }

    /// Waits until no engine has pins of any program.
    pub async fn wait_until_released(&self) {
        for engine in &self.engines {
            engine.wait_until(|e| e.pins().is_empty()).await;
        }
    }

    /// Stops everything. All instances are killed concurrently, so that none takes over
    /// slots of another.
    pub async fn stop(self) {
        let processes = self.processes.into_iter().flatten();
        let kills: Vec<_> = processes.map(|p| tokio::spawn(p.kill())).collect();
        for kill in kills {
            // A task that failed has ended, too.
            let _ = kill.await;
        }
        self.stop.cancel();
    }
}

/// Returns the data centre of instance or engine `number`; there are three.
fn data_centre(number: usize) -> String {
    format!("demo-{}", number % 3 + 1)
}

fn settings_tree(defaults: &Value, backends: &BTreeMap<String, Value>) -> Value {
    json!({
        "defaults": defaults,
        "operators": [{ "hash": hash_key(OPERATOR_KEY) }],
        "accounts": {
            "kestrel": {
                "keys": [{ "hash": hash_key(KESTREL_KEY) }],
                "agents": {
                    "minutes": { "models": [MODEL_NAME], "services": ["records"] },
                    "minutes-plain": {
                        "models": [MODEL_NAME], "policy": { "routing": "round_robin" },
                    },
                },
            },
            "jordan": {
                "keys": [{ "hash": hash_key(JORDAN_KEY) }],
                "agents": {
                    "valuation": { "models": [MODEL_NAME], "services": ["orders"] },
                },
            },
        },
        "backends": backends,
    })
}

/// Returns a chat message with the role `user`.
pub fn user_message(content: &str) -> Value {
    json!({ "role": "user", "content": content })
}

/// Returns the body of a model call.
pub fn chat_body(messages: &[Value]) -> Value {
    json!({ "model": MODEL_NAME, "messages": messages })
}

/// Returns the text of a complete response.
pub fn response_text(response: &Value) -> String {
    let content = response["choices"][0]["message"]["content"].as_str();
    content.unwrap_or_default().to_owned()
}
