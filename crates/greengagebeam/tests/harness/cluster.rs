//! Processes of one scenario, on loopback addresses that no other scenario uses.
//!
//! Every process has an address `127.S.Z.N`: `S` is unique to the scenario, `Z` identifies
//! the availability zone and `N` the process. Other processes connect to a relay in front
//! of the process, which applies link faults by source and destination address.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use ggb_http::{ClientOptions, HttpClient};
use ggb_membership::{Role, Vm, VmState};
use ggb_model::{Incarnation, TaskShape, Zone};
use ggb_platform::{ProfileStore, StoreTable};
use ggb_standin::{Endpoints, Relay, StoreStandin};
use serde_json::Value;

use super::{language::ClusterSize, process::Process};

/// Third octet of the platform stand-in's addresses, distinct from the numbers of the zones.
const PLATFORM_ZONE_OCTET: u8 = 100;
/// Third octet of the callers' source address, distinct from the numbers of the zones.
const CALLER_ZONE_OCTET: u8 = 200;
/// Port of a relay for connections of other processes, which it forwards to [`DIRECT_PORT`] of
/// the same address.
const RELAY_PORT: u16 = 7_100;
/// Port of a relay for callers, whose connections it forwards to [`DIRECT_HTTP_PORT`] of the same
/// address.
const RELAY_HTTP_PORT: u16 = 7_000;
/// Port on which a process listens for other processes: RPC at entry processes and dispatchers,
/// HTTP at targets and at the platform stand-in.
const DIRECT_PORT: u16 = 17_100;
/// Port on which an entry process listens for callers.
const DIRECT_HTTP_PORT: u16 = 17_000;
const OPERATOR_PORT: u16 = 17_900;
/// Port whose listener reserves the second octet of a scenario.
const LOCK_PORT: u16 = 17_999;
const TARGET_MEMORY_MIB: u32 = 1_024;
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Program that a cluster member runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessKind {
    /// `ggb-entry`.
    Entry,
    /// `ggb-dispatch`.
    Dispatch,
    /// `ggb-standin targets`.
    Target,
}

/// Process of the cluster, with its addresses and zone.
pub struct Member {
    /// Name in the scenario, such as `a1`, `da1` or `ta1`.
    pub name: String,
    /// Program.
    pub kind: ProcessKind,
    /// Loopback address of the process and of its relays.
    pub ip: IpAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Operating system process.
    pub process: Process,
}

impl Member {
    /// Returns the relay's address, at which other processes reach this one.
    pub fn addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, RELAY_PORT)
    }

    /// Returns the relay's address at which callers reach an entry process.
    pub fn http_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, RELAY_HTTP_PORT)
    }

    /// Returns the operators' address, which has no relay and no link faults.
    pub fn operator_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OPERATOR_PORT)
    }

    /// Returns the address that a target listens on behind its relay.
    pub fn direct_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECT_PORT)
    }
}

/// Processes, platform stand-in and relay of one scenario.
pub struct Cluster {
    /// Second octet of all addresses.
    net_octet: u8,
    /// Directory of the logs.
    pub dir: PathBuf,
    /// Stand-in for the platform.
    pub platform: StoreStandin,
    /// Relay in front of every process.
    pub relay: Relay,
    /// Processes in the order in which they were started.
    pub members: Vec<Member>,
    /// HTTP client that connects from the callers' address.
    pub client: Arc<HttpClient>,
    /// Profile store, reached without the relay and its link faults.
    pub store: ProfileStore,
    slots: u16,
}

