//! A process of the system under test.

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

/// Returns the directory of the binaries, which are built together with this one.
///
/// # Errors
///
/// The binaries are not built; `cargo build` builds them.
pub fn binaries() -> Result<PathBuf> {
    let exe = env::current_exe().wrap_err("failed to locate the current executable")?;
    // Test executables are in a subdirectory of it.
    let mut folders = exe.ancestors().skip(1).take(2);
    let found = folders.find(|it| it.join("jf-gateway").exists() && it.join("jf-control").exists());
    found.map(Path::to_owned).ok_or_eyre("jf-gateway and jf-control are not built: run cargo build")
}

/// A binary with its settings. The process is killed on drop.
#[derive(Debug)]
pub(crate) struct Process {
    name: String,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Size of the log when the current incarnation was started, in bytes.
    log_offset: usize,
    /// Peak resident memory in KiB over all incarnations.
    peak_kib: u64,
}

impl Process {
    /// Returns a process that is not started yet.
    pub(crate) fn new(name: String, binary: &Path, folder: &Path) -> Process {
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        Process {
            name,
            binary: binary.to_owned(),
            settings,
            log,
            child: None,
            log_offset: 0,
            peak_kib: 0,
        }
    }

    /// Returns the name of the process.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Writes the settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub(crate) fn write_settings(&self, settings: &str) -> Result<()> {
        fs::write(&self.settings, settings)
            .wrap_err_with(|| format!("failed to write the settings of {}", self.name))
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub(crate) fn start(&mut self) -> Result<()> {
        let step = || format!("failed to start {}", self.name);
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.wrap_err_with(step)?;
        self.log_offset = log.metadata().wrap_err_with(step)?.len() as usize;
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

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// The process does not run.
    pub(crate) fn signal(&mut self, signal: Signal) -> Result<()> {
        self.update_peak_memory();
        let pid = self.pid().ok_or_else(|| eyre!("{} is not running", self.name))?;
        kill_process(pid, signal).wrap_err_with(|| format!("failed to signal {}", self.name))
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// The process does not run, or does not exit within `limit`.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let child = self.child.as_mut().ok_or_else(|| eyre!("{} is not running", self.name))?;
        let ended = timeout(limit, child.wait()).await;
        let ended =
            ended.wrap_err_with(|| format!("{} did not exit within {limit:?}", self.name))?;
        self.child = None;
        ended.wrap_err_with(|| format!("failed to wait for {}", self.name))
    }

    /// Returns the exit status if the process exited on its own.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Returns the peak resident memory so far in KiB.
    pub(crate) fn peak_kib(&mut self) -> u64 {
        self.update_peak_memory();
        self.peak_kib
    }

    /// Returns whether the process has logged anything since it was started, which it does only with its signal handlers
    /// installed.
    pub(crate) fn has_logged(&self) -> bool {
        fs::metadata(&self.log).is_ok_and(|it| it.len() as usize > self.log_offset)
    }

    /// Returns whether the log contains a panic message.
    pub(crate) fn panicked(&self) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|it| it.contains("panicked at"))
    }

    fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.child.as_ref()?.id()? as i32)
    }

    fn update_peak_memory(&mut self) {
        let Some(pid) = self.pid() else { return };
        let status = fs::read_to_string(format!("/proc/{}/status", pid.as_raw_nonzero()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|it| it.trim().trim_end_matches(" kB").parse().ok());
        self.peak_kib = self.peak_kib.max(kib.unwrap_or(0));
    }
}
