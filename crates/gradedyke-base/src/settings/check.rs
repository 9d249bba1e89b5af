//! Validates a settings tree: references, ranges, names and keys.

use super::parse::{Error, Source};
use super::tree::{Backend, Policy, Tree};
use crate::id;

/// An invalid setting in a tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The path of the setting.
    pub path: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

/// Length of a key's hash, in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// Parses and validates the tree in `text`, the content of `file`.
///
/// # Errors
///
/// Returns all errors found. After an error of syntax or type, nothing else is
/// validated.
///
/// ```
/// use gradedyke_base::settings::check;
///
/// let errors = check::read("t.jsonc", "{\n \"acounts\": {} }").unwrap_err();
/// assert_eq!(errors[0].line, 2);
/// ```
pub fn read(file: &str, text: &str) -> Result<Tree, Vec<Error>> {
    read_with_checks(file, text, |_| Vec::new())
}

/// Parses and validates a tree like [`read`], and also runs `extra_checks`, for
/// settings that only a higher layer can validate, such as names of routing policies.
///
/// # Errors
///
/// Returns all errors found.
pub fn read_with_checks(
    file: &str,
    text: &str,
    extra_checks: impl Fn(&Tree) -> Vec<Violation>,
) -> Result<Tree, Vec<Error>> {
    let source = Source::new(file, text);
    let tree: Tree = source.read().map_err(|e| vec![e])?;
    let mut violations = violations(&tree);
    violations.extend(extra_checks(&tree));
    if violations.is_empty() {
        return Ok(tree);
    }
    let to_error = |violation: Violation| source.error(&violation.path, &violation.message);
    Err(violations.into_iter().map(to_error).collect())
}

/// Returns all invalid settings of `tree`.
pub fn violations(tree: &Tree) -> Vec<Violation> {
    let mut violations = Violations::default();
    violations.check_policy("defaults", &tree.defaults);
    violations.check_keys("operators", &tree.operators);
    for (name, account) in &tree.accounts {
        let path = format!("accounts.{name}");
        violations.check_name(&path, name);
        violations.check_keys(&format!("{path}.keys"), &account.keys);
        violations.check_policy(&format!("{path}.policy"), &account.policy);
        if account.concurrent == 0 {
            let path = format!("{path}.concurrent");
            violations.add(&path, "0 lets nothing run; use 1 or more");
        }
        for (agent_name, agent) in &account.agents {
            let path = format!("{path}.agents.{agent_name}");
            violations.check_policy(&format!("{path}.policy"), &agent.policy);
            violations.check_references(&path, tree, &agent.models, &agent.services);
        }
    }
    for (name, backend) in &tree.backends {
        let path = format!("backends.{name}");
        violations.check_name(&path, name);
        if matches!(backend, Backend::Engine { models, .. } if models.is_empty()) {
            violations.add(&path, "serves no model; name at least one in models");
        }
    }
    for data_centre in &tree.evacuated {
        if !tree.has_data_centre(data_centre) {
            let message =
                format!("no backend server stands in {data_centre}; correct the name or drop it");
            violations.add("evacuated", &message);
        }
    }
    violations.check_shared_keys(tree);
    violations.0
}

#[derive(Default)]
struct Violations(Vec<Violation>);

impl Violations {
    fn add(&mut self, path: &str, message: &str) {
        self.0.push(Violation {
            path: path.to_owned(),
            message: message.to_owned(),
        });
    }

    fn check_name(&mut self, path: &str, name: &str) {
        if id::Account::parse(name).is_err() {
            self.add(path, "not a usable name; use letters, digits and - _ . :");
        }
    }

    fn check_keys(&mut self, path: &str, keys: &[super::tree::Key]) {
        for (i, key) in keys.iter().enumerate() {
            let is_hex = key.hash.bytes().all(|b| b.is_ascii_hexdigit());
            if key.hash.len() != HASH_DIGITS || !is_hex {
                let message = "not a BLAKE3 hash; put in what `gradedyke key` prints";
                self.add(&format!("{path}[{i}].hash"), message);
            }
        }
    }

    fn check_policy(&mut self, path: &str, policy: &Policy) {
        let limits = [
            ("budget_tokens", policy.budget_tokens),
            ("max_tokens", policy.max_tokens),
            ("max_turns", policy.max_turns.map(u64::from)),
            ("idle_ms", policy.idle_ms),
            ("call_ms", policy.call_ms),
        ];
        for (key, value) in limits {
            if value == Some(0) {
                let message = "0 lets nothing run; use 1 or more, or leave it out to inherit";
                self.add(&format!("{path}.{key}"), message);
            }
        }
    }

    fn check_references(
        &mut self,
        path: &str,
        tree: &Tree,
        models: &[String],
        services: &[String],
    ) {
        for (i, model) in models.iter().enumerate() {
            if !tree.backends.values().any(|b| serves_model(b, model)) {
                let message =
                    format!("no backend server serves model {model}; add one or correct the name");
                self.add(&format!("{path}.models[{i}]"), &message);
            }
        }
        for (i, service) in services.iter().enumerate() {
            if !tree.backends.values().any(|b| is_service_named(b, service)) {
                let message =
                    format!("no backend server offers {service}; add one or correct the name");
                self.add(&format!("{path}.services[{i}]"), &message);
            }
        }
    }

    /// Rejects keys that two client accounts share: one could act as the other.
    fn check_shared_keys(&mut self, tree: &Tree) {
        let mut seen = std::collections::BTreeMap::new();
        for (name, account) in &tree.accounts {
            for (i, key) in account.keys.iter().enumerate() {
                let first_account = *seen.entry(&key.hash).or_insert(name);
                if first_account != name {
                    let message = "this key is another client account's too; issue a new one";
                    self.add(&format!("accounts.{name}.keys[{i}].hash"), message);
                }
            }
        }
    }
}

/// Returns whether `backend` is an engine that serves `model`.
pub fn serves_model(backend: &Backend, model: &str) -> bool {
    matches!(backend, Backend::Engine { models, .. } if models.iter().any(|m| m == model))
}

/// Returns whether `backend` is a plain service with the name `service`.
pub fn is_service_named(backend: &Backend, service: &str) -> bool {
    matches!(backend, Backend::Service { service: name, .. } if name == service)
}
