//! Shows the logs and owners of `ggb-node` processes.

use std::{
    fs,
    io::{self, Read as _},
    net::SocketAddr,
    path::{Path, PathBuf},
};

use bpaf::Bpaf;
use ggb_http::{ClientOptions, HttpClient};
use greengagebeam::{ExitCode, LogTimeline, exit_with};
use serde_json::Value;

const STATUS_TIMEOUT_MS: u64 = 2_000;

/// Shows the log lines of `ggb-node` processes and the owner of each zone's targets
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum FleetTool {
    /// Print the log lines about a job, a target or a VM, sorted by time
    #[bpaf(command("story"))]
    Timeline {
        /// The job's 16 hexadecimal digits, or the name of a target or of a VM
        #[bpaf(positional("ID"))]
        id: String,
        /// Files with the standard output of processes; `-` reads standard input
        #[bpaf(positional("FILE"), some("expected at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Show, for each process, the owner of its zone's targets and its configuration version
    #[bpaf(command)]
    Owners {
        /// Operators' addresses of the processes
        #[bpaf(positional("ADDR"), some("expected at least one address"))]
        addrs: Vec<SocketAddr>,
    },
}

#[async_std::main]
async fn main() {
    match fleet_tool().run() {
        FleetTool::Timeline { id, files } => print_timeline(&id, &files),
        FleetTool::Owners { addrs } => print_owners(&addrs).await,
    }
}

fn print_timeline(id: &str, files: &[PathBuf]) {
    let mut timeline = LogTimeline::new(id);
    for file in files {
        let text = read_text(file).unwrap_or_else(|error| {
            exit_with(ExitCode::Failed, format!("read {}: {error}", file.display()))
        });
        timeline.add_log(&file.display().to_string(), &text);
    }
    if timeline.lines().is_empty() {
        exit_with(ExitCode::Failed, format!("no log line contains `{id}`"));
    }
    for line in timeline.lines() {
        println!("{line}");
    }
}

fn read_text(file: &Path) -> io::Result<String> {
    if file != Path::new("-") {
        return fs::read_to_string(file);
    }
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

async fn print_owners(addrs: &[SocketAddr]) {
    let client = HttpClient::new(ClientOptions::default());
    println!(
        "{:<22} {:<24} {:<14} {:<10} {:<14} owner",
        "address", "vm", "zone", "phase", "configuration"
    );
    for addr in addrs {
        let fetched = client.get(*addr, "/status", STATUS_TIMEOUT_MS).await;
        let status = fetched.ok().and_then(|reply| serde_json::from_slice(&reply.body).ok());
        let status: Value = status.unwrap_or_default();
        let details = &status["details"];
        let text = |value: &Value| value.as_str().unwrap_or("-").to_owned();
        let owner = match details["claim"].is_u64() {
            true => "itself".to_owned(),
            false => text(&details["owner"]),
        };
        println!(
            "{addr:<22} {:<24} {:<14} {:<10} {:<14} {owner}",
            text(&details["vm"]),
            text(&details["zone"]),
            text(&status["phase"]),
            details["configuration_version"].to_string(),
        );
    }
}
