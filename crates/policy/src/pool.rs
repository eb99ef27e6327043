//! Targets of a dispatcher, with their free capacity and health.

use std::net::SocketAddr;

use ggb_model::{Incarnation, TaskShape};
use rand::Rng;

use crate::health::{HealthState, TargetHealth};

/// Maximum share of the targets that may be ejected at a time; one may always be.
const MAX_EJECTED_SHARE: f64 = 0.3;
/// Time without new leases after a target denied a start for lack of capacity.
const FULL_BACKOFF_MS: u64 = 20;
/// Time without new leases after a connection to a target failed.
const UNREACHABLE_BACKOFF_MS: u64 = 500;
/// Value of [`Target::usable_index`] for a target that is not usable.
const NOT_USABLE: usize = usize::MAX;

/// Description of a target in the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Address at which the target takes tasks.
    pub addr: SocketAddr,
    /// Incarnation, which distinguishes a new target from an earlier one at the same address.
    pub incarnation: Incarnation,
    /// Total resources that the tasks on the target may occupy at the same time.
    pub capacity: TaskShape,
}

#[derive(Clone, Debug)]
struct Target {
    spec: TargetSpec,
    /// Resources that its leases occupy.
    used: TaskShape,
    leases: u32,
    leaving: bool,
    /// Time before which the target gets no new lease, after a failed start.
    backoff_until_ms: u64,
    health: TargetHealth,
    /// Time of the last successful task.
    last_success_ms: u64,
    /// Position in [`TargetPool::usable`], or [`NOT_USABLE`].
    usable_index: usize,
}

impl Target {
    /// Returns whether the target may get a new lease that fits into its free capacity.
    fn is_usable(&self, now_ms: u64) -> bool {
        let health_permits = match self.health.state {
            HealthState::Healthy => true,
            HealthState::Probing(max_leases) => self.leases < max_leases,
            HealthState::Ejected { .. } => false,
        };
        health_permits && !self.leaving && self.backoff_until_ms <= now_ms && self.free_slots() > 0
    }

    const fn free_slots(&self) -> u16 {
        self.spec.capacity.slots.saturating_sub(self.used.slots)
    }

    const fn free_capacity(&self) -> TaskShape {
        let capacity = &self.spec.capacity;
        TaskShape {
            slots: capacity.slots.saturating_sub(self.used.slots),
            memory_mib: capacity.memory_mib.saturating_sub(self.used.memory_mib),
            accelerators: capacity.accelerators.saturating_sub(self.used.accelerators),
        }
    }
}

/// The targets of a dispatcher, with an index of those that may get new leases.
#[derive(Clone, Debug, Default)]
pub struct TargetPool {
    /// Sorted by address.
    targets: Vec<Target>,
    /// Indices of the usable targets, unordered.
    usable: Vec<usize>,
    /// Target reserved for a task that needs many slots.
    reserved: Option<SocketAddr>,
    total_slots: u32,
    used_slots: u32,
    /// Number of targets that are ejected now.
    ejected_count: usize,
    /// Number of ejections since the process started.
    ejection_count: u64,
    /// Sum of the failure shares of all targets.
    total_failure_share: f64,
}

impl TargetPool {
    /// Adds a target, updates its capacity, or replaces an earlier incarnation at the same address.
    ///
    /// The leases of a replaced incarnation keep occupying capacity until they are released.
    pub fn insert(&mut self, spec: TargetSpec, now_ms: u64) {
        match self.position(spec.addr) {
            Ok(index) if self.targets[index].spec == spec => return,
            Ok(index) if self.targets[index].spec.incarnation == spec.incarnation => {
                self.targets[index].spec.capacity = spec.capacity;
            }
            Ok(index) => {
                let used = self.targets[index].used;
                let leases = self.targets[index].leases;
                self.targets[index] = Target { used, leases, ..new_target(spec) };
            }
            Err(index) => self.targets.insert(index, new_target(spec)),
        }
        self.rebuild_usable(now_ms);
    }

