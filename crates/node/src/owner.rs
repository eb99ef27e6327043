//! The dispatcher of a zone at work.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_std::task;
use futures::channel::oneshot;
use ggb_adapter::{HoldReply, StartReply, TargetClient};
use ggb_model::Zone;
use ggb_placement::{
    Action, Dispatcher, EarlierRuns, JobAnswer, LEASE_MS, LentOutcome, Load, Run, Submission,
    TargetInfo, Ticket,
};
use ggb_telemetry::log_event;
use parking_lot::Mutex;

use crate::{lending::lend, shared::Shared};

/// How long a target holds a listing back until a run ends: well within a lease, so that
/// one lost message does not let it lapse.
const HOLD_WAIT_MS: u64 = 300;

/// The same as a share of a lease, where targets grant short ones.
const HOLD_LEASE_PERCENT: u64 = 30;

/// How long an order and its answer may take within a zone, where they usually take 1 ms.
const ORDER_TIMEOUT_MS: u64 = 100;

/// How long a target that does not answer is left alone, doubled each time.
const RETRY_PAUSE_MS: u64 = 25;
const RETRY_PAUSE_MAX_MS: u64 = 400;

/// The interval of [`Dispatcher::tick`] while jobs are open, and while there are none.
const BUSY_TICK_MS: u64 = 5;
const IDLE_TICK_MS: u64 = 100;

/// How many parts an owner numbers before it would reach those of the next token.
const PARTS_PER_TOKEN: u64 = 1_024;

/// A running dispatcher.
pub(crate) struct Owner {
    shared: Arc<Shared>,
    client: TargetClient,
    /// The token of this owner's claim.
    token: u64,
    core: Mutex<Core>,
    stopped: AtomicBool,
}

struct Core {
    dispatcher: Dispatcher,
    /// Sorted by ticket.
    waiters: Vec<(Ticket, oneshot::Sender<JobAnswer>)>,
    next_ticket: u64,
    /// The parts of jobs that other zones have.
    recalls: Vec<(u64, oneshot::Sender<()>)>,
}

/// The answer where it is not known what a former owner did.
fn moved() -> JobAnswer {
    JobAnswer::Moved { done: Vec::new(), earlier_runs: EarlierRuns::AnyZone }
}

/// A request for a listing.
struct Question {
    addr: SocketAddr,
    token_offset: u64,
    ack_cursor: u64,
    lease_until_clock_ms: Option<u64>,
    wait_ms: u64,
}

/// An order to start a run.
struct StartOrder {
    target: Arc<str>,
    addr: SocketAddr,
    run: Run,
    spec: Arc<str>,
    valid_until_clock_ms: u64,
    token_offset: u64,
}

/// A caller's place in the queue; giving it up withdraws the job.
pub(crate) struct Waiter {
    owner: Arc<Owner>,
    ticket: Ticket,
    answer: oneshot::Receiver<JobAnswer>,
}

impl Waiter {
    /// Returns the answer of the job.
    pub(crate) async fn answer(&mut self) -> JobAnswer {
        (&mut self.answer).await.unwrap_or_else(|_| moved())
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.owner.with(|dispatcher, now_ms| dispatcher.withdraw(ticket, now_ms));
    }
}

impl Owner {
    /// Starts dispatching under `token`.
    pub(crate) fn spawn(shared: Arc<Shared>, token: u64) -> Arc<Self> {
        let run_times = shared.run_times.lock().clone();
        let dispatcher = Dispatcher::new(run_times, token * PARTS_PER_TOKEN, shared.now_ms());
        let client = TargetClient::new(Arc::clone(&shared.http));
        let core = Core { dispatcher, waiters: Vec::new(), next_ticket: 0, recalls: Vec::new() };
        let targets = shared.targets.lock().clone();
        let owner = Arc::new(Owner {
            shared,
            client,
            token,
            core: Mutex::new(core),
            stopped: AtomicBool::new(false),
        });
        for target in targets {
            owner.target_listed(&target);
        }
        task::spawn(Arc::clone(&owner).run_ticks());
        owner
    }

    /// Gives up the targets; every caller is told to turn to the next owner.
    pub(crate) fn stop(self: &Arc<Self>) {
        self.stopped.store(true, Ordering::Relaxed);
        self.with(|dispatcher, _| dispatcher.step_down());
        let mut core = self.core.lock();
        core.recalls.clear();
        *self.shared.run_times.lock() = core.dispatcher.run_times().clone();
    }

    pub(crate) fn load(&self) -> Load {
        self.core.lock().dispatcher.load()
    }

    /// Returns how many jobs wait for room, by priority.
    pub(crate) fn queued_jobs(&self) -> Vec<(u8, usize)> {
        self.core.lock().dispatcher.queued_jobs()
    }