impl Cluster {
    /// Starts all processes and waits until every entry process is connected to every zone.
    pub async fn start(name: &str, size: &ClusterSize) -> Result<Self, String> {
        let net_octet = reserve_octet()?;
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::remove_dir_all(&dir).ok();
        std::fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
        let direct = SocketAddr::new(ip(net_octet, PLATFORM_ZONE_OCTET, 1), DIRECT_PORT);
        let platform = StoreStandin::bind(direct).await.map_err(|e| format!("{e:?}"))?;
        let relay = Relay::default();
        let via_relay = SocketAddr::new(direct.ip(), RELAY_PORT);
        relay.bind(via_relay, direct).await.map_err(|e| format!("{e:?}"))?;
        let source_ip = Some(ip(net_octet, CALLER_ZONE_OCTET, 1));
        let options = ClientOptions { source_ip, max_idle_per_peer: 0, ..ClientOptions::default() };
        let client = Arc::new(HttpClient::new(options));
        let store = ProfileStore::new(Arc::new(StoreTable::new(direct, Arc::clone(&client))));
        let mut cluster = Cluster {
            net_octet,
            dir,
            platform,
            relay,
            members: Vec::new(),
            client,
            store,
            slots: size.slots,
        };
        for zone in 1..=size.zones {
            for number in 1..=size.targets {
                cluster.add(ProcessKind::Target, zone, number).await?;
            }
            for number in 1..=size.dispatchers {
                cluster.add(ProcessKind::Dispatch, zone, number).await?;
            }
            for number in 1..=size.entries {
                cluster.add(ProcessKind::Entry, zone, number).await?;
            }
        }
        let entries: Vec<_> =
            cluster.members_of_kind(ProcessKind::Entry).map(|m| m.name.clone()).collect();
        for entry in entries {
            cluster.wait_for_zones(&entry, size.zones.into()).await?;
        }
        Ok(cluster)
    }

    /// Starts a process behind the relay and adds it to the list of VMs.
    pub async fn add(&mut self, kind: ProcessKind, zone: u8, number: u8) -> Result<(), String> {
        let letter = char::from(b'a' + zone - 1);
        let zone_name: Zone = format!("zone-{letter}").parse().map_err(|e| format!("{e}"))?;
        let (prefix, host) = match kind {
            ProcessKind::Entry => ("", 10 + number),
            ProcessKind::Dispatch => ("d", 30 + number),
            ProcessKind::Target => ("t", 50 + number),
        };
        let name = format!("{prefix}{letter}{number}");
        let ip_addr = ip(self.net_octet, zone, host);
        self.add_relay(ip_addr, RELAY_PORT, DIRECT_PORT).await?;
        if kind == ProcessKind::Entry {
            self.add_relay(ip_addr, RELAY_HTTP_PORT, DIRECT_HTTP_PORT).await?;
        }
        let (program, args) = self.command_line(kind, ip_addr, &zone_name);
        let process = Process::start(program, args, &self.dir, &name)?;
        let member = Member { name, kind, ip: ip_addr, zone: zone_name, process };
        self.platform.list_vm(self.vm(&member));
        self.members.push(member);
        Ok(())
    }

    /// Returns the entry of a process in the platform's list of VMs.
    pub fn vm(&self, member: &Member) -> Vm {
        Vm {
            role: match member.kind {
                ProcessKind::Entry => Role::Entry,
                ProcessKind::Dispatch => Role::Dispatch,
                ProcessKind::Target => Role::Target,
            },
            zone: member.zone.clone(),
            addr: member.addr(),
            incarnation: Incarnation::default(),
            state: VmState::Live,
            capacity: TaskShape {
                slots: self.slots,
                memory_mib: TARGET_MEMORY_MIB,
                accelerators: 0,
            },
        }
    }

    /// Returns the process with this name.
    pub fn member(&self, name: &str) -> Result<&Member, String> {
        let found = self.members.iter().find(|member| member.name == name);
        found.ok_or_else(|| format!("no process `{name}`"))
    }

    /// Returns the process with this name.
    pub fn member_mut(&mut self, name: &str) -> Result<&mut Member, String> {
        let found = self.members.iter_mut().find(|member| member.name == name);
        found.ok_or_else(|| format!("no process `{name}`"))
    }

