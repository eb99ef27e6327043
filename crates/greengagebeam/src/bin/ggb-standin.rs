//! Stand-ins for the platform and for targets.

use std::net::SocketAddr;

use bpaf::Bpaf;
use ggb_http::{ClientLimits, HttpClient};
use ggb_membership::{Role, Vm, VmState};
use ggb_model::{Incarnation, TaskShape, Zone};
use ggb_standin::{
    Endpoints, LinkEffect, LinkRule, PlatformStandin, Relay, TargetMode, TargetOptions,
    TargetStandin,
};
use greengagebeam::{ExitCode, exit_with, termination};
use serde_json::json;

const CONTROL_TIMEOUT_MS: u64 = 5_000;
const TARGET_MEMORY_MIB: u32 = 131_072;

/// Stand-ins for the platform and for targets, for tests and measurements
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// A table service and a list of VMs
    #[bpaf(command)]
    Platform {
        /// Where to listen
        #[bpaf(long, argument("ADDR"))]
        listen: SocketAddr,
    },
    /// Targets that run tasks by waiting, at consecutive ports
    #[bpaf(command)]
    Targets {
        /// Where the first one listens
        #[bpaf(long, argument("ADDR"))]
        listen: SocketAddr,
        /// The availability zone
        #[bpaf(long, argument("ZONE"))]
        zone: Zone,
        /// How many
        #[bpaf(long, argument("N"), fallback(1))]
        count: u16,
        /// How many tasks each runs at once
        #[bpaf(long, argument("N"), fallback(32))]
        slots: u16,
        /// How they behave: `normal`, `fail-all`, `hang` or `queue`
        #[bpaf(long, argument("MODE"), fallback(TargetMode::Normal))]
        mode: TargetMode,
        /// How many of them fail every task
        #[bpaf(long, argument("N"), fallback(0))]
        broken: u16,
        /// The platform on whose list they are put
        #[bpaf(long, argument("ADDR"))]
        platform: Option<SocketAddr>,
        /// The port under which the first one is listed, if a relay stands in front
        #[bpaf(long, argument("PORT"))]
        listed_port: Option<u16>,
        /// Where to write what they start
        #[bpaf(long, argument("FILE"))]
        log: Option<std::path::PathBuf>,
    },
    /// Puts processes on the platform's list of VMs
    #[bpaf(command)]
    List {
        /// The platform
        #[bpaf(long, argument("ADDR"))]
        platform: SocketAddr,
        /// What they are for: `entry` or `dispatch`
        #[bpaf(long, argument("ROLE"))]
        role: String,
        /// The availability zone
        #[bpaf(long, argument("ZONE"))]
        zone: Zone,
        /// Their addresses
        #[bpaf(positional("ADDR"), some("expected at least one address"))]
        addrs: Vec<SocketAddr>,
    },
    /// A relay that delays traffic between zones, told apart by the third octet of addresses
    #[bpaf(command)]
    Relay {
        /// The delay between zones, one way
        #[bpaf(long, argument("US"), fallback(0))]
        delay_us: u64,
        /// Zones by their third octet
        #[bpaf(long("zone"), argument("OCTET"), many)]
        zones: Vec<u8>,
        /// Where to listen and what to pass on to, as LISTEN=UPSTREAM
        #[bpaf(positional("LISTEN=UPSTREAM"), some("expected at least one link"))]
        links: Vec<String>,
    },
}

#[async_std::main]
async fn main() {
    let command = command().run();
    let stop = termination().unwrap_or_else(|error| exit_with(ExitCode::Failed, error));
    let fail = |error: String| -> ! { exit_with(ExitCode::Failed, error) };
    match command {
        Command::Platform { listen } => {
            let platform = PlatformStandin::bind(listen).await;
            let _platform = platform.unwrap_or_else(|error| fail(format!("{error:?}")));
            stop.recv().await.ok();
        }
        Command::Targets {
            listen,
            zone,
            count,
            slots,
            mode,
            broken,
            platform,
            listed_port,
            log,
        } => {
            let mut targets = Vec::new();
            for at in 0..count {
                let addr = SocketAddr::new(listen.ip(), listen.port() + at);
                let mode = if at < broken { TargetMode::FailAll } else { mode };
                let options = TargetOptions { addr, slots, mode, log: log.clone() };
                let target = TargetStandin::bind(options).await;
                targets.push(target.unwrap_or_else(|error| fail(format!("{error:?}"))));
            }
            if let Some(platform) = platform {
                let first = listed_port.unwrap_or(listen.port());
                let listed = (0..count).map(|at| SocketAddr::new(listen.ip(), first + at));
                let vms = listed.map(|addr| vm(Role::Target, &zone, addr, slots));
                list(platform, vms.collect()).await.unwrap_or_else(|error| fail(error));
            }
            stop.recv().await.ok();
        }
        Command::List { platform, role, zone, addrs } => {
            let role = match role.as_str() {
                "entry" => Role::Entry,
                "dispatch" => Role::Dispatch,
                _ => exit_with(
                    ExitCode::BadSettings,
                    format!("role: got `{role}`, expected `entry` or `dispatch`"),
                ),
            };
            let vms = addrs.iter().map(|addr| vm(role, &zone, *addr, 0)).collect();
            list(platform, vms).await.unwrap_or_else(|error| fail(error));
        }
        Command::Relay { delay_us, zones, links } => {
            let relay = Relay::default();
            for (from, to) in zones.iter().flat_map(|a| zones.iter().map(move |b| (*a, *b))) {
                if from != to {
                    relay.add(LinkRule {
                        from: Endpoints::Zone(from),
                        to: Endpoints::Zone(to),
                        effect: LinkEffect::Delay { delay_us },
                    });
                }
            }
            for link in links {
                let pair = link.split_once('=').and_then(|(listen, upstream)| {
                    Some((listen.parse().ok()?, upstream.parse().ok()?))
                });
                let Some((listen, upstream)) = pair else {
                    let message = format!("link: got `{link}`, expected LISTEN=UPSTREAM");
                    exit_with(ExitCode::BadSettings, message)
                };
                let bound = relay.bind(listen, upstream).await;
                bound.unwrap_or_else(|error| fail(format!("{error:?}")));
            }
            stop.recv().await.ok();
        }
    }
}

fn vm(role: Role, zone: &Zone, addr: SocketAddr, slots: u16) -> Vm {
    Vm {
        role,
        zone: zone.clone(),
        addr,
        incarnation: Incarnation::default(),
        state: VmState::Live,
        capacity: TaskShape { slots, memory_mib: TARGET_MEMORY_MIB, accelerators: 0 },
    }
}

async fn list(platform: SocketAddr, vms: Vec<Vm>) -> Result<(), String> {
    let client = HttpClient::new(ClientLimits::default());
    let body = json!({ "do": "list_vms", "vms": vms }).to_string().into_bytes();
    let sent = client.post(platform, "/control", body, CONTROL_TIMEOUT_MS).await;
    match sent {
        Ok(reply) if reply.status.is_success() => Ok(()),
        Ok(reply) => Err(format!("list: got status {}, expected 200", reply.status)),
        Err(error) => Err(format!("{error:?}")),
    }
}
