//! Runs the whole system in one process as a demonstration.

use std::{net::SocketAddr, time::Duration};

use async_std::task;
use bpaf::Bpaf;
use ggb_config::{Change, ChangeContext};
use ggb_control::unix_time_ms;
use ggb_dispatch::{DispatchSettings, Dispatcher};
use ggb_entry::{EntryProcess, EntrySettings, PlacementPolicy};
use ggb_http::{ClientOptions, HttpClient};
use ggb_membership::{Role, Vm, VmState};
use ggb_model::{Incarnation, Priority, Profile, Settings, TaskShape, Zone};
use ggb_platform::{ProfileStore, StoreTable};
use ggb_policy::SchedulerOptions;
use ggb_session::SessionLimits;
use ggb_standin::{StoreStandin, TargetMode, TargetOptions, TargetStandin};
use ggb_telemetry::{LogFormat, init_logs};
use greengagebeam::{ExitCode, exit_with, termination_signal};
use serde_json::{Value, json};

const ZONES: [&str; 3] = ["qc-east-a", "qc-east-b", "qc-east-c"];
const ENTRIES_PER_ZONE: usize = 2;
const TARGETS_PER_ZONE: usize = 4;
const SLOTS_PER_TARGET: u16 = 8;
const TARGET_MEMORY_MIB: u32 = 131_072;
const CALL_TIMEOUT_MS: u64 = 30_000;
const READY_POLL_INTERVAL_MS: u64 = 50;
const DEMO_TASK_COUNT: usize = 110;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Runs the whole system in one process on embedded stand-ins, as a demonstration
///
/// Creates two profiles, submits a job of 110 tasks, prints the answer and serves until
/// interrupted.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct DemoArgs {
    /// The HTTP port of the first entry process; the others use the following ports
    #[bpaf(long, argument("PORT"), fallback(7100), display_fallback)]
    port: u16,
    /// Exit after the first job instead of serving until interrupted
    #[bpaf(long, switch)]
    once: bool,
}

/// Running parts of the system.
struct Demo {
    platform: StoreStandin,
    _targets: Vec<TargetStandin>,
    _dispatchers: Vec<Dispatcher>,
    entries: Vec<EntryProcess>,
}

#[async_std::main]
async fn main() {
    let args = demo_args().run();
    init_logs(LogFormat::Human, "warn").ok();
    let stop = termination_signal().unwrap_or_else(|error| exit_with(ExitCode::Failed, error));
    let demo = match run(&args).await {
        Ok(demo) => demo,
        Err(error) => exit_with(ExitCode::Failed, error),
    };
    if args.once {
        return;
    }
    print_help(&demo);
    stop.recv().await.ok();
}

async fn run(args: &DemoArgs) -> Result<Demo, BoxError> {
    let demo = start(args.port).await?;
    create_profiles(demo.platform.local_addr()).await?;
    let client = HttpClient::new(ClientOptions::default());
    for entry in &demo.entries {
        wait_until_ready(&client, entry.operator_addr()).await?;
    }
    let session_addr = demo.entries[0].http_addr();
    let submit_addr = demo.entries[rand::random_range(0..demo.entries.len())].http_addr();
    println!(
        "opening a session at {session_addr}, submitting {DEMO_TASK_COUNT} tasks at {submit_addr}"
    );
    let answer = submit(&client, session_addr, submit_addr).await?;
    print_answer(&answer)?;
    Ok(demo)
}

async fn start(port: u16) -> Result<Demo, BoxError> {
    let platform = StoreStandin::bind(loopback(0)).await?;
    let (mut targets, mut dispatchers, mut entries) = (Vec::new(), Vec::new(), Vec::new());
    for (zone_index, name) in ZONES.iter().enumerate() {
        let zone: Zone = name.parse()?;
        for _ in 0..TARGETS_PER_ZONE {
            let options = TargetOptions {
                addr: loopback(0),
                slots: SLOTS_PER_TARGET,
                mode: TargetMode::Normal,
                log: None,
            };
            let target = TargetStandin::bind(options).await?;
            platform.list_vm(vm(Role::Target, &zone, target.local_addr(), SLOTS_PER_TARGET));
            targets.push(target);
        }
        let dispatcher = Dispatcher::spawn(dispatch_settings(&zone, platform.local_addr())).await?;
        platform.list_vm(vm(Role::Dispatch, &zone, dispatcher.rpc_addr(), 0));
        dispatchers.push(dispatcher);
        for index in 0..ENTRIES_PER_ZONE {
            let port = port + (zone_index * ENTRIES_PER_ZONE + index) as u16;
            let settings = entry_settings(&zone, port, platform.local_addr());
            let entry = EntryProcess::spawn(settings).await?;
            platform.list_vm(vm(Role::Entry, &zone, entry.rpc_addr(), 0));
            entries.push(entry);
        }
    }
    Ok(Demo { platform, _targets: targets, _dispatchers: dispatchers, entries })
}

