//! The processes of one scenario, on loopback addresses of their own.
//!
//! Every process has an address `127.S.Z.N`: `S` is the scenario's own, `Z` stands
//! for the availability zone. What others connect to is a relay in front of the
//! process, which tells sources apart by address.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use ggb_http::{ClientLimits, HttpClient};
use ggb_membership::{Role, Vm, VmState};
use ggb_model::{Incarnation, TaskShape, Zone};
use ggb_platform::{ProfileStore, StoreTable};
use ggb_standin::{Endpoints, FleetStore, Relay};
use serde_json::Value;

use super::{language::WorldSize, process::Process};

const PLATFORM_ZONE: u8 = 100;
const CALLER_ZONE: u8 = 200;
const RELAYED_PORT: u16 = 7_100;
const RELAYED_HTTP_PORT: u16 = 7_000;
const PRIVATE_PORT: u16 = 17_100;
const PRIVATE_HTTP_PORT: u16 = 17_000;
const OPERATOR_PORT: u16 = 17_900;
const LOCK_PORT: u16 = 17_999;
const TARGET_MEMORY_MIB: u32 = 1_024;
const LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(10);

/// The kind of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `ggb-entry`.
    Entry,
    /// `ggb-dispatch`.
    Dispatch,
    /// `ggb-standin targets`.
    Target,
}

/// A process of the world.
pub struct Member {
    /// Its name in the scenario.
    pub name: String,
    /// Its kind.
    pub kind: Kind,
    /// Its address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: Zone,
    /// The process.
    pub process: Process,
}

impl Member {
    /// Returns the address at which the other processes reach it.
    pub fn addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, RELAYED_PORT)
    }

    /// Returns the address of an entry process for callers.
    pub fn http_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, RELAYED_HTTP_PORT)
    }

    /// Returns the operators' address, which no fault touches.
    pub fn operator_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OPERATOR_PORT)
    }

    /// Returns the address of a target that no relay stands in front of.
    pub fn private_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PRIVATE_PORT)
    }
}

/// All that runs in one scenario.
pub struct World {
    /// The first octets of its addresses.
    octet: u8,
    /// Where logs are.
    pub dir: PathBuf,
    /// The stand-in for the platform.
    pub platform: FleetStore,
    /// The relay in front of every process.
    pub relay: Relay,
    /// The processes.
    pub members: Vec<Member>,
    /// A client at the callers' address.
    pub client: Arc<HttpClient>,
    /// The profiles, reached past all faults of the network.
    pub store: ProfileStore,
    slots: u16,
}

impl World {
    /// Starts all processes and waits until every entry process sees every zone.
    pub async fn start(name: &str, size: &WorldSize) -> Result<Self, String> {
        let octet = free_octet()?;
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::remove_dir_all(&dir).ok();
        std::fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
        let private = SocketAddr::new(ip(octet, PLATFORM_ZONE, 1), PRIVATE_PORT);
        let platform = FleetStore::bind(private).await.map_err(|e| format!("{e:?}"))?;
        let relay = Relay::default();
        let relayed = SocketAddr::new(private.ip(), RELAYED_PORT);
        relay.bind(relayed, private).await.map_err(|e| format!("{e:?}"))?;
        let source_ip = Some(ip(octet, CALLER_ZONE, 1));
        let limits = ClientLimits { source_ip, idle_per_peer: 0, ..ClientLimits::default() };
        let client = Arc::new(HttpClient::new(limits));
        let store = ProfileStore::new(Arc::new(StoreTable::new(private, Arc::clone(&client))));
        let mut world = World {
            octet,
            dir,
            platform,
            relay,
            members: Vec::new(),
            client,
            store,
            slots: size.slots,
        };
        for zone in 1..=size.zones {
            for at in 1..=size.targets {
                world.add(Kind::Target, zone, at).await?;
            }
            for at in 1..=size.dispatchers {
                world.add(Kind::Dispatch, zone, at).await?;
            }
            for at in 1..=size.entries {
                world.add(Kind::Entry, zone, at).await?;
            }
        }
        let entries: Vec<_> = world.of_kind(Kind::Entry).map(|m| m.name.clone()).collect();
        for entry in entries {
            world.await_zones(&entry, size.zones.into()).await?;
        }
        Ok(world)
    }

    /// Starts one more process, behind the relay and on the list of VMs.
    pub async fn add(&mut self, kind: Kind, zone: u8, at: u8) -> Result<(), String> {
        let letter = char::from(b'a' + zone - 1);
        let zone_name: Zone = format!("zone-{letter}").parse().map_err(|e| format!("{e}"))?;
        let (prefix, host) = match kind {
            Kind::Entry => ("", 10 + at),
            Kind::Dispatch => ("d", 30 + at),
            Kind::Target => ("t", 50 + at),
        };
        let name = format!("{prefix}{letter}{at}");
        let own = ip(self.octet, zone, host);
        self.link(own, RELAYED_PORT, PRIVATE_PORT).await?;
        if kind == Kind::Entry {
            self.link(own, RELAYED_HTTP_PORT, PRIVATE_HTTP_PORT).await?;
        }
        let (program, args) = self.command(kind, own, &zone_name);
        let process = Process::start(program, args, &self.dir, &name)?;
        let member = Member { name, kind, ip: own, zone: zone_name, process };
        self.platform.list_vm(self.vm(&member));
        self.members.push(member);
        Ok(())
    }

