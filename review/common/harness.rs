//! What the scripts share: starting the project's programs, a platform stand-in that lists runners, and a small
//! HTTP/1.1 client. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::hash_map::RandomState,
    env,
    fs::{self, File},
    hash::{BuildHasher, Hasher},
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{Arc, Mutex, OnceLock},
    thread,
    time::{Duration, Instant},
};

pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const NOT_RUN: i32 = 2;

const MAX_RUN: Duration = Duration::from_secs(118);

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Writes a line to `record.txt`, with the seconds since the start of the script.
pub fn record(text: &str) {
    let Some((file, start)) = RECORD.get() else { return };
    let line = format!("{:8.3} {text}\n", start.elapsed().as_secs_f64());
    let _ = file.lock().unwrap().write_all(line.as_bytes());
}

#[macro_export]
macro_rules! say {
    ($($arg:tt)*) => { $crate::harness::record(&format!($($arg)*)) };
}

/// The folder of the run and whether the disruption happens.
pub struct Case {
    pub folder: PathBuf,
    pub trouble: bool,
}

impl Case {
    /// Opens the record in the folder that the first argument names.
    pub fn open() -> Case {
        let case = PathBuf::from(env::args().nth(1).unwrap_or_else(|| ".".into()));
        let file = File::create(case.join("record.txt")).unwrap_or_else(|_| exit(NOT_RUN));
        let _ = RECORD.set((Mutex::new(file), Instant::now()));
        let folder = env::temp_dir().join(format!("jf-review-{}-{:x}", std::process::id(), random()));
        if fs::create_dir_all(&folder).is_err() {
            exit(NOT_RUN);
        }
        // A run may take 120 s at most.
        let left_over = folder.clone();
        thread::spawn(move || {
            thread::sleep(MAX_RUN);
            say!("the script ran out of time");
            end_all();
            let _ = fs::remove_dir_all(&left_over);
            exit(NOT_RUN);
        });
        let trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
        std::panic::set_hook(Box::new(|info| {
            eprintln!("{info}");
            say!("the script failed: {info}");
            end_all();
            exit(NOT_RUN);
        }));
        say!("disruption: {}", if trouble { "yes" } else { "no" });
        Case { folder, trouble }
    }

    /// Ends all processes, removes the folder and exits.
    pub fn finish(&self, code: i32, text: &str) -> ! {
        say!("{text}");
        println!("{text}");
        end_all();
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("{}", self.folder.display());
        }
        exit(code)
    }
}

fn end_all() {
    let pids = PIDS.lock().map_or_else(|it| it.into_inner().clone(), |it| it.clone());
    pids.into_iter().for_each(|it| signal(it, "KILL"));
}

/// Sends a signal to a process, if this script started it and has not seen its end.
pub fn signal(pid: u32, name: &str) {
    let is_own = PIDS.lock().map_or_else(|it| it.into_inner().contains(&pid), |it| it.contains(&pid));
    if is_own {
        let command = format!("kill -{name} {pid}");
        let _ = Command::new("bash").args(["-c", &command]).stderr(Stdio::null()).status();
    }
}

pub fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Returns a port that is free on all these addresses.
pub fn free_port(ips: &[&str]) -> u16 {
    for _ in 0..500 {
        let port = 20_000 + (random() % 12_000) as u16;
        if ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            return port;
        }
    }
    panic!("no free port");
}

/// One of the project's programs.
pub struct Process {
    pub name: String,
    program: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn new(case: &Case, name: &str, program: &str, settings: &str) -> Process {
        let path = case.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap();
        Process {
            name: name.into(),
            program: format!("target/release/{program}"),
            settings: path,
            log: case.folder.join(format!("{name}.log")),
            child: None,
        }
    }

    pub fn write_settings(&self, settings: &str) {
        fs::write(&self.settings, settings).unwrap();
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(&self.program)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|err| panic!("cannot start {}: {err}", self.program));
        say!("{} starts", self.name);
        PIDS.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    pub fn signal(&self, name: &str) {
        if self.child.is_some() {
            say!("SIG{name} to {}", self.name);
            signal(self.pid(), name);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            say!("{} is killed", self.name);
            let _ = child.kill();
            let _ = child.wait();
            PIDS.lock().unwrap().retain(|it| *it != child.id());
        }
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a field of `/proc/PID/status` in MiB.
pub fn memory_mib(pid: u32, field: &str) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix(field)).unwrap_or("0 kB");
    let kib: f64 = line.trim_start_matches(':').trim().trim_end_matches("kB").trim().parse().unwrap_or(0.0);
    kib / 1024.0
}

