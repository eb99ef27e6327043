//! Availability zones that operators have asked to evacuate.

use std::fmt::Display;

use ggb_model::Zone;
use serde::{Deserialize, Serialize};

use crate::rendezvous::rank_zones;

/// A row of the store that requests the evacuation of a zone, or that was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRow {
    /// Zone that the row names.
    pub zone: Zone,
    /// Store version of the last change of the row.
    pub version: u64,
    /// Whether the row was removed, which returns the zone to service.
    pub is_removed: bool,
}

/// Maximum number of zones in a report, each of up to 67 bytes, so that heartbeats stay below their
/// maximum size. Mistaken rows for zones that don't exist must not make heartbeats too large.
const MAX_REPORTED_ZONES: usize = 16;

/// State of the evacuations as heartbeats carry it. Nothing is written while no evacuation was ever
/// requested.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EvacuationReport {
    /// Zones to be evacuated, sorted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated_zones: Vec<Zone>,
    /// Store version of the last change; `None` if the sender knows of no request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuation_version: Option<u64>,
}

/// The zones that operators have asked to evacuate, as the store or a peer reports them.
///
/// The zones are those of the store at every version from `changed_at` to `current_to`, or of a later
/// one. States are replaced by states of higher versions only, whatever the order in which they arrive:
/// an outdated state that returned a zone to service would allow tasks to start there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuation {
    /// Sorted.
    zones: Vec<Zone>,
    /// Store version of the last known change; 0 if there was none.
    changed_at: u64,
    /// Store version up to which the rows are known; 0 if they were never read.
    current_to: u64,
}

impl Evacuation {
    /// Returns a state without evacuated zones.
    pub const fn new() -> Self {
        Evacuation { zones: Vec::new(), changed_at: 0, current_to: 0 }
    }

    /// Returns the zones to be evacuated, sorted.
    pub fn zones(&self) -> &[Zone] {
        &self.zones
    }

    /// Returns the store version of the last known change; 0 if there was none.
    pub const fn changed_at(&self) -> u64 {
        self.changed_at
    }

    /// Returns whether a zone is to be evacuated.
    pub fn contains(&self, zone: &Zone) -> bool {
        self.zones.binary_search(zone).is_ok()
    }

    /// Returns the state for heartbeats. A list that is too long is reduced to the zones in `listed`,
    /// which are sorted, and left out if it is too long even then: a part of it would end the evacuation of the other
    /// zones.
    pub fn report(&self, listed: &[Zone]) -> EvacuationReport {
        let is_too_long = self.zones.len() > MAX_REPORTED_ZONES;
        let is_reported = |zone: &&Zone| !is_too_long || listed.binary_search(zone).is_ok();
        let zones: Vec<Zone> = self.zones.iter().filter(is_reported).cloned().collect();
        match zones.len() <= MAX_REPORTED_ZONES {
            true => EvacuationReport {
                evacuated_zones: zones,
                evacuation_version: (self.changed_at > 0).then_some(self.changed_at),
            },
            false => EvacuationReport::default(),
        }
    }

    /// Replaces the state by all rows of the table, which was read up to `version`. Returns whether the
    /// zones changed.
    pub fn replace(&mut self, rows: impl IntoIterator<Item = EvacuationRow>, version: u64) -> bool {
        if version < self.current_to {
            return false;
        }
        let former = std::mem::take(&mut self.zones);
        let mut last_change = 0;
        for row in rows {
            last_change = row.version.max(last_change);
            self.set(row.zone, !row.is_removed);
        }
        // The version at which a row was removed is not known, nor are rows of later pages covered by
        // the version of the first one.
        self.changed_at = match self.zones == former {
            true => self.changed_at.max(last_change.min(version)),
            false if self.current_to == 0 => last_change.min(version),
            false => version,
        };
        self.current_to = version;
        self.zones != former
    }

    /// Applies the rows that changed since an earlier read, up to `version`. Returns whether the zones
    /// changed.
    pub fn apply(&mut self, rows: impl IntoIterator<Item = EvacuationRow>, version: u64) -> bool {
        // A peer has reported a state that contains these changes.
        if version < self.current_to {
            return false;
        }
        let former = self.zones.clone();
        for row in rows {
            self.changed_at = self.changed_at.max(row.version.min(version));
            self.set(row.zone, !row.is_removed);
        }
        self.current_to = version;
        self.zones != former
    }

    /// Adopts the state that a peer reports if it is newer than the own one. Returns whether the zones
    /// changed.
    ///
    /// An older state that differs shows that the peer missed the removal of a row, whose version this
    /// process may not know; the own state is then reported under a version that the peer adopts.
    pub fn merge(&mut self, report: &EvacuationReport) -> bool {
        let Some(changed_at) = report.evacuation_version else { return false };
        let mut reported = report.evacuated_zones.clone();
        reported.sort_unstable();
        reported.dedup();
        let differs = reported != self.zones;
        match changed_at > self.current_to {
            true => {
                self.zones = reported;
                self.changed_at = changed_at;
                self.current_to = changed_at;
                differs
            }
            false => {
                if differs && changed_at >= self.changed_at {
                    self.changed_at = self.current_to;
                }
                false
            }
        }
    }

    /// Returns the zones whose owners may get a job of a caller in `own_zone`, best first: `own_zone` if
    /// it is in service, else the other ones of `zones`, in an order that depends on `job`. Zones in
    /// `refusing` count as evacuated.
    pub fn serving_zones(
        &self,
        own_zone: &Zone,
        zones: &[Zone],
        refusing: &[Zone],
        job: &impl Display,
    ) -> Vec<Zone> {
        let serves = |zone: &Zone| !self.contains(zone) && !refusing.contains(zone);
        if serves(own_zone) {
            return vec![own_zone.clone()];
        }
        let mut serving: Vec<Zone> = zones.iter().filter(|zone| serves(zone)).cloned().collect();
        rank_zones(job, &mut serving);
        serving
    }

    fn set(&mut self, zone: Zone, is_evacuated: bool) {
        match (self.zones.binary_search(&zone), is_evacuated) {
            (Err(index), true) => self.zones.insert(index, zone),
            (Ok(index), false) => {
                self.zones.remove(index);
            }
            (Ok(_), true) | (Err(_), false) => {}
        }
    }
}
