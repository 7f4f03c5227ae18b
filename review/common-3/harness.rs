//! Stand-ins for clients, runners, the platform and the operator, and the project's own programs as processes.
//!
//! Uses the standard library only. Every address is a loopback address. Each machine has an address of its own, as the
//! ports are the same on all machines.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// Whether the disruption takes place. `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = fs::File::create(path).expect("the record can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The headers with names in lower case. Values are raw bytes.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.headers.iter().find(|it| it.0 == name)?;
        Some(String::from_utf8_lossy(&found.1).into_owned())
    }

    pub fn raw_header(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|it| it.0 == name).map(|it| &*it.1)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message. `buffer` keeps what was read past it.
fn read_head(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16 << 10];
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            break at;
        }
        match socket.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head: Vec<u8> = buffer.drain(..end + 4).collect();
    let mut lines = head[..end].split(|it| *it == b'\n').map(|it| it.strip_suffix(b"\r").unwrap_or(it));
    let start = String::from_utf8_lossy(lines.next().unwrap_or_default()).into_owned();
    let mut headers = Vec::new();
    for line in lines {
        let Some(at) = line.iter().position(|it| *it == b':') else { continue };
        let name = String::from_utf8_lossy(&line[..at]).to_ascii_lowercase();
        headers.push((name, line[at + 1..].trim_ascii().to_vec()));
    }
    Ok(Some(Message { start, headers, body: Vec::new() }))
}

fn fill(socket: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> io::Result<()> {
    let mut chunk = [0; 16 << 10];
    while buffer.len() < length {
        match socket.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    Ok(())
}

fn read_line(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(at) = buffer.windows(2).position(|it| it == b"\r\n") {
            let line: Vec<u8> = buffer.drain(..at + 2).collect();
            return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
        }
        let length = buffer.len() + 1;
        fill(socket, buffer, length)?;
    }
}

/// Reads the body of a message. `to_end` says whether one without a length ends with the connection.
fn read_body(
    socket: &mut TcpStream,
    buffer: &mut Vec<u8>,
    message: &mut Message,
    to_end: bool,
) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        loop {
            let line = read_line(socket, buffer)?;
            let length = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if length == 0 {
                while !read_line(socket, buffer)?.is_empty() {}
                return Ok(());
            }
            fill(socket, buffer, length + 2)?;
            message.body.extend(buffer.drain(..length));
            buffer.drain(..2);
        }
    }
    if let Some(length) = message.header("content-length").and_then(|it| it.parse().ok()) {
        fill(socket, buffer, length)?;
        message.body = buffer.drain(..length).collect();
    } else if to_end {
        let mut rest = std::mem::take(buffer);
        socket.read_to_end(&mut rest)?;
        message.body = rest;
    }
    Ok(())
}

/// Sends a request on a new connection and reads its response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &[u8])],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    match call_partly(addr, method, path, headers, body, timeout)? {
        (message, true) => Ok(message),
        (_, false) => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Like [`call`]. Returns also a response whose body broke off, and whether it is complete.
pub fn call_partly(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &[u8])],
    body: &[u8],
    timeout: Duration,
) -> io::Result<(Message, bool)> {
    let mut socket = TcpStream::connect_timeout(&addr, ms(1_000))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(timeout))?;
    socket.set_write_timeout(Some(timeout))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        request.extend_from_slice(name.as_bytes());
        request.extend_from_slice(b": ");
        request.extend_from_slice(value);
        request.extend_from_slice(b"\r\n");
    }
    if !body.is_empty() || method != "GET" {
        request.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    request.extend_from_slice(b"\r\n");
    request.extend_from_slice(body);
    socket.write_all(&request)?;
    let mut buffer = Vec::new();
    let head = read_head(&mut socket, &mut buffer)?;
    let mut message = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let is_complete = method == "HEAD" || read_body(&mut socket, &mut buffer, &mut message, true).is_ok();
    Ok((message, is_complete))
}

/// What a runner does with a request.
pub enum Reply {
    /// The bytes of a response.
    Respond(Vec<u8>),
    /// The runner crashes and is back after this time.
    Crash(Duration),
    /// The connection is closed.
    Close,
    /// The bytes of a response, each after a pause.
    Stream(Vec<(Duration, Vec<u8>)>),
}

