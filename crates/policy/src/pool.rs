//! The targets of a dispatcher and their free slots.

use std::net::SocketAddr;

use ggb_model::{Incarnation, TaskShape};
use rand::Rng;

use crate::health::{Health, Trust};

const MAX_EJECTED_SHARE: f64 = 0.3;
const FULL_PAUSE_MS: u64 = 20;
const UNREACHABLE_PAUSE_MS: u64 = 500;
const CLOSED: usize = usize::MAX;

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Where it takes tasks.
    pub addr: SocketAddr,
    /// Its incarnation, so that a new target under an old address starts afresh.
    pub incarnation: Incarnation,
    /// What it can run at once.
    pub capacity: TaskShape,
}

#[derive(Clone, Debug)]
struct Target {
    spec: TargetSpec,
    used: TaskShape,
    leases: u32,
    leaving: bool,
    /// No new lease before this time, after a denial.
    paused_until_ms: u64,
    health: Health,
    /// When a task on it last ended well.
    heard_ms: u64,
    /// Position among the open targets, or [`CLOSED`].
    open_at: usize,
}

impl Target {
    fn usable(&self, now_ms: u64) -> bool {
        let trusted = match self.health.trust {
            Trust::Full => true,
            Trust::Probing(allowed) => self.leases < allowed,
            Trust::Ejected { .. } => false,
        };
        trusted && !self.leaving && self.paused_until_ms <= now_ms && self.free_slots() > 0
    }

    const fn free_slots(&self) -> u16 {
        self.spec.capacity.slots.saturating_sub(self.used.slots)
    }

    const fn room(&self) -> TaskShape {
        let capacity = &self.spec.capacity;
        TaskShape {
            slots: capacity.slots.saturating_sub(self.used.slots),
            memory_mib: capacity.memory_mib.saturating_sub(self.used.memory_mib),
            accelerators: capacity.accelerators.saturating_sub(self.used.accelerators),
        }
    }
}

/// The targets, sorted by address, with those that have room kept at hand.
#[derive(Clone, Debug, Default)]
pub struct TargetPool {
    targets: Vec<Target>,
    /// Indices of usable targets, in no order.
    open: Vec<usize>,
    /// The target that is held back for a wide task.
    held_back: Option<SocketAddr>,
    total_slots: u32,
    used_slots: u32,
    ejected: usize,
    ejections: u64,
    failure_shares: f64,
}

impl TargetPool {
    /// Adds a target, or replaces an earlier incarnation under the same address.
    pub fn insert(&mut self, spec: TargetSpec, now_ms: u64) {
        match self.position(spec.addr) {
            Ok(at) if self.targets[at].spec == spec => return,
            Ok(at) if self.targets[at].spec.incarnation == spec.incarnation => {
                self.targets[at].spec.capacity = spec.capacity;
            }
            Ok(at) => {
                let used = self.targets[at].used;
                let leases = self.targets[at].leases;
                self.targets[at] = Target { used, leases, ..fresh(spec) };
            }
            Err(at) => self.targets.insert(at, fresh(spec)),
        }
        self.rebuild(now_ms);
    }

    /// Forgets a target that the platform no longer lists; its leases stay valid.
    pub fn remove(&mut self, addr: SocketAddr, now_ms: u64) {
        if let Ok(at) = self.position(addr) {
            self.targets.remove(at);
            self.rebuild(now_ms);
        }
    }

    /// Stops new work to a target for good, for this incarnation.
    pub fn mark_leaving(&mut self, addr: SocketAddr, now_ms: u64) {
        if let Ok(at) = self.position(addr)
            && !self.targets[at].leaving
        {
            self.targets[at].leaving = true;
            self.rebuild(now_ms);
        }
    }

    /// Holds back new work from a target that had no room.
    pub fn pause_full(&mut self, addr: SocketAddr, now_ms: u64) {
        self.pause(addr, now_ms, FULL_PAUSE_MS);
    }

    /// Holds back new work from a target that could not be reached.
    pub fn pause_unreachable(&mut self, addr: SocketAddr, now_ms: u64) {
        self.pause(addr, now_ms, UNREACHABLE_PAUSE_MS);
    }

    /// Records a task that ended well on a target.
    pub fn succeeded(&mut self, addr: SocketAddr, now_ms: u64) {
        let Ok(at) = self.position(addr) else { return };
        let target = &mut self.targets[at];
        let before = target.health.failure_share;
        target.heard_ms = now_ms;
        target.health.succeeded(target.spec.capacity.slots.into());
        self.failure_shares += target.health.failure_share - before;
        self.reopen(at, now_ms);
    }

