//! Measures deployments under load.

use std::{fs, path::PathBuf};

use bpaf::Bpaf;
use ggb_load::{
    Deployment, LoadError, Results, WORKLOADS, Workload, draw_timeline, measure_scheduler,
    measure_sessions, render_report, run,
};
use greengagebeam::{ExitCode, exit_with};

/// Measures deployments with open-loop workloads
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run a workload against one or several deployments, one after the other, and compare them
    #[bpaf(command)]
    Run {
        /// The workload: half-load, overload, blocking, saturday-rush or before-the-bell
        #[bpaf(long, argument("NAME"))]
        workload: String,
        /// The random seed; the same seed submits the same jobs
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// The file for a plot of busy slots over time
        #[bpaf(long, argument("FILE"))]
        plot: Option<PathBuf>,
        /// The file for the report, which is also printed on standard output
        #[bpaf(long, argument("FILE"))]
        report: Option<PathBuf>,
        /// Deployments, as JSON files written by bench/up
        #[bpaf(positional("DEPLOYMENT"), some("expected at least one deployment"))]
        deployments: Vec<PathBuf>,
    },
    /// Open idle sessions and show the memory that each takes in its entry process
    #[bpaf(command)]
    Sessions {
        /// The number of sessions
        #[bpaf(long, argument("N"), fallback(50_000), display_fallback)]
        count: usize,
        /// The deployment, as a JSON file written by bench/up
        #[bpaf(positional("DEPLOYMENT"))]
        deployment: PathBuf,
    },
    /// Run a dispatcher's scheduler in isolation and show the time for each start
    #[bpaf(command)]
    Scheduler {
        /// The random seed
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// The number of starts to measure
        #[bpaf(long, argument("N"), fallback(300_000), display_fallback)]
        starts: u64,
        /// The numbers of targets; the scheduler is measured once with each
        #[bpaf(positional("TARGETS"), some("expected at least one number of targets"))]
        targets: Vec<u32>,
    },
}

#[async_std::main]
async fn main() {
    let outcome = match command().run() {
        Command::Run { workload, seed, plot, report, deployments } => {
            let Some(workload) = Workload::by_name(&workload) else {
                let message = format!("workload: got `{workload}`, expected one of {WORKLOADS:?}");
                exit_with(ExitCode::InvalidSettings, message)
            };
            run_all(&deployments, &workload, seed, plot, report).await
        }
        Command::Sessions { count, deployment } => measure_session_cost(&deployment, count).await,
        Command::Scheduler { seed, starts, targets } => {
            println!(
                "| targets | starts | us for each start | us for a refresh |\n|---|---|---|---|"
            );
            for targets in targets {
                let cost = measure_scheduler(targets, starts, seed);
                println!(
                    "| {} | {} | {:.2} | {:.0} |",
                    cost.targets, cost.starts, cost.us_per_start, cost.refresh_us
                );
            }
            Ok(())
        }
    };
    if let Err(error) = outcome {
        exit_with(ExitCode::Failed, error);
    }
}

async fn run_all(
    deployments: &[PathBuf],
    workload: &Workload,
    seed: u64,
    plot: Option<PathBuf>,
    report: Option<PathBuf>,
) -> Result<(), LoadError> {
    let mut results: Vec<Results> = Vec::new();
    for path in deployments {
        results.push(run(&Deployment::read(path)?, workload, seed).await?);
    }
    let text = render_report(&results);
    println!("{text}");
    if let Some(path) = report {
        fs::write(&path, &text)
            .unwrap_or_else(|error| exit_with(ExitCode::Failed, format!("report: {error}")));
    }
    match plot {
        Some(path) => draw_timeline(&results, &path),
        None => Ok(()),
    }
}

async fn measure_session_cost(deployment: &std::path::Path, count: usize) -> Result<(), LoadError> {
    let cost = measure_sessions(&Deployment::read(deployment)?, count).await?;
    println!("{} sessions, {:.0} bytes each", cost.sessions, cost.bytes_per_session);
    Ok(())
}
