//! Many connections that send the same bytes and stay open.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{Builder, JoinHandle, sleep},
    time::{Duration, Instant},
};

/// The stack of the thread that drives one connection, in bytes.
const STACK_BYTES: usize = 128 << 10;

/// How long a write or a read may block before the thread checks whether it must stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How many connections are opened without a pause, so that the backlog of the listener does not overflow.
const OPENED_AT_ONCE: usize = 16;
const OPEN_DELAY: Duration = Duration::from_millis(2);

/// The pause before a closed connection is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(20);

/// How long a crowd makes no progress until it counts as settled.
const SETTLED_AFTER: Duration = Duration::from_millis(1_500);

/// What each connection of a crowd sends.
#[derive(Clone, Debug)]
pub struct Script {
    head: Vec<u8>,
    part: Arc<[u8]>,
    count: usize,
    pause: Duration,
    reads: bool,
    reopens: bool,
}

impl Script {
    /// Sends `head` and then nothing.
    pub fn new<T>(head: T) -> Script
    where
        T: Into<Vec<u8>>,
    {
        Script {
            head: head.into(),
            part: Arc::default(),
            count: 0,
            pause: Duration::ZERO,
            reads: true,
            reopens: false,
        }
    }

    /// After the head, sends `part` `count` times.
    #[must_use]
    pub fn then<T>(self, part: T, count: usize) -> Script
    where
        T: Into<Vec<u8>>,
    {
        Script { part: part.into().into(), count, ..self }
    }

    /// Pauses after each part.
    #[must_use]
    pub fn every(self, pause: Duration) -> Script {
        Script { pause, ..self }
    }

    /// Never reads from the connection.
    #[must_use]
    pub fn unread(self) -> Script {
        Script { reads: false, ..self }
    }

    /// Opens a connection again as soon as it is closed.
    #[must_use]
    pub fn reopened(self) -> Script {
        Script { reopens: true, ..self }
    }
}

/// A number of open connections, which are closed on drop.
#[derive(Debug)]
pub struct Crowd {
    stop: Arc<AtomicBool>,
    /// The number of bytes sent, or of connections opened if none are sent.
    progress: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Opens `size` connections to `addr`, each of which sends `script`.
    ///
    /// # Panics
    ///
    /// If a thread cannot be started.
    pub fn open(addr: SocketAddr, size: usize, script: &Script) -> Crowd {
        let (stop, progress) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let spawn = |_| {
            let member =
                Member { addr, script: script.clone(), stop: stop.clone(), sent: progress.clone() };
            let thread = Builder::new().stack_size(STACK_BYTES).spawn(move || member.run());
            thread.expect("failed to start a thread")
        };
        let threads = (0..size).map(spawn).collect();
        Crowd { stop, progress, threads }
    }

    /// Keeps `size` connections to `addr` open that send nothing. One that is closed is opened again.
    ///
    /// # Panics
    ///
    /// If a thread cannot be started.
    pub fn hold(addr: SocketAddr, size: usize) -> Crowd {
        let (stop, opened) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let thread = Builder::new().spawn({
            let (stop, opened) = (stop.clone(), opened.clone());
            move || hold(addr, size, &stop, &opened)
        });
        Crowd { stop, progress: opened, threads: vec![thread.expect("failed to start a thread")] }
    }

    /// Waits until the crowd has made no progress for a while, or until `limit` has passed.
    pub fn settle(&self, limit: Duration) {
        let until = Instant::now() + limit;
        let (mut last, mut changed_at) = (0, Instant::now());
        while Instant::now() < until && changed_at.elapsed() < SETTLED_AFTER {
            sleep(POLL_INTERVAL);
            let progress = self.progress();
            if progress != last {
                (last, changed_at) = (progress, Instant::now());
            }
        }
    }

    /// Returns the number of bytes sent so far, or of connections opened if none are sent.
    pub fn progress(&self) -> u64 {
        self.progress.load(Ordering::Relaxed)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn hold(addr: SocketAddr, size: usize, stop: &AtomicBool, opened: &AtomicU64) {
    let mut sockets: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        sockets.retain_mut(|it| {
            let read = it.read(&mut [0; 256]);
            read.map_or_else(|err| is_timeout(err.kind()), |count| count > 0)
        });
        while sockets.len() < size && !stop.load(Ordering::Relaxed) {
            let Ok(socket) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
                break;
            };
            if socket.set_nonblocking(true).is_ok() {
                opened.fetch_add(1, Ordering::Relaxed);
                sockets.push(socket);
            }
            if sockets.len().is_multiple_of(OPENED_AT_ONCE) {
                sleep(OPEN_DELAY);
            }
        }
        sleep(REOPEN_DELAY);
    }
}

/// One connection of a crowd.
struct Member {
    addr: SocketAddr,
    script: Script,
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
}

impl Member {
    fn run(&self) {
        loop {
            if let Ok(socket) = TcpStream::connect_timeout(&self.addr, Duration::from_secs(2)) {
                self.play(socket);
            }
            if !self.script.reopens || self.is_stopped() {
                return;
            }
            sleep(REOPEN_DELAY);
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sends the script, and returns when the connection has ended or the crowd stops.
    fn play(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let _ = socket.set_write_timeout(Some(POLL_INTERVAL));
        let _ = socket.set_read_timeout(Some(POLL_INTERVAL));
        let is_sent = self.send_all(&mut socket);
        let mut buffer = [0; 4 << 10];
        while !self.is_stopped() {
            if !self.script.reads {
                sleep(POLL_INTERVAL);
                continue;
            }
            match socket.read(&mut buffer) {
                Ok(0) => break,
                Err(err) if !is_timeout(err.kind()) => break,
                _ => {}
            }
            if !is_sent {
                break;
            }
        }
        let _ = socket.shutdown(Shutdown::Both);
    }

    fn send_all(&self, socket: &mut TcpStream) -> bool {
        if !self.send(socket, &self.script.head) {
            return false;
        }
        for _ in 0..self.script.count {
            if !self.send(socket, &self.script.part) {
                return false;
            }
            if !self.script.pause.is_zero() {
                sleep(self.script.pause);
            }
        }
        true
    }

    /// Sends some bytes. Returns whether all were sent before the connection failed or the crowd stopped.
    fn send(&self, socket: &mut TcpStream, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            if self.is_stopped() {
                return false;
            }
            match socket.write(bytes) {
                Ok(0) => return false,
                Ok(count) => {
                    self.sent.fetch_add(count as u64, Ordering::Relaxed);
                    bytes = &bytes[count..];
                }
                Err(err) if is_timeout(err.kind()) => {}
                Err(_) => return false,
            }
        }
        true
    }
}

fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
