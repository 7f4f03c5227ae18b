//! Commands of the replicated log and their outputs.

use {
    crate::evacuation_state::{EvacuationOrder, EvacuationOutcome},
    derive_more::Debug,
    intent::{Answer, Operation},
    ledger::{LedgerCall, LedgerReply},
    model::{Digest, Domain, HostName, Roster, RouterId},
    route::PublishOutcome,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One entry of the replicated log. New variants follow the last one, and are proposed only while all members of the
/// group are known to decode them.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Command {
    /// An operator's request.
    Operation(Box<Operation>),
    /// A router process requests its id.
    Register {
        /// The host of the process.
        host: HostName,
        /// A random number that identifies the process on its host.
        process: u64,
        /// The address on which other routers reach the process.
        addr: SocketAddr,
        /// The failure domain of the process.
        domain: Domain,
    },
    /// Replaces the roster with the next one.
    Roster(Roster),
    /// A call to the ledger.
    Ledger {
        /// When the leader received it, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// The call.
        call: LedgerCall,
    },
    /// Quarantines the fingerprint of requests that crash endpoints.
    Quarantine {
        /// When the leader received it, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// The fingerprint.
        fingerprint: Digest,
    },
    /// Publishes a routing configuration that was already validated.
    Publish {
        /// The version that the publisher chose.
        version: u64,
        /// The document as the publisher wrote it, compressed.
        #[debug("{} bytes", document.len())]
        document: Vec<u8>,
    },
    /// Does nothing. A replica that has this entry on disk also knows that all earlier entries are committed.
    Barrier,
    /// An operator's order to evacuate a failure domain or to withdraw its evacuation. Since protocol 1.
    Evacuate(EvacuationOrder),
    /// Records a number that all members of the group have at least as their protocol. Since protocol 1.
    RecordProtocol {
        /// The number.
        number: u32,
    },
}

/// The result of applying a command.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Output {
    /// The answer to an operator's request.
    Answer(Answer),
    /// The id assigned to a router process.
    Router(RouterId),
    /// Whether the roster was accepted. Its epoch must directly follow the current one.
    Roster(bool),
    /// The reply of the ledger.
    Ledger(LedgerReply),
    /// The fingerprint was quarantined.
    Quarantined,
    /// Whether the published routing configuration is in force or a newer one already was.
    Published(PublishOutcome),
    /// The command has no effect and no result.
    Nothing,
    /// The command could not be decoded; the state is unchanged.
    Malformed,
    /// What became of an order of an evacuation.
    Evacuated(EvacuationOutcome),
}
