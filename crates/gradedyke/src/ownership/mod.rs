//! The owner, epoch and keepers of each slot.
//!
//! Programs hash into slots. The key-value service stores the slot map in
//! [`map::SHARDS`] values, which are changed by compare-and-swap and only when an
//! owner changes; calls don't access the service. The epoch of a slot rises with
//! every change of owner, and keepers reject lower epochs, so correctness does not
//! depend on leases or clocks.
//!
//! - [`map`]: the slot map and the local view of it.
//! - [`assign`]: assigns slots without a live owner to a live one.

pub mod assign;
pub mod map;
