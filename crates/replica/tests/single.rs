//! A group of one replica.

use {
    replica::{Machine, Replica, ReplicaConfig, RestoreError},
    wire::{Class, Clock, Dialer, Traffic},
};

#[derive(Default)]
struct Journal(Vec<Vec<u8>>);

impl Machine for Journal {
    fn apply(&mut self, _: u64, command: &[u8]) -> Vec<u8> {
        self.0.push(command.to_vec());
        self.0.len().to_string().into_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.join(&b' ')
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        self.0 = snapshot.split(|it| *it == b' ').map(<[u8]>::to_vec).collect();
        Ok(())
    }
}

#[tokio::test]
async fn a_lone_replica_leads_and_replies() {
    let folder = tempfile::tempdir().unwrap();
    let addr = "127.0.0.1:1".parse().unwrap();
    let config = ReplicaConfig::new(folder.path().to_owned(), addr, Vec::new());
    let dialer = Dialer { identity: None, traffic: Traffic::default(), class: Class::Control };
    let replica = Replica::open(config, Journal::default(), dialer, Clock::start()).await.unwrap();
    let mut progress = replica.subscribe();
    progress.wait_for(|it| it.leading.is_some()).await.unwrap();
    assert_eq!(replica.propose(b"one".to_vec()).await.unwrap(), b"1");
    assert_eq!(replica.propose(b"two".to_vec()).await.unwrap(), b"2");
    replica.read().await.unwrap();
    assert!(replica.leading().is_some());
    assert_eq!(replica.with(|it| it.0.len()), 2);
    replica.shutdown().await;
}
