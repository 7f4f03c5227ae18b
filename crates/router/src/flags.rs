//! The command line of `jf-router`.

#![allow(missing_docs, reason = "the macro takes doc comments as help texts")]

use std::path::PathBuf;

xflags::xflags! {
    /// Routes requests from callers to endpoints.
    cmd jf-router {
        /// Prints the version.
        optional --version
        /// The settings file.
        optional settings: PathBuf
    }
}
