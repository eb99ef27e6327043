//! Keeps the scheduler's targets up to date, from the list of VMs and from probes.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures::{StreamExt as _, stream};
use ggb_control::Members;
use ggb_membership::Role;
use ggb_model::Zone;
use ggb_platform::TargetApi;
use ggb_policy::TargetSpec;
use ggb_telemetry::log_event;

use crate::core::DispatcherCore;

/// Interval at which the targets are updated from the list of VMs.
const LIST_INTERVAL_MS: u64 = 500;
/// Interval between probes, and time without a successful task after which a target is probed.
const PROBE_INTERVAL_MS: u64 = 2_000;
const MAX_CONCURRENT_PROBES: usize = 16;

/// Updates the targets of the scheduler from the list of VMs, periodically.
pub(crate) async fn update_targets_from_list(
    core: Arc<DispatcherCore>,
    members: Arc<Members>,
    zone: Zone,
) {
    loop {
        let view = members.view();
        let zone_targets = view.active(Role::Target).filter(|vm| vm.zone == zone);
        let active: Vec<_> = zone_targets
            .map(|vm| TargetSpec {
                addr: vm.addr,
                incarnation: vm.incarnation,
                capacity: vm.capacity,
            })
            .collect();
        let leaving: Vec<_> = view.leaving(Role::Target).map(|vm| vm.addr).collect();
        if members.has_list() {
            core.set_targets(&active, &leaving);
        }
        task::sleep(Duration::from_millis(LIST_INTERVAL_MS)).await;
    }
}

/// Asks targets periodically whether they are leaving, since the list of VMs lags.
///
/// The answers of a busy target report this, so only targets without a recent successful task
/// are probed.
pub(crate) async fn probe_targets(
    core: Arc<DispatcherCore>,
    members: Arc<Members>,
    targets: Arc<dyn TargetApi>,
) {
    loop {
        task::sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
        let probes =
            stream::iter(core.targets_without_recent_success(PROBE_INTERVAL_MS)).map(|addr| {
                let targets = Arc::clone(&targets);
                async move { (addr, targets.status(addr).await) }
            });
        let answers: Vec<_> = probes.buffer_unordered(MAX_CONCURRENT_PROBES).collect().await;
        for (addr, status) in answers {
            match status {
                Some(status) if status.leaving => {
                    log_event!(info, TargetLeaving, target = %addr);
                    members.observe_leaving(addr);
                    core.mark_target_leaving(addr);
                }
                Some(_) => members.observe_alive(addr),
                None => {}
            }
        }
    }
}
