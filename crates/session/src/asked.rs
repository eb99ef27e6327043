//! What a home has asked of dispatchers for one job.

use std::collections::VecDeque;

#[derive(Clone, Debug)]
struct Part {
    dispatcher: usize,
    /// Tasks that were asked for and not granted.
    outstanding: u16,
    /// The sizes of demands that are not answered, in the order of asking.
    unanswered: VecDeque<u16>,
}

/// The demands of one job, by dispatcher.
///
/// A dispatcher answers demands in the order in which it gets them, so that each
/// answer belongs to the oldest demand without one. A job is taken whole only once
/// every demand is answered: an earlier acceptance by the same dispatcher does not
/// stand for a later demand.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    parts: Vec<Part>,
}

impl Asked {
    /// Records a demand for `count` tasks.
    pub fn ask(&mut self, dispatcher: usize, count: u16) {
        let part = match self.parts.iter().position(|part| part.dispatcher == dispatcher) {
            Some(at) => &mut self.parts[at],
            None => {
                self.parts.push(Part { dispatcher, outstanding: 0, unanswered: VecDeque::new() });
                let last = self.parts.len() - 1;
                &mut self.parts[last]
            }
        };
        part.outstanding += count;
        part.unanswered.push_back(count);
    }

    /// Records the answer to the oldest demand; what is refused is not outstanding any more.
    pub fn answer(&mut self, dispatcher: usize, accepted: bool) {
        let Some(part) = self.find(dispatcher) else { return };
        let count = part.unanswered.pop_front().unwrap_or(0);
        if !accepted {
            part.outstanding = part.outstanding.saturating_sub(count);
        }
    }

    /// Records a grant for one task.
    pub fn granted(&mut self, dispatcher: usize) {
        if let Some(part) = self.find(dispatcher) {
            part.outstanding = part.outstanding.saturating_sub(1);
        }
    }

    /// Forgets what was asked of a dispatcher whose connection is gone.
    pub fn lost(&mut self, dispatcher: usize) {
        self.parts.retain(|part| part.dispatcher != dispatcher);
    }

    /// Returns how many tasks were asked for and not granted.
    pub fn outstanding(&self) -> usize {
        self.parts.iter().map(|part| usize::from(part.outstanding)).sum()
    }

    /// Returns whether every demand is answered.
    pub fn is_answered(&self) -> bool {
        self.parts.iter().all(|part| part.unanswered.is_empty())
    }

    /// Returns the dispatchers that still owe grants.
    pub fn owing(&self) -> impl Iterator<Item = usize> {
        self.parts.iter().filter(|part| part.outstanding > 0).map(|part| part.dispatcher)
    }

    fn find(&mut self, dispatcher: usize) -> Option<&mut Part> {
        self.parts.iter_mut().find(|part| part.dispatcher == dispatcher)
    }
}