/// The settings of `jf-core` as `deploy/core.toml.template` makes them.
pub struct Core<'a> {
    pub ip: &'a str,
    pub seeds: &'a [&'a str],
    pub bootstrap: bool,
    pub tolerance: usize,
    pub link_mbps: u32,
    pub data: &'a Path,
    pub platform: SocketAddr,
    pub ports: Ports,
}

/// Ports are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub control: u16,
    pub inner: u16,
    pub admin: u16,
    pub frontend: u16,
    pub readiness: u16,
}

impl Ports {
    pub fn free(ips: &[&str]) -> Ports {
        let mut ports: Vec<u16> = Vec::new();
        while ports.len() < 5 {
            let port = free_port(ips);
            if !ports.contains(&port) {
                ports.push(port);
            }
        }
        Ports { control: ports[0], inner: ports[1], admin: ports[2], frontend: ports[3], readiness: ports[4] }
    }
}

fn quoted_seeds(seeds: &[&str], port: u16) -> String {
    seeds.iter().map(|ip| format!("\"{ip}:{port}\"")).collect::<Vec<_>>().join(",")
}

impl Core<'_> {
    pub fn settings(&self) -> String {
        let Core { ip, seeds, bootstrap, tolerance, link_mbps, data, platform, ports } = self;
        format!(
            "seeds = [{}]\ninner-port = {}\ninstances = \"{platform}\"\npublish = \"{ip}:{}\"\n\n[control]\nhost = \
             \"core-{ip}\"\ndomain = \"prg-a\"\ndata = \"{}\"\ninner = \"{ip}:{}\"\nadmin = \"{ip}:{}\"\nbootstrap = \
             {bootstrap}\nlink-mbps = {link_mbps}\ntolerance = {tolerance}\n\n[control.listing]\nrate = 40.0\n\n[control.log]\nlevel \
             = \"info\"\nformat = \"json\"\n",
            quoted_seeds(seeds, ports.control),
            ports.inner,
            ports.control,
            data.display(),
            ports.inner,
            ports.admin,
        )
    }
}

/// The settings of `jf-edge` as `deploy/edge.toml.template` makes them.
pub struct Edge<'a> {
    pub ip: &'a str,
    pub seeds: &'a [&'a str],
    pub platform: SocketAddr,
    pub memory_mb: u32,
    pub ports: Ports,
}

impl Edge<'_> {
    pub fn settings(&self) -> String {
        let Edge { ip, seeds, platform, memory_mb, ports } = self;
        let seeds = quoted_seeds(seeds, ports.control);
        format!(
            "seeds = [{seeds}]\ninner-port = {}\ngrace-s = 8\ninstances = \"{platform}\"\ncontracts = \
             [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\n\n[gateway]\nhost \
             = \"edge-{ip}\"\ndomain = \"prg-a\"\nlisten = \"{ip}:{}\"\nadmin = \"{ip}:{}\"\ninner = \"{ip}:{}\"\nmemory-mb = \
             {memory_mb}\ncontrol = [{seeds}]\n\n[gateway.listing]\nrate = 40.0\n\n[gateway.retries]\nratio = 0.2\nslack = \
             52\n\n[gateway.regions]\n\"prg-a\" = \"cz-central\"\n\n[gateway.cold]\n\n[gateway.log]\nlevel = \"info\"\nformat = \
             \"json\"\n",
            ports.inner, ports.frontend, ports.readiness, ports.inner,
        )
    }
}

/// A response.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a connection of its own and reads its response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let end = Instant::now() + limit;
    let mut socket = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1)))?;
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|it| it.0 == "Host") {
        head += &format!("Host: {addr}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    socket.write_all(head.as_bytes())?;
    socket.write_all(body)?;
    read_answer(&mut socket, end)
}

/// Reads a response until its end or `end`.
pub fn read_answer(socket: &mut TcpStream, end: Instant) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 << 10];
    loop {
        if let Some(answer) = parse_answer(&bytes, false)? {
            return Ok(answer);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "no response in time"));
        }
        socket.set_read_timeout(Some(left))?;
        match socket.read(&mut chunk)? {
            0 => {
                return parse_answer(&bytes, true)?
                    .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "connection closed"));
            }
            read => bytes.extend_from_slice(&chunk[..read]),
        }
    }
}

