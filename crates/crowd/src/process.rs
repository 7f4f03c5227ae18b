//! A process of the system, sampled while it runs.

use {
    std::{
        fs,
        net::{SocketAddr, TcpListener},
        path::Path,
        process::{Child, Command, Stdio},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{JoinHandle, sleep, spawn},
        time::Duration,
    },
    tempfile::NamedTempFile,
};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Ports below the ephemeral range, of which each test process uses a part.
const FIRST_PORT: u16 = 16_000;
const PORT_COUNT: u16 = 3_500;

/// The most that a process was seen to use.
#[derive(Clone, Copy, Debug)]
pub struct Peaks {
    /// Resident memory and the bytes that its listeners' connections received and it did not read, in bytes.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// A running process, which is killed on drop.
#[derive(Debug)]
pub struct Watched {
    child: Child,
    stop: Arc<AtomicBool>,
    memory_bytes: Arc<AtomicU64>,
    descriptors: Arc<AtomicU64>,
    sampler: Option<JoinHandle<()>>,
    _settings: NamedTempFile,
}

impl Watched {
    /// Starts `program` with `settings` in a file, and samples it. Bytes that arrive at its `ports` count until they are
    /// read. Its output goes to `log`.
    ///
    /// # Panics
    ///
    /// If the process cannot be started.
    pub fn start(program: &str, settings: &str, ports: &[u16], log: &Path) -> Watched {
        let file = NamedTempFile::with_suffix(".toml").expect("failed to create a file");
        fs::write(file.path(), settings).expect("failed to write the settings");
        let log = fs::File::create(log).expect("failed to create the log");
        let child = Command::new(program)
            .arg(file.path())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("failed to share the log"))
            .stderr(log)
            .spawn()
            .expect("failed to start the process");
        let (stop, memory_bytes, descriptors): (Arc<AtomicBool>, Arc<AtomicU64>, Arc<AtomicU64>) =
            Default::default();
        let (pid, ports) = (child.id(), ports.to_vec());
        let sampler = spawn({
            let (stop, memory_bytes, descriptors) =
                (stop.clone(), memory_bytes.clone(), descriptors.clone());
            move || {
                while !stop.load(Ordering::Relaxed) {
                    let bytes = resident_bytes(pid) + unread_bytes(&ports);
                    memory_bytes.fetch_max(bytes, Ordering::Relaxed);
                    descriptors.fetch_max(descriptor_count(pid), Ordering::Relaxed);
                    sleep(SAMPLE_INTERVAL);
                }
            }
        });
        Watched { child, stop, memory_bytes, descriptors, sampler: Some(sampler), _settings: file }
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the most that the process has used so far.
    pub fn peaks(&self) -> Peaks {
        Peaks {
            memory_bytes: self.memory_bytes.load(Ordering::Relaxed),
            descriptors: self.descriptors.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.sampler.take().into_iter().for_each(|it| drop(it.join()));
    }
}

/// Returns ports that are free on the loopback address.
///
/// # Panics
///
/// If there are too few.
pub fn free_ports<const N: usize>() -> [u16; N] {
    let offset = (std::process::id() * 37 % u32::from(PORT_COUNT)) as u16;
    let candidates = (0..PORT_COUNT).map(|it| FIRST_PORT + (offset + it) % PORT_COUNT);
    let is_free = |port: &u16| TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], *port))).is_ok();
    let ports: Vec<u16> = candidates.filter(is_free).take(N).collect();
    ports.try_into().expect("too few free ports")
}

fn resident_bytes(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|it| it.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) << 10
}

/// Returns the bytes in the receive queues of the connections that were accepted at `ports`.
pub fn unread_bytes(ports: &[u16]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| -> Option<u64> {
        let mut fields = line.split_whitespace().skip(1);
        let port = u16::from_str_radix(fields.next()?.split_once(':')?.1, 16).ok()?;
        let state = fields.nth(1)?;
        let queues = fields.next()?;
        // The queue of a listener holds connections.
        let is_counted = ports.contains(&port) && state != "0A";
        is_counted.then(|| u64::from_str_radix(queues.split_once(':')?.1, 16).ok())?
    };
    table.lines().skip(1).filter_map(unread).sum()
}

fn descriptor_count(pid: u32) -> u64 {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |it| it.count() as u64)
}