    /// Queues a job; the returned place in the queue gives its answer.
    pub(crate) fn submit(self: &Arc<Self>, submission: Submission) -> Waiter {
        let (sender, answer) = oneshot::channel();
        let ticket = {
            let mut core = self.core.lock();
            let ticket = Ticket(core.next_ticket);
            core.next_ticket += 1;
            core.waiters.push((ticket, sender));
            ticket
        };
        let waiter = Waiter { owner: Arc::clone(self), ticket, answer };
        let submission = submission.received_under(self.token);
        let is_lost_part =
            submission.part.is_some() && submission.earlier_runs != EarlierRuns::None;
        let is_stopped = self.stopped.load(Ordering::Relaxed);
        if is_lost_part || is_stopped {
            let answer = if is_stopped { JobAnswer::NotTaken } else { JobAnswer::Unknown };
            self.settle(ticket, answer);
            return waiter;
        }
        self.with(|dispatcher, now_ms| dispatcher.submit(submission, ticket, now_ms));
        waiter
    }

    /// Takes in how much room another zone has.
    pub(crate) fn room_heard(self: &Arc<Self>, zone: &Zone, free_tasks: u64) {
        self.with(|dispatcher, now_ms| dispatcher.room_heard(zone, free_tasks, now_ms));
    }

    /// Takes in what became of a part that another zone had.
    pub(crate) fn lent_settled(self: &Arc<Self>, part: u64, outcome: LentOutcome) {
        self.core.lock().recalls.retain(|(lent, _)| *lent != part);
        self.with(|dispatcher, now_ms| dispatcher.lent_settled(part, outcome, now_ms));
    }

    pub(crate) const fn token(&self) -> u64 {
        self.token
    }

    pub(crate) const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Takes in an entry of the list of targets.
    pub(crate) fn target_listed(self: &Arc<Self>, info: &TargetInfo) {
        if info.zone != self.shared.settings.zone {
            self.with(|dispatcher, _| dispatcher.upsert_far_target(info.clone()));
            return;
        }
        let id = Arc::clone(&info.id);
        let is_new = self.with(|dispatcher, _| {
            let is_new = dispatcher.target_mut(&id).is_none();
            dispatcher.upsert_target(info.clone());
            is_new
        });
        if is_new {
            task::spawn(Arc::clone(self).follow(id));
        }
    }

    pub(crate) fn target_left(self: &Arc<Self>, id: &str) {
        self.with(|dispatcher, _| dispatcher.target_left(id));
    }

    /// Runs a change of the dispatcher and does what it asks for.
    fn with<T>(self: &Arc<Self>, change: impl FnOnce(&mut Dispatcher, u64) -> T) -> T {
        let now_ms = self.shared.now_ms();
        let mut core = self.core.lock();
        let result = change(&mut core.dispatcher, now_ms);
        let actions = core.dispatcher.take_actions();
        drop(core);
        for action in actions {
            self.act(action);
        }
        result
    }

    fn act(self: &Arc<Self>, action: Action) {
        match action {
            Action::Start {
                target,
                addr,
                run,
                spec,
                valid_until_clock_ms,
                token_offset,
                waited_ms,
                expected_ms,
            } => {
                self.shared.metrics.observe_start(waited_ms, expected_ms);
                let order =
                    StartOrder { target, addr, run, spec, valid_until_clock_ms, token_offset };
                task::spawn(Arc::clone(self).start(order));
            }
            Action::Stop { target, addr, run, token_offset } => {
                task::spawn(Arc::clone(self).stop_run(target, addr, run, token_offset));
            }
            Action::Look { target } => {
                task::spawn(Arc::clone(self).look(target));
            }
            Action::Lend { part, zone, submission } => {
                let (recall, recalled) = oneshot::channel();
                self.core.lock().recalls.push((part, recall));
                task::spawn(lend(Arc::clone(self), part, zone, submission, recalled));
            }
            // Dropping the sender tells the task.
            Action::Recall { part } => self.core.lock().recalls.retain(|(lent, _)| *lent != part),
            Action::Answer { ticket, answer } => self.settle(ticket, answer),
        }
    }

    fn settle(&self, ticket: Ticket, answer: JobAnswer) {
        let mut core = self.core.lock();
        if let Ok(at) = core.waiters.binary_search_by_key(&ticket, |(waiting, _)| *waiting) {
            let (_, sender) = core.waiters.remove(at);
            // A caller that has gone does not take its answer.
            sender.send(answer).ok();
        }
    }

    async fn start(self: Arc<Self>, order: StartOrder) {
        let StartOrder { target, addr, run, spec, valid_until_clock_ms, token_offset } = order;
        let sent = self.client.start(
            self.token + token_offset,
            (&target, addr),
            run,
            &spec,
            valid_until_clock_ms,
            ORDER_TIMEOUT_MS,
        );
        let reply = sent.await;
        let outcome = format!("{:?}", reply.outcome);
        self.shared.metrics.orders.with_label_values(&["start", &outcome]).inc();
        self.with(|dispatcher, now_ms| {
            let StartReply { outcome, clock_ms } = reply;
            dispatcher.start_settled(&target, run, token_offset, outcome, clock_ms, now_ms);
        });
        self.step_down_if_fenced();
    }

