//! Command line flags.

#![allow(missing_docs, reason = "the macro uses doc comments as help texts")]

use std::path::PathBuf;

xflags::xflags! {
    /// Sends chats, surges and resends to a fleet of stand-ins, and checks every answer.
    /// Exit codes: 0 success, 1 an answer was lost, doubled, foreign or missing, 2 bad input.
    cmd jf-load {
        /// The settings file: what to send to and what to monitor. Default: load.toml.
        optional -s, --settings settings: PathBuf
        /// How long to send, in seconds. Default: 30.
        optional --seconds seconds: u64
        /// Requests per second over all teams. Default: 100.
        optional --rate rate: u32
        /// Concurrent chats over all teams. Default: 400.
        optional --chats chats: u32
        /// Turns per chat; a chat that ends is replaced by a new one. Default: 8.
        optional --turns turns: u32
        /// Bytes of the message that each turn adds to a chat. Default: 400.
        optional --turn-bytes turn_bytes: u32
        /// Tokens per answer. Default: 24.
        optional --answer-tokens answer_tokens: u32
        /// The share of requests sent to plain services, per 1000. Default: 100.
        optional --plain-permille plain_permille: u32
        /// The share of calls to plain services that resend an earlier key, per 1000. Default: 200.
        optional --resend-permille resend_permille: u32
        /// The factor by which the two largest teams increase their rate in the middle third of the run. Default: 1.
        optional --surge surge: u32
        /// The seed of the workload. Default: 1.
        optional --seed seed: u64
        /// The file to write the report to, as JSON.
        optional --json json: PathBuf
        /// The file to plot load and cache reuse over time to, as SVG.
        optional --svg svg: PathBuf
        /// Prints the version.
        optional --version
    }
}
