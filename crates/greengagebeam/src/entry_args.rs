//! Command-line flags and environment variables of an entry process.

use bpaf::Bpaf;
use ggb_entry::{EntrySettings, PlacementPolicy};
use ggb_session::SessionLimits;

use crate::{LogArgs, SettingsChecker, SettingsError, log_args};

/// Serves callers and owns their sessions
///
/// Callers open sessions and submit jobs here. Run two or three in each
/// availability zone, behind the platform's load balancer; check readiness at /ready on
/// the operators' address. SIGTERM makes the process finish the work in progress, hand
/// its sessions over to other entry processes and exit.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(entry_args), version)]
pub struct EntryArgs {
    /// The availability zone of this VM
    #[bpaf(long, env("GGB_ZONE"), argument("ZONE"))]
    pub zone: String,
    /// Zones to which tasks may be offloaded, comma-separated, such as those of the region;
    /// all by default
    #[bpaf(long, env("GGB_SPILL_ZONES"), argument("ZONES"), fallback(String::new()))]
    pub spill_zones: String,
    /// The address on which callers connect by HTTP
    #[bpaf(long, env("GGB_HTTP_LISTEN"), argument("ADDR"), fallback("0.0.0.0:7100".to_owned()), display_fallback)]
    pub http_listen: String,
    /// The address on which other entry processes connect; it becomes part of session ids
    #[bpaf(long, env("GGB_RPC_LISTEN"), argument("ADDR"))]
    pub rpc_listen: String,
    /// The address at which other entry processes reach this one, if it differs from --rpc-listen
    #[bpaf(long, env("GGB_RPC_ADVERTISE"), argument("ADDR"))]
    pub rpc_advertise: Option<String>,
    /// The address that serves /metrics, /health, /ready and /status to operators
    #[bpaf(long, env("GGB_OPERATOR_LISTEN"), argument("ADDR"), fallback("0.0.0.0:7109".to_owned()), display_fallback)]
    pub operator_listen: String,
    /// The address of the platform's store and list of VMs
    #[bpaf(long, env("GGB_PLATFORM"), argument("ADDR"))]
    pub platform: String,
    /// Other entry processes, comma-separated, that are queried while the platform can't be reached
    #[bpaf(long, env("GGB_SEEDS"), argument("ADDRS"), fallback(String::new()))]
    pub seeds: String,
    /// The source address of this process's outgoing connections
    #[bpaf(long, env("GGB_SOURCE_IP"), argument("IP"))]
    pub source_ip: Option<String>,
    /// The maximum size of a submission in bytes
    #[bpaf(long, env("GGB_BODY_BYTES"), argument("BYTES"), fallback("16777216".to_owned()), display_fallback)]
    pub body_bytes: String,
    /// The maximum size of a task's answer in bytes; a larger answer fails the job
    #[bpaf(long, env("GGB_ANSWER_BYTES"), argument("BYTES"), fallback("8388608".to_owned()), display_fallback)]
    pub answer_bytes: String,
    /// The maximum number of connections of callers
    #[bpaf(long, env("GGB_CONNECTIONS"), argument("N"), fallback("8192".to_owned()), display_fallback)]
    pub connections: String,
    /// The maximum number of open sessions
    #[bpaf(long, env("GGB_SESSIONS"), argument("N"), fallback("200000".to_owned()), display_fallback)]
    pub sessions: String,
    /// The maximum number of jobs in progress
    #[bpaf(long, env("GGB_RUNNING_JOBS"), argument("N"), fallback("20000".to_owned()), display_fallback)]
    pub running_jobs: String,
    /// The maximum total size in bytes of answers retained until they are acknowledged
    #[bpaf(long, env("GGB_RETAINED_BYTES"), argument("BYTES"), fallback("67108864".to_owned()), display_fallback)]
    pub retained_bytes: String,
    /// Time after which an idle session is closed
    #[bpaf(long, env("GGB_SESSION_IDLE_MS"), argument("MS"), fallback("3600000".to_owned()), display_fallback)]
    pub session_idle_ms: String,
    /// The placement policy: `leases`, or the baselines `random` and `two-choices`
    #[bpaf(long, env("GGB_PLACER"), argument("PLACER"), fallback("leases".to_owned()), display_fallback)]
    pub placer: String,
    /// Check the settings and exit
    #[bpaf(long, switch)]
    pub check: bool,
    /// Logging flags
    #[bpaf(external(log_args))]
    pub log: LogArgs,
}

