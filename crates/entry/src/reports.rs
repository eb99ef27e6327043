//! Stale reports of the load of targets, for a baseline of measurements.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use futures::{StreamExt as _, stream};
use ggb_control::Members;
use ggb_membership::Role;
use ggb_platform::Targets;
use parking_lot::RwLock;

const REPORT_MS: u64 = 100;
const ASKED_AT_ONCE: usize = 16;

/// What targets last reported, sorted by address.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    used_slots: RwLock<Vec<(SocketAddr, u16)>>,
}

impl Reports {
    /// Returns the target that last reported fewer occupied slots.
    pub(crate) fn less_loaded(&self, one: SocketAddr, two: SocketAddr) -> SocketAddr {
        match self.used(two) < self.used(one) {
            true => two,
            false => one,
        }
    }

    /// Asks all targets over and over.
    pub(crate) async fn follow(self: Arc<Self>, members: Arc<Members>, targets: Arc<dyn Targets>) {
        loop {
            let view = members.view();
            let addrs: Vec<_> = view.staying(Role::Target).map(|vm| vm.addr).collect();
            let asked = stream::iter(addrs).map(|addr| {
                let targets = Arc::clone(&targets);
                async move { Some((addr, targets.status(addr).await?.used_slots)) }
            });
            let answers: Vec<_> = asked.buffer_unordered(ASKED_AT_ONCE).collect().await;
            let mut reports: Vec<_> = answers.into_iter().flatten().collect();
            reports.sort();
            *self.used_slots.write() = reports;
            task::sleep(Duration::from_millis(REPORT_MS)).await;
        }
    }

    fn used(&self, addr: SocketAddr) -> u16 {
        let reports = self.used_slots.read();
        let found = reports.binary_search_by_key(&addr, |(addr, _)| *addr);
        found.map_or(u16::MAX, |at| reports[at].1)
    }
}
