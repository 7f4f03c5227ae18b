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
        /// Builds and starts a whole small fleet on loopback and sends a chat through it.
        cmd demo {
            /// Which fleet of the examples folder: auditex or sahm. Default: auditex.
            optional --deployment deployment: String
            /// Ends with a verdict instead of running until Ctrl-C.
            optional --once
            /// Builds with optimisation.
            optional --release
            /// How routers choose endpoints: owner, round-robin, least-reported or rendezvous.
            optional --routing routing: String
        }
    }
}
