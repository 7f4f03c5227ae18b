//! Development tasks: `cargo xtask test`, `cargo xtask demo`, `cargo xtask drill`, `cargo xtask bench`.
//!
//! This is the launcher that the product itself does not have: it may start processes, the product's binaries may not.
#![allow(clippy::disallowed_methods, reason = "the launcher starts processes and reads clocks")]

mod bench;
mod demo;
mod drill;
mod flags;
mod test;

use eyre::Result;

fn main() -> Result<()> {
    match flags::Xtask::from_env_or_exit().subcommand {
        flags::XtaskCmd::Test(flags) => test::run(&flags),
        flags::XtaskCmd::Bench(flags) => bench::run(&flags),
        flags::XtaskCmd::Demo(flags) => demo::run(&flags),
        flags::XtaskCmd::Drill(flags) => drill::run(&flags),
    }
}
