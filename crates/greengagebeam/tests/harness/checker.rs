//! What must always hold, checked against what targets logged and callers saw.
//!
//! Nothing here knows how the system works: the evidence is what left it.

use std::collections::BTreeMap;

use ggb_standin::{LogKind, LogLine};
use serde_json::Value;

use super::caller::{Observed, Submission};

/// How long after a target began to leave it may still be given new work.
const LEAVING_GRACE_MS: u64 = 5_000;
/// How long a committed change may take until it is in force.
const IN_FORCE_WITHIN_MS: u64 = 8_000;

/// A generation seen in force at a process.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The process, by name and incarnation.
    pub process: String,
    /// The generation.
    pub generation: u64,
}

/// A change that became in force at a process.
#[derive(Clone, Debug)]
pub struct InForce {
    /// The process.
    pub process: String,
    /// How long after the commit.
    pub after_ms: u64,
}

/// All that was seen from outside.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// What callers submitted.
    pub submissions: Vec<Submission>,
    /// What callers saw.
    pub observed: Vec<Observed>,
    /// What targets logged.
    pub log: Vec<LogLine>,
    /// When targets began to leave, by the name that they log.
    pub leaving: Vec<(String, u64)>,
    /// Generations in the order in which they were seen.
    pub samples: Vec<Sample>,
    /// How long changes took.
    pub in_force: Vec<InForce>,
    /// Requests in progress when the process that they were sent to was asked to stop.
    pub during_drain: Vec<(String, String)>,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Its kind.
    pub kind: &'static str,
    /// What was seen.
    pub detail: String,
}

/// Returns every promise that the evidence shows to be broken.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    check_starts(evidence, &mut found);
    check_business_keys(evidence, &mut found);
    for observed in &evidence.observed {
        check_answer(evidence, observed, &mut found);
        check_refusal(evidence, observed, &mut found);
    }
    check_stability(evidence, &mut found);
    check_leaving(evidence, &mut found);
    check_drain(evidence, &mut found);
    check_generations(evidence, &mut found);
    found
}

fn report(found: &mut Vec<Violation>, kind: &'static str, detail: String) {
    found.push(Violation { kind, detail });
}

/// No task of a submission starts twice.
fn check_starts(evidence: &Evidence, found: &mut Vec<Violation>) {
    let mut starts: BTreeMap<&str, Vec<&LogLine>> = BTreeMap::new();
    for line in evidence.log.iter().filter(|line| line.kind == LogKind::Start) {
        starts.entry(line.tag.as_str()).or_default().push(line);
    }
    for (tag, lines) in starts.into_iter().filter(|(_, lines)| lines.len() > 1) {
        let attempts: Vec<_> = lines.iter().map(|line| line.attempt.as_str()).collect();
        report(found, "double_start", format!("{tag} was started by {attempts:?}"));
    }
}

/// Work under one business key runs in at most one submission.
fn check_business_keys(evidence: &Evidence, found: &mut Vec<Violation>) {
    let mut runs: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for submission in &evidence.submissions {
        let body: Value = serde_json::from_slice(&submission.body).unwrap_or_default();
        let started = evidence.log.iter().any(|line| is_start_of(line, submission));
        if let (Some(key), true) = (body["business_key"].as_str(), started) {
            runs.entry(key.to_owned()).or_default().push(&submission.name);
        }
    }
    for (key, names) in runs.into_iter().filter(|(_, names)| names.len() > 1) {
        report(found, "repeated_key", format!("{key} ran in {names:?}"));
    }
}

