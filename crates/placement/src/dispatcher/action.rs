//! What a dispatcher is told and what it asks for.

use std::{net::SocketAddr, sync::Arc};

use ggb_model::Zone;

use crate::{JobAnswer, Run, Submission};

/// The name that the process gives a caller who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a target made of an order to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs.
    Accepted,
    /// There is no room for it.
    NoRoom,
    /// A run with this number, or a higher one, has been there before.
    OldRun,
    /// The order came too late.
    TooLate,
    /// Another dispatcher has taken over the target.
    Fenced,
    /// The target says that it is not healthy.
    Unhealthy,
    /// The target can't make sense of the order.
    Invalid,
    /// Another life of the target answered.
    OtherLife,
    /// The order certainly did not reach the target.
    NotSent,
    /// There was no answer; the target may have begun the run.
    Unanswered,
}

/// What the process has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Order a target to start a run.
    Start {
        /// The target.
        target: Arc<str>,
        /// Its address.
        addr: SocketAddr,
        /// The run.
        run: Run,
        /// What to run.
        spec: Arc<str>,
        /// Until when on the target's clock the order is valid.
        valid_until_clock_ms: u64,
        /// What to add to the dispatcher's token.
        token_offset: u64,
        /// How long its job has waited.
        waited_ms: u64,
        /// How long it is expected to run.
        expected_ms: u64,
    },
    /// Order a target to stop a run.
    Stop {
        /// The target.
        target: Arc<str>,
        /// Its address.
        addr: SocketAddr,
        /// The run.
        run: Run,
        /// What to add to the dispatcher's token.
        token_offset: u64,
    },
    /// Ask a target for a listing at once.
    Look {
        /// The target.
        target: Arc<str>,
    },
    /// Offer part of a job to the dispatcher of another zone.
    Lend {
        /// The number of the part.
        part: u64,
        /// The zone.
        zone: Zone,
        /// The job, with the tasks that are not part of it marked as done.
        submission: Submission,
    },
    /// Give up a part that was lent.
    Recall {
        /// The number of the part.
        part: u64,
    },
    /// Answer a caller.
    Answer {
        /// The caller.
        ticket: Ticket,
        /// The answer.
        answer: JobAnswer,
    },
}

/// How busy the targets of a dispatcher are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The processor time of all sound targets, in thousandths of a core.
    pub total_cpu_milli: u64,
    /// The processor time that is free on them.
    pub free_cpu_milli: u64,
    /// The processor time that waiting tasks ask for.
    pub queued_cpu_milli: u64,
    /// How many tasks wait.
    pub queued_tasks: u64,
    /// How many tasks of the usual size could start now.
    pub free_tasks: u64,
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Targets, and how many of them are sound.
    pub targets: usize,
    /// Targets that get new work.
    pub sound_targets: usize,
}
