//! Model endpoints that crash when they begin to answer certain requests.

use {
    super::{
        StaticList,
        endpoint::{ReceivedRequest, SIGNED, chunk, event, read_request},
    },
    directory::ListedEndpoint,
    model::Domain,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// The number of events of an answer.
pub(crate) const EVENTS: u64 = 8;

/// How long an endpoint reads a prompt before it begins to answer.
const PREFILL: Duration = Duration::from_millis(40);

/// The time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// How long an endpoint that crashed is gone.
const DOWNTIME: Duration = Duration::from_millis(600);

/// How the end of an answer is marked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Framing {
    Chunks,
    Length,
    /// The answer ends with its connection.
    Connection,
}

/// The requests that crash endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Trigger {
    /// Those of which a part has this id.
    Part(&'static str),
    /// Those with this method.
    Method(&'static str),
}

impl Trigger {
    fn matches(self, request: &ReceivedRequest) -> bool {
        match self {
            Trigger::Part(part) => {
                let lines = request.head.lines().filter_map(|it| it.strip_prefix("prompt-parts: "));
                let parts = lines.flat_map(|it| it.split(',')).filter_map(|it| it.split_once(':'));
                parts.map(|it| it.0).any(|it| it == part)
            }
            Trigger::Method(method) => request.head.starts_with(&format!("{method} ")),
        }
    }
}

#[derive(Default)]
struct Record {
    crashes: Vec<Instant>,
    /// The requests that crash endpoints and reached one.
    arrivals: Vec<Instant>,
    listed: Vec<ListedEndpoint>,
    /// Where the endpoints that start again are listed, with those of other services.
    list: Option<StaticList>,
    others: Vec<ListedEndpoint>,
}

impl Record {
    fn publish(&self) {
        if let Some(list) = &self.list {
            list.replace(&[self.listed.as_slice(), &self.others].concat());
        }
    }
}

/// Endpoints of one service.
pub(crate) struct CrashingEndpoints {
    record: Arc<Mutex<Record>>,
    trigger: watch::Sender<Option<Trigger>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for CrashingEndpoints {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl CrashingEndpoints {
    /// Starts endpoints of the service `model`.
    pub(crate) async fn start(count: usize, framing: Framing) -> CrashingEndpoints {
        CrashingEndpoints::start_service("model", count, framing).await
    }

    pub(crate) async fn start_service(
        service: &str,
        count: usize,
        framing: Framing,
    ) -> CrashingEndpoints {
        let record = Arc::new(Mutex::new(Record::default()));
        let trigger = watch::Sender::new(None);
        let mut tasks = Vec::new();
        for at in 0..count {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("failed to bind");
            let addr = listener.local_addr().expect("no local address");
            record.lock().expect("record is poisoned").listed.push(ListedEndpoint {
                id: format!("{service}{at}-0").into(),
                service: service.into(),
                addr,
                domain: Domain(format!("d{}", at % 3).as_str().into()),
                slots: 64,
                draining: false,
                started_at_ms: None,
                build: Some("v1".into()),
            });
            let endpoint = CrashingEndpoint {
                at,
                addr,
                framing,
                record: record.clone(),
                trigger: trigger.subscribe(),
            };
            tasks.push(tokio::spawn(endpoint.run(listener)));
        }
        CrashingEndpoints { record, trigger, tasks }
    }

    pub(crate) fn listed(&self) -> Vec<ListedEndpoint> {
        self.record.lock().expect("record is poisoned").listed.clone()
    }

    /// Lists the endpoints that start again.
    pub(crate) fn set_list(&self, list: StaticList) {
        self.set_list_with(list, &[]);
    }

    /// Lists the endpoints that start again, beside those of other services.
    pub(crate) fn set_list_with(&self, list: StaticList, others: &[ListedEndpoint]) {
        let mut record = self.record.lock().expect("record is poisoned");
        (record.list, record.others) = (Some(list), others.to_vec());
    }

    pub(crate) fn set_trigger(&self, trigger: Option<Trigger>) {
        self.trigger.send_replace(trigger);
    }

    pub(crate) fn crashes(&self) -> Vec<Instant> {
        self.record.lock().expect("record is poisoned").crashes.clone()
    }

    /// Returns when requests that crash endpoints reached them.
    pub(crate) fn arrivals(&self) -> Vec<Instant> {
        self.record.lock().expect("record is poisoned").arrivals.clone()
    }
}

struct CrashingEndpoint {
    at: usize,
    addr: SocketAddr,
    framing: Framing,
    record: Arc<Mutex<Record>>,
    trigger: watch::Receiver<Option<Trigger>>,
}

impl CrashingEndpoint {
    async fn run(self, mut listener: TcpListener) {
        for incarnation in 1.. {
            let crashed = watch::Sender::new(false);
            let mut wait = crashed.subscribe();
            loop {
                tokio::select! {
                    _ = wait.wait_for(|it| *it) => break,
                    Ok((socket, _)) = listener.accept() => {
                        let answer = Answer {
                            framing: self.framing,
                            record: self.record.clone(),
                            trigger: self.trigger.clone(),
                            crashed: crashed.clone(),
                        };
                        tokio::spawn(answer.serve(socket));
                    }
                }
            }
            drop(listener);
            sleep(DOWNTIME).await;
            listener = TcpListener::bind(self.addr).await.expect("failed to bind again");
            let mut record = self.record.lock().expect("record is poisoned");
            let listed = &mut record.listed[self.at];
            listed.id = format!("{}{}-{incarnation}", listed.service, self.at).into();
            record.publish();
        }
    }
}

struct Answer {
    framing: Framing,
    record: Arc<Mutex<Record>>,
    trigger: watch::Receiver<Option<Trigger>>,
    crashed: watch::Sender<bool>,
}

impl Answer {
    async fn serve(self, mut socket: TcpStream) {
        let mut crashed = self.crashed.subscribe();
        let served = tokio::select! {
            _ = crashed.wait_for(|it| *it) => false,
            () = self.answer(&mut socket) => true,
        };
        if !served {
            // The process ends in the middle of an event.
            let _ = socket.write_all(b"id: 9\nda").await;
        }
    }

    async fn answer(&self, socket: &mut TcpStream) {
        let Some(request) = read_request(socket).await else { return };
        let id = request.header("attempt-id").unwrap_or("-");
        let crashes = self.trigger.borrow().is_some_and(|it| it.matches(&request));
        if crashes {
            self.record.lock().expect("record is poisoned").arrivals.push(Instant::now());
        }
        sleep(PREFILL).await;
        let first = request.header("last-event-id").and_then(|it| it.parse().ok());
        let events = first.map_or(0, |it: u64| it + 1)..EVENTS;
        let length: usize = events.clone().map(|it| event(it).len()).sum();
        let framing = match self.framing {
            Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::Length => format!("content-length: {length}\r\n"),
            Framing::Connection => "connection: close\r\n".to_owned(),
        };
        let kind = "content-type: text/event-stream\r\n";
        let head = format!("HTTP/1.1 200 X\r\nattempt-id: {id}\r\n{SIGNED}{kind}{framing}\r\n");
        let _ = socket.write_all(head.as_bytes()).await;
        if crashes {
            self.record.lock().expect("record is poisoned").crashes.push(Instant::now());
            self.crashed.send_replace(true);
            return;
        }
        for number in events {
            let text = event(number);
            let bytes = match self.framing {
                Framing::Chunks => chunk(&text),
                Framing::Length | Framing::Connection => text.into_bytes(),
            };
            let _ = socket.write_all(&bytes).await;
            sleep(EVENT_INTERVAL).await;
        }
        if self.framing == Framing::Chunks {
            let _ = socket.write_all(b"0\r\n\r\n").await;
        }
    }
}
