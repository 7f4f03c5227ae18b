//! Keeps the origins of streams for gateways, which may all be killed at once, over UDP.

use {
    crate::control::Shared,
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_into_std_write},
    },
    derive_more::Debug,
    directory::ListedEndpoint,
    model::Time,
    origin::{Action, Message, Origins},
    parking_lot::Mutex,
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// The first byte of a datagram on origins, as between gateways.
const FORMAT_VERSION: u8 = 0x81;

/// The maximum size of a datagram, in bytes. The rest of a larger one is cut off.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// The limit on what the decoder of a datagram counts, in bytes. `bincode` counts a number with its size in memory, up
/// to 8 bytes for an encoded one.
const MAX_COUNTED_BYTES: usize = 8 * MAX_DATAGRAM_BYTES;

/// How often datagrams are received while some arrive. The socket isn't registered with the runtime,
/// which would wake for each datagram: 6,000 a second took 0.08 of a core then, and 0.02 so. The
/// system's buffer holds about 270 meanwhile.
const PAUSE: Duration = Duration::from_millis(5);

/// How often datagrams are received while none arrives. Gateways ask again after 60 ms.
const IDLE_PAUSE: Duration = Duration::from_millis(20);

/// How many times in a row nothing arrives until the replica counts as idle: 1 s.
const IDLE_POLLS: u32 = 200;

/// The maximum number of datagrams handled between two pauses, 12,000 a second, so that they take a
/// small part of the host's core. The system drops those that its buffer cannot hold.
const MAX_DATAGRAMS: usize = 60;

/// The delay before the socket is bound again, or used again after an error.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The minimum interval between log lines on datagrams.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What happened to datagrams since the start.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub(crate) struct Counts {
    pub(crate) messages: u64,
    /// Questions that were answered.
    pub(crate) answers: u64,
    pub(crate) malformed: u64,
    /// Answers that were dropped, as the socket's buffer was full.
    pub(crate) unsent: u64,
}

/// The origins that this replica keeps.
#[derive(Debug)]
pub(crate) struct KeptOrigins {
    origins: Mutex<Origins>,
    counts: Mutex<Counts>,
}

impl KeptOrigins {
    pub(crate) fn new(own: SocketAddr) -> KeptOrigins {
        KeptOrigins { origins: Mutex::new(Origins::replica(own)), counts: Mutex::default() }
    }

    /// Records a list of endpoints that was requested at `requested_at`.
    pub(crate) fn update_endpoints(
        &self,
        now: Time,
        requested_at: Time,
        endpoints: &[ListedEndpoint],
    ) {
        let mut origins = self.origins.lock();
        origins.update_endpoints(now, endpoints);
        origins.confirm_endpoints(requested_at);
    }

    pub(crate) fn len(&self) -> usize {
        self.origins.lock().len()
    }

    pub(crate) fn counts(&self) -> Counts {
        *self.counts.lock()
    }

    /// Handles a datagram, and returns the answers to its sender.
    fn receive(&self, now: Time, from: SocketAddr, datagram: &[u8]) -> Vec<Action> {
        let message = match datagram {
            [FORMAT_VERSION, bytes @ ..] => {
                let config = standard().with_limit::<MAX_COUNTED_BYTES>();
                decode_from_slice::<Message, _>(bytes, config).ok()
            }
            _ => None,
        };
        let mut counts = self.counts.lock();
        let Some((message, _)) = message else {
            counts.malformed += 1;
            return Vec::new();
        };
        counts.messages += 1;
        drop(counts);
        self.origins.lock().receive(now, from, message)
    }
}

/// Receives and answers messages of gateways until the process exits. Without its socket the
/// replica is as silent as one of an older build.
pub(crate) async fn run(shared: Arc<Shared>, addr: SocketAddr) {
    let mut has_failed = false;
    let socket = loop {
        match bind(addr) {
            Ok(it) => break it,
            Err(err) if !has_failed => {
                has_failed = true;
                tracing::warn!(
                    event = "origins-unbound",
                    %addr,
                    %err,
                    "control: cannot bind the socket for origins of streams"
                );
            }
            Err(_) => {}
        }
        sleep(RETRY_DELAY).await;
    };
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut empty_polls = 0_u32;
    let (mut logged, mut log_at) = (Counts::default(), Instant::now());
    loop {
        let received = match drain(&shared, &socket, &mut buffer) {
            Ok(it) => it,
            Err(err) => {
                tracing::debug!("control: failed to receive messages on origins: {err}");
                0
            }
        };
        empty_polls = if received == 0 { empty_polls.saturating_add(1) } else { 0 };
        let counts = shared.origins.counts();
        if Instant::now() >= log_at && counts != logged {
            log_at = Instant::now() + LOG_INTERVAL;
            logged = counts;
            tracing::info!(
                event = "origins",
                kept = shared.origins.len(),
                messages = counts.messages,
                answers = counts.answers,
                malformed = counts.malformed,
                unsent = counts.unsent,
                "control: keeps the origins of streams for gateways"
            );
        }
        sleep(if empty_polls < IDLE_POLLS { PAUSE } else { IDLE_PAUSE }).await;
    }
}

fn bind(addr: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(addr)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Handles the datagrams that have arrived, up to a maximum. Returns their number.
fn drain(shared: &Shared, socket: &UdpSocket, buffer: &mut [u8]) -> io::Result<usize> {
    for received in 0..MAX_DATAGRAMS {
        let (len, from) = match socket.recv_from(buffer) {
            Ok(it) => it,
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(received),
            Err(err) => return Err(err),
        };
        let actions = shared.origins.receive(shared.clock.now(), from, &buffer[..len]);
        for action in actions {
            answer(shared, socket, action);
        }
    }
    Ok(MAX_DATAGRAMS)
}

/// Sends an answer without waiting for room in the socket's buffer, as gateways ask again.
fn answer(shared: &Shared, socket: &UdpSocket, action: Action) {
    let Action::Send { to, message } = action else { return };
    let mut datagram = vec![FORMAT_VERSION];
    let is_sent = encode_into_std_write(&message, &mut datagram, standard()).is_ok()
        && socket.send_to(&datagram, to).is_ok();
    let mut counts = shared.origins.counts.lock();
    match is_sent {
        true => counts.answers += 1,
        false => counts.unsent += 1,
    }
}
