//! Runs stand-ins for the platform and for targets.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use bpaf::Bpaf;
use ggb_adapter::Store;
use ggb_http::{ClientOptions, HttpClient};
use ggb_membership::{Role, Vm, VmState};
use ggb_model::{Incarnation, TaskShape, Zone};
use ggb_platform::VMS_TABLE;
use ggb_standin::{
    Endpoints, LinkEffect, LinkRule, Relay, StoreStandin, TargetMode, TargetOptions, TargetStandin,
    vm_row,
};
use greengagebeam::{ExitCode, exit_with, termination_signal};

const TARGET_MEMORY_MIB: u32 = 131_072;

/// Runs stand-ins for the platform and for targets, for tests and measurements
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run a table service with a list of VMs
    #[bpaf(command)]
    Platform {
        /// The address to listen on
        #[bpaf(long, argument("ADDR"))]
        listen: SocketAddr,
    },
    /// Run targets at consecutive ports; a task only waits for its run time
    #[bpaf(command)]
    Targets {
        /// The address on which the first target listens
        #[bpaf(long, argument("ADDR"))]
        listen: SocketAddr,
        /// The availability zone
        #[bpaf(long, argument("ZONE"))]
        zone: Zone,
        /// The number of targets
        #[bpaf(long, argument("N"), fallback(1))]
        count: u16,
        /// The number of tasks that each target runs concurrently
        #[bpaf(long, argument("N"), fallback(32))]
        slots: u16,
        /// The behavior of the targets: `normal`, `fail-all`, `hang` or `queue`
        #[bpaf(long, argument("MODE"), fallback(TargetMode::Normal))]
        mode: TargetMode,
        /// The number of targets that fail every task
        #[bpaf(long, argument("N"), fallback(0))]
        broken: u16,
        /// The platform on whose list of VMs the targets are put
        #[bpaf(long, argument("ADDR"))]
        platform: Option<SocketAddr>,
        /// The port under which the first target is listed, if it is behind a relay
        #[bpaf(long, argument("PORT"))]
        listed_port: Option<u16>,
        /// The file to which the targets log the tasks that they are given
        #[bpaf(long, argument("FILE"))]
        log: Option<PathBuf>,
    },
    /// Put processes on the platform's list of VMs
    #[bpaf(command)]
    List {
        /// The address of the platform
        #[bpaf(long, argument("ADDR"))]
        platform: SocketAddr,
        /// The role of the processes: `entry` or `dispatch`
        #[bpaf(long, argument("ROLE"))]
        role: String,
        /// The availability zone
        #[bpaf(long, argument("ZONE"))]
        zone: Zone,
        /// The addresses of the processes
        #[bpaf(positional("ADDR"), some("expected at least one address"))]
        addrs: Vec<SocketAddr>,
    },
    /// Run a relay that delays traffic between zones, identified by the third octet of addresses
    #[bpaf(command)]
    Relay {
        /// The one-way delay between zones
        #[bpaf(long, argument("US"), fallback(0))]
        delay_us: u64,
        /// The third octet of a zone's addresses; repeat for each zone
        #[bpaf(long("zone"), argument("OCTET"), many)]
        zones: Vec<u8>,
        /// The addresses to listen on and to forward to, as LISTEN=UPSTREAM
        #[bpaf(positional("LISTEN=UPSTREAM"), some("expected at least one link"))]
        links: Vec<String>,
    },
}

#[async_std::main]
async fn main() {
    let command = command().run();
    let stop = termination_signal().unwrap_or_else(|error| exit_with(ExitCode::Failed, error));
    // Holds the stand-ins until the process is asked to stop.
    let (mut platforms, mut targets) = (Vec::new(), Vec::new());
    let started = match command {
        Command::Platform { listen } => {
            start_platform(listen).await.map(|platform| platforms.push(platform))
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
            let group = TargetGroup { listen, zone, count, slots, mode, broken, listed_port, log };
            group.start(platform).await.map(|started| targets = started)
        }
        Command::List { platform, role, zone, addrs } => {
            let result = list_processes(platform, &role, &zone, &addrs).await;
            result.unwrap_or_else(|error| exit_with(ExitCode::Failed, error));
            return;
        }
        Command::Relay { delay_us, zones, links } => start_relay(delay_us, &zones, &links).await,
    };
    started.unwrap_or_else(|error| exit_with(ExitCode::Failed, error));
    stop.recv().await.ok();
}

