//! Disruptions of owners, zones and targets that tests cause.

use std::sync::Arc;

use ggb_placement::TargetInfo;
use ggb_standin::SimulatedTarget;

use super::{Rivalry, Simulation, TAKEOVER_DELAY_MS, ZoneTarget};

impl Simulation {
    /// Partitions a zone from the others for `duration_ms`.
    pub fn partition_zone(&mut self, zone: usize, duration_ms: u64) {
        self.partitioned_zone = Some(zone);
        self.schedule_after(duration_ms, |sim| sim.partitioned_zone = None);
    }

    /// Cuts every other target of a zone off from the owners that take over from now on, for
    /// `duration_ms`.
    pub fn cut_targets_off_from_next_owners(&mut self, zone: usize, duration_ms: u64) {
        self.cut_off_targets = Some((zone, self.owners.len()));
        self.schedule_after(duration_ms, |sim| sim.cut_off_targets = None);
    }

    /// Kills the owner of a zone. Its callers submit their jobs to the next owner.
    pub fn kill_owner(&mut self, zone: usize) {
        self.kill_owner_for(zone, TAKEOVER_DELAY_MS);
    }

    /// Kills the owner of a zone, which has no other until `takeover_delay_ms` have passed.
    pub fn kill_owner_for(&mut self, zone: usize, takeover_delay_ms: u64) {
        let Some(owner_index) = self.current_owners[zone].take() else { return };
        self.owners[owner_index].is_alive = false;
        self.drop_connections(owner_index);
        self.schedule_after(takeover_delay_ms, move |sim| sim.take_over(zone));
    }

    /// Freezes the owner of a zone for `duration_ms`; another one takes over meanwhile.
    pub fn freeze_owner(&mut self, zone: usize, duration_ms: u64) {
        let Some(owner_index) = self.current_owners[zone].take() else { return };
        self.owners[owner_index].frozen_until_ms = self.now_ms + duration_ms;
        self.drop_connections(owner_index);
        self.schedule_after(TAKEOVER_DELAY_MS, move |sim| sim.take_over(zone));
    }

    /// Delays everything that the owner of a zone does by `lag_ms`. After `takeover_after_ms`
    /// another one, which lags by `next_lag_ms` for 500 ms, takes over while the first is alive.
    pub fn slow_down_owner(
        &mut self,
        zone: usize,
        lag_ms: u64,
        takeover_after_ms: u64,
        next_lag_ms: u64,
    ) {
        let Some(owner_index) = self.current_owners[zone] else { return };
        self.owners[owner_index].lag_ms = lag_ms;
        self.schedule_after(takeover_after_ms, move |sim| {
            let next_index = sim.take_over_with_lag(zone, next_lag_ms);
            sim.schedule_after(500, move |sim| sim.owners[next_index].lag_ms = 0);
        });
    }

    /// Delays everything that the owner of a zone does by `lag_ms`.
    pub fn lag_owner(&mut self, zone: usize, lag_ms: u64) {
        if let Some(owner_index) = self.current_owners[zone] {
            self.owners[owner_index].lag_ms = lag_ms;
        }
    }

    /// Makes the owner of a zone release its targets to a new owner.
    pub fn release_owner(&mut self, zone: usize) {
        let Some(owner_index) = self.current_owners[zone].take() else { return };
        self.take_over(zone);
        self.supersede_owner(owner_index);
    }

    /// Starts a second owner of a zone under `token`, beside the current one, and sends the jobs of
    /// every other caller to it. If `is_split`, each of the two reaches only every other target.
    pub fn add_rival_owner(&mut self, zone: usize, token: u64, is_split: bool) {
        let rival = self.owners.len();
        self.rivalry = Some(Rivalry { zone, rival, is_split });
        self.add_owner(zone, token, 0);
    }

    /// Returns the token of the current owner of a zone.
    pub fn token_of_owner(&self, zone: usize) -> Option<u64> {
        Some(self.owners[self.current_owners[zone]?].claim.token)
    }

    /// Makes one of two rival owners release its jobs to the other, which then reaches all targets.
    pub fn release_one_rival(&mut self, releases_rival: bool) {
        let Some(Rivalry { zone, rival, .. }) = self.rivalry else { return };
        let released = if releases_rival { Some(rival) } else { self.current_owners[zone] };
        if let Some(released) = released {
            self.supersede_owner(released);
        }
    }

    /// Crashes and restarts a target.
    pub fn crash_target(&mut self, target_index: usize) {
        let now_ms = self.now_ms;
        self.targets[target_index].simulated.crash(now_ms);
    }

    /// Crashes a target silently: what it has received and what it receives within `down_ms` gets no
    /// answer. Then it starts again under its id.
    pub fn restart_target_silently(&mut self, target_index: usize, down_ms: u64) {
        let now_ms = self.now_ms;
        let target = &mut self.targets[target_index];
        target.simulated.crash(now_ms);
        target.down_until_ms = now_ms + down_ms;
        target.crashed_silently = true;
        self.schedule_after(down_ms, move |sim| {
            let now_ms = sim.now_ms;
            sim.targets[target_index].simulated.crash(now_ms);
        });
    }

    /// Removes a target from the target list, with all of its runs, and adds a new one to its zone.
    pub fn replace_target(&mut self, target_index: usize) {
        let now_ms = self.now_ms;
        let next_index = self.targets.len();
        let old = &mut self.targets[target_index];
        old.simulated.crash(now_ms);
        let (zone, id) = (old.zone, Arc::clone(&old.info.id));
        let simulated = SimulatedTarget::new(old.info.capacity, now_ms);
        let info = TargetInfo {
            id: format!("t-{zone}-{next_index:03}").into(),
            started_unix_ms: simulated.started_unix_ms(),
            ..old.info.clone()
        };
        self.targets.push(ZoneTarget::new(zone, info.clone(), simulated));
        let Some(owner_index) = self.current_owners[zone] else { return };
        self.owners[owner_index].dispatcher.mark_target_removed(&id);
        self.owners[owner_index].dispatcher.upsert_target(info);
        self.poll_target(owner_index, next_index, 0);
    }

    /// Drops the targets that left the target list, as owners do now and then.
    pub fn prune_targets(&mut self) {
        for owner in self.owners.iter_mut().filter(|owner| owner.is_alive) {
            owner.dispatcher.prune_removed_targets();
        }
    }

    /// Returns what the owner of a zone holds.
    pub fn held_entries(&self, zone: usize) -> [(&'static str, usize); 15] {
        let owner_index = self.current_owners[zone].expect("the zone has an owner");
        self.owners[owner_index].dispatcher.held_entries()
    }

    /// Sets the mode of a target for `duration_ms`. The mode determines how the target treats runs
    /// that start meanwhile.
    pub fn set_mode(
        &mut self,
        target_index: usize,
        mode: ggb_standin::SimulatedTargetMode,
        duration_ms: u64,
    ) {
        self.targets[target_index].simulated.mode = mode;
        self.schedule_after(duration_ms, move |sim| {
            sim.targets[target_index].simulated.mode = ggb_standin::SimulatedTargetMode::Healthy;
        });
    }
}
