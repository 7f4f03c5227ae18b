//! The command line.

#![allow(missing_docs, unreachable_pub, reason = "the macro writes these items")]

use std::path::PathBuf;

xflags::xflags! {
    /// Operates a jasminefront fleet. Exit codes: 0 done, 1 refused or not reached, 2 bad input.
    cmd jf {
        /// The operator's settings: control addresses and token file. Default: jf.toml.
        optional -s, --settings settings: PathBuf

        /// Sends an intent and shows what would change, under a plan number.
        cmd plan {
            /// The TOML intent.
            required file: PathBuf
            /// The operation id of an earlier try, to get its answer again.
            optional --operation operation: String
            /// Prints JSON.
            optional --json
        }
        /// Puts a plan in force, unless the configuration has changed since.
        cmd confirm {
            /// The plan number.
            required plan: String
            /// The operation id of an earlier try, to get its answer again.
            optional --operation operation: String
            /// Prints JSON.
            optional --json
        }
        /// Lets an endpoint finish what it has and gives it nothing new.
        cmd drain {
            /// The endpoint's name.
            required endpoint: String
            /// The operation id of an earlier try, to get its answer again.
            optional --operation operation: String
            /// Prints JSON.
            optional --json
        }
        /// Shows routers, services and endpoints.
        cmd status {
            /// Prints JSON.
            optional --json
        }
        /// Shows who changed what and when, and checks the chain of digests.
        cmd audit {
            /// Passes only records of this operator.
            optional --operator operator: String
            /// Passes only records whose event contains this text.
            optional --event event: String
            /// Passes only records with at least this number.
            optional --from from: u64
            /// Prints JSON.
            optional --json
        }
        /// Puts a whole routing configuration in force, unless one with this version or a higher one is.
        cmd publish {
            /// The JSON routing configuration.
            required file: PathBuf
        }
        /// Prints the routing configuration in force.
        cmd layout {}
        /// Tells the story of a request, an endpoint or a version from the logs of several processes.
        cmd explain {
            /// The id of a request or an endpoint, or a version.
            required word: String
            /// Log files; each is named in the output by its file name. None: standard input.
            repeated files: PathBuf
        }
        /// Checks a file without starting anything.
        cmd check {
            /// The TOML file.
            required file: PathBuf
            /// What it is: router, gateway, control, operator, load, layout or intent. Default: as its keys tell.
            optional --kind kind: String
        }
        /// Makes a development authority and keys for the system's own processes and for callers.
        cmd keys {
            /// The folder to write to; existing keys are kept.
            required dir: PathBuf
        }
        /// Prints the version.
        cmd version {}
    }
}
