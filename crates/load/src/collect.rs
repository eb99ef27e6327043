//! Reads metrics, status, CPU time and memory of the measured processes.

use std::net::SocketAddr;

use ggb_http::HttpClient;
use serde_json::Value;

use crate::{Deployment, deployment::ProcessInfo};

const REQUEST_TIMEOUT_MS: u64 = 2_000;

/// Unit of CPU times in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Counters summed over all entry processes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counters {
    /// Tasks started.
    pub(crate) started_tasks: f64,
    /// Messages sent and received.
    pub(crate) messages: f64,
    /// Messages that led to no task start, no answer and no freed slot, by kind; sorted by kind.
    pub(crate) wasted_messages: Vec<(String, f64)>,
}

/// Resource usage of the processes of one role.
#[derive(Clone, Debug)]
pub(crate) struct RoleUsage {
    pub(crate) role: String,
    /// CPU time of all its processes since they started.
    pub(crate) cpu_seconds: f64,
    /// Resident memory of its largest process.
    pub(crate) memory_mib: f64,
}

/// Reads the counters of all entry processes; one that doesn't respond is left out.
pub(crate) async fn read_counters(client: &HttpClient, deployment: &Deployment) -> Counters {
    let mut counters = Counters::default();
    for entry in &deployment.entries {
        let Ok(reply) = client.get(entry.operator, "/metrics", REQUEST_TIMEOUT_MS).await else {
            continue;
        };
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        text.lines().for_each(|line| add_metric_line(&mut counters, line));
    }
    counters
}

/// Adds the value of one line of a metrics page to the counter that it belongs to.
fn add_metric_line(counters: &mut Counters, line: &str) {
    let Some((name, value)) = line.rsplit_once(' ') else { return };
    let value: f64 = value.parse().unwrap_or(0.0);
    let kind = name.split('"').nth(1).unwrap_or_default();
    if name.starts_with("ggb_starts_total") {
        counters.started_tasks += value;
    } else if name.starts_with("ggb_messages_total") {
        counters.messages += value;
    } else if name.starts_with("ggb_messages_wasted_total") {
        match counters.wasted_messages.binary_search_by(|(other, _)| other.as_str().cmp(kind)) {
            Ok(index) => counters.wasted_messages[index].1 += value,
            Err(index) => counters.wasted_messages.insert(index, (kind.to_owned(), value)),
        }
    }
}

impl Counters {
    /// Returns the increase of each counter since `before`.
    pub(crate) fn since(&self, before: &Counters) -> Counters {
        let earlier = |kind: &str| {
            before
                .wasted_messages
                .iter()
                .find(|(other, _)| other == kind)
                .map_or(0.0, |(_, count)| *count)
        };
        Counters {
            started_tasks: self.started_tasks - before.started_tasks,
            messages: self.messages - before.messages,
            wasted_messages: self
                .wasted_messages
                .iter()
                .map(|(kind, count)| (kind.clone(), count - earlier(kind)))
                .collect(),
        }
    }
}

/// Returns the occupied slots and the waiting tasks, summed over all dispatchers.
pub(crate) async fn read_load(client: &HttpClient, deployment: &Deployment) -> (u64, u64) {
    let (mut used_slots, mut queued_tasks) = (0, 0);
    for dispatcher in &deployment.dispatchers {
        let Some(status) = read_status(client, dispatcher.operator).await else { continue };
        used_slots += status["details"]["used_slots"].as_u64().unwrap_or(0);
        queued_tasks += status["details"]["queued_tasks"].as_u64().unwrap_or(0);
    }
    (used_slots, queued_tasks)
}

/// Returns the status page of a process, or `None` if it can't be read.
pub(crate) async fn read_status(client: &HttpClient, operator: SocketAddr) -> Option<Value> {
    let reply = client.get(operator, "/status", REQUEST_TIMEOUT_MS).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}

/// Returns for each role, sorted by name, the total CPU time of its processes and the memory of
/// the largest one.
pub(crate) fn read_usage(processes: &[ProcessInfo]) -> Vec<RoleUsage> {
    let mut usages: Vec<RoleUsage> = Vec::new();
    for process in processes {
        let cpu_seconds = cpu_seconds(process.pid);
        let memory_mib = resident_bytes(process.pid) as f64 / f64::from(1 << 20);
        match usages.binary_search_by(|usage| usage.role.cmp(&process.role)) {
            Ok(index) => {
                usages[index].cpu_seconds += cpu_seconds;
                usages[index].memory_mib = usages[index].memory_mib.max(memory_mib);
            }
            Err(index) => {
                usages.insert(
                    index,
                    RoleUsage { role: process.role.clone(), cpu_seconds, memory_mib },
                );
            }
        }
    }
    usages
}

/// Returns the resident memory of a process, or 0 if it can't be read.
pub(crate) fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

/// Returns the user and system CPU time of a process, or 0 if it can't be read.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    // `utime` and `stime`: the fields 14 and 15 of the file, of which the first two are cut off.
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}
