//! Explains what processes on the users' platform did.

use std::{
    fs,
    io::{self, Read as _},
    net::SocketAddr,
    path::{Path, PathBuf},
};

use bpaf::Bpaf;
use ggb_http::{ClientLimits, HttpClient};
use greengagebeam::{ExitCode, LogStory, exit_with};
use serde_json::Value;

const STATUS_TIMEOUT_MS: u64 = 2_000;

/// Explains what `ggb-node` processes did
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum FleetTool {
    /// Print everything that the logs say of a request, a target or a VM, in the order of time
    #[bpaf(command)]
    Story {
        /// The job's 16 hexadecimal digits, or the name of a target or of a VM
        #[bpaf(positional("ID"))]
        id: String,
        /// Files with the standard output of processes; `-` reads standard input
        #[bpaf(positional("FILE"), some("expected at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Show who owns the targets of each zone and which configuration each process has in force
    #[bpaf(command)]
    Owners {
        /// Addresses of metrics
        #[bpaf(positional("ADDR"), some("expected at least one address"))]
        addrs: Vec<SocketAddr>,
    },
}

#[async_std::main]
async fn main() {
    match fleet_tool().run() {
        FleetTool::Story { id, files } => story(&id, &files),
        FleetTool::Owners { addrs } => owners(&addrs).await,
    }
}

fn story(id: &str, files: &[PathBuf]) {
    let mut story = LogStory::new(id);
    for file in files {
        let text = read(file).unwrap_or_else(|error| {
            exit_with(ExitCode::Failed, format!("read {}: {error}", file.display()))
        });
        story.read(&file.display().to_string(), &text);
    }
    if story.lines().is_empty() {
        exit_with(ExitCode::Failed, format!("no line of the logs names `{id}`"));
    }
    for line in story.lines() {
        println!("{line}");
    }
}

fn read(file: &Path) -> io::Result<String> {
    if file != Path::new("-") {
        return fs::read_to_string(file);
    }
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

async fn owners(addrs: &[SocketAddr]) {
    let client = HttpClient::new(ClientLimits::default());
    println!(
        "{:<22} {:<24} {:<14} {:<10} {:<14} owner",
        "address", "vm", "zone", "phase", "configuration"
    );
    for addr in addrs {
        let fetched = client.fetch(*addr, "/status", STATUS_TIMEOUT_MS).await;
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
