//! State of a dispatcher: the scheduler and the connected homes, behind one lock.

use std::{net::SocketAddr, sync::Arc};

use ggb_control::MonotonicClock;

use ggb_policy::{
    Admission, LeaseEnd, LeaseId, PartKey, Scheduler, SchedulerOptions, SchedulerStats, StreamId,
    TargetSpec,
};
use ggb_telemetry::{DispatchMetrics, log_event};
use ggb_wire::{WireError, v1};
use parking_lot::Mutex;
use rand::rngs::ThreadRng;

use crate::{
    batch::{encode_load, parse_demand, parse_lease_end, parse_reported_lease},
    homes::{Homes, Outbox},
};

/// Time without a batch after which a home is disconnected and its leases are freed.
const HOME_TIMEOUT_MS: u64 = 3_000;

struct State {
    scheduler: Scheduler,
    homes: Homes,
    /// Whether the list of VMs was read, so that the targets are known.
    targets_known: bool,
}

/// The scheduler and the homes that it serves.
pub(crate) struct DispatcherCore {
    clock: MonotonicClock,
    metrics: DispatchMetrics,
    state: Mutex<State>,
}

impl DispatcherCore {
    pub(crate) fn new(options: SchedulerOptions, clock: MonotonicClock) -> Self {
        let scheduler = Scheduler::new(options);
        let state = State { scheduler, homes: Homes::default(), targets_known: false };
        DispatcherCore { clock, metrics: DispatchMetrics::new(), state: Mutex::new(state) }
    }

    /// Registers a home and returns its stream, or `None` while the targets are unknown.
    ///
    /// A dispatcher that has just started must not refuse work that its predecessor could place.
    pub(crate) fn connect(&self, outbox: Arc<Outbox>) -> Option<StreamId> {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        if !state.targets_known {
            return None;
        }
        let stream = state.homes.connect(outbox, now_ms);
        drop(state);
        log_event!(info, HomeConnected, stream = stream.0);
        self.push_loads();
        Some(stream)
    }

    /// Removes a home, its demands and its leases.
    pub(crate) fn disconnect(&self, stream: StreamId) {
        let mut state = self.state.lock();
        let Some(home) = state.homes.remove(stream) else { return };
        home.outbox.close();
        log_event!(info, HomeLost, stream = stream.0);
        state.scheduler.remove_stream(stream, self.clock.now_ms());
        self.assign(&mut state);
    }

    /// Closes the streams of all homes, so that they connect to the next dispatcher of the zone
    /// in rendezvous order.
    pub(crate) fn disconnect_all(&self) {
        let streams: Vec<_> = self.state.lock().homes.iter().map(|home| home.stream).collect();
        streams.into_iter().for_each(|stream| self.disconnect(stream));
    }

    /// Applies a batch of a home.
    ///
    /// # Errors
    ///
    /// Fails at the first invalid message; the home is to be disconnected then.
    pub(crate) fn apply(&self, stream: StreamId, batch: v1::HomeBatch) -> Result<(), WireError> {
        self.metrics.batches.with_label_values(&["received"]).inc();
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(home) = state.homes.get_mut(stream) else { return Ok(()) };
        home.last_batch_ms = now_ms;
        for reported in batch.held {
            let reported = parse_reported_lease(stream, reported)?;
            let lease =
                state.scheduler.adopt_lease(reported.key, &reported.class, &reported.lease, now_ms);
            home.insert_reported(reported.number, lease);
        }
        for release in batch.held_releases {
            if let Some(lease) = home.take_reported(release.lease) {
                self.release(&mut state.scheduler, stream, lease.0, &release, now_ms);
            }
        }
        for release in batch.releases {
            self.release(&mut state.scheduler, stream, release.lease, &release, now_ms);
        }
        for job in batch.withdrawals {
            state.scheduler.remove_queued(PartKey { stream, job });
        }
        let has_demands = !batch.demands.is_empty();
        for demand in batch.demands {
            let job = demand.job;
            let admission = state.scheduler.admit(parse_demand(stream, demand)?, now_ms);
            home.outbox.push_admission(self.encode_admission(job, &admission));
            home.outbox.wake_stream();
        }
        self.assign(state);
        if has_demands && let Some(home) = state.homes.get_mut(stream) {
            // The home splits its next demands by these loads, so it needs them even without a
            // grant.
            home.outbox.set_loads(self.loads(&state.scheduler));
        }
        Ok(())
    }

