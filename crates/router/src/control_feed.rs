//! The connection of a router to the leading control replica, which delivers configurations, rosters and the lease.
//!
//! Invariants:
//!
//! - The current revision and epoch never decrease.
//! - A configuration is applied as a whole or as a delta that chains to the current one.
//! - A replica that offers an older state than the current one is stale, and the router disconnects from it.

use {
    crate::shared::Shared,
    eyre::{Result, bail, ensure},
    model::{Config, Delta, MILLISECOND, Roster},
    rand::Rng,
    std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
    wire::{
        Dialer, Peer, RecvHalf, SendHalf, TrafficClass,
        msg::{FEED_PATH, FromControl, ToControl},
    },
};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between heartbeats while the router is not in the roster, its loads change, or requests are queued. The
/// load bound depends on the mean load, which must be recent in these cases.
const BUSY_INTERVAL: Duration = Duration::from_millis(200);

/// Time without any frame after which the router disconnects from a replica.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Maximum delay before the next replica is tried, in milliseconds; the delay is random.
const MAX_BACKOFF_MS: u64 = 400;

/// Maintains a feed from the leading control replica until the process exits.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut candidates: VecDeque<SocketAddr> = shared.settings.control.iter().copied().collect();
    while let Some(addr) = candidates.pop_front() {
        candidates.push_back(addr);
        match follow(&shared, addr).await {
            Ok(Some(leader)) => prioritize(&mut candidates, leader),
            Ok(None) => {}
            Err(err) => tracing::debug!("feed: disconnected from replica {addr}: {err:#}"),
        }
        let wait = rand::rng().random_range(10..MAX_BACKOFF_MS);
        sleep(Duration::from_millis(wait)).await;
    }
}

fn prioritize(candidates: &mut VecDeque<SocketAddr>, leader: SocketAddr) {
    if let Some(at) = candidates.iter().position(|it| *it == leader) {
        candidates.swap(0, at);
    }
}

/// Follows one replica until it fails. If the replica is not the leader, returns the leader that it names.
async fn follow(shared: &Arc<Shared>, addr: SocketAddr) -> Result<Option<SocketAddr>> {
    let dialer = Dialer { class: TrafficClass::Control, ..shared.dialer.clone() };
    let peer = Peer::new(addr, dialer);
    let (mut send, mut recv) = peer.open(FEED_PATH).await?.split();
    send.send(&hello(shared)).await?;
    shared.owned.lock().membership.on_disconnect();
    let mut session = Session { shared, roster_received: false, last_heartbeat: Instant::now() };
    let mut registered = false;
    let mut next_check = Instant::now();
    let mut silence_deadline = next_check + SILENCE_TIMEOUT;
    loop {
        tokio::select! {
            frame = next_frame(&mut recv) => {
                silence_deadline = Instant::now() + SILENCE_TIMEOUT;
                match frame? {
                    FromControl::NotLeader { leader } => return Ok(leader),
                    FromControl::Welcome { router } => {
                        ensure!(shared.set_id(router), "replica assigned a second ID, {router}");
                        registered = true;
                    }
                    frame => if session.handle_frame(frame)? {
                        session.send_heartbeat(&mut send).await?;
                    },
                }
            }
            () = sleep_until(next_check), if registered => {
                if session.is_due() {
                    session.send_heartbeat(&mut send).await?;
                }
                next_check = Instant::now() + BUSY_INTERVAL;
            }
            () = shared.leave_notify.notified(), if registered =>
                session.send_heartbeat(&mut send).await?,
            () = sleep_until(silence_deadline) => bail!("replica sent no frame within the timeout"),
        }
    }
}

async fn next_frame(recv: &mut RecvHalf) -> Result<FromControl> {
    match recv.recv().await? {
        Some(frame) => Ok(frame),
        None => bail!("replica closed the feed"),
    }
}

fn hello(shared: &Shared) -> ToControl {
    let view = shared.view();
    ToControl::Hello {
        host: shared.settings.host.clone(),
        process: shared.process_nonce,
        addr: shared.internal_addr,
        domain: shared.settings.domain.clone(),
        revision: view.config.revision,
        digest: view.config.digest,
    }
}

/// The state of one feed.
struct Session<'a> {
    shared: &'a Arc<Shared>,
    /// Whether the replica has sent a roster.
    roster_received: bool,
    /// When the last heartbeat was sent.
    last_heartbeat: Instant,
}

impl Session<'_> {
    /// Whether a heartbeat should be sent.
    fn is_due(&self) -> bool {
        let busy = !self.shared.is_listed() || self.shared.owned.lock().needs_fresh_mean();
        busy || self.last_heartbeat.elapsed() + BUSY_INTERVAL / 2 >= HEARTBEAT_INTERVAL
    }

    /// Sends a heartbeat unless the previous one is unanswered, and reports new quarantines with it.
    async fn send_heartbeat(&mut self, send: &mut SendHalf) -> Result<()> {
        let now = self.shared.clock.now();
        let Some(heartbeat) = self.shared.heartbeat(now) else { return Ok(()) };
        self.last_heartbeat = Instant::now();
        send.send(&heartbeat).await?;
        let quarantined = self.shared.owned.lock().take_quarantined();
        for fingerprint in quarantined {
            send.send(&ToControl::Quarantine { fingerprint }).await?;
        }
        Ok(())
    }

    /// Handles one frame; returns whether it installed a revision or roster, which is reported to the control service at
    /// once.
    fn handle_frame(&mut self, frame: FromControl) -> Result<bool> {
        match frame {
            FromControl::Config(config) => self.on_config(config),
            FromControl::Delta(delta) => self.on_delta(&delta),
            FromControl::Roster(roster) => self.on_roster(roster),
            FromControl::HeartbeatReply { seq, lease_ms, settled_epoch, residual_work, totals } => {
                let now = self.shared.clock.now();
                self.shared.owned.lock().on_heartbeat_reply(
                    now,
                    seq,
                    lease_ms,
                    settled_epoch,
                    &residual_work,
                    &totals,
                );
                Ok(false)
            }
            FromControl::Quarantined { fingerprint, expires_ms } => {
                let until = self.shared.clock.now() + u64::from(expires_ms) * MILLISECOND;
                let now = self.shared.clock.now();
                self.shared.owned.lock().suspects.quarantine(now, fingerprint, until);
                Ok(false)
            }
            FromControl::NotLeader { .. } | FromControl::Welcome { .. } => Ok(false),
        }
    }

    fn on_config(&self, config: Arc<Config>) -> Result<bool> {
        let current = self.shared.view().config.clone();
        ensure!(config.revision >= current.revision, "replica is stale at {}", config.revision);
        if config.revision == current.revision {
            ensure!(config.digest == current.digest, "replica has a different {}", config.revision);
            return Ok(false);
        }
        self.shared.install_config(config);
        Ok(true)
    }

    fn on_delta(&self, delta: &Delta) -> Result<bool> {
        let mut config = Config::clone(&self.shared.view().config);
        if delta.base < config.revision {
            return Ok(false);
        }
        config.apply(delta)?;
        self.shared.install_config(Arc::new(config));
        Ok(true)
    }

    /// Handles a roster. A replica first sends the current one; later ones may be older, if a missing router may still act
    /// on them.
    fn on_roster(&mut self, roster: Roster) -> Result<bool> {
        let epoch = self.shared.view().roster.epoch;
        ensure!(
            self.roster_received || roster.epoch >= epoch,
            "replica is stale at {}",
            roster.epoch
        );
        self.roster_received = true;
        let newer = roster.epoch > epoch;
        self.shared.install_roster(&roster);
        Ok(newer)
    }
}
