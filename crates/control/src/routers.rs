//! The ids of router processes.

use {
    derive_more::Debug,
    model::{Domain, HostName, RouterId},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// How many processes are remembered, the newest ones.
const MAX_ROUTERS: usize = 20_000;

/// A router process as it introduced itself.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) struct RouterInfo {
    /// Its host.
    pub(crate) host: HostName,
    /// The random number of the process.
    pub(crate) process: u64,
    /// Where other routers reach it.
    pub(crate) addr: SocketAddr,
    /// Its failure domain.
    pub(crate) domain: Domain,
}

/// The router processes that were given ids; ids are never reused.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct Routers {
    last: RouterId,
    ids: BTreeMap<(HostName, u64), RouterId>,
    known: BTreeMap<RouterId, RouterInfo>,
}

impl Routers {
    /// Returns the id of a process, the same one whenever it asks.
    pub(crate) fn register(&mut self, info: RouterInfo) -> RouterId {
        let key = (info.host.clone(), info.process);
        if let Some(id) = self.ids.get(&key) {
            return *id;
        }
        self.last = RouterId(self.last.0 + 1);
        self.ids.insert(key, self.last);
        self.known.insert(self.last, info);
        if self.known.len() > MAX_ROUTERS
            && let Some((_, oldest)) = self.known.pop_first()
        {
            self.ids.remove(&(oldest.host, oldest.process));
        }
        self.last
    }

    /// Returns what a process said of itself.
    pub(crate) fn get(&self, id: RouterId) -> Option<&RouterInfo> {
        self.known.get(&id)
    }
}
