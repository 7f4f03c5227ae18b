//! Tells other gateways which requests crash endpoints, and compares notes with them, over UDP.

use {
    crate::{gossip::limited, shared::Shared},
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_into_std_write},
    },
    model::{MILLISECOND, SECOND, Time},
    quarantine::{Admission, Change, Message, Subject},
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{sleep, sleep_until, timeout_at},
};

/// The version of the message format, the first byte of a datagram. No other message between
/// gateways begins with it.
pub(crate) const FORMAT_VERSION: u8 = 0x82;

/// The minimum time between two rounds of news, in milliseconds. Crashes of one endpoint are told
/// together.
const NEWS_INTERVAL_MS: u64 = 100;

/// How long news wait for others, in milliseconds.
const NEWS_DELAY_MS: u64 = 10;

/// How often a request that waits for a verdict looks for the news of an answer, in milliseconds.
const DECISION_POLL_MS: u64 = 20;

/// How often a gateway compares its evidence with that of another one, in milliseconds. This brings
/// what was lost, or missed while the gateway did not run or was cut off.
const COMPARE_INTERVAL_MS: u64 = 500;

/// Like [`COMPARE_INTERVAL_MS`], in a process that has just started.
const INITIAL_COMPARE_INTERVAL_MS: u64 = 100;

/// How long after its start a process compares often, in microseconds.
const INITIAL_TIME: u64 = 3 * SECOND;

/// Returns whether a request with these subjects may be sent now. It is not sent yet.
pub(crate) fn check<I>(shared: &Shared, subjects: I) -> Admission
where
    I: IntoIterator<Item = Subject> + Clone,
{
    shared.quarantine.lock().check(shared.now(), subjects)
}

/// Waits until no verdict on a request with these subjects is due, and returns whether it may be
/// sent. It must be sent at once.
pub(crate) async fn admit<I>(shared: &Shared, subjects: I) -> bool
where
    I: IntoIterator<Item = Subject> + Clone,
{
    loop {
        let admission = shared.quarantine.lock().admit(shared.now(), subjects.clone());
        match admission {
            Admission::Allowed => return true,
            Admission::Trial(subject) => {
                tracing::info!(event = "trial", %subject, "gateway: trying a quarantined request");
                shared.crash_news.notify_one();
                return true;
            }
            Admission::Blocked { .. } => return false,
            Admission::Undecided { .. } => decided(shared, subjects.clone()).await,
        }
    }
}

/// Waits until no verdict on a request with these subjects is due.
pub(crate) async fn decided<I>(shared: &Shared, subjects: I)
where
    I: IntoIterator<Item = Subject> + Clone,
{
    while let Admission::Undecided { until } = check(shared, subjects.clone()) {
        let poll = shared.now() + DECISION_POLL_MS * MILLISECOND;
        sleep_until(shared.clock.deadline(until.min(poll))).await;
    }
}

/// Waits until a request with these subjects must not be sent.
pub(crate) async fn blocked<I>(shared: &Shared, subjects: I)
where
    I: IntoIterator<Item = Subject> + Clone,
{
    let mut convicted = shared.convicted.subscribe();
    loop {
        convicted.mark_unchanged();
        if matches!(check(shared, subjects.clone()), Admission::Blocked { .. }) {
            return;
        }
        if convicted.changed().await.is_err() {
            return;
        }
    }
}

/// Records that a request with these subjects was answered.
pub(crate) fn record_answer<I>(shared: &Shared, request: &str, subjects: I)
where
    I: IntoIterator<Item = Subject>,
{
    let mut quarantine = shared.quarantine.lock();
    let cleared = quarantine.record_answer(shared.now(), subjects);
    let has_news = quarantine.news_at() != Time::NEVER;
    drop(quarantine);
    if let Some(subject) = cleared.first() {
        tracing::info!(
            event = "cleared",
            request,
            %subject,
            subjects = cleared.len(),
            "gateway: an answer contradicts crashes"
        );
    }
    if has_news {
        shared.crash_news.notify_one();
    }
}