/// A response of a runner to `request`, with further header lines.
pub fn response(request: &Message, status: &str, lines: &str, body: &[u8]) -> Vec<u8> {
    let id = request.header("jasminefront-request-attempt-id").unwrap_or_default();
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\nJasminefront-Request-Attempt-Id: {id}\r\n\
         Jasminefront-Response-Stamp: s.{id}\r\nJasminefront-Server-Load: 1,0,64\r\n{lines}\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

type Handler = dyn Fn(&Runner, &Message) -> Reply + Send + Sync;

/// A runner of a service. It has a new id at each start.
#[derive(Clone)]
pub struct Runner {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub slots: u32,
    state: Arc<RunnerState>,
}

struct RunnerState {
    run: AtomicU64,
    is_up: AtomicBool,
    is_draining: AtomicBool,
    born: AtomicU64,
    /// The part of the id that a start changes, unless the id stays the same.
    named_run: AtomicU64,
    version: Mutex<String>,
    sockets: Mutex<HashMap<u64, TcpStream>>,
    handler: Box<Handler>,
    record: Record,
}

impl Runner {
    pub fn start<F>(
        record: &Record,
        name: &str,
        service: &str,
        zone: &str,
        ip: Ipv4Addr,
        handler: F,
    ) -> Runner
    where
        F: Fn(&Runner, &Message) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((ip, 0)).expect("a runner's address is free");
        let addr = listener.local_addr().expect("a bound socket has an address");
        let state = RunnerState {
            run: AtomicU64::new(1),
            is_up: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            born: AtomicU64::new(unix_ms()),
            named_run: AtomicU64::new(1),
            version: Mutex::new("v1".into()),
            sockets: Mutex::default(),
            handler: Box::new(handler),
            record: record.clone(),
        };
        let runner = Runner {
            name: name.into(),
            service: service.into(),
            zone: zone.into(),
            addr,
            slots: 64,
            state: Arc::new(state),
        };
        let it = runner.clone();
        spawn(move || it.accept(listener, 1));
        runner
    }

    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.state.named_run.load(Ordering::SeqCst))
    }

    pub fn version(&self) -> String {
        self.state.version.lock().unwrap().clone()
    }

    pub fn is_up(&self) -> bool {
        self.state.is_up.load(Ordering::SeqCst)
    }

    pub fn set_draining(&self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
    }

    pub fn is_draining(&self) -> bool {
        self.state.is_draining.load(Ordering::SeqCst)
    }

    /// Ends for good.
    pub fn stop(&self) {
        if self.state.is_up.swap(false, Ordering::SeqCst) {
            self.state.record.line(format!("runner {} ends", self.id()));
            for socket in self.state.sockets.lock().unwrap().drain() {
                let _ = socket.1.shutdown(Shutdown::Both);
            }
        }
    }

    /// The entry in the platform's list.
    pub fn entry(&self) -> Vec<u8> {
        let draining = self.state.is_draining.load(Ordering::SeqCst);
        format!(
            "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"{}\",\"cold_remaining_ms\":0,\"born\":{}}}",
            self.id(),
            self.service,
            self.addr,
            self.zone,
            self.version(),
            self.slots,
            if draining { "draining" } else { "ready" },
            self.state.born.load(Ordering::SeqCst)
        )
        .into_bytes()
    }

    /// Ends all connections, refuses new ones for `down` and starts again with a new id.
    pub fn crash(&self, down: Duration) {
        self.crash_and_return(down, None);
    }

    /// Like [`Runner::crash`]. With a version, the runner starts again under the id that it had, at that version.
    pub fn crash_and_return(&self, down: Duration, version: Option<&str>) {
        if !self.state.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.state.record.line(format!("runner {} crashes", self.id()));
        for socket in self.state.sockets.lock().unwrap().drain() {
            let _ = socket.1.shutdown(Shutdown::Both);
        }
        let (it, version) = (self.clone(), version.map(str::to_owned));
        spawn(move || {
            sleep(down);
            let listener = loop {
                match TcpListener::bind(it.addr) {
                    Ok(listener) => break listener,
                    Err(_) => sleep(ms(20)),
                }
            };
            let run = it.state.run.fetch_add(1, Ordering::SeqCst) + 1;
            match version {
                Some(version) => *it.state.version.lock().unwrap() = version,
                None => it.state.named_run.store(run, Ordering::SeqCst),
            }
            it.state.born.store(unix_ms(), Ordering::SeqCst);
            it.state.is_up.store(true, Ordering::SeqCst);
            it.state.record.line(format!("runner {} is back at {}", it.id(), it.version()));
            it.accept(listener, run);
        });
    }

    fn accept(&self, listener: TcpListener, run: u64) {
        let is_current = || self.is_up() && self.state.run.load(Ordering::SeqCst) == run;
        let _ = listener.set_nonblocking(true);
        let mut next = 0;
        while is_current() {
            let Ok((socket, _)) = listener.accept() else {
                sleep(ms(1));
                continue;
            };
            let _ = socket.set_nonblocking(false);
            next += 1;
            let key = run << 32 | next;
            if let Ok(clone) = socket.try_clone() {
                self.state.sockets.lock().unwrap().insert(key, clone);
            }
            let it = self.clone();
            spawn(move || {
                let _ = it.serve(socket);
                it.state.sockets.lock().unwrap().remove(&key);
            });
        }
    }

    fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(mut request) = read_head(&mut socket, &mut buffer)? {
            read_body(&mut socket, &mut buffer, &mut request, false)?;
            if request.path() == "/health" {
                let id = format!("Jasminefront-Instance-Id: {}\r\n", self.id());
                socket.write_all(&response(&request, "200 OK", &id, b""))?;
                continue;
            }
            let wanted = request.header("jasminefront-expect-instance");
            if wanted.is_some_and(|it| it != self.id()) {
                socket.write_all(&response(&request, "421 Misdirected Request", "", b""))?;
                continue;
            }
            match (self.state.handler)(self, &request) {
                Reply::Respond(bytes) => socket.write_all(&bytes)?,
                Reply::Crash(down) => {
                    self.crash(down);
                    return Ok(());
                }
                Reply::Close => return Ok(()),
                Reply::Stream(parts) => {
                    for (pause, bytes) in parts {
                        sleep(pause);
                        socket.write_all(&bytes)?;
                    }
                }
            }
        }
        Ok(())
    }
}

