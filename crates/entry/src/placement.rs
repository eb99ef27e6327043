//! Requests for slot leases, and handling of admissions and grants from dispatchers.

use std::{sync::Arc, time::Duration};

use async_std::task;
use ggb_model::{Refusal, RefusalReason};
use ggb_policy::{ZoneLoad, split_across_zones};
use ggb_wire::{parse_addr, v1};

use crate::{
    home::Home,
    job::{InFlightTask, Job, Lease},
    link::{DispatcherLink, LinkHandler},
    settings::PlacementPolicy,
};

/// Delay before leases are requested again for the remaining tasks of an admitted job, after
/// every connected dispatcher refused them.
const PLACEMENT_RETRY_DELAY_MS: u64 = 100;

/// Report to a dispatcher on how a lease ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseReport {
    pub(crate) end: v1::LeaseEnd,
    pub(crate) run_ms: u32,
    /// Whether the target reported that it is leaving.
    pub(crate) leaving: bool,
}

impl LeaseReport {
    pub(crate) const fn new(end: v1::LeaseEnd) -> Self {
        LeaseReport { end, run_ms: 0, leaving: false }
    }
}

impl Home {
    /// Requests leases for those waiting tasks of a job that no dispatcher has been asked to
    /// place.
    ///
    /// Splits the tasks among the connected dispatchers that have not refused the job. If
    /// all of them refused, stops the job, or tries again later if the job was admitted.
    pub(crate) fn place_tasks(&self, job: &Arc<Job>) {
        if self.placement != PlacementPolicy::Leases {
            return self.place_without_leases(job);
        }
        let mut state = job.state.lock();
        let count = state.unrequested_tasks();
        if count == 0 || state.progress.has_outcome() {
            return;
        }
        let links = self.links.all();
        let has_refused = |link: &Arc<DispatcherLink>| {
            state.refusals.iter().any(|(index, _)| *index == link.index)
        };
        let available: Vec<_> =
            links.iter().filter(|link| link.is_connected() && !has_refused(link)).collect();
        if available.is_empty() {
            let refusal = state.combined_refusal();
            let admitted = state.admitted;
            drop(state);
            // If no dispatcher is connected, the job waits for one until its deadline.
            return match refusal {
                Some(refusal) if admitted => self.schedule_placement_retry(job, refusal),
                Some(refusal) => self.stop_job(job, refusal),
                None => {}
            };
        }
        let loads: Vec<ZoneLoad> = available.iter().map(|link| link.load(job.priority)).collect();
        let mut counts = split_across_zones(count, &loads);
        if counts.iter().all(|count| *count == 0) {
            counts[0] = count;
        }
        let admitted = state.admitted;
        for (link, count) in available.iter().zip(counts).filter(|(_, count)| *count > 0) {
            state.demands.record_demand(link.index, count);
            link.request(job.priority, demand(job, count, admitted));
        }
    }

    /// Tries again later to place the remaining tasks of an admitted job.
    ///
    /// An admitted job may have started tasks, so it is stopped for lack of slots only when
    /// `task_timeout_ms` has passed since the job's submission.
    fn schedule_placement_retry(&self, job: &Arc<Job>, refusal: Refusal) {
        if job.submitted_at.elapsed() > Duration::from_millis(job.task_timeout_ms.into()) {
            return self.stop_job(job, refusal);
        }
        let Some(home) = self.weak_self.upgrade() else { return };
        let job = Arc::clone(job);
        task::spawn(async move {
            task::sleep(Duration::from_millis(PLACEMENT_RETRY_DELAY_MS)).await;
            job.state.lock().refusals.clear();
            home.place_tasks(&job);
        });
    }

    /// Handles a dispatcher's answer to a demand.
    ///
    /// Tasks are sent only once every part of the job is admitted; an accepted part keeps
    /// its leases buffered until then. A refused part is placed with other dispatchers.
    fn handle_admission(&self, link: &Arc<DispatcherLink>, admission: v1::Admission) {
        link.record_admission(admission.job);
        let Some(job) = self.job(admission.job) else { return };
        let mut state = job.state.lock();
        let refusal = refusal_from(&admission);
        state.demands.record_admission(link.index, refusal.is_none());
        match refusal {
            None => {
                if !state.admitted && state.is_fully_admitted() {
                    state.admitted = true;
                    let leases = std::mem::take(&mut state.buffered_leases);
                    drop(state);
                    leases.into_iter().for_each(|lease| self.start_next_task(&job, lease));
                }
            }
            Some(refusal) => {
                state.refusals.push((link.index, refusal));
                drop(state);
                self.place_tasks(&job);
            }
        }
    }

    /// Handles a granted lease: uses it, or buffers it while the job is not admitted.
    fn handle_grant(&self, link: &Arc<DispatcherLink>, epoch: u64, grant: &v1::Grant) {
        let Ok(target) = parse_addr(&grant.target) else { return };
        let lease = Lease { link_index: link.index, epoch, id: grant.lease, target };
        let Some(job) = self.job(grant.job) else { return self.release_unused(lease) };
        let mut state = job.state.lock();
        state.demands.record_grant(link.index);
        if !state.admitted && !state.progress.has_outcome() {
            state.buffered_leases.push(lease);
            return;
        }
        drop(state);
        self.start_next_task(&job, lease);
    }

