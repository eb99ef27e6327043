//! Invariants, checked against what targets logged and callers received.
//!
//! The checks use only evidence observed from outside the system, not its internals.

use std::collections::BTreeMap;

use ggb_standin::{LogKind, LogLine};
use serde_json::Value;

use super::caller::{ObservedOutcome, Submission};

/// Time after a target's departure begins during which it may still be given new tasks.
const LEAVING_GRACE_MS: u64 = 5_000;
/// Maximum time from the commit of a change until a process has applied it.
const MAX_CHANGE_DELAY_MS: u64 = 8_000;

/// Generation that a process had applied when it was sampled.
#[derive(Clone, Debug)]
pub struct GenerationSample {
    /// Name and incarnation of the process.
    pub process: String,
    /// Newest generation that the process had applied.
    pub generation: u64,
}

/// Time that a process took to apply a change.
#[derive(Clone, Debug)]
pub struct ChangeDelay {
    /// Name of the process.
    pub process: String,
    /// Time from the commit until the process had applied the change.
    pub delay_ms: u64,
}

/// Evidence collected from outside the system.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Submissions of callers.
    pub submissions: Vec<Submission>,
    /// Outcomes that callers received.
    pub observed: Vec<ObservedOutcome>,
    /// Log lines of targets.
    pub log: Vec<LogLine>,
    /// Targets by the name that they log, with the Unix time at which their departure began.
    pub leaving_targets: Vec<(String, u64)>,
    /// Generation samples in the order in which they were taken.
    pub generation_samples: Vec<GenerationSample>,
    /// Times that processes took to apply changes.
    pub change_delays: Vec<ChangeDelay>,
    /// Process and submission of each request in progress when the process began to drain.
    pub requests_during_drain: Vec<(String, String)>,
}

/// Violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Kind, as named after `violates` in a scenario.
    pub kind: &'static str,
    /// Evidence of the violation.
    pub detail: String,
}

/// Returns all violations of invariants that the evidence shows.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_starts(evidence, &mut violations);
    check_business_keys(evidence, &mut violations);
    for observed in &evidence.observed {
        check_answer(evidence, observed, &mut violations);
        check_refusal(evidence, observed, &mut violations);
    }
    check_final_outcomes(evidence, &mut violations);
    check_leaving_targets(evidence, &mut violations);
    check_drained_requests(evidence, &mut violations);
    check_generations(evidence, &mut violations);
    violations
}

fn record(violations: &mut Vec<Violation>, kind: &'static str, detail: String) {
    violations.push(Violation { kind, detail });
}

/// Checks that no task of a submission starts twice.
fn check_starts(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let mut starts: BTreeMap<&str, Vec<&LogLine>> = BTreeMap::new();
    for line in evidence.log.iter().filter(|line| line.kind == LogKind::Start) {
        starts.entry(line.tag.as_str()).or_default().push(line);
    }
    for (tag, lines) in starts.into_iter().filter(|(_, lines)| lines.len() > 1) {
        let attempts: Vec<_> = lines.iter().map(|line| line.attempt.as_str()).collect();
        record(violations, "double_start", format!("{tag} was started by {attempts:?}"));
    }
}

/// Checks that tasks under one business key run in at most one submission.
fn check_business_keys(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let mut runs: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for submission in &evidence.submissions {
        let body: Value = serde_json::from_slice(&submission.body).unwrap_or_default();
        let started = evidence.log.iter().any(|line| is_start_of(line, submission));
        if let (Some(key), true) = (body["business_key"].as_str(), started) {
            runs.entry(key.to_owned()).or_default().push(&submission.name);
        }
    }
    for (key, names) in runs.into_iter().filter(|(_, names)| names.len() > 1) {
        record(violations, "repeated_key", format!("{key} ran in {names:?}"));
    }
}

