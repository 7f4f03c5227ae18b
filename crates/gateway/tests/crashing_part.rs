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

/// The part that crashes endpoints.
const CRASHING_PART: &str = "bad";

/// Another one, whose id doesn't fit into 64 bits.
const LONG_CRASHING_PART: &str = "bad00000000000000000000000000bad";

/// What the prompts look like, beside the part that crashes endpoints or a sound one in its place, and
/// the last part, which is the request's own.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Shape {
    /// One common part comes first.
    Short,
    /// This many common parts come first.
    Common(u64),
    /// This many parts come first that are the request's own, too.
    Own(u64),
    /// One common part comes first, in a line of its own.
    TwoLines,
    /// One part of 32 digits comes first, and the part that crashes endpoints has as many.
    LongIds,
    /// A part without a number of tokens comes first.
    Unreadable,
}

impl Shape {
    fn crashing_part(self) -> &'static str {
        if self == Shape::LongIds { LONG_CRASHING_PART } else { CRASHING_PART }
    }

    /// Returns the header lines of a prompt with `part` whose last part is `own`.
    fn lines(self, part: &str, own: u64) -> String {
        let first = match self {
            Shape::Short => "a0:800,".to_owned(),
            Shape::Common(count) => (0..count).map(|it| format!("{:x}:8,", 0xc000 + it)).collect(),
            Shape::Own(count) => (1..=count).map(|it| format!("{:x}:8,", own + it)).collect(),
            Shape::TwoLines => "a0:800\r\nprompt-parts: ".to_owned(),
            Shape::LongIds => format!("{}:800,", "a0".repeat(16)),
            Shape::Unreadable => "a0,".to_owned(),
        };
        format!("prompt-parts: {first}{part}:200,{own:x}:50")
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn next_id() -> u64 {
    NEXT_ID.fetch_add(1, Ordering::Relaxed)
}

/// Returns a request like no other whose prompt has `part` before the last part.
fn client(addr: SocketAddr, shape: Shape, part: &str, own: u64) -> Client {
    Client::new(addr).attempt(&format!("r{}", next_id())).header(&shape.lines(part, own))
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
async fn send_sound(
    gateways: Vec<SocketAddr>,
    path: &'static str,
    shape: Shape,
    until: Instant,
) -> Served {
    let served = Served::default();
    let whole: String = (0..common::EVENTS).map(event).collect();
    for at in 0.. {
        let sent_at = Instant::now();
        if sent_at >= until {
            break;
        }
        let part = format!("b{}", at % 5);
        let client = client(gateways[at % gateways.len()], shape, &part, next_id() << 16);
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
async fn send_crashing(
    gateways: Vec<SocketAddr>,
    path: &'static str,
    shape: Shape,
    until: Instant,
) {
    for at in 0.. {
        if Instant::now() >= until {
            return;
        }
        let gateways = gateways.clone();
        tokio::spawn(async move {
            let own = next_id() << 16;
            let gateway = |at: usize| gateways[at % gateways.len()];
            let part = shape.crashing_part();
            client(gateway(at), shape, part, own).call(path).await;
            sleep(Duration::from_millis(200)).await;
            client(gateway(at + 1), shape, part, own).call(path).await;
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
    check(path, framing, Shape::Short).await;
}

/// Parts were not watched beyond the 64th (review/15), nor in a second line of the header, nor if
/// any part of the prompt could not be read or had an id of more than 64 bits.
#[rstest]
#[case::behind_64_others(Shape::Common(64))]
#[case::behind_1_300_others(Shape::Common(1_300))]
#[case::behind_64_new_ones(Shape::Own(64))]
#[case::behind_1_000_new_ones(Shape::Own(1_000))]
#[case::in_a_second_line(Shape::TwoLines)]
#[case::with_long_ids(Shape::LongIds)]
#[case::behind_one_that_is_unreadable(Shape::Unreadable)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn part_that_crashes_endpoints_is_stopped_wherever_it_is(#[case] shape: Shape) {
    check("/stream/", Framing::Chunks, shape).await;
}

async fn check(path: &'static str, framing: Framing, shape: Shape) {
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
    let sound = tokio::spawn(send_sound(addrs.clone(), path, shape, until));
    endpoints.set_trigger(Some(Trigger::Part(shape.crashing_part())));
    sleep_until(crashing_from).await;
    send_crashing(addrs, path, shape, until).await;
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