    /// Removes a target that is no longer listed; its leases stay valid.
    pub fn remove(&mut self, addr: SocketAddr, now_ms: u64) {
        if let Ok(index) = self.position(addr) {
            self.targets.remove(index);
            self.rebuild_usable(now_ms);
        }
    }

    /// Stops new leases on this incarnation of a target, permanently.
    pub fn mark_leaving(&mut self, addr: SocketAddr, now_ms: u64) {
        if let Ok(index) = self.position(addr)
            && !self.targets[index].leaving
        {
            self.targets[index].leaving = true;
            self.rebuild_usable(now_ms);
        }
    }

    /// Suspends new leases on a target that denied a start for lack of capacity.
    pub fn back_off_full(&mut self, addr: SocketAddr, now_ms: u64) {
        self.back_off(addr, now_ms, FULL_BACKOFF_MS);
    }

    /// Suspends new leases on a target that could not be reached.
    pub fn back_off_unreachable(&mut self, addr: SocketAddr, now_ms: u64) {
        self.back_off(addr, now_ms, UNREACHABLE_BACKOFF_MS);
    }

    /// Records a successful task on a target.
    pub fn record_success(&mut self, addr: SocketAddr, now_ms: u64) {
        let Ok(index) = self.position(addr) else { return };
        let target = &mut self.targets[index];
        let previous_share = target.health.failure_share;
        target.last_success_ms = now_ms;
        target.health.record_success(target.spec.capacity.slots.into());
        self.total_failure_share += target.health.failure_share - previous_share;
        self.update_usable(index, now_ms);
    }

    /// Records a failed task on a target and ejects the target if it is an outlier.
    ///
    /// Returns whether the target was ejected.
    pub fn record_failure(&mut self, addr: SocketAddr, now_ms: u64) -> bool {
        let Ok(index) = self.position(addr) else { return false };
        let previous_share = self.targets[index].health.failure_share;
        let peer_count = self.targets.len().saturating_sub(1).max(1) as f64;
        let mean_peer_share = ((self.total_failure_share - previous_share) / peer_count).max(0.0);
        let is_outlier = self.targets[index].health.record_failure(mean_peer_share);
        self.total_failure_share += self.targets[index].health.failure_share - previous_share;
        let max_ejected = ((self.targets.len() as f64) * MAX_EJECTED_SHARE) as usize;
        let should_eject = is_outlier && self.ejected_count < max_ejected.max(1);
        if should_eject {
            self.targets[index].health.eject(now_ms);
            self.ejected_count += 1;
            self.ejection_count += 1;
        }
        self.update_usable(index, now_ms);
        should_eject
    }

    /// Ends the backoffs and ejections that have expired.
    pub fn refresh(&mut self, now_ms: u64) {
        self.targets.iter_mut().for_each(|target| target.health.end_expired_ejection(now_ms));
        self.rebuild_usable(now_ms);
    }

    /// Allocates `shape` on the one of two random usable targets that has more free slots.
    ///
    /// Falls back to all usable targets if the shape fits neither of the two.
    pub fn allocate(
        &mut self,
        shape: &TaskShape,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let index = self.pick_target(shape, rng)?;
        let addr = self.targets[index].spec.addr;
        self.add_usage(index, shape);
        self.update_usable(index, now_ms);
        Some(addr)
    }

    /// Reserves the usable target with the most free slots whose capacity holds `shape`, so
    /// that smaller tasks do not take the slots that become free there.
    pub fn reserve_target(&mut self, shape: &TaskShape) {
        let candidates =
            self.usable.iter().filter(|&&index| shape.fits(&self.targets[index].spec.capacity));
        let freest = candidates.max_by_key(|&&index| self.targets[index].free_slots());
        self.reserved = freest.map(|&index| self.targets[index].spec.addr);
    }

