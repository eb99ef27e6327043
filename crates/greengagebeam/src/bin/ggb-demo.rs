//! Everything in one process, for a first try.

use std::{net::SocketAddr, time::Duration};

use async_std::task;
use bpaf::Bpaf;
use ggb_config::{Change, ChangeContext};
use ggb_control::unix_ms;
use ggb_dispatch::{DispatchSettings, Dispatcher};
use ggb_entry::{Entry, EntrySettings, Placer};
use ggb_http::{ClientLimits, HttpClient};
use ggb_membership::{Role, Vm, VmState};
use ggb_model::{Incarnation, Priority, Profile, Settings, TaskShape, Zone};
use ggb_platform::{ProfileStore, StoreTable};
use ggb_policy::Options;
use ggb_session::Limits;
use ggb_standin::{FleetStore, TargetMode, TargetOptions, TargetStandin};
use ggb_telemetry::{LogFormat, init_logs};
use greengagebeam::{ExitCode, exit_with, termination};
use serde_json::{Value, json};

const ZONES: [&str; 3] = ["qc-east-a", "qc-east-b", "qc-east-c"];
const ENTRIES_PER_ZONE: usize = 2;
const TARGETS_PER_ZONE: usize = 4;
const SLOTS_PER_TARGET: u16 = 8;
const TARGET_MEMORY_MIB: u32 = 131_072;
const CALL_TIMEOUT_MS: u64 = 30_000;
const READY_POLL_MS: u64 = 50;
const DEMO_TASKS: usize = 110;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Runs the whole system in one process on embedded stand-ins, for a first try
///
/// It creates two profiles, has a job of 110 tasks answered, prints the answer and
/// keeps serving until it is interrupted.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct DemoArgs {
    /// The port of the first entry process; others follow
    #[bpaf(long, argument("PORT"), fallback(7100), display_fallback)]
    port: u16,
    /// Exit after the first job instead of serving on
    #[bpaf(long, switch)]
    once: bool,
}

/// All that runs in the process.
struct Demo {
    platform: FleetStore,
    _targets: Vec<TargetStandin>,
    _dispatchers: Vec<Dispatcher>,
    entries: Vec<Entry>,
}

#[async_std::main]
async fn main() {
    let args = demo_args().run();
    init_logs(LogFormat::Human, "warn").ok();
    let stop = termination().unwrap_or_else(|error| exit_with(ExitCode::Failed, error));
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

async fn run(args: &DemoArgs) -> Result<Demo, Failure> {
    let demo = start(args.port).await?;
    create_profiles(demo.platform.local_addr()).await?;
    let client = HttpClient::new(ClientLimits::default());
    for entry in &demo.entries {
        wait_until_ready(&client, entry.operator_addr()).await?;
    }
    let opened_at = demo.entries[0].http_addr();
    let asked_at = demo.entries[rand::random_range(0..demo.entries.len())].http_addr();
    println!("opening a session at {opened_at}, submitting {DEMO_TASKS} tasks at {asked_at}");
    let answer = submit(&client, opened_at, asked_at).await?;
    print_answer(&answer)?;
    Ok(demo)
}

async fn start(port: u16) -> Result<Demo, Failure> {
    let platform = FleetStore::bind(local(0)).await?;
    let (mut targets, mut dispatchers, mut entries) = (Vec::new(), Vec::new(), Vec::new());
    for (zone_at, name) in ZONES.iter().enumerate() {
        let zone: Zone = name.parse()?;
        for _ in 0..TARGETS_PER_ZONE {
            let options = TargetOptions {
                addr: local(0),
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
        for at in 0..ENTRIES_PER_ZONE {
            let port = port + (zone_at * ENTRIES_PER_ZONE + at) as u16;
            let settings = entry_settings(&zone, port, platform.local_addr());
            let entry = Entry::spawn(settings).await?;
            platform.list_vm(vm(Role::Entry, &zone, entry.rpc_addr(), 0));
            entries.push(entry);
        }
    }
    Ok(Demo { platform, _targets: targets, _dispatchers: dispatchers, entries })
}

fn dispatch_settings(zone: &Zone, platform: SocketAddr) -> DispatchSettings {
    DispatchSettings {
        zone: zone.clone(),
        rpc_listen: local(0),
        operator_listen: local(0),
        platform,
        seeds: Vec::new(),
        source_ip: None,
        options: Options::default(),
    }
}

fn entry_settings(zone: &Zone, port: u16, platform: SocketAddr) -> EntrySettings {
    EntrySettings {
        zone: zone.clone(),
        spill_zones: Vec::new(),
        http_listen: local(port),
        rpc_listen: local(0),
        rpc_advertise: None,
        operator_listen: local(0),
        platform,
        seeds: Vec::new(),
        source_ip: None,
        body_bytes: 16 << 20,
        answer_bytes: 8 << 20,
        connections: 1_024,
        limits: Limits::default(),
        placer: Placer::Leases,
    }
}

async fn create_profiles(platform: SocketAddr) -> Result<(), Failure> {
    let client = std::sync::Arc::new(HttpClient::new(ClientLimits::default()));
    let store = ProfileStore::new(std::sync::Arc::new(StoreTable::new(platform, client)));
    for (name, priority) in [("bookings", Priority::Urgent), ("reports", Priority::Standard)] {
        let settings = Settings { priority, ..Settings::default() };
        let profile = Profile::try_new(name.parse()?, settings)?;
        let change_id = format!("demo-{:016x}", rand::random::<u64>());
        let context = ChangeContext::new("demo", change_id, unix_ms());
        store.change(Change::Create(profile), &context).await?;
    }
    Ok(())
}

async fn wait_until_ready(client: &HttpClient, operator: SocketAddr) -> Result<(), Failure> {
    loop {
        let reply = client.fetch(operator, "/status", CALL_TIMEOUT_MS).await?;
        let status: Value = serde_json::from_slice(&reply.body)?;
        let zones = status["details"]["connected_zones"].as_array().map_or(0, Vec::len);
        if zones == ZONES.len() && status["details"]["generation"] == json!(2) {
            return Ok(());
        }
        task::sleep(Duration::from_millis(READY_POLL_MS)).await;
    }
}

async fn submit(
    client: &HttpClient,
    opened_at: SocketAddr,
    asked_at: SocketAddr,
) -> Result<Value, Failure> {
    let opened = client.post(opened_at, "/v1/sessions", Vec::new(), CALL_TIMEOUT_MS).await?;
    let opened: Value = serde_json::from_slice(&opened.body)?;
    let session = opened["session"].as_str().ok_or("expected a session")?;
    let task = |at| json!({ "payload": { "run_ms": 100, "tag": format!("stop {at}") } });
    let tasks: Vec<Value> = (0..DEMO_TASKS).map(task).collect();
    let body = json!({ "profile": "bookings", "tasks": tasks }).to_string().into_bytes();
    let path = format!("/v1/sessions/{session}/jobs/0");
    let reply = client.post(asked_at, &path, body, CALL_TIMEOUT_MS).await?;
    Ok(serde_json::from_slice(&reply.body)?)
}

fn print_answer(answer: &Value) -> Result<(), Failure> {
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

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
