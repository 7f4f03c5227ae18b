//! Stand-ins and helpers for the scripts of the second review: the platform's list, runners, an operator and clients, and the
//! project's own programs as processes. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// What was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = fs::File::create(path).unwrap_or_else(|it| cannot_run(&format!("record: {it}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn write(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} ms  {text}");
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Ends the program with the exit code that says that the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    kill_all();
    std::process::exit(2);
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that this program started and that still run.
pub fn kill_all() {
    let pids = std::mem::take(&mut *CHILDREN.lock().unwrap_or_else(|it| it.into_inner()));
    for pid in pids {
        signal(pid, "CONT");
        signal(pid, "KILL");
    }
}

/// Ends the program: 1 if the rule was broken, 0 if it held.
pub fn finish(broken: bool) -> ! {
    kill_all();
    std::process::exit(i32::from(broken));
}

/// Ends the program if it takes too long or panics, so that no process is left.
pub fn guard() {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(112));
        cannot_run("it took too long");
    });
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print(info);
        cannot_run("a stand-in failed");
    }));
}

/// Remembers a process that this program started, for [`kill_all`].
pub fn register(pid: u32) {
    CHILDREN.lock().unwrap_or_else(|it| it.into_inner()).push(pid);
}

/// Whether the disruption is to be carried out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

unsafe extern "C" {
    #[link_name = "kill"]
    fn send_signal(pid: i32, signal: i32) -> i32;

    #[link_name = "shutdown"]
    fn shut_down_socket(fd: i32, how: i32) -> i32;
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, name: &str) {
    let number = match name {
        "KILL" => 9,
        "TERM" => 15,
        "CONT" => 18,
        "STOP" => 19,
        _ => cannot_run("unknown signal"),
    };
    // The numbers are those of Linux on x86-64 and arm64.
    unsafe { send_signal(pid as i32, number) };
}

/// One of the project's programs as a process.
pub struct Process {
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    folder: PathBuf,
    child: Child,
    pub starts: u32,
}

impl Process {
    pub fn start(folder: &Path, program: &Path, name: &str, settings: &str) -> Process {
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap_or_else(|it| cannot_run(&format!("settings: {it}")));
        let child = spawn(folder, program, name, &path, 1);
        Process {
            name: name.to_owned(),
            program: program.to_owned(),
            settings: path,
            folder: folder.to_owned(),
            child,
            starts: 1,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        signal(self.pid(), name);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended. Returns whether it did in time.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn start_again(&mut self) {
        self.starts += 1;
        self.child = spawn(&self.folder, &self.program, &self.name, &self.settings, self.starts);
    }

    /// Returns a value of `/proc/PID/status` in kilobytes.
    pub fn status_kb(&self, key: &str) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = text.lines().find(|it| it.starts_with(key))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

fn spawn(folder: &Path, program: &Path, name: &str, settings: &Path, starts: u32) -> Child {
    let log = fs::File::create(folder.join(format!("{name}-{starts}.log")));
    let log = log.unwrap_or_else(|it| cannot_run(&format!("log: {it}")));
    let child = Command::new(program)
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap_or_else(|it| cannot_run(&format!("log: {it}"))))
        .stderr(log)
        .spawn();
    let child = child.unwrap_or_else(|it| cannot_run(&format!("{}: {it}", program.display())));
    register(child.id());
    child
}

/// Returns a port that is free at all of these addresses.
pub fn free_port(ips: &[&str]) -> u16 {
    for _ in 0..1_000 {
        let Ok(probe) = TcpListener::bind("127.0.0.1:0") else { continue };
        let Ok(port) = probe.local_addr().map(|it| it.port()) else { continue };
        drop(probe);
        if ips.iter().all(|ip| TcpListener::bind(format!("{ip}:{port}")).is_ok()) {
            return port;
        }
    }
    cannot_run("no free port")
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line<R: BufRead>(reader: &mut R) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(line)
}

/// Reads the first line and the headers of a message. Bytes beyond ASCII are kept as Latin-1 characters.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Message> {
    let latin = |it: Vec<u8>| it.into_iter().map(char::from).collect::<String>();
    let first = latin(read_line(reader)?);
    let mut headers = Vec::new();
    loop {
        let line = latin(read_line(reader)?);
        if line.is_empty() {
            return Ok(Message { first, headers, body: Vec::new() });
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message. `until_close` says whether one without a length ends with the connection.
pub fn read_body<R: BufRead>(reader: &mut R, head: &Message, until_close: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        loop {
            let line = read_line(reader)?;
            let text = String::from_utf8_lossy(&line).into_owned();
            let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !read_line(reader)?.is_empty() {}
                return Ok(body);
            }
            let mut part = vec![0; size];
            reader.read_exact(&mut part)?;
            body.extend(part);
            read_line(reader)?;
        }
    }
    if let Some(length) = head.header("content-length").and_then(|it| it.parse::<usize>().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if until_close {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

pub fn read_message<R: BufRead>(reader: &mut R, is_response: bool) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    message.body = read_body(reader, &message, is_response && message.status() != 204)?;
    Ok(message)
}

/// Connects, sends bytes and reads one response.
pub fn call(addr: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    read_message(&mut BufReader::new(stream), true)
}

/// Accepts connections, each on a thread of its own, for as long as the program runs.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            // The listener was shut down.
            let Ok(stream) = stream else { return };
            let handle = handle.clone();
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                let _ = stream.set_nodelay(true);
                handle(stream);
            });
        }
    });
}

