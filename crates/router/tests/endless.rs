//! The memory of routers and control while endpoints send bytes without end, in answers to requests and to probes.
//!
//! The routers, control and the endpoints share a process, and the peak is that of the process, so the tests run one at
//! a time.

#![allow(clippy::disallowed_methods, reason = "the tests check time limits against the clock")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "fleet/harness.rs"]
mod harness;

use {
    edge::{empty, full},
    harness::{CallResult, Fleet, TOKEN},
    http::Request,
    rstest::rstest,
    std::{
        fmt::Write as _,
        fs,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::Mutex,
        time::{sleep, timeout},
    },
};

/// The memory of a process on the smaller machines of a deployment, in kilobytes.
const MAX_MEMORY_KB: u64 = 260 << 10;

/// How long a request to a sound endpoint may take.
const SERVED_BY: Duration = Duration::from_millis(1_000);

static SERIAL: Mutex<()> = Mutex::const_new(());

fn peak_memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("failed to read the peak memory");
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let value = line.and_then(|it| it.trim().strip_suffix(" kB")?.parse().ok());
    value.expect("no peak memory")
}

/// What a harmful endpoint sends: a start, and then parts without end.
#[derive(Clone, Copy)]
struct Endless {
    start: &'static str,
    part: &'static str,
}

const BODY: Endless =
    Endless { start: "HTTP/1.1 200 X\r\ncontent-length: 99999999999\r\n\r\n", part: "y" };
const CHUNKS: Endless =
    Endless { start: "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n", part: "1\r\ny\r\n" };
const HEADER_LINES: Endless = Endless { start: "HTTP/1.1 200 X\r\n", part: "x: y\r\n" };
const HEADER_VALUE: Endless = Endless { start: "HTTP/1.1 200 X\r\nx: ", part: "y" };
const INTERIM: Endless = Endless { start: "", part: "HTTP/1.1 103 X\r\nlink: a\r\n\r\n" };

/// An endpoint that sends bytes without end to requests for `path`, and nothing to others.
struct HarmfulEndpoint {
    addr: SocketAddr,
    active: Arc<AtomicUsize>,
    reached: Arc<AtomicUsize>,
}

impl HarmfulEndpoint {
    async fn spawn(path: &'static str, behavior: Endless) -> HarmfulEndpoint {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (active, reached) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let endpoint = HarmfulEndpoint { addr, active: active.clone(), reached: reached.clone() };
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (active, reached) = (active.clone(), reached.clone());
                tokio::spawn(async move {
                    let _ = serve(socket, path, behavior, &active, &reached).await;
                });
            }
        });
        endpoint
    }
}

async fn serve(
    mut socket: TcpStream,
    path: &str,
    behavior: Endless,
    active: &AtomicUsize,
    reached: &AtomicUsize,
) -> std::io::Result<()> {
    let mut head = vec![0; 4_096];
    let read = socket.read(&mut head).await?;
    if !String::from_utf8_lossy(&head[..read]).contains(path) {
        sleep(Duration::from_secs(30)).await;
        return Ok(());
    }
    reached.fetch_add(1, Ordering::Relaxed);
    active.fetch_add(1, Ordering::Relaxed);
    let block = behavior.part.repeat((16 << 10) / behavior.part.len());
    let mut sent = socket.write_all(behavior.start.as_bytes()).await;
    while sent.is_ok() {
        sent = socket.write_all(block.as_bytes()).await;
    }
    active.fetch_sub(1, Ordering::Relaxed);
    sent
}

/// Starts a fleet with a service `faulty` of these endpoints beside the sound ones.
async fn start(endpoints: &[HarmfulEndpoint], kind: &str) -> Fleet {
    let fleet = Fleet::start(1, 1).await;
    let mut intent = fleet.intent(&[]);
    let images = if kind == "model" {
        "images = [{ model = \"draft\", adapter = \"\", version = \"1\" }]\n"
    } else {
        ""
    };
    write!(
        intent,
        "[[service]]\nname = \"faulty\"\nkind = \"{kind}\"\nbound-permille = 1250\nminimum = 1\n\
         claim-ms = 86400000\n"
    )
    .unwrap();
    for (index, endpoint) in endpoints.iter().enumerate() {
        write!(
            intent,
            "[[endpoint]]\nname = \"faulty-{index}\"\nservice = \"faulty\"\naddr = \"{}\"\ndomain = \"prg-a\"\n\
             fencing = \"checked\"\n{images}",
            endpoint.addr
        )
        .unwrap();
    }
    fleet.apply_intent("faulty", &intent).await;
    fleet
}

async fn call(fleet: &Fleet, key: Option<usize>) -> CallResult {
    let mut request =
        Request::post("/s/faulty/write").header("authorization", format!("Bearer {TOKEN}"));
    if let Some(key) = key {
        request = request.header("idempotency-key", format!("key-{key}"));
    }
    fleet.send(0, request.body(full("x")).unwrap()).await
}

