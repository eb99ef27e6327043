//! Results as Markdown.

use std::fmt::Write as _;

use crate::{ClassResults, Results};

/// Returns one or more results of the same workload as Markdown, side by side.
pub fn render_report(results: &[Results]) -> String {
    let mut text = String::new();
    let Some(first) = results.first() else { return text };
    writeln!(text, "### Workload `{}`, seed {}\n", first.workload, first.seed).ok();
    writeln!(text, "Response time over the ideal, in ms, of complete jobs:\n").ok();
    writeln!(
        text,
        "| deployment | phase | class | jobs complete | p50 | p99 | p99.9 | max | other outcomes |"
    )
    .ok();
    writeln!(text, "|---|---|---|---|---|---|---|---|---|").ok();
    for result in results {
        for class in result.classes.iter().filter(|class| class.phase != "warm-up") {
            write_class(&mut text, &result.deployment, class);
        }
    }
    writeln!(text).ok();
    write_totals(&mut text, results);
    text
}

fn write_class(text: &mut String, deployment: &str, class: &ClassResults) {
    let complete = class.over_ideal_us.len();
    let others = class.outcomes.iter().filter(|(outcome, _)| outcome != "complete");
    let others: Vec<_> = others.map(|(outcome, count)| format!("{outcome} {count}")).collect();
    writeln!(
        text,
        "| {deployment} | {} | {} | {complete} | {:.1} | {:.1} | {:.1} | {:.1} | {} |",
        class.phase,
        class.class,
        class.over_ideal_ms(0.5),
        class.over_ideal_ms(0.99),
        class.over_ideal_ms(0.999),
        class.over_ideal_ms(1.0),
        if others.is_empty() { "none".to_owned() } else { others.join(", ") },
    )
    .ok();
}

fn write_totals(text: &mut String, results: &[Results]) {
    writeln!(text, "| measure |{}", names(results)).ok();
    writeln!(text, "|---|{}", "---|".repeat(results.len())).ok();
    let mut row = |name: &str, value: &dyn Fn(&Results) -> String| {
        let cells: Vec<_> = results.iter().map(value).collect();
        writeln!(text, "| {name} | {} |", cells.join(" | ")).ok();
    };
    row("tasks started", &|r| format!("{:.0}", r.starts));
    row("messages of ours for each start", &|r| format!("{:.2}", r.messages / r.starts.max(1.0)));
    row("wasted messages for 10 starts", &|r| {
        format!("{:.2}", 10.0 * r.wasted_total() / r.starts.max(1.0))
    });
    row("wasted by kind", &|r| {
        let kinds = r.wasted.iter().filter(|(_, count)| *count > 0.0);
        let kinds: Vec<_> = kinds.map(|(kind, count)| format!("{kind} {count:.0}")).collect();
        if kinds.is_empty() { "none".to_owned() } else { kinds.join(", ") }
    });
    row("processor time of ours for each start, us", &|r| {
        format!("{:.0}", 1e6 * r.own_cpu_seconds() / r.starts.max(1.0))
    });
    row("starts for each core-second of ours", &|r| {
        format!("{:.0}", r.starts / r.own_cpu_seconds().max(1e-9))
    });
    row("processor seconds by role", &|r| pairs(&r.cpu_seconds));
    row("largest memory by role, MiB", &|r| pairs(&r.memory_mib));
    row("share of slots busy by phase", &|r| {
        let phases: Vec<_> =
            r.busy.iter().map(|(phase, busy)| format!("{phase} {busy:.3}")).collect();
        phases.join(", ")
    });
    row("work of complete jobs due in a phase, as a share of slots", &|r| {
        let phases: Vec<_> =
            r.goodput.iter().map(|(phase, share)| format!("{phase} {share:.3}")).collect();
        phases.join(", ")
    });
    row("seconds until nothing waits after the busiest phase", &|r| {
        r.recovery_s.map_or("not seen".to_owned(), |seconds| format!("{seconds:.1}"))
    });
    row("lag of the tool itself, p99 us", &|r| r.send_lag_us.to_string());
}

fn names(results: &[Results]) -> String {
    results.iter().map(|result| format!(" {} |", result.deployment)).collect()
}

fn pairs(pairs: &[(String, f64)]) -> String {
    let words: Vec<_> = pairs.iter().map(|(name, value)| format!("{name} {value:.1}")).collect();
    words.join(", ")
}
