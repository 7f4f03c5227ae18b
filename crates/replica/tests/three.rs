//! Groups of replicas over loopback and real files.

mod group;

use {
    group::{Group, wait, within},
    replica::ProposeError,
    std::time::Duration,
    tokio::time::timeout,
};

const NO_SNAPSHOT: u64 = 1 << 30;

/// Commits so many commands through whichever replica leads.
async fn fill(group: &Group, from: usize, count: usize) {
    let replica = group.get(group.whole().await);
    for number in from..from + count {
        let reply = within(replica.propose(number.to_string().into_bytes())).await.unwrap();
        assert_eq!(reply, (number + 1).to_string().into_bytes());
    }
}

fn commands(count: usize) -> Vec<Vec<u8>> {
    (0..count).map(|it| it.to_string().into_bytes()).collect()
}

#[tokio::test]
async fn a_lone_replica_keeps_its_state_over_a_restart() {
    let group = Group::start(1, NO_SNAPSHOT).await;
    fill(&group, 0, 20).await;
    let id = group.get(0).id();
    group.stop(0).await;
    let replica = group.open(0).await;
    assert_eq!(replica.id(), id);
    group.applied(0, 20).await;
    within(replica.read_barrier()).await.unwrap();
    assert_eq!(replica.with(|it| it.0.clone()), commands(20));
}

#[tokio::test]
async fn three_replicas_agree_and_followers_name_the_leader() {
    let group = Group::start(3, NO_SNAPSHOT).await;
    fill(&group, 0, 50).await;
    let leader = group.leader().await;
    for at in 0..3 {
        group.applied(at, 50).await;
        assert_eq!(group.get(at).with(|it| it.0.clone()), commands(50));
    }
    let follower = group.get((leader + 1) % 3);
    let id = group.get(leader).id();
    wait(0, &follower, |it| it.leader == Some(id)).await;
    assert_eq!(follower.addr_of(id), Some(group.addrs[leader]));
    let refused = within(follower.propose(b"lost".to_vec())).await;
    assert_eq!(refused, Err(ProposeError::NotLeader { leader: Some(id) }));
    assert_eq!(
        within(follower.read_barrier()).await,
        Err(ProposeError::NotLeader { leader: Some(id) })
    );
    assert!(follower.leader_lease().is_none());
    assert!(group.get(leader).leader_lease().is_some());
    within(group.get(leader).read_barrier()).await.unwrap();
}

#[tokio::test]
async fn another_leads_after_the_leader_stopped_and_nothing_is_lost() {
    let group = Group::start(3, NO_SNAPSHOT).await;
    fill(&group, 0, 30).await;
    let old = group.leader().await;
    group.stop(old).await;
    let new = group.leader().await;
    assert_ne!(old, new);
    within(group.get(new).read_barrier()).await.unwrap();
    assert_eq!(group.get(new).with(|it| it.0.clone()), commands(30));
    fill(&group, 30, 10).await;
    group.open(old).await;
    group.applied(old, 40).await;
    assert_eq!(group.get(old).with(|it| it.0.clone()), commands(40));
}

#[tokio::test]
async fn five_hundred_changes_survive_a_restart_of_all() {
    let group = Group::start(3, 2_000).await;
    fill(&group, 0, 500).await;
    for at in 0..3 {
        group.stop(at).await;
    }
    for at in 0..3 {
        group.open(at).await;
    }
    fill(&group, 500, 1).await;
    for at in 0..3 {
        group.applied(at, 501).await;
        assert_eq!(group.get(at).with(|it| it.0.clone()), commands(501));
    }
}

#[tokio::test]
async fn a_lost_disk_comes_back_under_another_id_and_a_second_loss_is_survived() {
    let group = Group::start(3, 300).await;
    fill(&group, 0, 200).await;
    let leader = group.leader().await;
    let lost = (leader + 1) % 3;
    let old = group.get(lost).id();
    group.stop(lost).await;
    group.lose_disk(lost);
    let replaced = group.open(lost).await;
    assert_ne!(replaced.id(), old);
    group.applied(lost, 200).await;
    // The repair is done when the leader has committed the new voter in place of the old one.
    group.whole().await;
    assert!(!group.get(leader).is_voter(old));
    let second = (lost + 1) % 3;
    group.stop(second).await;
    group.lose_disk(second);
    fill(&group, 200, 10).await;
    group.open(second).await;
    group.applied(second, 210).await;
    for at in 0..3 {
        group.applied(at, 210).await;
        assert_eq!(group.get(at).with(|it| it.0.clone()), commands(210));
    }
}

#[tokio::test]
async fn a_leader_without_the_others_stops_to_lead_and_answers_at_once() {
    let group = Group::start(3, NO_SNAPSHOT).await;
    fill(&group, 0, 5).await;
    let leader = group.leader().await;
    let replica = group.get(leader);
    for at in (0..3).filter(|it| *it != leader) {
        group.stop(at).await;
    }
    let unknown = within(replica.propose(b"never".to_vec())).await;
    assert!(matches!(unknown, Err(ProposeError::Unknown | ProposeError::NotLeader { .. })));
    within(wait(0, &replica, |it| it.leading_term.is_none())).await;
    assert!(replica.leader_lease().is_none());
    assert_eq!(within(replica.read_barrier()).await, Err(ProposeError::NotLeader { leader: None }));
    let refused = within(replica.propose(b"never".to_vec())).await;
    assert_eq!(refused, Err(ProposeError::NotLeader { leader: None }));
    assert_eq!(replica.with(|it| it.0.len()), 5);
}

#[tokio::test]
async fn connections_that_went_silent_are_replaced_long_before_their_pings_fail() {
    let group = Group::behind_proxies(3).await;
    fill(&group, 0, 5).await;
    group.silence();
    let commit = async {
        while group.get(group.leader().await).propose(b"5".to_vec()).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    timeout(Duration::from_secs(5), commit).await.expect("a commit over new connections");
}
