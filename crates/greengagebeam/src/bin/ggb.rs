//! Tool with which operators manage profiles and read the status of processes.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use bpaf::Bpaf;
use ggb_config::{AuditEntry, Change, ChangeContext, Generation, Snapshot};
use ggb_control::unix_time_ms;
use ggb_http::{ClientOptions, HttpClient};
use ggb_model::{Priority, Profile, ProfileName, Settings};
use ggb_platform::{ChangeError, ProfileStore, StoreTable};
use greengagebeam::{ExitCode, exit_with};
use serde_json::Value;

const STATUS_TIMEOUT_MS: u64 = 2_000;
const GENERATION_POLL_INTERVAL_MS: u64 = 100;

/// Creates, changes, retires and shows profiles, and shows the status of processes
///
/// Exit codes: 0 success, 1 failure, 2 invalid settings, 3 conflict (nothing was
/// written), 4 outcome of the change unknown, 5 change not applied within
/// `--within-ms`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Tool {
    /// The address of the platform's store
    #[bpaf(long, env("GGB_PLATFORM"), argument("ADDR"))]
    platform: SocketAddr,
    /// The operator's name, recorded in the audit trail of changes
    #[bpaf(long, env("USER"), argument("NAME"), fallback("unknown".to_owned()), display_fallback)]
    operator: String,
    /// Print JSON
    #[bpaf(long, switch)]
    json: bool,
    #[bpaf(external)]
    command: Command,
}

#[derive(Clone, Debug, Bpaf)]
enum Command {
    /// Create, change, retire and show profiles
    #[bpaf(command)]
    Profile {
        #[bpaf(external(profile_command))]
        command: ProfileCommand,
    },
    /// Show the status of processes, given their operators' addresses
    #[bpaf(command)]
    Status {
        /// Operators' addresses
        #[bpaf(positional("ADDR"), some("expected at least one operators' address"))]
        addrs: Vec<SocketAddr>,
    },
}

