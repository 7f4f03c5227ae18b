//! The `jf` operator command line: plan, confirm, status, drain, evacuate, audit, publish,
//! layout, explain, check and keys.
//!
//! The exit code is 0 on success, 1 if the system refused the request or could not be reached, and
//! 2 on bad input.

#![allow(clippy::disallowed_methods, reason = "the command line enforces its own timeouts")]

mod api;
mod audit;
mod check;
mod explain;
mod failure;
mod flags;
mod keys;
mod operate;
mod status;
mod table;

use {
    crate::{
        api::Api,
        failure::exit_code,
        flags::{Jf, JfCmd},
    },
    eyre::{Result, WrapErr},
    std::{env, process::exit},
    tokio::runtime::Builder,
};

fn main() {
    if env::args().skip(1).eq(["--version".to_owned()]) {
        return print_version();
    }
    let flags = Jf::from_env_or_exit();
    if let Err(err) = run(&flags) {
        eprintln!("jf: {err:#}");
        exit(exit_code(&err));
    }
}

fn print_version() {
    println!("jf {}", env!("CARGO_PKG_VERSION"));
}

fn run(flags: &Jf) -> Result<()> {
    match &flags.subcommand {
        JfCmd::Check(it) => return check::run(it, flags.settings.as_deref()),
        JfCmd::Explain(it) => return explain::run(it),
        JfCmd::Keys(it) => return keys::run(&it.dir),
        JfCmd::Version(_) => {
            print_version();
            return Ok(());
        }
        _ => {}
    }
    let api = Api::open(flags.settings.as_deref())?;
    block_on(run_api_command(&api, &flags.subcommand))
}

fn block_on<F, T>(future: F) -> Result<T>
where
    F: Future<Output = Result<T>>,
{
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.wrap_err("failed to start the runtime")?.block_on(future)
}

async fn run_api_command(api: &Api, command: &JfCmd) -> Result<()> {
    match command {
        JfCmd::Plan(it) => operate::plan(api, it).await,
        JfCmd::Confirm(it) => operate::confirm(api, it).await,
        JfCmd::Drain(it) => operate::drain(api, it).await,
        JfCmd::Evacuate(it) => operate::evacuate(api, it).await,
        JfCmd::Status(it) => status::run(api, it).await,
        JfCmd::Audit(it) => audit::run(api, it).await,
        JfCmd::Publish(it) => operate::publish(api, it).await,
        JfCmd::Layout(_) => operate::layout(api).await,
        JfCmd::Check(_) | JfCmd::Explain(_) | JfCmd::Keys(_) | JfCmd::Version(_) => Ok(()),
    }
}
