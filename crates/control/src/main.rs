//! The `jf-control` binary.

fn main() {}
