//! Follows the operators' requests to evacuate availability zones, and tells the owner of them.

use std::{fmt::Display, sync::Arc};

use ggb_adapter::{VersionedRows, decode_evacuated_zone};
use ggb_membership::{Evacuation, EvacuationReport, EvacuationRow};
use ggb_model::Zone;
use ggb_telemetry::log_event;

use crate::{owner::Owner, shared::Shared};

/// Part of the deadline for an evacuation that is left for a start request to reach its target. A target
/// rejects a request 100 ms after it was sent, by the dispatcher's estimate of the target's clock.
const START_MARGIN_MS: u64 = 400;

/// Part of the deadline for an evacuation for which a long poll is held open. Should the poll get no
/// answer, the table is read again well before the deadline.
const LONG_POLL_DEADLINE_DIVISOR: u64 = 5;

/// What this process knows of evacuations.
#[derive(Debug)]
pub(crate) struct EvacuationState {
    evacuation: Evacuation,
    /// Whether the table was read or a peer that knows it was heard, since the process started.
    is_known: bool,
    /// Time of the last request for the table that was answered or failed. A request from before a pause
    /// of the process tells nothing about the time of the pause.
    requested_at_ms: u64,
    /// Evacuated zones and the times at which this process learned of them, sorted.
    learned_at_ms: Vec<(Zone, u64)>,
    /// Whether it was logged that no task runs in the own zone any more.
    is_empty_logged: bool,
}

impl EvacuationState {
    pub(crate) const fn new(now_ms: u64) -> Self {
        EvacuationState {
            evacuation: Evacuation::new(),
            is_known: false,
            requested_at_ms: now_ms,
            learned_at_ms: Vec::new(),
            is_empty_logged: false,
        }
    }

    /// Returns the time until which tasks may start, as far as a request may have been missed.
    fn known_until_ms(&self, evacuate_ms: Option<u64>) -> u64 {
        match evacuate_ms {
            None => u64::MAX,
            Some(_) if !self.is_known => 0,
            Some(evacuate_ms) => self.requested_at_ms + evacuate_ms.saturating_sub(START_MARGIN_MS),
        }
    }

    fn learned_at_ms(&self, zone: &Zone) -> Option<u64> {
        let index = self.learned_at_ms.binary_search_by(|(other, _)| other.cmp(zone)).ok()?;
        Some(self.learned_at_ms[index].1)
    }
}

impl Shared {
    /// Returns the time for which the store holds a poll of the table with the requests open, at most.
    pub(crate) fn max_evacuation_poll_ms(&self) -> u64 {
        let evacuate_ms = self.live_settings().evacuate_ms;
        evacuate_ms.map_or(u64::MAX, |evacuate_ms| evacuate_ms / LONG_POLL_DEADLINE_DIVISOR)
    }

    /// Applies the rows of a read of the whole table, or those that changed.
    pub(crate) fn apply_evacuation_rows(&self, update: &VersionedRows, is_whole_table: bool) {
        let mut rows = Vec::new();
        for row in &update.rows {
            match decode_evacuated_zone(&row.key) {
                None => {}
                Some(Ok(zone)) => {
                    if !self.is_zone_listed(&zone) {
                        let error = "its zone is not in the settings";
                        log_event!(warn, ConfigurationUnreadable, key = row.key, error);
                    }
                    let (version, is_removed) = (row.version, row.value.is_none());
                    rows.push(EvacuationRow { zone, version, is_removed });
                }
                Some(Err(error)) => {
                    let error = error.current_context();
                    log_event!(warn, ConfigurationUnreadable, key = row.key, error = %error);
                }
            }
        }
        self.update_evacuation("store", |evacuation| match is_whole_table {
            true => evacuation.replace(rows, update.version),
            false => evacuation.apply(rows, update.version),
        });
    }

    /// Records that a read of the table that was requested at `requested_at_ms` was answered, or failed.
    pub(crate) fn record_evacuation_read(&self, requested_at_ms: u64, is_answered: bool) {
        {
            let mut state = self.evacuation.lock();
            state.is_known |= is_answered;
            state.requested_at_ms = state.requested_at_ms.max(requested_at_ms);
        }
        self.tell_owner_of_evacuation();
    }

    /// Merges what the heartbeat of a peer with this version of the configuration reports.
    ///
    /// The configuration is in the same table as the requests, so that a peer that has one knows of the
    /// requests, too, or has heard of them before it got the configuration from another peer.
    pub(crate) fn merge_evacuation(&self, report: &EvacuationReport, configuration_version: u64) {
        let is_news = {
            let mut state = self.evacuation.lock();
            let knows_requests = configuration_version > 0 || report.evacuation_version.is_some();
            let is_news = knows_requests && !state.is_known;
            state.is_known |= knows_requests;
            is_news
        };
        if is_news || report.evacuation_version.is_some() {
            self.update_evacuation("peer", |evacuation| evacuation.merge(report));
        }
    }