/// The platform's list of runners, which lags.
#[derive(Clone)]
pub struct Cloud {
    pub addr: SocketAddr,
    runners: Arc<Mutex<Vec<Runner>>>,
    /// Entries of other writers, as bytes.
    others: Arc<Mutex<Vec<Vec<u8>>>>,
    /// The list as it is shown.
    shown: Arc<Mutex<Vec<Vec<u8>>>>,
}

pub const LIST_LAG: Duration = Duration::from_millis(800);

impl Cloud {
    pub fn start(runners: &[Runner]) -> Cloud {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address is free");
        let cloud = Cloud {
            addr: listener.local_addr().expect("a bound socket has an address"),
            runners: Arc::new(Mutex::new(runners.to_vec())),
            others: Arc::default(),
            shown: Arc::new(Mutex::new(runners.iter().map(Runner::entry).collect())),
        };
        let it = cloud.clone();
        spawn(move || {
            for socket in listener.incoming().flatten() {
                let it = it.clone();
                spawn(move || it.serve(socket));
            }
        });
        let it = cloud.clone();
        spawn(move || {
            loop {
                let entries = it.entries();
                let shown = it.shown.clone();
                spawn(move || {
                    sleep(LIST_LAG);
                    *shown.lock().unwrap() = entries;
                });
                sleep(ms(50));
            }
        });
        cloud
    }

    fn entries(&self) -> Vec<Vec<u8>> {
        let runners = self.runners.lock().unwrap();
        let own = runners.iter().map(Runner::entry);
        own.chain(self.others.lock().unwrap().iter().cloned()).collect()
    }

    pub fn add(&self, runner: &Runner) {
        self.runners.lock().unwrap().push(runner.clone());
    }

    pub fn remove(&self, runner: &Runner) {
        self.runners.lock().unwrap().retain(|it| it.addr != runner.addr);
    }

    /// Adds an entry of another writer.
    pub fn add_other(&self, entry: &[u8]) {
        self.others.lock().unwrap().push(entry.to_vec());
    }

    fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while read_head(&mut socket, &mut buffer)?.is_some() {
            let shown = self.shown.lock().unwrap().clone();
            let mut body = b"{\"instances\":[".to_vec();
            body.extend(shown.join(&b","[..]));
            body.extend_from_slice(b"],\"next\":null}");
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            socket.write_all(head.as_bytes())?;
            socket.write_all(&body)?;
        }
        Ok(())
    }
}

/// A process of the project.
pub struct Process {
    pub name: String,
    child: Child,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
}

