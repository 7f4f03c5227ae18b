//! The `jf-gateway` process and its signals.

#![allow(clippy::disallowed_methods, reason = "the tests run the jf-gateway binary")]

mod common;

use {
    common::{Behavior, Endpoint, Fixture, layout},
    rustix::process::{Pid, Signal, kill_process},
    std::{
        io::Write,
        process::{Child, Command, ExitStatus, Stdio},
        time::Duration,
    },
    tokio::time::sleep,
};

/// A running `jf-gateway`, which is killed on drop.
struct Process(Child);

impl Process {
    /// Starts a gateway with the control replica of `fixture`; returns it and a client for it.
    async fn start(fixture: &Fixture) -> (Process, common::Client) {
        let settings = fixture.process_settings();
        let text = toml::to_string(&settings).expect("failed to serialize the settings");
        let mut file = tempfile::NamedTempFile::new().expect("failed to create a file");
        file.write_all(text.as_bytes()).expect("failed to write the settings");
        let child = Command::new(env!("CARGO_BIN_EXE_jf-gateway"))
            .arg(file.path())
            .stdout(Stdio::null())
            .spawn()
            .expect("failed to start jf-gateway");
        let process = Process(child);
        common::wait_until_admin_ready(settings.admin).await;
        (process, common::Client::new(settings.listen))
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.0.id() as i32).expect("the process has no id");
        kill_process(pid, signal).expect("failed to signal jf-gateway");
    }

    async fn exit_status(mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.0.try_wait().expect("failed to wait for jf-gateway") {
                return status;
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::test]
async fn request_that_outlasts_the_grace_period_gets_an_answer_from_the_process() {
    let silent = Endpoint::start([Behavior::NoResponse]).await;
    let fixture = Fixture::start(&layout(1), &[silent.listing_entry("plain", "e0")]).await;
    let (process, client) = Process::start(&fixture).await;
    process.signal(Signal::TERM);
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(client.body("x").call("/write/").await.status, 504);
    assert!(process.exit_status().await.success());
}

#[tokio::test]
async fn requests_that_arrive_while_the_process_is_suspended_are_answered_at_a_stop() {
    let endpoint = Endpoint::start([]).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    let (process, client) = Process::start(&fixture).await;
    let mut connections = Vec::new();
    for _ in 0..8 {
        let mut connection = client.connect_now();
        connection.send_head("/read/", 0);
        assert_eq!(connection.response().await.status, 200);
        connections.push(connection);
    }
    process.signal(Signal::STOP);
    connections.iter_mut().for_each(|it| it.send_head("/read/", 0));
    process.signal(Signal::TERM);
    sleep(Duration::from_millis(400)).await;
    process.signal(Signal::CONT);
    for connection in &mut connections {
        assert_eq!(connection.response().await.status, 200);
    }
    assert!(process.exit_status().await.success());
}

#[tokio::test]
async fn connections_that_arrive_while_the_process_is_suspended_are_answered_at_the_end_of_a_stop()
{
    let endpoint = Endpoint::start([]).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    let (process, client) = Process::start(&fixture).await;
    process.signal(Signal::TERM);
    sleep(Duration::from_millis(2_700)).await;
    process.signal(Signal::STOP);
    let mut connections: Vec<_> = (0..8).map(|_| client.connect_now()).collect();
    connections.iter_mut().for_each(|it| it.send_head("/read/", 0));
    sleep(Duration::from_millis(600)).await;
    process.signal(Signal::CONT);
    for connection in &mut connections {
        let status = connection.response().await.status;
        assert!(matches!(status, 200 | 503), "got status {status}");
    }
    assert!(process.exit_status().await.success());
}

#[tokio::test]
async fn second_stop_and_a_reload_during_a_stop_do_not_end_the_process() {
    let endpoint = Endpoint::start([]).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    let (process, client) = Process::start(&fixture).await;
    for signal in [Signal::TERM, Signal::HUP, Signal::TERM, Signal::INT] {
        process.signal(signal);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(client.call("/read/").await.status, 200, "after {signal:?}");
    }
    assert!(process.exit_status().await.success());
}
