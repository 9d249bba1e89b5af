//! Reads JSON with comments into typed settings, with errors that tell where.
//!
//! The text is parsed twice: once into a syntax tree, which knows lines, and
//! once into values, which know types. The path of a type error is then looked
//! up in the syntax tree. Settings files are small, so the second pass costs
//! nothing worth saving.

use std::fmt;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;

/// A settings error: where, what and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// The file, as the operator named it.
    pub file: String,
    /// The line in the file, from 1.
    pub line: usize,
    /// The path in the tree, such as `accounts.kestrel.keys[0]`.
    pub path: String,
    /// What is wrong and how to mend it.
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            path,
            message,
        } = self;
        write!(f, "{file}:{line}: at {path}: {message}")
    }
}

/// A settings text that parsed, with what is needed to place later errors.
#[derive(Debug)]
pub struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl<'a> Source<'a> {
    /// A source from the text of `file`.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }

    /// Reads typed settings from the text.
    ///
    /// # Errors
    ///
    /// The first fault of syntax or of type, placed by line and path.
    ///
    /// ```
    /// use gradedyke_base::settings::parse::Source;
    ///
    /// let source = Source::new("a.jsonc", "{\n  // a comment\n  \"x\": 1 }");
    /// let value: std::collections::BTreeMap<String, u8> = source.read().unwrap();
    /// assert_eq!(value["x"], 1);
    /// ```
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let options = ParseOptions::default();
        let value = parse_to_serde_value::<serde_json::Value>(self.text, &options)
            .map_err(|e| self.syntax(&e))?;
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path = e.path().to_string();
            self.error(&path, &remedy(&e.into_inner().to_string()))
        })
    }

    /// An error at `path` in this source.
    pub fn error(&self, path: &str, message: &str) -> Error {
        Error {
            file: self.file.to_owned(),
            line: self.line_of(path),
            path: if path.is_empty() { "." } else { path }.to_owned(),
            message: message.to_owned(),
        }
    }

    fn syntax(&self, error: &jsonc_parser::errors::ParseError) -> Error {
        Error {
            file: self.file.to_owned(),
            line: self.line_at(error.range().start),
            path: ".".to_owned(),
            message: format!(
                "{}; correct the syntax (JSON, with // and /* */ comments)",
                error.kind()
            ),
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        let head = &self.text.as_bytes()[..offset.min(self.text.len())];
        1 + head.iter().filter(|b| **b == b'\n').count()
    }

    /// The line of the deepest node on `path` that stands in the text.
    fn line_of(&self, path: &str) -> usize {
        let options = (CollectOptions::default(), ParseOptions::default());
        let Ok(parsed) = parse_to_ast(self.text, &options.0, &options.1) else {
            return 1;
        };
        let Some(root) = parsed.value else {
            return 1;
        };
        let mut offset = root.start();
        let mut node = &root;
        for step in steps(path) {
            let Some((start, next)) = descend(node, &step) else {
                break;
            };
            offset = start;
            node = next;
        }
        self.line_at(offset)
    }
}

/// Splits `a.b[2].c` into its steps.
fn steps(path: &str) -> Vec<String> {
    path.replace('[', ".")
        .replace(']', "")
        .split('.')
        .filter(|step| !step.is_empty())
        .map(str::to_owned)
        .collect()
}

fn descend<'a, 'b>(node: &'b ast::Value<'a>, step: &str) -> Option<(usize, &'b ast::Value<'a>)> {
    match node {
        ast::Value::Object(object) => {
            let property = object.properties.iter().find(|p| p.name.as_str() == step)?;
            Some((property.start(), &property.value))
        }
        ast::Value::Array(array) => {
            let value = array.elements.get(step.parse::<usize>().ok()?)?;
            Some((value.start(), value))
        }
        _ => None,
    }
}

/// Adds the remedy to a message of serde's.
fn remedy(message: &str) -> String {
    let remedy = if message.starts_with("unknown field") {
        "remove it or correct its name"
    } else if message.starts_with("missing field") {
        "add it"
    } else if message.starts_with("unknown variant") {
        "use one of those named"
    } else {
        "give a value of the expected type"
    };
    format!("{message}; {remedy}")
}
