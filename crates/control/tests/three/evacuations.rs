//! Evacuations in a group of three replicas.

use {
    super::{Group, RETRY_INTERVAL, TIMEOUT, routing_config},
    control::{EvacuationError, EvacuationStore, OrderRequest},
    directory::{Directory, DirectoryError, ListedEndpoint, Listing},
    model::{Domain, Name},
    std::{net::SocketAddr, time::Duration},
    tokio::time::{sleep, timeout},
    wire::{
        Dialer, Peer, RecvHalf, SendHalf, Traffic, TrafficClass,
        msg::{REPLICA_PATH, WATCH_PATH, WatchHello, WatchRequest, WatchUpdate},
    },
};

/// The time within which an order is acknowledged while the group is stable, from the requirements.
const ACK_LIMIT: Duration = Duration::from_millis(5_000);

/// How long the leader may take to record the protocol of the group: five of its checks.
const RECORD_TIME: Duration = Duration::from_millis(1_000);

/// Half of the interval between the leader's heartbeats. Half of the rounds would be within it if followers learned of an
/// order by heartbeat.
const HALF_HEARTBEAT: Duration = Duration::from_millis(50);

/// How many orders are given, and in how many rounds another replica must know in time. The rest allows for a busy
/// machine; by heartbeat, that many succeed once in 5,000 runs.
const ROUNDS: usize = 20;
const MIN_ROUNDS: usize = 18;

/// The domain in the settings of the replicas, which they know without a list of endpoints.
const DOMAIN: &str = "prg-a";

#[derive(Clone)]
struct FixedList(Listing);

impl Directory for FixedList {
    async fn list(&self) -> Result<Listing, DirectoryError> {
        Ok(self.0.clone())
    }
}

fn endpoint(id: &str, domain: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        service: "po-app".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: Domain(domain.into()),
        slots: 1,
        draining: false,
        started_at_ms: None,
        build: None,
    }
}

fn request(domain: &str) -> OrderRequest {
    OrderRequest { domain: Domain(domain.into()), by: "omar".into(), operation: None }
}

/// Repeats an order as an operator does, while there is no leader or its members are not known.
async fn submit(store: &EvacuationStore, domain: &str, active: bool) {
    let submitted = async {
        loop {
            let result = match active {
                true => store.order(request(domain)).await,
                false => store.withdraw(request(domain)).await,
            };
            match result {
                Ok(()) => return,
                Err(EvacuationError::UnknownDomain | EvacuationError::ReusedOperation) => {
                    panic!("{result:?}")
                }
                Err(_) => sleep(RETRY_INTERVAL).await,
            }
        }
    };
    timeout(TIMEOUT, submitted).await.expect("the order was not acknowledged in time");
}

impl Group {
    fn evacuations(&self, at: usize) -> EvacuationStore {
        self.replicas[at].as_ref().unwrap().evacuations()
    }

    fn leader(&self) -> Option<usize> {
        (0..3).find(|it| self.is_leader(*it))
    }

    /// Waits until each running replica has this set.
    async fn wait_for_set(&self, domains: &[&str]) {
        let agreed = async {
            for replica in self.replicas.iter().flatten() {
                while replica
                    .evacuations()
                    .list()
                    .iter()
                    .map(|it| it.0.0.as_ref())
                    .ne(domains.iter().copied())
                {
                    sleep(RETRY_INTERVAL).await;
                }
            }
        };
        timeout(TIMEOUT, agreed).await.expect("not all replicas have the set");
    }
}

fn peer(addr: SocketAddr, protocol: u32) -> Peer {
    let (traffic, class) = (Traffic::default(), TrafficClass::Control);
    Peer::new(addr, Dialer { identity: None, traffic, class }).with_protocol(protocol)
}

/// A gateway that watches a replica.
struct Watcher {
    send: SendHalf,
    recv: RecvHalf,
}

impl Watcher {
    async fn open(replica: SocketAddr, protocol: u32) -> Watcher {
        let (mut send, recv) = peer(replica, protocol).open(WATCH_PATH).await.unwrap().split();
        let addr = "127.0.0.1:1".parse().unwrap();
        let hello = WatchHello { addr, domain: Domain("d0".into()), version: None };
        send.send(&hello).await.unwrap();
        Watcher { send, recv }
    }

    /// Returns the first result of `pick` for an update.
    async fn wait_for<F, T>(&mut self, pick: F) -> T
    where
        F: Fn(WatchUpdate) -> Option<T>,
    {
        let found = async {
            loop {
                let update = self.recv.recv::<WatchUpdate>().await.unwrap().unwrap();
                if let Some(found) = pick(update) {
                    return found;
                }
            }
        };
        timeout(TIMEOUT, found).await.expect("no such update in time")
    }

