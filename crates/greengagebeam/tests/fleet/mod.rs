//! Cluster of real `ggb-node` processes on loopback, with stand-ins for the platform.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use async_std::task;
use ggb_http::{ClientOptions, HttpClient, Reply};
use ggb_membership::{MessageSender, RecipientTime};
use ggb_placement::Capacity;
use ggb_standin::{Relay, RunRecord, RunSpec, RunTargetStandin, StoreStandin};
use http_types::{Method, StatusCode};
use serde_json::{Value, json};

use crate::process::Process;

pub const HOST: &str = "desk.example";
pub const PATH_PREFIX: &str = "/desk/";
const CALLER_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
pub const PEER_PORT: u16 = 7720;
const OPERATOR_PORT: u16 = 9464;

/// Offset of the last octet of a node's bind address from that of the address given to peers.
const BIND_OFFSET: u8 = 50;

/// Last octet of the bind address of a zone's first target; the others follow.
const FIRST_TARGET_OCTET: u8 = 100;

/// Last octet of the address of the relay of a zone's first target; the others follow.
const FIRST_TARGET_RELAY_OCTET: u8 = 150;

/// Third octet of the store's addresses.
const STORE_ZONE: u8 = 9;

/// Timeout of waits, far longer than the awaited conditions take.
pub const WAIT_TIMEOUT_MS: u64 = 60_000;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub zones: u8,
    pub nodes_per_zone: u8,
    pub targets_per_zone: u8,
}

/// A job that a test sends as a peer would.
pub struct PeerJob {
    pub sender: MessageSender,
    pub job: u64,
    /// Number of the part, if it is part of a job.
    pub part: Option<u64>,
    /// What the sender knows of the recipient's clock; `None` from a build that does not report it.
    pub recipient_time: Option<RecipientTime>,
}

pub struct Node {
    pub zone: u8,
    /// Address to which peers and callers connect.
    pub ip: IpAddr,
    /// Address on which the node listens for peers, and the source address of its connections.
    pub bind_ip: IpAddr,
    pub settings: PathBuf,
    pub process: Process,
}

pub struct Target {
    pub zone: u8,
    pub standin: RunTargetStandin,
    /// Address at which nodes reach the target.
    addr: SocketAddr,
}

/// Nodes and targets in one or several zones, with the platform's store.
pub struct Fleet {
    /// Second octet of all addresses, unique to the test.
    net_octet: u8,
    pub dir: PathBuf,
    pub store: StoreStandin,
    /// Address at which nodes reach the store.
    store_addr: SocketAddr,
    pub targets: Vec<Target>,
    pub nodes: Vec<Node>,
    pub client: HttpClient,
    /// Relay between the nodes, the targets and the store, if any.
    relay: Option<Relay>,
}

impl Fleet {
    /// Starts a fleet whose processes connect to each other directly.
    pub async fn spawn(net_octet: u8, size: FleetSize) -> Self {
        Fleet::build(net_octet, size, None).await
    }

    /// Starts a fleet whose internal traffic passes through `relay`.
    pub async fn spawn_behind_relay(relay: Relay, net_octet: u8, size: FleetSize) -> Self {
        Fleet::build(net_octet, size, Some(relay)).await
    }

