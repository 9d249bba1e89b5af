//! Parses JSON with comments into typed settings; errors have line and path.
//!
//! The text is first deserialized into typed values. If a type error occurs, the text is
//! parsed again into a syntax tree, to find the line that belongs to the error's
//! path.

use std::fmt;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;

/// An error in settings: its location, what is wrong and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// The file name, as the operator gave it.
    pub file: String,
    /// The line in the file, counted from 1.
    pub line: usize,
    /// The path of the setting, such as `accounts.kestrel.keys[0]`.
    pub path: String,
    /// What is wrong and how to correct it.
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

/// The text of a settings file, which is needed to find the lines of errors.
#[derive(Debug)]
pub struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl<'a> Source<'a> {
    /// Creates a source from `text`, the content of `file`.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }

    /// Parses the text into typed settings.
    ///
    /// # Errors
    ///
    /// Returns the first error of syntax or type.
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
            .map_err(|e| self.syntax_error(&e))?;
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path = e.path().to_string();
            self.error(&path, &with_remedy(&e.into_inner().to_string()))
        })
    }

    /// Returns an error for the setting at `path`.
    pub fn error(&self, path: &str, message: &str) -> Error {
        Error {
            file: self.file.to_owned(),
            line: self.line_of(path),
            path: if path.is_empty() { "." } else { path }.to_owned(),
            message: message.to_owned(),
        }
    }

    fn syntax_error(&self, error: &jsonc_parser::errors::ParseError) -> Error {
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
        let preceding = &self.text.as_bytes()[..offset.min(self.text.len())];
        1 + preceding.iter().filter(|b| **b == b'\n').count()
    }

    /// Returns the line of the setting at `path`, or of its deepest ancestor in the text.
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
        for segment in segments(path) {
            let Some((start, next)) = find_child(node, &segment) else {
                break;
            };
            offset = start;
            node = next;
        }
        self.line_at(offset)
    }
}

/// Splits a path like `a.b[2].c` into keys and array indexes.
fn segments(path: &str) -> Vec<String> {
    path.replace('[', ".")
        .replace(']', "")
        .split('.')
        .filter(|segment| !segment.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Returns the offset and the value of a member of an object or array.
fn find_child<'a, 'b>(
    node: &'b ast::Value<'a>,
    segment: &str,
) -> Option<(usize, &'b ast::Value<'a>)> {
    match node {
        ast::Value::Object(object) => {
            let property = object
                .properties
                .iter()
                .find(|p| p.name.as_str() == segment)?;
            Some((property.start(), &property.value))
        }
        ast::Value::Array(array) => {
            let value = array.elements.get(segment.parse::<usize>().ok()?)?;
            Some((value.start(), value))
        }
        _ => None,
    }
}

/// Appends to an error message of serde how to correct the settings.
fn with_remedy(message: &str) -> String {
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
