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
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{Instant, sleep, sleep_until},
    },
};

/// The first byte of a datagram on origins, as between gateways.
const FORMAT_VERSION: u8 = 0x81;

/// The maximum size of a datagram, in bytes. The rest of a larger one is cut off.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// The interval over which the number of datagrams is limited.
const WINDOW: Duration = Duration::from_millis(20);

/// The maximum number of datagrams handled in a window, so that they take a small part of the
/// host's core. The system drops those that its buffer cannot hold.
const MAX_DATAGRAMS: usize = 240;

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

    /// Records a list of endpoints that was read just now.
    pub(crate) fn update_endpoints(&self, now: Time, endpoints: &[ListedEndpoint]) {
        self.origins.lock().update_endpoints(now, endpoints);
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
            [FORMAT_VERSION, bytes @ ..] => decode_from_slice::<Message, _>(bytes, standard()).ok(),
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
        match UdpSocket::bind(addr).await {
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
    let (mut logged, mut log_at) = (Counts::default(), Instant::now());
    loop {
        if let Err(err) = socket.readable().await {
            tracing::debug!("control: failed to wait for messages on origins: {err}");
            sleep(RETRY_DELAY).await;
            continue;
        }
        let window_end = Instant::now() + WINDOW;
        let received = drain(&shared, &socket, &mut buffer);
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
        match received {
            Ok(MAX_DATAGRAMS..) => sleep_until(window_end).await,
            Ok(_) => {}
            Err(err) => {
                tracing::debug!("control: failed to receive messages on origins: {err}");
                sleep(WINDOW).await;
            }
        }
    }
}

/// Handles the datagrams that have arrived, up to the maximum of a window. Returns their number.
fn drain(shared: &Shared, socket: &UdpSocket, buffer: &mut [u8]) -> io::Result<usize> {
    for received in 0..MAX_DATAGRAMS {
        let (len, from) = match socket.try_recv_from(buffer) {
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
        && socket.try_send_to(&datagram, to).is_ok();
    let mut counts = shared.origins.counts.lock();
    match is_sent {
        true => counts.answers += 1,
        false => counts.unsent += 1,
    }
}
