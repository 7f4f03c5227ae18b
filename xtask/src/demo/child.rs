//! One child process, whose output goes to a log file.

use {
    crate::demo::usage::{self, Used},
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

const END_LIMIT: Duration = Duration::from_secs(15);
const TAIL_LINES: usize = 25;

/// A child process; it is killed when dropped.
pub(crate) struct Child {
    pub(crate) name: String,
    process: Process,
    log: PathBuf,
}

impl Child {
    pub(crate) fn spawn(binary: &Path, args: &[&str], folder: &Path, name: &str) -> Result<Child> {
        let log = folder.join(format!("{name}.log"));
        let file = OpenOptions::new().create(true).append(true).open(&log);
        let file = file.wrap_err("demo: create log")?;
        let copy = file.try_clone().wrap_err("demo: create log")?;
        let process = Command::new(binary)
            .args(args)
            .current_dir(folder)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(copy)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("demo: start {name}"))?;
        Ok(Child { name: name.to_owned(), process, log })
    }

    /// Fails if the process has ended.
    pub(crate) fn check(&mut self) -> Result<()> {
        if let Some(status) = self.process.try_wait().wrap_err("demo: look at child")? {
            self.print_log();
            bail!("demo: {} ended with {status}", self.name);
        }
        Ok(())
    }

    /// Returns what the process has used so far.
    pub(crate) fn used(&self) -> Used {
        self.process.id().and_then(usage::used).unwrap_or_default()
    }

    /// Asks the process to end in order.
    pub(crate) async fn terminate(&self) {
        let Some(pid) = self.process.id() else { return };
        let _ = Command::new("kill").args(["-TERM", &pid.to_string()]).status().await;
    }

    /// Waits for the process to end in order; kills it if that takes too long.
    pub(crate) async fn join(&mut self) -> Result<()> {
        match timeout(END_LIMIT, self.process.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => {
                self.print_log();
                bail!("demo: {} ended with {status}", self.name)
            }
            Ok(Err(err)) => Err(err).wrap_err_with(|| format!("demo: wait for {}", self.name)),
            Err(_) => {
                self.print_log();
                let _ = self.process.kill().await;
                bail!("demo: {} did not end within {END_LIMIT:?}", self.name)
            }
        }
    }

    /// Kills the process, as a lost host would end it.
    pub(crate) async fn kill(&mut self) -> Result<()> {
        self.process.kill().await.wrap_err_with(|| format!("demo: kill {}", self.name))
    }

    /// Waits until the process ends, with whatever exit code.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let ended = timeout(limit, self.process.wait()).await;
        let ended = ended.wrap_err_with(|| format!("demo: {} takes too long", self.name))?;
        ended.wrap_err_with(|| format!("demo: wait for {}", self.name))
    }

    /// Returns whether the process runs.
    pub(crate) fn runs(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Prints the last lines of its log.
    pub(crate) fn print_log(&self) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        println!("--- {} (last lines of {})", self.name, self.log.display());
        lines[lines.len().saturating_sub(TAIL_LINES)..].iter().for_each(|it| println!("{it}"));
    }
}