impl Process {
    fn start(name: &str, program: &Path, settings: &Path, log: &Path) -> io::Result<Process> {
        let child = Process::spawn(program, settings, log)?;
        let name = name.to_owned();
        Ok(Process { name, child, program: program.into(), settings: settings.into(), log: log.into() })
    }

    fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
        let file = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let err = file.try_clone()?;
        let mut command = Command::new(program);
        command.arg(settings).env_clear().stdin(Stdio::null());
        command.stdout(file).stderr(err).spawn()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `STOP`, to this process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        if let Ok(child) = Process::spawn(&self.program, &self.settings, &self.log) {
            self.child = child;
        }
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn kill_at_once<'a>(processes: impl Iterator<Item = &'a mut Process>) {
    let mut processes: Vec<_> = processes.collect();
    processes.iter_mut().for_each(|it| drop(it.child.kill()));
    processes.iter_mut().for_each(|it| drop(it.child.wait()));
}

/// The machines of a small deployment.
pub struct Fleet {
    pub cores: Vec<Process>,
    pub edges: Vec<Process>,
    pub folder: PathBuf,
    core_ips: Vec<Ipv4Addr>,
    edge_ips: Vec<Ipv4Addr>,
    frontend: u16,
    readiness: u16,
    control: u16,
    pub record: Record,
}

const ZONES: [&str; 3] = ["prg-a", "prg-b", "brno"];

fn is_free(ip: Ipv4Addr, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok() && std::net::UdpSocket::bind((ip, port)).is_ok()
}

impl Fleet {
    /// Starts `edges` edge machines and three core machines, with the commands of the deploy file. Each
    /// edge machine has `memory_mb`.
    pub fn start(record: &Record, cloud: &Cloud, edges: usize, memory_mb: u64) -> io::Result<Fleet> {
        let net = 64 + (std::process::id() % 128) as u8;
        let core_ips: Vec<_> = (1..=3).map(|it| Ipv4Addr::new(127, net, 1, it)).collect();
        let edge_ips: Vec<_> = (1..=edges as u8).map(|it| Ipv4Addr::new(127, net, 2, it)).collect();
        let first = 20_000 + (std::process::id() % 9_000) as u16;
        let is_usable = |base: &u16| {
            let ports = *base..*base + 6;
            ports.clone().all(|port| core_ips.iter().chain(&edge_ips).all(|ip| is_free(*ip, port)))
        };
        let base = (first..first + 3_000).step_by(7).find(is_usable);
        let base = base.ok_or_else(|| io::Error::other("no ports are free"))?;
        let (inner, admin, control, frontend, readiness) = (base, base + 1, base + 2, base + 3, base + 4);
        let folder = std::env::temp_dir().join(format!("jf-review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder)?;
        let seeds: Vec<_> = core_ips.iter().map(|it| format!("\"{it}:{control}\"")).collect();
        let seeds = seeds.join(", ");
        let mut fleet = Fleet {
            cores: Vec::new(),
            edges: Vec::new(),
            folder: folder.clone(),
            core_ips: core_ips.clone(),
            edge_ips: edge_ips.clone(),
            frontend,
            readiness,
            control,
            record: record.clone(),
        };
        let program = |name: &str| Path::new("target/release").join(name);
        for (at, ip) in core_ips.iter().enumerate() {
            let (name, zone) = (format!("core-{}", at + 1), ZONES[at % 3]);
            let data = folder.join(&name);
            fs::create_dir_all(&data)?;
            let settings = format!(
                "seeds = [{seeds}]\ninner-port = {inner}\ninstances = \"{}\"\npublish = \"{ip}:{control}\"\n\
                 [control]\nhost = \"{name}\"\ndomain = \"{zone}\"\ndata = \"{}\"\ninner = \"{ip}:{inner}\"\n\
                 admin = \"{ip}:{admin}\"\nbootstrap = true\nlink-mbps = 6\ntolerance = 1\nmemory-mb = 256\n\
                 [control.listing]\nrate = 40.0\n[control.log]\nlevel = \"info\"\nformat = \"json\"\n",
                cloud.addr,
                data.display()
            );
            let file = folder.join(format!("{name}.toml"));
            fs::write(&file, settings)?;
            let log = folder.join(format!("{name}.log"));
            fleet.cores.push(Process::start(&name, &program("jf-core"), &file, &log)?);
        }
        for (at, ip) in edge_ips.iter().enumerate() {
            let (name, zone) = (format!("edge-{}", at + 1), ZONES[at % 3]);
            let settings = format!(
                "seeds = [{seeds}]\ninner-port = {inner}\ngrace-s = 8\ninstances = \"{}\"\n\
                 contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \
                 \"tenants\"]\n[gateway]\nhost = \"{name}\"\ndomain = \"{zone}\"\nlisten = \"{ip}:{frontend}\"\n\
                 admin = \"{ip}:{readiness}\"\ninner = \"{ip}:{inner}\"\nmemory-mb = {memory_mb}\ncontrol = [{seeds}]\n\
                 [gateway.listing]\nrate = 40.0\n[gateway.retries]\nratio = 0.2\nslack = 52\n[gateway.regions]\n\
                 \"prg-a\" = \"cz-central\"\n\"prg-b\" = \"cz-central\"\n\"brno\" = \"cz-central\"\n[gateway.cold]\n\
                 [gateway.log]\nlevel = \"info\"\nformat = \"json\"\n",
                cloud.addr
            );
            let file = folder.join(format!("{name}.toml"));
            fs::write(&file, settings)?;
            let log = folder.join(format!("{name}.log"));
            fleet.edges.push(Process::start(&name, &program("jf-edge"), &file, &log)?);
        }
        Ok(fleet)
    }

    pub fn frontend(&self, edge: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.edge_ips[edge]), self.frontend)
    }

