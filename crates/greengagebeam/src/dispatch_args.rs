//! Flags and environment variables of a dispatcher.

use bpaf::Bpaf;
use ggb_dispatch::DispatchSettings;
use ggb_policy::Options;

use crate::{Checked, LogArgs, SettingsError, log_args};

/// Grants slot leases on the targets of one availability zone
///
/// Run two in each availability zone: one is active, and the other stands by in an
/// order that every entry process works out alone. Both keep nothing that can't
/// be rebuilt. SIGTERM sends the entry processes to the other one.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(dispatch_args), version)]
pub struct DispatchArgs {
    /// The availability zone of this VM
    #[bpaf(long, env("GGB_ZONE"), argument("ZONE"))]
    pub zone: String,
    /// Where entry processes connect
    #[bpaf(long, env("GGB_RPC_LISTEN"), argument("ADDR"))]
    pub rpc_listen: String,
    /// Where operators read /metrics, /health, /ready and /status
    #[bpaf(long, env("GGB_OPERATOR_LISTEN"), argument("ADDR"), fallback("0.0.0.0:7209".to_owned()), display_fallback)]
    pub operator_listen: String,
    /// The platform's list of VMs
    #[bpaf(long, env("GGB_PLATFORM"), argument("ADDR"))]
    pub platform: String,
    /// Entry processes, comma-separated, asked while the platform can't be reached
    #[bpaf(long, env("GGB_SEEDS"), argument("ADDRS"), fallback(String::new()))]
    pub seeds: String,
    /// The address that connections of this process come from
    #[bpaf(long, env("GGB_SOURCE_IP"), argument("IP"))]
    pub source_ip: Option<String>,
    /// Work expected to run at least this long is long work
    #[bpaf(long, env("GGB_LONG_MS"), argument("MS"), fallback("2000".to_owned()), display_fallback)]
    pub long_ms: String,
    /// The share of slots that long work can't take, in thousandths
    #[bpaf(long, env("GGB_SHORT_SHARE"), argument("N"), fallback("20".to_owned()), display_fallback)]
    pub short_share: String,
    /// The largest share of slots kept free for urgent work, in thousandths
    #[bpaf(long, env("GGB_URGENT_SHARE"), argument("N"), fallback("30".to_owned()), display_fallback)]
    pub urgent_share: String,
    /// The most tasks that may wait
    #[bpaf(long, env("GGB_QUEUED_TASKS"), argument("N"), fallback("200000".to_owned()), display_fallback)]
    pub queued_tasks: String,
    /// Check the settings and exit
    #[bpaf(long, switch)]
    pub check: bool,
    /// How events are logged
    #[bpaf(external(log_args))]
    pub log: LogArgs,
}

impl DispatchArgs {
    /// Returns the settings if all of them are in range.
    ///
    /// # Errors
    ///
    /// Names every bad field.
    pub fn settings(&self) -> Result<DispatchSettings, SettingsError> {
        let mut checked = Checked::default();
        self.log.apply(&mut checked);
        let zone = checked.value("zone", &self.zone, "1 to 64 letters, digits, `-`, `_` or `.`");
        let rpc_listen = checked.addr("rpc-listen", &self.rpc_listen);
        let operator_listen = checked.addr("operator-listen", &self.operator_listen);
        let platform = checked.reachable_addr("platform", &self.platform);
        let seeds = checked.addrs("seeds", &self.seeds);
        let source_ip = checked.ip("source-ip", self.source_ip.as_deref());
        let options = self.options(&mut checked);
        let settings = (|| {
            Some(DispatchSettings {
                zone: zone?,
                rpc_listen: rpc_listen?,
                operator_listen: operator_listen?,
                platform: platform?,
                seeds,
                source_ip,
                options,
            })
        })();
        checked.finish(settings)
    }

    fn options(&self, checked: &mut Checked) -> Options {
        let share = "0 to 500 thousandths";
        Options {
            long_ms: checked.number("long-ms", &self.long_ms, 1..=3_600_000, "1 to 3600000 ms")
                as u32,
            short_share: checked.number("short-share", &self.short_share, 0..=500, share) as f64
                / 1e3,
            urgent_share: checked.number("urgent-share", &self.urgent_share, 0..=500, share) as f64
                / 1e3,
            queued_tasks: checked.number(
                "queued-tasks",
                &self.queued_tasks,
                1..=10_000_000,
                "1 to 10000000",
            ) as u32,
        }
    }
}
