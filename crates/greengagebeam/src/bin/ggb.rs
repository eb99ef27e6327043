//! The operators' tool.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use bpaf::Bpaf;
use ggb_config::{AuditEntry, Change, ChangeContext, Generation, Snapshot};
use ggb_control::unix_ms;
use ggb_http::{ClientLimits, HttpClient};
use ggb_model::{Priority, Profile, ProfileName, Settings};
use ggb_platform::{ChangeError, ProfileStore, StoreTable};
use greengagebeam::{ExitCode, exit_with};
use serde_json::Value;

const STATUS_TIMEOUT_MS: u64 = 2_000;
const IN_FORCE_POLL_MS: u64 = 100;

/// Creates, changes, retires and shows profiles, and shows the state of processes
///
/// Exit codes: 0 done, 1 failed, 2 bad settings, 3 conflict (nothing was written),
/// 4 not known whether the change took effect, 5 not in force in time.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Tool {
    /// The platform's table service
    #[bpaf(long, env("GGB_PLATFORM"), argument("ADDR"))]
    platform: SocketAddr,
    /// Who is changing the configuration; it goes into the audit trail
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
    /// Profiles
    #[bpaf(command)]
    Profile {
        #[bpaf(external(profile_command))]
        command: ProfileCommand,
    },
    /// Show the state of processes, by their operators' addresses
    #[bpaf(command)]
    Status {
        /// Operators' addresses
        #[bpaf(positional("ADDR"), some("expected at least one operators' address"))]
        addrs: Vec<SocketAddr>,
    },
}

