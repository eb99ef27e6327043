//! Faults of processes, clocks, links, targets and the store.

use super::{Network, START_JITTER_MS};

/// Largest step of a clock.
const MAX_CLOCK_STEP_MS: u64 = 5_000;

/// Lead of a clock that is far ahead.
const FAR_AHEAD_MS: i64 = 60_000;

/// Time for which clocks are far ahead.
const FAR_AHEAD_FOR_MS: u64 = 3_000;

/// Time for which a process that stops still sends heartbeats.
const LEAVING_MS: u64 = 300;

/// Share of messages that are lost on a network with faults.
const LOSS_PERCENT: u64 = 5;

/// What random faults leave alone.
#[derive(Clone, Copy, Default)]
pub struct Limits {
    /// Whether the store is still away when the other faults end.
    pub store_stays_away: bool,
    /// Zone whose processes are not stopped. Without such a zone nobody may know the others'
    /// addresses while the store is away.
    pub surviving_zone: Option<usize>,
}

impl Network {
    /// Returns a random step of a clock in either direction.
    pub(super) fn random_clock_step_ms(&mut self) -> i64 {
        self.random_below(2 * MAX_CLOCK_STEP_MS) as i64 - MAX_CLOCK_STEP_MS as i64
    }

    pub fn set_store_available(&mut self, is_available: bool) {
        self.print(|| format!("store available: {is_available}"));
        self.is_store_available = is_available;
    }

    pub fn set_loss(&mut self) {
        self.loss_percent = LOSS_PERCENT;
    }

    pub fn step_clock(&mut self, vm: usize, by_ms: i64) {
        self.print(|| format!("clock of {} steps by {by_ms} ms", self.vms[vm].node.name));
        self.vms[vm].clock_offset_ms += by_ms;
    }

    /// Kills the process of a VM.
    pub fn kill(&mut self, vm: usize) {
        self.print(|| format!("{} is killed", self.vms[vm].node.name));
        self.vms[vm].process = None;
    }