/// An entry of the platform's list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub state: String,
    /// Further fields, with a comma before each.
    pub more: String,
}

impl Listed {
    /// An entry without a version lacks the field.
    fn version_field(&self) -> String {
        match self.version.as_str() {
            "" => String::new(),
            version => format!("\"version\":\"{version}\","),
        }
    }
}

/// The platform's list of runners.
#[derive(Clone)]
pub struct Platform {
    pub addr: SocketAddr,
    /// The list as it is. Callers get it as it was `lag` ago.
    pub list: Arc<Mutex<Vec<Listed>>>,
}

impl Platform {
    /// Starts the list, which lags by `lag` behind [`Platform::list`].
    pub fn start(lag: Duration) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|it| cannot_run(&format!("list: {it}")));
        let addr = listener.local_addr().unwrap();
        let list: Arc<Mutex<Vec<Listed>>> = Arc::default();
        let current = list.clone();
        let shown: Arc<Mutex<Vec<Listed>>> = Arc::default();
        let lagging = shown.clone();
        thread::spawn(move || {
            let mut changes: Vec<(Instant, Vec<Listed>)> = Vec::new();
            loop {
                let now = Instant::now();
                changes.push((now, current.lock().unwrap().clone()));
                let due = changes.iter().rposition(|it| now - it.0 >= lag);
                if let Some(at) = due {
                    lagging.lock().unwrap().clone_from(&changes[at].1);
                    changes.drain(..at);
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
        serve(listener, move |stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut stream = stream;
            while read_message(&mut reader, false).is_ok() {
                let entries: Vec<String> = shown.lock().unwrap().iter().map(|it| format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",{}\"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\"models\":[],\"id\":\"{}\"{}}}",
                    it.service, it.addr, it.zone, it.version_field(), it.slots, it.state, it.id, it.more
                )).collect();
                let body = format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","));
                let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
                if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                    return;
                }
            }
        });
        Platform { addr, list }
    }
}

/// A small deployment: `jf-core` and `jf-edge` processes, each at an address of its own.
pub struct Site {
    pub folder: PathBuf,
    pub record: Record,
    pub platform: Platform,
    pub cores: Vec<Process>,
    pub edges: Vec<Process>,
    pub ports: Ports,
    pub memory_mb: u64,
    seeds: String,
    release: PathBuf,
}

#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub inner: u16,
    pub admin: u16,
    pub publish: u16,
    pub frontend: u16,
    pub readiness: u16,
}

pub const ZONES: [&str; 3] = ["prg-a", "prg-b", "brno"];

pub fn core_ip(n: usize) -> String {
    format!("127.0.11.{}", n + 1)
}

pub fn edge_ip(n: usize) -> String {
    format!("127.0.12.{}", n + 1)
}

impl Site {
    /// Starts the processes. The first argument of the program is the repository's root.
    pub fn start(record_path: &Path, cores: usize, edges: usize) -> Site {
        Site::start_with_memory(record_path, cores, edges, 260)
    }

    pub fn start_with_memory(record_path: &Path, cores: usize, edges: usize, memory_mb: u64) -> Site {
        Site::start_some(record_path, cores, cores, edges, memory_mb)
    }