    /// Returns the state for heartbeats.
    pub(crate) fn evacuation_report(&self) -> EvacuationReport {
        let zones = &self.live_settings().zones;
        self.evacuation.lock().evacuation.report(zones)
    }

    /// Returns the zones whose owners may get a job of a caller of this process, best first.
    pub(crate) fn serving_zones(&self, refusing: &[Zone], job: &impl Display) -> Vec<Zone> {
        let zones = &self.live_settings().zones;
        let state = self.evacuation.lock();
        state.evacuation.serving_zones(&self.settings.zone, zones, refusing, job)
    }

    /// Tells the owner in this process, if any, which zones are evacuated.
    pub(crate) fn tell_owner_of_evacuation(&self) {
        if let Some(owner) = self.owner.load_full() {
            self.tell_of_evacuation(&owner);
        }
    }

    /// Tells an owner which zones are evacuated. The lock is held meanwhile, so that no owner is told
    /// of an earlier state after a later one.
    pub(crate) fn tell_of_evacuation(&self, owner: &Arc<Owner>) {
        let state = self.evacuation.lock();
        let own_zone = &self.settings.zone;
        let remote = state.evacuation.zones().iter().filter(|zone| *zone != own_zone);
        let remote: Vec<Zone> = remote.cloned().collect();
        let known_until_ms = state.known_until_ms(self.live_settings().evacuate_ms);
        owner.set_evacuated_zones(state.evacuation.contains(own_zone), &remote, known_until_ms);
    }

    /// Sets the gauges of evacuated zones, and logs once that no task runs in the own zone any more.
    pub(crate) fn update_evacuation_gauges(&self) {
        let own_zone = &self.settings.zone;
        let owner = self.owner.load_full();
        let mut state = self.evacuation.lock();
        self.metrics.evacuated_zones.reset();
        self.metrics.evacuated_zone_runs.reset();
        if state.evacuation.changed_at() == 0 {
            return;
        }
        for zone in &self.live_settings().zones {
            let is_evacuated = i64::from(state.evacuation.contains(zone));
            self.metrics.evacuated_zones.with_label_values(&[zone.as_str()]).set(is_evacuated);
        }
        let learned_at_ms = state.learned_at_ms(own_zone);
        let runs = owner.and_then(|owner| owner.known_runs());
        let Some((learned_at_ms, runs)) = learned_at_ms.zip(runs) else { return };
        let gauge = self.metrics.evacuated_zone_runs.with_label_values(&[own_zone.as_str()]);
        gauge.set(runs as i64);
        if runs == 0 && !std::mem::replace(&mut state.is_empty_logged, true) {
            let took_ms = self.now_ms() - learned_at_ms;
            log_event!(info, ZoneEmpty, zone = %own_zone, took_ms);
        }
    }

    fn is_zone_listed(&self, zone: &Zone) -> bool {
        self.live_settings().zones.binary_search(zone).is_ok()
    }

    /// Updates the evacuated zones; logs the zones that are evacuated or back in service, and tells the
    /// owner in this process.
    fn update_evacuation(&self, source: &str, update: impl FnOnce(&mut Evacuation) -> bool) {
        let runs = self.owner.load_full().and_then(|owner| owner.known_runs());
        {
            let mut state = self.evacuation.lock();
            let state = &mut *state;
            if update(&mut state.evacuation) {
                self.record_evacuated_zones(state, source, runs);
            }
        }
        self.tell_owner_of_evacuation();
    }

    fn record_evacuated_zones(
        &self,
        state: &mut EvacuationState,
        source: &str,
        runs: Option<usize>,
    ) {
        let own_zone = &self.settings.zone;
        let version = state.evacuation.changed_at();
        let former = std::mem::take(&mut state.learned_at_ms);
        for (zone, _) in former.iter().filter(|(zone, _)| !state.evacuation.contains(zone)) {
            if self.is_zone_listed(zone) {
                log_event!(info, ZoneReturned, zone = %zone, version, source);
            }
            state.is_empty_logged &= zone != own_zone;
        }
        for zone in state.evacuation.zones() {
            let known = former.binary_search_by(|(other, _)| other.cmp(zone));
            let learned_at_ms = known.map_or_else(|_| self.now_ms(), |index| former[index].1);
            if known.is_err() && self.is_zone_listed(zone) {
                let runs = runs.filter(|_| zone == own_zone);
                log_event!(info, ZoneEvacuated, zone = %zone, version, source, runs);
            }
            state.learned_at_ms.push((zone.clone(), learned_at_ms));
        }
    }
}