    /// Updates the targets of the scheduler from the list of VMs.
    pub(crate) fn set_targets(&self, active: &[TargetSpec], leaving: &[SocketAddr]) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        for addr in state.scheduler.target_addrs() {
            let listed = active.iter().any(|target| target.addr == addr);
            match leaving.contains(&addr) {
                true => state.scheduler.mark_target_leaving(addr, now_ms),
                false if !listed => state.scheduler.remove_target(addr, now_ms),
                false => {}
            }
        }
        for target in active {
            state.scheduler.insert_target(target.clone(), now_ms);
        }
        state.targets_known = true;
        self.assign(&mut state);
    }

    /// Stops new leases on a target that reports that it is leaving.
    pub(crate) fn mark_target_leaving(&self, addr: SocketAddr) {
        self.state.lock().scheduler.mark_target_leaving(addr, self.clock.now_ms());
    }

    /// Returns the targets without a successful task in the last `period_ms`.
    pub(crate) fn targets_without_recent_success(&self, period_ms: u64) -> Vec<SocketAddr> {
        let before_ms = self.clock.now_ms().saturating_sub(period_ms);
        self.state.lock().scheduler.targets_without_success_since(before_ms)
    }

    /// Ends expired backoffs and ejections, assigns queued tasks, and disconnects silent homes.
    pub(crate) fn refresh(&self) {
        let now_ms = self.clock.now_ms();
        let timed_out = {
            let mut state = self.state.lock();
            state.scheduler.refresh(now_ms);
            self.assign(&mut state);
            state.homes.without_batch_since(now_ms.saturating_sub(HOME_TIMEOUT_MS))
        };
        timed_out.into_iter().for_each(|stream| self.disconnect(stream));
    }

    /// Sends the loads of the zone to all homes, which also serves as heartbeat.
    pub(crate) fn push_loads(&self) {
        let state = self.state.lock();
        let loads = self.loads(&state.scheduler);
        for home in state.homes.iter() {
            home.outbox.set_loads(loads.clone());
            home.outbox.wake_stream();
        }
    }

    /// Returns the counts of the scheduler and the number of connected homes.
    pub(crate) fn stats(&self) -> (SchedulerStats, usize) {
        let state = self.state.lock();
        (state.scheduler.stats(), state.homes.len())
    }

    /// Updates the gauges and returns the metrics.
    pub(crate) fn metrics(&self) -> &DispatchMetrics {
        let (stats, homes) = self.stats();
        let metrics = &self.metrics;
        metrics.slots.with_label_values(&["total"]).set(stats.total_slots.into());
        metrics.slots.with_label_values(&["used"]).set(stats.used_slots.into());
        metrics.slots.with_label_values(&["free"]).set(stats.free_slots.into());
        metrics.queued_tasks.set(stats.queued_tasks.into());
        metrics.targets.with_label_values(&["all"]).set(stats.targets as i64);
        metrics.targets.with_label_values(&["ejected"]).set(stats.ejected_targets as i64);
        metrics.homes.set(homes as i64);
        metrics
    }

    pub(crate) fn count_sent_batch(&self) {
        self.metrics.batches.with_label_values(&["sent"]).inc();
    }

    fn release(
        &self,
        scheduler: &mut Scheduler,
        stream: StreamId,
        lease: u64,
        release: &v1::Release,
        now_ms: u64,
    ) {
        let end = parse_lease_end(release);
        self.metrics.releases.with_label_values(&[lease_end_label(end)]).inc();
        let Some(released) = scheduler.release(stream, LeaseId(lease), end, now_ms) else { return };
        if released.ejected {
            log_event!(warn, TargetEjected, target = %released.target);
        }
        if release.leaving {
            log_event!(info, TargetLeaving, target = %released.target);
            scheduler.mark_target_leaving(released.target, now_ms);
        }
    }

    /// Assigns queued tasks to free slots and queues the grants for their homes.
    fn assign(&self, state: &mut State) {
        let mut grants = Vec::new();
        let mut rng: ThreadRng = rand::rng();
        state.scheduler.assign(self.clock.now_ms(), &mut rng, &mut grants);
        if grants.is_empty() {
            return;
        }
        self.metrics.grants.inc_by(grants.len() as u64);
        let loads = self.loads(&state.scheduler);
        for grant in grants {
            let Some(home) = state.homes.get_mut(grant.key.stream) else { continue };
            home.outbox.push_grant(v1::Grant {
                job: grant.key.job,
                lease: grant.lease.0,
                target: grant.target.to_string(),
            });
            home.outbox.set_loads(loads.clone());
            home.outbox.wake_stream();
        }
    }

    fn loads(&self, scheduler: &Scheduler) -> Vec<v1::ZoneLoad> {
        scheduler.loads(self.clock.now_ms()).iter().map(encode_load).collect()
    }

    fn encode_admission(&self, job: u64, admission: &Admission) -> v1::Admission {
        match admission {
            Admission::Accepted => v1::Admission { job, refusal: None, retry_after_ms: None },
            Admission::Refused(refusal) => {
                let reason = refusal.reason.to_string();
                self.metrics.refusals.with_label_values(&[reason.as_str()]).inc();
                v1::Admission { job, refusal: Some(reason), retry_after_ms: refusal.retry_after_ms }
            }
        }
    }
}

/// Returns the metric label of a lease end.
const fn lease_end_label(end: LeaseEnd) -> &'static str {
    match end {
        LeaseEnd::Done { .. } => "done",
        LeaseEnd::Failed => "failed",
        LeaseEnd::DeniedFull => "denied_full",
        LeaseEnd::DeniedLeaving => "denied_leaving",
        LeaseEnd::Unreachable => "unreachable",
        LeaseEnd::Lost => "lost",
        LeaseEnd::Unused => "unused",
    }
}
