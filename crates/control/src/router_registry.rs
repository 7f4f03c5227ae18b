//! Assigns ids to router processes.

use {
    derive_more::Debug,
    model::{Domain, HostName, RouterId},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// The maximum number of registered processes. The oldest ones are dropped first.
const MAX_PROCESSES: usize = 20_000;

/// What a router process stated when it registered.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) struct RouterInfo {
    /// The host of the process.
    pub(crate) host: HostName,
    /// A random number that identifies the process on its host.
    pub(crate) process: u64,
    /// The address on which other routers reach the process.
    pub(crate) addr: SocketAddr,
    /// The failure domain of the process.
    pub(crate) domain: Domain,
}

/// The registered router processes. Ids are never reused.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct RouterRegistry {
    last_id: RouterId,
    ids: BTreeMap<(HostName, u64), RouterId>,
    infos: BTreeMap<RouterId, RouterInfo>,
}

impl RouterRegistry {
    /// Registers a process and returns its id. Registering the same process again returns the same id.
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

    /// Returns what the process stated when it registered.
    pub(crate) fn get(&self, id: RouterId) -> Option<&RouterInfo> {
        self.infos.get(&id)
    }
}
