//! Measures how soon a confirmed change reaches many routers, and what that costs each in bytes.
//!
//! `cargo run --release -p control --example feeds -- 320`: one replica, so many feeds, all in this process.

#![allow(clippy::disallowed_methods, reason = "it measures time")]

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
const HEARTBEAT: Duration = Duration::from_millis(1_000);
const RETRY: Duration = Duration::from_millis(100);
const ARRIVAL_LIMIT: Duration = Duration::from_secs(20);
const QUIET: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> Result<()> {
    let feeds: u64 = env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(320);
    let folder = tempfile::tempdir()?;
    let control = Control::spawn(settings(folder.path())?).await?;
    control.lead().await;
    let (sender, mut arrivals) = mpsc::unbounded_channel();
    let traffic = Traffic::default();
    for process in 0..feeds {
        let dialer =
            Dialer { identity: None, traffic: traffic.clone(), class: TrafficClass::Control };
        let peer = Peer::new(control.inner(), dialer);
        let sender = sender.clone();
        tokio::spawn(async move {
            let ended = feed(peer, process, sender).await;
            println!("feed {process} ended: {ended:?}");
        });
    }
    sleep(QUIET).await;
    let before = (traffic.sent(TrafficClass::Control), traffic.received(TrafficClass::Control));
    sleep(QUIET).await;
    let each = |bytes: u64| bytes / feeds / QUIET.as_secs();
    let sent = each(traffic.sent(TrafficClass::Control) - before.0);
    let received = each(traffic.received(TrafficClass::Control) - before.1);
    println!("{feeds} feeds without changes: {sent} bytes/s up, {received} bytes/s down each");
    let mut spread = Vec::new();
    let mut bytes = 0;
    for change in 1..=CHANGES {
        let before = traffic.received(TrafficClass::Control);
        let asked = bring(&control, change).await?;
        for _ in 0..feeds {
            let arrived = timeout(ARRIVAL_LIMIT, arrivals.recv()).await;
            let arrived: Instant = arrived.wrap_err("a feed ended")?.ok_or_eyre("no feed")?;
            spread.push(arrived.saturating_duration_since(asked));
        }
        bytes += (traffic.received(TrafficClass::Control) - before) / feeds;
    }
    spread.sort();
    let at = |permille: usize| spread[(spread.len() - 1) * permille / 1_000];
    println!(
        "after the confirm was sent: p50 {:?}, p99 {:?}, last {:?}",
        at(500),
        at(990),
        at(1_000)
    );
    println!("{} bytes a router and change, heartbeats meanwhile included", bytes / CHANGES as u64);
    Ok(())
}

fn settings(folder: &Path) -> Result<ControlSettings> {
    let operators = folder.join("operators.toml");
    let token = Digest::of(b"secret");
    fs::write(&operators, format!("[[operator]]\nname = \"alice\"\ntoken = \"sha256:{token}\"\n"))?;
    let any = ([127, 0, 0, 1], 0).into();
    Ok(ControlSettings {
        advertise: None,
        directory: None,
        host: HostName("c1".into()),
        domain: Domain("prg-a".into()),
        data: folder.join("data"),
        inner: any,
        admin: any,
        peers: Vec::new(),
        operators: Some(operators),
        seeds: Vec::new(),
        bootstrap: false,
        tolerance: 1,
        link_mbps: 1_000.0,
        listing: settings::ListingSettings::default(),
        tls_inner: None,
        host_list: None,
        weights: WeightStoreLimits::default(),
        log: LogSettings::default(),
    })
}

/// Holds one feed and tells when each delta arrives.
async fn feed(peer: Peer, process: u64, arrivals: mpsc::UnboundedSender<Instant>) -> Result<()> {
    let mut stream = loop {
        match peer.open(FEED_PATH).await {
            Ok(stream) => break stream,
            Err(_) => sleep(RETRY).await,
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
    let (mut ticks, mut seq) = (interval(HEARTBEAT), 0);
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
                let beat = ToControl::Heartbeat { seq, revision, epoch, leaving, busy, sums, residual_work };
                stream.send.send(&beat).await?;
            }
        }
    }
}

/// Plans and confirms a change of one line, and returns when the confirm was sent.
async fn bring(control: &Control, change: usize) -> Result<Instant> {
    let document = format!(
        "[[service]]\nname = \"draft\"\nkind = \"plain\"\nbound-permille = {}\nminimum = 0\nclaim-ms = 60000\n",
        1_100 + change
    );
    let planned = post(control, "/v1/plans", &format!("plan-{change}"), document).await?;
    let path = format!("/v1/plans/{}/confirm", planned["plan"].as_str().unwrap_or_default());
    let asked = Instant::now();
    post(control, &path, &format!("confirm-{change}"), String::new()).await?;
    Ok(asked)
}

async fn post(control: &Control, path: &str, operation: &str, body: String) -> Result<Value> {
    let request = Request::post(path)
        .header("operation-id", operation)
        .header("authorization", "Bearer secret")
        .body(full(body))?;
    let response = Client::new(5_000).send(control.admin(), request).await?;
    let status = response.status();
    let value: Value = serde_json::from_slice(&response.into_body().collect().await?.to_bytes())?;
    ensure!(status.is_success(), "{status}: {value}");
    Ok(value)
}
