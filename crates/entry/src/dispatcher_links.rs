//! The links of a home, one for each availability zone that has a dispatcher.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use arc_swap::ArcSwap;
use async_std::task;
use ggb_control::{ChannelPool, Members};
use ggb_membership::Role;
use ggb_model::Zone;

use crate::link::{DispatcherLink, LinkHandler};

/// Interval at which the list of VMs is searched for new zones.
const ZONE_POLL_INTERVAL_MS: u64 = 250;

/// The links of a home.
///
/// Links are never removed, so that an index stays valid.
#[derive(Debug)]
pub(crate) struct DispatcherLinks {
    zone: Zone,
    /// Zones other than the home's own that jobs may use; empty for all zones.
    remote_zones: Vec<Zone>,
    links: ArcSwap<Vec<Arc<DispatcherLink>>>,
}

impl DispatcherLinks {
    pub(crate) fn new(zone: Zone, remote_zones: Vec<Zone>) -> Self {
        DispatcherLinks { zone, remote_zones, links: ArcSwap::default() }
    }

    pub(crate) fn all(&self) -> Arc<Vec<Arc<DispatcherLink>>> {
        self.links.load_full()
    }

    pub(crate) fn find(&self, index: usize) -> Option<Arc<DispatcherLink>> {
        self.links.load().get(index).cloned()
    }

    pub(crate) fn any_connected(&self) -> bool {
        self.links.load().iter().any(|link| link.is_connected())
    }

    /// Opens a link for each zone that appears in the list of VMs, until the handler is dropped.
    pub(crate) async fn run(
        self: Arc<Self>,
        members: Arc<Members>,
        channels: Arc<ChannelPool>,
        handler: Weak<dyn LinkHandler>,
    ) {
        while handler.strong_count() > 0 {
            for zone in self.new_zones(&members) {
                let link = self.insert(zone);
                let (members, channels) = (Arc::clone(&members), Arc::clone(&channels));
                task::spawn(link.run(members, channels, Weak::clone(&handler)));
            }
            task::sleep(Duration::from_millis(ZONE_POLL_INTERVAL_MS)).await;
        }
    }

    fn new_zones(&self, members: &Members) -> Vec<Zone> {
        let view = members.view();
        let mut zones: Vec<_> = view.active(Role::Dispatch).map(|vm| vm.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let links = self.links.load();
        zones.retain(|zone| !links.iter().any(|link| link.zone == *zone) && self.may_use(zone));
        zones
    }

    fn may_use(&self, zone: &Zone) -> bool {
        self.remote_zones.is_empty() || *zone == self.zone || self.remote_zones.contains(zone)
    }

    fn insert(&self, zone: Zone) -> Arc<DispatcherLink> {
        let mut links = (*self.links.load_full()).clone();
        let is_local = zone == self.zone;
        let link = DispatcherLink::new(links.len(), zone, is_local);
        links.push(Arc::clone(&link));
        self.links.store(Arc::new(links));
        link
    }
}