#[derive(Clone, Debug, Bpaf)]
enum ProfileCommand {
    /// Create a profile; omitted settings take their defaults
    #[bpaf(command)]
    Create {
        #[bpaf(external)]
        edit: Edit,
        #[bpaf(external)]
        wait: Wait,
        /// The profile's name
        #[bpaf(positional("NAME"))]
        name: ProfileName,
    },
    /// Change settings of a profile; omitted settings keep their values
    #[bpaf(command)]
    Change {
        #[bpaf(external)]
        edit: Edit,
        /// The generation in which you last saw the profile changed; the change conflicts if it
        /// was changed since. By default the generation that is stored now
        #[bpaf(long, argument("GENERATION"))]
        base: Option<u64>,
        #[bpaf(external)]
        wait: Wait,
        /// The profile's name
        #[bpaf(positional("NAME"))]
        name: ProfileName,
    },
    /// Retire a profile; its jobs are refused from then on, and its name can't be reused
    #[bpaf(command)]
    Retire {
        /// The generation in which you last saw the profile changed; the change conflicts if it
        /// was changed since. By default the generation that is stored now
        #[bpaf(long, argument("GENERATION"))]
        base: Option<u64>,
        #[bpaf(external)]
        wait: Wait,
        /// The profile's name
        #[bpaf(positional("NAME"))]
        name: ProfileName,
    },
    /// List all profiles
    #[bpaf(command)]
    List,
    /// Show one profile
    #[bpaf(command)]
    Show {
        /// The profile's name
        #[bpaf(positional("NAME"))]
        name: ProfileName,
    },
    /// Show the changes of profiles: operator, time, old values and new values
    #[bpaf(command)]
    History {
        /// Show only changes of this profile
        #[bpaf(positional("NAME"))]
        name: Option<ProfileName>,
    },
    /// Wait until processes have applied a generation
    #[bpaf(command)]
    Wait {
        /// The generation to wait for
        #[bpaf(long, argument("GENERATION"))]
        generation: u64,
        #[bpaf(external)]
        wait: Wait,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Wait {
    /// The operators' address of an entry process that must apply the change before the tool
    /// exits; repeat for each process
    #[bpaf(long("in-force"), argument("ADDR"), many)]
    addrs: Vec<SocketAddr>,
    /// The maximum time to wait until the change is applied
    #[bpaf(long, argument("MS"), fallback(8_000), display_fallback)]
    within_ms: u64,
}

#[derive(Clone, Debug, Bpaf)]
struct Edit {
    /// The team whose quota the profile's tasks count against
    #[bpaf(long, argument("TEAM"))]
    team: Option<String>,
    /// The priority: `urgent`, `standard` or `background`
    #[bpaf(long, argument("PRIORITY"))]
    priority: Option<Priority>,
    /// The team's weight relative to other teams, 1 to 1000
    #[bpaf(long, argument("N"))]
    team_weight: Option<u16>,
    /// The maximum number of slots that the team may hold in one availability zone
    #[bpaf(long, argument("N"))]
    quota_slots: Option<u32>,
    /// The maximum number of the team's queued tasks in one availability zone
    #[bpaf(long, argument("N"))]
    quota_queued_tasks: Option<u32>,
    /// The maximum time until the first task of a job starts
    #[bpaf(long, argument("MS"))]
    start_within_ms: Option<u32>,
    /// The time after which the answer of a started task is given up and its job fails
    #[bpaf(long, argument("MS"))]
    task_timeout_ms: Option<u32>,
    /// The maximum number of times that a task is placed again after it was not started
    #[bpaf(long, argument("N"))]
    placement_retries: Option<u16>,
    /// Whether every submission must claim a business key
    #[bpaf(long, argument("BOOL"))]
    business_keys: Option<bool>,
}

impl Edit {
    fn apply(self, mut settings: Settings) -> Settings {
        fn set<T>(field: &mut T, value: Option<T>) {
            if let Some(value) = value {
                *field = value;
            }
        }
        set(&mut settings.team, self.team);
        set(&mut settings.priority, self.priority);
        set(&mut settings.team_weight, self.team_weight);
        set(&mut settings.quota_slots, self.quota_slots);
        set(&mut settings.quota_queued_tasks, self.quota_queued_tasks);
        set(&mut settings.start_within_ms, self.start_within_ms);
        set(&mut settings.task_timeout_ms, self.task_timeout_ms);
        set(&mut settings.placement_retries, self.placement_retries);
        set(&mut settings.business_keys, self.business_keys);
        settings
    }
}

/// State shared by all commands.
struct CommandContext {
    store: ProfileStore,
    client: Arc<HttpClient>,
    operator: String,
    json: bool,
}

#[async_std::main]
async fn main() {
    let tool = tool().run();
    let client = Arc::new(HttpClient::new(ClientOptions::default()));
    let table = Arc::new(StoreTable::new(tool.platform, Arc::clone(&client)));
    let context = CommandContext {
        store: ProfileStore::new(table),
        client,
        operator: tool.operator,
        json: tool.json,
    };
    match tool.command {
        Command::Profile { command } => context.profile(command).await,
        Command::Status { addrs } => context.status(&addrs).await,
    }
}

impl CommandContext {
    async fn profile(&self, command: ProfileCommand) {
        match command {
            ProfileCommand::Create { edit, wait, name } => {
                let settings = edit.apply(Settings::default());
                let profile = Profile::try_new(name, settings)
                    .unwrap_or_else(|error| exit_with(ExitCode::InvalidSettings, error));
                self.change(Change::Create(profile), &wait).await;
            }
            ProfileCommand::Change { edit, base, wait, name } => {
                let snapshot = self.snapshot().await;
                let (stored, changed_in) = find_profile(&snapshot, &name);
                let settings = edit.apply(stored.settings().clone());
                let base = base.map_or(changed_in, Generation);
                self.change(Change::Replace { name, settings, base_generation: base }, &wait).await;
            }
            ProfileCommand::Retire { base, wait, name } => {
                let snapshot = self.snapshot().await;
                let (_, changed_in) = find_profile(&snapshot, &name);
                let base = base.map_or(changed_in, Generation);
                self.change(Change::Retire { name, base_generation: base }, &wait).await;
            }
            ProfileCommand::List => self.list().await,
            ProfileCommand::Show { name } => {
                let snapshot = self.snapshot().await;
                let (profile, changed_in) = find_profile(&snapshot, &name);
                self.print_profile(profile, changed_in);
            }
            ProfileCommand::History { name } => self.history(name.as_ref()).await,
            ProfileCommand::Wait { generation, wait } => {
                self.wait_until_applied(Generation(generation), &wait).await;
            }
        }
    }

    async fn change(&self, change: Change, wait: &Wait) {
        let change_id = format!("{:032x}", rand::random::<u128>());
        let context = ChangeContext::new(self.operator.clone(), change_id, unix_time_ms());
        match self.store.change(change, &context).await {
            Ok(generation) => {
                println!("committed as generation {generation}");
                if !wait.addrs.is_empty() {
                    self.wait_until_applied(generation, wait).await;
                }
            }
            Err(ChangeError::Conflict(conflict)) => exit_with(ExitCode::Conflict, conflict),
            Err(error) => exit_with(ExitCode::OutcomeUnknown, error),
        }
    }

    /// Waits until every process of `wait` has applied the generation.
    async fn wait_until_applied(&self, generation: Generation, wait: &Wait) {
        let deadline = Instant::now() + Duration::from_millis(wait.within_ms);
        let mut remaining = wait.addrs.clone();
        loop {
            let mut pending = Vec::new();
            for addr in remaining {
                if self.fetch_generation(addr).await.is_none_or(|applied| applied < generation) {
                    pending.push(addr);
                }
            }
            remaining = pending;
            if remaining.is_empty() {
                println!("generation {generation} is applied at {} processes", wait.addrs.len());
                return;
            }
            if Instant::now() >= deadline {
                let message = format!("generation {generation} is not applied at {remaining:?}");
                exit_with(ExitCode::TimedOut, message);
            }
            task::sleep(Duration::from_millis(GENERATION_POLL_INTERVAL_MS)).await;
        }
    }

    async fn fetch_generation(&self, addr: SocketAddr) -> Option<Generation> {
        let status = self.fetch_status(addr).await.ok()?;
        status["details"]["generation"].as_u64().map(Generation)
    }

    async fn list(&self) {
        let snapshot = self.snapshot().await;
        if self.json {
            return print_json(&snapshot);
        }
        println!("generation {}", snapshot.generation());
        for profile in snapshot.profiles() {
            let settings = profile.settings();
            let state = if profile.retired() { "retired" } else { "in force" };
            println!(
                "{:<24} {:<10} team {:<16} {state}",
                profile.name().as_str(),
                settings.priority.to_string(),
                settings.team
            );
        }
    }

    async fn history(&self, name: Option<&ProfileName>) {
        let entries = self.store.history().await;
        let entries = entries.unwrap_or_else(|error| exit_with(ExitCode::Failed, error));
        let matching = entries.iter().filter(|e| name.is_none_or(|name| e.profile == *name));
        match self.json {
            true => print_json(&matching.collect::<Vec<_>>()),
            false => matching.for_each(print_entry),
        }
    }

    async fn status(&self, addrs: &[SocketAddr]) {
        let mut failed = false;
        for addr in addrs {
            match self.fetch_status(*addr).await {
                Ok(status) => println!("{addr} {status}"),
                Err(error) => {
                    failed = true;
                    println!("{addr} unreachable: {error}");
                }
            }
        }
        if failed {
            exit_with(ExitCode::Failed, "some processes returned no status");
        }
    }

    async fn fetch_status(&self, addr: SocketAddr) -> Result<Value, String> {
        let reply = self.client.get(addr, "/status", STATUS_TIMEOUT_MS).await;
        let reply = reply.map_err(|error| error.to_string())?;
        serde_json::from_slice(&reply.body).map_err(|error| error.to_string())
    }

    async fn snapshot(&self) -> Snapshot {
        match self.store.snapshot().await {
            Ok(Ok(snapshot)) => snapshot,
            Ok(Err(error)) => exit_with(ExitCode::Failed, error),
            Err(error) => exit_with(ExitCode::Failed, error),
        }
    }

    fn print_profile(&self, profile: &Profile, changed_in: Generation) {
        if self.json {
            return print_json(profile);
        }
        println!("name: {}", profile.name());
        println!("changed in generation: {changed_in}");
        println!("retired: {}", profile.retired());
        let settings = serde_json::to_value(profile.settings()).unwrap_or_default();
        for (field, value) in settings.as_object().into_iter().flatten() {
            println!("{field}: {value}");
        }
    }
}

fn find_profile<'a>(snapshot: &'a Snapshot, name: &ProfileName) -> (&'a Profile, Generation) {
    match (snapshot.find(name), snapshot.changed_in(name)) {
        (Some(profile), Some(changed_in)) => (profile, changed_in),
        _ => exit_with(
            ExitCode::Conflict,
            format!("name: got `{name}`, expected a profile that exists"),
        ),
    }
}

fn print_entry(entry: &AuditEntry) {
    println!(
        "generation {} at {} ms by {}: {:?} {}",
        entry.generation, entry.at_ms, entry.operator, entry.kind, entry.profile
    );
    let before = entry.before.as_ref().map(profile_fields).unwrap_or_default();
    for (field, after) in profile_fields(&entry.after) {
        let old = before.iter().find(|(name, _)| *name == field).map(|(_, value)| value);
        if old != Some(&after) {
            let old = old.map_or("nothing".to_owned(), Value::to_string);
            println!("  {field}: {old} -> {after}");
        }
    }
}

/// Returns the fields of a profile that a change can modify.
fn profile_fields(profile: &Profile) -> Vec<(String, Value)> {
    let settings = serde_json::to_value(profile.settings()).unwrap_or_default();
    let mut fields: Vec<_> = settings
        .as_object()
        .map(|fields| fields.iter().map(|(name, value)| (name.clone(), value.clone())).collect())
        .unwrap_or_default();
    fields.push(("retired".to_owned(), Value::Bool(profile.retired())));
    fields
}

fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => exit_with(ExitCode::Failed, error),
    }
}
