//! Changes to the list of endpoints.

use {derive_more::Debug, directory::ListedEndpoint, model::Name};

/// A change to the list of endpoints.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum EndpointChange {
    /// The endpoint is new.
    Added(ListedEndpoint),
    /// The endpoint accepts no new requests.
    Draining(Name),
    /// The endpoint is no longer listed.
    Removed(Name),
    /// The endpoint restarted and lost its state.
    Restarted(Name),
}
