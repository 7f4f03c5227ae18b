//! The files of one run, copied from the examples with free ports filled in.

use {
    eyre::{OptionExt, Result, WrapErr, bail},
    std::{
        collections::BTreeMap,
        env, fs,
        net::TcpListener,
        path::{Path, PathBuf},
        process::id,
    },
};

/// The ports are below the ephemeral range used for outgoing connections.
const FIRST_PORT: u16 = 18_000;
const LAST_PORT: u16 = 32_000;
const PORT_STEP: usize = 100;
const LOOPBACK: &str = "127.0.0.1:";

/// The working directory of one run.
pub(crate) struct RunDir {
    path: PathBuf,
}

impl RunDir {
    /// Copies the files of a deployment with free ports and the given routing strategy.
    pub(crate) fn create(deployment: &str, routing: Option<&str>) -> Result<RunDir> {
        let source = Path::new("examples").join(deployment);
        if !source.join("intent.toml").is_file() {
            bail!("demo: --deployment: expected a directory in examples/, found {deployment:?}");
        }
        let path = env::temp_dir().join(format!("jasminefront-{deployment}-{}", id()));
        let _ = fs::remove_dir_all(&path);
        let files = read_all(&source)?;
        let ports = free_ports(&files)?;
        for (name, text) in &files {
            let text = with_ports(text, &ports);
            let text = match routing {
                Some(it) => text.replace("routing = \"owner\"", &format!("routing = {it:?}")),
                None => text,
            };
            write(&path.join(name), &text)?;
        }
        fs::create_dir_all(path.join("data"))
            .wrap_err("demo: failed to create the data directory")?;
        Ok(RunDir { path })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the names of the existing files `{prefix}-1.toml`, `{prefix}-2.toml` and so on.
    pub(crate) fn numbered(&self, prefix: &str) -> Vec<String> {
        let name = |it: usize| format!("{prefix}-{it}.toml");
        (1..).map(name).take_while(|it| self.path.join(it).is_file()).collect()
    }

    pub(crate) fn remove(&self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

fn write(file: &Path, text: &str) -> Result<()> {
    let parent = file.parent().ok_or_eyre("demo: a file has no parent directory")?;
    fs::create_dir_all(parent)
        .wrap_err_with(|| format!("demo: failed to create {}", parent.display()))?;
    fs::write(file, text).wrap_err_with(|| format!("demo: failed to write {}", file.display()))
}

/// Returns the contents of all files below a directory by relative path.
fn read_all(source: &Path) -> Result<BTreeMap<PathBuf, String>> {
    let mut files = BTreeMap::new();
    let mut folders = vec![PathBuf::new()];
    while let Some(folder) = folders.pop() {
        for entry in
            fs::read_dir(source.join(&folder)).wrap_err("demo: failed to read the examples")?
        {
            let name =
                folder.join(entry.wrap_err("demo: failed to read the examples")?.file_name());
            if source.join(&name).is_dir() {
                folders.push(name);
            } else {
                let text = fs::read_to_string(source.join(&name));
                files.insert(name, text.wrap_err("demo: failed to read the examples")?);
            }
        }
    }
    Ok(files)
}

/// Returns a free port for each port in the files.
fn free_ports(files: &BTreeMap<PathBuf, String>) -> Result<BTreeMap<u16, u16>> {
    let named: Vec<u16> = files.values().flat_map(|it| ports_in(it)).collect();
    let mut named: Vec<u16> = named.into_iter().filter(|it| *it > 0).collect();
    named.sort_unstable();
    named.dedup();
    let range = usize::from(LAST_PORT - FIRST_PORT);
    let start = id() as usize * PORT_STEP % range;
    for step in 0..range / PORT_STEP {
        let first = FIRST_PORT + ((start + step * PORT_STEP) % range) as u16;
        let free: Vec<u16> =
            (first..LAST_PORT).take(named.len()).filter(|it| is_free(*it)).collect();
        if free.len() == named.len() {
            return Ok(named.into_iter().zip(free).collect());
        }
    }
    bail!("demo: found no {} free ports between {FIRST_PORT} and {LAST_PORT}", named.len())
}

fn is_free(port: u16) -> bool {
    TcpListener::bind(("127.0.0.1", port)).is_ok()
}

fn ports_in(text: &str) -> impl Iterator<Item = u16> + '_ {
    text.split(LOOPBACK).skip(1).filter_map(|it| digits(it).parse().ok())
}

fn with_ports(text: &str, ports: &BTreeMap<u16, u16>) -> String {
    let mut parts = text.split(LOOPBACK);
    let mut out = parts.next().unwrap_or("").to_owned();
    for part in parts {
        let old = digits(part);
        out += LOOPBACK;
        match old.parse().ok().and_then(|it: u16| ports.get(&it)) {
            Some(port) => out += &port.to_string(),
            None => out += old,
        }
        out += &part[old.len()..];
    }
    out
}

fn digits(text: &str) -> &str {
    let end = text.find(|it: char| !it.is_ascii_digit()).unwrap_or(text.len());
    &text[..end]
}
