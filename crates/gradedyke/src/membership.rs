//! Which processes of the system are there, and where they listen.
//!
//! Each process registers itself under a lease and watches the others. A lease
//! that lapsed is a sign, no proof: nothing here fences anybody, ownership
//! epochs do. While the key-value service is away the last view stays, because
//! losing sight of the service says nothing about the peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_base::id;
use gradedyke_base::settings::instance::Role;
use gradedyke_platform::kv::{Error, Event, KeyValue, Lease, Swap, Swapped};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::watching;

/// Where members register.
pub const PREFIX: &str = "gradedyke/members/";
/// Wait before a broken registration is made again.
const PAUSE: Duration = Duration::from_millis(200);
/// A lease is renewed this many times within its length.
const RENEWALS: u32 = 3;

/// A process of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub id: id::Instance,
    /// The data centre it stands in.
    pub data_centre: String,
    /// What it runs.
    pub roles: Vec<Role>,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// Where it listens for operators.
    pub admin: SocketAddr,
    /// Where it listens for callers, if it runs an entry.
    pub caller: Option<SocketAddr>,
    /// Whether what it keeps is on a disk.
    pub disk: bool,
    /// The identity of the store it keeps the journal in, if it does.
    pub store: Option<String>,
    /// Whether it is stopping as planned.
    pub draining: bool,
}

impl Member {
    /// The keeper on this instance, if it runs one.
    pub fn keeper(&self) -> Option<id::Keeper> {
        let store = self.store.as_deref()?;
        Some(id::Keeper::new(&self.id, store))
    }

    /// Whether the process runs `role`.
    pub fn runs(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

/// All members by instance.
pub type View = Arc<BTreeMap<id::Instance, Member>>;

/// The members as seen from this process.
#[derive(Debug)]
pub struct Members {
    view: watch::Sender<View>,
    own: watch::Sender<Member>,
}

impl Members {
    /// The view of `own`, which sees nobody yet.
    pub fn new(own: Member) -> Arc<Self> {
        Arc::new(Self {
            view: watch::Sender::new(View::default()),
            own: watch::Sender::new(own),
        })
    }

    /// This process.
    pub fn own(&self) -> Member {
        self.own.borrow().clone()
    }

    /// The present view.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Follows the view.
    pub fn subscribe(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    /// A member by its instance.
    pub fn get(&self, instance: &id::Instance) -> Option<Member> {
        self.view.borrow().get(instance).cloned()
    }

    /// Tells everybody in which store this process keeps the journal.
    pub fn keep(&self, store: &str) {
        self.own
            .send_modify(|own| own.store = Some(store.to_owned()));
    }

    /// Tells everybody that this process is stopping as planned.
    pub fn drain(&self) {
        self.own.send_modify(|own| own.draining = true);
    }

    /// Keeps this process registered until `stop`, then unregisters it.
    pub async fn register(
        self: Arc<Self>,
        kv: Arc<dyn KeyValue>,
        length: Duration,
        stop: CancellationToken,
    ) {
        let mut lease = None;
        let registering = async {
            loop {
                if let Err(error) = self.hold(&*kv, length, &mut lease).await {
                    tracing::warn!(event = "registration_broken", %error);
                }
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::select! {
            () = registering => {}
            () = stop.cancelled() => {}
        }
        if let Some(lease) = lease {
            // Without an answer the lease lapses by itself.
            let _ = kv.revoke(lease).await;
        }
    }

    /// Takes a lease, registers under it, and renews it until that fails.
    async fn hold(
        &self,
        kv: &dyn KeyValue,
        length: Duration,
        kept: &mut Option<Lease>,
    ) -> Result<(), Error> {
        let lease = kv.grant(length).await?;
        *kept = Some(lease);
        let mut own = self.own.subscribe();
        loop {
            let member = own.borrow_and_update().clone();
            self.write(kv, lease, &member).await?;
            loop {
                tokio::select! {
                    () = tokio::time::sleep(length / RENEWALS) => self.renew(kv, lease).await?,
                    changed = own.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return Ok(()),
                    },
                }
            }
        }
    }

    /// Renews the lease. That the service is away is no reason to give it up:
    /// the service may be back before the lease lapses.
    async fn renew(&self, kv: &dyn KeyValue, lease: Lease) -> Result<(), Error> {
        match kv.renew(lease).await {
            Err(Error::LeaseGone) => Err(Error::LeaseGone),
            Err(error) => {
                tracing::warn!(event = "lease_not_renewed", %error);
                Ok(())
            }
            Ok(()) => Ok(()),
        }
    }

    async fn write(&self, kv: &dyn KeyValue, lease: Lease, member: &Member) -> Result<(), Error> {
        let key = format!("{PREFIX}{}", member.id);
        let value = serde_json::to_vec(member).map_err(|e| Error::Refused(e.to_string()))?;
        let mut expected = 0;
        loop {
            let swap = Swap {
                key: key.clone(),
                expected,
                value: Some(value.clone()),
                lease: Some(lease),
            };
            // The key is this instance's alone; what stands there is an earlier
            // registration of its own.
            match kv.swap(swap).await? {
                Swapped::Done(_) => return Ok(()),
                Swapped::Conflict(found) => expected = found.map_or(0, |e| e.revision),
            }
        }
    }

    /// Follows the others until `stop`.
    pub async fn follow(self: Arc<Self>, kv: Arc<dyn KeyValue>, stop: CancellationToken) {
        watching::keep("members", stop, || self.once(&*kv)).await;
    }

    async fn once(&self, kv: &dyn KeyValue) -> Result<(), Error> {
        let listing = kv.list(PREFIX).await?;
        let members = listing.entries.iter().filter_map(|e| parse(&e.value));
        let view: BTreeMap<_, _> = members.map(|m| (m.id.clone(), m)).collect();
        self.show(view);
        let mut watch = kv.watch(PREFIX, listing.revision + 1).await?;
        loop {
            let events = watch.next().await?;
            let mut view = BTreeMap::clone(&self.view());
            for event in events {
                change(&mut view, event);
            }
            self.show(view);
        }
    }

    fn show(&self, view: BTreeMap<id::Instance, Member>) {
        self.view.send_if_modified(|shown| {
            let changed = **shown != view;
            if changed {
                *shown = Arc::new(view);
            }
            changed
        });
    }
}

fn parse(value: &[u8]) -> Option<Member> {
    serde_json::from_slice(value).ok()
}

fn change(view: &mut BTreeMap<id::Instance, Member>, event: Event) {
    match event {
        Event::Put(entry) => {
            if let Some(member) = parse(&entry.value) {
                view.insert(member.id.clone(), member);
            }
        }
        Event::Delete { key, .. } => {
            let name = key.strip_prefix(PREFIX).unwrap_or(&key);
            view.retain(|id, _| id.as_str() != name);
        }
    }
}