    /// Like [`Site::start`], with addresses for `all_cores` core machines of which the first `cores` start.
    pub fn start_some(record_path: &Path, all_cores: usize, cores: usize, edges: usize, memory_mb: u64) -> Site {
        let root = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| cannot_run("no repository given")));
        let record = Record::create(record_path);
        let folder = std::env::temp_dir().join(format!("jf-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|it| cannot_run(&format!("folder: {it}")));
        let ips: Vec<String> = (0..all_cores).map(core_ip).chain((0..edges).map(edge_ip)).collect();
        let ips: Vec<&str> = ips.iter().map(String::as_str).collect();
        let mut ports = Vec::new();
        while ports.len() < 5 {
            let port = free_port(&ips);
            if !ports.contains(&port) {
                ports.push(port);
            }
        }
        let ports = Ports { inner: ports[0], admin: ports[1], publish: ports[2], frontend: ports[3], readiness: ports[4] };
        let platform = Platform::start(Duration::from_millis(800));
        let seeds: Vec<String> = (0..cores.min(3)).map(|it| format!("\"{}:{}\"", core_ip(it), ports.publish)).collect();
        let seeds = seeds.join(",");
        let release = root.join("target/release");
        let (cores_list, edges_list) = (Vec::new(), Vec::new());
        let mut site = Site { folder, record, platform, cores: cores_list, edges: edges_list, ports, memory_mb, seeds, release };
        for n in 0..cores {
            let process = site.launch_core(n, true);
            site.cores.push(process);
        }
        for n in 0..edges {
            let settings = edge_settings(&site.seeds, ports, site.platform.addr, n, memory_mb);
            let process = Process::start(&site.folder, &site.release.join("jf-edge"), &format!("edge-{n}"), &settings);
            site.edges.push(process);
        }
        site
    }

    /// Returns the data folder of a core machine.
    pub fn data(&self, n: usize) -> PathBuf {
        self.folder.join(format!("core-{n}-data"))
    }

    fn launch_core(&self, n: usize, bootstrap: bool) -> Process {
        let (ports, ip) = (self.ports, core_ip(n));
        let settings = format!(
            "seeds = [{}]\ninner-port = {}\ninstances = \"{}\"\npublish = \"{ip}:{}\"\n\n[control]\nhost = \"core-{n}\"\ndomain = \"{}\"\ndata = \"{}\"\ninner = \"{ip}:{}\"\nadmin = \"{ip}:{}\"\nbootstrap = {bootstrap}\nlink-mbps = 6\ntolerance = 1\nmemory-mb = 256\n\n[control.listing]\nrate = 40.0\n\n[control.log]\nlevel = \"info\"\nformat = \"json\"\n",
            self.seeds, ports.inner, self.platform.addr, ports.publish, ZONES[n % 3], self.data(n).display(), ports.inner, ports.admin,
        );
        Process::start(&self.folder, &self.release.join("jf-core"), &format!("core-{n}"), &settings)
    }

    /// Starts a core machine that is added later.
    pub fn start_core(&mut self, n: usize) {
        let process = self.launch_core(n, false);
        self.cores.push(process);
    }

    /// Starts a core machine that was down. It does not found a group.
    pub fn start_core_again(&mut self, n: usize) {
        self.cores[n] = self.launch_core(n, false);
    }

    pub fn publish_addr(&self, n: usize) -> SocketAddr {
        format!("{}:{}", core_ip(n), self.ports.publish).parse().unwrap()
    }

    pub fn frontend(&self, n: usize) -> SocketAddr {
        format!("{}:{}", edge_ip(n), self.ports.frontend).parse().unwrap()
    }

    pub fn readiness(&self, n: usize) -> SocketAddr {
        format!("{}:{}", edge_ip(n), self.ports.readiness).parse().unwrap()
    }

    /// Sends a configuration until it is acknowledged, to one replica after the other.
    pub fn publish(&self, config: &str) {
        self.publish_at(config, 0);
    }

    pub fn publish_at(&self, config: &str, first: usize) {
        let deadline = Instant::now() + Duration::from_secs(20);
        for n in first.. {
            if Instant::now() > deadline {
                cannot_run("a configuration was not acknowledged");
            }
            let n = n % self.cores.len();
            let sent = put_config(self.publish_addr(n), config);
            match &sent {
                Ok(it) if it.status() == 200 => {
                    self.record.write(&format!("operator: core-{n} acknowledged the configuration of {} bytes", config.len()));
                    return;
                }
                Ok(it) if (400..500).contains(&it.status()) => {
                    cannot_run(&format!("a configuration was refused: {} {}", it.first, it.text()));
                }
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
    }

    /// Waits until all edge machines are ready.
    pub fn wait_until_ready(&self) {
        for n in 0..self.edges.len() {
            self.wait_ready(n, Duration::from_secs(20));
        }
    }

    pub fn wait_ready(&self, n: usize, limit: Duration) {
        let deadline = Instant::now() + limit;
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while !matches!(call(self.readiness(n), request, Duration::from_secs(1)), Ok(it) if it.status() == 200) {
            if Instant::now() > deadline {
                cannot_run(&format!("edge-{n} is not ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Ends all processes and removes the folder.
    pub fn end(self, broken: bool) -> ! {
        kill_all();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
        finish(broken)
    }
}

pub fn edge_settings(seeds: &str, ports: Ports, platform: SocketAddr, n: usize, memory_mb: u64) -> String {
    format!(
        "seeds = [{seeds}]\ninner-port = {}\ngrace-s = 8\ninstances = \"{platform}\"\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\n\n[gateway]\nhost = \"edge-{n}\"\ndomain = \"{zone}\"\nlisten = \"{ip}:{}\"\nadmin = \"{ip}:{}\"\ninner = \"{ip}:{}\"\nmemory-mb = {memory_mb}\ncontrol = [{seeds}]\n\n[gateway.listing]\nrate = 40.0\n\n[gateway.retries]\nratio = 0.2\nslack = 52\n\n[gateway.regions]\n\"prg-a\" = \"cz-central\"\n\"prg-b\" = \"cz-central\"\n\"brno\" = \"cz-central\"\n\n[gateway.cold]\n\n[gateway.log]\nlevel = \"info\"\nformat = \"json\"\n",
        ports.inner, ports.frontend, ports.readiness, ports.inner, ip = edge_ip(n), zone = ZONES[n % 3],
    )
}

pub fn put_config(addr: SocketAddr, config: &str) -> io::Result<Message> {
    let request = format!(
        "PUT /api/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{config}",
        config.len()
    );
    call(addr, request.as_bytes(), Duration::from_secs(5))
}

pub fn get_config(addr: SocketAddr, limit: Duration) -> io::Result<Message> {
    call(addr, b"GET /api/config HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n", limit)
}

/// A route of a configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u64, target_ms: u64, resume: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"a.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\"priority\":0,\"service\":\"{service}\",\"attempts\":{attempts},\"auth_exempt\":false,\"session_affinity\":false,\"stream_resume\":{resume},\"target_gap_ms\":400}}"
    )
}

pub fn service(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false}}")
}

pub fn config(version: u64, routes: &[String], services: &[String], tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}",
        routes.join(","), services.join(",")
    )
}

/// Returns the present Unix time, as runners state that of their start.
pub fn born_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis())
}