    async fn stop_run(
        self: Arc<Self>,
        target: Arc<str>,
        addr: SocketAddr,
        run: Run,
        token_offset: u64,
    ) {
        let token = self.token + token_offset;
        let answered = self.client.stop(token, (&target, addr), run, ORDER_TIMEOUT_MS).await;
        let outcome = if answered { "answered" } else { "unanswered" };
        self.shared.metrics.orders.with_label_values(&["stop", outcome]).inc();
    }

    /// Asks a target for a listing until it has left.
    async fn follow(self: Arc<Self>, target: Arc<str>) {
        let lease_ms = self.shared.settings.lease_max_ms;
        let hold_wait_ms = HOLD_WAIT_MS.min(lease_ms * HOLD_LEASE_PERCENT / 100);
        let mut failures = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            let wait_ms = if failures == 0 { hold_wait_ms } else { 0 };
            match self.ask(&target, wait_ms).await {
                None => return,
                Some(true) => failures = 0,
                Some(false) => {
                    let pause_ms = (RETRY_PAUSE_MS << failures.min(4)).min(RETRY_PAUSE_MAX_MS);
                    failures += 1;
                    task::sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    async fn look(self: Arc<Self>, target: Arc<str>) {
        self.ask(&target, 0).await;
    }

    /// Asks a target for a listing. Returns whether it gave one, nothing if it is not known.
    async fn ask(self: &Arc<Self>, target: &str, wait_ms: u64) -> Option<bool> {
        let question = self.with(|dispatcher, now_ms| {
            let known = dispatcher.target_mut(target)?;
            let is_current = known.is_fenced() && !known.is_unreachable();
            let clock_ms = known.clock_at(now_ms).filter(|_| known.is_renewable());
            if clock_ms.is_some() {
                known.note_lease_sent(now_ms);
            }
            Some(Question {
                addr: known.info().addr,
                token_offset: known.token_offset(),
                ack_cursor: known.ack_cursor(),
                lease_until_clock_ms: clock_ms.map(|clock_ms| clock_ms + LEASE_MS),
                wait_ms: if is_current { wait_ms } else { 0 },
            })
        })?;
        let Question { addr, token_offset, ack_cursor, lease_until_clock_ms, wait_ms } = question;
        let asked_at_ms = self.shared.now_ms();
        let held = self.client.hold(
            self.token + token_offset,
            (target, addr),
            ack_cursor,
            lease_until_clock_ms,
            wait_ms,
            wait_ms + ORDER_TIMEOUT_MS,
        );
        let (outcome, answered) = match held.await {
            Ok(HoldReply::Listed(listing)) => {
                self.with(|dispatcher, now_ms| {
                    dispatcher.listed(target, &listing, asked_at_ms, now_ms);
                    dispatcher.target_answers(target, true, now_ms);
                });
                ("listed", true)
            }
            Ok(HoldReply::Fenced) => {
                let current = self.with(|dispatcher, _| {
                    dispatcher.target_mut(target).map(|known| known.token_offset())
                });
                // A question to an earlier life of the target has a lower token.
                if current == Some(token_offset) {
                    self.fenced_off();
                }
                ("fenced", false)
            }
            Ok(HoldReply::OtherLife) => {
                self.with(|dispatcher, _| dispatcher.target_left(target));
                ("other_life", false)
            }
            Ok(HoldReply::Unhealthy) => {
                self.with(|dispatcher, now_ms| {
                    if let Some(known) = dispatcher.target_mut(target) {
                        known.eject(now_ms);
                    }
                });
                ("unhealthy", false)
            }
            Err(_) => {
                self.with(|dispatcher, now_ms| {
                    dispatcher.target_answers(target, false, now_ms);
                });
                ("unanswered", false)
            }
        };
        self.shared.metrics.orders.with_label_values(&["hold", outcome]).inc();
        Some(answered)
    }

    fn step_down_if_fenced(self: &Arc<Self>) {
        if self.core.lock().dispatcher.is_fenced_off() {
            self.fenced_off();
        }
    }

    fn fenced_off(self: &Arc<Self>) {
        if self.stopped.load(Ordering::Relaxed) {
            return;
        }
        log_event!(warn, OwnershipReleased, reason = "a target obeys a higher token");
        self.shared.ownership.lock().fenced_off(self.shared.now_ms());
        self.shared.owner.store(None);
        self.stop();
    }

    async fn run_ticks(self: Arc<Self>) {
        while !self.stopped.load(Ordering::Relaxed) {
            let busy = self.with(|dispatcher, now_ms| {
                dispatcher.tick(now_ms);
                dispatcher.forget_gone();
                dispatcher.is_busy()
            });
            let pause_ms = if busy { BUSY_TICK_MS } else { IDLE_TICK_MS };
            task::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}
