//! Weighted fair queueing and slot quotas of teams.

use ggb_model::TeamName;

use crate::WorkClass;

/// Usage of one team within a dispatcher.
#[derive(Clone, Debug)]
pub(crate) struct Team {
    pub(crate) name: TeamName,
    weight: f64,
    quota_slots: u32,
    used_slots: u32,
    queued_tasks: u32,
    /// Slot time received so far, divided by the weight.
    virtual_time_ms: f64,
}

impl Team {
    /// Returns whether the team may occupy `slots` more slots within its quota.
    pub(crate) fn has_quota_for(&self, slots: u16) -> bool {
        self.used_slots + u32::from(slots) <= self.quota_slots
    }
}

/// All teams, in the order of their first demand or lease.
#[derive(Clone, Debug, Default)]
pub(crate) struct Teams {
    teams: Vec<Team>,
    /// Indices into `teams`, sorted by name.
    by_name: Vec<usize>,
}

impl Teams {
    /// Returns the index of the team of `class` and updates its weight and slot quota.
    pub(crate) fn update_or_insert(&mut self, class: &WorkClass) -> usize {
        let found = self.by_name.binary_search_by(|&index| self.teams[index].name.cmp(&class.team));
        let index = match found {
            Ok(position) => self.by_name[position],
            Err(position) => {
                self.teams.push(Team {
                    name: class.team.clone(),
                    weight: 1.0,
                    quota_slots: 0,
                    used_slots: 0,
                    queued_tasks: 0,
                    virtual_time_ms: 0.0,
                });
                self.by_name.insert(position, self.teams.len() - 1);
                self.teams.len() - 1
            }
        };
        self.teams[index].weight = f64::from(class.team_weight.max(1));
        self.teams[index].quota_slots = class.quota_slots;
        index
    }

    /// Adds queued tasks.
    ///
    /// A team without queued tasks first catches up with the least virtual time among the teams
    /// with queued tasks, so that it gains no credit for idle time.
    pub(crate) fn enqueue(&mut self, index: usize, count: u16) {
        if self.teams[index].queued_tasks == 0 {
            let backlogged = self.teams.iter().filter(|team| team.queued_tasks > 0);
            let min_virtual_time_ms =
                backlogged.map(|team| team.virtual_time_ms).fold(f64::INFINITY, f64::min);
            if min_virtual_time_ms.is_finite() {
                self.teams[index].virtual_time_ms =
                    self.teams[index].virtual_time_ms.max(min_virtual_time_ms);
            }
        }
        self.teams[index].queued_tasks += u32::from(count);
    }

    /// Removes queued tasks.
    pub(crate) const fn dequeue(&mut self, index: usize, count: u16) {
        let teams = self.teams.as_mut_slice();
        teams[index].queued_tasks = teams[index].queued_tasks.saturating_sub(count as u32);
    }

    /// Occupies the slots of a granted task and charges its expected run time.
    pub(crate) fn charge(&mut self, index: usize, slots: u16, expected_run_ms: u32) {
        let team = &mut self.teams[index];
        team.used_slots += u32::from(slots);
        team.virtual_time_ms += f64::from(expected_run_ms) * f64::from(slots) / team.weight;
    }

    /// Frees the slots of a task and corrects the charge to the actual run time.
    pub(crate) fn release(&mut self, index: usize, slots: u16, charged_run_ms: u32, run_ms: u32) {
        let team = &mut self.teams[index];
        team.used_slots = team.used_slots.saturating_sub(slots.into());
        let correction = f64::from(run_ms) - f64::from(charged_run_ms);
        team.virtual_time_ms += correction * f64::from(slots) / team.weight;
    }

    pub(crate) fn queued_tasks(&self, index: usize) -> u32 {
        self.teams[index].queued_tasks
    }

    pub(crate) fn virtual_time_ms(&self, index: usize) -> f64 {
        self.teams[index].virtual_time_ms
    }

    pub(crate) fn has_quota_for(&self, index: usize, slots: u16) -> bool {
        self.teams[index].has_quota_for(slots)
    }

    /// Occupies slots without a charge, for a lease that an earlier dispatcher granted.
    pub(crate) fn occupy(&mut self, index: usize, slots: u16) {
        self.teams[index].used_slots += u32::from(slots);
    }
}
