//! The command line of `jf-control`.

#![allow(missing_docs, reason = "the macro takes doc comments as help texts")]

use std::path::PathBuf;

xflags::xflags! {
    /// Runs a control replica, which manages the configuration, rosters, the ledger and orders to endpoints.
    cmd jf-control {
        /// Prints the version.
        optional --version
        /// The settings file.
        optional settings: PathBuf
    }
}
