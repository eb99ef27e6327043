//! Asking dispatchers for slots, and taking what they grant.

use std::{sync::Arc, time::Duration};

use async_std::task;
use ggb_model::{Refusal, RefusalReason};
use ggb_policy::{ZoneLoad, split};
use ggb_wire::{addr_from, v1};

use crate::{
    home::Home,
    job::{Job, Lease, SentTask},
    link::{Link, LinkSink},
    settings::Placer,
};

const PLACE_AGAIN_MS: u64 = 100;

/// What a dispatcher is told of the end of a lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseReport {
    pub(crate) end: v1::LeaseEnd,
    pub(crate) run_ms: u32,
    /// Whether the target said that it is leaving.
    pub(crate) leaving: bool,
}

impl LeaseReport {
    pub(crate) const fn new(end: v1::LeaseEnd) -> Self {
        LeaseReport { end, run_ms: 0, leaving: false }
    }
}

impl Home {
    /// Asks dispatchers for the tasks of a job that wait and are asked of none.
    pub(crate) fn place(&self, job: &Arc<Job>) {
        if self.placer != Placer::Leases {
            return self.place_directly(job);
        }
        let mut state = job.state.lock();
        let count = state.unasked();
        if count == 0 || state.progress.is_over() {
            return;
        }
        let links = self.links.all();
        let refused = |link: &Arc<Link>| state.refusals.iter().any(|(at, _)| *at == link.index);
        let open: Vec<_> =
            links.iter().filter(|link| link.is_connected() && !refused(link)).collect();
        if open.is_empty() {
            let refusal = state.combined_refusal();
            let begun = state.begun;
            drop(state);
            // Without any dispatcher the job waits for one, within its limit.
            return match refusal {
                Some(refusal) if begun => self.place_later(job, refusal),
                Some(refusal) => self.stop(job, refusal),
                None => {}
            };
        }
        let loads: Vec<ZoneLoad> = open.iter().map(|link| link.load(job.priority)).collect();
        let mut counts = split(count, &loads);
        if counts.iter().all(|count| *count == 0) {
            counts[0] = count;
        }
        let begun = state.begun;
        for (link, count) in open.iter().zip(counts).filter(|(_, count)| *count > 0) {
            state.asked.ask(link.index, count);
            link.ask(job.priority, demand(job, count, begun));
        }
    }

    /// Tries again to place the rest of a job that has begun, which is not failed for
    /// want of room before one of its tasks would have timed out.
    fn place_later(&self, job: &Arc<Job>, refusal: Refusal) {
        if job.submitted.elapsed() > Duration::from_millis(job.task_timeout_ms.into()) {
            return self.stop(job, refusal);
        }
        let Some(home) = self.own.upgrade() else { return };
        let job = Arc::clone(job);
        task::spawn(async move {
            task::sleep(Duration::from_millis(PLACE_AGAIN_MS)).await;
            job.state.lock().refusals.clear();
            home.place(&job);
        });
    }

    fn admitted(&self, link: &Arc<Link>, admission: v1::Admission) {
        link.note_admission(admission.job);
        let Some(job) = self.job(admission.job) else { return };
        let mut state = job.state.lock();
        let refusal = refusal_of(&admission);
        state.asked.answer(link.index, refusal.is_none());
        match refusal {
            None => {
                if !state.begun && state.is_admitted() {
                    state.begun = true;
                    let held = std::mem::take(&mut state.held);
                    drop(state);
                    held.into_iter().for_each(|lease| self.use_lease(&job, lease));
                }
            }
            Some(refusal) => {
                state.refusals.push((link.index, refusal));
                drop(state);
                self.place(&job);
            }
        }
    }

    fn granted(&self, link: &Arc<Link>, epoch: u64, grant: &v1::Grant) {
        let Ok(target) = addr_from(&grant.target) else { return };
        let lease = Lease { link: link.index, epoch, id: grant.lease, target };
        let Some(job) = self.job(grant.job) else { return self.return_unused(lease) };
        let mut state = job.state.lock();
        state.asked.granted(link.index);
        if !state.begun && !state.progress.is_over() {
            state.held.push(lease);
            return;
        }
        drop(state);
        self.use_lease(&job, lease);
    }

