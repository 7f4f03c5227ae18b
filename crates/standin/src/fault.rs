//! Faults that a test can provoke, and the state of an endpoint's connections.

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

/// What goes wrong; the body of `POST /fault`.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// The endpoint drops all connections and all it holds, and refuses connections for a while.
    Crash {
        /// Milliseconds until it is back.
        for_ms: u64,
    },
    /// Nothing moves for a while, connections stay open.
    Freeze {
        /// Milliseconds until it goes on.
        for_ms: u64,
    },
    /// All present connections go silent for good; new ones work.
    Silent,
    /// Everything takes longer for a while.
    Slow {
        /// How many times longer.
        factor: u32,
        /// Milliseconds until it is over.
        for_ms: u64,
    },
    /// Ends a freeze and a slow time.
    Heal,
}

/// Which connections of an endpoint are dropped, and whether it takes new ones.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct Cut {
    /// Connections up to this number are dropped.
    pub(crate) killed: u64,
    /// But for this one, which asked for it.
    pub(crate) spared: u64,
    /// No connection is taken before this.
    pub(crate) down: Option<Instant>,
}

/// The state of an endpoint's connections.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    cut: watch::Sender<Cut>,
    accepted: Arc<AtomicU64>,
    silenced: Arc<AtomicU64>,
    crashes: Arc<AtomicU64>,
    slow: Arc<Mutex<Slow>>,
}

#[derive(Debug)]
struct Slow {
    factor: u32,
    slow_end: Instant,
    freeze_end: Instant,
}

impl Line {
    pub(crate) fn new() -> Line {
        let now = Instant::now();
        let slow = Slow { factor: 1, slow_end: now, freeze_end: now };
        Line {
            cut: watch::Sender::new(Cut::default()),
            accepted: Arc::default(),
            silenced: Arc::default(),
            crashes: Arc::default(),
            slow: Arc::new(Mutex::new(slow)),
        }
    }

    /// Numbers a new connection.
    pub(crate) fn accept(&self) -> u64 {
        self.accepted.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Returns whether a connection is silent.
    pub(crate) fn is_silent(&self, number: u64) -> bool {
        number <= self.silenced.load(Ordering::SeqCst)
    }

    pub(crate) fn watch(&self) -> watch::Receiver<Cut> {
        self.cut.subscribe()
    }

    /// Carries out a fault that connection `number` asked for.
    pub(crate) fn fault(&self, fault: Fault, number: u64) {
        let now = Instant::now();
        let end = |for_ms| now + Duration::from_millis(for_ms);
        match fault {
            Fault::Crash { for_ms } => self.crash(for_ms, number),
            Fault::Freeze { for_ms } => self.slow.lock().freeze_end = end(for_ms),
            Fault::Silent => self.silence(number),
            Fault::Slow { factor, for_ms } => {
                let mut slow = self.slow.lock();
                (slow.factor, slow.slow_end) = (factor, end(for_ms));
            }
            Fault::Heal => {
                let mut slow = self.slow.lock();
                (slow.slow_end, slow.freeze_end) = (now, now);
            }
        }
    }

    /// Drops all connections but `spared` and takes none for a while.
    pub(crate) fn crash(&self, for_ms: u64, spared: u64) {
        let killed = self.accepted.load(Ordering::SeqCst);
        let down = Some(Instant::now() + Duration::from_millis(for_ms));
        self.cut.send_replace(Cut { killed, spared, down });
        self.crashes.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns how often it crashed.
    pub(crate) fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::SeqCst)
    }

    /// Returns how many times longer everything takes now.
    pub(crate) fn factor(&self) -> u32 {
        let slow = self.slow.lock();
        if Instant::now() < slow.slow_end { slow.factor } else { 1 }
    }

    /// Waits until a freeze is over.
    pub(crate) async fn thawed(&self) {
        loop {
            let end = self.slow.lock().freeze_end;
            if end <= Instant::now() {
                return;
            }
            // A heal can end the freeze early, so it is looked at again soon.
            let soon = Instant::now() + Duration::from_millis(20);
            sleep_until(end.min(soon).into()).await;
        }
    }

    /// Silences all connections that are older than the one that asks.
    fn silence(&self, asking: u64) {
        let newest = self.accepted.load(Ordering::SeqCst);
        let last = if asking == newest { newest.saturating_sub(1) } else { newest };
        self.silenced.fetch_max(last, Ordering::SeqCst);
    }
}
