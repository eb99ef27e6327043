//! The scheduler with the homes that it serves, behind one lock.

use std::{net::SocketAddr, sync::Arc};

use ggb_control::Clock;

use ggb_policy::{
    Admission, JobKey, LeaseEnd, LeaseId, Options, Scheduler, SchedulerStats, StreamId, TargetSpec,
};
use ggb_telemetry::{DispatchMetrics, log_event};
use ggb_wire::{WireError, v1};
use parking_lot::Mutex;
use rand::rngs::ThreadRng;

use crate::{
    batch::{read_demand, read_end, read_held, write_load},
    homes::{Homes, Outbox},
};

/// How long a home may be silent before its leases are free again.
const HOME_SILENCE_MS: u64 = 3_000;

struct State {
    scheduler: Scheduler,
    homes: Homes,
    /// Whether the list of VMs was seen, so that the targets are known.
    ready: bool,
}

/// The scheduler with the homes that it serves.
pub(crate) struct Core {
    clock: Clock,
    metrics: DispatchMetrics,
    state: Mutex<State>,
}

impl Core {
    pub(crate) fn new(options: Options, clock: Clock) -> Self {
        let scheduler = Scheduler::new(options);
        let state = State { scheduler, homes: Homes::default(), ready: false };
        Core { clock, metrics: DispatchMetrics::new(), state: Mutex::new(state) }
    }

    /// Takes a home, unless the targets are not known yet: a dispatcher that has just
    /// booted must not turn work away that the one before it could place.
    pub(crate) fn connect(&self, outbox: Arc<Outbox>) -> Option<StreamId> {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        if !state.ready {
            return None;
        }
        let stream = state.homes.connect(outbox, now_ms);
        drop(state);
        log_event!(info, HomeConnected, stream = stream.0);
        self.push_loads();
        Some(stream)
    }

    pub(crate) fn disconnect(&self, stream: StreamId) {
        let mut state = self.state.lock();
        let Some(home) = state.homes.remove(stream) else { return };
        home.outbox.close();
        log_event!(info, HomeLost, stream = stream.0);
        state.scheduler.remove_stream(stream, self.clock.now_ms());
        self.assign(&mut state);
    }

    /// Closes the streams of all homes, so that they turn to the dispatcher next in order.
    pub(crate) fn disconnect_all(&self) {
        let streams: Vec<_> = self.state.lock().homes.iter().map(|home| home.stream).collect();
        streams.into_iter().for_each(|stream| self.disconnect(stream));
    }

    /// Applies what a home sent.
    ///
    /// # Errors
    ///
    /// Fails at the first message that breaks the rules; the stream is then closed.
    pub(crate) fn apply(&self, stream: StreamId, batch: v1::HomeBatch) -> Result<(), WireError> {
        self.metrics.batches.with_label_values(&["received"]).inc();
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(home) = state.homes.find(stream) else { return Ok(()) };
        home.last_heard_ms = now_ms;
        for held in batch.held {
            let held = read_held(stream, held)?;
            let lease = state.scheduler.adopt_lease(held.key, &held.class, &held.lease, now_ms);
            home.insert_held(held.number, lease);
        }
        for release in batch.held_releases {
            if let Some(lease) = home.take_held(release.lease) {
                self.release(&mut state.scheduler, stream, lease.0, &release, now_ms);
            }
        }
        for release in batch.releases {
            self.release(&mut state.scheduler, stream, release.lease, &release, now_ms);
        }
        for job in batch.withdrawals {
            state.scheduler.remove_queued(JobKey { stream, job });
        }
        let demanded = !batch.demands.is_empty();
        for demand in batch.demands {
            let job = demand.job;
            let admission = state.scheduler.offer(read_demand(stream, demand)?, now_ms);
            home.outbox.push_admission(self.write_admission(job, &admission));
            home.outbox.wake();
        }
        self.assign(state);
        if demanded && let Some(home) = state.homes.find(stream) {
            // What a home asks next is split by this, also when nothing was granted.
            home.outbox.set_loads(self.loads(&state.scheduler));
        }
        Ok(())
    }

    /// Brings the targets up to date with the list of VMs.
    pub(crate) fn set_targets(&self, staying: &[TargetSpec], leaving: &[SocketAddr]) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        for addr in state.scheduler.target_addrs() {
            let listed = staying.iter().any(|target| target.addr == addr);
            match leaving.contains(&addr) {
                true => state.scheduler.mark_target_leaving(addr, now_ms),
                false if !listed => state.scheduler.remove_target(addr, now_ms),
                false => {}
            }
        }
        for target in staying {
            state.scheduler.insert_target(target.clone(), now_ms);
        }
        state.ready = true;
        self.assign(&mut state);
    }

    /// Grants no more leases on a target that says itself that it is leaving.
    pub(crate) fn target_leaving(&self, addr: SocketAddr) {
        self.state.lock().scheduler.mark_target_leaving(addr, self.clock.now_ms());
    }

    /// Returns the targets that no home has told anything of since `since_ms` ago.
    pub(crate) fn quiet_targets(&self, since_ms: u64) -> Vec<SocketAddr> {
        let before_ms = self.clock.now_ms().saturating_sub(since_ms);
        self.state.lock().scheduler.targets_without_success_since(before_ms)
    }

    /// Ends what has lapsed, and matches tasks to slots again.
    pub(crate) fn refresh(&self) {
        let now_ms = self.clock.now_ms();
        let silent = {
            let mut state = self.state.lock();
            state.scheduler.refresh(now_ms);
            self.assign(&mut state);
            state.homes.silent_since(now_ms.saturating_sub(HOME_SILENCE_MS))
        };
        silent.into_iter().for_each(|stream| self.disconnect(stream));
    }

    /// Tells all homes how busy the zone is; this is the heartbeat too.
    pub(crate) fn push_loads(&self) {
        let state = self.state.lock();
        let loads = self.loads(&state.scheduler);
        for home in state.homes.iter() {
            home.outbox.set_loads(loads.clone());
            home.outbox.wake();
        }
    }

    pub(crate) fn stats(&self) -> (SchedulerStats, usize) {
        let state = self.state.lock();
        (state.scheduler.stats(), state.homes.len())
    }

    /// Returns the metrics, brought up to date.
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

    pub(crate) fn count_sent(&self) {
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
        let end = read_end(release);
        self.metrics.releases.with_label_values(&[end_label(end)]).inc();
        let Some(released) = scheduler.release(stream, LeaseId(lease), end, now_ms) else { return };
        if released.ejected {
            log_event!(warn, TargetEjected, target = %released.target);
        }
        if release.leaving {
            log_event!(info, TargetLeaving, target = %released.target);
            scheduler.mark_target_leaving(released.target, now_ms);
        }
    }

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
            let Some(home) = state.homes.find(grant.key.stream) else { continue };
            home.outbox.push_grant(v1::Grant {
                job: grant.key.job,
                lease: grant.lease.0,
                target: grant.target.to_string(),
            });
            home.outbox.set_loads(loads.clone());
            home.outbox.wake();
        }
    }

    fn loads(&self, scheduler: &Scheduler) -> Vec<v1::ZoneLoad> {
        scheduler.loads(self.clock.now_ms()).iter().map(write_load).collect()
    }

    fn write_admission(&self, job: u64, admission: &Admission) -> v1::Admission {
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

const fn end_label(end: LeaseEnd) -> &'static str {
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