/// What a runner has seen.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at_ms: u64,
    pub request: Message,
}

/// A sound runner whose answers `answer` writes.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    listener: Arc<TcpListener>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    has_ended: Arc<AtomicBool>,
}

impl Runner {
    /// Starts a runner. `answer` gets the request and the connection after a request was read; it returns whether the
    /// connection goes on.
    pub fn start<F>(record: &Record, ip: &str, id: &str, answer: F) -> Runner
    where
        F: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(format!("{ip}:0")).unwrap_or_else(|it| cannot_run(&format!("runner: {it}")));
        let addr = listener.local_addr().unwrap();
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let (log, record, own) = (seen.clone(), record.clone(), id.to_owned());
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let has_ended = Arc::new(AtomicBool::new(false));
        let (connections, ended) = (open.clone(), has_ended.clone());
        let kept = Arc::new(listener.try_clone().unwrap_or_else(|it| cannot_run(&it.to_string())));
        serve(listener, move |stream| {
            connections.lock().unwrap().extend(stream.try_clone());
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut stream = stream;
            while let Ok(request) = read_message(&mut reader, false) {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                if request.header("jasminefront-expect-instance").is_some_and(|it| it != own) {
                    let id = request.header("jasminefront-request-attempt-id").unwrap_or("").to_owned();
                    let _ = stream.write_all(format!("HTTP/1.1 421 Misdirected Request\r\nJasminefront-Not-Executed: 1\r\nJasminefront-Request-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n").as_bytes());
                    continue;
                }
                log.lock().unwrap().push(Seen { at_ms: record.now_ms(), request: request.clone() });
                if !answer(&request, &mut stream).unwrap_or(false) {
                    return;
                }
            }
        });
        Runner { id: id.to_owned(), addr, seen, listener: kept, open, has_ended }
    }

    /// Ends the runner as the end of its process would: it refuses connections, and those that are open are closed.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        unsafe { shut_down_socket(self.listener.as_raw_fd(), 2) };
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn listed(&self, service: &str, zone: &str, slots: u32) -> Listed {
        Listed {
            id: self.id.clone(),
            service: service.to_owned(),
            addr: self.addr,
            zone: zone.to_owned(),
            version: "v1".to_owned(),
            slots,
            state: "ready".to_owned(),
            more: format!(",\"born\":{}", born_ms()),
        }
    }

    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

/// Writes a whole successful answer to a request.
pub fn answer_ok(request: &Message, stream: &mut TcpStream, id: &str, body: &[u8]) -> io::Result<bool> {
    let attempt = request.header("jasminefront-request-attempt-id").unwrap_or("");
    let head = format!(
        "HTTP/1.1 200 OK\r\nJasminefront-Request-Attempt-Id: {attempt}\r\nJasminefront-Response-Stamp: {id}.{attempt}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    Ok(true)
}
