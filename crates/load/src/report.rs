//! Formats results as Markdown.

use std::fmt::Write as _;

use crate::{ClassResults, Results};

/// Returns the results of one workload against one or more deployments as Markdown.
pub fn render_report(results: &[Results]) -> String {
    let mut text = String::new();
    let Some(first) = results.first() else { return text };
    writeln!(text, "### Workload `{}`, seed {}\n", first.workload, first.seed).ok();
    writeln!(
        text,
        "Response time minus the longest run time of the job's tasks, in ms, of complete jobs:\n"
    )
    .ok();
    writeln!(
        text,
        "| deployment | phase | class | jobs complete | p50 | p99 | p99.9 | max | other outcomes |"
    )
    .ok();
    writeln!(text, "|---|---|---|---|---|---|---|---|---|").ok();
    for result in results {
        for class in result.classes.iter().filter(|class| class.phase != "warm-up") {
            write_class_row(&mut text, &result.deployment, class);
        }
    }
    writeln!(text).ok();
    write_totals(&mut text, results);
    text
}

fn write_class_row(text: &mut String, deployment: &str, class: &ClassResults) {
    let complete = class.overhead_us.len();
    let other_outcomes = class.outcomes.iter().filter(|(outcome, _)| outcome != "complete");
    let other_outcomes: Vec<_> =
        other_outcomes.map(|(outcome, count)| format!("{outcome} {count}")).collect();
    writeln!(
        text,
        "| {deployment} | {} | {} | {complete} | {:.1} | {:.1} | {:.1} | {:.1} | {} |",
        class.phase,
        class.class,
        class.overhead_ms(0.5),
        class.overhead_ms(0.99),
        class.overhead_ms(0.999),
        class.overhead_ms(1.0),
        if other_outcomes.is_empty() { "none".to_owned() } else { other_outcomes.join(", ") },
    )
    .ok();
}

/// Writes the values that describe a whole run, one row for each.
fn write_totals(text: &mut String, results: &[Results]) {
    writeln!(text, "| measure |{}", deployment_cells(results)).ok();
    writeln!(text, "|---|{}", "---|".repeat(results.len())).ok();
    let mut row = |name: &str, value: &dyn Fn(&Results) -> String| {
        let cells: Vec<_> = results.iter().map(value).collect();
        writeln!(text, "| {name} | {} |", cells.join(" | ")).ok();
    };
    row("tasks started", &|r| format!("{:.0}", r.started_tasks));
    row("messages per task start", &|r| format!("{:.2}", r.messages / r.started_tasks.max(1.0)));
    row("wasted messages per 10 task starts", &|r| {
        format!("{:.2}", 10.0 * r.total_wasted_messages() / r.started_tasks.max(1.0))
    });
    row("wasted messages by kind", &|r| {
        let kinds = r.wasted_messages.iter().filter(|(_, count)| *count > 0.0);
        let kinds: Vec<_> = kinds.map(|(kind, count)| format!("{kind} {count:.0}")).collect();
        if kinds.is_empty() { "none".to_owned() } else { kinds.join(", ") }
    });
    row("CPU time of entry processes and dispatchers per task start, us", &|r| {
        format!("{:.0}", 1e6 * r.service_cpu_seconds() / r.started_tasks.max(1.0))
    });
    row("task starts per CPU second of entry processes and dispatchers", &|r| {
        format!("{:.0}", r.started_tasks / r.service_cpu_seconds().max(1e-9))
    });
    row("CPU seconds by role", &|r| format_pairs(&r.cpu_seconds));
    row("resident memory of the largest process by role, MiB", &|r| format_pairs(&r.memory_mib));
    row("share of slots occupied by phase", &|r| {
        let phases: Vec<_> =
            r.occupied_share.iter().map(|(phase, share)| format!("{phase} {share:.3}")).collect();
        phases.join(", ")
    });
    row("run time of complete jobs by the phase they were due in, as a share of slot time", &|r| {
        let phases: Vec<_> =
            r.goodput.iter().map(|(phase, share)| format!("{phase} {share:.3}")).collect();
        phases.join(", ")
    });
    row("seconds after the phase of highest demand until no task waits", &|r| {
        r.recovery_s.map_or("not reached".to_owned(), |seconds| format!("{seconds:.1}"))
    });
    row("delay of submissions by the load generator, p99 us", &|r| r.send_lag_p99_us.to_string());
}

fn deployment_cells(results: &[Results]) -> String {
    results.iter().map(|result| format!(" {} |", result.deployment)).collect()
}

fn format_pairs(pairs: &[(String, f64)]) -> String {
    let words: Vec<_> = pairs.iter().map(|(name, value)| format!("{name} {value:.1}")).collect();
    words.join(", ")
}
