//! Runs the `jf` binary: exit codes, one-line errors, and keys that internal connections accept.

#![allow(clippy::disallowed_methods, reason = "the tests run the binary under test")]

use {
    rstest::rstest,
    settings::TlsFiles,
    std::{
        fs,
        path::{Path, PathBuf},
        process::{Command, Output, id},
    },
};

struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("jf-{}-{name}", id()));
        fs::create_dir_all(&path).unwrap();
        TempDir(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        fs::write(&file, text).unwrap();
        file
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn jf(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jf")).args(args).output().unwrap()
}

fn path_str(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[rstest]
#[case::no_command(&[], "")]
#[case::unknown_flag(&["status", "--wide"], "--wide")]
#[case::no_settings(&["-s", "no-such.toml", "status"], "no-such.toml:0: file: expected a readable file")]
#[case::no_file(&["check", "no-such.toml"], "no-such.toml")]
#[case::bad_kind(&["check", "x.toml", "--kind", "x"], "--kind: expected router")]
fn bad_input_exits_with_2(#[case] args: &[&str], #[case] expected: &str) {
    let output = jf(args);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
}

#[test]
fn version_is_printed() {
    for args in [&["--version"], &["version"]] {
        assert!(String::from_utf8_lossy(&jf(args).stdout).starts_with("jf 0."));
    }
}

#[test]
fn an_unreachable_replica_exits_with_1() {
    let temp_dir = TempDir::new("reach");
    let token = temp_dir.write("token", "secret-token\n");
    let settings = format!(
        "control = [\"127.0.0.1:1\"]\ntoken-file = {:?}\ntimeout-ms = 300\n",
        path_str(&token)
    );
    let settings = temp_dir.write("jf.toml", &settings);
    let output = jf(&["-s", path_str(&settings), "status"]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains("connect with 127.0.0.1:1"), "{stderr}");
    assert!(!stderr.contains("secret-token"), "{stderr}");
}

#[test]
fn keys_are_created_once_and_accepted_by_wire() {
    let temp_dir = TempDir::new("keys");
    let dir = temp_dir.0.join("keys");
    assert_eq!(jf(&["keys", path_str(&dir)]).status.code(), Some(0));
    let files = TlsFiles {
        ca: dir.join("ca.pem"),
        cert: dir.join("inner.pem"),
        key: dir.join("inner-key.pem"),
    };
    wire::Identity::open(&files).unwrap();
    let before = fs::read(&files.key).unwrap();
    assert_eq!(jf(&["keys", path_str(&dir)]).status.code(), Some(2));
    assert_eq!(fs::read(&files.key).unwrap(), before);
}

const INTENT: &str = r#"
[[team]]
name = "a"
tokens = ["sha256:0000000000000000000000000000000000000000000000000000000000000000"]
rate-per-second = 1
running = 1
queued = 1

[[service]]
name = "s"
kind = "plain"
bound-permille = 1500
minimum = 0
claim-ms = 1000
"#;

#[rstest]
#[case::unknown_key("running", "runing", "intent.toml:6: team.runing: unknown field `runing`")]
#[case::no_digest("sha256:", "", "token")]
#[case::unknown_service("queued", "services = ['nowhere']\nqueued", "nowhere")]
#[case::duplicate_name(
    "[[service]]",
    "[[team]]\nname='a'\ntokens=[]\nrate-per-second=1\nrunning=1\nqueued=1\n[[service]]",
    "a"
)]
#[case::wrong_type("1500", "'much'", "intent.toml:12: service.bound-permille: invalid type")]
fn an_invalid_intent_is_reported_on_one_line(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let temp_dir = TempDir::new(&format!("intent-{}", from.len() * 1_000 + to.len()));
    let file = temp_dir.write("intent.toml", &INTENT.replace(from, to));
    let output = jf(&["check", path_str(&file)]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(stderr.contains("intent.toml") && stderr.contains(expected), "{stderr}");
}

#[rstest]
fn examples_are_valid(#[values("auditex", "sahm")] deployment: &str) {
    let examples_dir =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(deployment);
    for file in ["intent.toml", "router-1.toml", "control-1.toml", "jf.toml", "load.toml"] {
        let output = jf(&["check", path_str(&examples_dir.join(file))]);
        assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    }
}

const LAYOUT: &str = r#"{
    "version": 3,
    "routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "Idempotent", "timeout_ms": 1000, "target_ms": 100,
        "gap_ms": 0, "priority": 0, "split": [{"service": "s", "weight": 1}], "attempts": 1, "open": false,
        "affine": false, "resumable": false}],
    "services": [{"name": "s", "health": "/", "connections": 1, "engine": null}],
    "limits": {"header_bytes": 1, "body_bytes": 1, "header_ms": 1, "idle_ms": 1},
    "teams": []
}"#;

/// Returns the exit code and the lines about this file.
fn check_layout(name: &str, layout: &str, against: Option<&str>) -> (Option<i32>, Vec<String>) {
    let temp_dir = TempDir::new(name);
    let file = temp_dir.write("layout.json", layout);
    let against = against.map(|it| temp_dir.write("in-force.json", it));
    let mut args = vec!["check", path_str(&file)];
    args.extend(against.iter().flat_map(|it| ["--against", path_str(it)]));
    let output = jf(&args);
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let prefix = format!("{}: ", path_str(&file));
    let lines = stdout.lines().filter_map(|it| it.strip_prefix(&prefix));
    (output.status.code(), lines.map(str::to_owned).collect())
}

#[test]
fn a_sound_layout_is_valid() {
    let expected = vec!["valid routing configuration".to_owned()];
    assert_eq!(check_layout("sound", LAYOUT, None), (Some(0), expected));
}

/// Guards against doubts that stop a script which publishes a valid file.
#[test]
fn findings_about_a_layout_are_printed_one_a_line() {
    let layout = LAYOUT.replace(r#""target_ms": 100"#, r#""target_ms": 2000"#);
    let in_force = LAYOUT.replace(r#""version": 3"#, r#""version": 2"#);
    let (code, lines) = check_layout("findings", &layout, Some(&in_force));
    let expected = [
        "warning: route r: the target time is longer than the timeout",
        "note: route r: target_ms changes from 100 to 2000",
        "valid routing configuration",
    ];
    assert_eq!(code, Some(0));
    assert_eq!(lines, expected);
}

#[rstest]
#[case::two_errors(r#"1000, "#, r#"0, "regions": [""], "#, None, 2)]
#[case::not_newer("x", "x", Some(LAYOUT), 1)]
fn an_error_in_a_layout_exits_with_2(
    #[case] from: &str,
    #[case] to: &str,
    #[case] against: Option<&str>,
    #[case] errors: usize,
) {
    let name = format!("errors-{errors}");
    let (code, lines) = check_layout(&name, &LAYOUT.replace(from, to), against);
    assert_eq!(code, Some(2), "{lines:?}");
    assert_eq!(lines.iter().filter(|it| it.starts_with("error: ")).count(), errors, "{lines:?}");
    assert!(lines.iter().all(|it| !it.starts_with("valid")), "{lines:?}");
}