    /// Cuts the link from one VM to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        let name = |vm: usize| &self.vms[vm].node.name;
        self.print(|| format!("{} no longer reaches {}", name(from), name(to)));
        self.cut_links.push((from, to));
    }

    /// Ends all faults but those of the store.
    fn end_faults(&mut self) {
        self.print(|| "all links and processes are up".to_owned());
        self.loss_percent = 0;
        self.cut_links.clear();
        (0..self.vms.len()).for_each(|vm| self.start(vm));
    }

    /// Schedules random faults from now on; all but an outage of the store end at `end_ms`.
    pub fn schedule_faults(&mut self, end_ms: u64, limits: Limits) {
        if self.random_below(2) == 0 {
            self.set_loss();
        }
        let span_ms = end_ms - self.now_ms;
        let outage_ms = (2_000 + self.random_below(28_000)).min(span_ms - 1);
        let outage_begin_ms = match limits.store_stays_away {
            true => end_ms - outage_ms,
            false => self.now_ms + self.random_below(span_ms - outage_ms),
        };
        self.at(outage_begin_ms, |network| network.set_store_available(false));
        if !limits.store_stays_away {
            let outage_end_ms = outage_begin_ms + outage_ms;
            self.at(outage_end_ms, |network| network.set_store_available(true));
        }
        for _ in 0..6 + self.random_below(7) {
            let at_ms = self.now_ms + self.random_below(span_ms);
            self.at(at_ms, move |network| network.begin_random_fault(end_ms - 1, limits));
        }
        // Processes that restart while the store is away are the ones that know least.
        let restarts_at_ms = outage_begin_ms + self.random_below(outage_ms);
        self.at(restarts_at_ms, move |network| network.kill_zone(end_ms - 1, limits));
        self.at(end_ms, Network::end_faults);
    }

    /// Begins a fault, which ends at `latest_end_ms` or before.
    fn begin_random_fault(&mut self, latest_end_ms: u64, limits: Limits) {
        let vm = self.random_below(self.vms.len() as u64) as usize;
        let other_vm = self.random_below(self.vms.len() as u64) as usize;
        let survives = Some(self.vms[vm].zone) == limits.surviving_zone;
        let end_ms = (self.now_ms + 1_000 + self.random_below(9_000)).min(latest_end_ms);
        match self.random_below(8) {
            0 if !survives => {
                let duration_ms = 300 + self.random_below(1_700);
                self.kill_for(vm, duration_ms, latest_end_ms);
            }
            1 if !survives => self.stop(vm, latest_end_ms),
            2 => self.kill_zone(latest_end_ms, limits),
            3 => {
                let step_ms = self.random_clock_step_ms();
                self.step_clock(vm, step_ms);
            }
            4 => self.claim_far_ahead(self.vms[vm].zone, latest_end_ms),
            5 if vm != other_vm => self.cut_for(vm, other_vm, end_ms),
            6 if vm != other_vm => {
                self.cut_for(vm, other_vm, end_ms);
                self.cut_for(other_vm, vm, end_ms);
            }
            _ => {
                let target = self.random_below(self.targets.len() as u64) as usize;
                self.restart_target(target);
            }
        }
    }

    fn kill_for(&mut self, vm: usize, duration_ms: u64, latest_start_ms: u64) {
        self.kill(vm);
        let start_ms = (self.now_ms + duration_ms).min(latest_start_ms);
        self.at(start_ms, move |network| network.start(vm));
    }

    /// Kills all processes of a zone and starts them together.
    fn kill_zone(&mut self, latest_start_ms: u64, limits: Limits) {
        let zone = self.random_below(self.zone_count() as u64) as usize;
        if Some(zone) == limits.surviving_zone {
            return;
        }
        let down_ms = 500 + self.random_below(1_000);
        // Starts at the same moment make claims at the same moment likely.
        let jitter_ms = [1, START_JITTER_MS][self.random_below(2) as usize];
        for vm in self.vms_of(zone) {
            let duration_ms = down_ms + self.random_below(jitter_ms);
            self.kill_for(vm, duration_ms, latest_start_ms);
        }
    }

    /// Stops the process of a VM as the platform does before a restart.
    fn stop(&mut self, vm: usize, latest_start_ms: u64) {
        self.print(|| format!("{} stops", self.vms[vm].node.name));
        if let Some(process) = &mut self.vms[vm].process {
            process.ownership.set_leaving();
            process.ownership.release();
        }
        self.at((self.now_ms + LEAVING_MS).min(latest_start_ms), move |network| {
            network.kill_for(vm, LEAVING_MS, latest_start_ms);
        });
    }

    /// Has the zone's next owner claim while its clock is far ahead.
    fn claim_far_ahead(&mut self, zone: usize, latest_end_ms: u64) {
        let zone_vms = self.vms_of(zone);
        if zone_vms.iter().any(|vm| self.vms[*vm].clock_offset_ms > FAR_AHEAD_MS / 2) {
            return;
        }
        for vm in zone_vms {
            self.step_clock(vm, FAR_AHEAD_MS);
        }
        for owner in self.owners_of(zone) {
            if let Some(process) = &mut self.vms[owner].process {
                process.ownership.release();
            }
        }
        self.at((self.now_ms + FAR_AHEAD_FOR_MS).min(latest_end_ms), move |network| {
            for vm in network.vms_of(zone) {
                network.step_clock(vm, -FAR_AHEAD_MS);
            }
        });
    }

    fn cut_for(&mut self, from: usize, to: usize, end_ms: u64) {
        self.cut(from, to);
        self.at(end_ms, move |network| {
            network.print(|| format!("a link to {} is back", network.vms[to].node.name));
            let index = network.cut_links.iter().position(|link| *link == (from, to));
            index.into_iter().for_each(|index| {
                network.cut_links.swap_remove(index);
            });
        });
    }
}
