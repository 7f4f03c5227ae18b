//! The `jf` operator command line.

fn main() {}
