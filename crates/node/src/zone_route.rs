//! Choice of the zone whose owner gets a caller's job.

use std::{net::IpAddr, sync::Arc};

use ggb_model::Zone;
use ggb_placement::RoutedJob;

use crate::{owner::Owner, shared::Shared};

/// Time without a heartbeat after which the owner of another zone gets no new jobs. Owners send
/// heartbeats to the processes of other zones every 300 ms, of which some are lost.
const REMOTE_OWNER_TIMEOUT_MS: u64 = 1_000;

/// Location of the owner of a zone's targets.
pub(crate) enum OwnerLocation {
    /// In this process.
    Local(Arc<Owner>),
    /// In the process on another VM.
    Remote,
}

/// Where to send a job next.
pub(crate) enum NextOwner {
    /// To the owner on the VM with this address.
    At(IpAddr, OwnerLocation),
    /// Nowhere yet; no owner is known.
    Unknown,
    /// Nowhere: no task of the job was started, and every zone is evacuated or has refused it.
    NoZone,
}

/// The zone to which a job is routed.
///
/// That is the zone of this process, unless it is evacuated. A job stays with its zone until it has an
/// answer, as long as an owner of that zone is known.
#[derive(Debug)]
pub(crate) struct ZoneRoute {
    /// Zone whose owner got the job last.
    zone: Zone,
    /// Zones that have refused the job since they are evacuated.
    refusing: Vec<Zone>,
    /// Zones whose owners could not be reached since the last round through all zones.
    unreachable: Vec<Zone>,
}

impl ZoneRoute {
    /// Returns the route of a job that has not been sent to any owner.
    pub(crate) fn new(shared: &Shared) -> Self {
        let zone = shared.settings.zone.clone();
        ZoneRoute { zone, refusing: Vec::new(), unreachable: Vec::new() }
    }

    /// Returns the owner to which a job is sent next, and marks the job if it leaves its zone.
    pub(crate) fn next_owner(&mut self, shared: &Shared, job: &mut RoutedJob) -> NextOwner {
        let own_zone = &shared.settings.zone;
        let mut zones = shared.serving_zones(&self.refusing, &job.submission().job.id);
        // A zone in the settings may have no processes.
        zones.retain(|zone| zone == own_zone || has_processes(shared, zone));
        let is_started = !job.is_unstarted();
        // Only the zone's next owner can adopt the runs of a started job. The own zone always gets an
        // owner, since this process can become it; another one may be cut off.
        if is_started && (self.zone == *own_zone || self.has_owner(shared)) {
            return find_owner(shared, &self.zone);
        }
        if zones.is_empty() && !is_started {
            return NextOwner::NoZone;
        }
        if zones.iter().all(|zone| self.unreachable.contains(zone)) {
            self.unreachable.clear();
        }
        let reachable = zones.iter().filter(|zone| !self.unreachable.contains(zone));
        for zone in reachable {
            let next_owner = find_owner(shared, zone);
            if matches!(next_owner, NextOwner::At(..)) {
                if *zone != self.zone {
                    job.mark_left_zone();
                    self.zone = zone.clone();
                }
                return next_owner;
            }
        }
        NextOwner::Unknown
    }

    /// Records that the zone refused the job since it is evacuated.
    pub(crate) fn record_evacuated(&mut self) {
        self.refusing.push(self.zone.clone());
    }

    /// Records that the owner of the zone could not be reached.
    pub(crate) fn record_unreachable(&mut self) {
        self.unreachable.push(self.zone.clone());
    }

    fn has_owner(&self, shared: &Shared) -> bool {
        matches!(find_owner(shared, &self.zone), NextOwner::At(..))
    }
}

/// Returns whether processes of a zone are known, of which one becomes its owner.
fn has_processes(shared: &Shared, zone: &Zone) -> bool {
    let ownership = shared.ownership.lock();
    let mut members = ownership.members().as_slice().iter();
    members.any(|member| member.is_in_zone(zone))
}

/// Returns the address of the VM that owns the targets of a zone, and how to reach the owner.
fn find_owner(shared: &Shared, zone: &Zone) -> NextOwner {
    let now_ms = shared.now_ms();
    let is_own_zone = *zone == shared.settings.zone;
    if let Some(owner) = shared.owner.load_full().filter(|_| is_own_zone) {
        return NextOwner::At(shared.settings.ip, OwnerLocation::Local(owner));
    }
    let ownership = shared.ownership.lock();
    let ip = match is_own_zone {
        true => ownership.zone_owner_ip(now_ms),
        false => {
            let owner = ownership.owner_of(zone);
            let is_recent = |last_ms: u64| now_ms < last_ms + REMOTE_OWNER_TIMEOUT_MS;
            let owner = owner.filter(|owner| is_recent(owner.last_heartbeat_ms));
            owner.map(|owner| owner.heartbeat.node.ip)
        }
    };
    ip.map_or(NextOwner::Unknown, |ip| NextOwner::At(ip, OwnerLocation::Remote))
}
