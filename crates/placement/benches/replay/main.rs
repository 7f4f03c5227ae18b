//! Replays chats over engines.

fn main() {}
