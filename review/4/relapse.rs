//! Two machines of the core, which is as many as may be lost at once, lose their disks and come back empty. When they
//! have had their `catch_up_s`, two machines lose their disks again.

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
const TOLERANCE: usize = 2;

/// `bounds.catch_up_s`, in milliseconds.
const CATCH_UP_MS: u64 = 6_000;

/// How long after that the next two disks are lost, in milliseconds.
const MARGIN_MS: u64 = 100;

/// How long a machine that loses its disk is down, in milliseconds.
const DOWN_MS: u64 = 300;

/// `bounds.recover_s`, in milliseconds.
const RECOVER_MS: u64 = 15_000;

/// How many times two disks are lost.
const ROUNDS: usize = 9;

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
    let core = Core { ip, seeds, bootstrap, tolerance: TOLERANCE, link_mbps: 3, data: &data, platform, ports };
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
    let down_ms = std::env::var("DOWN_MS").ok().and_then(|it| it.parse().ok()).unwrap_or(DOWN_MS);
    let ips = ["127.0.1.81", "127.0.1.82", "127.0.1.83", "127.0.1.84", "127.0.1.85", "127.0.1.86"];
    let seeds = &ips[..3];
    let ports = Ports::free(&ips);
    let platform = serve_platform(Arc::new(Mutex::new(Vec::new())));
    let mut machines: Vec<_> = ips.iter().map(|ip| start(&case, ports, platform, ip, seeds, true)).collect();
    let addrs: Vec<SocketAddr> = ips.iter().map(|ip| SocketAddr::new(ip.parse().unwrap(), ports.control)).collect();
    let mut acknowledged = 1;
    let mut emptied = [0; 6];
    if !publish(&addrs, &document(acknowledged), Duration::from_secs(15)) {
        case.finish(NOT_RUN, "no configuration was acknowledged at the start");
    }
    sleep_ms(8_000);
    for round in 0..ROUNDS {
        let first = leader(&machines);
        // Of the others the one with the oldest disk.
        let others = (0..machines.len()).filter(|it| *it != first);
        let second = others.min_by_key(|it| emptied[*it]).unwrap();
        if case.trouble {
            say!("core-{} (which leads) and core-{} lose their disks", machines[first].ip, machines[second].ip);
            [first, second].into_iter().for_each(|it| machines[it].process.kill());
            (emptied[first], emptied[second]) = (round + 1, round + 1);
            for place in [first, second] {
                std::fs::remove_dir_all(case.folder.join(format!("data-{}", machines[place].ip))).unwrap();
            }
        }
        sleep_ms(down_ms);
        if case.trouble {
            for place in [first, second] {
                machines[place] = start(&case, ports, platform, machines[place].ip, seeds, false);
            }
        }
        sleep_ms(CATCH_UP_MS + margin_ms);
        let next = round as u64 + 2;
        if !publish(&addrs, &document(next), Duration::from_secs(5)) {
            say!("version {next} is not acknowledged; all machines run, and none is disturbed any more");
            sleep_ms(RECOVER_MS);
            break;
        }
        acknowledged = next;
    }
    match read_back(&addrs, Duration::from_secs(20)) {
        Some(version) if version >= acknowledged => case.finish(HELD, "held: the configuration is read back"),
        Some(version) => {
            case.finish(BROKEN, &format!("BROKEN: version {version} is read back, {acknowledged} was acknowledged"))
        }
        None => case.finish(
            BROKEN,
            &format!("BROKEN: no configuration is read back within 20 s; version {acknowledged} was acknowledged"),
        ),
    }
}
