//! Fingerprints of a request, by which it is recognized under another ID and at another entry.

use bytes::Bytes;
use gradedyke_turns::crash::{Fingerprint, Scope};
use gradedyke_turns::record::Id;

use super::call::Call;

/// The fingerprints of a request. Both contain the client account, so requests of different
/// accounts never share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Fingerprints {
    /// The request within its program; `None` if it belongs to none.
    pub(super) program: Option<Fingerprint>,
    /// The content as a server receives it.
    pub(super) content: Fingerprint,
}

impl Fingerprints {
    /// Fingerprints of a call. `sent` is the body that servers receive, which differs from the
    /// caller's if the call continues a stored conversation.
    pub(super) fn new(call: &Call, sent: &Bytes) -> Self {
        Self {
            program: program(call),
            content: content(call, sent),
        }
    }

    /// All fingerprints.
    pub(super) fn iter(&self) -> impl Iterator<Item = Fingerprint> + use<> {
        self.program.into_iter().chain([self.content])
    }
}

fn id_bytes(id: Option<&Id>) -> Option<&[u8]> {
    id.map(|id| id.as_str().as_bytes())
}

/// The parts that each fingerprint contains.
fn target(call: &Call) -> [Option<&[u8]>; 5] {
    let path = call.uri.path_and_query();
    [
        id_bytes(call.account.as_ref().map(|a| &a.name)),
        Some(call.service.as_bytes()),
        Some(call.method.as_str().as_bytes()),
        path.map(|p| p.as_str().as_bytes()),
        id_bytes(call.meta.affinity.as_ref()),
    ]
}

/// Returns the fingerprint of a request within its program or, without one, its session; `None`
/// if it belongs to neither. It is known before the conversation is read.
pub(super) fn program(call: &Call) -> Option<Fingerprint> {
    let meta = &call.meta;
    let program = meta.program.as_ref().or(meta.session.as_ref())?;
    let own = [
        id_bytes(Some(program)),
        id_bytes(meta.session.as_ref()),
        id_bytes(meta.parent.as_ref()),
        Some(&call.body[..]),
    ];
    let parts = [&target(call)[..], &own].concat();
    Some(Fingerprint::new(Scope::Program, &parts))
}

/// Returns the fingerprint of a request's content, with the body `sent` to servers.
fn content(call: &Call, sent: &Bytes) -> Fingerprint {
    let parts = [&target(call)[..], &[Some(&sent[..])]].concat();
    Fingerprint::new(Scope::Content, &parts)
}