    /// Gives back what ended while it was being reported to a new dispatcher.
    fn release_ended(&self, link: &Arc<Link>, reported: &[(u64, u64)]) {
        for (job, number) in reported {
            let job = self.job(*job);
            let runs = job
                .is_some_and(|job| job.state.lock().sent.iter().any(|sent| sent.number == *number));
            if !runs {
                let end = v1::LeaseEnd::Unused.into();
                let release = v1::Release { lease: *number, end, run_ms: 0, leaving: false };
                link.release(0, *number, release);
            }
        }
    }

    /// Returns a lease that leads to no start.
    pub(crate) fn return_unused(&self, lease: Lease) {
        self.metrics.wasted_messages.with_label_values(&["unused_grant"]).inc();
        self.release(lease, 0, LeaseReport::new(v1::LeaseEnd::Unused));
    }

    /// Tells the dispatcher how a lease ended.
    pub(crate) fn release(&self, lease: Lease, number: u64, report: LeaseReport) {
        let Some(link) = self.links.find(lease.link) else { return };
        let LeaseReport { end, run_ms, leaving } = report;
        let release = v1::Release { lease: lease.id, end: end.into(), run_ms, leaving };
        link.release(lease.epoch, number, release);
    }
}

impl LinkSink for Home {
    fn link_up(&self, link: &Arc<Link>) {
        let mut held = Vec::new();
        let jobs = self.jobs();
        for job in &jobs {
            let mut state = job.state.lock();
            // A new dispatcher may take what an earlier one refused.
            state.refusals.retain(|(at, _)| *at != link.index);
            let own = state.sent.iter().filter(|sent| sent.lease.link == link.index);
            held.extend(own.map(|sent| held_task(job, sent)));
        }
        let numbers: Vec<_> = held.iter().map(|held| (held.job, held.number)).collect();
        link.report_held(held);
        self.release_ended(link, &numbers);
        jobs.iter().for_each(|job| self.place(job));
    }

    fn link_down(&self, link: &Arc<Link>) {
        for job in self.jobs() {
            let mut state = job.state.lock();
            state.asked.lost(link.index);
            // The dispatcher has taken these leases back with the connection.
            state.held.retain(|lease| lease.link != link.index);
            drop(state);
            self.place(&job);
        }
    }

    fn batch(&self, link: &Arc<Link>, epoch: u64, batch: v1::DispatchBatch) {
        self.metrics.messages.with_label_values(&["dispatch_batch"]).inc();
        if batch.admissions.is_empty() && batch.grants.is_empty() {
            self.metrics.wasted_messages.with_label_values(&["heartbeat"]).inc();
        }
        for admission in batch.admissions {
            self.admitted(link, admission);
        }
        for grant in &batch.grants {
            self.granted(link, epoch, grant);
        }
    }
}

/// Describes the tasks of a job to a dispatcher.
///
/// A job that has begun is not turned away half-way, so its limits are lifted.
fn demand(job: &Job, count: u16, begun: bool) -> v1::Demand {
    let mut class = job.class.clone();
    let mut start_within_ms = job.start_within_ms;
    if begun {
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

fn held_task(job: &Job, sent: &SentTask) -> v1::Held {
    v1::Held {
        number: sent.number,
        job: job.number,
        class: Some(job.class.clone()),
        shape: Some(job.shape.into()),
        target: sent.lease.target.to_string(),
    }
}

fn refusal_of(admission: &v1::Admission) -> Option<Refusal> {
    let word = admission.refusal.as_ref()?;
    let reason = serde_json::from_value(serde_json::Value::String(word.clone()));
    Some(Refusal {
        reason: reason.unwrap_or(RefusalReason::Overloaded),
        retry_after_ms: admission.retry_after_ms,
    })
}