    /// Records a failed task on a target and ejects the target if it is worse than its peers.
    ///
    /// Returns whether it was ejected.
    pub fn failed(&mut self, addr: SocketAddr, now_ms: u64) -> bool {
        let Ok(at) = self.position(addr) else { return false };
        let own = self.targets[at].health.failure_share;
        let peers = self.targets.len().saturating_sub(1).max(1) as f64;
        let peers_share = ((self.failure_shares - own) / peers).max(0.0);
        let bad = self.targets[at].health.failed(peers_share);
        self.failure_shares += self.targets[at].health.failure_share - own;
        let room = ((self.targets.len() as f64) * MAX_EJECTED_SHARE) as usize;
        let eject = bad && self.ejected < room.max(1);
        if eject {
            self.targets[at].health.eject(now_ms);
            self.ejected += 1;
            self.ejections += 1;
        }
        self.reopen(at, now_ms);
        eject
    }

    /// Ends pauses and ejections whose time is over.
    pub fn refresh(&mut self, now_ms: u64) {
        self.targets.iter_mut().for_each(|target| target.health.refresh(now_ms));
        self.rebuild(now_ms);
    }

    /// Chooses the freer of two random targets with room for `shape` and occupies it.
    pub fn occupy(
        &mut self,
        shape: &TaskShape,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let at = self.pick(shape, rng)?;
        let addr = self.targets[at].spec.addr;
        self.take_room(at, shape);
        self.reopen(at, now_ms);
        Some(addr)
    }

    /// Holds back the target on which `shape` will fit soonest, so that narrow tasks
    /// don't take what comes free there.
    pub fn hold_back(&mut self, shape: &TaskShape) {
        let large = self.open.iter().filter(|&&at| shape.fits(&self.targets[at].spec.capacity));
        let freest = large.max_by_key(|&&at| self.targets[at].free_slots());
        self.held_back = freest.map(|&at| self.targets[at].spec.addr);
    }

    /// Returns whether the target that is held back could still take a task.
    pub fn held_back_is_usable(&self, now_ms: u64) -> bool {
        let at = self.held_back.and_then(|addr| self.position(addr).ok());
        at.is_some_and(|at| {
            let target = &self.targets[at];
            // A full target is what is waited for; only its other states count.
            target.free_slots() == 0 || target.usable(now_ms)
        })
    }

    /// Gives the target that is held back to all again.
    pub const fn free_held_back(&mut self) {
        self.held_back = None;
    }

    /// Occupies room on the target that is held back, if there is enough by now.
    pub fn occupy_held_back(&mut self, shape: &TaskShape, now_ms: u64) -> Option<SocketAddr> {
        let addr = self.held_back?;
        let at = self.position(addr).ok()?;
        if !self.targets[at].usable(now_ms) || !shape.fits(&self.targets[at].room()) {
            return None;
        }
        self.take_room(at, shape);
        self.reopen(at, now_ms);
        Some(addr)
    }

    /// Occupies room on a given target, for a lease that another dispatcher granted.
    pub fn occupy_at(&mut self, addr: SocketAddr, shape: &TaskShape, now_ms: u64) {
        if let Ok(at) = self.position(addr) {
            self.take_room(at, shape);
            self.reopen(at, now_ms);
        }
    }

    /// Gives back the room of one task.
    pub fn vacate(&mut self, addr: SocketAddr, shape: &TaskShape, now_ms: u64) {
        let Ok(at) = self.position(addr) else { return };
        let target = &mut self.targets[at];
        let slots = shape.slots.min(target.used.slots);
        target.used.slots -= slots;
        target.used.memory_mib = target.used.memory_mib.saturating_sub(shape.memory_mib);
        target.used.accelerators = target.used.accelerators.saturating_sub(shape.accelerators);
        target.leases = target.leases.saturating_sub(1);
        self.used_slots = self.used_slots.saturating_sub(slots.into());
        self.reopen(at, now_ms);
    }

    /// Returns whether any listed target that isn't leaving could ever hold `shape`.
    pub fn could_fit(&self, shape: &TaskShape) -> bool {
        let staying = self.targets.iter().filter(|target| !target.leaving);
        staying.into_iter().any(|target| shape.fits(&target.spec.capacity))
    }