/// Checks that a complete outcome has every answer, and the answers of its own submission.
fn check_answer(evidence: &Evidence, observed: &ObservedOutcome, violations: &mut Vec<Violation>) {
    let Some(submission) = find_submission(evidence, &observed.submission) else { return };
    if observed.kind != "complete" {
        return;
    }
    let answers = observed.outcome["answers"].as_array().cloned().unwrap_or_default();
    if answers.len() != submission.tags.len() {
        let (got, expected) = (answers.len(), submission.tags.len());
        let name = &submission.name;
        return record(
            violations,
            "partial_answer",
            format!("{name}: {got} of {expected} answers"),
        );
    }
    for (index, answer) in answers.iter().enumerate() {
        let tag = answer["answer"]["tag"].as_str();
        let pad = answer["answer"]["pad"].as_str().map_or(0, str::len);
        if tag != Some(submission.tags[index].as_str()) || answer["task"] != index as u64 {
            let expected = &submission.tags[index];
            record(violations, "wrong_answer", format!("{expected}: got the answer of {tag:?}"));
        } else if pad != submission.answer_bytes {
            let expected = submission.answer_bytes;
            record(violations, "wrong_answer", format!("{tag:?}: {pad} of {expected} bytes"));
        }
    }
}

/// Checks that no task of a submission with outcome `not_run` starts, even later.
fn check_refusal(evidence: &Evidence, observed: &ObservedOutcome, violations: &mut Vec<Violation>) {
    let Some(submission) = find_submission(evidence, &observed.submission) else { return };
    if observed.kind != "not_run" {
        return;
    }
    for line in evidence.log.iter().filter(|line| is_start_of(line, submission)) {
        let detail = format!("{} was refused by {}, and started", line.tag, observed.via);
        record(violations, "false_refusal", detail);
    }
}

/// Checks that all processes report the same final outcome of a submission.
fn check_final_outcomes(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let is_final = |kind: &str| matches!(kind, "complete" | "failed" | "not_run");
    for submission in &evidence.submissions {
        let is_of_submission = |observed: &&ObservedOutcome| observed.submission == submission.name;
        let mut final_outcomes =
            evidence.observed.iter().filter(is_of_submission).filter(|o| is_final(&o.kind));
        let Some(first) = final_outcomes.next() else { continue };
        for other in final_outcomes.filter(|other| other.outcome != first.outcome) {
            let detail = format!("{}: {} and {}", submission.name, first.kind, other.kind);
            record(violations, "changed_outcome", detail);
        }
    }
}

/// Checks that a leaving target is given no new task after the grace period.
fn check_leaving_targets(evidence: &Evidence, violations: &mut Vec<Violation>) {
    for (target, left_ms) in &evidence.leaving_targets {
        let is_new_work = |line: &&LogLine| matches!(line.kind, LogKind::Start | LogKind::Deny);
        let new_work =
            evidence.log.iter().filter(|line| line.target == *target).filter(is_new_work);
        for line in new_work.filter(|line| line.at_ms > left_ms + LEAVING_GRACE_MS) {
            let since_departure_ms = line.at_ms - left_ms;
            record(
                violations,
                "work_for_leaving",
                format!(
                    "{}: given to the target {since_departure_ms} ms after it began to leave",
                    line.tag
                ),
            );
        }
    }
}

/// Checks that a graceful shutdown answers all requests in progress.
fn check_drained_requests(evidence: &Evidence, violations: &mut Vec<Violation>) {
    for (via, submission) in &evidence.requests_during_drain {
        let is_of_request = |o: &&ObservedOutcome| o.via == *via && o.submission == *submission;
        let answered = evidence.observed.iter().filter(is_of_request).any(|o| o.kind == "complete");
        if !answered {
            record(violations, "cut_off", format!("{submission} at {via} has no complete answer"));
        }
    }
}

/// Checks that the generation of a process never decreases and that changes are applied within
/// [`MAX_CHANGE_DELAY_MS`].
fn check_generations(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let mut highest_by_process: BTreeMap<&str, u64> = BTreeMap::new();
    for sample in &evidence.generation_samples {
        let highest = highest_by_process.entry(sample.process.as_str()).or_default();
        if sample.generation < *highest {
            let detail = format!("{}: {} after {highest}", sample.process, sample.generation);
            record(violations, "reverted", detail);
        }
        *highest = sample.generation.max(*highest);
    }
    for delayed in
        evidence.change_delays.iter().filter(|change| change.delay_ms > MAX_CHANGE_DELAY_MS)
    {
        record(violations, "late_change", format!("{}: {} ms", delayed.process, delayed.delay_ms));
    }
}

fn find_submission<'a>(evidence: &'a Evidence, name: &str) -> Option<&'a Submission> {
    evidence.submissions.iter().find(|submission| submission.name == name)
}

fn is_start_of(line: &LogLine, submission: &Submission) -> bool {
    line.kind == LogKind::Start && submission.tags.contains(&line.tag)
}
