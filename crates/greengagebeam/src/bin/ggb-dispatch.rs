//! Grants slot leases on the targets of one availability zone.

use ggb_dispatch::Dispatcher;
use greengagebeam::{ExitCode, dispatch_args, exit_with, termination_signal};

#[async_std::main]
async fn main() {
    let args = dispatch_args().run();
    let settings =
        args.settings().unwrap_or_else(|error| exit_with(ExitCode::InvalidSettings, error));
    if args.check {
        println!("settings are valid");
        return;
    }
    let stop = termination_signal().unwrap_or_else(|error| exit_with(ExitCode::Failed, error));
    let dispatcher = Dispatcher::spawn(settings).await;
    let dispatcher =
        dispatcher.unwrap_or_else(|error| exit_with(ExitCode::Failed, format!("{error:?}")));
    stop.recv().await.ok();
    dispatcher.drain();
}
