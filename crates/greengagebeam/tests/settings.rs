//! `ggb-entry --check` reports all invalid settings at once and starts nothing.

use std::process::{Command, Output};

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
