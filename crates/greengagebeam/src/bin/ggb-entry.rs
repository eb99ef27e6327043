//! Serves callers and owns their sessions.

use ggb_entry::EntryProcess;
use greengagebeam::{ExitCode, entry_args, exit_with, termination_signal};

#[async_std::main]
async fn main() {
    let args = entry_args().run();
    let settings =
        args.settings().unwrap_or_else(|error| exit_with(ExitCode::InvalidSettings, error));
    if args.check {
        println!("settings are valid");
        return;
    }
    let stop = termination_signal().unwrap_or_else(|error| exit_with(ExitCode::Failed, error));
    let entry = EntryProcess::spawn(settings).await;
    let entry = entry.unwrap_or_else(|error| exit_with(ExitCode::Failed, format!("{error:?}")));
    stop.recv().await.ok();
    entry.drain().await;
}
