//! Checks a tree as a whole: references, ranges, names and keys.

use super::parse::{Error, Source};
use super::tree::{Backend, Policy, Tree};
use crate::id;

/// A fault in a tree: the path to it, and what to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The path in the tree.
    pub path: String,
    /// What is wrong and how to mend it.
    pub message: String,
}

/// Length of a key's hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// Reads the tree in `text`, which came from `file`, and checks it whole.
///
/// # Errors
///
/// All faults found, in the order of the tree; a fault of syntax or type hides
/// the others.
///
/// ```
/// use gradedyke_base::settings::check;
///
/// let faults = check::read("t.jsonc", "{\n \"acounts\": {} }").unwrap_err();
/// assert_eq!(faults[0].line, 2);
/// ```
pub fn read(file: &str, text: &str) -> Result<Tree, Vec<Error>> {
    read_with(file, text, |_| Vec::new())
}

/// Reads and checks a tree as [`read`] does, and adds the faults that `more`
/// finds, such as names that only a higher layer knows.
///
/// # Errors
///
/// All faults found.
pub fn read_with(
    file: &str,
    text: &str,
    more: impl Fn(&Tree) -> Vec<Fault>,
) -> Result<Tree, Vec<Error>> {
    let source = Source::new(file, text);
    let tree: Tree = source.read().map_err(|e| vec![e])?;
    let mut faults = faults(&tree);
    faults.extend(more(&tree));
    if faults.is_empty() {
        return Ok(tree);
    }
    let place = |fault: Fault| source.error(&fault.path, &fault.message);
    Err(faults.into_iter().map(place).collect())
}

/// All faults of `tree`.
pub fn faults(tree: &Tree) -> Vec<Fault> {
    let mut faults = Faults::default();
    faults.policy("defaults", &tree.defaults);
    faults.keys("operators", &tree.operators);
    for (name, account) in &tree.accounts {
        let path = format!("accounts.{name}");
        faults.name(&path, name);
        faults.keys(&format!("{path}.keys"), &account.keys);
        faults.policy(&format!("{path}.policy"), &account.policy);
        if account.concurrent == 0 {
            let path = format!("{path}.concurrent");
            faults.add(&path, "0 lets nothing run; use 1 or more");
        }
        for (agent_name, agent) in &account.agents {
            let path = format!("{path}.agents.{agent_name}");
            faults.policy(&format!("{path}.policy"), &agent.policy);
            faults.references(&path, tree, &agent.models, &agent.services);
        }
    }
    for (name, backend) in &tree.backends {
        let path = format!("backends.{name}");
        faults.name(&path, name);
        if matches!(backend, Backend::Engine { models, .. } if models.is_empty()) {
            faults.add(&path, "serves no model; name at least one in models");
        }
    }
    for data_centre in &tree.evacuated {
        if !tree.has_data_centre(data_centre) {
            let message =
                format!("no backend server stands in {data_centre}; correct the name or drop it");
            faults.add("evacuated", &message);
        }
    }
    faults.shared_keys(tree);
    faults.0
}

#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn add(&mut self, path: &str, message: &str) {
        self.0.push(Fault {
            path: path.to_owned(),
            message: message.to_owned(),
        });
    }

    fn name(&mut self, path: &str, name: &str) {
        if id::Account::parse(name).is_err() {
            self.add(path, "not a usable name; use letters, digits and - _ . :");
        }
    }

    fn keys(&mut self, path: &str, keys: &[super::tree::Key]) {
        for (i, key) in keys.iter().enumerate() {
            let digits = key.hash.bytes().all(|b| b.is_ascii_hexdigit());
            if key.hash.len() != HASH_DIGITS || !digits {
                let message = "not a BLAKE3 hash; put in what `gradedyke key` prints";
                self.add(&format!("{path}[{i}].hash"), message);
            }
        }
    }

    fn policy(&mut self, path: &str, policy: &Policy) {
        let zero = [
            ("budget_tokens", policy.budget_tokens),
            ("max_tokens", policy.max_tokens),
            ("max_turns", policy.max_turns.map(u64::from)),
            ("idle_ms", policy.idle_ms),
            ("call_ms", policy.call_ms),
        ];
        for (key, value) in zero {
            if value == Some(0) {
                let message = "0 lets nothing run; use 1 or more, or leave it out to inherit";
                self.add(&format!("{path}.{key}"), message);
            }
        }
    }

    fn references(&mut self, path: &str, tree: &Tree, models: &[String], services: &[String]) {
        for (i, model) in models.iter().enumerate() {
            if !tree.backends.values().any(|b| serves_model(b, model)) {
                let message =
                    format!("no backend server serves model {model}; add one or correct the name");
                self.add(&format!("{path}.models[{i}]"), &message);
            }
        }
        for (i, service) in services.iter().enumerate() {
            if !tree.backends.values().any(|b| offers_service(b, service)) {
                let message =
                    format!("no backend server offers {service}; add one or correct the name");
                self.add(&format!("{path}.services[{i}]"), &message);
            }
        }
    }

    /// A key that two client accounts share would let one act as the other.
    fn shared_keys(&mut self, tree: &Tree) {
        let mut seen = std::collections::BTreeMap::new();
        for (name, account) in &tree.accounts {
            for (i, key) in account.keys.iter().enumerate() {
                let first = *seen.entry(&key.hash).or_insert(name);
                if first != name {
                    let message = "this key is another client account's too; issue a new one";
                    self.add(&format!("accounts.{name}.keys[{i}].hash"), message);
                }
            }
        }
    }
}

/// Whether `backend` is an engine that serves `model`.
pub fn serves_model(backend: &Backend, model: &str) -> bool {
    matches!(backend, Backend::Engine { models, .. } if models.iter().any(|m| m == model))
}

/// Whether `backend` is a plain service known as `service`.
pub fn offers_service(backend: &Backend, service: &str) -> bool {
    matches!(backend, Backend::Service { service: name, .. } if name == service)
}
