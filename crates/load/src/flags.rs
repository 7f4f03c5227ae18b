//! The command line.

#![allow(missing_docs, reason = "the macro takes doc comments as help texts")]

use std::path::PathBuf;

xflags::xflags! {
    /// Plays returning chats, surges and resends on a fleet of stand-ins, and checks every answer.
    /// Ends with 1 if any answer was lost, doubled or another caller's, with 2 on bad input.
    cmd jf-load {
        /// What to drive and to watch. Default: load.toml.
        optional -s, --settings settings: PathBuf
        /// How long to send, in seconds. Default: 30.
        optional --seconds seconds: u64
        /// Requests a second over all teams. Default: 100.
        optional --rate rate: u32
        /// Chats that return, over all teams. Default: 400.
        optional --chats chats: u32
        /// Turns until a chat ends and a new one takes its place. Default: 8.
        optional --turns turns: u32
        /// Bytes that a caller adds to a chat in a turn. Default: 400.
        optional --turn-bytes turn_bytes: u32
        /// Tokens that an answer has. Default: 24.
        optional --answer-tokens answer_tokens: u32
        /// Of 1000 requests, so many go to plain services. Default: 100.
        optional --plain-permille plain_permille: u32
        /// Of 1000 calls to plain services, so many resend an earlier key. Default: 200.
        optional --resend-permille resend_permille: u32
        /// In the middle third of the time the two largest teams send so many times more. Default: 1.
        optional --surge surge: u32
        /// The seed of the workload. Default: 1.
        optional --seed seed: u64
        /// Where to write the figures as JSON.
        optional --json json: PathBuf
        /// Where to plot load and reuse over time.
        optional --svg svg: PathBuf
        /// Prints the version.
        optional --version
    }
}
