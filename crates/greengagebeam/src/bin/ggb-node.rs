//! Node process on the users' platform: takes jobs of callers and dispatches their tasks.

use std::{net::IpAddr, path::PathBuf};

use bpaf::Bpaf;
use ggb_adapter::SETTINGS_VARIABLE;
use ggb_node::{NodeListeners, NodeProcess, read_settings};
use ggb_telemetry::{init_stdout_logs, log_event};
use greengagebeam::{
    ExitCode, SettingsChecker, SettingsError, SignalRequest, exit_with, signal_requests,
};

/// Takes jobs of callers and dispatches them to the targets of its availability zone
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct NodeArgs {
    /// The settings file written by the platform
    #[bpaf(long, env(SETTINGS_VARIABLE), argument("FILE"))]
    settings: PathBuf,
    /// The port on which metrics are served
    #[bpaf(long, env("GGB_METRICS_PORT"), argument("PORT"), fallback("9464".to_owned()), display_fallback)]
    metrics_port: String,
    /// The address to listen on for peers and operators and to connect from, if it differs
    /// from the one that the settings file gives to peers
    #[bpaf(long, env("GGB_BIND_IP"), argument("IP"))]
    bind_ip: Option<IpAddr>,
    /// Which events are logged, such as `info` or `warn,ggb_node=debug`
    #[bpaf(long, env("GGB_LOG_FILTER"), argument("FILTER"), fallback("info".to_owned()), display_fallback)]
    log_filter: String,
    /// Check the settings and exit
    #[bpaf(long, switch)]
    check: bool,
}

impl NodeArgs {
    fn metrics_port(&self) -> Result<u16, SettingsError> {
        let mut checker = SettingsChecker::default();
        let range = 1..=u64::from(u16::MAX);
        let port = checker.parse_number("metrics-port", &self.metrics_port, range, "1 to 65535");
        checker.finish(Some(port as u16))
    }
}

#[async_std::main]
async fn main() {
    let args = node_args().run();
    let settings = read_settings(&args.settings)
        .unwrap_or_else(|error| exit_with(ExitCode::InvalidSettings, format!("{error:?}")));
    let port = args.metrics_port();
    let port = port.unwrap_or_else(|error| exit_with(ExitCode::InvalidSettings, error));
    if args.check {
        println!("settings are valid");
        return;
    }
    let logs = init_stdout_logs(&args.log_filter);
    let logs = logs.unwrap_or_else(|error| exit_with(ExitCode::InvalidSettings, error));
    let requests = signal_requests().unwrap_or_else(|error| exit_with(ExitCode::Failed, error));
    let listeners = NodeListeners { bind_ip: args.bind_ip, operator_port: port };
    let node = NodeProcess::spawn(settings, args.settings, listeners).await;
    let node = node.unwrap_or_else(|error| exit_with(ExitCode::Failed, format!("{error:?}")));
    while let Ok(SignalRequest::Reload) = requests.recv().await {
        node.reload();
    }
    node.drain().await;
    log_event!(info, LinesDropped, lines = logs.dropped_line_count());
}
