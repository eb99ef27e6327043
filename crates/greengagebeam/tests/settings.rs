//! `ggb-entry --check` reports all invalid settings at once and starts nothing.

use std::process::{Command, Output};

const NODE_SETTINGS: &str = r#"
nodeName = "vm-1"
ip = "127.0.0.1"
zone = "qc-east-a"
portRange = [7720, 7735]
[listenAddrs]
front = "127.0.0.1:8161"
ready = "127.0.0.1:8167"
[limits]
cpuShare = 0.25
cores = 1
[bounds]
graceS = 6
[platform]
address = "127.0.0.1:8169"
"#;

/// Checks the settings of a node with another time after which callers send their jobs again.
fn check_node(name: &str, resend_ms: u64) -> Output {
    let path = std::env::temp_dir().join(format!("ggb-{}-{name}.toml", std::process::id()));
    let bounds = format!("[bounds]\nresendMs = {resend_ms}");
    std::fs::write(&path, NODE_SETTINGS.replace("[bounds]", &bounds)).expect("write settings");
    let program = env!("CARGO_BIN_EXE_ggb-node");
    let output = Command::new(program).args(["--check", "--settings"]).arg(&path).output();
    std::fs::remove_file(&path).expect("remove settings");
    output.expect("run ggb-node")
}

// A process that knows nothing of the first submission would run the job a second time.
#[test]
fn node_rejects_settings_with_which_callers_return_before_their_runs_have_ended() {
    let output = check_node("early", 1_200);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("after 1200 ms: expected at least 1300 ms"), "{text}");
    assert_eq!(check_node("late", 1_300).status.code(), Some(0));
}

fn entry(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_ggb-entry");
    Command::new(program).args(args).output().expect("run ggb-entry")
}

#[test]
fn check_reports_every_invalid_setting() {
    let output = entry(&[
        "--check",
        "--zone=a zone",
        "--rpc-listen=0.0.0.0:7101",
        "--platform=nowhere",
        "--body-bytes=-1",
        "--spill-zones=a,b b",
    ]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    for field in ["zone", "rpc-listen", "platform", "body-bytes", "spill-zones"] {
        assert!(text.contains(&format!("\n  {field}: got")), "{field} in {text}");
    }
}

#[test]
fn check_accepts_valid_settings() {
    let output = entry(&[
        "--check",
        "--zone=qc-east-a",
        "--rpc-listen=127.0.0.1:7101",
        "--platform=127.0.0.1:7900",
        "--spill-zones=qc-east-b,qc-east-c",
    ]);
    assert_eq!(output.status.code(), Some(0));
}
