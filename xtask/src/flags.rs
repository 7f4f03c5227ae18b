//! The command line of `cargo xtask`.

#![allow(missing_docs, reason = "the macro takes doc comments as help texts")]

use std::path::PathBuf;

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
        /// Carries out the procedures of docs/OPERATIONS.md on a whole small fleet under load, and judges every answer.
        cmd drill {
            /// Which fleet of the examples folder: auditex or sahm. Default: auditex.
            optional --deployment deployment: String
            /// Builds with optimisation.
            optional --release
            /// How long to send, in seconds. Default: 75.
            optional --seconds seconds: u64
            /// Requests a second. Default: 60.
            optional --rate rate: u32
        }
        /// Runs one load on a whole small fleet, once for each way of routing, and prints a table.
        cmd bench {
            /// Which fleet of the examples folder: auditex or sahm. Default: auditex.
            optional --deployment deployment: String
            /// Only this way of routing. Default: owner, round-robin, least-reported and rendezvous.
            optional --routing routing: String
            /// How long to send, in seconds. Default: 30.
            optional --seconds seconds: u64
            /// Requests a second. Default: 200.
            optional --rate rate: u32
            /// In the middle third the two largest teams send so many times more. Default: 1.
            optional --surge surge: u32
            /// More arguments for jf-load, in one string.
            optional --load-args load_args: String
            /// Where to keep the plots.
            optional --svg-dir svg_dir: PathBuf
        }
    }
}