    async fn build(net_octet: u8, size: FleetSize, relay: Option<Relay>) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("node-{net_octet}"));
        // Removes files of an earlier run of the test.
        fs::remove_dir_all(&dir).ok();
        fs::create_dir_all(&dir).expect("create the log directory");
        let store = StoreStandin::bind(addr(net_octet, STORE_ZONE, 1, 0)).await;
        let store = store.expect("bind the store stand-in");
        let mut fleet = Fleet {
            net_octet,
            dir,
            store_addr: store.local_addr(),
            store,
            targets: Vec::new(),
            nodes: Vec::new(),
            client: HttpClient::new(ClientOptions {
                max_idle_per_peer: 0,
                ..ClientOptions::default()
            }),
            relay,
        };
        if let Some(relay) = &fleet.relay {
            let listen = addr(net_octet, STORE_ZONE, 2, fleet.store_addr.port());
            relay.bind(listen, fleet.store_addr).await.expect("bind the relay of the store");
            fleet.store_addr = listen;
        }
        for zone in 0..size.zones {
            for number in 0..size.targets_per_zone {
                fleet.add_target(zone, number).await;
            }
        }
        fleet.configure(1, &[PATH_PREFIX]);
        for zone in 0..size.zones {
            for number in 0..size.nodes_per_zone {
                fleet.add_node(zone, number + 1).await;
            }
        }
        for index in 0..fleet.nodes.len() {
            fleet.wait_until_ready(index).await;
        }
        fleet
    }

    async fn add_target(&mut self, zone: u8, number: u8) {
        let capacity = Capacity { cpu_milli: 32_000, memory_mb: 131_072, gpus: 0 };
        let bind_addr = addr(self.net_octet, zone, FIRST_TARGET_OCTET + number, 0);
        let standin =
            RunTargetStandin::bind(&format!("i-{zone}{number}"), bind_addr, capacity).await;
        let standin = standin.expect("bind the target stand-in");
        let mut target_addr = standin.local_addr();
        if let Some(relay) = &self.relay {
            target_addr =
                addr(self.net_octet, zone, FIRST_TARGET_RELAY_OCTET + number, target_addr.port());
            relay
                .bind(target_addr, standin.local_addr())
                .await
                .expect("bind the relay of the target");
        }
        self.targets.push(Target { zone, standin, addr: target_addr });
        self.list_target(self.targets.len() - 1, "ready");
    }

    /// Writes a target's entry with this state to the list of targets.
    pub fn list_target(&self, index: usize, state: &str) {
        self.put_target_entry(index, &self.target_entry(index, state));
    }

    /// Writes a target's entry with this capacity to the list of targets.
    pub fn list_target_with_capacity(&self, index: usize, capacity: Capacity) {
        let mut entry = self.target_entry(index, "ready");
        entry["capacity"] = json!({
            "cpu": capacity.cpu_milli, "memMb": capacity.memory_mb, "gpu": capacity.gpus,
        });
        self.put_target_entry(index, &entry);
    }

    /// Returns a target's entry with this state, as it is in the list of targets.
    pub fn target_entry(&self, index: usize, state: &str) -> Value {
        let Target { zone, standin, addr } = &self.targets[index];
        standin.registry_entry(*addr, "svc", &format!("zone-{zone}"), state)
    }

    fn put_target_entry(&self, index: usize, entry: &Value) {
        self.store.put("servers", self.targets[index].standin.id(), entry.to_string().as_bytes());
    }

    pub fn configure(&self, version: u64, prefixes: &[&str]) {
        let routes = prefixes.iter().map(|prefix| {
            json!({
                "name": prefix, "host": HOST, "pathPrefix": prefix, "kind": "unsafe",
                "timeoutMs": 1500, "targetLatencyMs": 30_000, "priority": 0, "service": "svc",
                "maxAttempts": 3, "stretch": 1.6,
            })
        });
        let configuration = json!({
            "version": version,
            "routes": routes.collect::<Vec<_>>(),
            "services": [{ "name": "svc", "enforcesCapacity": true }],
            "limits": { "maxBodyBytes": 262_144 },
        });
        self.store.put("op", "config", configuration.to_string().as_bytes());
    }

    async fn add_node(&mut self, zone: u8, number: u8) {
        let ip = addr(self.net_octet, zone, number, PEER_PORT);
        let bind = match &self.relay {
            Some(relay) => {
                let bind = addr(self.net_octet, zone, number + BIND_OFFSET, PEER_PORT);
                relay.bind(ip, bind).await.expect("bind the relay of the node");
                relay.bind_datagrams(ip, bind).await.expect("bind the datagram relay of the node");
                bind
            }
            None => ip,
        };
        let settings = self.dir.join(format!("{zone}-{number}.toml"));
        let text = self.settings(zone, number, ip.ip());
        fs::write(&settings, text).expect("write the settings file");
        let mut args = vec!["--settings".to_owned(), settings.display().to_string()];
        if self.relay.is_some() {
            args.extend(["--bind-ip".to_owned(), bind.ip().to_string()]);
        }
        let name = format!("node-{zone}-{number}");
        let process = Process::start(env!("CARGO_BIN_EXE_ggb-node"), args, &self.dir, &name)
            .expect("start the node");
        self.nodes.push(Node { zone, ip: ip.ip(), bind_ip: bind.ip(), settings, process });
    }

    fn settings(&self, zone: u8, number: u8, ip: IpAddr) -> String {
        let store = self.store_addr;
        format!(
            "nodeName = \"n-{zone}-{number}\"\nip = \"{ip}\"\nzone = \"zone-{zone}\"\n\
             portRange = [{PEER_PORT}, {PEER_PORT}]\nseeds = []\n\
             [zones]\nzone-0 = \"r\"\nzone-1 = \"r\"\nzone-2 = \"r\"\n\
             [listenAddrs]\nfront = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\n[bounds]\ngraceS = 6\nevacuateMs = 5000\n\
             [platform]\naddress = \"{store}\"\n"
        )
    }

    pub async fn wait_until_ready(&self, node: usize) {
        let addr = SocketAddr::new(self.nodes[node].ip, READY_PORT);
        self.wait_until("a node is ready", || async {
            let reply = self.client.get(addr, "/v1/ready", 1_000).await;
            reply.is_ok_and(|reply| reply.status == StatusCode::Ok)
        })
        .await;
    }

    pub async fn wait_until<F: Future<Output = bool>>(
        &self,
        description: &str,
        condition: impl Fn() -> F,
    ) {
        for _ in 0..WAIT_TIMEOUT_MS / 20 {
            if condition().await {
                return;
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        panic!("timed out waiting until {description}");
    }

    /// Returns the address on which a node accepts requests of callers.
    pub fn caller_addr(&self, node: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[node].ip, CALLER_PORT)
    }

    pub async fn call(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Option<Reply> {
        let addr = self.caller_addr(node);
        let headers = [("Host", HOST)];
        self.client
            .send_with_headers(addr, method, path, &headers, body, WAIT_TIMEOUT_MS)
            .await
            .ok()
    }

    pub async fn submit(&self, node: usize, job: u64, tasks: u16, work_ms: u64) -> Option<Reply> {
        self.submit_with_spec(node, job, tasks, run_spec(work_ms)).await
    }

    pub async fn submit_with_spec(
        &self,
        node: usize,
        job: u64,
        tasks: u16,
        run_spec: RunSpec,
    ) -> Option<Reply> {
        let path = format!("{PATH_PREFIX}{job:016x}");
        self.call(node, Method::Post, &path, job_body(&[tasks], run_spec)).await
    }

    /// Submits a job of one short task whose caller waits for `deadline_ms`.
    pub async fn submit_with_deadline(
        &self,
        node: usize,
        job: u64,
        deadline_ms: u64,
    ) -> Option<Reply> {
        let path = format!("{PATH_PREFIX}{job:016x}");
        let deadline_ms = deadline_ms.to_string();
        let headers = [("Host", HOST), ("Greengagebeam-Deadline-Ms", deadline_ms.as_str())];
        let body = job_body(&[1], run_spec(10));
        let addr = self.caller_addr(node);
        self.client
            .send_with_headers(addr, Method::Post, &path, &headers, body, WAIT_TIMEOUT_MS)
            .await
            .ok()
    }

    /// Submits a job of one task to a node as a peer would; returns the answer.
    pub async fn submit_as_peer(&self, node: SocketAddr, message: &PeerJob) -> Value {
        let PeerJob { sender, job, part, recipient_time } = message;
        let run_spec = run_spec(10);
        let mut message = json!({
            "sender": sender,
            "submission": {
                "job": {
                    "id": format!("{job:016x}"),
                    "spec": serde_json::to_string(&run_spec).expect("the run spec serializes"),
                    "steps": [{
                        "count": 1, "demand": run_spec.demand, "estimate_ms": 10, "after": [],
                        "required_label": null, "near_rack": null, "per_target_max": null,
                    }],
                },
                "queue": {
                    "name": "q", "service": "svc", "priority": 0, "max_attempts": 3,
                    "stretch": 1.6, "target_latency_ms": 30_000,
                },
                "earlier_runs": "none", "part": part, "done": [], "held_under": null,
                "waited_ms": 0, "deadline_ms": 10_000,
            },
        });
        if let Some(recipient_time) = recipient_time {
            message["recipient_time"] = json!(recipient_time);
        }
        let request =
            self.client.post(node, "/jobs", message.to_string().into_bytes(), WAIT_TIMEOUT_MS);
        let reply = request.await.expect("the node responds");
        serde_json::from_slice(&reply.body).expect("the response is JSON")
    }

    /// Returns the status of a node as operators see it; null if there is no answer.
    pub async fn status(&self, node: usize) -> Value {
        let addr = SocketAddr::new(self.nodes[node].bind_ip, OPERATOR_PORT);
        let Ok(reply) = self.client.get(addr, "/status", WAIT_TIMEOUT_MS).await else {
            return Value::Null;
        };
        let mut status: Value = serde_json::from_slice(&reply.body).expect("the status is JSON");
        status["details"].take()
    }

    /// Returns the value of a metric of a node, which has these labels in the text format.
    pub async fn metric(&self, node: usize, name_and_labels: &str) -> Option<u64> {
        let addr = SocketAddr::new(self.nodes[node].bind_ip, OPERATOR_PORT);
        let reply = self.client.get(addr, "/metrics", WAIT_TIMEOUT_MS).await.ok()?;
        let text = String::from_utf8(reply.body).expect("metrics are text");
        let mut values = text.lines().filter_map(|line| line.strip_prefix(name_and_labels));
        values.next().map(|value| value.trim().parse().expect("the metric is a count"))
    }

    /// Returns the runs on all targets, sorted by task and start time.
    pub fn run_records(&self) -> Vec<RunRecord> {
        let targets = self.targets.iter();
        let mut run_records: Vec<_> = targets.flat_map(|target| target.standin.records()).collect();
        run_records.sort_by_key(|record| (record.run.task, record.started_at_ms));
        run_records
    }

    /// Panics if two runs of one task overlapped in time.
    pub fn assert_no_concurrent_runs(&self) {
        assert_eq!(concurrent_runs(&self.run_records()), []);
    }
}

fn addr(net_octet: u8, zone: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(127, net_octet, zone, host).into(), port)
}

