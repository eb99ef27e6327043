//! Command-line flags for logs.

use bpaf::Bpaf;
use ggb_telemetry::{LogFormat, init_logs};

use crate::SettingsChecker;

/// Logging flags
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(log_args))]
pub struct LogArgs {
    /// Format of log lines: `human` or `json`
    #[bpaf(long, env("GGB_LOG_FORMAT"), argument("FORMAT"), fallback("human".to_owned()), display_fallback)]
    pub log_format: String,
    /// Which events are logged, such as `info` or `warn,ggb_entry=debug`
    #[bpaf(long, env("GGB_LOG_FILTER"), argument("FILTER"), fallback("info".to_owned()), display_fallback)]
    pub log_filter: String,
}

impl LogArgs {
    /// Validates the flags and initializes logging; errors are recorded in `checker`.
    pub fn init(&self, checker: &mut SettingsChecker) {
        let format: Option<LogFormat> =
            checker.parse("log-format", &self.log_format, "`human` or `json`");
        if let Some(format) = format
            && init_logs(format, &self.log_filter).is_err()
        {
            let _: Option<u8> = checker.parse("log-filter", &self.log_filter, "a log filter");
        }
    }
}
