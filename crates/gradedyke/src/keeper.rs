//! The keeper role: stores a replica of the journal, on disk if the instance has
//! a data folder and otherwise in memory.

use std::sync::Arc;

use gradedyke_base::settings::instance::Role;
use gradedyke_journal::rpc::{ApiServer, Service};
use gradedyke_journal::store::Store;

use crate::kernel::{Kernel, Mounts, Plugin};

inventory::submit! {
    Plugin {
        role: Role::Keeper,
        mount: |kernel: &Arc<Kernel>, mounts: &mut Mounts| {
            let store = match &kernel.settings.data_folder {
                Some(folder) => Store::open(folder)?,
                None => Store::in_memory()?,
            };
            let identity = store.identity().to_owned();
            let keeper = Arc::new(store);
            kernel.members.set_store(&identity);
            kernel.keepers.set_own(&identity, keeper.clone());
            mounts.add_rpc_methods(Service::new(keeper, &identity).into_rpc())
        },
    }
}