/// An answer is complete or failed, whole, and belongs to its request.
fn check_answer(evidence: &Evidence, observed: &Observed, found: &mut Vec<Violation>) {
    let Some(submission) = find(evidence, &observed.submission) else { return };
    if observed.kind != "complete" {
        return;
    }
    let answers = observed.outcome["answers"].as_array().cloned().unwrap_or_default();
    if answers.len() != submission.tags.len() {
        let (got, expected) = (answers.len(), submission.tags.len());
        let name = &submission.name;
        return report(found, "partial_answer", format!("{name}: {got} of {expected} answers"));
    }
    for (at, answer) in answers.iter().enumerate() {
        let tag = answer["answer"]["tag"].as_str();
        let pad = answer["answer"]["pad"].as_str().map_or(0, str::len);
        if tag != Some(submission.tags[at].as_str()) || answer["task"] != at as u64 {
            let expected = &submission.tags[at];
            report(found, "wrong_answer", format!("{expected}: got the answer of {tag:?}"));
        } else if pad != submission.answer_bytes {
            let expected = submission.answer_bytes;
            report(found, "wrong_answer", format!("{tag:?}: {pad} of {expected} bytes"));
        }
    }
}

/// A refusal that says "not run" is true for ever.
fn check_refusal(evidence: &Evidence, observed: &Observed, found: &mut Vec<Violation>) {
    let Some(submission) = find(evidence, &observed.submission) else { return };
    if observed.kind != "not_run" {
        return;
    }
    for line in evidence.log.iter().filter(|line| is_start_of(line, submission)) {
        let detail = format!("{} was refused by {}, and started", line.tag, observed.via);
        report(found, "false_refusal", detail);
    }
}

/// Whoever is asked, a submission has one final outcome.
fn check_stability(evidence: &Evidence, found: &mut Vec<Violation>) {
    let is_final = |kind: &str| matches!(kind, "complete" | "failed" | "not_run");
    for submission in &evidence.submissions {
        let own = |observed: &&Observed| observed.submission == submission.name;
        let mut finals = evidence.observed.iter().filter(own).filter(|o| is_final(&o.kind));
        let Some(first) = finals.next() else { continue };
        for other in finals.filter(|other| other.outcome != first.outcome) {
            let detail = format!("{}: {} and {}", submission.name, first.kind, other.kind);
            report(found, "changed_outcome", detail);
        }
    }
}

/// A leaving target receives no new work after the grace.
fn check_leaving(evidence: &Evidence, found: &mut Vec<Violation>) {
    for (target, left_ms) in &evidence.leaving {
        let given = |line: &&LogLine| matches!(line.kind, LogKind::Start | LogKind::Deny);
        let own = evidence.log.iter().filter(|line| line.target == *target).filter(given);
        for line in own.filter(|line| line.at_ms > left_ms + LEAVING_GRACE_MS) {
            let late_ms = line.at_ms - left_ms;
            report(found, "work_for_leaving", format!("{}: {late_ms} ms after", line.tag));
        }
    }
}

/// A graceful shutdown cuts off no request in progress.
fn check_drain(evidence: &Evidence, found: &mut Vec<Violation>) {
    for (via, submission) in &evidence.during_drain {
        let own = |o: &&Observed| o.via == *via && o.submission == *submission;
        let answered = evidence.observed.iter().filter(own).any(|o| o.kind == "complete");
        if !answered {
            report(found, "cut_off", format!("{submission} at {via} has no complete answer"));
        }
    }
}

/// A generation in force never goes down, and comes in time.
fn check_generations(evidence: &Evidence, found: &mut Vec<Violation>) {
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    for sample in &evidence.samples {
        let highest = highest.entry(sample.process.as_str()).or_default();
        if sample.generation < *highest {
            let detail = format!("{}: {} after {highest}", sample.process, sample.generation);
            report(found, "reverted", detail);
        }
        *highest = sample.generation.max(*highest);
    }
    for late in evidence.in_force.iter().filter(|change| change.after_ms > IN_FORCE_WITHIN_MS) {
        report(found, "late_change", format!("{}: {} ms", late.process, late.after_ms));
    }
}

fn find<'a>(evidence: &'a Evidence, name: &str) -> Option<&'a Submission> {
    evidence.submissions.iter().find(|submission| submission.name == name)
}

fn is_start_of(line: &LogLine, submission: &Submission) -> bool {
    line.kind == LogKind::Start && submission.tags.contains(&line.tag)
}
