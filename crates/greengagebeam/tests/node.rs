//! Real `ggb-node` processes against a stand-in for the users' platform.

#[allow(dead_code, reason = "the scenarios use the rest")]
#[path = "harness/process.rs"]
mod process;

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use async_std::task;
use futures::future::join_all;
use ggb_http::{ClientLimits, HttpClient, Reply};
use ggb_placement::{Capacity, RunEnd};
use ggb_standin::{FleetStore, FleetStoreMode, FleetTarget, FleetWork, RunRecord};
use http_types::{Method, StatusCode};
use nix::sys::signal::Signal;
use process::Process;
use serde_json::{Value, json};

const HOST: &str = "desk.example";
const PREFIX: &str = "/desk/";
const CALLER_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const PEER_PORT: u16 = 7720;

/// How long a case waits for what has to come about; far longer than it takes.
const PATIENCE_MS: u64 = 60_000;

struct Node {
    ip: IpAddr,
    settings: PathBuf,
    process: Process,
}

/// Two zones with two nodes and two targets each.
struct Fleet {
    /// The second byte of all addresses, so that cases don't meet.
    net: u8,
    dir: PathBuf,
    store: FleetStore,
    targets: Vec<FleetTarget>,
    nodes: Vec<Node>,
    client: HttpClient,
}