#[derive(Clone, Debug, Bpaf)]
enum ProfileCommand {
    /// Create a profile; settings that are not given have their defaults
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
    /// Change settings of a profile; those that are not given stay as they are
    #[bpaf(command)]
    Change {
        #[bpaf(external)]
        edit: Edit,
        /// The generation in which you saw the profile last changed; by default what is stored now
        #[bpaf(long, argument("GENERATION"))]
        base: Option<u64>,
        #[bpaf(external)]
        wait: Wait,
        /// The profile's name
        #[bpaf(positional("NAME"))]
        name: ProfileName,
    },
    /// Retire a profile; its work is refused from then on, and its name stays taken
    #[bpaf(command)]
    Retire {
        /// The generation in which you saw the profile last changed; by default what is stored now
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
    /// Show by whom profiles were changed, when, from what and to what
    #[bpaf(command)]
    History {
        /// Only this profile
        #[bpaf(positional("NAME"))]
        name: Option<ProfileName>,
    },
    /// Wait until a generation is in force in processes
    #[bpaf(command)]
    Wait {
        /// The generation
        #[bpaf(long, argument("GENERATION"))]
        generation: u64,
        #[bpaf(external)]
        wait: Wait,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Wait {
    /// Wait until the change is in force at these operators' addresses of entry processes
    #[bpaf(long("in-force"), argument("ADDR"), many)]
    addrs: Vec<SocketAddr>,
    /// How long to wait for that
    #[bpaf(long, argument("MS"), fallback(8_000), display_fallback)]
    within_ms: u64,
}

#[derive(Clone, Debug, Bpaf)]
struct Edit {
    /// The team whose quota the work counts against
    #[bpaf(long, argument("TEAM"))]
    team: Option<String>,
    /// `urgent`, `standard` or `background`
    #[bpaf(long, argument("PRIORITY"))]
    priority: Option<Priority>,
    /// The team's share relative to other teams, 1 to 1000
    #[bpaf(long, argument("N"))]
    team_weight: Option<u16>,
    /// The most slots that the team may hold in one availability zone
    #[bpaf(long, argument("N"))]
    quota_slots: Option<u32>,
    /// The most tasks of the team that may wait in one availability zone
    #[bpaf(long, argument("N"))]
    quota_queued_tasks: Option<u32>,
    /// How long a job may wait for its first start
    #[bpaf(long, argument("MS"))]
    start_within_ms: Option<u32>,
    /// How long one started task may run before its answer is given up
    #[bpaf(long, argument("MS"))]
    task_timeout_ms: Option<u32>,
    /// How often a task may be placed again after an explicit "not started"
    #[bpaf(long, argument("N"))]
    placement_retries: Option<u16>,
    /// Whether every submission has to claim a business key first
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

/// What the commands work with.
struct Session {
    store: ProfileStore,
    client: Arc<HttpClient>,
    operator: String,
    json: bool,
}

#[async_std::main]
async fn main() {
    let tool = tool().run();
    let client = Arc::new(HttpClient::new(ClientLimits::default()));
    let table = Arc::new(StoreTable::new(tool.platform, Arc::clone(&client)));
    let session = Session {
        store: ProfileStore::new(table),
        client,
        operator: tool.operator,
        json: tool.json,
    };
    match tool.command {
        Command::Profile { command } => session.profile(command).await,
        Command::Status { addrs } => session.status(&addrs).await,
    }
}

impl Session {
    async fn profile(&self, command: ProfileCommand) {
        match command {
            ProfileCommand::Create { edit, wait, name } => {
                let settings = edit.apply(Settings::default());
                let profile = Profile::try_new(name, settings)
                    .unwrap_or_else(|error| exit_with(ExitCode::BadSettings, error));
                self.change(Change::Create(profile), &wait).await;
            }
            ProfileCommand::Change { edit, base, wait, name } => {
                let snapshot = self.snapshot().await;
                let (stored, changed_in) = stored(&snapshot, &name);
                let settings = edit.apply(stored.settings().clone());
                let base = base.map_or(changed_in, Generation);
                self.change(Change::Replace { name, settings, base }, &wait).await;
            }
            ProfileCommand::Retire { base, wait, name } => {
                let snapshot = self.snapshot().await;
                let (_, changed_in) = stored(&snapshot, &name);
                let base = base.map_or(changed_in, Generation);
                self.change(Change::Retire { name, base }, &wait).await;
            }
            ProfileCommand::List => self.list().await,
            ProfileCommand::Show { name } => {
                let snapshot = self.snapshot().await;
                let (profile, changed_in) = stored(&snapshot, &name);
                self.print_profile(profile, changed_in);
            }
            ProfileCommand::History { name } => self.history(name.as_ref()).await,
            ProfileCommand::Wait { generation, wait } => {
                self.wait(Generation(generation), &wait).await;
            }
        }
    }

    async fn change(&self, change: Change, wait: &Wait) {
        let change_id = format!("{:032x}", rand::random::<u128>());
        let context = ChangeContext::new(self.operator.clone(), change_id, unix_ms());
        match self.store.change(change, &context).await {
            Ok(generation) => {
                println!("committed as generation {generation}");
                if !wait.addrs.is_empty() {
                    self.wait(generation, wait).await;
                }
            }
            Err(ChangeError::Conflict(conflict)) => exit_with(ExitCode::Conflict, conflict),
            Err(error) => exit_with(ExitCode::Unsettled, error),
        }
    }

    /// Waits until every named process has the generation in force.
    async fn wait(&self, generation: Generation, wait: &Wait) {
        let limit = Instant::now() + Duration::from_millis(wait.within_ms);
        let mut waiting = wait.addrs.clone();
        loop {
            let mut late = Vec::new();
            for addr in waiting {
                if self.generation_at(addr).await.is_none_or(|own| own < generation) {
                    late.push(addr);
                }
            }
            waiting = late;
            if waiting.is_empty() {
                println!("generation {generation} is in force at {} processes", wait.addrs.len());
                return;
            }
            if Instant::now() >= limit {
                let message = format!("generation {generation} is not in force at {waiting:?}");
                exit_with(ExitCode::TimedOut, message);
            }
            task::sleep(Duration::from_millis(IN_FORCE_POLL_MS)).await;
        }
    }

    async fn generation_at(&self, addr: SocketAddr) -> Option<Generation> {
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
        let wanted = entries.iter().filter(|e| name.is_none_or(|name| e.profile == *name));
        match self.json {
            true => print_json(&wanted.collect::<Vec<_>>()),
            false => wanted.for_each(print_entry),
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
            exit_with(ExitCode::Failed, "some processes gave no status");
        }
    }

    async fn fetch_status(&self, addr: SocketAddr) -> Result<Value, String> {
        let reply = self.client.fetch(addr, "/status", STATUS_TIMEOUT_MS).await;
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

fn stored<'a>(snapshot: &'a Snapshot, name: &ProfileName) -> (&'a Profile, Generation) {
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
        entry.generation, entry.at_ms, entry.operator, entry.action, entry.profile
    );
    let before = entry.before.as_ref().map(audited_fields).unwrap_or_default();
    for (field, after) in audited_fields(&entry.after) {
        let old = before.iter().find(|(name, _)| *name == field).map(|(_, value)| value);
        if old != Some(&after) {
            let old = old.map_or("nothing".to_owned(), Value::to_string);
            println!("  {field}: {old} -> {after}");
        }
    }
}

/// Returns the fields of a profile that a change may touch.
fn audited_fields(profile: &Profile) -> Vec<(String, Value)> {
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
