//! Command-line flags and environment variables of a dispatcher.

use bpaf::Bpaf;
use ggb_dispatch::DispatchSettings;
use ggb_policy::SchedulerOptions;

use crate::{LogArgs, SettingsChecker, SettingsError, log_args};

/// Grants slot leases on the targets of one availability zone
///
/// Run two in each availability zone: one is active, the other is a standby. Every entry
/// process derives the order of failover by itself. Neither holds state that can't be
/// rebuilt. SIGTERM makes the entry processes switch to the other one.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(dispatch_args), version)]
pub struct DispatchArgs {
    /// The availability zone of this VM
    #[bpaf(long, env("GGB_ZONE"), argument("ZONE"))]
    pub zone: String,
    /// The address on which entry processes connect
    #[bpaf(long, env("GGB_RPC_LISTEN"), argument("ADDR"))]
    pub rpc_listen: String,
    /// The address that serves /metrics, /health, /ready and /status to operators
    #[bpaf(long, env("GGB_OPERATOR_LISTEN"), argument("ADDR"), fallback("0.0.0.0:7209".to_owned()), display_fallback)]
    pub operator_listen: String,
    /// The address of the platform's list of VMs
    #[bpaf(long, env("GGB_PLATFORM"), argument("ADDR"))]
    pub platform: String,
    /// Entry processes, comma-separated, that are queried while the platform can't be reached
    #[bpaf(long, env("GGB_SEEDS"), argument("ADDRS"), fallback(String::new()))]
    pub seeds: String,
    /// The source address of this process's outgoing connections
    #[bpaf(long, env("GGB_SOURCE_IP"), argument("IP"))]
    pub source_ip: Option<String>,
    /// Tasks expected to run at least this long count as long
    #[bpaf(long, env("GGB_LONG_MS"), argument("MS"), fallback("2000".to_owned()), display_fallback)]
    pub long_ms: String,
    /// The share of slots that long tasks can't use, in thousandths
    #[bpaf(long, env("GGB_SHORT_SHARE"), argument("N"), fallback("20".to_owned()), display_fallback)]
    pub short_share: String,
    /// The maximum share of slots reserved for urgent tasks, in thousandths
    #[bpaf(long, env("GGB_URGENT_SHARE"), argument("N"), fallback("30".to_owned()), display_fallback)]
    pub urgent_share: String,
    /// The maximum number of queued tasks
    #[bpaf(long, env("GGB_QUEUED_TASKS"), argument("N"), fallback("200000".to_owned()), display_fallback)]
    pub queued_tasks: String,
    /// Check the settings and exit
    #[bpaf(long, switch)]
    pub check: bool,
    /// Logging flags
    #[bpaf(external(log_args))]
    pub log: LogArgs,
}

impl DispatchArgs {
    /// Initializes logging and returns the settings if all of them are valid.
    ///
    /// # Errors
    ///
    /// Returns an error that names every invalid field.
    pub fn settings(&self) -> Result<DispatchSettings, SettingsError> {
        let mut checker = SettingsChecker::default();
        self.log.init(&mut checker);
        let zone = checker.parse("zone", &self.zone, "1 to 64 letters, digits, `-`, `_` or `.`");
        let rpc_listen = checker.parse_addr("rpc-listen", &self.rpc_listen);
        let operator_listen = checker.parse_addr("operator-listen", &self.operator_listen);
        let platform = checker.parse_reachable_addr("platform", &self.platform);
        let seeds = checker.parse_addrs("seeds", &self.seeds);
        let source_ip = checker.parse_ip("source-ip", self.source_ip.as_deref());
        let options = self.options(&mut checker);
        let settings = (|| {
            Some(DispatchSettings {
                zone: zone?,
                rpc_listen: rpc_listen?,
                operator_listen: operator_listen?,
                platform_addr: platform?,
                seeds,
                source_ip,
                options,
            })
        })();
        checker.finish(settings)
    }

    fn options(&self, checker: &mut SettingsChecker) -> SchedulerOptions {
        let share = "0 to 500 thousandths";
        SchedulerOptions {
            long_task_threshold_ms: checker.parse_number(
                "long-ms",
                &self.long_ms,
                1..=3_600_000,
                "1 to 3600000 ms",
            ) as u32,
            min_short_share: checker.parse_number("short-share", &self.short_share, 0..=500, share)
                as f64
                / 1e3,
            max_urgent_reserve_share: checker.parse_number(
                "urgent-share",
                &self.urgent_share,
                0..=500,
                share,
            ) as f64
                / 1e3,
            max_queued_tasks: checker.parse_number(
                "queued-tasks",
                &self.queued_tasks,
                1..=10_000_000,
                "1 to 10000000",
            ) as u32,
        }
    }
}
