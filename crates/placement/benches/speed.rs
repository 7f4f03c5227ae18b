//! Measures the time of one decision and the memory per chat with 320 routers and 1,100 endpoints.
#![allow(clippy::disallowed_methods, reason = "a benchmark reads the clock")]

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use {
    crate::fixture::SERVICE,
    member::{LeaseTiming, MembershipView, Owners},
    model::{AttemptNo, ChatKey, EndpointId, Epoch, RequestId, RouterId, Time, Work, mix},
    placement::{
        Cache, DisplacedChats, EndpointTable, RendezvousHash, Settings, StartRequest, StartResult,
    },
    std::{hint::black_box, time::Instant},
};

const ENDPOINTS: u32 = 1_100;
const ROUTERS: u32 = 320;
const CHATS: u64 = 1_000_000;

/// Calls `work` with `count` keys. Prints the time per call in nanoseconds, the best of fifty
/// rounds.
fn measure_time<F>(what: &str, count: u64, mut work: F)
where
    F: FnMut(u64),
{
    let round = |_| {
        let begin = Instant::now();
        (0..count).for_each(|it| work(mix(it)));
        begin.elapsed().as_nanos() as f64 / count as f64
    };
    let best = (0..50).map(round).fold(f64::INFINITY, f64::min);
    println!("{what}: {best:.0} ns");
}

/// Returns the resident memory of this process in bytes, or zero if the system does not report it.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

fn measure_memory<F, T>(what: &str, fill: F)
where
    F: FnOnce() -> T,
{
    let before = resident_bytes();
    let kept = black_box(fill());
    let bytes = (resident_bytes() - before) as f64 / CHATS as f64;
    println!("{what}: {bytes:.0} bytes per chat");
    drop(kept);
}

fn main() {
    let (config, roster) = (fixture::config(ENDPOINTS), fixture::roster(ROUTERS, 10));
    println!("{ROUTERS} routers, {ENDPOINTS} endpoints");

    let equal = RendezvousHash::new(&config, SERVICE, None);
    measure_time("home, equal weights", 2_000, |it| _ = black_box(equal.home(ChatKey(it))));
    let weights = (1..=ENDPOINTS).map(|id| (EndpointId(id), 500 * (1 + id % 4)));
    let weighted = RendezvousHash::from_weights(weights);
    measure_time("home, four weights", 2_000, |it| _ = black_box(weighted.home(ChatKey(it))));
    measure_time("first four in order, equal weights", 2_000, |it| {
        _ = black_box(equal.ranked(ChatKey(it)).take(4).last());
    });

    let mut view = MembershipView::new(LeaseTiming::default());
    view.set_id(RouterId(1));
    view.update_roster(Time(1), &roster, &config);
    let (seq, _) = view.next_heartbeat(Time(2)).unwrap_or_default();
    view.on_heartbeat_reply(Time(3), seq, 8_000, Epoch(1));
    let mut table = EndpointTable::new(Settings::default());
    table.update_config(Time(1), &config);
    table.update_mean(SERVICE, Work(u64::from(u32::MAX)), 1, &[]);
    let owned: Vec<_> = Owners::compute(&roster, &config).owned(RouterId(1)).collect();
    let (mut started, mut count) = (0_u64, 0_u128);
    measure_time("try_start and finish at the owner", 2_000, |it| {
        count += 1;
        let start = StartRequest {
            request: RequestId(count),
            attempt: AttemptNo(1),
            chat: ChatKey(it % 4_096),
            endpoint: owned[it as usize % owned.len()],
            cost: Work(1_000),
            prompt: 900,
            at_home: true,
        };
        let outcome = table.try_start(Time(4), &view, &equal, &start);
        started += u64::from(matches!(outcome, StartResult::Started { .. }));
        table.finish(Time(5), start.endpoint, start.request, start.attempt);
    });
    println!("started {started} of {count}, {} endpoints owned", owned.len());

    measure_time("owners of all endpoints", 1, |_| {
        drop(black_box(Owners::compute(&roster, &config)))
    });
    measure_memory("cache model", || {
        let mut cache = Cache::new(u64::MAX);
        (0..CHATS).for_each(|it| cache.record_use(ChatKey(mix(it)), 1));
        cache
    });
    measure_memory("displaced chat", || {
        let mut displaced = DisplacedChats::new(CHATS as usize);
        let expires = Time(u64::MAX / 2);
        (0..CHATS)
            .for_each(|it| displaced.insert(Time(0), ChatKey(mix(it)), EndpointId(1), expires));
        displaced
    });
}
