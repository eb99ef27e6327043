//! Zones that operators evacuate, and how owners and entry processes learn of it.

use ggb_model::Zone;
use ggb_placement::{JobAnswer, RefusalReason};
use ggb_standin::RunRecord;
use rand::Rng as _;

use super::{Simulation, Waiter, zone_name};

/// Time after a request from which no task may start in the zone.
pub const EVACUATE_MS: u64 = 2_000;

/// Part of [`EVACUATE_MS`] for start requests that are in flight.
const START_MARGIN_MS: u64 = 400;

/// Longest time between two reads of the requests by the same owner.
const POLL_MS: u64 = 500;

/// Time after which entry processes know of a request.
const ENTRY_DELAY_MS: u64 = 300;

/// Time in which a zone was evacuated.
struct Period {
    zone: usize,
    from_ms: u64,
    until_ms: u64,
}

/// The requests of operators.
#[derive(Default)]
pub struct Evacuations {
    /// Whether owners read the requests.
    are_read: bool,
    periods: Vec<Period>,
    /// Callers whose jobs a zone refused since it is evacuated.
    refusals: Vec<(usize, usize)>,
}

impl Evacuations {
    fn is_evacuated(&self, zone: usize, now_ms: u64) -> bool {
        let mut periods = self.periods.iter();
        periods.any(|period| {
            period.zone == zone && (period.from_ms..period.until_ms).contains(&now_ms)
        })
    }
}

impl Simulation {
    /// Requests the evacuation of a zone.
    pub fn evacuate(&mut self, zone: usize) {
        let (from_ms, until_ms) = (self.now_ms, u64::MAX);
        self.evacuations.periods.push(Period { zone, from_ms, until_ms });
        if !std::mem::replace(&mut self.evacuations.are_read, true) {
            (0..self.owners.len()).for_each(|owner_index| self.poll_evacuations(owner_index));
        }
    }

    /// Returns an evacuated zone to service.
    pub fn return_to_service(&mut self, zone: usize) {
        let now_ms = self.now_ms;
        let open = |period: &&mut Period| period.zone == zone && period.until_ms == u64::MAX;
        let periods = &mut self.evacuations.periods;
        periods.iter_mut().filter(open).for_each(|period| period.until_ms = now_ms);
    }

    /// Has a new owner read the requests before it gets jobs.
    pub(super) fn read_evacuations_at_start(&mut self, owner_index: usize) {
        if self.evacuations.are_read {
            self.apply_evacuations(owner_index, self.now_ms);
            self.poll_evacuations(owner_index);
        }
    }

    fn poll_evacuations(&mut self, owner_index: usize) {
        let requested_at_ms = self.now_ms;
        let delay_ms = self.rng.random_range(1..POLL_MS);
        self.schedule_on_owner(owner_index, delay_ms, move |sim| {
            sim.apply_evacuations(owner_index, requested_at_ms);
            sim.poll_evacuations(owner_index);
        });
    }

    fn apply_evacuations(&mut self, owner_index: usize, requested_at_ms: u64) {
        let now_ms = self.now_ms;
        let own_zone = self.owners[owner_index].zone;
        let evacuated = |zone: &usize| self.evacuations.is_evacuated(*zone, now_ms);
        let zones: Vec<usize> = (0..self.current_owners.len()).filter(evacuated).collect();
        let remote = zones.iter().filter(|zone| **zone != own_zone);
        let remote: Vec<Zone> = remote.map(|zone| zone_name(*zone)).collect();
        let dispatcher = &mut self.owners[owner_index].dispatcher;
        dispatcher.set_evacuation_known_until(requested_at_ms + EVACUATE_MS - START_MARGIN_MS);
        dispatcher.set_evacuated_zones(zones.contains(&own_zone), &remote, now_ms);
        self.execute_actions(owner_index);
    }

    /// Returns the zone to whose owner an entry process of `zone` sends a job.
    pub(super) fn serving_zone(&self, caller_index: usize, zone: usize) -> usize {
        let submission = &self.callers[caller_index].submission;
        let is_started = submission.earlier_runs != ggb_placement::EarlierRuns::None;
        let serves = |other: &usize| {
            let known_ms = self.now_ms.saturating_sub(ENTRY_DELAY_MS);
            let is_evacuated = self.evacuations.is_evacuated(*other, known_ms);
            !is_evacuated && !self.evacuations.refusals.contains(&(caller_index, *other))
        };
        if is_started || !self.evacuations.are_read || serves(&zone) {
            return zone;
        }
        let zones = self.current_owners.len();
        let others = (0..zones).map(|offset| (caller_index + offset) % zones);
        others.into_iter().find(serves).unwrap_or(zone)
    }

    /// Sends a job that an evacuated zone refused to another one. Returns whether there is one.
    pub(super) fn reroute(&mut self, caller_index: usize, zone: usize, answer: &JobAnswer) -> bool {
        let is_evacuated =
            matches!(answer, JobAnswer::Refused { reason: RefusalReason::Evacuated, .. });
        if !is_evacuated || self.evacuations.refusals.contains(&(caller_index, zone)) {
            return false;
        }
        self.evacuations.refusals.push((caller_index, zone));
        let next_zone = self.serving_zone(caller_index, zone);
        let has_next = next_zone != zone;
        if has_next {
            self.send_to_owner(caller_index, next_zone);
        }
        has_next
    }

    /// Returns the runs in evacuated zones that started after the deadline.
    pub fn starts_in_evacuated_zones(&self) -> Vec<RunRecord> {
        let mut late = Vec::new();
        for period in &self.evacuations.periods {
            let barred = period.from_ms + EVACUATE_MS..period.until_ms;
            let of_zone = self.targets.iter().filter(|target| target.zone == period.zone);
            let records = of_zone.flat_map(|target| target.simulated.records(self.now_ms));
            late.extend(records.filter(|record| barred.contains(&record.started_at_ms)));
        }
        late
    }

    /// Returns the number of runs that started in a zone since `since_ms`.
    pub fn starts_in_zone(&self, zone: usize, since_ms: u64) -> usize {
        let of_zone = self.targets.iter().filter(|target| target.zone == zone);
        let records = of_zone.flat_map(|target| target.simulated.records(self.now_ms));
        records.filter(|record| record.started_at_ms >= since_ms).count()
    }

    /// Returns whether any owner has a request that waits for an answer.
    pub fn has_waiting_callers(&self) -> bool {
        let owners = self.owners.iter().filter(|owner| owner.is_alive);
        let mut waiters = owners.flat_map(|owner| owner.waiters.iter());
        waiters.any(|(_, waiter)| matches!(waiter, Waiter::Caller(_)))
    }
}