impl EntryArgs {
    /// Initializes logging and returns the settings if all of them are valid.
    ///
    /// # Errors
    ///
    /// Returns an error that names every invalid field.
    pub fn settings(&self) -> Result<EntrySettings, SettingsError> {
        let mut checker = SettingsChecker::default();
        self.log.init(&mut checker);
        let advertise = self.rpc_advertise.as_deref();
        let rpc_advertise =
            advertise.and_then(|text| checker.parse_reachable_addr("rpc-advertise", text));
        let rpc_listen = match advertise {
            Some(_) => checker.parse_addr("rpc-listen", &self.rpc_listen),
            None => checker.parse_reachable_addr("rpc-listen", &self.rpc_listen),
        };
        let zone = checker.parse("zone", &self.zone, "1 to 64 letters, digits, `-`, `_` or `.`");
        let spill_zones = checker.parse_zones("spill-zones", &self.spill_zones);
        let http_listen = checker.parse_addr("http-listen", &self.http_listen);
        let operator_listen = checker.parse_addr("operator-listen", &self.operator_listen);
        let platform_addr = checker.parse_reachable_addr("platform", &self.platform);
        let seeds = checker.parse_addrs("seeds", &self.seeds);
        let source_ip = checker.parse_ip("source-ip", self.source_ip.as_deref());
        let expected_count = "1 to 10000000";
        let expected_bytes = "1024 to 1073741824 bytes";
        let max_body_bytes =
            checker.parse_number("body-bytes", &self.body_bytes, 1_024..=1 << 30, expected_bytes);
        let max_answer_bytes = checker.parse_number(
            "answer-bytes",
            &self.answer_bytes,
            1_024..=1 << 30,
            expected_bytes,
        );
        let max_connections =
            checker.parse_number("connections", &self.connections, 1..=10_000_000, expected_count);
        let placement: Option<PlacementPolicy> =
            checker.parse("placer", &self.placer, "`leases`, `random` or `two-choices`");
        let limits = self.limits(&mut checker);
        let settings = (|| {
            Some(EntrySettings {
                zone: zone?,
                remote_zones: spill_zones,
                http_listen: http_listen?,
                rpc_listen: rpc_listen?,
                rpc_advertise,
                operator_listen: operator_listen?,
                platform_addr: platform_addr?,
                seeds,
                source_ip,
                max_body_bytes: max_body_bytes as usize,
                max_answer_bytes: max_answer_bytes as usize,
                max_connections: max_connections as usize,
                limits,
                placement: placement?,
            })
        })();
        checker.finish(settings)
    }

    fn limits(&self, checker: &mut SettingsChecker) -> SessionLimits {
        let expected_count = "1 to 10000000";
        SessionLimits {
            max_sessions: checker.parse_number(
                "sessions",
                &self.sessions,
                1..=10_000_000,
                expected_count,
            ) as usize,
            max_running_jobs: checker.parse_number(
                "running-jobs",
                &self.running_jobs,
                1..=10_000_000,
                expected_count,
            ) as usize,
            max_retained_bytes: checker.parse_number(
                "retained-bytes",
                &self.retained_bytes,
                1_024..=1 << 40,
                "1024 bytes to 1 TiB",
            ) as usize,
            session_idle_timeout_ms: checker.parse_number(
                "session-idle-ms",
                &self.session_idle_ms,
                1_000..=604_800_000,
                "1000 to 604800000 ms",
            ),
            ..SessionLimits::default()
        }
    }
}
