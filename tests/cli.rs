//! The commands' exit codes and messages.

mod testenv;

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(testenv::program())
        .args(arguments)
        .output()
        .unwrap()
}

/// A file that is removed with its directory's last user.
struct Scratch(PathBuf);

impl Scratch {
    fn write(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("basilgw-cli-{}-{name}", std::process::id()));
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        fs::remove_file(&self.0).unwrap();
    }
}

#[test]
fn settings_faults_are_all_named_with_their_file_and_exit_code() {
    let file = Scratch::write("bad.ini", "[node]\nvm = vm-1\n[listen]\ncallers = here\n");
    let output = run(&["check", "--settings", file.path()]);
    assert_eq!(output.status.code(), Some(4));
    let told = String::from_utf8_lossy(&output.stderr);
    for expected in [
        "[node] centre: missing",
        "[listen] callers: bad value",
        "[platform] address",
    ] {
        assert!(
            told.contains(&format!("{}: {expected}", file.path())),
            "{expected}: {told}"
        );
    }
}

#[test]
fn declaration_faults_are_all_named_with_their_exit_code() {
    let text = r#"{"accounts": {"a": {"rate": 1, "burst": 0, "models": ["m"]}}}"#;
    let file = Scratch::write("bad.json", text);
    let output = run(&["check", "--declaration", file.path()]);
    assert_eq!(output.status.code(), Some(5));
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(
        told.contains("burst must be at least 1") && told.contains("model m"),
        "{told}"
    );
}

#[test]
fn a_missing_file_and_an_absent_vm_have_codes_of_their_own() {
    let missing = run(&["check", "--declaration", "/nowhere/site.json"]);
    assert_eq!(missing.status.code(), Some(3));
    // Port 1 on loopback: nothing listens there.
    let absent = run(&["status", "--vm", "127.0.0.1:1"]);
    assert_eq!(absent.status.code(), Some(7));
}

#[test]
fn a_minted_key_is_shown_beside_its_hash() {
    let output = run(&["mint-key"]);
    let told = String::from_utf8_lossy(&output.stdout);
    let mut lines = told.lines();
    let key = lines.next().unwrap().strip_prefix("key  ").unwrap();
    let hash = lines.next().unwrap().strip_prefix("hash ").unwrap();
    let parsed: basilgw::declare::Key = key.parse().unwrap();
    assert_eq!(parsed.hash().to_string(), hash);
}