    /// Returns all processes of a kind.
    pub fn members_of_kind(&self, kind: ProcessKind) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.kind == kind)
    }

    /// Returns the addresses of a process, a zone, `platform`, `callers` or `all`.
    pub fn endpoints(&self, name: &str) -> Result<Endpoints, String> {
        match name {
            "all" => Ok(Endpoints::Any),
            "platform" => Ok(Endpoints::Zone(PLATFORM_ZONE_OCTET)),
            "callers" => Ok(Endpoints::Zone(CALLER_ZONE_OCTET)),
            _ => match name.strip_prefix("zone-").map(str::as_bytes) {
                Some([letter @ b'a'..=b'z']) => Ok(Endpoints::Zone(letter - b'a' + 1)),
                _ => Ok(Endpoints::Ip(self.member(name)?.ip)),
            },
        }
    }

    /// Returns the file in which targets log the tasks that they are given.
    pub fn target_log(&self) -> PathBuf {
        self.dir.join("targets.jsonl")
    }

    /// Returns the status that a process reports.
    pub async fn status(&self, name: &str) -> Result<Value, String> {
        let addr = self.member(name)?.operator_addr();
        let reply = self.client.get(addr, "/status", 2_000).await;
        let reply = reply.map_err(|error| error.to_string())?;
        serde_json::from_slice(&reply.body).map_err(|error| error.to_string())
    }

    /// Waits until an entry process is connected to the dispatchers of exactly `zones` zones.
    pub async fn wait_for_zones(&self, name: &str, zones: usize) -> Result<(), String> {
        self.wait_until(&format!("{name} is connected to {zones} zones"), async || {
            let status = self.status(name).await.unwrap_or_default();
            status["details"]["connected_zones"].as_array().map(Vec::len) == Some(zones)
        })
        .await
    }

    /// Polls `condition` until it returns true; fails after `WAIT_TIMEOUT`.
    pub async fn wait_until(
        &self,
        description: &str,
        condition: impl AsyncFn() -> bool,
    ) -> Result<(), String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition().await {
            if Instant::now() >= deadline {
                return Err(format!("timed out waiting until {description}"));
            }
            task::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn add_relay(
        &self,
        ip_addr: IpAddr,
        relay_port: u16,
        direct_port: u16,
    ) -> Result<(), String> {
        let listen = SocketAddr::new(ip_addr, relay_port);
        let upstream = SocketAddr::new(ip_addr, direct_port);
        self.relay.bind(listen, upstream).await.map_err(|error| format!("{error:?}"))
    }

    fn command_line(
        &self,
        kind: ProcessKind,
        ip_addr: IpAddr,
        zone: &Zone,
    ) -> (&'static str, Vec<String>) {
        let platform = SocketAddr::new(ip(self.net_octet, PLATFORM_ZONE_OCTET, 1), RELAY_PORT);
        let flag = |name: &str, value: String| vec![format!("--{name}"), value];
        let direct = SocketAddr::new(ip_addr, DIRECT_PORT).to_string();
        let mut args = Vec::new();
        if kind == ProcessKind::Target {
            args.push("targets".to_owned());
            args.extend(flag("listen", direct));
            args.extend(flag("zone", zone.to_string()));
            args.extend(flag("slots", self.slots.to_string()));
            args.extend(flag("log", self.target_log().to_string_lossy().into_owned()));
            return (env!("CARGO_BIN_EXE_ggb-standin"), args);
        }
        args.extend(flag("zone", zone.to_string()));
        args.extend(flag("rpc-listen", direct));
        args.extend(flag("operator-listen", SocketAddr::new(ip_addr, OPERATOR_PORT).to_string()));
        args.extend(flag("platform", platform.to_string()));
        args.extend(flag("source-ip", ip_addr.to_string()));
        args.extend(flag("seeds", self.seeds()));
        if kind == ProcessKind::Dispatch {
            return (env!("CARGO_BIN_EXE_ggb-dispatch"), args);
        }
        let advertise = SocketAddr::new(ip_addr, RELAY_PORT).to_string();
        args.extend(flag("rpc-advertise", advertise));
        args.extend(flag("http-listen", SocketAddr::new(ip_addr, DIRECT_HTTP_PORT).to_string()));
        (env!("CARGO_BIN_EXE_ggb-entry"), args)
    }

    /// Returns the value of `--seeds`: the addresses of the first entry process of each zone,
    /// comma-separated.
    fn seeds(&self) -> String {
        let first = |zone| SocketAddr::new(ip(self.net_octet, zone, 11), RELAY_PORT).to_string();
        (1..=3).map(first).collect::<Vec<_>>().join(",")
    }
}

fn ip(net_octet: u8, zone: u8, host: u8) -> IpAddr {
    Ipv4Addr::new(127, net_octet, zone, host).into()
}

/// Returns a second octet that no other scenario uses, and reserves it until this process
/// exits, since relays listen on its addresses until then.
fn reserve_octet() -> Result<u8, String> {
    for net_octet in 1..=250 {
        let lock = SocketAddr::new(ip(net_octet, PLATFORM_ZONE_OCTET, 1), LOCK_PORT);
        if let Ok(listener) = TcpListener::bind(lock) {
            std::mem::forget(listener);
            return Ok(net_octet);
        }
    }
    Err("no free loopback addresses".to_owned())
}
