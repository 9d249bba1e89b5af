//! The member processes of the system and the addresses on which they listen.
//!
//! Each process registers itself under a lease and watches the other
//! registrations. An expired lease does not prove that a process has stopped:
//! fencing is done by ownership epochs and not here. While the key-value service
//! is unavailable, the last view stays in use, because the members may be running
//! all the same.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_base::id;
use gradedyke_base::settings::instance::Role;
use gradedyke_platform::kv::{Error, Event, KeyValue, Lease, Outcome, Swap};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::watching;

/// Key prefix of the members' registrations.
pub const MEMBER_KEY_PREFIX: &str = "gradedyke/members/";
/// Delay before a failed registration is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of times that a lease is renewed within its time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// A member process of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance's name.
    pub id: id::Instance,
    /// The data centre of the instance.
    pub data_centre: String,
    /// The roles that it runs.
    pub roles: Vec<Role>,
    /// Address of the listener for peers.
    pub peer: SocketAddr,
    /// Address of the listener for operators.
    pub admin: SocketAddr,
    /// Address of the listener for callers, if it runs an entry.
    pub caller: Option<SocketAddr>,
    /// Whether it has a data folder, in which its keeper stores the journal on
    /// disk.
    pub disk: bool,
    /// The identity of its keeper's journal store, if it runs a keeper.
    pub store: Option<String>,
    /// Whether it is draining.
    pub draining: bool,
}

impl Member {
    /// Returns the name of the keeper on this instance, if it runs one.
    pub fn keeper(&self) -> Option<id::Keeper> {
        let store = self.store.as_deref()?;
        Some(id::Keeper::new(&self.id, store))
    }

    /// Whether the process runs `role`.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

/// All known members by instance.
pub type View = Arc<BTreeMap<id::Instance, Member>>;

/// The members that this process knows, and its own registration.
#[derive(Debug)]
pub struct Members {
    view: watch::Sender<View>,
    own: watch::Sender<Member>,
}

impl Members {
    /// Creates an empty view for the process `own`.
    pub fn new(own: Member) -> Arc<Self> {
        Arc::new(Self {
            view: watch::Sender::new(View::default()),
            own: watch::Sender::new(own),
        })
    }

    /// Returns this process's own member record.
    pub fn own(&self) -> Member {
        self.own.borrow().clone()
    }

