//! Polls backend servers: one task for each engine, and one for the platform's
//! instance list.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use gradedyke_backend::Engine;
use gradedyke_base::id;
use gradedyke_platform::instances::{List, State};
use tokio_util::sync::CancellationToken;

use super::Owner;
use crate::routing::fleet::ServerKey;

/// Interval between reads of an engine's load and cache events.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between reads of an engine's pins, in rounds of
/// [`LOAD_POLL_INTERVAL`]. The list is long and only serves to find pins that an
/// earlier owner left behind, so it is read rarely.
const ROUNDS_PER_PIN_CHECK: u32 = 40;
/// Interval between reads of the instance list.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Name of the service under which the platform lists backend servers.
const BACKEND_SERVICE: &str = "backends";

/// Runs a polling task for each engine in the current settings until the process
/// stops.
pub(super) async fn run(owner: Arc<Owner>, instance_list: Option<Arc<dyn List>>) {
    if let Some(instance_list) = instance_list {
        tokio::spawn(watch_instance_list(owner.clone(), instance_list));
    }
    let mut revision = owner.active_settings.subscribe();
    let mut polling_tasks: HashMap<ServerKey, CancellationToken> = HashMap::new();
    loop {
        revision.borrow_and_update();
        owner.fleet.update(&owner.active_settings.get().tree);
        let engines = owner.fleet.all_engines();
        polling_tasks.retain(|key, stop| {
            let is_configured = engines.iter().any(|(k, ..)| k == key);
            if !is_configured {
                stop.cancel();
            }
            is_configured
        });
        for (key, id, engine) in engines {
            polling_tasks.entry(key).or_insert_with(|| {
                let stop = owner.stop.child_token();
                tokio::spawn(poll(owner.clone(), key, id, engine, stop.clone()));
                stop
            });
        }
        tokio::select! {
            changed = revision.changed() => if changed.is_err() { return },
            () = owner.stop.cancelled() => return,
        }
    }
}

async fn poll(
    owner: Arc<Owner>,
    key: ServerKey,
    id: id::Backend,
    engine: Arc<dyn Engine>,
    stop: CancellationToken,
) {
    let mut round = 0;
    loop {
        tokio::select! {
            () = tokio::time::sleep(LOAD_POLL_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        match engine.load().await {
            Ok(load) => owner.fleet.set_load(key, load),
            Err(error) => {
                tracing::debug!(event = "load_not_read", backend = %id, %error);
                continue;
            }
        }
        if let Ok(events) = engine.cache_events(owner.fleet.last_event(key)).await {
            owner.fleet.apply_cache_events(key, &events);
        }
        round += 1;
        if round % ROUNDS_PER_PIN_CHECK == 0 {
            release_stale_pins(&owner, &id, &*engine).await;
        }
    }
}

/// Releases the pins of an engine for programs of this owner that have ended,
/// including pins of an earlier owner that died before it released them.
async fn release_stale_pins(owner: &Owner, id: &id::Backend, engine: &dyn Engine) {
    let Ok(pins) = engine.pins().await else {
        return;
    };
    let holders: BTreeSet<_> = pins.into_iter().map(|pin| pin.holder).collect();
    for holder in holders
        .iter()
        .filter(|holder| owner.can_release_pins(holder))
    {
        match engine.release(holder).await {
            Ok(()) => tracing::info!(event = "memory_released", backend = %id, program = %holder),
            Err(error) => {
                tracing::warn!(event = "release_failed", backend = %id, program = %holder, %error);
            }
        }
    }
}

async fn watch_instance_list(owner: Arc<Owner>, instance_list: Arc<dyn List>) {
    loop {
        match instance_list.list(BACKEND_SERVICE).await {
            Ok(list) => {
                let leaving = list.into_iter().filter(|i| i.state == State::Leaving);
                owner.fleet.set_leaving(&leaving.map(|i| i.id).collect());
            }
            Err(error) => tracing::warn!(event = "instance_list_not_read", %error),
        }
        tokio::select! {
            () = tokio::time::sleep(LIST_POLL_INTERVAL) => {}
            () = owner.stop.cancelled() => return,
        }
    }
}