async fn start_platform(listen: SocketAddr) -> Result<StoreStandin, String> {
    StoreStandin::bind(listen).await.map_err(|error| format!("{error:?}"))
}

/// Target stand-ins at consecutive ports.
struct TargetGroup {
    listen: SocketAddr,
    zone: Zone,
    count: u16,
    slots: u16,
    mode: TargetMode,
    broken: u16,
    listed_port: Option<u16>,
    log: Option<PathBuf>,
}

impl TargetGroup {
    async fn start(&self, platform: Option<SocketAddr>) -> Result<Vec<TargetStandin>, String> {
        let mut targets = Vec::new();
        for index in 0..self.count {
            let options = TargetOptions {
                addr: SocketAddr::new(self.listen.ip(), self.listen.port() + index),
                slots: self.slots,
                mode: if index < self.broken { TargetMode::FailAll } else { self.mode },
                log: self.log.clone(),
            };
            let target = TargetStandin::bind(options).await;
            targets.push(target.map_err(|error| format!("{error:?}"))?);
        }
        if let Some(platform) = platform {
            list_vms(platform, self.listed_vms()).await?;
        }
        Ok(targets)
    }

    fn listed_vms(&self) -> Vec<Vm> {
        let first_port = self.listed_port.unwrap_or(self.listen.port());
        let addrs =
            (0..self.count).map(|index| SocketAddr::new(self.listen.ip(), first_port + index));
        addrs.map(|addr| vm(Role::Target, &self.zone, addr, self.slots)).collect()
    }
}

async fn list_processes(
    platform: SocketAddr,
    role: &str,
    zone: &Zone,
    addrs: &[SocketAddr],
) -> Result<(), String> {
    let role = match role {
        "entry" => Role::Entry,
        "dispatch" => Role::Dispatch,
        _ => return Err(format!("role: got `{role}`, expected `entry` or `dispatch`")),
    };
    list_vms(platform, addrs.iter().map(|addr| vm(role, zone, *addr, 0)).collect()).await
}

async fn start_relay(delay_us: u64, zones: &[u8], links: &[String]) -> Result<(), String> {
    let relay = Relay::default();
    let pairs = zones.iter().flat_map(|from| zones.iter().map(move |to| (*from, *to)));
    for (from, to) in pairs.filter(|(from, to)| from != to) {
        let (from, to) = (Endpoints::Zone(from), Endpoints::Zone(to));
        relay.add(LinkRule { from, to, effect: LinkEffect::Delay { delay_us } });
    }
    for link in links {
        let (listen, upstream) = parse_link(link)?;
        relay.bind(listen, upstream).await.map_err(|error| format!("{error:?}"))?;
    }
    Ok(())
}

fn parse_link(link: &str) -> Result<(SocketAddr, SocketAddr), String> {
    let expected = || format!("link: got `{link}`, expected LISTEN=UPSTREAM");
    let (listen, upstream) = link.split_once('=').ok_or_else(expected)?;
    Ok((listen.parse().map_err(|_| expected())?, upstream.parse().map_err(|_| expected())?))
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

async fn list_vms(platform: SocketAddr, vms: Vec<Vm>) -> Result<(), String> {
    let client = HttpClient::new(ClientOptions::default());
    let store = Store::new(Arc::new(client), platform);
    for vm in vms {
        let (key, value) = vm_row(vm);
        let put = store.put(VMS_TABLE, &key, &value).await;
        put.map_err(|error| format!("{error:?}"))?;
    }
    Ok(())
}
