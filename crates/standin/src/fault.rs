//! Faults that a test can inject, and their effect on an endpoint's connections.

use {
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep_until},
};

/// A fault to inject; the body of `POST /fault`.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// The endpoint drops all connections and its volatile state, and refuses connections for a while.
    Crash {
        /// Milliseconds until it accepts connections again.
        for_ms: u64,
    },
    /// The endpoint stops making progress for a while; connections stay open.
    Freeze {
        /// Milliseconds until it resumes.
        for_ms: u64,
    },
    /// All open connections go silent permanently; new ones work.
    Silent,
    /// Processing is slower for a while.
    Slow {
        /// The slowdown factor.
        factor: u32,
        /// Milliseconds until it ends.
        for_ms: u64,
    },
    /// Ends a freeze and a slowdown.
    Heal,
}

/// Which connections of an endpoint are dropped, and whether it accepts new ones.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct Disconnect {
    /// Connections up to this number are dropped.
    pub(crate) up_to: u64,
    /// This connection is kept open, because it requested the fault.
    pub(crate) except: u64,
    /// Connections are refused until then.
    pub(crate) refuse_until: Option<Instant>,
}

/// The injected faults of an endpoint, shared by its connections.
#[derive(Clone, Debug)]
pub(crate) struct FaultState {
    disconnect: watch::Sender<Disconnect>,
    accepted: Arc<AtomicU64>,
    silenced: Arc<AtomicU64>,
    crashes: Arc<AtomicU64>,
    slowdown: Arc<Mutex<Slowdown>>,
}

#[derive(Debug)]
struct Slowdown {
    factor: u32,
    slow_until: Instant,
    frozen_until: Instant,
}

impl FaultState {
    pub(crate) fn new() -> FaultState {
        let now = Instant::now();
        let slowdown = Slowdown { factor: 1, slow_until: now, frozen_until: now };
        FaultState {
            disconnect: watch::Sender::new(Disconnect::default()),
            accepted: Arc::default(),
            silenced: Arc::default(),
            crashes: Arc::default(),
            slowdown: Arc::new(Mutex::new(slowdown)),
        }
    }

    /// Returns the number of a new connection, counted from one.
    pub(crate) fn accept(&self) -> u64 {
        self.accepted.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Returns whether a connection is silent.
    pub(crate) fn is_silent(&self, number: u64) -> bool {
        number <= self.silenced.load(Ordering::SeqCst)
    }

    pub(crate) fn disconnects(&self) -> watch::Receiver<Disconnect> {
        self.disconnect.subscribe()
    }

    /// Injects a fault requested over connection `number`.
    pub(crate) fn inject(&self, fault: Fault, number: u64) {
        let now = Instant::now();
        let until = |for_ms| now + Duration::from_millis(for_ms);
        match fault {
            Fault::Crash { for_ms } => self.crash(for_ms, number),
            Fault::Freeze { for_ms } => self.slowdown.lock().frozen_until = until(for_ms),
            Fault::Silent => self.silence(number),
            Fault::Slow { factor, for_ms } => {
                let mut slowdown = self.slowdown.lock();
                (slowdown.factor, slowdown.slow_until) = (factor, until(for_ms));
            }
            Fault::Heal => {
                let mut slowdown = self.slowdown.lock();
                (slowdown.slow_until, slowdown.frozen_until) = (now, now);
            }
        }
    }

    /// Drops all connections except `except` and refuses new ones for a while.
    pub(crate) fn crash(&self, for_ms: u64, except: u64) {
        let up_to = self.accepted.load(Ordering::SeqCst);
        let refuse_until = Some(Instant::now() + Duration::from_millis(for_ms));
        self.disconnect.send_replace(Disconnect { up_to, except, refuse_until });
        self.crashes.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the number of crashes.
    pub(crate) fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::SeqCst)
    }

    /// Returns the current slowdown factor, 1 if there is none.
    pub(crate) fn factor(&self) -> u32 {
        let slowdown = self.slowdown.lock();
        if Instant::now() < slowdown.slow_until { slowdown.factor } else { 1 }
    }

    /// Waits until the endpoint is not frozen.
    pub(crate) async fn wait_unfrozen(&self) {
        loop {
            let end = self.slowdown.lock().frozen_until;
            if end <= Instant::now() {
                return;
            }
            // `Fault::Heal` can end the freeze early, so the end is checked again after at most 20 ms.
            let next_check = Instant::now() + Duration::from_millis(20);
            sleep_until(end.min(next_check).into()).await;
        }
    }

    /// Silences all open connections except the newest one if it is the requester.
    fn silence(&self, requester: u64) {
        let newest = self.accepted.load(Ordering::SeqCst);
        let last = if requester == newest { newest.saturating_sub(1) } else { newest };
        self.silenced.fetch_max(last, Ordering::SeqCst);
    }
}
