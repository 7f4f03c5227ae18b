//! Command line flags.

#![allow(missing_docs, unreachable_pub, reason = "the macro generates these items")]

use std::path::PathBuf;

xflags::xflags! {
    /// Operates a jasminefront fleet. Exit codes: 0 success, 1 refused or unreachable, 2 bad input.
    cmd jf {
        /// The operator's settings: control addresses and token file. Default: jf.toml.
        optional -s, --settings settings: PathBuf

        /// Submits an intent and prints the resulting plan: its number, changes and effects.
        cmd plan {
            /// The intent in TOML.
            required file: PathBuf
            /// The operation id of an earlier attempt, to retry it safely.
            optional --operation operation: String
            /// Prints JSON.
            optional --json
        }
        /// Applies a plan, unless the configuration has changed since it was made.
        cmd confirm {
            /// The plan number.
            required plan: String
            /// The operation id of an earlier attempt, to retry it safely.
            optional --operation operation: String
            /// Prints JSON.
            optional --json
        }
        /// Drains an endpoint: it finishes its current requests and gets no new ones.
        cmd drain {
            /// The endpoint's name.
            required endpoint: String
            /// The operation id of an earlier attempt, to retry it safely.
            optional --operation operation: String
            /// Prints JSON.
            optional --json
        }
        /// Evacuates a failure domain: its endpoints finish their current requests and get no new ones.
        cmd evacuate {
            /// The domain's name.
            required domain: String
            /// Withdraws the evacuation.
            optional --withdraw
            /// Only prints how many endpoints each service would lose.
            optional --plan
            /// The operation id of an earlier attempt, to retry it safely.
            optional --operation operation: String
            /// Prints JSON.
            optional --json
        }
        /// Prints the status of routers, services, endpoints and evacuated domains.
        cmd status {
            /// Prints JSON.
            optional --json
        }
        /// Prints the audit log and verifies its digest chain.
        cmd audit {
            /// Prints only records of this operator.
            optional --operator operator: String
            /// Prints only records whose event contains this text.
            optional --event event: String
            /// Prints only records with this number or a higher one.
            optional --from from: u64
            /// Prints JSON.
            optional --json
        }
        /// Publishes a complete routing configuration, unless its version or a higher one is in force.
        cmd publish {
            /// The routing configuration in JSON.
            required file: PathBuf
        }
        /// Prints the routing configuration in force.
        cmd layout {}
        /// Prints the log lines about a request, an endpoint or a version from the logs of several processes.
        cmd explain {
            /// The id of a request or an endpoint, or a version.
            required word: String
            /// Log files, named in the output by their file names. Default: standard input.
            repeated files: PathBuf
        }
        /// Checks a file without starting a process.
        cmd check {
            /// The file to check, in TOML or, for a layout, in JSON.
            required file: PathBuf
            /// The kind: router, gateway, control, operator, load, layout or intent. Default: guessed from the keys.
            optional --kind kind: String
            /// For a routing configuration, the one to compare it with. Default: the one in force, if --settings is given.
            optional --against against: PathBuf
        }
        /// Creates a development certificate authority, and certificates for internal and client connections.
        cmd keys {
            /// The directory to write to; fails if it already contains keys.
            required dir: PathBuf
        }
        /// Prints the version.
        cmd version {}
    }
}