impl Fleet {
    async fn spawn(net: u8) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("node-{net}"));
        fs::create_dir_all(&dir).expect("the case is set up right");
        let addr =
            |zone, host, port| SocketAddr::new(Ipv4Addr::new(127, net, zone, host).into(), port);
        let store = FleetStore::bind(addr(9, 1, 0)).await.expect("the case is set up right");
        let capacity = Capacity { cpu_milli: 32_000, memory_mb: 131_072, gpus: 0 };
        let mut targets = Vec::new();
        for zone in 0..2_u8 {
            for number in 0..2_u8 {
                let id = format!("i-{zone}{number}");
                let target = FleetTarget::bind(&id, addr(zone, 100 + number, 0), capacity);
                let target = target.await.expect("the case is set up right");
                let entry = target.entry("svc", &format!("zone-{zone}"), "ready");
                store.put("servers", &id, entry.to_string().as_bytes());
                targets.push(target);
            }
        }
        let limits = ClientLimits { idle_per_peer: 0, ..ClientLimits::default() };
        let client = HttpClient::new(limits);
        let mut fleet = Fleet { net, dir, store, targets, nodes: Vec::new(), client };
        fleet.configure(1, &[PREFIX]);
        for zone in 0..2 {
            for number in 1..3 {
                fleet.add_node(zone, number);
            }
        }
        for at in 0..fleet.nodes.len() {
            fleet.until_ready(at).await;
        }
        fleet
    }

    fn configure(&self, version: u64, prefixes: &[&str]) {
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
            "services": [{ "name": "svc" }],
            "limits": { "maxBodyBytes": 262_144 },
        });
        self.store.put("op", "config", configuration.to_string().as_bytes());
    }

    fn add_node(&mut self, zone: u8, number: u8) {
        let ip = Ipv4Addr::new(127, self.net, zone, number);
        let settings = self.dir.join(format!("{zone}-{number}.toml"));
        fs::write(&settings, self.settings(zone, number, ip)).expect("the case is set up right");
        let args = vec!["--settings".to_owned(), settings.display().to_string()];
        let name = format!("node-{zone}-{number}");
        let process = Process::start(env!("CARGO_BIN_EXE_ggb-node"), args, &self.dir, &name)
            .expect("the case is set up right");
        self.nodes.push(Node { ip: ip.into(), settings, process });
    }

    fn settings(&self, zone: u8, number: u8, ip: Ipv4Addr) -> String {
        let store = self.store.local_addr();
        format!(
            "nodeName = \"n-{zone}-{number}\"\nip = \"{ip}\"\nzone = \"zone-{zone}\"\n\
             portRange = [{PEER_PORT}, {PEER_PORT}]\nseeds = []\n\
             [zones]\nzone-0 = \"r\"\nzone-1 = \"r\"\n\
             [listenAddrs]\nfront = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\n[bounds]\ngraceS = 6\n\
             [platform]\naddress = \"{store}\"\n"
        )
    }

    async fn until_ready(&self, node: usize) {
        let addr = SocketAddr::new(self.nodes[node].ip, READY_PORT);
        self.until("a node is ready", || async {
            let reply = self.client.fetch(addr, "/v1/ready", 1_000).await;
            reply.is_ok_and(|reply| reply.status == StatusCode::Ok)
        })
        .await;
    }

    async fn until<F: Future<Output = bool>>(&self, what: &str, holds: impl Fn() -> F) {
        for _ in 0..PATIENCE_MS / 20 {
            if holds().await {
                return;
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        panic!("did not come about: {what}");
    }

    async fn call(&self, node: usize, method: Method, path: &str, body: Vec<u8>) -> Option<Reply> {
        let addr = SocketAddr::new(self.nodes[node].ip, CALLER_PORT);
        let headers = [("Host", HOST)];
        self.client.send_with(addr, method, path, &headers, body, PATIENCE_MS).await.ok()
    }

    async fn submit(&self, node: usize, job: u64, tasks: u16, work_ms: u64) -> Option<Reply> {
        let demand = Capacity { cpu_milli: 14_000, memory_mb: 64, gpus: 0 };
        self.submit_work(node, job, tasks, FleetWork { demand, work_ms, fails: false }).await
    }

    async fn submit_work(
        &self,
        node: usize,
        job: u64,
        tasks: u16,
        work: FleetWork,
    ) -> Option<Reply> {
        let body = json!({
            "spec": serde_json::to_string(&work).expect("the case is set up right"),
            "bestEffort": true,
            "steps": [{
                "count": tasks, "cpu": work.demand.cpu_milli, "memMb": work.demand.memory_mb,
                "estimateMs": work.work_ms,
            }],
        });
        let path = format!("{PREFIX}{job:016x}");
        self.call(node, Method::Post, &path, body.to_string().into_bytes()).await
    }

    fn records(&self) -> Vec<RunRecord> {
        let mut records: Vec<RunRecord> =
            self.targets.iter().flat_map(FleetTarget::records).collect();
        records.sort_by_key(|record| (record.run.task, record.began_at_ms));
        records
    }

    /// Fails if a task ran twice at the same time.
    fn check(&self) {
        for pair in self.records().windows(2) {
            let same_task = pair[0].run.task == pair[1].run.task;
            assert!(!same_task || pair[0].ended_at_ms <= pair[1].began_at_ms, "{pair:?}");
        }
    }

    /// Fails unless each task of the job has ended as done.
    fn check_done(&self, job: u64, tasks: u16) {
        let id = format!("{job:016x}");
        let records = self.records();
        let done = records
            .iter()
            .filter(|record| record.run.task.job.as_str() == id && record.end == RunEnd::Done);
        assert!(done.count() >= usize::from(tasks), "job {id}: {records:?}");
    }
}

fn state(reply: &Reply) -> Option<String> {
    let body: Value = serde_json::from_slice(&reply.body).ok()?;
    Some(body.get("state")?.as_str()?.to_owned())
}

fn assert_completed(reply: Option<Reply>) {
    let reply = reply.expect("the connection was closed without an answer");
    assert_eq!((reply.status, state(&reply).as_deref()), (StatusCode::Ok, Some("completed")));
}

macro_rules! cases {
    ($($name:ident($net:literal, $fleet:ident) $body:block)+) => {
        $(
            #[async_std::test]
            async fn $name() {
                let mut $fleet = Fleet::spawn($net).await;
                $body
                $fleet.check();
                drop(std::mem::take(&mut $fleet.nodes));
            }
        )+
    };
}

cases! {
    every_node_serves_jobs(51, fleet) {
        for node in 0..4 {
            assert_completed(fleet.submit(node, node as u64, 2, 30).await);
            fleet.check_done(node as u64, 2);
        }
    }

    a_job_wider_than_its_zone_uses_the_other_one(52, fleet) {
        assert_completed(fleet.submit(0, 7, 8, 200).await);
        fleet.check_done(7, 8);
    }

    a_job_that_always_fails_is_said_to_have_failed(53, fleet) {
        let demand = Capacity { cpu_milli: 14_000, memory_mb: 64, gpus: 0 };
        let work = FleetWork { demand, work_ms: 10, fails: true };
        let reply = fleet.submit_work(1, 7, 1, work).await.unwrap();
        assert_eq!(state(&reply).as_deref(), Some("failed"));
        assert_eq!(fleet.records().len(), 3);
    }

    what_is_not_offered_or_not_known_is_refused(54, fleet) {
        let kept = json!({ "spec": "x", "steps": [{ "count": 1 }] }).to_string().into_bytes();
        let path = format!("{PREFIX}{:016x}", 1);
        let reply = fleet.call(0, Method::Post, &path, kept).await.unwrap();
        assert_eq!(reply.status, StatusCode::ServiceUnavailable);
        let reply = fleet.call(0, Method::Post, "/other/00000000000000aa", Vec::new()).await;
        assert_eq!(reply.unwrap().status, StatusCode::NotFound);
        let reply = fleet.call(0, Method::Post, &path, b"{".to_vec()).await.unwrap();
        assert_eq!(reply.status, StatusCode::BadRequest);
        let reply = fleet.call(0, Method::Get, &path, Vec::new()).await.unwrap();
        assert_eq!(reply.status, StatusCode::Gone);
        let reply = fleet.call(0, Method::Get, PREFIX, Vec::new()).await.unwrap();
        assert_eq!(reply.status, StatusCode::Ok);
        assert_eq!(fleet.records().len(), 0);
    }

    a_new_configuration_is_in_force_on_every_node(55, fleet) {
        fleet.configure(4, &[PREFIX, "/added/"]);
        for node in 0..4 {
            fleet.until("the added queue is known", || async {
                let reply = fleet.call(node, Method::Get, "/added/", Vec::new()).await;
                reply.is_some_and(|reply| reply.status == StatusCode::Ok)
            }).await;
        }
    }

    the_store_may_be_away(56, fleet) {
        fleet.store.set_mode(FleetStoreMode::Down);
        for node in 0..4 {
            assert_completed(fleet.submit(node, node as u64, 2, 30).await);
        }
        fleet.store.compact();
        fleet.configure(9, &[PREFIX, "/later/"]);
        fleet.store.set_mode(FleetStoreMode::Up);
        fleet.until("the later queue is known", || async {
            let reply = fleet.call(3, Method::Get, "/later/", Vec::new()).await;
            reply.is_some_and(|reply| reply.status == StatusCode::Ok)
        }).await;
    }

    entries_of_other_writers_name_no_target(57, fleet) {
        fleet.store.put("servers", "i-bad", b"{\"service\":7}");
        fleet.store.put("servers", "i-worse", &[0xff, 0x00]);
        fleet.store.put("servers", "i-other", b"{\"service\":\"svc\",\"address\":\"nowhere\"}");
        for job in 0..4 {
            assert_completed(fleet.submit(job as usize, job, 2, 30).await);
        }
    }

    a_node_that_is_stopped_cuts_off_nothing(58, fleet) {
        let jobs: Vec<u64> = (0..8).collect();
        let answers = join_all(jobs.iter().map(|job| fleet.submit(*job as usize % 4, *job, 2, 400)));
        let stopping = async {
            task::sleep(Duration::from_millis(150)).await;
            fleet.nodes[0].process.signal(Signal::SIGTERM).unwrap();
        };
        let (answers, ()) = futures::join!(answers, stopping);
        answers.into_iter().for_each(assert_completed);
        jobs.iter().for_each(|job| fleet.check_done(*job, 2));
    }

    jobs_outlive_the_owner_of_their_zone(59, fleet) {
        let jobs: Vec<u64> = (0..6).collect();
        let answers = join_all(jobs.iter().map(|job| fleet.submit(1, *job, 1, 900)));
        let killing = async {
            task::sleep(Duration::from_millis(200)).await;
            fleet.nodes[0].process.signal(Signal::SIGKILL).unwrap();
        };
        let (answers, ()) = futures::join!(answers, killing);
        answers.into_iter().for_each(assert_completed);
        jobs.iter().for_each(|job| fleet.check_done(*job, 1));
    }

    a_frozen_owner_is_replaced(60, fleet) {
        fleet.nodes[0].process.signal(Signal::SIGSTOP).unwrap();
        assert_completed(fleet.submit(1, 5, 2, 50).await);
        fleet.nodes[0].process.signal(Signal::SIGCONT).unwrap();
        fleet.until_ready(0).await;
        assert_completed(fleet.submit(0, 6, 2, 50).await);
    }

    a_node_that_boots_while_the_store_is_away_serves(62, fleet) {
        fleet.store.set_mode(FleetStoreMode::Down);
        fleet.nodes[0].process.kill();
        fleet.nodes[0].process.restart().unwrap();
        fleet.until_ready(0).await;
        fleet.nodes[1].process.kill();
        fleet.until("the new owner serves", || async {
            let reply = fleet.submit(0, 5, 2, 50).await;
            reply.is_some_and(|reply| state(&reply).as_deref() == Some("completed"))
        }).await;
        fleet.check_done(5, 2);
    }

    settings_are_read_again(61, fleet) {
        let settings = fs::read_to_string(&fleet.nodes[2].settings).unwrap();
        fs::write(&fleet.nodes[2].settings, settings.replace("graceS = 6", "graceS = 5")).unwrap();
        fleet.nodes[2].process.signal(Signal::SIGHUP).unwrap();
        assert_completed(fleet.submit(2, 5, 2, 50).await);
        fs::write(&fleet.nodes[2].settings, "nonsense").unwrap();
        fleet.nodes[2].process.signal(Signal::SIGHUP).unwrap();
        assert_completed(fleet.submit(2, 6, 2, 50).await);
        assert_eq!(fleet.nodes[2].process.exited(), None);
    }
}
