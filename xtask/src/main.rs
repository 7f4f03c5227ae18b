//! Development tasks: `cargo xtask test`, `cargo xtask demo`, `cargo xtask drill`, `cargo xtask bench`.
//!
//! Unlike the binaries of the product, these tasks may start processes.
#![allow(clippy::disallowed_methods, reason = "development tasks start processes and read clocks")]

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
