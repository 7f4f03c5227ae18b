//! The control and gateway processes of a run, each behind a proxy, and the faults injected into them.

use {
    crate::{
        config::{self, GRACE_MS, free_addr},
        disturbances::Cause,
        history::SharedHistory,
        plan::{Component, FleetSize, LinkFault},
        process::Process,
        proxy::Proxy,
    },
    edge::{Client, empty},
    eyre::{Result, WrapErr, bail},
    rustix::process::Signal,
    settings::ControlSettings,
    std::{
        fs::{self, OpenOptions},
        io::Write,
        net::SocketAddr,
        os::unix::process::ExitStatusExt,
        path::{Path, PathBuf},
        process::ExitStatus,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::Mutex,
        time::{sleep, timeout},
    },
};

/// How long a process may take to become ready.
pub(crate) const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a process may take to exit beyond its grace period.
const STOP_SLACK: Duration = Duration::from_secs(1);

/// Timeout of a request to the admin port of a process, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 1_000;

/// Bytes that resemble an incompletely written log record.
const TORN_RECORD: [u8; 37] = [0x5a; 37];

/// Maximum resident memory of a process in KiB, which is what operators grant a router on a shared host.
const MEMORY_KIB: u64 = 128 << 10;

/// A process, its proxy and its admin address.
pub(crate) struct Member {
    pub(crate) component: Component,
    pub(crate) process: Mutex<Process>,
    pub(crate) proxy: Proxy,
    pub(crate) admin: SocketAddr,
    /// How often the process was restarted.
    pub(crate) incarnation: Arc<AtomicU32>,
    /// Its data directory, if it keeps state.
    data: Option<PathBuf>,
}

/// All processes of a run.
pub(crate) struct Fleet {
    pub(crate) replicas: Vec<Arc<Member>>,
    pub(crate) gateways: Vec<Arc<Member>>,
    history: SharedHistory,
    client: Client,
}

impl Fleet {
    /// Starts all processes and waits until the control replicas are ready.
    pub(crate) async fn start(
        size: FleetSize,
        binaries: &Path,
        folder: &Path,
        directory: SocketAddr,
        history: SharedHistory,
    ) -> Result<Fleet> {
        fs::write(folder.join("operators.toml"), config::operators()).wrap_err("operators")?;
        let mut proxies = Vec::new();
        for _ in 0..size.replicas {
            let inner = free_addr()?;
            proxies.push((inner, Proxy::bind(inner).await?));
        }
        let seeds: Vec<_> = proxies.iter().map(|it| it.1.addr()).collect();
        let mut settings: Vec<ControlSettings> = Vec::new();
        let mut replicas = Vec::new();
        for (number, (inner, proxy)) in proxies.into_iter().enumerate() {
            let own = config::control(number, folder, inner, proxy.addr(), &seeds, directory)?;
            let name = format!("control-{number}");
            let process = Process::new(name, &binaries.join("jf-control"), folder);
            process.write_settings(
                &toml::to_string(&own)
                    .wrap_err("failed to serialize the settings of a control replica")?,
            )?;
            let (admin, data) = (own.admin, Some(own.data.clone()));
            replicas.push(new_member(Component::Control(number), process, proxy, admin, data));
            settings.push(own);
        }
        let mut gateways = Vec::new();
        for number in 0..size.gateways {
            let listen = free_addr()?;
            let own = config::gateway(number, listen, &seeds, directory)?;
            let proxy = Proxy::bind(listen).await?;
            let name = format!("gateway-{number}");
            let process = Process::new(name, &binaries.join("jf-gateway"), folder);
            process.write_settings(
                &toml::to_string(&own).wrap_err("failed to serialize the settings of a gateway")?,
            )?;
            gateways.push(new_member(Component::Gateway(number), process, proxy, own.admin, None));
        }
        let client = Client::new(REQUEST_TIMEOUT_MS);
        let fleet = Fleet { replicas, gateways, history, client };
        for member in &fleet.replicas {
            member.process.lock().await.start()?;
        }
        fleet.wait_ready(&fleet.replicas).await.wrap_err("control replicas did not start")?;
        // The group exists from here on. A replica with an empty disk must not bootstrap a second one.
        for (member, mut own) in fleet.replicas.iter().zip(settings) {
            own.bootstrap = false;
            let text = toml::to_string(&own)
                .wrap_err("failed to serialize the settings of a control replica")?;
            member.process.lock().await.write_settings(&text)?;
        }
        for member in &fleet.gateways {
            member.process.lock().await.start()?;
        }
        Ok(fleet)
    }