    async fn wait_for_set(&mut self, expected: &[&str]) -> u64 {
        self.wait_for(|it| match it {
            WatchUpdate::Evacuations { revision, domains } => {
                let is_expected =
                    domains.iter().map(|it| it.0.as_ref()).eq(expected.iter().copied());
                is_expected.then_some(revision)
            }
            _ => None,
        })
        .await
    }
}

/// A domain may be about to lose power, and the order must be in force whatever happens to control in between.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn evacuation_outlives_the_leader_a_disk_a_configuration_and_all_processes() {
    let mut group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    submit(&group.evacuations(0), DOMAIN, true).await;
    let document = serde_json::to_vec(&routing_config(1)).unwrap();
    group.publish(1, &document).await;

    let leader = group.leader().unwrap();
    group.stop(leader).await;
    group.wait_for_set(&[DOMAIN]).await;
    group.restart(leader).await;
    group.wait_until_all_vote().await;

    let emptied = (0..3).find(|it| !group.is_leader(*it)).unwrap();
    group.replace(emptied, 1_000.0).await;
    group.wait_until_all_vote().await;
    group.wait_for_set(&[DOMAIN]).await;

    for at in 0..3 {
        group.stop(at).await;
    }
    for at in 0..3 {
        group.restart(at).await;
    }
    group.wait_until_all_vote().await;
    group.wait_for_set(&[DOMAIN]).await;
    let document = serde_json::to_vec(&routing_config(2)).unwrap();
    group.publish(2, &document).await;
    group.wait_for_set(&[DOMAIN]).await;
    submit(&group.evacuations(2), DOMAIN, false).await;
    group.wait_for_set(&[]).await;
}

/// Without the empty entry after it, followers would learn with the leader's next heartbeat that an acknowledged order is
/// committed. If the leader were lost before, gateways would have to wait for a new one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn another_replica_knows_of_an_order_when_it_is_acknowledged() {
    let group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    submit(&group.evacuations(0), DOMAIN, false).await;
    let leader = group.leader().unwrap();
    let mut told_in_time = 0;
    for round in 0..ROUNDS {
        let active = round % 2 == 0;
        submit(&group.evacuations(leader), DOMAIN, active).await;
        let told = async {
            let others = || (0..3).filter(|it| *it != leader);
            while others().all(|it| group.evacuations(it).list().is_empty() == active) {
                sleep(Duration::from_millis(1)).await;
            }
        };
        told_in_time += usize::from(timeout(HALF_HEARTBEAT, told).await.is_ok());
    }
    assert!(told_in_time >= MIN_ROUNDS, "known in time in {told_in_time} rounds of {ROUNDS}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn any_replica_takes_orders_in_time_and_again() {
    let group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    submit(&group.evacuations(0), DOMAIN, false).await;
    let mut watcher = Watcher::open(group.replicas[0].as_ref().unwrap().internal_addr(), 1).await;
    watcher.wait_for_set(&[]).await;
    let acknowledged = timeout(ACK_LIMIT, submit(&group.evacuations(0), DOMAIN, true)).await;
    assert!(acknowledged.is_ok(), "not acknowledged in time");
    let revision = watcher.wait_for_set(&[DOMAIN]).await;
    for at in 0..3 {
        assert_eq!(group.evacuations(at).order(request(DOMAIN)).await, Ok(()), "replica {at}");
    }
    group.wait_for_set(&[DOMAIN]).await;
    let list = group.evacuations(0).list();
    assert_eq!((list[0].1.revision, &list[0].1.by), (revision, &Name::from("omar")));
}

/// Orders of two operators that cross must leave all replicas with the same set.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crossing_orders_leave_one_set() {
    let group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    let (first, second) = (group.evacuations(0), group.evacuations(1));
    for round in 0..10 {
        tokio::join!(submit(&first, DOMAIN, true), submit(&second, DOMAIN, round % 2 == 0));
    }
    let leader = group.evacuations(group.leader().unwrap()).list();
    let domains: Vec<_> = leader.iter().map(|it| it.0.0.as_ref()).collect();
    group.wait_for_set(&domains).await;
    for at in 0..3 {
        assert_eq!(group.evacuations(at).list(), leader, "replica {at}");
    }
}

