//! Who owns which slot, at which epoch, with which keepers.
//!
//! Programs hash into slots; the key-value service holds the map of slots in
//! [`map::SHARDS`] values, each changed by compare-and-swap only when an owner
//! changes. A call costs the service nothing. The epoch of a slot rises with
//! every change of owner, and keepers refuse lower epochs, so correctness never
//! rests on a lease or a clock.
//!
//! - [`map`]: the map's values and the view each process has of it.
//! - [`assign`]: gives slots without a live owner to one.

pub mod assign;
pub mod map;
