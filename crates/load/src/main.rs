//! The `jf-load` binary.

use {
    eyre::Result,
    load::JfLoad,
    settings::{LoadSettings, SettingsError},
    std::{path::Path, process::exit},
};

const EXIT_FAILURE: i32 = 1;
const EXIT_BAD_INPUT: i32 = 2;

fn main() -> Result<()> {
    let flags = JfLoad::from_env_or_exit();
    if flags.version {
        println!("jf-load {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let file = flags.settings.as_deref().unwrap_or(Path::new("load.toml"));
    let loaded: Result<LoadSettings, SettingsError> = settings::load(file);
    let settings = loaded.unwrap_or_else(|it| {
        eprintln!("jf-load: {it}");
        exit(EXIT_BAD_INPUT);
    });
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(load::run(&flags, &settings))?;
    report.print();
    if !report.is_clean() {
        exit(EXIT_FAILURE);
    }
    Ok(())
}