    /// Returns the current view.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Returns a receiver of the view.
    pub fn subscribe(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    /// Returns the member on an instance.
    pub fn get(&self, instance: &id::Instance) -> Option<Member> {
        self.view.borrow().get(instance).cloned()
    }

    /// Announces the identity of the store in which this process keeps the
    /// journal.
    pub fn set_store(&self, store: &str) {
        self.own
            .send_modify(|own| own.store = Some(store.to_owned()));
    }

    /// Announces that this process is draining.
    pub fn set_draining(&self) {
        self.own.send_modify(|own| own.draining = true);
    }

    /// Keeps this process registered until `stop` is cancelled, then unregisters
    /// it. `ttl` is the time to live of the lease.
    pub async fn register(
        self: Arc<Self>,
        kv: Arc<dyn KeyValue>,
        ttl: Duration,
        stop: CancellationToken,
    ) {
        let mut lease = None;
        let registering = async {
            loop {
                if let Err(error) = self.hold_registration(&*kv, ttl, &mut lease).await {
                    tracing::warn!(event = "registration_broken", %error);
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        };
        tokio::select! {
            () = registering => {}
            () = stop.cancelled() => {}
        }
        if let Some(lease) = lease {
            // If this fails, the lease expires by itself.
            let _ = kv.revoke_lease(lease).await;
        }
    }

    /// Obtains a lease, stores it in `current_lease`, registers under it, and
    /// renews it until that fails.
    async fn hold_registration(
        &self,
        kv: &dyn KeyValue,
        ttl: Duration,
        current_lease: &mut Option<Lease>,
    ) -> Result<(), Error> {
        let lease = kv.grant_lease(ttl).await?;
        *current_lease = Some(lease);
        let mut own = self.own.subscribe();
        loop {
            let member = own.borrow_and_update().clone();
            self.write_registration(kv, lease, &member).await?;
            loop {
                tokio::select! {
                    () = tokio::time::sleep(ttl / RENEWALS_PER_TTL) => self.renew(kv, lease).await?,
                    changed = own.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return Ok(()),
                    },
                }
            }
        }
    }

    /// Renews the lease. Fails only if the lease has expired; other failures are
    /// logged, because a later renewal may still succeed in time.
    async fn renew(&self, kv: &dyn KeyValue, lease: Lease) -> Result<(), Error> {
        match kv.renew_lease(lease).await {
            Err(Error::LeaseExpired) => Err(Error::LeaseExpired),
            Err(error) => {
                tracing::warn!(event = "lease_not_renewed", %error);
                Ok(())
            }
            Ok(()) => Ok(()),
        }
    }

    /// Writes this process's registration.
    async fn write_registration(
        &self,
        kv: &dyn KeyValue,
        lease: Lease,
        member: &Member,
    ) -> Result<(), Error> {
        let key = format!("{MEMBER_KEY_PREFIX}{}", member.id);
        let value = serde_json::to_vec(member).map_err(|e| Error::Refused(e.to_string()))?;
        let mut expected_revision = 0;
        loop {
            let swap = Swap {
                key: key.clone(),
                expected_revision,
                value: Some(value.clone()),
                lease: Some(lease),
            };
            // Only this instance writes this key, so an existing value is its
            // own earlier registration and can be replaced.
            match kv.swap(swap).await? {
                Outcome::Written(_) => return Ok(()),
                Outcome::Conflict(found) => expected_revision = found.map_or(0, |e| e.revision),
            }
        }
    }

    /// Watches the members until `stop` is cancelled.
    pub async fn follow(self: Arc<Self>, kv: Arc<dyn KeyValue>, stop: CancellationToken) {
        watching::run_until_stopped("members", stop, || self.watch(&*kv)).await;
    }

    /// Reads the members and applies changes until the watch fails.
    async fn watch(&self, kv: &dyn KeyValue) -> Result<(), Error> {
        let listing = kv.list(MEMBER_KEY_PREFIX).await?;
        let members = listing
            .entries
            .iter()
            .filter_map(|e| parse_member(&e.value));
        let view: BTreeMap<_, _> = members.map(|m| (m.id.clone(), m)).collect();
        self.set_view(view);
        let mut watch = kv.watch(MEMBER_KEY_PREFIX, listing.revision + 1).await?;
        loop {
            let events = watch.next().await?;
            let mut view = BTreeMap::clone(&self.view());
            for event in events {
                apply_event(&mut view, event);
            }
            self.set_view(view);
        }
    }

    /// Publishes a view if it differs from the current one.
    fn set_view(&self, view: BTreeMap<id::Instance, Member>) {
        self.view.send_if_modified(|current| {
            let changed = **current != view;
            if changed {
                *current = Arc::new(view);
            }
            changed
        });
    }
}

/// Decodes a registration. Returns `None` if it is invalid.
fn parse_member(value: &[u8]) -> Option<Member> {
    serde_json::from_slice(value).ok()
}

/// Applies a watch event to a view.
fn apply_event(view: &mut BTreeMap<id::Instance, Member>, event: Event) {
    match event {
        Event::Put(entry) => {
            if let Some(member) = parse_member(&entry.value) {
                view.insert(member.id.clone(), member);
            }
        }
        Event::Delete { key, .. } => {
            let name = key.strip_prefix(MEMBER_KEY_PREFIX).unwrap_or(&key);
            view.retain(|id, _| id.as_str() != name);
        }
    }
}
