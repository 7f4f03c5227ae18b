//! The command line of `cargo xtask`.

#![allow(missing_docs, reason = "the macro takes doc comments as help texts")]

use std::path::PathBuf;

xflags::xflags! {
    /// Development tasks.
    cmd xtask {
        /// Run all tests. Failures listed in KNOWN-RED.txt are printed and do not fail the run.
        cmd test {
            /// Run only tests whose names contain this text.
            optional filter: String
            /// Run this many random cases per property, with a new seed that is printed.
            optional --cases cases: u32
        }
        /// Build and start a complete small fleet on loopback and send a chat through it.
        cmd demo {
            /// Deployment in the examples directory: auditex or sahm. Default: auditex.
            optional --deployment deployment: String
            /// Exit after the checks instead of running until Ctrl-C.
            optional --once
            /// Build with optimizations.
            optional --release
            /// Routing strategy: owner, round-robin, least-reported or rendezvous.
            optional --routing routing: String
        }
        /// Run the procedures of docs/OPERATIONS.md on a complete small fleet under load and check every response.
        cmd drill {
            /// Deployment in the examples directory: auditex or sahm. Default: auditex.
            optional --deployment deployment: String
            /// Build with optimizations.
            optional --release
            /// Duration of the load in seconds. Default: 75.
            optional --seconds seconds: u64
            /// Requests per second. Default: 60.
            optional --rate rate: u32
        }
        /// Run the same load on a complete small fleet once per routing strategy and print a table.
        cmd bench {
            /// Deployment in the examples directory: auditex or sahm. Default: auditex.
            optional --deployment deployment: String
            /// Run only this routing strategy. Default: owner, round-robin, least-reported and rendezvous.
            optional --routing routing: String
            /// Duration of the load in seconds. Default: 30.
            optional --seconds seconds: u64
            /// Requests per second. Default: 200.
            optional --rate rate: u32
            /// Factor by which the two largest teams increase their load in the middle third. Default: 1.
            optional --surge surge: u32
            /// Additional arguments for jf-load, in one string.
            optional --load-args load_args: String
            /// Directory for the plots.
            optional --svg-dir svg_dir: PathBuf
        }
    }
}