    pub(crate) fn member(&self, component: Component) -> Option<&Arc<Member>> {
        match component {
            Component::Gateway(number) => self.gateways.get(number),
            Component::Control(number) => self.replicas.get(number),
            Component::Endpoint(_) | Component::Directory => None,
        }
    }

    /// Waits until all members report that they are ready.
    pub(crate) async fn wait_ready(&self, members: &[Arc<Member>]) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for member in members {
            while !self.is_ready(member).await {
                if Instant::now() > deadline {
                    bail!("{} is not ready after {READY_TIMEOUT:?}", member.component);
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, member: &Member) -> bool {
        self.readiness(member).await == Some(200)
    }

    /// Returns the status of the response to a readiness check.
    async fn readiness(&self, member: &Member) -> Option<u16> {
        let response = self.client.call(member.admin, "GET", "/ready", None, empty()).await;
        response.ok().map(|it| it.0)
    }

    /// Waits until a process that was started has bound its addresses, at most [`READY_TIMEOUT`].
    async fn wait_listening(&self, member: &Member) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while self.readiness(member).await.is_none() && Instant::now() < deadline {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills a process and restarts it after `duration`; `before_restart` may modify its data directory.
    pub(crate) async fn kill<F>(
        &self,
        component: Component,
        duration: Duration,
        before_restart: F,
    ) -> Result<()>
    where
        F: FnOnce(&Path) -> Result<()>,
    {
        let Some(member) = self.member(component) else { return Ok(()) };
        // Another fault is already in progress on this process.
        let Ok(mut process) = member.process.try_lock() else { return Ok(()) };
        self.history.begin_disturbance(component, Cause::Fault, Instant::now());
        process.signal(Signal::KILL)?;
        process.wait(STOP_SLACK).await?;
        sleep(duration).await;
        if let Some(data) = &member.data {
            before_restart(data)?;
        }
        process.start()?;
        member.incarnation.fetch_add(1, Ordering::Relaxed);
        drop(process);
        self.wait_recovered(member, Cause::Fault).await;
        Ok(())
    }

    /// Stops a process gracefully and restarts it after `duration`.
    pub(crate) async fn stop(&self, component: Component, duration: Duration) -> Result<()> {
        let Some(member) = self.member(component) else { return Ok(()) };
        let Ok(mut process) = member.process.try_lock() else { return Ok(()) };
        let cause = match component {
            Component::Gateway(_) => Cause::Planned,
            _ => Cause::Fault,
        };
        self.history.begin_disturbance(component, cause, Instant::now());
        process.signal(Signal::TERM)?;
        let limit = Duration::from_millis(GRACE_MS) + STOP_SLACK;
        match process.wait(limit).await {
            Ok(status) if status.success() => {}
            // The signal came before `main` could install a handler. Nothing was bound yet.
            Ok(status) if is_terminated(status) && !process.has_logged() => {}
            Ok(status) => {
                self.history.record_violation("stop", &format!("{component} exited with {status}"))
            }
            Err(err) => {
                self.history.record_violation("stop", &format!("{component}: {err:#}"));
                process.signal(Signal::KILL)?;
                process.wait(STOP_SLACK).await?;
            }
        }
        self.history.begin_disturbance(component, Cause::Down, Instant::now());
        sleep(duration).await;
        process.start()?;
        self.wait_listening(member).await;
        self.history.end_disturbance(component, Cause::Down, Instant::now());
        member.incarnation.fetch_add(1, Ordering::Relaxed);
        drop(process);
        self.wait_recovered(member, cause).await;
        Ok(())
    }

    /// Ends the disturbance of a restarted process as soon as it is ready, at the latest after [`READY_TIMEOUT`].
    async fn wait_recovered(&self, member: &Member, cause: Cause) {
        let ready = async {
            while !self.is_ready(member).await {
                sleep(Duration::from_millis(50)).await;
            }
        };
        if timeout(READY_TIMEOUT, ready).await.is_err() {
            // Other faults may cause this; readiness is checked again at the end of the run.
            eprintln!("{} is not ready {READY_TIMEOUT:?} after its restart", member.component);
        }
        self.history.end_disturbance(member.component, cause, Instant::now());
    }

    /// Suspends a process for `duration` (SIGSTOP, then SIGCONT).
    pub(crate) async fn pause(&self, component: Component, duration: Duration) -> Result<()> {
        let Some(member) = self.member(component) else { return Ok(()) };
        let Ok(mut process) = member.process.try_lock() else { return Ok(()) };
        self.history.begin_disturbance(component, Cause::Fault, Instant::now());
        process.signal(Signal::STOP)?;
        sleep(duration).await;
        process.signal(Signal::CONT)?;
        self.history.end_disturbance(component, Cause::Fault, Instant::now());
        Ok(())
    }

    /// Makes a process reload its settings (SIGHUP).
    pub(crate) async fn reload(&self, component: Component) -> Result<()> {
        let Some(member) = self.member(component) else { return Ok(()) };
        let Ok(mut process) = member.process.try_lock() else { return Ok(()) };
        self.history.begin_disturbance(component, Cause::Planned, Instant::now());
        process.signal(Signal::HUP)?;
        self.history.end_disturbance(component, Cause::Planned, Instant::now());
        Ok(())
    }

    /// Kills a replica and restarts it with an empty disk. Does nothing unless all other replicas are ready, because the
    /// group might lose its quorum.
    pub(crate) async fn wipe_disk(&self, number: usize, duration: Duration) -> Result<()> {
        for (other, member) in self.replicas.iter().enumerate() {
            if other != number && !self.is_ready(member).await {
                return Ok(());
            }
        }
        let empty =
            |it: &Path| fs::remove_dir_all(it).wrap_err("failed to delete a data directory");
        self.kill(Component::Control(number), duration, empty).await
    }

    /// Kills a replica and restarts it with an incomplete record at the end of its log.
    pub(crate) async fn tear_log(&self, number: usize, duration: Duration) -> Result<()> {
        self.kill(Component::Control(number), duration, append_torn_record).await
    }

    /// Injects a link fault on the connections to a process for `duration`.
    pub(crate) async fn inject_link_fault(
        &self,
        component: Component,
        fault: LinkFault,
        duration: Duration,
    ) {
        let Some(member) = self.member(component) else { return };
        self.history.begin_disturbance(component, Cause::Fault, Instant::now());
        member.proxy.apply(fault);
        sleep(duration).await;
        member.proxy.clear();
        self.history.end_disturbance(component, Cause::Fault, Instant::now());
    }

    /// Records violations for processes that exited on their own, panicked or used too much memory.
    pub(crate) async fn check_processes(&self) {
        for member in self.replicas.iter().chain(&self.gateways) {
            let mut process = member.process.lock().await;
            if let Some(status) = process.exit_status() {
                self.history.record_violation(
                    "ended",
                    &format!("{} exited unexpectedly: {status}", process.name()),
                );
            }
            if process.panicked() {
                self.history.record_violation("panicked", process.name());
            }
            let peak = process.peak_kib();
            if peak > MEMORY_KIB {
                self.history
                    .record_violation("memory", &format!("{} used {peak} KiB", process.name()));
            }
        }
    }

    /// Stops all processes gracefully.
    pub(crate) async fn stop_all(&self) -> Result<()> {
        let limit = Duration::from_millis(GRACE_MS) + STOP_SLACK;
        for member in self.gateways.iter().chain(&self.replicas) {
            member.process.lock().await.signal(Signal::TERM)?;
        }
        for member in self.gateways.iter().chain(&self.replicas) {
            match member.process.lock().await.wait(limit).await {
                Ok(status) if status.success() => {}
                Ok(status) => {
                    let text = format!("{} exited with {status}", member.component);
                    self.history.record_violation("stop", &text);
                }
                Err(err) => {
                    self.history.record_violation("stop", &format!("{}: {err:#}", member.component))
                }
            }
        }
        Ok(())
    }
}

fn is_terminated(status: ExitStatus) -> bool {
    status.signal() == Some(Signal::TERM.as_raw())
}

fn new_member(
    component: Component,
    process: Process,
    proxy: Proxy,
    admin: SocketAddr,
    data: Option<PathBuf>,
) -> Arc<Member> {
    let (process, incarnation) = (Mutex::new(process), Arc::default());
    Arc::new(Member { component, process, proxy, admin, incarnation, data })
}

/// Appends an incomplete record to the newest log file in a data directory.
fn append_torn_record(data: &Path) -> Result<()> {
    let mut files = Vec::new();
    for entry in fs::read_dir(data).wrap_err("failed to list a data directory")? {
        let entry = entry.wrap_err("failed to list a data directory")?;
        let modified = entry
            .metadata()
            .and_then(|it| it.modified())
            .wrap_err("failed to list a data directory")?;
        files.push((modified, entry.path()));
    }
    let is_log =
        |it: &Path| it.file_name().is_some_and(|it| it.to_string_lossy().starts_with(LOG_PREFIX));
    files.retain(|it| is_log(&it.1));
    let Some((_, newest)) = files.into_iter().max() else { return Ok(()) };
    let file = OpenOptions::new().append(true).open(newest);
    file.and_then(|mut it| it.write_all(&TORN_RECORD)).wrap_err("failed to append to a log")
}

/// File name prefix of the log segments of a replica.
const LOG_PREFIX: &str = "log-";