/// Returns the pairs of runs of one task that overlapped in time.
///
/// The records must be sorted by task and start time.
pub fn concurrent_runs(run_records: &[RunRecord]) -> Vec<(RunRecord, RunRecord)> {
    let mut pairs = Vec::new();
    for (index, first) in run_records.iter().enumerate() {
        let later = run_records[index + 1..].iter();
        let same_task = later.take_while(|second| second.run.task == first.run.task);
        let overlaps = same_task.filter(|second| second.started_at_ms < first.ended_at_ms);
        pairs.extend(overlaps.map(|second| (*first, *second)));
    }
    pairs
}

/// Returns the specification of runs that succeed after `work_ms`.
pub fn run_spec(work_ms: u64) -> RunSpec {
    let demand = Capacity { cpu_milli: 14_000, memory_mb: 64, gpus: 0 };
    RunSpec { demand, work_ms, fails: false, crashes: false }
}

/// Returns the request body of a job.
///
/// Step `i` has `steps[i]` tasks and depends on the step before it. All tasks run `run_spec`.
pub fn job_body(steps: &[u16], run_spec: RunSpec) -> Vec<u8> {
    let steps = steps.iter().enumerate().map(|(number, count)| {
        json!({
            "count": count, "cpu": run_spec.demand.cpu_milli, "memMb": run_spec.demand.memory_mb,
            "estimateMs": run_spec.work_ms, "after": number.checked_sub(1).into_iter().collect::<Vec<_>>(),
        })
    });
    let body = json!({
        "spec": serde_json::to_string(&run_spec).expect("the run spec serializes"),
        "bestEffort": true,
        "steps": steps.collect::<Vec<_>>(),
    });
    body.to_string().into_bytes()
}

/// Returns the job state in a response, if it has one.
pub fn job_state(reply: &Reply) -> Option<String> {
    let body: Value = serde_json::from_slice(&reply.body).ok()?;
    Some(body.get("state")?.as_str()?.to_owned())
}
