//! Which protocol the other replicas speak, as they said when streams were opened.

use {
    derive_more::Debug,
    parking_lot::Mutex,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// The numbers by address. A number is kept while the replica is unreachable, and replaced by that of the next stream:
/// what runs at an address changes only with a new process, which opens new streams.
#[derive(Clone, Default, Debug)]
pub(crate) struct Protocols(Arc<Mutex<BTreeMap<SocketAddr, u32>>>);

impl Protocols {
    pub(crate) fn record(&self, addr: SocketAddr, protocol: u32) {
        let before = self.0.lock().insert(addr, protocol);
        if before != Some(protocol) {
            tracing::info!(
                event = "replica-protocol",
                replica = %addr,
                protocol,
                before,
                "replica: another replica speaks this protocol"
            );
        }
    }

    pub(crate) fn get(&self, addr: SocketAddr) -> Option<u32> {
        self.0.lock().get(&addr).copied()
    }
}
