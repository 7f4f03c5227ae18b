//! The ids of router processes.

use {
    derive_more::Debug,
    model::{Domain, HostName, RouterId},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// How many processes are remembered, the newest ones.
const MAX_PROCESSES: usize = 20_000;

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
pub(crate) struct RouterRegistry {
    last_id: RouterId,
    ids: BTreeMap<(HostName, u64), RouterId>,
    infos: BTreeMap<RouterId, RouterInfo>,
}

impl RouterRegistry {
    /// Returns the id of a process, the same one whenever it asks.
    pub(crate) fn register(&mut self, info: RouterInfo) -> RouterId {
        let key = (info.host.clone(), info.process);
        if let Some(id) = self.ids.get(&key) {
            return *id;
        }
        self.last_id = RouterId(self.last_id.0 + 1);
        self.ids.insert(key, self.last_id);
        self.infos.insert(self.last_id, info);
        if self.infos.len() > MAX_PROCESSES
            && let Some((_, oldest)) = self.infos.pop_first()
        {
            self.ids.remove(&(oldest.host, oldest.process));
        }
        self.last_id
    }

    /// Returns what a process said of itself.
    pub(crate) fn get(&self, id: RouterId) -> Option<&RouterInfo> {
        self.infos.get(&id)
    }
}
