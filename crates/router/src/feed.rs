//! The one control connection of a router: configuration, rosters and the lease.
//!
//! Invariants: the revision and the epoch in force never go down; a configuration is taken whole or by a delta that
//! chains to the one in force; a replica that offers less than what is in force is stale and is left.

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

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between heartbeats while the router is not in the roster, or its loads change or requests wait: the
/// mean by which the bound is kept must not be old then.
const BUSY_INTERVAL: Duration = Duration::from_millis(200);

/// Time without any frame after which a replica is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_000);

/// Milliseconds to wait before the replicas are tried again, at most; the wait is random below it.
const BACKOFF_MS: u64 = 400;

/// Keeps a feed to the leading control replica for the life of the process.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut candidates: VecDeque<SocketAddr> = shared.settings.control.iter().copied().collect();
    while let Some(addr) = candidates.pop_front() {
        candidates.push_back(addr);
        match follow(&shared, addr).await {
            Ok(Some(leader)) => prefer(&mut candidates, leader),
            Ok(None) => {}
            Err(err) => tracing::debug!("feed: replica {addr} left: {err:#}"),
        }
        let wait = rand::rng().random_range(10..BACKOFF_MS);
        sleep(Duration::from_millis(wait)).await;
    }
}

fn prefer(candidates: &mut VecDeque<SocketAddr>, leader: SocketAddr) {
    if let Some(at) = candidates.iter().position(|it| *it == leader) {
        candidates.swap(0, at);
    }
}

/// Follows one replica until it fails; returns the leader that it names if it does not lead.
async fn follow(shared: &Arc<Shared>, addr: SocketAddr) -> Result<Option<SocketAddr>> {
    let dialer = Dialer { class: TrafficClass::Control, ..shared.dialer.clone() };
    let peer = Peer::new(addr, dialer);
    let (mut send, mut recv) = peer.open(FEED_PATH).await?.split();
    send.send(&hello(shared)).await?;
    shared.owned.lock().member.on_disconnect();
    let mut session = Session { shared, listed: false, sent: Instant::now() };
    let mut welcomed = false;
    let mut due = Instant::now();
    let mut silent = due + SILENCE_LIMIT;
    loop {
        tokio::select! {
            frame = next(&mut recv) => {
                silent = Instant::now() + SILENCE_LIMIT;
                match frame? {
                    FromControl::NotLeader { leader } => return Ok(leader),
                    FromControl::Welcome { router } => {
                        ensure!(shared.welcome(router), "this process got a second id, {router}");
                        welcomed = true;
                    }
                    frame => if session.take(frame)? {
                        session.beat(&mut send).await?;
                    },
                }
            }
            () = sleep_until(due), if welcomed => {
                if session.is_due() {
                    session.beat(&mut send).await?;
                }
                due = Instant::now() + BUSY_INTERVAL;
            }
            () = shared.leaving.notified(), if welcomed => session.beat(&mut send).await?,
            () = sleep_until(silent) => bail!("replica is silent"),
        }
    }
}

async fn next(recv: &mut RecvHalf) -> Result<FromControl> {
    match recv.recv().await? {
        Some(frame) => Ok(frame),
        None => bail!("replica ended the feed"),
    }
}

fn hello(shared: &Shared) -> ToControl {
    let view = shared.view();
    ToControl::Hello {
        host: shared.settings.host.clone(),
        process: shared.process,
        addr: shared.inner,
        domain: shared.settings.domain.clone(),
        revision: view.config.revision,
        digest: view.config.digest,
    }
}

/// One feed.
struct Session<'a> {
    shared: &'a Arc<Shared>,
    /// Whether the replica has sent its roster.
    listed: bool,
    /// When the last heartbeat was sent.
    sent: Instant,
}

impl Session<'_> {
    /// Whether a heartbeat should be sent.
    fn is_due(&self) -> bool {
        let busy = !self.shared.is_listed() || self.shared.owned.lock().wants_news();
        busy || self.sent.elapsed() + BUSY_INTERVAL / 2 >= HEARTBEAT_INTERVAL
    }

    /// Sends a heartbeat, unless the one before is still unanswered.
    async fn beat(&mut self, send: &mut SendHalf) -> Result<()> {
        let now = self.shared.clock.now();
        let Some(heartbeat) = self.shared.heartbeat(now) else { return Ok(()) };
        self.sent = Instant::now();
        send.send(&heartbeat).await?;
        let crashers = self.shared.owned.lock().take_crashers();
        for fingerprint in crashers {
            send.send(&ToControl::Quarantine { fingerprint }).await?;
        }
        Ok(())
    }

    /// Takes one frame; returns whether a revision or roster came into force, which control is told at once.
    fn take(&mut self, frame: FromControl) -> Result<bool> {
        match frame {
            FromControl::Config(config) => self.config(config),
            FromControl::Delta(delta) => self.delta(&delta),
            FromControl::Roster(roster) => self.roster(roster),
            FromControl::HeartbeatReply { seq, lease_ms, settled_epoch, residual_work, totals } => {
                let now = self.shared.clock.now();
                self.shared.owned.lock().granted(
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

    fn config(&self, config: Arc<Config>) -> Result<bool> {
        let current = self.shared.view().config.clone();
        ensure!(
            config.revision >= current.revision,
            "replica is behind: it has {}",
            config.revision
        );
        if config.revision == current.revision {
            ensure!(config.digest == current.digest, "replica holds another {}", config.revision);
            return Ok(false);
        }
        self.shared.install_config(config);
        Ok(true)
    }

    fn delta(&self, delta: &Delta) -> Result<bool> {
        let mut config = Config::clone(&self.shared.view().config);
        if delta.base < config.revision {
            return Ok(false);
        }
        config.apply(delta)?;
        self.shared.install_config(Arc::new(config));
        Ok(true)
    }

    /// Takes the roster in force, which a replica sends first, or an older one by which a missing router may act.
    fn roster(&mut self, roster: Roster) -> Result<bool> {
        let epoch = self.shared.view().roster.epoch;
        ensure!(self.listed || roster.epoch >= epoch, "replica is behind: it has {}", roster.epoch);
        self.listed = true;
        let newer = roster.epoch > epoch;
        self.shared.install_roster(&roster);
        Ok(newer)
    }
}
