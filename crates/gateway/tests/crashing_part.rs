//! Requests of which one prompt part crashes each endpoint that begins to answer them.

mod common;

use {
    common::{Client, CrashingEndpoints, Fixture, Framing, Trigger, event, layout, wait_until},
    rstest::rstest,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until},
};

/// How long gateways may take to agree.
const CONTACT: Duration = Duration::from_secs(3);

/// The crashes after which gateways must agree.
const FREE_CRASHES: usize = 5;

/// How many more requests with the part may reach endpoints.
const MAX_LATE_ARRIVALS: usize = 3;

/// The first part of all prompts.
const FIRST_PART: u64 = 0xa0;

/// The part that crashes endpoints.
const CRASHING_PART: u64 = 0xbad;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn next_id() -> u64 {
    NEXT_ID.fetch_add(1, Ordering::Relaxed)
}

/// Returns a request like no other whose prompt has `part` after the first part.
fn client(addr: SocketAddr, part: u64, own: u64) -> Client {
    let parts = format!("prompt-parts: {FIRST_PART:x}:800,{part:x}:200,{own:x}:50");
    Client::new(addr).attempt(&format!("r{}", next_id())).header(&parts)
}

/// The sound requests, with the time at which each was sent.
#[derive(Clone, Default)]
struct Served(Arc<Mutex<Vec<(Instant, bool)>>>);

impl Served {
    /// Returns the share of the requests sent between two instants that were served, and their
    /// number.
    fn share(&self, from: Instant, to: Instant) -> (f64, usize) {
        let requests = self.0.lock().expect("requests are poisoned");
        let sent: Vec<_> = requests.iter().filter(|it| (from..to).contains(&it.0)).collect();
        let served = sent.iter().filter(|it| it.1).count();
        (served as f64 / sent.len().max(1) as f64, sent.len())
    }
}

/// Sends a sound request each 50 ms to one gateway after the other, until `until`.
async fn send_sound(gateways: Vec<SocketAddr>, path: &'static str, until: Instant) -> Served {
    let served = Served::default();
    let whole: String = (0..common::EVENTS).map(event).collect();
    for at in 0.. {
        let sent_at = Instant::now();
        if sent_at >= until {
            break;
        }
        let client = client(gateways[at % gateways.len()], 0xb0 + at as u64 % 5, next_id() << 16);
        let (served, whole) = (served.clone(), whole.clone());
        tokio::spawn(async move {
            let response = client.call(path).await;
            let is_served = response.status == 200 && response.body == whole;
            served.0.lock().expect("requests are poisoned").push((sent_at, is_served));
        });
        sleep(Duration::from_millis(50)).await;
    }
    sleep(CONTACT).await;
    served
}

/// Sends a request with the crashing part each 150 ms, and each that fails once more to the next
/// gateway.
async fn send_crashing(gateways: Vec<SocketAddr>, path: &'static str, until: Instant) {
    for at in 0.. {
        if Instant::now() >= until {
            return;
        }
        let gateways = gateways.clone();
        tokio::spawn(async move {
            let own = next_id() << 16;
            let gateway = |at: usize| gateways[at % gateways.len()];
            client(gateway(at), CRASHING_PART, own).call(path).await;
            sleep(Duration::from_millis(200)).await;
            client(gateway(at + 1), CRASHING_PART, own).call(path).await;
        });
        sleep(Duration::from_millis(150)).await;
    }
}

#[rstest]
#[case::chunks("/stream/", Framing::Chunks)]
#[case::length("/resume/", Framing::Length)]
#[case::ends_with_its_connection("/resume/", Framing::Connection)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn part_that_crashes_endpoints_is_stopped_and_requests_that_share_the_rest_are_served(
    #[case] path: &'static str,
    #[case] framing: Framing,
) {
    let endpoints = CrashingEndpoints::start(6, framing).await;
    let mut fixture = Fixture::start(&layout(1), &endpoints.listed()).await;
    endpoints.set_list(fixture.list());
    fixture.add_gateway_in("d1").await;
    fixture.add_gateway_in("d2").await;
    let gateways = fixture.gateways();
    wait_until(|| gateways.iter().all(|it| it.is_ready())).await;
    let addrs: Vec<_> = gateways.iter().map(|it| it.addr()).collect();
    let started = Instant::now();
    let crashing_from = started + Duration::from_secs(2);
    let until = crashing_from + Duration::from_secs(12);
    let sound = tokio::spawn(send_sound(addrs.clone(), path, until));
    endpoints.set_trigger(Some(Trigger::Part(CRASHING_PART)));
    sleep_until(crashing_from).await;
    send_crashing(addrs, path, until).await;
    let sound = sound.await.expect("a client panicked");
    let crashes = endpoints.crashes();
    let last_counted = crashes.get(FREE_CRASHES - 1).or(crashes.last()).expect("no crash");
    let arrivals = endpoints.arrivals();
    let late = arrivals.iter().filter(|it| **it > *last_counted + CONTACT).count();
    let (before, sent_before) = sound.share(started, crashing_from);
    let (after, sent_after) = sound.share(*last_counted + 2 * CONTACT, until);
    let summary = format!(
        "{} crashes, {late} late arrivals, served {before:.2} of {sent_before} before, {after:.2} of {sent_after} after",
        crashes.len()
    );
    println!("{summary}");
    assert!(late <= MAX_LATE_ARRIVALS, "{summary}");
    assert!(sent_before >= 20 && sent_after >= 20, "{summary}");
    assert!(after >= before / 2.0, "{summary}");
}
