//! Asking dispatchers for slots, and taking what they grant.

use std::sync::Arc;

use ggb_model::{Refusal, RefusalReason};
use ggb_policy::{ZoneLoad, split};
use ggb_wire::{addr_from, v1};

use crate::{
    home::Home,
    job::{Job, JobState, Lease, Part, SentTask},
    link::{Link, LinkSink},
    settings::Placer,
};

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
            drop(state);
            // Without any dispatcher the job waits for one, within its limit.
            if let Some(refusal) = refusal {
                self.stop(job, refusal);
            }
            return;
        }
        let loads: Vec<ZoneLoad> = open.iter().map(|link| link.load(job.priority)).collect();
        let mut counts = split(count, &loads);
        if counts.iter().all(|count| *count == 0) {
            counts[0] = count;
        }
        let begun = state.begun;
        for (link, count) in open.iter().zip(counts).filter(|(_, count)| *count > 0) {
            record_part(&mut state, link.index, count);
            link.ask(job.priority, demand(job, count, begun));
        }
    }

    fn admitted(&self, link: &Arc<Link>, admission: v1::Admission) {
        link.note_admission(admission.job);
        let Some(job) = self.job(admission.job) else { return };
        let mut state = job.state.lock();
        match refusal_of(&admission) {
            None => {
                if let Some(part) = state.part_mut(link.index) {
                    part.admitted = true;
                }
                if !state.begun && state.is_admitted() {
                    state.begun = true;
                    let held = std::mem::take(&mut state.held);
                    drop(state);
                    held.into_iter().for_each(|lease| self.use_lease(&job, lease));
                }
            }
            Some(refusal) => {
                state.parts.retain(|part| part.link != link.index);
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
        if let Some(part) = state.part_mut(link.index) {
            part.outstanding = part.outstanding.saturating_sub(1);
        }
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
                link.release(0, *number, v1::Release { lease: *number, end, run_ms: 0 });
            }
        }
    }

    /// Returns a lease that leads to no start.
    pub(crate) fn return_unused(&self, lease: Lease) {
        self.metrics.wasted_messages.with_label_values(&["unused_grant"]).inc();
        self.release(lease, 0, v1::LeaseEnd::Unused, 0);
    }

    /// Tells the dispatcher how a lease ended.
    pub(crate) fn release(&self, lease: Lease, number: u64, end: v1::LeaseEnd, run_ms: u32) {
        let Some(link) = self.links.find(lease.link) else { return };
        let release = v1::Release { lease: lease.id, end: end.into(), run_ms };
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
            state.parts.retain(|part| part.link != link.index);
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

fn record_part(state: &mut JobState, link: usize, count: u16) {
    match state.part_mut(link) {
        Some(part) => {
            part.outstanding += count;
            part.admitted = false;
        }
        None => state.parts.push(Part { link, outstanding: count, admitted: false }),
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
