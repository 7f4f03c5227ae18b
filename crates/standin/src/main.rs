//! The `jf-standin` binary.

fn main() {}
