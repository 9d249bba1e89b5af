//! Settings in JSON with comments.
//!
//! There are two kinds of file. [`instance::Instance`] tells one process who it
//! is, where it listens and where the platform is; it is read once at start.
//! [`tree::Tree`] is what operators share: client accounts, their agent
//! programs and the backend servers. It lives in the key-value service under a
//! rising revision and is never read from a file by a running process, because
//! a file may be older than what is already in force.
//!
//! Unknown keys are refused. Every error names the file, the line, the path in
//! the tree and the remedy.

pub mod check;
pub mod instance;
pub mod parse;
pub mod tree;

pub use parse::Error;
