//! Feeds: each sends one router its id, the configuration, rosters, quarantined fingerprints and leases.

use {
    crate::{
        command::{Command, Output},
        control::Shared,
        router_reports::RouterReport,
        state::State,
        state_versions::StateVersions,
    },
    member::Heartbeat,
    model::{Config, Digest, Epoch, Revision, RouterId},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::timeout},
    wire::{
        SendHalf, Stream, WireError,
        msg::{FromControl, ToControl},
    },
};

/// Time limit for receiving the first message of a router.
const HELLO_TIMEOUT: Duration = Duration::from_millis(5_000);

/// A feed is closed after this time without a message from the router.
const IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Serves a feed until either side closes it or this replica is no longer the leader.
pub(crate) async fn serve(shared: Arc<Shared>, stream: Stream) -> Result<(), WireError> {
    let (mut send, mut recv) = stream.split();
    let Ok(hello) = timeout(HELLO_TIMEOUT, recv.recv()).await else { return Ok(()) };
    let Some(hello) = hello? else { return Ok(()) };
    let mut versions = shared.state_versions.subscribe();
    let Some(mut feed) = Feed::register(&shared, hello).await else {
        return send_not_leader(&shared, &mut send).await;
    };
    send.send(&FromControl::Welcome { router: feed.router }).await?;
    loop {
        if !shared.log.is_leader() {
            return send_not_leader(&shared, &mut send).await;
        }
        for message in feed.pending_messages() {
            send.send(&message).await?;
        }
        tokio::select! {
            () = wait_for_change(&mut versions) => {}
            received = timeout(IDLE_TIMEOUT, recv.recv()) => match received {
                Ok(Ok(Some(message))) => feed.on_message(message, &mut send).await?,
                Ok(Ok(None)) | Err(_) => return Ok(()),
                Ok(Err(err)) => return Err(err),
            },
        }
    }
}

async fn wait_for_change(versions: &mut watch::Receiver<StateVersions>) {
    if versions.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn send_not_leader(shared: &Shared, send: &mut SendHalf) -> Result<(), WireError> {
    let leader = shared.log.leader_internal_addr();
    send.send(&FromControl::NotLeader { leader }).await?;
    send.finish();
    Ok(())
}

/// The feed of one router, with the versions that it was already sent.
struct Feed {
    shared: Arc<Shared>,
    router: RouterId,
    revision: Revision,
    digest: Digest,
    config_sent: bool,
    epoch: Option<Epoch>,
    last_quarantined: u64,
}

impl Feed {
    /// Registers a router. Returns `None` if this replica cannot serve it.
    async fn register(shared: &Arc<Shared>, hello: ToControl) -> Option<Feed> {
        let ToControl::Hello { host, process, addr, domain, revision, digest } = hello else {
            return None;
        };
        if !shared.log.is_leader() {
            return None;
        }
        let register =
            Command::Register { host: host.clone(), process, addr, domain: domain.clone() };
        let registered = shared.log.propose(&register).await;
        let Ok(Output::Router(router)) = registered else { return None };
        let now = shared.clock.now();
        shared.with_members(|it| it.register(now, router, host, addr, domain))?;
        // A router that has a newer revision than this replica must not be moved back to an older one.
        let replica_is_behind = shared.log.with_state(|it| it.intents.config().revision < revision);
        let config_sent = revision != Revision(0);
        let shared = shared.clone();
        (!replica_is_behind).then_some(Feed {
            shared,
            router,
            revision,
            digest,
            config_sent,
            epoch: None,
            last_quarantined: 0,
        })
    }

    /// Returns the messages that the router has not been sent yet.
    fn pending_messages(&mut self) -> Vec<FromControl> {
        let shared = self.shared.clone();
        let now_ms = shared.unix_time_ms();
        shared.log.with_state(|state| {
            let mut messages = self.pending_config(state);
            messages.extend(self.pending_rosters(state));
            for entry in state.quarantine.after(self.last_quarantined) {
                let expires_ms = entry.expires_ms.saturating_sub(now_ms).min(u32::MAX.into());
                self.last_quarantined = entry.number;
                messages.push(FromControl::Quarantined {
                    fingerprint: entry.fingerprint,
                    expires_ms: expires_ms as u32,
                });
            }
            messages
        })
    }

    /// Returns the current roster; a router that was sent no roster yet also gets the past ones.
    fn pending_rosters(&mut self, state: &State) -> Vec<FromControl> {
        let current = state.rosters.current();
        if self.epoch == Some(current.epoch) {
            return Vec::new();
        }
        let first = self.epoch.replace(current.epoch).is_none();
        let past = state.rosters.past().filter(|_| first).cloned();
        [current.clone()].into_iter().chain(past).map(FromControl::Roster).collect()
    }

    /// Returns the deltas that the router is missing, or the full configuration if they are no longer kept.
    fn pending_config(&mut self, state: &State) -> Vec<FromControl> {
        let config: &Arc<Config> = state.intents.config();
        let deltas = state.intents.deltas(self.revision, self.digest).filter(|_| self.config_sent);
        self.config_sent = true;
        (self.revision, self.digest) = (config.revision, config.digest);
        match deltas {
            Some(deltas) => deltas.into_iter().map(FromControl::Delta).collect(),
            None => vec![FromControl::Config(config.clone())],
        }
    }

    async fn on_message(&self, message: ToControl, send: &mut SendHalf) -> Result<(), WireError> {
        match message {
            ToControl::Hello { .. } => Ok(()),
            ToControl::Heartbeat { .. } if !self.shared.log.is_leader() => Ok(()),
            ToControl::Heartbeat { seq, revision, epoch, leaving, busy, sums, residual_work } => {
                let report = RouterReport {
                    received_at: self.shared.clock.now(),
                    revision,
                    epoch,
                    leaving,
                    sums,
                };
                let heartbeat = Heartbeat { seq, epoch, leaving, busy, residual_work };
                self.on_heartbeat(report, heartbeat, send).await
            }
            ToControl::Quarantine { fingerprint } => {
                let at_ms = self.shared.unix_time_ms();
                let command = Command::Quarantine { at_ms, fingerprint };
                if let Err(err) = self.shared.log.propose(&command).await {
                    tracing::warn!("control: cannot commit a quarantined fingerprint: {err}");
                }
                Ok(())
            }
        }
    }

    /// Answers a heartbeat, unless this replica is no longer the leader or the router must register again.
    async fn on_heartbeat(
        &self,
        report: RouterReport,
        heartbeat: Heartbeat,
        send: &mut SendHalf,
    ) -> Result<(), WireError> {
        let now = report.received_at;
        let reply = self.shared.with_members(|it| it.on_heartbeat(now, self.router, heartbeat));
        let Some(Some(reply)) = reply else { return Ok(()) };
        let totals = {
            let mut reports = self.shared.router_reports.lock();
            reports.insert(self.router, report);
            reports.service_totals(now)
        };
        let (seq, lease_ms, settled_epoch) = (reply.seq, reply.lease_ms, reply.settled_epoch);
        let residual_work = reply.residual_work.into_iter().collect();
        send.send(&FromControl::HeartbeatReply {
            seq,
            lease_ms,
            settled_epoch,
            residual_work,
            totals,
        })
        .await
    }
}
