//! The memory of a gateway while endpoints send bytes without end.

mod common;

use {
    common::{Behavior, Client, Endpoint, Fixture, SIGNED, chunk, layout, wait_until},
    rstest::rstest,
    std::{fs, time::Duration},
    tokio::{
        sync::Mutex,
        time::{sleep, timeout},
    },
};

/// The memory of a gateway's process on the smaller machines of a deployment, in kilobytes. The
/// tests' endpoints and control replica are in the same process.
const MAX_MEMORY_KB: u64 = 260 << 10;

/// How long a request to a sound endpoint may take, in milliseconds.
const SERVED_BY_MS: u128 = 1_000;

/// The peak memory is that of the whole process, so only one test may run at a time.
static SERIAL: Mutex<()> = Mutex::const_new(());

fn reset_peak_memory() {
    fs::write("/proc/self/clear_refs", "5").expect("failed to reset the peak memory");
}

fn peak_memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("failed to read the peak memory");
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let value = line.and_then(|it| it.trim().strip_suffix(" kB")?.parse().ok());
    value.expect("no peak memory")
}

fn endless(headers: &str, part: &str) -> Behavior {
    let start = format!("HTTP/1.1 200 X\r\nattempt-id: {{id}}\r\n{SIGNED}{headers}\r\n\r\n");
    Behavior::Endless { start: start.into(), part: part.into(), pause: Duration::ZERO }
}

/// Sends `count` requests at once to endpoints that respond without end, and checks the peak memory
/// and that other requests are served.
async fn flood(behavior: Behavior, service: &str, path: &'static str, count: usize) {
    let _serial = SERIAL.lock().await;
    reset_peak_memory();
    let before = peak_memory_kb();
    let mut endpoints = Vec::new();
    for _ in 0..count.div_ceil(4) {
        endpoints.push(Endpoint::start(vec![behavior.clone(); count]).await);
    }
    let numbered = endpoints.iter().enumerate();
    let mut listing: Vec<_> =
        numbered.map(|(at, it)| it.listing_entry(service, &format!("e{at}"))).collect();
    let sound = Endpoint::start([]).await;
    let other = if service == "plain" { "model" } else { "plain" };
    listing.push(sound.listing_entry(other, "sound"));
    let fixture = Fixture::start(&layout(1), &listing).await;
    let client = |chat: usize| {
        let parts = format!("prompt-parts: {chat:x}:50,ff{chat:x}:10");
        fixture.client().header(&parts).body("x").deadline(3_000)
    };
    let calls: Vec<_> = (0..count).map(|it| tokio::spawn(call(client(it), path))).collect();
    let received = || endpoints.iter().map(|it| it.received().len()).sum::<usize>();
    wait_until(|| received() >= count / 2).await;
    let other_path = if service == "plain" { "/stream/" } else { "/write/" };
    while !calls.iter().all(|it| it.is_finished()) {
        let response = fixture.client().body("x").call(other_path).await;
        assert_eq!((response.status, response.body.as_str()), (200, "whole"));
        assert!(response.elapsed.as_millis() < SERVED_BY_MS, "{:?}", response.elapsed);
        sleep(Duration::from_millis(50)).await;
    }
    for call in calls {
        assert_ne!(call.await.ok(), Some((200, true)));
    }
    let peak = peak_memory_kb();
    println!("memory before and at its peak: {before} and {peak} kB");
    assert!(peak < MAX_MEMORY_KB, "{peak} kB");
    let active = || endpoints.iter().map(Endpoint::active).sum::<usize>();
    assert!(timeout(Duration::from_secs(1), wait_until(|| active() == 0)).await.is_ok());
}

/// Returns the status of a response and whether it is complete.
async fn call(client: Client, path: &'static str) -> (u16, bool) {
    let response = client.call(path).await;
    (response.status, response.complete)
}

#[tokio::test]
async fn endless_bodies_at_once_do_not_exhaust_memory() {
    flood(endless("x: y", "y"), "plain", "/write/", 60).await;
}

#[rstest]
#[case::header_lines("HTTP/1.1 200 X\r\n", "x: y\r\n")]
#[case::header_value("HTTP/1.1 200 X\r\nx: ", "y")]
#[tokio::test]
async fn endless_heads_at_once_do_not_exhaust_memory(#[case] start: &str, #[case] part: &str) {
    let part = part.repeat(4_096);
    let behavior =
        Behavior::Endless { start: start.into(), part: part.into(), pause: Duration::ZERO };
    flood(behavior, "plain", "/write/", 60).await;
}

#[tokio::test]
async fn endless_body_in_chunks_of_one_byte_does_not_exhaust_memory() {
    flood(endless("transfer-encoding: chunked", "1\r\ny\r\n"), "plain", "/write/", 8).await;
}

#[rstest]
#[case::unfinished(
    "data: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"
)]
#[case::without_lines(
    "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"
)]
#[tokio::test]
async fn endless_events_at_once_do_not_exhaust_memory(#[case] part: &str) {
    let part = String::from_utf8_lossy(&chunk(&part.repeat(100))).into_owned();
    let headers = "content-type: text/event-stream\r\ntransfer-encoding: chunked";
    flood(endless(headers, &part), "model", "/stream/", 400).await;
}
