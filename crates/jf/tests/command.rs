//! The command line: exit codes, one-line errors, keys that the inner wire takes.

#![allow(clippy::disallowed_methods, reason = "the test starts the command that it tests")]

use {
    rstest::rstest,
    settings::TlsFiles,
    std::{
        fs,
        path::{Path, PathBuf},
        process::{Command, Output, id},
    },
};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("jf-{}-{name}", id()));
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        fs::write(&file, text).unwrap();
        file
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn jf(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jf")).args(args).output().unwrap()
}

fn text_of(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[rstest]
#[case::no_command(&[], "")]
#[case::unknown_flag(&["status", "--wide"], "--wide")]
#[case::no_settings(&["-s", "no-such.toml", "status"], "no-such.toml:0: file: expected a readable file")]
#[case::no_file(&["check", "no-such.toml"], "no-such.toml")]
#[case::bad_kind(&["check", "x.toml", "--kind", "x"], "--kind: expected router")]
fn bad_input_ends_with_2(#[case] args: &[&str], #[case] expected: &str) {
    let output = jf(args);
    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{line}");
    assert!(line.contains(expected), "{line}");
}

#[test]
fn the_version_is_told() {
    for args in [&["--version"], &["version"]] {
        assert!(String::from_utf8_lossy(&jf(args).stdout).starts_with("jf 0."));
    }
}

#[test]
fn a_replica_that_is_not_there_ends_with_1() {
    let folder = Folder::new("reach");
    let token = folder.write("token", "secret-token\n");
    let settings = format!(
        "control = [\"127.0.0.1:1\"]\ntoken-file = {:?}\ntimeout-ms = 300\n",
        text_of(&token)
    );
    let settings = folder.write("jf.toml", &settings);
    let output = jf(&["-s", text_of(&settings), "status"]);
    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{line}");
    assert!(line.contains("connect with 127.0.0.1:1"), "{line}");
    assert!(!line.contains("secret-token"), "{line}");
}

#[test]
fn keys_are_made_once_and_fit_the_inner_wire() {
    let folder = Folder::new("keys");
    let dir = folder.0.join("keys");
    assert_eq!(jf(&["keys", text_of(&dir)]).status.code(), Some(0));
    let files = TlsFiles {
        ca: dir.join("ca.pem"),
        cert: dir.join("inner.pem"),
        key: dir.join("inner-key.pem"),
    };
    wire::Identity::open(&files).unwrap();
    let before = fs::read(&files.key).unwrap();
    assert_eq!(jf(&["keys", text_of(&dir)]).status.code(), Some(2));
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
fn a_bad_intent_is_named_in_one_line(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let folder = Folder::new(&format!("intent-{}", from.len() * 1_000 + to.len()));
    let file = folder.write("intent.toml", &INTENT.replace(from, to));
    let output = jf(&["check", text_of(&file)]);
    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{line}");
    assert_eq!(line.lines().count(), 1, "{line}");
    assert!(line.contains("intent.toml") && line.contains(expected), "{line}");
}

#[rstest]
fn the_examples_hold(#[values("auditex", "sahm")] deployment: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(deployment);
    for file in ["intent.toml", "router-1.toml", "control-1.toml", "jf.toml", "load.toml"] {
        let output = jf(&["check", text_of(&folder.join(file))]);
        assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    }
}
