//! Demands of one job that a home has sent to dispatchers.

use std::collections::VecDeque;

/// Demands of one job at one dispatcher.
#[derive(Clone, Debug)]
struct DispatcherDemands {
    dispatcher_index: usize,
    /// Number of tasks demanded but not granted.
    outstanding: u16,
    /// Number of tasks of each unanswered demand, oldest first.
    pending_counts: VecDeque<u16>,
}

/// Demands of one job, grouped by dispatcher.
///
/// A dispatcher answers demands in the order in which it receives them, so each answer
/// belongs to the oldest unanswered demand. A job is fully admitted only when every demand
/// is answered: the acceptance of one demand says nothing about a later one at the same
/// dispatcher. Dispatchers are identified by an index that the home chooses.
#[derive(Clone, Debug, Default)]
pub struct PlacementDemands {
    by_dispatcher: Vec<DispatcherDemands>,
}

impl PlacementDemands {
    /// Records that `count` tasks were demanded from a dispatcher.
    pub fn record_demand(&mut self, dispatcher_index: usize, count: u16) {
        let demands = match self
            .by_dispatcher
            .iter()
            .position(|demands| demands.dispatcher_index == dispatcher_index)
        {
            Some(index) => &mut self.by_dispatcher[index],
            None => {
                self.by_dispatcher.push(DispatcherDemands {
                    dispatcher_index,
                    outstanding: 0,
                    pending_counts: VecDeque::new(),
                });
                let last = self.by_dispatcher.len() - 1;
                &mut self.by_dispatcher[last]
            }
        };
        demands.outstanding += count;
        demands.pending_counts.push_back(count);
    }

    /// Records whether a dispatcher accepted its oldest unanswered demand; the tasks of a
    /// refused demand are no longer outstanding.
    pub fn record_admission(&mut self, dispatcher_index: usize, accepted: bool) {
        let Some(demands) = self.demands_mut(dispatcher_index) else { return };
        let count = demands.pending_counts.pop_front().unwrap_or(0);
        if !accepted {
            demands.outstanding = demands.outstanding.saturating_sub(count);
        }
    }

    /// Records that a dispatcher granted a lease for one task.
    pub fn record_grant(&mut self, dispatcher_index: usize) {
        if let Some(demands) = self.demands_mut(dispatcher_index) {
            demands.outstanding = demands.outstanding.saturating_sub(1);
        }
    }

    /// Removes the demands at a dispatcher whose connection was lost.
    pub fn remove_dispatcher(&mut self, dispatcher_index: usize) {
        self.by_dispatcher.retain(|demands| demands.dispatcher_index != dispatcher_index);
    }

    /// Returns the number of tasks demanded but not granted, over all dispatchers.
    pub fn outstanding_tasks(&self) -> usize {
        self.by_dispatcher.iter().map(|demands| usize::from(demands.outstanding)).sum()
    }

    /// Returns whether every demand is answered.
    pub fn all_answered(&self) -> bool {
        self.by_dispatcher.iter().all(|demands| demands.pending_counts.is_empty())
    }

    /// Returns the dispatchers with tasks that are demanded but not granted.
    pub fn dispatchers_with_outstanding_tasks(&self) -> impl Iterator<Item = usize> {
        self.by_dispatcher
            .iter()
            .filter(|demands| demands.outstanding > 0)
            .map(|demands| demands.dispatcher_index)
    }

    fn demands_mut(&mut self, dispatcher_index: usize) -> Option<&mut DispatcherDemands> {
        self.by_dispatcher.iter_mut().find(|demands| demands.dispatcher_index == dispatcher_index)
    }
}