    /// Returns whether to keep the reservation: its target is usable, or has no free slot yet.
    pub fn reservation_is_valid(&self, now_ms: u64) -> bool {
        let index = self.reserved.and_then(|addr| self.position(addr).ok());
        index.is_some_and(|index| {
            let target = &self.targets[index];
            // The reservation waits for a full target to free slots, so that is no obstacle.
            target.free_slots() == 0 || target.is_usable(now_ms)
        })
    }

    /// Ends the reservation.
    pub const fn clear_reservation(&mut self) {
        self.reserved = None;
    }

    /// Allocates `shape` on the reserved target if it fits there now.
    pub fn allocate_on_reserved(&mut self, shape: &TaskShape, now_ms: u64) -> Option<SocketAddr> {
        let addr = self.reserved?;
        let index = self.position(addr).ok()?;
        if !self.targets[index].is_usable(now_ms)
            || !shape.fits(&self.targets[index].free_capacity())
        {
            return None;
        }
        self.add_usage(index, shape);
        self.update_usable(index, now_ms);
        Some(addr)
    }

    /// Allocates `shape` on a given target, for a lease that an earlier dispatcher granted.
    pub fn allocate_on(&mut self, addr: SocketAddr, shape: &TaskShape, now_ms: u64) {
        if let Ok(index) = self.position(addr) {
            self.add_usage(index, shape);
            self.update_usable(index, now_ms);
        }
    }

    /// Frees the resources of one task.
    pub fn deallocate(&mut self, addr: SocketAddr, shape: &TaskShape, now_ms: u64) {
        let Ok(index) = self.position(addr) else { return };
        let target = &mut self.targets[index];
        let slots = shape.slots.min(target.used.slots);
        target.used.slots -= slots;
        target.used.memory_mib = target.used.memory_mib.saturating_sub(shape.memory_mib);
        target.used.accelerators = target.used.accelerators.saturating_sub(shape.accelerators);
        target.leases = target.leases.saturating_sub(1);
        self.used_slots = self.used_slots.saturating_sub(slots.into());
        self.update_usable(index, now_ms);
    }

    /// Returns whether `shape` fits into the capacity of any target that is not leaving.
    pub fn could_fit(&self, shape: &TaskShape) -> bool {
        let active = self.targets.iter().filter(|target| !target.leaving);
        active.into_iter().any(|target| shape.fits(&target.spec.capacity))
    }

    /// Returns the number of free slots on usable targets.
    pub fn free_slots(&self) -> u32 {
        self.usable.iter().map(|&index| u32::from(self.targets[index].free_slots())).sum()
    }

    /// Returns whether any target may get a new lease.
    pub const fn has_usable_targets(&self) -> bool {
        !self.usable.is_empty()
    }

    /// Returns the number of slots on all targets that are not leaving.
    pub const fn total_slots(&self) -> u32 {
        self.total_slots
    }

    /// Returns the number of occupied slots.
    pub const fn used_slots(&self) -> u32 {
        self.used_slots
    }

    /// Returns the number of ejected targets.
    pub const fn ejected_count(&self) -> usize {
        self.ejected_count
    }

    /// Returns the number of ejections since the process started.
    pub const fn ejection_count(&self) -> u64 {
        self.ejection_count
    }

    /// Returns the targets without a successful task since `before_ms`.
    pub fn without_success_since(&self, before_ms: u64) -> impl Iterator<Item = SocketAddr> {
        let targets = self.targets.iter().filter(move |target| target.last_success_ms < before_ms);
        targets.map(|target| target.spec.addr)
    }