    /// Releases the leases of tasks that finished while they were reported to a new dispatcher.
    fn release_finished_tasks(&self, link: &Arc<DispatcherLink>, reported_tasks: &[(u64, u64)]) {
        for (job, lease_number) in reported_tasks {
            let job = self.job(*job);
            let in_flight = job.is_some_and(|job| {
                job.state.lock().in_flight.iter().any(|sent| sent.lease_number == *lease_number)
            });
            if !in_flight {
                let end = v1::LeaseEnd::Unused.into();
                let release = v1::Release { lease: *lease_number, end, run_ms: 0, leaving: false };
                // No connection has epoch 0, so the lease is released by its number.
                link.release(0, *lease_number, release);
            }
        }
    }

    /// Releases a lease under which no task was started.
    pub(crate) fn release_unused(&self, lease: Lease) {
        self.metrics.wasted_messages.with_label_values(&["unused_grant"]).inc();
        self.release_lease(lease, 0, LeaseReport::new(v1::LeaseEnd::Unused));
    }

    /// Reports the end of a lease to the dispatcher that granted it.
    ///
    /// A dispatcher that was connected later knows the lease by `lease_number` instead.
    pub(crate) fn release_lease(&self, lease: Lease, lease_number: u64, report: LeaseReport) {
        let Some(link) = self.links.find(lease.link_index) else { return };
        let LeaseReport { end, run_ms, leaving } = report;
        let release = v1::Release { lease: lease.id, end: end.into(), run_ms, leaving };
        link.release(lease.epoch, lease_number, release);
    }
}

impl LinkHandler for Home {
    fn on_connected(&self, link: &Arc<DispatcherLink>) {
        let mut in_flight_tasks = Vec::new();
        let jobs = self.jobs();
        for job in &jobs {
            let mut state = job.state.lock();
            // A new dispatcher may admit tasks that an earlier one refused.
            state.refusals.retain(|(index, _)| *index != link.index);
            let of_link = state.in_flight.iter().filter(|sent| sent.lease.link_index == link.index);
            in_flight_tasks.extend(of_link.map(|sent| encode_in_flight_task(job, sent)));
        }
        let reported_tasks: Vec<_> =
            in_flight_tasks.iter().map(|task| (task.job, task.number)).collect();
        link.report_in_flight_tasks(in_flight_tasks);
        self.release_finished_tasks(link, &reported_tasks);
        jobs.iter().for_each(|job| self.place_tasks(job));
    }

    fn on_disconnected(&self, link: &Arc<DispatcherLink>) {
        for job in self.jobs() {
            let mut state = job.state.lock();
            state.demands.remove_dispatcher(link.index);
            // A dispatcher revokes all leases of a home whose connection is lost.
            state.buffered_leases.retain(|lease| lease.link_index != link.index);
            drop(state);
            self.place_tasks(&job);
        }
    }

    fn on_batch(&self, link: &Arc<DispatcherLink>, epoch: u64, batch: v1::DispatchBatch) {
        self.metrics.messages.with_label_values(&["dispatch_batch"]).inc();
        if batch.admissions.is_empty() && batch.grants.is_empty() {
            self.metrics.wasted_messages.with_label_values(&["heartbeat"]).inc();
        }
        for admission in batch.admissions {
            self.handle_admission(link, admission);
        }
        for grant in &batch.grants {
            self.handle_grant(link, epoch, grant);
        }
    }
}

/// Returns the demand for `count` tasks of a job.
///
/// The limits on queueing are lifted for an admitted job, since refusing its remaining
/// tasks would fail a job that may have started others.
fn demand(job: &Job, count: u16, admitted: bool) -> v1::Demand {
    let mut class = job.class.clone();
    let mut start_within_ms = job.start_within_ms;
    if admitted {
        class.quota_queued_tasks = u32::MAX;
        start_within_ms = u32::MAX;
    }
    v1::Demand {
        job: job.number,
        class: Some(class),
        shape: Some(job.shape.into()),
        count: count.into(),
        start_within_ms,
    }
}

fn encode_in_flight_task(job: &Job, sent: &InFlightTask) -> v1::Held {
    v1::Held {
        number: sent.lease_number,
        job: job.number,
        class: Some(job.class.clone()),
        shape: Some(job.shape.into()),
        target: sent.lease.target.to_string(),
    }
}

fn refusal_from(admission: &v1::Admission) -> Option<Refusal> {
    let reason_name = admission.refusal.as_ref()?;
    let reason = serde_json::from_value(serde_json::Value::String(reason_name.clone()));
    Some(Refusal {
        reason: reason.unwrap_or(RefusalReason::Overloaded),
        retry_after_ms: admission.retry_after_ms,
    })
}
