//! Following the targets of the zone.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures::{StreamExt as _, stream};
use ggb_control::Members;
use ggb_membership::Role;
use ggb_model::Zone;
use ggb_platform::Targets;
use ggb_policy::TargetSpec;
use ggb_telemetry::log_event;

use crate::core::Core;

const LIST_MS: u64 = 500;
const PROBE_MS: u64 = 2_000;
const PROBES_AT_ONCE: usize = 16;

/// Keeps the targets of the scheduler in line with the list of VMs.
pub(crate) async fn follow_list(core: Arc<Core>, members: Arc<Members>, zone: Zone) {
    loop {
        let view = members.view();
        let here = view.staying(Role::Target).filter(|vm| vm.zone == zone);
        let staying: Vec<_> = here
            .map(|vm| TargetSpec {
                addr: vm.addr,
                incarnation: vm.incarnation,
                capacity: vm.capacity,
            })
            .collect();
        let leaving: Vec<_> = view.leaving(Role::Target).map(|vm| vm.addr).collect();
        if members.listed() {
            core.set_targets(&staying, &leaving);
        }
        task::sleep(Duration::from_millis(LIST_MS)).await;
    }
}

/// Asks targets whether they are leaving, since the list lags.
///
/// A busy target says so with its answers, so that only quiet ones are asked.
pub(crate) async fn probe(core: Arc<Core>, members: Arc<Members>, targets: Arc<dyn Targets>) {
    loop {
        task::sleep(Duration::from_millis(PROBE_MS)).await;
        let probes = stream::iter(core.quiet_targets(PROBE_MS)).map(|addr| {
            let targets = Arc::clone(&targets);
            async move { (addr, targets.status(addr).await) }
        });
        let answers: Vec<_> = probes.buffer_unordered(PROBES_AT_ONCE).collect().await;
        for (addr, status) in answers {
            match status {
                Some(status) if status.leaving => {
                    log_event!(info, TargetLeaving, target = %addr);
                    members.observe_leaving(addr);
                    core.target_leaving(addr);
                }
                Some(_) => members.observe_alive(addr),
                None => {}
            }
        }
    }
}
