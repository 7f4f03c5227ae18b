//! The `jf-standin` binary: runs mock backends until SIGTERM or Ctrl-C.

use {
    eyre::{Result, WrapErr},
    standin::{Endpoint, Engine, HostList, PlainService, StandinSettings, WeightStore},
    std::process::exit,
    tokio::signal::unix::{SignalKind, signal},
};

mod flags {
    #![allow(missing_docs, reason = "the macro takes doc comments as help texts")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Mock engines, plain services, host list and weight store for development and tests.
        cmd jf-standin {
            /// Path of the TOML settings file.
            optional settings: PathBuf
            /// Print the version.
            optional --version
        }
    }
}

fn main() -> Result<()> {
    let flags = flags::JfStandin::from_env_or_exit();
    if flags.version {
        println!("jf-standin {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let Some(file) = flags.settings else {
        eprintln!("jf-standin: settings: expected the path of a settings file");
        exit(2);
    };
    let settings: StandinSettings = settings::load(&file).unwrap_or_else(|it| {
        eprintln!("jf-standin: {it}");
        exit(2);
    });
    telemetry::init(&settings.log)?;
    let runtime =
        tokio::runtime::Runtime::new().wrap_err("standin: failed to start the async runtime")?;
    runtime.block_on(run(&settings))
}

async fn run(settings: &StandinSettings) -> Result<()> {
    let endpoints = bind(settings)?;
    println!("jf-standin: listening on {} ports", endpoints.len());
    let mut terminate = signal(SignalKind::terminate())
        .wrap_err("standin: failed to install the SIGTERM handler")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}

fn bind(settings: &StandinSettings) -> Result<Vec<Endpoint>> {
    let engines = settings.engine.iter().map(Engine::bind);
    let plain = settings.plain.iter().map(PlainService::bind);
    let hosts = settings.host_list.iter().map(HostList::bind);
    let weights = settings.weight_store.iter().map(WeightStore::bind);
    engines.chain(plain).chain(hosts).chain(weights).collect()
}
