//! Reading metrics, status and processor time from outside.

use std::net::SocketAddr;

use ggb_http::HttpClient;
use serde_json::Value;

use crate::{Deployment, deployment::ProcessPlace};

const TIMEOUT_MS: u64 = 2_000;
const TICKS_PER_SECOND: f64 = 100.0;

/// Counters of all entry processes together.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counters {
    pub(crate) starts: f64,
    pub(crate) messages: f64,
    /// Sorted by kind.
    pub(crate) wasted: Vec<(String, f64)>,
}

/// Processor time and memory of one role.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    pub(crate) role: String,
    pub(crate) cpu_seconds: f64,
    pub(crate) memory_mib: f64,
}

pub(crate) async fn read_counters(client: &HttpClient, deployment: &Deployment) -> Counters {
    let mut counters = Counters::default();
    for entry in &deployment.entries {
        let Ok(reply) = client.fetch(entry.operator, "/metrics", TIMEOUT_MS).await else {
            continue;
        };
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        text.lines().for_each(|line| add_line(&mut counters, line));
    }
    counters
}

fn add_line(counters: &mut Counters, line: &str) {
    let Some((name, value)) = line.rsplit_once(' ') else { return };
    let value: f64 = value.parse().unwrap_or(0.0);
    let kind = name.split('"').nth(1).unwrap_or_default();
    if name.starts_with("ggb_starts_total") {
        counters.starts += value;
    } else if name.starts_with("ggb_messages_total") {
        counters.messages += value;
    } else if name.starts_with("ggb_messages_wasted_total") {
        match counters.wasted.binary_search_by(|(own, _)| own.as_str().cmp(kind)) {
            Ok(at) => counters.wasted[at].1 += value,
            Err(at) => counters.wasted.insert(at, (kind.to_owned(), value)),
        }
    }
}

impl Counters {
    /// Returns what was added since `before`.
    pub(crate) fn since(&self, before: &Counters) -> Counters {
        let earlier = |kind: &str| {
            before.wasted.iter().find(|(own, _)| own == kind).map_or(0.0, |(_, count)| *count)
        };
        Counters {
            starts: self.starts - before.starts,
            messages: self.messages - before.messages,
            wasted: self
                .wasted
                .iter()
                .map(|(kind, count)| (kind.clone(), count - earlier(kind)))
                .collect(),
        }
    }
}

/// Returns occupied slots and waiting tasks of all dispatchers.
pub(crate) async fn read_load(client: &HttpClient, deployment: &Deployment) -> (u64, u64) {
    let (mut used, mut queued) = (0, 0);
    for dispatcher in &deployment.dispatchers {
        let Some(status) = read_status(client, dispatcher.operator).await else { continue };
        used += status["details"]["used_slots"].as_u64().unwrap_or(0);
        queued += status["details"]["queued_tasks"].as_u64().unwrap_or(0);
    }
    (used, queued)
}

pub(crate) async fn read_status(client: &HttpClient, operator: SocketAddr) -> Option<Value> {
    let reply = client.fetch(operator, "/status", TIMEOUT_MS).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}

/// Returns processor time and memory by role, sorted by role.
pub(crate) fn read_usage(processes: &[ProcessPlace]) -> Vec<Usage> {
    let mut usages: Vec<Usage> = Vec::new();
    for process in processes {
        let cpu_seconds = cpu_seconds(process.pid);
        let memory_mib = memory_bytes(process.pid) as f64 / f64::from(1 << 20);
        match usages.binary_search_by(|usage| usage.role.cmp(&process.role)) {
            Ok(at) => {
                usages[at].cpu_seconds += cpu_seconds;
                usages[at].memory_mib = usages[at].memory_mib.max(memory_mib);
            }
            Err(at) => {
                usages.insert(at, Usage { role: process.role.clone(), cpu_seconds, memory_mib });
            }
        }
    }
    usages
}

/// Returns the resident memory of a process.
pub(crate) fn memory_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}
