//! One link for each availability zone that has a dispatcher.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use arc_swap::ArcSwap;
use async_std::task;
use ggb_control::{Channels, Members};
use ggb_membership::Role;
use ggb_model::Zone;

use crate::link::{Link, LinkSink};

const FOLLOW_MS: u64 = 250;

/// The links of a home; a link once made stays, so that its index stays valid.
#[derive(Debug)]
pub(crate) struct Links {
    zone: Zone,
    /// The zones that work may spill to; all zones if none is named.
    spill_zones: Vec<Zone>,
    links: ArcSwap<Vec<Arc<Link>>>,
}

impl Links {
    pub(crate) fn new(zone: Zone, spill_zones: Vec<Zone>) -> Self {
        Links { zone, spill_zones, links: ArcSwap::default() }
    }

    pub(crate) fn all(&self) -> Arc<Vec<Arc<Link>>> {
        self.links.load_full()
    }

    pub(crate) fn find(&self, index: usize) -> Option<Arc<Link>> {
        self.links.load().get(index).cloned()
    }

    pub(crate) fn any_connected(&self) -> bool {
        self.links.load().iter().any(|link| link.is_connected())
    }

    /// Makes a link for each zone that appears in the list of VMs.
    pub(crate) async fn follow(
        self: Arc<Self>,
        members: Arc<Members>,
        channels: Arc<Channels>,
        sink: Weak<dyn LinkSink>,
    ) {
        while sink.strong_count() > 0 {
            for zone in self.new_zones(&members) {
                let link = self.insert(zone);
                let (members, channels) = (Arc::clone(&members), Arc::clone(&channels));
                task::spawn(link.run(members, channels, Weak::clone(&sink)));
            }
            task::sleep(Duration::from_millis(FOLLOW_MS)).await;
        }
    }

    fn new_zones(&self, members: &Members) -> Vec<Zone> {
        let view = members.view();
        let mut zones: Vec<_> = view.staying(Role::Dispatch).map(|vm| vm.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let links = self.links.load();
        zones.retain(|zone| !links.iter().any(|link| link.zone == *zone) && self.uses(zone));
        zones
    }

    fn uses(&self, zone: &Zone) -> bool {
        self.spill_zones.is_empty() || *zone == self.zone || self.spill_zones.contains(zone)
    }

    fn insert(&self, zone: Zone) -> Arc<Link> {
        let mut links = (*self.links.load_full()).clone();
        let is_local = zone == self.zone;
        let link = Link::new(links.len(), zone, is_local);
        links.push(Arc::clone(&link));
        self.links.store(Arc::new(links));
        link
    }
}
