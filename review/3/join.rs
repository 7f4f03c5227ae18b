//! A core machine is removed for good and replaced by an empty one at a new address, whose three seeds do not include
//! the machine that leads. Later two more, which is as many as may be lost at once, are removed and replaced.

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

/// `fault_tolerance.machines` of sahm-approvals-grown, whose five core machines in use all have a vote.
const TOLERANCE: usize = 2;

/// How long a new machine counts as lost, and a margin, in milliseconds: `bounds.catch_up_s` is 6.
const CATCH_UP_MS: u64 = 6_000 + 3_000;

/// How much later than the loss the new machine starts, in milliseconds.
const SUCCESSOR_MS: u64 = 1_000;

struct Machine {
    ip: &'static str,
    process: Process,
}

struct Group<'a> {
    case: &'a Case,
    ports: Ports,
    platform: SocketAddr,
    machines: Vec<Machine>,
}

impl Group<'_> {
    fn start(&mut self, ip: &'static str, seeds: &[&str], bootstrap: bool) {
        let data = self.case.folder.join(format!("data-{ip}"));
        std::fs::create_dir_all(&data).unwrap();
        let core = Core {
            ip,
            seeds,
            bootstrap,
            tolerance: TOLERANCE,
            link_mbps: 3,
            data: &data,
            platform: self.platform,
            ports: self.ports,
        };
        let mut process = Process::new(self.case, &format!("core-{ip}"), "jf-core", &core.settings());
        say!("core-{ip} has the seeds {seeds:?}");
        process.start();
        self.machines.push(Machine { ip, process });
    }

    fn addrs(&self) -> Vec<SocketAddr> {
        self.machines.iter().map(|it| SocketAddr::new(it.ip.parse().unwrap(), self.ports.control)).collect()
    }

    /// Returns the machine whose log says that it leads. Only the choice of seeds depends on it.
    fn leader(&self) -> &'static str {
        let mut newest = (0, None);
        for machine in &self.machines {
            let log = machine.process.log_text();
            let last = log.lines().rev().find(|it| it.contains("\"leader-changed\"")).unwrap_or("");
            let term: u64 = harness::field(last, "term").parse().unwrap_or(0);
            let leader = harness::field(last, "leader");
            let leads = !leader.is_empty() && last.contains(&format!("replica-{leader} follows"));
            if leads && term >= newest.0 {
                newest = (term, Some(machine.ip));
            }
        }
        newest.1.expect("no machine leads")
    }

    /// Removes a machine for good.
    fn remove(&mut self, ip: &str) {
        let at = self.machines.iter().position(|it| it.ip == ip).unwrap();
        let mut machine = self.machines.remove(at);
        say!("core-{ip} is gone for good");
        machine.process.kill();
    }

    /// Returns three machines that serve control.
    fn seeds(&self, with_leader: bool) -> Vec<&'static str> {
        let leader = self.leader();
        let mut ips: Vec<_> = self.machines.iter().map(|it| it.ip).filter(|it| *it != leader).collect();
        if with_leader {
            ips.insert(0, leader);
        }
        ips.truncate(3);
        ips
    }
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
    // LEADER_SEED=1 shows the same with seeds that include the leader.
    let with_leader = std::env::var("LEADER_SEED").is_ok_and(|it| it == "1");
    let first = ["127.0.1.11", "127.0.1.12", "127.0.1.13", "127.0.1.14", "127.0.1.15"];
    let later = ["127.0.1.21", "127.0.1.22", "127.0.1.23"];
    let all: Vec<_> = first.iter().chain(&later).copied().collect();
    let ports = Ports::free(&all);
    let platform = serve_platform(Arc::new(Mutex::new(Vec::new())));
    let mut group = Group { case: &case, ports, platform, machines: Vec::new() };
    for ip in first {
        group.start(ip, &first[..3], true);
    }
    if !publish(&group.addrs(), &document(1), Duration::from_secs(15)) {
        case.finish(NOT_RUN, "no configuration was acknowledged at the start");
    }
    sleep_ms(10_000);
    let mut later = later.into_iter();
    for (step, count) in [1, 2].into_iter().enumerate() {
        if case.trouble {
            let leader = group.leader();
            say!("core-{leader} leads");
            let founders = |it: &&Machine| it.ip != leader && first.contains(&it.ip);
            let gone: Vec<_> = group.machines.iter().filter(founders).map(|it| it.ip).take(count).collect();
            gone.iter().for_each(|it| group.remove(it));
            sleep_ms(SUCCESSOR_MS);
            let seeds = if step == 0 { group.seeds(with_leader) } else { Vec::new() };
            for ip in later.by_ref().take(count) {
                let seeds = if seeds.is_empty() { group.machines.iter().map(|it| it.ip).take(3).collect() } else { seeds.clone() };
                group.start(ip, &seeds, false);
            }
        } else {
            sleep_ms(SUCCESSOR_MS);
        }
        sleep_ms(CATCH_UP_MS);
        let version = step as u64 + 2;
        let accepted = publish(&group.addrs(), &document(version), Duration::from_secs(5));
        say!("version {version} is {}", if accepted { "acknowledged" } else { "not acknowledged" });
        if !accepted && step == 0 {
            case.finish(NOT_RUN, "a change was not acknowledged before the last loss");
        }
    }
    match read_back(&group.addrs(), Duration::from_secs(30)) {
        Some(version) if version >= 2 => case.finish(HELD, "held: the configuration is read back"),
        Some(version) => case.finish(BROKEN, &format!("BROKEN: version {version} is read back, 2 was acknowledged")),
        None => case.finish(BROKEN, "BROKEN: no configuration is read back within 30 s; version 2 was acknowledged"),
    }
}