fn parse_answer(bytes: &[u8], ended: bool) -> io::Result<Option<Answer>> {
    let Some(at) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else { return Ok(None) };
    let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|it| it.split(' ').nth(1)).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|it| it.split_once(':'))
        .map(|it| (it.0.trim().to_owned(), it.1.trim().to_owned()))
        .collect();
    let mut answer = Answer { status, headers, body: Vec::new() };
    let rest = &bytes[at + 4..];
    if let Some(length) = answer.header("content-length").and_then(|it| it.parse::<usize>().ok()) {
        if rest.len() < length {
            return Ok(None);
        }
        answer.body = rest[..length].to_vec();
        return Ok(Some(answer));
    }
    if answer.header("transfer-encoding").is_some() {
        let mut rest = rest;
        loop {
            let Some(line) = rest.windows(2).position(|it| it == b"\r\n") else { return Ok(None) };
            let size = usize::from_str_radix(String::from_utf8_lossy(&rest[..line]).trim(), 16)
                .map_err(|_| io::Error::other("bad chunk"))?;
            if rest.len() < line + 2 + size + 2 {
                return Ok(None);
            }
            if size == 0 {
                return Ok(Some(answer));
            }
            answer.body.extend_from_slice(&rest[line + 2..line + 2 + size]);
            rest = &rest[line + 2 + size + 2..];
        }
    }
    answer.body = rest.to_vec();
    Ok(ended.then_some(answer))
}

/// Sends a configuration to one core machine after the other, as an operator does, until one acknowledges it.
/// Returns whether one did.
pub fn publish(machines: &[SocketAddr], document: &str, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        for addr in machines {
            let json = [("Content-Type", "application/json"), ("Connection", "close")];
            let answer = call(*addr, "PUT", "/api/config", &json, document.as_bytes(), Duration::from_secs(1));
            let version = field(document, "version");
            match answer {
                Ok(it) if it.status == 200 => {
                    say!("PUT version {version} to {addr}: 200, acknowledged");
                    return true;
                }
                Ok(it) => say!("PUT version {version} to {addr}: {}", it.status),
                Err(err) => say!("PUT version {version} to {addr}: {err}"),
            }
        }
        sleep_ms(200);
    }
    false
}

/// Reads the configuration at one core machine after the other until one returns it. Returns its version.
pub fn read_back(machines: &[SocketAddr], limit: Duration) -> Option<u64> {
    let end = Instant::now() + limit;
    let mut reads = 0;
    while Instant::now() < end {
        for addr in machines {
            reads += 1;
            match call(*addr, "GET", "/api/config", &[("Connection", "close")], b"", Duration::from_secs(1)) {
                Ok(it) if it.status == 200 => {
                    let version = field(&it.text(), "version").parse().ok();
                    say!("GET at {addr}: 200, version {version:?}");
                    return version;
                }
                Ok(it) => say!("GET at {addr}: {}", it.status),
                Err(err) => say!("GET at {addr}: {err}"),
            }
        }
        sleep_ms(500);
    }
    say!("{reads} reads, none answered with 200");
    None
}

/// Returns the first number after a field's name in a JSON document.
pub fn field(document: &str, name: &str) -> String {
    let at = document.find(&format!("\"{name}\":")).map(|it| it + name.len() + 3);
    let rest = at.map_or("", |it| document[it..].trim_start());
    rest.chars().take_while(|it| it.is_ascii_digit()).collect()
}

/// A stand-in for the platform: `GET /instances` returns the entries of the list.
pub fn serve_platform(list: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || serve_list(socket, &list));
        }
    });
    addr
}

fn serve_list(mut socket: TcpStream, list: &Mutex<Vec<String>>) -> Option<()> {
    loop {
        read_head(&mut socket)?;
        let entries = list.lock().unwrap().join(",");
        let body = format!("{{\"instances\":[{entries}],\"next\":null}}");
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        socket.write_all(format!("{head}{body}").as_bytes()).ok()?;
    }
}

/// Reads the head of a request, and returns it with what was read of the body.
pub fn read_head(socket: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 << 10];
    loop {
        if let Some(at) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
            return Some((head, bytes[at + 4..].to_vec()));
        }
        match socket.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&chunk[..read]),
        }
    }
}

/// Returns the value of a header in the head of a request.
pub fn head_field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.split("\r\n").skip(1).filter_map(|it| it.split_once(':'));
    fields.into_iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.trim())
}
