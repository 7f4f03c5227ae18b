//! Building, starting and stopping a fleet.

use {
    crate::demo::{child::Child, files::RunDir},
    edge::{Client, empty},
    eyre::{OptionExt, Result, WrapErr, bail, eyre},
    settings::{LoadSettings, OperatorSettings},
    std::{
        env, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::Command,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        process::Command as AsyncCommand,
        time::{Instant, sleep, timeout},
    },
};

const READY_TIMEOUT: Duration = Duration::from_secs(40);
const COMMAND_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const REQUEST_TIMEOUT_MS: u64 = 2_000;

/// Builds the binaries and returns their directory.
pub(crate) fn build(release: bool) -> Result<PathBuf> {
    let mut cargo = Command::new(env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.args(["build", "--locked", "--bins"]);
    cargo.args(["-p", "standin", "-p", "control", "-p", "router", "-p", "jf", "-p", "load"]);
    if release {
        cargo.arg("--release");
    }
    if !cargo.status().wrap_err("demo: failed to run cargo build")?.success() {
        bail!("demo: cargo build failed");
    }
    let this = env::current_exe().wrap_err("demo: failed to locate the current executable")?;
    let target = this.ancestors().nth(2).ok_or_eyre("demo: found no target directory")?;
    Ok(target.join(if release { "release" } else { "debug" }))
}

/// The processes of one run.
pub(crate) struct Fleet<'a> {
    binaries: &'a Path,
    folder: &'a RunDir,
    children: Vec<Child>,
}

