//! The owner role: orders the calls of the programs it owns, keeps their history
//! and budget, and routes and dispatches calls to backend servers.
//!
//! Each slot that the slot map assigns to this process becomes a
//! [`holding::ServedSlot`], recovered from the journal; each tree of programs in
//! it is a [`session::Session`]. A call runs in its own task (see `run`) and
//! outlives the connection it arrived on, so a caller can fetch the rest of the
//! answer through any entry.

pub mod accept;
pub mod answer;
mod attempt;
mod chat;
pub mod holding;
mod poll;
pub mod rpc;
mod run;
pub mod session;
mod sweep;
mod takeover;
mod tool;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use gradedyke_base::id::{self, Slot};
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_base::settings::instance::Role;
use gradedyke_journal::Journal;
use gradedyke_platform::kv::KeyValue;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::current::Current;
use crate::kernel::{self, Kernel, Mounts};
use crate::membership::Members;
use crate::ownership::map::Map;
use crate::routing::fleet::Fleet;
use crate::routing::{self, Policy};
use holding::ServedSlot;

/// Retry delay suggested to callers while a slot changes its owner.
const MOVING_RETRY_AFTER: std::time::Duration = std::time::Duration::from_millis(200);

/// The owner role of one process.
pub struct Owner {
    id: id::Instance,
    kv: Arc<dyn KeyValue>,
    members: Arc<Members>,
    slot_map: Arc<Map>,
    active_settings: Arc<Current>,
    fleet: Arc<Fleet>,
    policies: BTreeMap<&'static str, Arc<dyn Policy>>,
    journal: Arc<Journal>,
    served_slots: Mutex<HashMap<Slot, Arc<ServedSlot>>>,
    /// Number of slots served; a planned stop waits until it is 0.
    served_count: watch::Sender<usize>,
    draining: CancellationToken,
    stop: CancellationToken,
    tasks: TaskTracker,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Owner {
    /// Creates the owner role on the services of `kernel`.
    pub fn new(kernel: &Kernel) -> Arc<Self> {
        Arc::new(Self {
            id: kernel.settings.id.clone(),
            kv: kernel.kv.clone(),
            members: kernel.members.clone(),
            slot_map: kernel.slot_map.clone(),
            active_settings: kernel.active_settings.clone(),
            fleet: Arc::new(Fleet::new(&kernel.settings.data_centre)),
            policies: routing::policies(),
            journal: kernel.journal.clone(),
            served_slots: Mutex::default(),
            served_count: watch::Sender::new(0),
            draining: kernel.draining.clone(),
            stop: kernel.stop.clone(),
            tasks: TaskTracker::new(),
        })
    }

    /// Starts the background tasks of the role.
    pub fn start(self: &Arc<Self>, kernel: &Kernel) {
        let assigner = crate::ownership::assign::Assigner::new(
            self.kv.clone(),
            self.members.clone(),
            self.slot_map.clone(),
            kernel.settings.copies,
        );
        tokio::spawn(assigner.run(self.stop.clone()));
        tokio::spawn(takeover::run(self.clone()));
        tokio::spawn(sweep::run(self.clone()));
        tokio::spawn(poll::run(self.clone(), kernel.instance_list.clone()));
    }

    /// Returns a slot that is served here.
    ///
    /// # Errors
    ///
    /// `moving` when the slot is not served here, or no longer.
    pub fn served_slot(&self, slot: Slot) -> Result<Arc<ServedSlot>, Problem> {
        let served_slot = lock(&self.served_slots).get(&slot).cloned();
        served_slot
            .filter(|slot| !slot.stop.is_cancelled())
            .ok_or_else(slot_moving)
    }

    fn all_served_slots(&self) -> Vec<Arc<ServedSlot>> {
        lock(&self.served_slots).values().cloned().collect()
    }

    /// Returns the number of slots served here.
    pub fn slot_count(&self) -> usize {
        lock(&self.served_slots).len()
    }

    /// Waits until every slot has been handed over and every call has ended.
    pub async fn wait_until_drained(&self) {
        let mut counts = self.served_count.subscribe();
        let all_gone = counts.wait_for(|slots| *slots == 0);
        if all_gone.await.is_ok() {
            tracing::info!(event = "slots_gone", instance = %self.id);
            self.tasks.close();
            self.tasks.wait().await;
        }
    }
}

/// Returns the error for a slot whose owner is changing.
pub fn slot_moving() -> Problem {
    let message = "the program's owner is changing; send the request again with the same id";
    Problem::new(Kind::Moving, message).with_retry_after(MOVING_RETRY_AFTER)
}

inventory::submit! {
    kernel::Plugin {
        role: Role::Owner,
        mount: |kernel: &Arc<Kernel>, mounts: &mut Mounts| {
            let owner = Owner::new(kernel);
            owner.start(kernel);
            mounts.add_rpc_methods(rpc::methods(owner.clone()))?;
            mounts.set_call_handler(Arc::new(accept::CallHandler::new(owner.clone())));
            mounts.on_drain(move || {
                let owner = owner.clone();
                Box::pin(async move { owner.wait_until_drained().await })
            });
            Ok(())
        },
    }
}
