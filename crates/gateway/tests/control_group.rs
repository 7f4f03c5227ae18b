//! Which control replicas a gateway watches while the group restarts and its members are replaced.

mod common;

use {
    common::{
        Liveness, OnRequest, Replica, StaticList, gateway_settings, start_gateway, wait_until,
    },
    directory::ListedEndpoint,
    gateway::Gateway,
    model::Domain,
    rstest::rstest,
    settings::GatewaySettings,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The time within which a change must be in force on the users' platform.
const IN_FORCE: Duration = Duration::from_millis(2_500);

/// How long restarted replicas do not hear of a leader. Longer than a gateway waits for a replica to become healthy.
const NO_LEADER: Duration = Duration::from_millis(2_500);

async fn start_replicas(count: usize) -> Vec<Replica> {
    let mut replicas = Vec::new();
    for _ in 0..count {
        replicas.push(Replica::start().await);
    }
    replicas
}

fn addrs(replicas: &[Replica]) -> Vec<SocketAddr> {
    replicas.iter().map(|it| it.addr).collect()
}

/// Starts a gateway with these seeds and an endpoint, without which it does not start.
async fn start(seeds: &[SocketAddr]) -> Gateway {
    let list = StaticList::default();
    list.replace(&[ListedEndpoint {
        id: "e0".into(),
        service: "plain".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: Domain("d0".into()),
        slots: 8,
        draining: false,
        started_at_ms: None,
        build: None,
    }]);
    let settings = GatewaySettings { control: seeds.to_vec(), ..gateway_settings(seeds[0]) };
    start_gateway(settings, list).await
}

/// Returns the number of these replicas that a gateway watches.
fn watched(replicas: &[Replica]) -> usize {
    replicas.iter().filter(|it| it.script.receiver_count() > 0).count()
}

/// What replicas report as the members of their group after a restart, until they hear of a leader.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Reported {
    Nothing,
    FormerMembers,
}

/// A gateway took what its replicas reported just after their restart for the present members.
#[rstest]
#[case::three(3)]
#[case::five(5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn gateway_does_not_forget_its_replicas_when_all_restart_at_once(
    #[case] count: usize,
    #[values(Reported::Nothing, Reported::FormerMembers)] reported: Reported,
) {
    let seeds = start_replicas(3).await;
    let replicas = start_replicas(count).await;
    let (former, present) = (addrs(&seeds), addrs(&replicas));
    seeds.iter().chain(&replicas).for_each(|it| it.name_members(&present, true));
    let gateway = start(&former).await;
    wait_until(|| gateway.layout_version() == Some(1) && watched(&replicas) == 3).await;
    seeds.iter().for_each(|it| it.set_liveness(Liveness::Stopped));
    sleep(Duration::from_millis(500)).await;

    replicas.iter().for_each(|it| it.set_liveness(Liveness::Stopped));
    sleep(Duration::from_millis(500)).await;
    let reported = match reported {
        Reported::Nothing => &[],
        Reported::FormerMembers => former.as_slice(),
    };
    for replica in &replicas {
        replica.name_members(reported, false);
        replica.set_liveness(Liveness::Alive);
    }
    sleep(NO_LEADER).await;
    replicas.iter().for_each(|it| it.name_members(&present, true));
    replicas.iter().for_each(|it| it.publish(2, OnRequest::Send));
    let published_at = Instant::now();
    while gateway.layout_version() != Some(2) {
        assert!(published_at.elapsed() < IN_FORCE, "not in force after {IN_FORCE:?}");
        sleep(Duration::from_millis(10)).await;
    }
}