/// Sends news to all other gateways, and logs verdicts, for as long as the process runs.
pub(crate) async fn send_news(shared: Arc<Shared>) {
    let mut next_send = Time(0);
    loop {
        let (news_at, next_change) = {
            let quarantine = shared.quarantine.lock();
            (quarantine.news_at(), quarantine.next_change())
        };
        let wakes_at = next_change.min(news_at.max(next_send));
        let deadline = shared.clock.deadline(wakes_at + NEWS_DELAY_MS * MILLISECOND);
        if timeout_at(deadline, shared.crash_news.notified()).await.is_ok() {
            log_changes(&shared);
            continue;
        }
        log_changes(&shared);
        let now = shared.now();
        if now < next_send {
            continue;
        }
        next_send = now + NEWS_INTERVAL_MS * MILLISECOND;
        let (messages, (collectors, parts)) = {
            let mut quarantine = shared.quarantine.lock();
            (quarantine.take_news(now), quarantine.take_parts(now))
        };
        for (peers, messages) in [(peers(&shared), messages), (collectors, parts)] {
            for message in &messages {
                for peer in &peers {
                    send(&shared, *peer, message).await;
                }
            }
        }
    }
}

/// Compares the evidence with one other gateway after the other, for as long as the process runs.
pub(crate) async fn compare(shared: Arc<Shared>) {
    loop {
        let is_new = shared.now().since(shared.started) < INITIAL_TIME;
        let interval_ms = if is_new { INITIAL_COMPARE_INTERVAL_MS } else { COMPARE_INTERVAL_MS };
        sleep(Duration::from_millis(interval_ms)).await;
        let peer = peers(&shared).into_iter().choose(&mut rand::rng());
        if let Some(peer) = peer {
            let message = shared.quarantine.lock().ask(shared.now());
            send(&shared, peer, &message).await;
        }
        log_changes(&shared);
    }
}

/// Handles a message, given without the version of its format.
pub(crate) async fn receive(shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    let message = match decode_from_slice::<Message, _>(bytes, limited()) {
        Ok((message, _)) => message,
        Err(err) => {
            tracing::debug!("gateway: failed to decode a message on crashes from {from}: {err}");
            return;
        }
    };
    let answer = shared.quarantine.lock().receive(shared.now(), &message);
    shared.crash_news.notify_one();
    if let Some(answer) = answer {
        send(shared, from, &answer).await;
    }
}

/// Returns the other gateways.
pub(crate) fn peers(shared: &Shared) -> Vec<SocketAddr> {
    let own = shared.settings.inner;
    let membership = shared.membership.lock();
    membership.routers.iter().map(|it| it.0).filter(|it| *it != own).collect()
}

async fn send(shared: &Shared, to: SocketAddr, message: &Message) {
    let mut datagram = vec![FORMAT_VERSION];
    if encode_into_std_write(message, &mut datagram, standard()).is_err() {
        return;
    }
    if let Err(err) = shared.gossip.send_to(&datagram, to).await {
        tracing::debug!("gateway: failed to send a message on crashes to {to}: {err}");
    }
}

fn log_changes(shared: &Shared) {
    let now = shared.now();
    let changes = shared.quarantine.lock().take_changes(now);
    for change in &changes {
        match change {
            Change::Convicted(subject, verdict) => tracing::warn!(
                event = "quarantined",
                %subject,
                crashes = verdict.crashes,
                trial_ms = verdict.retry_at.since(now) / MILLISECOND,
                "gateway: requests that crash endpoints are quarantined"
            ),
            Change::Released(subject) => tracing::info!(
                event = "released",
                %subject,
                "gateway: requests are no longer quarantined"
            ),
        }
    }
    if changes.iter().any(|it| matches!(it, Change::Convicted(..))) {
        shared.convicted.send_replace(());
    }
}
