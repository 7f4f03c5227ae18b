//! The `jf-router` binary.

fn main() {}
