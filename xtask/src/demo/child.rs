//! A child process that writes its output to a log file.

use {
    crate::demo::usage::{self, ResourceUsage},
    eyre::{Result, WrapErr, bail},
    std::{
        fs::{self, OpenOptions},
        path::{Path, PathBuf},
        process::{ExitStatus, Stdio},
        time::Duration,
    },
    tokio::{
        process::{Child as Process, Command},
        time::timeout,
    },
};

const EXIT_TIMEOUT: Duration = Duration::from_secs(15);
const TAIL_LINES: usize = 25;

/// A child process, killed on drop.
pub(crate) struct Child {
    pub(crate) name: String,
    process: Process,
    log: PathBuf,
}

impl Child {
    pub(crate) fn spawn(binary: &Path, args: &[&str], folder: &Path, name: &str) -> Result<Child> {
        let log = folder.join(format!("{name}.log"));
        let file = OpenOptions::new().create(true).append(true).open(&log);
        let file = file.wrap_err("demo: failed to create a log file")?;
        let copy = file.try_clone().wrap_err("demo: failed to create a log file")?;
        let process = Command::new(binary)
            .args(args)
            .current_dir(folder)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(copy)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("demo: failed to start {name}"))?;
        Ok(Child { name: name.to_owned(), process, log })
    }

    /// Fails if the process has exited.
    pub(crate) fn check(&mut self) -> Result<()> {
        if let Some(status) =
            self.process.try_wait().wrap_err("demo: failed to read the exit status of a process")?
        {
            self.print_log();
            bail!("demo: {} exited with {status}", self.name);
        }
        Ok(())
    }

    /// Returns the CPU time and memory used by the process so far.
    pub(crate) fn resource_usage(&self) -> ResourceUsage {
        self.process.id().and_then(usage::resource_usage).unwrap_or_default()
    }

    /// Sends SIGTERM to the process.
    pub(crate) async fn terminate(&self) {
        let Some(pid) = self.process.id() else { return };
        let _ = Command::new("kill").args(["-TERM", &pid.to_string()]).status().await;
    }

    /// Waits for the process to exit successfully; kills it after [`EXIT_TIMEOUT`].
    pub(crate) async fn join(&mut self) -> Result<()> {
        match timeout(EXIT_TIMEOUT, self.process.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => {
                self.print_log();
                bail!("demo: {} exited with {status}", self.name)
            }
            Ok(Err(err)) => {
                Err(err).wrap_err_with(|| format!("demo: failed to wait for {}", self.name))
            }
            Err(_) => {
                self.print_log();
                let _ = self.process.kill().await;
                bail!("demo: {} did not exit within {EXIT_TIMEOUT:?}", self.name)
            }
        }
    }

    /// Kills the process, which simulates the loss of its host.
    pub(crate) async fn kill(&mut self) -> Result<()> {
        self.process.kill().await.wrap_err_with(|| format!("demo: failed to kill {}", self.name))
    }

    /// Waits until the process exits with any status.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let ended = timeout(limit, self.process.wait()).await;
        let ended = ended.wrap_err_with(|| format!("demo: {} did not exit in time", self.name))?;
        ended.wrap_err_with(|| format!("demo: failed to wait for {}", self.name))
    }

    /// Returns whether the process is running.
    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Prints the last lines of the log file.
    pub(crate) fn print_log(&self) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        println!("--- {} (last lines of {})", self.name, self.log.display());
        lines[lines.len().saturating_sub(TAIL_LINES)..].iter().for_each(|it| println!("{it}"));
    }
}