    /// Returns the addresses of all targets.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.targets.iter().map(|target| target.spec.addr)
    }

    /// Returns the number of targets.
    pub const fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there are no targets.
    pub const fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    fn position(&self, addr: SocketAddr) -> Result<usize, usize> {
        self.targets.binary_search_by_key(&addr, |target| target.spec.addr)
    }

    fn back_off(&mut self, addr: SocketAddr, now_ms: u64, backoff_ms: u64) {
        let Ok(index) = self.position(addr) else { return };
        self.targets[index].backoff_until_ms = now_ms + backoff_ms;
        self.update_usable(index, now_ms);
    }

    /// Returns the index of the target for a new lease of `shape`, or `None` if it fits on no
    /// usable target that is unreserved.
    fn pick_target(&self, shape: &TaskShape, rng: &mut impl Rng) -> Option<usize> {
        if self.usable.is_empty() {
            return None;
        }
        let mut draw = || self.usable[rng.random_range(0..self.usable.len())];
        let (first, second) = (draw(), draw());
        let is_unreserved = |index: usize| Some(self.targets[index].spec.addr) != self.reserved;
        let fits =
            |index: usize| is_unreserved(index) && shape.fits(&self.targets[index].free_capacity());
        let free_slots = |index: usize| self.targets[index].free_slots();
        match (fits(first), fits(second)) {
            (true, true) if free_slots(second) > free_slots(first) => Some(second),
            (true, _) => Some(first),
            (false, true) => Some(second),
            (false, false) => self
                .usable
                .iter()
                .copied()
                .filter(|&index| fits(index))
                .max_by_key(|&index| free_slots(index)),
        }
    }

    const fn add_usage(&mut self, index: usize, shape: &TaskShape) {
        let target = self.targets.as_mut_slice();
        let target = &mut target[index];
        target.used.slots = target.used.slots.saturating_add(shape.slots);
        target.used.memory_mib = target.used.memory_mib.saturating_add(shape.memory_mib);
        target.used.accelerators = target.used.accelerators.saturating_add(shape.accelerators);
        target.leases += 1;
        self.used_slots += shape.slots as u32;
    }

    /// Updates the index of usable targets after a change to one target.
    fn update_usable(&mut self, index: usize, now_ms: u64) {
        let is_usable = self.targets[index].is_usable(now_ms);
        let usable_index = self.targets[index].usable_index;
        match (is_usable, usable_index) {
            (true, NOT_USABLE) => {
                self.targets[index].usable_index = self.usable.len();
                self.usable.push(index);
            }
            (false, usable_index) if usable_index != NOT_USABLE => {
                self.usable.swap_remove(usable_index);
                self.targets[index].usable_index = NOT_USABLE;
                if let Some(&moved) = self.usable.get(usable_index) {
                    self.targets[moved].usable_index = usable_index;
                }
            }
            _ => {}
        }
    }

    /// Rebuilds the index of usable targets and all totals.
    fn rebuild_usable(&mut self, now_ms: u64) {
        self.usable.clear();
        let mut total_slots = 0;
        let mut used_slots = 0;
        let mut ejected_count = 0;
        let mut total_failure_share = 0.0;
        for (index, target) in self.targets.iter_mut().enumerate() {
            target.usable_index = NOT_USABLE;
            if target.is_usable(now_ms) {
                target.usable_index = self.usable.len();
                self.usable.push(index);
            }
            if !target.leaving {
                total_slots += u32::from(target.spec.capacity.slots);
            }
            used_slots += u32::from(target.used.slots);
            ejected_count +=
                usize::from(matches!(target.health.state, HealthState::Ejected { .. }));
            total_failure_share += target.health.failure_share;
        }
        self.total_slots = total_slots;
        self.used_slots = used_slots;
        self.ejected_count = ejected_count;
        self.total_failure_share = total_failure_share;
    }
}

fn new_target(spec: TargetSpec) -> Target {
    Target {
        spec,
        used: TaskShape { slots: 0, memory_mib: 0, accelerators: 0 },
        leases: 0,
        leaving: false,
        backoff_until_ms: 0,
        health: TargetHealth::default(),
        last_success_ms: 0,
        usable_index: NOT_USABLE,
    }
}