    /// Returns the line of the platform's list for a process.
    pub fn vm(&self, member: &Member) -> Vm {
        Vm {
            role: match member.kind {
                Kind::Entry => Role::Entry,
                Kind::Dispatch => Role::Dispatch,
                Kind::Target => Role::Target,
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

    /// Returns a process by name.
    pub fn member(&self, name: &str) -> Result<&Member, String> {
        let found = self.members.iter().find(|member| member.name == name);
        found.ok_or_else(|| format!("no process `{name}`"))
    }

    /// Returns a process by name.
    pub fn member_mut(&mut self, name: &str) -> Result<&mut Member, String> {
        let found = self.members.iter_mut().find(|member| member.name == name);
        found.ok_or_else(|| format!("no process `{name}`"))
    }

    /// Returns all processes of a kind.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.kind == kind)
    }

    /// Returns the addresses that a word of a scenario stands for.
    pub fn endpoints(&self, word: &str) -> Result<Endpoints, String> {
        match word {
            "all" => Ok(Endpoints::Any),
            "platform" => Ok(Endpoints::Zone(PLATFORM_ZONE)),
            "callers" => Ok(Endpoints::Zone(CALLER_ZONE)),
            _ => match word.strip_prefix("zone-").map(str::as_bytes) {
                Some([letter @ b'a'..=b'z']) => Ok(Endpoints::Zone(letter - b'a' + 1)),
                _ => Ok(Endpoints::Ip(self.member(word)?.ip)),
            },
        }
    }

    /// Returns where targets write what they start.
    pub fn target_log(&self) -> PathBuf {
        self.dir.join("targets.jsonl")
    }

    /// Returns the status of a process, if it gives one.
    pub async fn status(&self, name: &str) -> Result<Value, String> {
        let addr = self.member(name)?.operator_addr();
        let reply = self.client.fetch(addr, "/status", 2_000).await;
        let reply = reply.map_err(|error| error.to_string())?;
        serde_json::from_slice(&reply.body).map_err(|error| error.to_string())
    }

    /// Waits until an entry process is connected to the dispatchers of this many zones.
    pub async fn await_zones(&self, name: &str, zones: usize) -> Result<(), String> {
        self.until(&format!("{name} sees {zones} zones"), async || {
            let status = self.status(name).await.unwrap_or_default();
            status["details"]["connected_zones"].as_array().map(Vec::len) == Some(zones)
        })
        .await
    }

    /// Waits until `done` returns true.
    pub async fn until(&self, what: &str, done: impl AsyncFn() -> bool) -> Result<(), String> {
        let limit = Instant::now() + LIMIT;
        while !done().await {
            if Instant::now() >= limit {
                return Err(format!("waited in vain until {what}"));
            }
            task::sleep(POLL).await;
        }
        Ok(())
    }

    async fn link(&self, own: IpAddr, relayed: u16, private: u16) -> Result<(), String> {
        let listen = SocketAddr::new(own, relayed);
        let upstream = SocketAddr::new(own, private);
        self.relay.bind(listen, upstream).await.map_err(|error| format!("{error:?}"))
    }

    fn command(&self, kind: Kind, own: IpAddr, zone: &Zone) -> (&'static str, Vec<String>) {
        let platform = SocketAddr::new(ip(self.octet, PLATFORM_ZONE, 1), RELAYED_PORT);
        let pair = |name: &str, value: String| vec![format!("--{name}"), value];
        let private = SocketAddr::new(own, PRIVATE_PORT).to_string();
        let mut args = Vec::new();
        if kind == Kind::Target {
            args.push("targets".to_owned());
            args.extend(pair("listen", private));
            args.extend(pair("zone", zone.to_string()));
            args.extend(pair("slots", self.slots.to_string()));
            args.extend(pair("log", self.target_log().to_string_lossy().into_owned()));
            return (env!("CARGO_BIN_EXE_ggb-standin"), args);
        }
        args.extend(pair("zone", zone.to_string()));
        args.extend(pair("rpc-listen", private));
        args.extend(pair("operator-listen", SocketAddr::new(own, OPERATOR_PORT).to_string()));
        args.extend(pair("platform", platform.to_string()));
        args.extend(pair("source-ip", own.to_string()));
        args.extend(pair("seeds", self.seeds()));
        if kind == Kind::Dispatch {
            return (env!("CARGO_BIN_EXE_ggb-dispatch"), args);
        }
        let advertise = SocketAddr::new(own, RELAYED_PORT).to_string();
        args.extend(pair("rpc-advertise", advertise));
        args.extend(pair("http-listen", SocketAddr::new(own, PRIVATE_HTTP_PORT).to_string()));
        (env!("CARGO_BIN_EXE_ggb-entry"), args)
    }

    /// Returns the first entry process of each zone.
    fn seeds(&self) -> String {
        let first = |zone| SocketAddr::new(ip(self.octet, zone, 11), RELAYED_PORT).to_string();
        (1..=3).map(first).collect::<Vec<_>>().join(",")
    }
}

fn ip(octet: u8, zone: u8, host: u8) -> IpAddr {
    Ipv4Addr::new(127, octet, zone, host).into()
}

/// Finds addresses that no other scenario uses, and locks them until this process ends,
/// since relays go on listening on them until then.
fn free_octet() -> Result<u8, String> {
    for octet in 1..=250 {
        let lock = SocketAddr::new(ip(octet, PLATFORM_ZONE, 1), LOCK_PORT);
        if let Ok(listener) = TcpListener::bind(lock) {
            std::mem::forget(listener);
            return Ok(octet);
        }
    }
    Err("no loopback addresses are free".to_owned())
}