fn dispatch_settings(zone: &Zone, platform: SocketAddr) -> DispatchSettings {
    DispatchSettings {
        zone: zone.clone(),
        rpc_listen: loopback(0),
        operator_listen: loopback(0),
        platform_addr: platform,
        seeds: Vec::new(),
        source_ip: None,
        options: SchedulerOptions::default(),
    }
}

fn entry_settings(zone: &Zone, port: u16, platform: SocketAddr) -> EntrySettings {
    EntrySettings {
        zone: zone.clone(),
        remote_zones: Vec::new(),
        http_listen: loopback(port),
        rpc_listen: loopback(0),
        rpc_advertise: None,
        operator_listen: loopback(0),
        platform_addr: platform,
        seeds: Vec::new(),
        source_ip: None,
        max_body_bytes: 16 << 20,
        max_answer_bytes: 8 << 20,
        max_connections: 1_024,
        limits: SessionLimits::default(),
        placement: PlacementPolicy::Leases,
    }
}

async fn create_profiles(platform: SocketAddr) -> Result<(), BoxError> {
    let client = std::sync::Arc::new(HttpClient::new(ClientOptions::default()));
    let store = ProfileStore::new(std::sync::Arc::new(StoreTable::new(platform, client)));
    for (name, priority) in [("bookings", Priority::Urgent), ("reports", Priority::Standard)] {
        let settings = Settings { priority, ..Settings::default() };
        let profile = Profile::try_new(name.parse()?, settings)?;
        let change_id = format!("demo-{:016x}", rand::random::<u64>());
        let context = ChangeContext::new("demo", change_id, unix_time_ms());
        store.change(Change::Create(profile), &context).await?;
    }
    Ok(())
}

async fn wait_until_ready(client: &HttpClient, operator: SocketAddr) -> Result<(), BoxError> {
    loop {
        let reply = client.get(operator, "/status", CALL_TIMEOUT_MS).await?;
        let status: Value = serde_json::from_slice(&reply.body)?;
        let zones = status["details"]["connected_zones"].as_array().map_or(0, Vec::len);
        if zones == ZONES.len() && status["details"]["generation"] == json!(2) {
            return Ok(());
        }
        task::sleep(Duration::from_millis(READY_POLL_INTERVAL_MS)).await;
    }
}

async fn submit(
    client: &HttpClient,
    session_addr: SocketAddr,
    submit_addr: SocketAddr,
) -> Result<Value, BoxError> {
    let opened = client.post(session_addr, "/v1/sessions", Vec::new(), CALL_TIMEOUT_MS).await?;
    let opened: Value = serde_json::from_slice(&opened.body)?;
    let session = opened["session"].as_str().ok_or("the response has no session id")?;
    let task = |index| json!({ "payload": { "run_ms": 100, "tag": format!("stop {index}") } });
    let tasks: Vec<Value> = (0..DEMO_TASK_COUNT).map(task).collect();
    let body = json!({ "profile": "bookings", "tasks": tasks }).to_string().into_bytes();
    let path = format!("/v1/sessions/{session}/jobs/0");
    let reply = client.post(submit_addr, &path, body, CALL_TIMEOUT_MS).await?;
    Ok(serde_json::from_slice(&reply.body)?)
}

fn print_answer(answer: &Value) -> Result<(), BoxError> {
    let Some(answers) = answer["answers"].as_array() else {
        return Err(format!("expected a complete answer, got {answer}").into());
    };
    println!("outcome: {}, {} answers", answer["outcome"], answers.len());
    for answer in answers.iter().take(3) {
        println!("  task {}: {}", answer["task"], answer["answer"]);
    }
    println!("  ...");
    Ok(())
}

fn print_help(demo: &Demo) {
    let entry = &demo.entries[0];
    println!("\nserving until interrupted; try:");
    println!("  curl -s -X POST http://{}/v1/sessions", entry.http_addr());
    println!("  curl -s http://{}/status", entry.operator_addr());
    println!("  ggb --platform {} profile list", demo.platform.local_addr());
}

fn vm(role: Role, zone: &Zone, addr: SocketAddr, slots: u16) -> Vm {
    Vm {
        role,
        zone: zone.clone(),
        addr,
        incarnation: Incarnation(rand::random()),
        state: VmState::Live,
        capacity: TaskShape { slots, memory_mib: TARGET_MEMORY_MIB, accelerators: 0 },
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
