//! Conversion between messages and the types of `ggb_policy`.

use ggb_model::TaskShape;
use ggb_policy::{
    AdoptedLease, Demand, LeaseEnd, PartKey, StreamId, WorkClass, WorkloadKey, ZoneLoad,
};
use ggb_wire::{WireError, decode_priority, parse_addr, v1};

/// A lease that a home reports, granted by an earlier dispatcher or over an earlier connection.
pub(crate) struct ReportedLease {
    /// Number that the home gave the lease.
    pub(crate) number: u64,
    pub(crate) key: PartKey,
    pub(crate) class: WorkClass,
    pub(crate) lease: AdoptedLease,
}

pub(crate) fn parse_demand(stream: StreamId, demand: v1::Demand) -> Result<Demand, WireError> {
    let count = u16::try_from(demand.count).ok().filter(|count| *count > 0);
    Ok(Demand {
        key: PartKey { stream, job: demand.job },
        class: parse_class(demand.class)?,
        shape: parse_shape(demand.shape)?,
        count: count.ok_or_else(|| WireError::new("count", demand.count))?,
        start_within_ms: demand.start_within_ms,
    })
}

pub(crate) fn parse_reported_lease(
    stream: StreamId,
    reported: v1::Held,
) -> Result<ReportedLease, WireError> {
    Ok(ReportedLease {
        number: reported.number,
        key: PartKey { stream, job: reported.job },
        class: parse_class(reported.class)?,
        lease: AdoptedLease {
            target: parse_addr(&reported.target)?,
            shape: parse_shape(reported.shape)?,
        },
    })
}

pub(crate) fn parse_lease_end(release: &v1::Release) -> LeaseEnd {
    match release.end() {
        v1::LeaseEnd::Done => LeaseEnd::Done { run_ms: release.run_ms },
        v1::LeaseEnd::Failed => LeaseEnd::Failed,
        v1::LeaseEnd::DeniedFull => LeaseEnd::DeniedFull,
        v1::LeaseEnd::DeniedLeaving => LeaseEnd::DeniedLeaving,
        v1::LeaseEnd::Unreachable => LeaseEnd::Unreachable,
        v1::LeaseEnd::Lost => LeaseEnd::Lost,
        v1::LeaseEnd::Unused | v1::LeaseEnd::Unspecified => LeaseEnd::Unused,
    }
}

pub(crate) const fn encode_load(load: &ZoneLoad) -> v1::ZoneLoad {
    v1::ZoneLoad {
        slots: load.total_slots,
        free: load.free_slots,
        queued_tasks: load.queued_tasks,
        mean_run_ms: load.mean_run_ms,
    }
}

fn parse_class(class: Option<v1::WorkClass>) -> Result<WorkClass, WireError> {
    let class = class.ok_or_else(|| WireError::new("class", "nothing"))?;
    let priority = decode_priority(class.priority())?;
    Ok(WorkClass {
        priority,
        team: class.team.parse().map_err(|_| WireError::new("team", &class.team))?,
        team_weight: u16::try_from(class.team_weight).unwrap_or(u16::MAX),
        quota_slots: class.quota_slots,
        quota_queued_tasks: class.quota_queued_tasks,
        workload: WorkloadKey(class.work),
        declared_run_ms: class.declared_ms,
    })
}

fn parse_shape(shape: Option<v1::Shape>) -> Result<TaskShape, WireError> {
    shape.ok_or_else(|| WireError::new("shape", "nothing"))?.try_into()
}
