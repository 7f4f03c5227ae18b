//! Runs the `jf-control` binary and stops it by signals.

#![allow(clippy::disallowed_methods, reason = "the tests run the binary under test")]

use std::{
    fs,
    path::Path,
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

/// How long a process may take to open its state, or to shut down.
const TIMEOUT: Duration = Duration::from_secs(20);

fn spawn(dir: &Path) -> Child {
    let settings = dir.join("control.toml");
    let text = "host = 'control-1'\ndomain = 'd0'\ndata = 'data'\n\
         inner = '127.0.0.1:0'\nadmin = '127.0.0.1:0'\n";
    fs::write(&settings, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_jf-control"));
    command.arg(&settings).current_dir(dir).stdout(Stdio::null()).spawn().unwrap()
}

fn wait_until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let until = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting until {what}");
        sleep(Duration::from_micros(50));
    }
}

#[test]
fn sigterm_while_the_replica_opens_its_state_shuts_it_down() {
    for _ in 0..5 {
        let dir = tempfile::tempdir().unwrap();
        let mut child = spawn(dir.path());
        let data = dir.path().join("data");
        wait_until("the state is opened", || {
            fs::read_dir(&data).is_ok_and(|mut it| it.next().is_some())
        });
        let status = Command::new("kill").arg(child.id().to_string()).status().unwrap();
        assert!(status.success());
        let mut exited = None;
        wait_until("the process has exited", || {
            exited = child.try_wait().unwrap();
            exited.is_some()
        });
        let exited = exited.unwrap();
        assert!(exited.success(), "{exited}");
    }
}
