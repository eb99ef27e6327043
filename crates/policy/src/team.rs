//! Weighted fair shares and quotas of teams.

use ggb_model::TeamName;

use crate::WorkClass;

/// The account of one team within a dispatcher.
#[derive(Clone, Debug)]
pub(crate) struct Team {
    pub(crate) name: TeamName,
    weight: f64,
    quota_slots: u32,
    used_slots: u32,
    queued_tasks: u32,
    /// Service received so far, divided by the weight.
    virtual_ms: f64,
}

impl Team {
    pub(crate) fn may_take(&self, slots: u16) -> bool {
        self.used_slots + u32::from(slots) <= self.quota_slots
    }
}

/// All teams, in the order in which they were first seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Teams {
    teams: Vec<Team>,
    /// Indices into `teams`, sorted by name.
    by_name: Vec<usize>,
}

impl Teams {
    /// Returns the index of the team of `class`, with weight and quota brought up to date.
    pub(crate) fn enroll(&mut self, class: &WorkClass) -> usize {
        let found = self.by_name.binary_search_by(|&at| self.teams[at].name.cmp(&class.team));
        let at = match found {
            Ok(position) => self.by_name[position],
            Err(position) => {
                self.teams.push(Team {
                    name: class.team.clone(),
                    weight: 1.0,
                    quota_slots: 0,
                    used_slots: 0,
                    queued_tasks: 0,
                    virtual_ms: 0.0,
                });
                self.by_name.insert(position, self.teams.len() - 1);
                self.teams.len() - 1
            }
        };
        self.teams[at].weight = f64::from(class.team_weight.max(1));
        self.teams[at].quota_slots = class.quota_slots;
        at
    }

    /// Adds waiting tasks; a team that was idle gets no credit for its idle time.
    pub(crate) fn enqueue(&mut self, at: usize, count: u16) {
        if self.teams[at].queued_tasks == 0 {
            let active = self.teams.iter().filter(|team| team.queued_tasks > 0);
            let floor = active.map(|team| team.virtual_ms).fold(f64::INFINITY, f64::min);
            if floor.is_finite() {
                self.teams[at].virtual_ms = self.teams[at].virtual_ms.max(floor);
            }
        }
        self.teams[at].queued_tasks += u32::from(count);
    }

    pub(crate) const fn dequeue(&mut self, at: usize, count: u16) {
        let teams = self.teams.as_mut_slice();
        teams[at].queued_tasks = teams[at].queued_tasks.saturating_sub(count as u32);
    }

    /// Charges a team for a task that is about to run.
    pub(crate) fn charge(&mut self, at: usize, slots: u16, expected_ms: u32) {
        let team = &mut self.teams[at];
        team.used_slots += u32::from(slots);
        team.virtual_ms += f64::from(expected_ms) * f64::from(slots) / team.weight;
    }

    /// Returns the slots of a task and settles the charge to what it really took.
    pub(crate) fn settle(&mut self, at: usize, slots: u16, charged_ms: u32, run_ms: u32) {
        let team = &mut self.teams[at];
        team.used_slots = team.used_slots.saturating_sub(slots.into());
        let correction = f64::from(run_ms) - f64::from(charged_ms);
        team.virtual_ms += correction * f64::from(slots) / team.weight;
    }

    pub(crate) fn queued_tasks(&self, at: usize) -> u32 {
        self.teams[at].queued_tasks
    }

    pub(crate) fn virtual_ms(&self, at: usize) -> f64 {
        self.teams[at].virtual_ms
    }

    pub(crate) fn may_take(&self, at: usize, slots: u16) -> bool {
        self.teams[at].may_take(slots)
    }

    pub(crate) fn hold(&mut self, at: usize, slots: u16) {
        self.teams[at].used_slots += u32::from(slots);
    }
}