    pub fn readiness(&self, edge: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.edge_ips[edge]), self.readiness)
    }

    pub fn control(&self, core: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.core_ips[core]), self.control)
    }

    /// Sends an order of the operator until it is answered with 200, a 4xx, or `limit` is over. Returns the status.
    pub fn order(&self, method: &str, path: &str, body: &[u8], limit: Duration) -> u16 {
        let until = Instant::now() + limit;
        let mut last = 0;
        for at in 0.. {
            if Instant::now() >= until {
                break;
            }
            let headers: &[(&str, &[u8])] = &[("Host", b"core"), ("Content-Type", b"application/json")];
            let answer = call(self.control(at % self.core_ips.len()), method, path, headers, body, ms(2_000));
            last = answer.map_or(0, |it| it.status());
            self.record.line(format!("operator: {method} {path}, {} bytes -> {last}", body.len()));
            if last == 200 || (400..500).contains(&last) && last != 408 && last != 429 {
                return last;
            }
            sleep(ms(100));
        }
        last
    }

    /// Publishes a configuration.
    pub fn publish(&self, config: &str) -> u16 {
        self.order("PUT", "/api/config", config.as_bytes(), ms(15_000))
    }

    /// Waits until all edge machines are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let headers: &[(&str, &[u8])] = &[("Host", b"edge")];
        let is_ready = |at: usize| {
            let answer = call(self.readiness(at), "GET", "/api/readiness", headers, b"", ms(1_000));
            answer.is_ok_and(|it| it.status() == 200)
        };
        while !(0..self.edge_ips.len()).all(is_ready) {
            if Instant::now() >= until {
                return false;
            }
            sleep(ms(50));
        }
        true
    }

    /// Kills all processes at the same moment.
    pub fn kill_all(&mut self) {
        kill_at_once(self.edges.iter_mut().chain(&mut self.cores));
    }

    /// Kills all edge machines but the first at the same moment.
    pub fn kill_edges_but_first(&mut self) {
        kill_at_once(self.edges[1..].iter_mut());
    }

    /// Starts all processes again. `bootstrap` is true only when the whole system starts for the first time.
    pub fn restart_all(&mut self) {
        for process in self.cores.iter().chain(&self.edges) {
            let text = fs::read_to_string(&process.settings).unwrap_or_default();
            let _ = fs::write(&process.settings, text.replace("bootstrap = true", "bootstrap = false"));
        }
        self.cores.iter_mut().chain(&mut self.edges).for_each(Process::restart);
    }

    /// Ends all processes. Their logs are removed unless `KEEP` is set.
    pub fn stop(mut self) {
        self.edges.iter_mut().chain(&mut self.cores).for_each(Process::kill);
        if std::env::var("KEEP").is_ok() {
            println!("logs: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(1);

/// An id for a client's attempt.
pub fn attempt_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed))
}

/// The folder of the case, the only argument.
pub fn case_folder() -> PathBuf {
    std::env::args().nth(1).map_or_else(|| ".".into(), PathBuf::from)
}
