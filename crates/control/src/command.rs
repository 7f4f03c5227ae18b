//! What goes through the replicated log.

use {
    derive_more::Debug,
    intent::{Answer, Operation},
    ledger::{LedgerCall, LedgerReply},
    model::{Digest, Domain, HostName, Roster, RouterId},
    route::PublishOutcome,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One entry of the replicated log.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Command {
    /// An operator's request.
    Operation(Box<Operation>),
    /// A router process asks for its id.
    Register {
        /// Its host.
        host: HostName,
        /// The random number of the process.
        process: u64,
        /// Where other routers reach it.
        addr: SocketAddr,
        /// Its failure domain.
        domain: Domain,
    },
    /// The next roster.
    Roster(Roster),
    /// A call of the ledger.
    Ledger {
        /// When the leader took it, in milliseconds since 1970.
        at_ms: u64,
        /// The call.
        call: LedgerCall,
    },
    /// A fingerprint of requests that crash endpoints.
    Quarantine {
        /// When the leader took it, in milliseconds since 1970.
        at_ms: u64,
        /// The fingerprint.
        fingerprint: Digest,
    },
    /// A whole routing configuration, known to be valid.
    Publish {
        /// The version that its sender chose.
        version: u64,
        /// What its sender wrote.
        #[debug("{} bytes", document.len())]
        document: Vec<u8>,
    },
    /// Nothing. Whoever has it on disk was told with it that all entries before are committed.
    Barrier,
}

/// What a command led to.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Output {
    /// The answer to an operator.
    Answer(Answer),
    /// The id of a router process.
    Router(RouterId),
    /// Whether a roster was taken: it must follow the one in force.
    Roster(bool),
    /// The reply of the ledger.
    Ledger(LedgerReply),
    /// A fingerprint is quarantined.
    Quarantined,
    /// What became of a routing configuration.
    Published(PublishOutcome),
    /// Nothing was to be done.
    Nothing,
    /// The command cannot be decoded; nothing was done.
    Malformed,
}