/// A mistyped name must be told, and a domain whose endpoints are not listed yet must not pass for one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unknown_domain_is_refused_once_there_is_a_list() {
    let mut group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    submit(&group.evacuations(0), DOMAIN, false).await;
    let leader = group.leader().unwrap();
    let result = group.evacuations(leader).order(request("bru-b")).await;
    assert_eq!(result, Err(EvacuationError::Unknown), "before the first list");
    let endpoints = vec![endpoint("e-1", "bru-b")];
    let listing = Listing { endpoints, cold: Vec::new(), calls: 1 };
    for replica in group.replicas.iter_mut().flatten() {
        replica.poll_directory(FixedList(listing.clone()));
    }
    submit(&group.evacuations(leader), "bru-b", true).await;
    for at in 0..3 {
        let result = group.evacuations(at).order(request("brub")).await;
        assert_eq!(result, Err(EvacuationError::UnknownDomain), "replica {at}");
        assert_eq!(group.evacuations(at).withdraw(request("brub")).await, Ok(()), "replica {at}");
    }
}

/// A member that skips the command would have another state than the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_order_is_proposed_while_a_member_runs_an_old_build() {
    let group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    submit(&group.evacuations(0), DOMAIN, false).await;
    let leader = group.leader().unwrap();
    let old = group.replicas[(leader + 1) % 3].as_ref().unwrap().internal_addr();
    let replica = group.replicas[leader].as_ref().unwrap().internal_addr();
    // A frame of a replica: its address, and a query, which has no effect.
    let mut stream = peer(replica, 0).open(REPLICA_PATH).await.unwrap();
    stream.send.send(&(old, 1_u32, 0_u64)).await.unwrap();
    stream.recv.recv::<()>().await.unwrap();
    for at in 0..3 {
        let result = group.evacuations(at).order(request(DOMAIN)).await;
        assert_eq!(result, Err(EvacuationError::OldMember), "replica {at}");
        assert!(group.evacuations(at).list().is_empty());
    }
    // The member is replaced by this build again.
    let mut stream = peer(replica, 1).open(REPLICA_PATH).await.unwrap();
    stream.send.send(&(old, 1_u32, 0_u64)).await.unwrap();
    stream.recv.recv::<()>().await.unwrap();
    submit(&group.evacuations(0), DOMAIN, true).await;
    group.wait_for_set(&[DOMAIN]).await;
}

/// Orders are most needed during an outage, and a restarted leader has not heard of a member that is down.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn order_is_taken_while_a_member_is_down_that_no_other_has_heard_of() {
    let mut group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    submit(&group.evacuations(0), DOMAIN, false).await;
    sleep(RECORD_TIME).await;
    group.stop(2).await;
    for at in 0..2 {
        group.stop(at).await;
        group.restart(at).await;
    }
    submit(&group.evacuations(0), DOMAIN, true).await;
    group.wait_for_set(&[DOMAIN]).await;
}

/// Gateways of 0d4d3b9 end a stream on a variant that they do not know, and honor draining endpoints already.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn old_gateway_is_sent_evacuated_endpoints_as_draining() {
    let mut group = Group::start_with_seeds().await;
    group.wait_until_all_vote().await;
    let endpoints = vec![endpoint("e-1", DOMAIN), endpoint("e-2", "bru-b")];
    let listing = Listing { endpoints, cold: vec![("e-2".into(), 60_000)], calls: 1 };
    let replica = group.replicas[0].as_mut().unwrap();
    replica.poll_directory(FixedList(listing));
    let addr = replica.internal_addr();
    let (mut old, mut new) = (Watcher::open(addr, 0).await, Watcher::open(addr, 1).await);
    old.send.send(&WatchRequest::Catalog).await.unwrap();
    new.send.send(&WatchRequest::Catalog).await.unwrap();
    let is_listed = |it| matches!(it, WatchUpdate::Catalog(_)).then_some(());
    old.wait_for(is_listed).await;
    new.wait_for(is_listed).await;
    let cold = new.wait_for(|it| match it {
        WatchUpdate::Cold { endpoints } => Some(endpoints),
        _ => None,
    });
    let cold = cold.await;
    assert!(matches!(&cold[..], [(id, 1..=60_000)] if **id == *"e-2"), "{cold:?}");
    for active in [true, false] {
        submit(&group.evacuations(0), DOMAIN, active).await;
        let changed = old.wait_for(|it| match it {
            WatchUpdate::CatalogDelta(delta) => Some(delta.changed),
            WatchUpdate::Evacuations { .. } | WatchUpdate::Cold { .. } => panic!("{it:?}"),
            _ => None,
        });
        let changed = changed.await;
        assert_eq!(changed, [ListedEndpoint { draining: active, ..endpoint("e-1", DOMAIN) }]);
    }
    new.wait_for_set(&[DOMAIN]).await;
    new.wait_for_set(&[]).await;
}
