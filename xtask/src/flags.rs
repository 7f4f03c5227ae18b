//! The command line of `cargo xtask`.

#![allow(missing_docs, reason = "the macro takes doc comments as help texts")]

xflags::xflags! {
    /// Development tasks.
    cmd xtask {
        /// Runs all tests; failures listed in KNOWN-RED.txt are printed and do not fail the run.
        cmd test {
            /// Passes only tests whose name contains this.
            optional filter: String
            /// Runs this many random cases of each property with a fresh, printed seed.
            optional --cases cases: u32
        }
    }
}
