//! Flags and environment variables of an entry process.

use bpaf::Bpaf;
use ggb_entry::{EntrySettings, Placer};
use ggb_session::Limits;

use crate::{Checked, LogArgs, SettingsError, log_args};

/// Home of sessions and caller side of greengagebeam
///
/// Callers open sessions and submit jobs here. Run two or three in each
/// availability zone, behind the platform's balancer; check readiness at /ready on
/// the operators' address. SIGTERM finishes the work in progress, hands the
/// sessions on and ends the process.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(entry_args), version)]
pub struct EntryArgs {
    /// The availability zone of this VM
    #[bpaf(long, env("GGB_ZONE"), argument("ZONE"))]
    pub zone: String,
    /// Zones that work may spill to, comma-separated, such as those of the region; by default all
    #[bpaf(long, env("GGB_SPILL_ZONES"), argument("ZONES"), fallback(String::new()))]
    pub spill_zones: String,
    /// Where callers connect, by HTTP
    #[bpaf(long, env("GGB_HTTP_LISTEN"), argument("ADDR"), fallback("0.0.0.0:7100".to_owned()), display_fallback)]
    pub http_listen: String,
    /// Where the other entry processes connect; it becomes part of session ids
    #[bpaf(long, env("GGB_RPC_LISTEN"), argument("ADDR"))]
    pub rpc_listen: String,
    /// The address at which they reach this process, if it is not --rpc-listen
    #[bpaf(long, env("GGB_RPC_ADVERTISE"), argument("ADDR"))]
    pub rpc_advertise: Option<String>,
    /// Where operators read /metrics, /health, /ready and /status
    #[bpaf(long, env("GGB_OPERATOR_LISTEN"), argument("ADDR"), fallback("0.0.0.0:7109".to_owned()), display_fallback)]
    pub operator_listen: String,
    /// The platform's table service and list of VMs
    #[bpaf(long, env("GGB_PLATFORM"), argument("ADDR"))]
    pub platform: String,
    /// Other entry processes, comma-separated, asked while the platform can't be reached
    #[bpaf(long, env("GGB_SEEDS"), argument("ADDRS"), fallback(String::new()))]
    pub seeds: String,
    /// The address that connections of this process come from
    #[bpaf(long, env("GGB_SOURCE_IP"), argument("IP"))]
    pub source_ip: Option<String>,
    /// The most bytes of one submission
    #[bpaf(long, env("GGB_BODY_BYTES"), argument("BYTES"), fallback("16777216".to_owned()), display_fallback)]
    pub body_bytes: String,
    /// The most bytes of the answer of one task; a larger one fails the job
    #[bpaf(long, env("GGB_ANSWER_BYTES"), argument("BYTES"), fallback("8388608".to_owned()), display_fallback)]
    pub answer_bytes: String,
    /// The most connections of callers
    #[bpaf(long, env("GGB_CONNECTIONS"), argument("N"), fallback("8192".to_owned()), display_fallback)]
    pub connections: String,
    /// The most open sessions
    #[bpaf(long, env("GGB_SESSIONS"), argument("N"), fallback("200000".to_owned()), display_fallback)]
    pub sessions: String,
    /// The most jobs in progress
    #[bpaf(long, env("GGB_RUNNING_JOBS"), argument("N"), fallback("20000".to_owned()), display_fallback)]
    pub running_jobs: String,
    /// The most bytes of answers that are kept until they are acknowledged
    #[bpaf(long, env("GGB_RETAINED_BYTES"), argument("BYTES"), fallback("67108864".to_owned()), display_fallback)]
    pub retained_bytes: String,
    /// How long an idle session is kept
    #[bpaf(long, env("GGB_SESSION_IDLE_MS"), argument("MS"), fallback("3600000".to_owned()), display_fallback)]
    pub session_idle_ms: String,
    /// How targets are chosen: `leases`, or the baselines `random` and `two-choices`
    #[bpaf(long, env("GGB_PLACER"), argument("PLACER"), fallback("leases".to_owned()), display_fallback)]
    pub placer: String,
    /// Check the settings and exit
    #[bpaf(long, switch)]
    pub check: bool,
    /// How events are logged
    #[bpaf(external(log_args))]
    pub log: LogArgs,
}

impl EntryArgs {
    /// Returns the settings if all of them are in range.
    ///
    /// # Errors
    ///
    /// Names every bad field.
    pub fn settings(&self) -> Result<EntrySettings, SettingsError> {
        let mut checked = Checked::default();
        self.log.apply(&mut checked);
        let advertise = self.rpc_advertise.as_deref();
        let rpc_advertise =
            advertise.and_then(|text| checked.reachable_addr("rpc-advertise", text));
        let rpc_listen = match advertise {
            Some(_) => checked.addr("rpc-listen", &self.rpc_listen),
            None => checked.reachable_addr("rpc-listen", &self.rpc_listen),
        };
        let zone = checked.value("zone", &self.zone, "1 to 64 letters, digits, `-`, `_` or `.`");
        let spill_zones = checked.zones("spill-zones", &self.spill_zones);
        let http_listen = checked.addr("http-listen", &self.http_listen);
        let operator_listen = checked.addr("operator-listen", &self.operator_listen);
        let platform = checked.reachable_addr("platform", &self.platform);
        let seeds = checked.addrs("seeds", &self.seeds);
        let source_ip = checked.ip("source-ip", self.source_ip.as_deref());
        let count = "1 to 10000000";
        let bytes = "1024 to 1073741824 bytes";
        let body_bytes = checked.number("body-bytes", &self.body_bytes, 1_024..=1 << 30, bytes);
        let answer_bytes =
            checked.number("answer-bytes", &self.answer_bytes, 1_024..=1 << 30, bytes);
        let connections = checked.number("connections", &self.connections, 1..=10_000_000, count);
        let placer: Option<Placer> =
            checked.value("placer", &self.placer, "`leases`, `random` or `two-choices`");
        let limits = self.limits(&mut checked);
        let settings = (|| {
            Some(EntrySettings {
                zone: zone?,
                spill_zones,
                http_listen: http_listen?,
                rpc_listen: rpc_listen?,
                rpc_advertise,
                operator_listen: operator_listen?,
                platform: platform?,
                seeds,
                source_ip,
                body_bytes: body_bytes as usize,
                answer_bytes: answer_bytes as usize,
                connections: connections as usize,
                limits,
                placer: placer?,
            })
        })();
        checked.finish(settings)
    }

    fn limits(&self, checked: &mut Checked) -> Limits {
        let count = "1 to 10000000";
        Limits {
            sessions: checked.number("sessions", &self.sessions, 1..=10_000_000, count) as usize,
            running_jobs: checked.number("running-jobs", &self.running_jobs, 1..=10_000_000, count)
                as usize,
            retained_bytes: checked.number(
                "retained-bytes",
                &self.retained_bytes,
                1_024..=1 << 40,
                "1024 bytes to 1 TiB",
            ) as usize,
            idle_ms: checked.number(
                "session-idle-ms",
                &self.session_idle_ms,
                1_000..=604_800_000,
                "1000 to 604800000 ms",
            ),
            ..Limits::default()
        }
    }
}
