//! Planned replacement of core machines, one after the other: an empty machine is added at a new address, and when it
//! has had its `catch_up_s`, an old one gets SIGTERM and is removed for good.

#[path = "../common/harness.rs"]
#[macro_use]
mod harness;

use {
    harness::{BROKEN, Case, Core, HELD, NOT_RUN, Ports, Process, publish, read_back, serve_platform, sleep_ms},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// `fault_tolerance.machines`.
const TOLERANCE: usize = 1;

/// `bounds.catch_up_s`, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;

/// How long after that the old machine gets SIGTERM, in milliseconds.
const MARGIN_MS: u64 = 1_000;

/// `bounds.grace_s`, in milliseconds.
const GRACE_MS: u64 = 8_000;

struct Machine {
    ip: &'static str,
    process: Process,
}

fn start(
    case: &Case,
    ports: Ports,
    platform: SocketAddr,
    ip: &'static str,
    seeds: &[&str],
    bootstrap: bool,
) -> Machine {
    let data = case.folder.join(format!("data-{ip}"));
    std::fs::create_dir_all(&data).unwrap();
    let core = Core { ip, seeds, bootstrap, tolerance: TOLERANCE, link_mbps: 6, data: &data, platform, ports };
    let mut process = Process::new(case, &format!("core-{ip}"), "jf-core", &core.settings());
    say!("core-{ip} has the seeds {seeds:?}");
    process.start();
    Machine { ip, process }
}

/// Returns the place of the machine whose log says that it leads.
fn leader(machines: &[Machine]) -> usize {
    let mut newest = (0, None);
    for (place, machine) in machines.iter().enumerate() {
        let log = machine.process.log_text();
        let last = log.lines().rev().find(|it| it.contains("\"leader-changed\"")).unwrap_or("");
        let term: u64 = harness::field(last, "term").parse().unwrap_or(0);
        let leader = harness::field(last, "leader");
        if !leader.is_empty() && last.contains(&format!("replica-{leader} follows")) && term >= newest.0 {
            newest = (term, Some(place));
        }
    }
    newest.1.expect("no machine leads")
}

fn document(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"a.example\",\"path_prefix\":\"/v{version}/\",\
         \"kind\":\"idempotent\",\"timeout_ms\":1200,\"target_latency_ms\":150,\"priority\":0,\"service\":\"store\",\
         \"attempts\":2,\"auth_exempt\":false,\"session_affinity\":false,\"stream_resume\":false}}],\"services\":\
         [{{\"name\":\"store\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[]}}"
    )
}

fn main() {
    let case = Case::open();
    // A slower pace, to show when the group bears it.
    let margin_ms = std::env::var("MARGIN_MS").ok().and_then(|it| it.parse().ok()).unwrap_or(MARGIN_MS);
    let first = ["127.0.1.31", "127.0.1.32", "127.0.1.33"];
    let later = ["127.0.1.41", "127.0.1.42"];
    let all: Vec<_> = first.iter().chain(&later).copied().collect();
    let ports = Ports::free(&all);
    let platform = serve_platform(Arc::new(Mutex::new(Vec::new())));
    let mut machines: Vec<_> = first.iter().map(|ip| start(&case, ports, platform, ip, &first, true)).collect();
    let addrs = |machines: &[Machine]| -> Vec<SocketAddr> {
        machines.iter().map(|it| SocketAddr::new(it.ip.parse().unwrap(), ports.control)).collect()
    };
    if !publish(&addrs(&machines), &document(1), Duration::from_secs(15)) {
        case.finish(NOT_RUN, "no configuration was acknowledged at the start");
    }
    sleep_ms(5_000);
    if !publish(&addrs(&machines), &document(2), Duration::from_secs(5)) {
        case.finish(NOT_RUN, "a change was not acknowledged before the losses");
    }
    for ip in later {
        if case.trouble {
            // The three machines that serve control longest, as the operator's list names them.
            let seeds: Vec<_> = machines.iter().map(|it| it.ip).take(3).collect();
            let new = start(&case, ports, platform, ip, &seeds, false);
            machines.push(new);
        }
        sleep_ms(CATCH_UP_MS + margin_ms);
        if case.trouble {
            let mut old = machines.remove(leader(&machines));
            say!("core-{} leads, and is replaced by core-{ip}", old.ip);
            old.process.signal("TERM");
            for _ in 0..GRACE_MS / 10 {
                if !old.process.is_running() {
                    break;
                }
                sleep_ms(10);
            }
            say!("core-{} {}", old.ip, if old.process.is_running() { "still runs" } else { "has ended" });
            old.process.kill();
        }
    }
    sleep_ms(12_000);
    let accepted = publish(&addrs(&machines), &document(3), Duration::from_secs(5));
    say!("version 3 is {}", if accepted { "acknowledged" } else { "not acknowledged" });
    match read_back(&addrs(&machines), Duration::from_secs(30)) {
        Some(version) if version >= 2 => case.finish(HELD, "held: the configuration is read back"),
        Some(version) => case.finish(BROKEN, &format!("BROKEN: version {version} is read back, 2 was acknowledged")),
        None => case.finish(BROKEN, "BROKEN: no configuration is read back within 30 s; version 2 was acknowledged"),
    }
}