/// Checks that a sound endpoint serves a request in time.
async fn assert_served(fleet: &Fleet, key: &str) {
    let started = Instant::now();
    let result = fleet.store_evidence(0, key, "text").await;
    assert_eq!(result.status, 200, "{result:?}");
    assert!(started.elapsed() < SERVED_BY, "{:?}", started.elapsed());
}

/// Waits until the router and control have closed all connections on which endpoints send.
async fn assert_closed(endpoints: &[HarmfulEndpoint], limit: Duration) {
    let active = || endpoints.iter().map(|it| it.active.load(Ordering::Relaxed)).sum::<usize>();
    let closed = async {
        while active() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(timeout(limit, closed).await.is_ok(), "{} connections are open", active());
}

/// Guards against answers of faulty endpoints that together exhaust the memory of a router.
#[rstest]
#[case::body_of_a_claim(BODY, true, 1)]
#[case::bodies_of_claims(BODY, true, 48)]
#[case::chunks_of_claims(CHUNKS, true, 16)]
#[case::header_lines(HEADER_LINES, false, 1)]
#[case::header_lines_at_once(HEADER_LINES, false, 64)]
#[case::header_values_at_once(HEADER_VALUE, false, 64)]
#[case::interim_responses_at_once(INTERIM, false, 8)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answers_do_not_exhaust_a_router(
    #[case] behavior: Endless,
    #[case] claims: bool,
    #[case] count: usize,
) {
    let _serial = SERIAL.lock().await;
    let mut endpoints = Vec::new();
    for _ in 0..count.div_ceil(8) {
        endpoints.push(HarmfulEndpoint::spawn("/write", behavior).await);
    }
    let fleet = Arc::new(start(&endpoints, "plain").await);
    fs::write("/proc/self/clear_refs", "5").expect("failed to reset the peak memory");
    let calls: Vec<_> = (0..count)
        .map(|it| {
            let fleet = fleet.clone();
            tokio::spawn(async move { call(&fleet, claims.then_some(it)).await })
        })
        .collect();
    let mut served = 0;
    while !calls.iter().all(|it| it.is_finished()) && served < 40 {
        assert_served(&fleet, &format!("evidence-{served}")).await;
        served += 1;
        sleep(Duration::from_millis(50)).await;
    }
    let reached: usize = endpoints.iter().map(|it| it.reached.load(Ordering::Relaxed)).sum();
    assert!(reached >= count.div_ceil(2), "{reached} of {count} requests reached an endpoint");
    for call in calls {
        let done = timeout(Duration::from_secs(20), call).await.expect("in time").unwrap();
        assert!(done.status != 200 || done.body.is_err(), "an endless answer looks complete");
    }
    let peak = peak_memory_kb();
    println!("peak {peak} kB");
    assert!(peak < MAX_MEMORY_KB, "{peak} kB");
    assert_closed(&endpoints, Duration::from_secs(5)).await;
}

/// Guards against answers to probes that together exhaust the memory of a router or of control.
#[rstest]
#[case::bodies_of_load_reports("/load", BODY, "plain")]
#[case::bodies_of_cache_events("/events", BODY, "model")]
#[case::bodies_of_images("/images", BODY, "model")]
#[case::heads_of_load_reports("/load", HEADER_VALUE, "plain")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answers_to_probes_do_not_exhaust_memory(
    #[case] path: &'static str,
    #[case] behavior: Endless,
    #[case] kind: &str,
) {
    let _serial = SERIAL.lock().await;
    let mut endpoints = Vec::new();
    for _ in 0..64 {
        endpoints.push(HarmfulEndpoint::spawn(path, behavior).await);
    }
    let fleet = start(&endpoints, kind).await;
    fs::write("/proc/self/clear_refs", "5").expect("failed to reset the peak memory");
    let is_reached = |it: &HarmfulEndpoint| it.reached.load(Ordering::Relaxed) > 0;
    let mut rounds = 0;
    while rounds < 40 || (rounds < 200 && !endpoints.iter().all(is_reached)) {
        assert_served(&fleet, &format!("evidence-{rounds}")).await;
        rounds += 1;
        sleep(Duration::from_millis(50)).await;
    }
    let reached = endpoints.iter().filter(|it| is_reached(it)).count();
    let peak = peak_memory_kb();
    println!("peak {peak} kB, {reached} endpoints probed");
    assert!(reached > 0, "no probe reached an endpoint");
    assert!(peak < MAX_MEMORY_KB, "{peak} kB");
    let ready =
        fleet.client.call(fleet.routers[0].admin_addr, "GET", "/ready", None, empty()).await;
    assert_eq!(ready.unwrap().0, 200);
}
