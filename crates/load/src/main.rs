//! The `jf-load` binary.

fn main() {}
