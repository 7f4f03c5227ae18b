//! Measures how long a confirmed change takes to reach many routers, and how many bytes each router receives.
//!
//! `cargo run --release -p control --example feeds -- 320` runs one replica and 320 feeds in this process.

#![allow(clippy::disallowed_methods, reason = "this example measures time")]

use {
    control::Control,
    edge::{Client, full},
    eyre::{OptionExt, Result, WrapErr, ensure},
    http::Request,
    http_body_util::BodyExt,
    model::{Digest, Domain, Epoch, HostName, Revision},
    serde_json::Value,
    settings::{ControlSettings, LogSettings, WeightStoreLimits},
    std::{
        env, fs,
        path::Path,
        time::{Duration, Instant},
    },
    tokio::{
        sync::mpsc,
        time::{interval, sleep, timeout},
    },
    wire::{
        Dialer, Peer, Traffic, TrafficClass,
        msg::{FEED_PATH, FromControl, ToControl},
    },
};

const CHANGES: usize = 50;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(20);
const IDLE_PERIOD: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> Result<()> {
    let feeds: u64 = env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(320);
    let dir = tempfile::tempdir()?;
    let control = Control::spawn(settings(dir.path())?).await?;
    control.wait_until_leader().await;
    let (sender, mut arrivals) = mpsc::unbounded_channel();
    let traffic = Traffic::default();
    for process in 0..feeds {
        let dialer =
            Dialer { identity: None, traffic: traffic.clone(), class: TrafficClass::Control };
        let peer = Peer::new(control.internal_addr(), dialer);
        let sender = sender.clone();
        tokio::spawn(async move {
            let ended = run_feed(peer, process, sender).await;
            println!("feed {process} ended: {ended:?}");
        });
    }
    sleep(IDLE_PERIOD).await;
    let before = (traffic.sent(TrafficClass::Control), traffic.received(TrafficClass::Control));
    sleep(IDLE_PERIOD).await;
    let per_feed = |bytes: u64| bytes / feeds / IDLE_PERIOD.as_secs();
    let sent = per_feed(traffic.sent(TrafficClass::Control) - before.0);
    let received = per_feed(traffic.received(TrafficClass::Control) - before.1);
    println!(
        "{feeds} feeds without changes: {sent} bytes/s sent, {received} bytes/s received per feed"
    );
    let mut latencies = Vec::new();
    let mut bytes = 0;
    for change in 1..=CHANGES {
        let before = traffic.received(TrafficClass::Control);
        let confirm_sent = apply_change(&control, change).await?;
        for _ in 0..feeds {
            let arrived = timeout(ARRIVAL_TIMEOUT, arrivals.recv()).await;
            let arrived: Instant = arrived
                .wrap_err("a delta did not arrive in time")?
                .ok_or_eyre("all feeds ended")?;
            latencies.push(arrived.saturating_duration_since(confirm_sent));
        }
        bytes += (traffic.received(TrafficClass::Control) - before) / feeds;
    }
    latencies.sort();
    let percentile = |permille: usize| latencies[(latencies.len() - 1) * permille / 1_000];
    println!(
        "latency from sending the confirmation: p50 {:?}, p99 {:?}, max {:?}",
        percentile(500),
        percentile(990),
        percentile(1_000)
    );
    println!("{} bytes per router and change, including heartbeats", bytes / CHANGES as u64);
    Ok(())
}

fn settings(dir: &Path) -> Result<ControlSettings> {
    let operators = dir.join("operators.toml");
    let token = Digest::of(b"secret");
    fs::write(&operators, format!("[[operator]]\nname = \"alice\"\ntoken = \"sha256:{token}\"\n"))?;
    let any_port = ([127, 0, 0, 1], 0).into();
    Ok(ControlSettings {
        advertise: None,
        directory: None,
        host: HostName("c1".into()),
        domain: Domain("prg-a".into()),
        data: dir.join("data"),
        inner: any_port,
        admin: any_port,
        peers: Vec::new(),
        operators: Some(operators),
        seeds: Vec::new(),
        bootstrap: false,
        tolerance: 1,
        link_mbps: 1_000.0,
        listing: settings::ListingSettings::default(),
        tls_inner: None,
        host_list: None,
        memory_mb: 256.0,
        intake: Default::default(),
        weights: WeightStoreLimits::default(),
        log: LogSettings::default(),
    })
}

/// Runs one feed and sends the arrival time of each delta to `arrivals`.
async fn run_feed(
    peer: Peer,
    process: u64,
    arrivals: mpsc::UnboundedSender<Instant>,
) -> Result<()> {
    let mut stream = loop {
        match peer.open(FEED_PATH).await {
            Ok(stream) => break stream,
            Err(_) => sleep(RETRY_INTERVAL).await,
        }
    };
    let hello = ToControl::Hello {
        host: HostName(format!("e{process}").into()),
        process,
        addr: ([127, 0, 0, 1], 10_000 + process as u16).into(),
        domain: Domain("prg-a".into()),
        revision: Revision(0),
        digest: Digest::default(),
    };
    stream.send.send(&hello).await?;
    let (mut ticks, mut seq) = (interval(HEARTBEAT_INTERVAL), 0);
    let (mut revision, mut epoch) = (Revision(0), Epoch(0));
    loop {
        tokio::select! {
            received = stream.recv.recv() => match received? {
                Some(FromControl::Delta(delta)) => {
                    revision = delta.base.next();
                    arrivals.send(Instant::now())?;
                }
                Some(FromControl::Roster(roster)) => epoch = epoch.max(roster.epoch),
                Some(_) => {}
                None => return Ok(()),
            },
            _ = ticks.tick() => {
                seq += 1;
                let (sums, residual_work) = Default::default();
                let (leaving, busy) = (false, false);
                let message = ToControl::Heartbeat {
                    seq,
                    revision,
                    epoch,
                    leaving,
                    busy,
                    sums,
                    residual_work,
                };
                stream.send.send(&message).await?;
            }
        }
    }
}

/// Plans and confirms a change of one line, and returns the time at which the confirmation was sent.
async fn apply_change(control: &Control, change: usize) -> Result<Instant> {
    let document = format!(
        "[[service]]\nname = \"draft\"\nkind = \"plain\"\nbound-permille = {}\nminimum = 0\nclaim-ms = 60000\n",
        1_100 + change
    );
    let planned = post(control, "/v1/plans", &format!("plan-{change}"), document).await?;
    let path = format!("/v1/plans/{}/confirm", planned["plan"].as_str().unwrap_or_default());
    let confirm_sent = Instant::now();
    post(control, &path, &format!("confirm-{change}"), String::new()).await?;
    Ok(confirm_sent)
}

async fn post(control: &Control, path: &str, operation: &str, body: String) -> Result<Value> {
    let request = Request::post(path)
        .header("operation-id", operation)
        .header("authorization", "Bearer secret")
        .body(full(body))?;
    let response = Client::new(5_000).send(control.admin_addr(), request).await?;
    let status = response.status();
    let value: Value = serde_json::from_slice(&response.into_body().collect().await?.to_bytes())?;
    ensure!(status.is_success(), "{status}: {value}");
    Ok(value)
}