impl<'a> Fleet<'a> {
    pub(crate) fn new(binaries: &'a Path, folder: &'a RunDir) -> Fleet<'a> {
        Fleet { binaries, folder, children: Vec::new() }
    }

    pub(crate) fn folder(&self) -> &'a RunDir {
        self.folder
    }

    /// Starts all processes and applies the intent.
    pub(crate) async fn start(&mut self) -> Result<()> {
        let path = self.folder.path();
        let load: LoadSettings = settings::load(&path.join("load.toml"))?;
        let operator: OperatorSettings = settings::load(&path.join("jf.toml"))?;
        self.spawn("jf-standin", "standin.toml")?;
        for engine in &load.engine {
            self.wait_for_port(engine.addr).await?;
        }
        for file in self.folder.numbered("control") {
            self.spawn("jf-control", &file)?;
        }
        self.wait_for_page(operator.control[0], "/ready").await?;
        for file in self.folder.numbered("router") {
            self.spawn("jf-router", &file)?;
        }
        for router in &load.router {
            self.wait_for_page(router.admin, "/health").await?;
        }
        println!("demo: {} processes are running", self.children.len());
        self.apply_intent().await?;
        for router in &load.router {
            self.wait_for_page(router.admin, "/ready").await?;
        }
        println!("demo: {} routers are ready", load.router.len());
        Ok(())
    }

    /// Runs one of the binaries to completion and returns its standard output.
    pub(crate) async fn command(&self, binary: &str, args: &[&str]) -> Result<String> {
        let mut command = AsyncCommand::new(self.binaries.join(binary));
        command.args(args).current_dir(self.folder.path()).kill_on_drop(true);
        let output = timeout(COMMAND_TIMEOUT, command.output()).await;
        let output = output.wrap_err_with(|| format!("demo: {binary} {args:?} timed out"))?;
        let output = output.wrap_err_with(|| format!("demo: failed to run {binary}"))?;
        if !output.status.success() {
            self.print_logs();
            let text = String::from_utf8_lossy(&output.stderr);
            bail!("demo: {binary} {args:?} exited with {}: {text}", output.status);
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Runs one of the binaries to completion with inherited output.
    pub(crate) async fn run_with_output(&self, binary: &str, args: &[&str]) -> Result<()> {
        let mut command = AsyncCommand::new(self.binaries.join(binary));
        command.args(args).current_dir(self.folder.path()).kill_on_drop(true);
        let status =
            command.status().await.wrap_err_with(|| format!("demo: failed to run {binary}"))?;
        if !status.success() {
            println!("demo: {binary} {args:?} exited with {status}");
        }
        Ok(())
    }

    /// Returns the mean resource usage of the processes whose names start with `kind`: CPU seconds and MiB.
    pub(crate) fn resource_usage(&self, kind: &str) -> (f64, f64) {
        let used: Vec<_> = self
            .children
            .iter()
            .filter(|it| it.name.starts_with(kind))
            .map(Child::resource_usage)
            .collect();
        let mean = |sum: f64| sum / used.len().max(1) as f64;
        (mean(used.iter().map(|it| it.seconds).sum()), mean(used.iter().map(|it| it.memory).sum()))
    }

    /// Waits until any process exits and returns its name.
    pub(crate) async fn wait_for_exit(&mut self) -> Result<String> {
        loop {
            for child in &mut self.children {
                if child.check().is_err() {
                    return Ok(child.name.clone());
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Stops all processes gracefully in reverse order of their start, routers first.
    pub(crate) async fn stop_all(&mut self) -> Result<()> {
        let mut ended = Ok(());
        while let Some(mut child) = self.children.pop() {
            child.terminate().await;
            ended = ended.and(child.join().await);
        }
        ended
    }

    /// Starts one of the binaries as a process that is not part of the fleet.
    pub(crate) fn spawn_extra(&self, binary: &str, args: &[&str]) -> Result<Child> {
        Child::spawn(&self.binaries.join(binary), args, self.folder.path(), binary)
    }

    /// Stops a process gracefully.
    pub(crate) async fn stop(&mut self, name: &str) -> Result<()> {
        let at = self.index_of(name)?;
        let child = &mut self.children[at];
        child.terminate().await;
        child.join().await
    }

    /// Kills a process.
    pub(crate) async fn kill(&mut self, name: &str) -> Result<()> {
        let at = self.index_of(name)?;
        self.children[at].kill().await
    }

    /// Restarts a process that has exited and waits until its `/ready` page at `admin` returns 200.
    pub(crate) async fn restart(&mut self, name: &str, admin: SocketAddr) -> Result<()> {
        let at = self.index_of(name)?;
        let binary = format!("jf-{}", name.split('-').next().unwrap_or(name));
        let file = format!("{name}.toml");
        let path = self.binaries.join(binary);
        self.children[at] = Child::spawn(&path, &[&file], self.folder.path(), name)?;
        self.wait_for_page(admin, "/ready").await
    }

    fn index_of(&self, name: &str) -> Result<usize> {
        let at = self.children.iter().position(|it| it.name == name);
        at.ok_or_else(|| eyre!("demo: unknown process {name}"))
    }

    pub(crate) fn print_logs(&self) {
        self.children.iter().for_each(Child::print_log);
    }

    fn spawn(&mut self, binary: &str, file: &str) -> Result<()> {
        let name = file.trim_end_matches(".toml");
        let path = self.binaries.join(binary);
        self.children.push(Child::spawn(&path, &[file], self.folder.path(), name)?);
        Ok(())
    }

    async fn apply_intent(&self) -> Result<()> {
        let planned = self.command("jf", &["plan", "intent.toml", "--json"]).await?;
        let planned: serde_json::Value = serde_json::from_str(&planned)
            .wrap_err("demo: failed to parse the output of jf plan")?;
        let plan = planned["plan"].as_str().ok_or_eyre("demo: jf plan printed no plan")?;
        print!("demo: {plan}: {}", self.command("jf", &["confirm", plan]).await?);
        Ok(())
    }

    async fn wait_for_port(&mut self, addr: SocketAddr) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while TcpStream::connect(addr).await.is_err() {
            self.poll(deadline, &format!("{addr} refuses connections")).await?;
        }
        Ok(())
    }

    async fn wait_for_page(&mut self, addr: SocketAddr, page: &str) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let client = Client::new(REQUEST_TIMEOUT_MS);
        loop {
            let response = client.call(addr, "GET", page, None, empty()).await;
            let found = match response {
                Ok((200, _)) => return Ok(()),
                Ok((status, body)) => {
                    format!("{status} {}", String::from_utf8_lossy(&body).trim())
                }
                Err(err) => err.to_string(),
            };
            self.poll(deadline, &format!("{addr}{page}: {found}")).await?;
        }
    }

    /// Sleeps for one poll interval. Fails after the deadline or if a process has exited.
    async fn poll(&mut self, deadline: Instant, found: &str) -> Result<()> {
        self.children.iter_mut().try_for_each(Child::check)?;
        if Instant::now() > deadline {
            self.print_logs();
            bail!("demo: not ready within {READY_TIMEOUT:?}: {found}");
        }
        sleep(POLL_INTERVAL).await;
        Ok(())
    }
}

/// Reads a token file of a run.
pub(crate) fn token(folder: &RunDir, file: &Path) -> Result<String> {
    let file = folder.path().join(file);
    let text = fs::read_to_string(&file);
    Ok(text.wrap_err_with(|| format!("demo: failed to read {}", file.display()))?.trim().to_owned())
}
