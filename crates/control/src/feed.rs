//! The feed of one router: its id, configuration, roster, quarantine and lease.

use {
    crate::{
        command::{Command, Output},
        control::Shared,
        fleet::Report,
        news::News,
        state::State,
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

/// How long a router may take to introduce itself.
const HELLO_LIMIT: Duration = Duration::from_millis(5_000);

/// How long a router may stay silent.
const SILENCE_LIMIT: Duration = Duration::from_millis(10_000);

/// Serves a feed until either end closes it or this replica no longer leads.
pub(crate) async fn serve(shared: Arc<Shared>, stream: Stream) -> Result<(), WireError> {
    let (mut send, mut recv) = stream.split();
    let Ok(hello) = timeout(HELLO_LIMIT, recv.recv()).await else { return Ok(()) };
    let Some(hello) = hello? else { return Ok(()) };
    let mut news = shared.news.subscribe();
    let Some(mut feed) = Feed::open(&shared, hello).await else {
        return refuse(&shared, &mut send).await;
    };
    send.send(&FromControl::Welcome { router: feed.router }).await?;
    loop {
        if !shared.log.leads() {
            return refuse(&shared, &mut send).await;
        }
        for message in feed.news() {
            send.send(&message).await?;
        }
        tokio::select! {
            () = changed(&mut news) => {}
            received = timeout(SILENCE_LIMIT, recv.recv()) => match received {
                Ok(Ok(Some(message))) => feed.receive(message, &mut send).await?,
                Ok(Ok(None)) | Err(_) => return Ok(()),
                Ok(Err(err)) => return Err(err),
            },
        }
    }
}

async fn changed(news: &mut watch::Receiver<News>) {
    if news.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn refuse(shared: &Shared, send: &mut SendHalf) -> Result<(), WireError> {
    let leader = shared.log.leader_inner();
    send.send(&FromControl::NotLeader { leader }).await?;
    send.finish();
    Ok(())
}

/// What one router was sent.
struct Feed {
    shared: Arc<Shared>,
    router: RouterId,
    revision: Revision,
    digest: Digest,
    config: bool,
    epoch: Option<Epoch>,
    quarantined: u64,
}

impl Feed {
    /// Takes a router in; nothing if this replica cannot serve it.
    async fn open(shared: &Arc<Shared>, hello: ToControl) -> Option<Feed> {
        let ToControl::Hello { host, process, addr, domain, revision, digest } = hello else {
            return None;
        };
        if !shared.log.leads() {
            return None;
        }
        let register =
            Command::Register { host: host.clone(), process, addr, domain: domain.clone() };
        let registered = shared.log.propose(&register).await;
        let Ok(Output::Router(router)) = registered else { return None };
        let now = shared.clock.now();
        shared.members(|it| it.register(now, router, host, addr, domain))?;
        // A router that is ahead of this replica must not be taken back.
        let behind = shared.log.with(|it| it.intents.config().revision < revision);
        let config = revision != Revision(0);
        let shared = shared.clone();
        (!behind).then_some(Feed {
            shared,
            router,
            revision,
            digest,
            config,
            epoch: None,
            quarantined: 0,
        })
    }

    /// Returns what the router has not been sent yet.
    fn news(&mut self) -> Vec<FromControl> {
        let shared = self.shared.clone();
        let now_ms = shared.wall_ms();
        shared.log.with(|state| {
            let mut news = self.config_news(state);
            news.extend(self.roster_news(state));
            for entry in state.quarantine.after(self.quarantined) {
                let expires_ms = entry.expires_ms.saturating_sub(now_ms).min(u32::MAX.into());
                self.quarantined = entry.number;
                news.push(FromControl::Quarantined {
                    fingerprint: entry.fingerprint,
                    expires_ms: expires_ms as u32,
                });
            }
            news
        })
    }

    /// Returns the roster in force, and to a router that had none before it also the older ones.
    fn roster_news(&mut self, state: &State) -> Vec<FromControl> {
        let current = state.rosters.current();
        if self.epoch == Some(current.epoch) {
            return Vec::new();
        }
        let first = self.epoch.replace(current.epoch).is_none();
        let past = state.rosters.past().filter(|_| first).cloned();
        [current.clone()].into_iter().chain(past).map(FromControl::Roster).collect()
    }

    /// Returns the deltas that the router lacks, or the whole configuration if they are no longer kept.
    fn config_news(&mut self, state: &State) -> Vec<FromControl> {
        let config: &Arc<Config> = state.intents.config();
        let deltas = state.intents.deltas(self.revision, self.digest).filter(|_| self.config);
        self.config = true;
        (self.revision, self.digest) = (config.revision, config.digest);
        match deltas {
            Some(deltas) => deltas.into_iter().map(FromControl::Delta).collect(),
            None => vec![FromControl::Config(config.clone())],
        }
    }

    async fn receive(&self, message: ToControl, send: &mut SendHalf) -> Result<(), WireError> {
        match message {
            ToControl::Hello { .. } => Ok(()),
            ToControl::Heartbeat { .. } if !self.shared.log.leads() => Ok(()),
            ToControl::Heartbeat { seq, revision, epoch, leaving, busy, sums, residual_work } => {
                let report =
                    Report { heard: self.shared.clock.now(), revision, epoch, leaving, sums };
                let beat = Heartbeat { seq, epoch, leaving, busy, residual_work };
                self.heartbeat(report, beat, send).await
            }
            ToControl::Quarantine { fingerprint } => {
                let at_ms = self.shared.wall_ms();
                let command = Command::Quarantine { at_ms, fingerprint };
                if let Err(err) = self.shared.log.propose(&command).await {
                    tracing::warn!("control: quarantine not committed: {err}");
                }
                Ok(())
            }
        }
    }

    /// Answers a heartbeat, unless this replica no longer leads or the router must introduce itself again.
    async fn heartbeat(
        &self,
        report: Report,
        beat: Heartbeat,
        send: &mut SendHalf,
    ) -> Result<(), WireError> {
        let now = report.heard;
        let reply = self.shared.members(|it| it.on_heartbeat(now, self.router, beat));
        let Some(Some(reply)) = reply else { return Ok(()) };
        let totals = {
            let mut fleet = self.shared.fleet.lock();
            fleet.report(self.router, report);
            fleet.means(now)
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