    /// Returns the number of free slots on usable targets.
    pub fn free_slots(&self) -> u32 {
        self.open.iter().map(|&at| u32::from(self.targets[at].free_slots())).sum()
    }

    /// Returns whether any target may take a task.
    pub const fn has_room(&self) -> bool {
        !self.open.is_empty()
    }

    /// Returns the number of slots on all targets that aren't leaving.
    pub const fn total_slots(&self) -> u32 {
        self.total_slots
    }

    /// Returns the number of occupied slots.
    pub const fn used_slots(&self) -> u32 {
        self.used_slots
    }

    /// Returns the number of ejected targets.
    pub const fn ejected(&self) -> usize {
        self.ejected
    }

    /// Returns how often a target was ejected so far.
    pub const fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Returns the targets on which no task has ended well since `before_ms`.
    pub fn quiet_since(&self, before_ms: u64) -> impl Iterator<Item = SocketAddr> {
        let quiet = self.targets.iter().filter(move |target| target.heard_ms < before_ms);
        quiet.map(|target| target.spec.addr)
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

    fn pause(&mut self, addr: SocketAddr, now_ms: u64, pause_ms: u64) {
        let Ok(at) = self.position(addr) else { return };
        self.targets[at].paused_until_ms = now_ms + pause_ms;
        self.reopen(at, now_ms);
    }

    fn pick(&self, shape: &TaskShape, rng: &mut impl Rng) -> Option<usize> {
        if self.open.is_empty() {
            return None;
        }
        let mut draw = || self.open[rng.random_range(0..self.open.len())];
        let (one, two) = (draw(), draw());
        let is_free = |at: usize| Some(self.targets[at].spec.addr) != self.held_back;
        let fits = |at: usize| is_free(at) && shape.fits(&self.targets[at].room());
        let free = |at: usize| self.targets[at].free_slots();
        match (fits(one), fits(two)) {
            (true, true) if free(two) > free(one) => Some(two),
            (true, _) => Some(one),
            (false, true) => Some(two),
            (false, false) => {
                self.open.iter().copied().filter(|&at| fits(at)).max_by_key(|&at| free(at))
            }
        }
    }

    const fn take_room(&mut self, at: usize, shape: &TaskShape) {
        let target = self.targets.as_mut_slice();
        let target = &mut target[at];
        target.used.slots = target.used.slots.saturating_add(shape.slots);
        target.used.memory_mib = target.used.memory_mib.saturating_add(shape.memory_mib);
        target.used.accelerators = target.used.accelerators.saturating_add(shape.accelerators);
        target.leases += 1;
        self.used_slots += shape.slots as u32;
    }

    /// Moves one target in or out of the open ones.
    fn reopen(&mut self, at: usize, now_ms: u64) {
        let usable = self.targets[at].usable(now_ms);
        let open_at = self.targets[at].open_at;
        match (usable, open_at) {
            (true, CLOSED) => {
                self.targets[at].open_at = self.open.len();
                self.open.push(at);
            }
            (false, open_at) if open_at != CLOSED => {
                self.open.swap_remove(open_at);
                self.targets[at].open_at = CLOSED;
                if let Some(&moved) = self.open.get(open_at) {
                    self.targets[moved].open_at = open_at;
                }
            }
            _ => {}
        }
    }

    fn rebuild(&mut self, now_ms: u64) {
        self.open.clear();
        let mut total_slots = 0;
        let mut used_slots = 0;
        let mut ejected = 0;
        let mut failure_shares = 0.0;
        for (at, target) in self.targets.iter_mut().enumerate() {
            target.open_at = CLOSED;
            if target.usable(now_ms) {
                target.open_at = self.open.len();
                self.open.push(at);
            }
            if !target.leaving {
                total_slots += u32::from(target.spec.capacity.slots);
            }
            used_slots += u32::from(target.used.slots);
            ejected += usize::from(matches!(target.health.trust, Trust::Ejected { .. }));
            failure_shares += target.health.failure_share;
        }
        self.total_slots = total_slots;
        self.used_slots = used_slots;
        self.ejected = ejected;
        self.failure_shares = failure_shares;
    }
}

fn fresh(spec: TargetSpec) -> Target {
    Target {
        spec,
        used: TaskShape { slots: 0, memory_mib: 0, accelerators: 0 },
        leases: 0,
        leaving: false,
        paused_until_ms: 0,
        health: Health::default(),
        heard_ms: 0,
        open_at: CLOSED,
    }
}
