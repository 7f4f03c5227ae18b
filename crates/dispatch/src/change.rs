//! What a list of endpoints changes.

use {derive_more::Debug, directory::ListedEndpoint, model::Name};

/// What a listing changed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum EndpointChange {
    /// An endpoint is new.
    Added(ListedEndpoint),
    /// An endpoint gets no new work.
    Draining(Name),
    /// An endpoint is not listed any more.
    Removed(Name),
    /// An endpoint started again: what it held is lost.
    Restarted(Name),
}
