//! What discovery says of endpoints.

use {
    derive_more::Debug,
    model::{Domain, Name},
    std::net::SocketAddr,
};

/// An endpoint as discovery lists it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Listed {
    /// Its id; an endpoint that starts again may have it again.
    pub id: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens; another endpoint may have listened there before.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving: it gets no new work.
    pub draining: bool,
    /// When it started, in milliseconds since 1970, if it says so.
    pub born: Option<u64>,
}

/// What a listing changed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Change {
    /// An endpoint is new.
    Added(Listed),
    /// An endpoint gets no new work.
    Draining(Name),
    /// An endpoint is not listed any more.
    Gone(Name),
    /// An endpoint started again: what it held is lost.
    Restarted(Name),
}
