//! Settings in JSON with comments.
//!
//! There are two kinds of settings. [`instance::Instance`] holds the settings of one
//! process: its identity, its addresses and those of the platform. It is read from a
//! file at start. [`tree::Tree`] holds the settings that all instances share: client
//! accounts, their agent programs and the backend servers. Running processes read it
//! from the key-value store only, where each change gets a higher revision, because a
//! file may be older than the active settings.
//!
//! Unknown keys are rejected. Each error has the file, the line, the path of the
//! setting and how to correct it.

pub mod check;
pub mod instance;
pub mod parse;
pub mod tree;

pub use parse::Error;
