//! The processes of a run, each behind a proxy, and the faults that befall them.

use {
    crate::{
        calm::Cause,
        plan::{Harm, Part, Size},
        process::Process,
        proxy::Proxy,
        record::Shared,
        site::{self, GRACE_MS, free_addr},
    },
    edge::{Client, empty},
    eyre::{Result, WrapErr, bail},
    rustix::process::Signal,
    settings::ControlSettings,
    std::{
        fs::{self, OpenOptions},
        io::Write,
        net::SocketAddr,
        path::{Path, PathBuf},
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

/// How long processes may take to become ready.
pub(crate) const READY: Duration = Duration::from_secs(15);

/// How much longer than its grace a process may take to stop.
const STOP_SLACK: Duration = Duration::from_secs(1);

/// How long a question to a process may take, in milliseconds.
const ASK_MS: u64 = 1_000;

/// Bytes of a record that was never finished.
const TORN: [u8; 37] = [0x5a; 37];

/// The most memory that a process may use, in KiB: what operators allow a router on a shared host.
const MEMORY_KIB: u64 = 128 << 10;

/// A process, the proxy before it, and where it is asked how it does.
pub(crate) struct Member {
    pub(crate) part: Part,
    pub(crate) process: Mutex<Process>,
    pub(crate) proxy: Proxy,
    pub(crate) admin: SocketAddr,
    /// How often it was started.
    pub(crate) life: Arc<AtomicU32>,
    /// Its folder, if it keeps state.
    data: Option<PathBuf>,
}

/// All processes of a run.
pub(crate) struct Fleet {
    pub(crate) replicas: Vec<Arc<Member>>,
    pub(crate) gateways: Vec<Arc<Member>>,
    record: Shared,
    client: Client,
}

impl Fleet {
    /// Starts all processes and waits until the replicas are ready.
    pub(crate) async fn start(
        size: Size,
        binaries: &Path,
        folder: &Path,
        list: SocketAddr,
        record: Shared,
    ) -> Result<Fleet> {
        fs::write(folder.join("operators.toml"), site::operators()).wrap_err("operators")?;
        let mut proxies = Vec::new();
        for _ in 0..size.replicas {
            let inner = free_addr()?;
            proxies.push((inner, Proxy::bind(inner).await?));
        }
        let seeds: Vec<_> = proxies.iter().map(|it| it.1.addr()).collect();
        let mut settings: Vec<ControlSettings> = Vec::new();
        let mut replicas = Vec::new();
        for (number, (inner, proxy)) in proxies.into_iter().enumerate() {
            let own = site::control(number, folder, inner, proxy.addr(), &seeds, list)?;
            let name = format!("control-{number}");
            let process = Process::new(name, &binaries.join("jf-control"), folder);
            process.configure(&toml::to_string(&own).wrap_err("settings of control")?)?;
            let (admin, data) = (own.admin, Some(own.data.clone()));
            replicas.push(member(Part::Control(number), process, proxy, admin, data));
            settings.push(own);
        }
        let mut gateways = Vec::new();
        for number in 0..size.gateways {
            let listen = free_addr()?;
            let own = site::gateway(number, listen, &seeds, list)?;
            let proxy = Proxy::bind(listen).await?;
            let name = format!("gateway-{number}");
            let process = Process::new(name, &binaries.join("jf-gateway"), folder);
            process.configure(&toml::to_string(&own).wrap_err("settings of a gateway")?)?;
            gateways.push(member(Part::Gateway(number), process, proxy, own.admin, None));
        }
        let client = Client::new(ASK_MS);
        let fleet = Fleet { replicas, gateways, record, client };
        for member in &fleet.replicas {
            member.process.lock().await.start()?;
        }
        fleet.wait_ready(&fleet.replicas).await.wrap_err("control")?;
        // From here on the group exists: an empty disk must never found another one.
        for (member, mut own) in fleet.replicas.iter().zip(settings) {
            own.bootstrap = false;
            let text = toml::to_string(&own).wrap_err("settings of control")?;
            member.process.lock().await.configure(&text)?;
        }
        for member in &fleet.gateways {
            member.process.lock().await.start()?;
        }
        Ok(fleet)
    }

    pub(crate) fn member(&self, part: Part) -> Option<&Arc<Member>> {
        match part {
            Part::Gateway(number) => self.gateways.get(number),
            Part::Control(number) => self.replicas.get(number),
            Part::Endpoint(_) | Part::List => None,
        }
    }

    /// Waits until all of these say that they are ready.
    pub(crate) async fn wait_ready(&self, members: &[Arc<Member>]) -> Result<()> {
        let deadline = Instant::now() + READY;
        for member in members {
            while !self.is_ready(member).await {
                if Instant::now() > deadline {
                    bail!("{} is not ready after {READY:?}", member.part);
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, member: &Member) -> bool {
        let asked = self.client.call(member.admin, "GET", "/ready", None, empty()).await;
        matches!(asked, Ok((200, _)))
    }

    /// Kills a process, and starts it again after a pause; `between` is what happens to its state meanwhile.
    pub(crate) async fn kill<F>(&self, part: Part, lasts: Duration, between: F) -> Result<()>
    where
        F: FnOnce(&Path) -> Result<()>,
    {
        let Some(member) = self.member(part) else { return Ok(()) };
        // A process that another fault holds is left to that one.
        let Ok(mut process) = member.process.try_lock() else { return Ok(()) };
        self.record.disturb(part, Cause::Fault, Instant::now());
        process.signal(Signal::KILL)?;
        process.wait(STOP_SLACK).await?;
        sleep(lasts).await;
        if let Some(data) = &member.data {
            between(data)?;
        }
        process.start()?;
        member.life.fetch_add(1, Ordering::Relaxed);
        drop(process);
        self.returned(member, Cause::Fault).await;
        Ok(())
    }

    /// Stops a process in order, and starts it again after a pause.
    pub(crate) async fn stop(&self, part: Part, lasts: Duration) -> Result<()> {
        let Some(member) = self.member(part) else { return Ok(()) };
        let Ok(mut process) = member.process.try_lock() else { return Ok(()) };
        let cause = match part {
            Part::Gateway(_) => Cause::Planned,
            _ => Cause::Fault,
        };
        self.record.disturb(part, cause, Instant::now());
        process.signal(Signal::TERM)?;
        let limit = Duration::from_millis(GRACE_MS) + STOP_SLACK;
        match process.wait(limit).await {
            Ok(status) if status.success() => {}
            Ok(status) => self.record.violation("stop", &format!("{part} ended with {status}")),
            Err(err) => {
                self.record.violation("stop", &format!("{part}: {err:#}"));
                process.signal(Signal::KILL)?;
                process.wait(STOP_SLACK).await?;
            }
        }
        // What follows is no different from a host that is away.
        self.record.disturb(part, Cause::Fault, Instant::now());
        sleep(lasts).await;
        process.start()?;
        member.life.fetch_add(1, Ordering::Relaxed);
        drop(process);
        self.record.calm(part, cause, Instant::now());
        self.returned(member, Cause::Fault).await;
        Ok(())
    }

    /// Waits for a process that started to be ready, at most so long, before its disturbance counts as over.
    async fn returned(&self, member: &Member, cause: Cause) {
        let ready = async {
            while !self.is_ready(member).await {
                sleep(Duration::from_millis(50)).await;
            }
        };
        if timeout(READY, ready).await.is_err() {
            // While other faults go on this may be so; the end of the run tells.
            eprintln!("{} is not ready {READY:?} after its start", member.part);
        }
        self.record.calm(member.part, cause, Instant::now());
    }

    /// Stops the clock of a process for some time.
    pub(crate) async fn pause(&self, part: Part, lasts: Duration) -> Result<()> {
        let Some(member) = self.member(part) else { return Ok(()) };
        let Ok(mut process) = member.process.try_lock() else { return Ok(()) };
        self.record.disturb(part, Cause::Fault, Instant::now());
        process.signal(Signal::STOP)?;
        sleep(lasts).await;
        process.signal(Signal::CONT)?;
        self.record.calm(part, Cause::Fault, Instant::now());
        Ok(())
    }

    /// Tells a process to read its settings again.
    pub(crate) async fn hang_up(&self, part: Part) -> Result<()> {
        let Some(member) = self.member(part) else { return Ok(()) };
        let Ok(mut process) = member.process.try_lock() else { return Ok(()) };
        self.record.disturb(part, Cause::Planned, Instant::now());
        process.signal(Signal::HUP)?;
        self.record.calm(part, Cause::Planned, Instant::now());
        Ok(())
    }

    /// Empties the disk of a replica, if the group can bear that: all others are ready.
    pub(crate) async fn wipe(&self, number: usize, lasts: Duration) -> Result<()> {
        for (other, member) in self.replicas.iter().enumerate() {
            if other != number && !self.is_ready(member).await {
                return Ok(());
            }
        }
        let empty = |it: &Path| fs::remove_dir_all(it).wrap_err("empty a disk");
        self.kill(Part::Control(number), lasts, empty).await
    }

    /// Leaves an unfinished record at the end of the log of a replica that was killed.
    pub(crate) async fn tear(&self, number: usize, lasts: Duration) -> Result<()> {
        self.kill(Part::Control(number), lasts, tear).await
    }

    /// Harms the connections to a process for some time.
    pub(crate) async fn harm(&self, part: Part, harm: Harm, lasts: Duration) {
        let Some(member) = self.member(part) else { return };
        self.record.disturb(part, Cause::Fault, Instant::now());
        member.proxy.harm(harm);
        sleep(lasts).await;
        member.proxy.heal();
        self.record.calm(part, Cause::Fault, Instant::now());
    }

    /// Notes processes that ended by themselves, panicked or used too much memory.
    pub(crate) async fn check(&self) {
        for member in self.replicas.iter().chain(&self.gateways) {
            let mut process = member.process.lock().await;
            if let Some(status) = process.ended() {
                self.record.violation("ended", &format!("{} by itself: {status}", process.name()));
            }
            if process.panicked() {
                self.record.violation("panicked", process.name());
            }
            let peak = process.peak_kib();
            if peak > MEMORY_KIB {
                self.record.violation("memory", &format!("{}: {peak} KiB", process.name()));
            }
        }
    }

    /// Stops all processes.
    pub(crate) async fn end(&self) -> Result<()> {
        let limit = Duration::from_millis(GRACE_MS) + STOP_SLACK;
        for member in self.gateways.iter().chain(&self.replicas) {
            member.process.lock().await.signal(Signal::TERM)?;
        }
        for member in self.gateways.iter().chain(&self.replicas) {
            match member.process.lock().await.wait(limit).await {
                Ok(status) if status.success() => {}
                Ok(status) => {
                    let text = format!("{} ended with {status}", member.part);
                    self.record.violation("stop", &text);
                }
                Err(err) => self.record.violation("stop", &format!("{}: {err:#}", member.part)),
            }
        }
        Ok(())
    }
}

fn member(
    part: Part,
    process: Process,
    proxy: Proxy,
    admin: SocketAddr,
    data: Option<PathBuf>,
) -> Arc<Member> {
    let (process, life) = (Mutex::new(process), Arc::default());
    Arc::new(Member { part, process, proxy, admin, life, data })
}

/// Appends bytes to the newest log file of a folder.
fn tear(data: &Path) -> Result<()> {
    let mut files = Vec::new();
    for entry in fs::read_dir(data).wrap_err("list a disk")? {
        let entry = entry.wrap_err("list a disk")?;
        let modified = entry.metadata().and_then(|it| it.modified()).wrap_err("list a disk")?;
        files.push((modified, entry.path()));
    }
    let is_log =
        |it: &Path| it.file_name().is_some_and(|it| it.to_string_lossy().starts_with(LOG_PREFIX));
    files.retain(|it| is_log(&it.1));
    let Some((_, newest)) = files.into_iter().max() else { return Ok(()) };
    let file = OpenOptions::new().append(true).open(newest);
    file.and_then(|mut it| it.write_all(&TORN)).wrap_err("tear a log")
}

/// What the names of the files begin with that hold a replica's log.
const LOG_PREFIX: &str = "log-";
