//! Polled load of targets, for the two-choices baseline.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use futures::{StreamExt as _, stream};
use ggb_control::Members;
use ggb_membership::Role;
use ggb_platform::TargetApi;
use parking_lot::RwLock;

/// Pause between two rounds of status requests to all targets.
const REPORT_INTERVAL_MS: u64 = 100;
/// Maximum number of status requests in flight.
const MAX_CONCURRENT_REQUESTS: usize = 16;

/// Last reported load of each target.
#[derive(Debug, Default)]
pub(crate) struct LoadReports {
    /// Address and occupied slots of each target, sorted by address.
    by_target: RwLock<Vec<(SocketAddr, u16)>>,
}

impl LoadReports {
    /// Returns the target that last reported fewer occupied slots, `first` if they are equal.
    pub(crate) fn less_loaded(&self, first: SocketAddr, second: SocketAddr) -> SocketAddr {
        match self.used_slots(second) < self.used_slots(first) {
            true => second,
            false => first,
        }
    }

    /// Requests the status of all targets periodically, for the life of the process.
    pub(crate) async fn poll(self: Arc<Self>, members: Arc<Members>, targets: Arc<dyn TargetApi>) {
        loop {
            let view = members.view();
            let addrs: Vec<_> = view.active(Role::Target).map(|vm| vm.addr).collect();
            let requests = stream::iter(addrs).map(|addr| {
                let targets = Arc::clone(&targets);
                async move { Some((addr, targets.status(addr).await?.used_slots)) }
            });
            let replies: Vec<_> =
                requests.buffer_unordered(MAX_CONCURRENT_REQUESTS).collect().await;
            let mut reports: Vec<_> = replies.into_iter().flatten().collect();
            reports.sort();
            *self.by_target.write() = reports;
            task::sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        }
    }

    fn used_slots(&self, addr: SocketAddr) -> u16 {
        let reports = self.by_target.read();
        let found = reports.binary_search_by_key(&addr, |(addr, _)| *addr);
        found.map_or(u16::MAX, |index| reports[index].1)
    }
}
