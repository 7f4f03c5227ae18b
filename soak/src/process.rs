//! One process of the system, which is ended, paused and started again from outside.

use {
    derive_more::Debug,
    eyre::{OptionExt, Result, WrapErr, eyre},
    rustix::process::{Pid, Signal, kill_process},
    std::{
        env,
        fs::{self, OpenOptions},
        path::{Path, PathBuf},
        process::{ExitStatus, Stdio},
        time::Duration,
    },
    tokio::{
        process::{Child, Command},
        time::timeout,
    },
};

/// The folder of the programs, which were built with this one.
///
/// # Errors
///
/// They were not built: `cargo build` builds them.
pub fn binaries() -> Result<PathBuf> {
    let here = env::current_exe().wrap_err("find the programs")?;
    // Tests are built into a folder of their own below it.
    let mut folders = here.ancestors().skip(1).take(2);
    let found = folders.find(|it| it.join("jf-gateway").exists() && it.join("jf-control").exists());
    found.map(Path::to_owned).ok_or_eyre("jf-gateway and jf-control are not built: run cargo build")
}

/// A program with its settings; it is killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    name: String,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// The most memory that a life of it used, in KiB.
    peak_kib: u64,
}

impl Process {
    /// Returns a program that does not run yet.
    pub(crate) fn new(name: String, binary: &Path, folder: &Path) -> Process {
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        Process { name, binary: binary.to_owned(), settings, log, child: None, peak_kib: 0 }
    }

    /// Its name.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Writes its settings.
    ///
    /// # Errors
    ///
    /// They cannot be written.
    pub(crate) fn configure(&self, settings: &str) -> Result<()> {
        fs::write(&self.settings, settings).wrap_err_with(|| format!("settings of {}", self.name))
    }

    /// Starts it.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub(crate) fn start(&mut self) -> Result<()> {
        let step = || format!("start {}", self.name);
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.wrap_err_with(step)?;
        let copy = log.try_clone().wrap_err_with(step)?;
        let child = Command::new(&self.binary)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .kill_on_drop(true)
            .spawn();
        self.child = Some(child.wrap_err_with(step)?);
        Ok(())
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub(crate) fn signal(&mut self, signal: Signal) -> Result<()> {
        self.measure();
        let pid = self.pid().ok_or_else(|| eyre!("{} does not run", self.name))?;
        kill_process(pid, signal).wrap_err_with(|| format!("signal {}", self.name))
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// It does not end within the limit.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let child = self.child.as_mut().ok_or_else(|| eyre!("{} does not run", self.name))?;
        let ended = timeout(limit, child.wait()).await;
        let ended = ended.wrap_err_with(|| format!("{} did not end in {limit:?}", self.name))?;
        self.child = None;
        ended.wrap_err_with(|| format!("wait for {}", self.name))
    }

    /// Returns its exit status if it ended by itself.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// The most memory that it used so far, in KiB.
    pub(crate) fn peak_kib(&mut self) -> u64 {
        self.measure();
        self.peak_kib
    }

    /// Whether its log tells of a panic.
    pub(crate) fn panicked(&self) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|it| it.contains("panicked at"))
    }

    fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.child.as_ref()?.id()? as i32)
    }

    fn measure(&mut self) {
        let Some(pid) = self.pid() else { return };
        let status = fs::read_to_string(format!("/proc/{}/status", pid.as_raw_nonzero()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|it| it.trim().trim_end_matches(" kB").parse().ok());
        self.peak_kib = self.peak_kib.max(kib.unwrap_or(0));
    }
}
