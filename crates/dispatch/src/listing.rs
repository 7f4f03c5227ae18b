//! What a list of endpoints changes.

use {derive_more::Debug, directory::Listed, model::Name};

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
